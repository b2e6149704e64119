//! Tests of the timer queue.
#![allow(missing_docs)]

use pondproxy::timer_queue::TimerQueue;

#[test]
fn timers_come_in_the_order_of_their_times_and_not_before() {
    let mut queue = TimerQueue::default();
    for (time, name) in [(30, "c"), (10, "a"), (20, "b")] {
        queue.schedule(time, name);
    }
    assert_eq!(queue.next_time(), Some(10));
    assert_eq!(queue.pop_due(9), None);
    assert_eq!([queue.pop_due(20), queue.pop_due(20), queue.pop_due(20)], [Some("a"), Some("b"), None]);
    assert_eq!(queue.len(), 1);
}

#[test]
fn queue_with_few_needed_timers_stays_small_and_keeps_each_of_them() {
    // Guards against memory that grows with the rate of requests times their deadline.
    let mut queue = TimerQueue::default();
    let is_needed = |number: &u64| number.is_multiple_of(10_000);
    for number in 0..1_000_000 {
        queue.schedule(number, number);
        queue.compact(is_needed);
        assert!(queue.len() <= 4_096, "{} timers, of which at most 100 are needed", queue.len());
    }
    let due: Vec<_> = std::iter::from_fn(|| queue.pop_due(u64::MAX)).filter(is_needed).collect();
    assert_eq!(due, (0..1_000_000).step_by(10_000).collect::<Vec<_>>());
}

#[test]
fn queue_of_needed_timers_keeps_all_of_them() {
    let mut queue = TimerQueue::default();
    for number in 0..20_000 {
        queue.schedule(number, number);
        queue.compact(|_| true);
    }
    assert_eq!(queue.len(), 20_000);
}
