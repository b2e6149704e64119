//! Tests of the times at which the decision module calls discovery (`Action::Subscribe(true)`).
//!
//! Discovery serves calls one after another, so the calls of many balancers have to be spread. A balancer
//! counts as notified of a change 6 s after it could have asked discovery for that change, so its next call
//! must come before those 6 s have passed.
#![allow(missing_docs)]

mod common;

use std::collections::VecDeque;

use common::*;
use pondproxy::*;

/// Returns, sorted, the times until the balancers of a fleet call discovery after they all receive the same
/// cached list, or after their first calls all fail in the same way.
fn next_call_delays(
    balancer_count: u32,
    servers: Vec<ServerEntry>,
    first_failure: Option<(DiscoveryFailure, Micros)>,
) -> Vec<Micros> {
    let call_delay = |balancer_index: u32| {
        let config = Settings { balancer_count, balancer_index, pull_discovery: true, ..settings() };
        let mut node =
            TestNode::with_policy(Policy::new(config, u64::from(balancer_index) + 1), servers.clone());
        let first = advance_to_next_call(&mut node);
        let Some((failure, since_last_contact)) = first_failure else { return first };
        fail_discovery(&mut node, failure, since_last_contact);
        advance_to_next_call(&mut node)
    };
    let mut delays: Vec<_> = (0..balancer_count).map(call_delay).collect();
    delays.sort_unstable();
    delays
}

/// Advances time until the balancer calls discovery and returns the time that this took.
fn advance_to_next_call(node: &mut TestNode) -> Micros {
    let started_at = node.now;
    while !node.actions.contains(&Action::Subscribe(true)) {
        node.advance(MS);
        assert!(node.now < started_at + 60 * SECOND, "no call to discovery within 60 s");
    }
    node.actions.clear();
    node.now - started_at
}

/// Reports to a balancer that its call to discovery failed and returns the resulting actions.
fn fail_discovery(node: &mut TestNode, failure: DiscoveryFailure, since_last_contact: Micros) -> Vec<Action> {
    node.deliver(Event::DiscoveryFailed { failure, since_last_contact })
}

/// Returns the largest number of calls within one second.
fn max_calls_in_a_second(calls: &[Micros]) -> usize {
    let within = |from: &Micros| calls.iter().filter(|at| (*from..from + SECOND).contains(at)).count();
    calls.iter().map(within).max().unwrap()
}

/// Latest time of a call after the last contact: changes count as notified after 6 s, and the call itself
/// takes a part of that.
const LATEST_CALL: Micros = 5_500 * MS;

#[test]
fn discovery_calls_are_spread_when_many_balancers_start_or_fail_together() {
    let servers = || vec![server(1), origin()];
    let failures =
        [DiscoveryFailure::Unreachable, DiscoveryFailure::Failed].map(|failure| Some((failure, 0)));
    for first_failure in [None, failures[0], failures[1]] {
        for (balancer_count, bound) in [(100, 40), (300, 90)] {
            let calls = next_call_delays(balancer_count, servers(), first_failure);
            let last = calls[calls.len() - 1];
            assert!(
                last <= LATEST_CALL + MS,
                "{last}: too late, missed changes count as notified by then, {first_failure:?}"
            );
            assert!(
                max_calls_in_a_second(&calls) <= bound,
                "{} of {balancer_count} within a second, {first_failure:?}",
                max_calls_in_a_second(&calls)
            );
        }
    }
    let few = next_call_delays(2, servers(), None);
    assert!(few.iter().all(|at| *at < 150 * MS), "two balancers need not wait: {few:?}");
    let without_servers = next_call_delays(100, Vec::new(), None);
    assert_eq!(
        without_servers, [0; 100],
        "a balancer without servers can serve nothing until it has a list, so its first call is not delayed"
    );
}

#[test]
fn after_a_failed_call_the_next_comes_before_missed_changes_count_as_notified() {
    for balancer_count in [3, 30, 300] {
        for balancer_index in 0..balancer_count.min(30) {
            let config = Settings { balancer_count, balancer_index, pull_discovery: true, ..settings() };
            let mut node = TestNode::with_policy(
                Policy::new(config, u64::from(balancer_index) + 1),
                vec![server(1), origin()],
            );
            advance_to_next_call(&mut node);
            for round in 0..20 {
                let (failure, elapsed) = match (balancer_index + round) % 4 {
                    0 => (DiscoveryFailure::Unreachable, 0),
                    1 => (DiscoveryFailure::Unreachable, SECOND),
                    2 => (DiscoveryFailure::Failed, SECOND),
                    _ => (DiscoveryFailure::TimedOut, 2_500 * MS),
                };
                node.advance(elapsed);
                fail_discovery(&mut node, failure, elapsed);
                let wait = elapsed + advance_to_next_call(&mut node);
                assert!(
                    wait <= LATEST_CALL + MS,
                    "{balancer_count}, {failure:?}: {wait} from one call to the next"
                );
            }
        }
    }
}

#[test]
fn a_list_resets_the_call_schedule_and_pending_calls_are_merged_into_one() {
    let config = Settings { balancer_count: 300, pull_discovery: true, ..settings() };
    let mut node = TestNode::with_policy(Policy::new(config, 1), vec![server(1), origin()]);
    advance_to_next_call(&mut node);
    fail_discovery(&mut node, DiscoveryFailure::Failed, 0);
    node.deliver(Event::DiscoveryMoved);
    fail_discovery(&mut node, DiscoveryFailure::Failed, 0);
    let calls = node.advance(20 * SECOND).into_iter().filter(|a| *a == Action::Subscribe(true)).count();
    assert_eq!(calls, 1, "one call serves all pending ones, and each call costs discovery the same");
    let mut waits = (0..40).map(|_| {
        node.server_list(ListKind::Full, vec![server(1), origin()]);
        fail_discovery(&mut node, DiscoveryFailure::Failed, 0);
        advance_to_next_call(&mut node)
    });
    assert!(waits.any(|wait| wait > 3 * SECOND), "the calls are spread over the whole period again");
}

/// Guards against a late call after an interrupted watch. A watch that was answered without a change did not
/// end the failures before it, so that its interruption led to a backoff of some seconds.
#[test]
fn an_answer_without_changes_resets_the_call_schedule() {
    let config = Settings { balancer_count: 6, pull_discovery: true, ..settings() };
    for seed in 1..40 {
        let mut node = TestNode::with_policy(Policy::new(config.clone(), seed), vec![server(1), origin()]);
        rejected_calls(&mut node, 20 * MS, 4 * SECOND);
        advance_to_next_call(&mut node);
        node.deliver(Event::DiscoverySynchronized);
        node.advance(20 * SECOND);
        node.actions.clear();
        fail_discovery(&mut node, DiscoveryFailure::Interrupted, 0);
        let delay = advance_to_next_call(&mut node);
        assert!(delay <= settings().drain_grace_time / 4 + MS, "{delay} after the interruption");
    }
}

#[test]
fn a_call_that_timed_out_is_repeated_before_missed_changes_count_as_notified_in_small_and_large_fleets() {
    let timed_out = (DiscoveryFailure::TimedOut, 2_500 * MS);
    let calls = next_call_delays(300, vec![server(1), origin()], Some(timed_out));
    assert!(calls[299] <= 3_000 * MS + MS, "2.5 of the 6 s since the last contact have passed: {calls:?}");
    assert!(calls[299] - calls[0] > SECOND, "but the calls are spread");
    let few = next_call_delays(3, vec![server(1), origin()], Some(timed_out));
    assert!(few.iter().all(|at| *at < 150 * MS), "few balancers need not wait: {few:?}");
    // After repeated time-outs discovery is treated as down.
    let config = Settings { pull_discovery: true, ..settings() };
    let mut node = TestNode::new(config, 3);
    let waits = [0; 3].map(|_| {
        node.actions.clear();
        fail_discovery(&mut node, timed_out.0, timed_out.1);
        advance_to_next_call(&mut node)
    });
    assert!(waits[0] < 150 * MS && waits[1] < 150 * MS && waits[2] > SECOND, "{waits:?}");
}

/// However often discovery rejects a call, its changes count as notified 6 s after the last contact, and 4 s
/// after discovery moved to another address. A call has to come shortly before that, and not only a fixed
/// time after the previous call.
#[test]
fn a_small_fleet_calls_shortly_before_missed_changes_count_as_notified() {
    let failures = [
        (DiscoveryFailure::TimedOut, 2_500 * MS),
        (DiscoveryFailure::Failed, 0),
        (DiscoveryFailure::Interrupted, 0),
    ];
    for (balancer_count, balancer_index) in [(1, 0), (3, 1), (6, 0), (6, 3), (9, 7)] {
        for seed in 1..40 {
            for (failure, since_last_contact) in failures {
                let latest = LATEST_CALL - since_last_contact;
                let calls = calls_after(
                    (balancer_count, balancer_index, seed),
                    Event::DiscoveryFailed { failure, since_last_contact },
                );
                let last = calls.iter().rev().find(|at| **at <= latest + MS).expect("a call in time");
                assert!(
                    *last + 2 * SECOND >= latest,
                    "{balancer_count}, {failure:?}: {calls:?}, due by {latest}"
                );
            }
            let calls = calls_after((balancer_count, balancer_index, seed), Event::DiscoveryMoved);
            let last = calls.iter().rev().find(|at| **at <= 3_500 * MS + MS).expect("a call in time");
            assert!(*last + 2 * SECOND >= 3_500 * MS, "{balancer_count}, moved: {calls:?}");
        }
    }
}

/// Returns the times of a balancer's calls in the ten seconds after an event, where each call is rejected
/// after 20 ms.
fn calls_after((balancer_count, balancer_index, seed): (u32, u32, u64), event: Event) -> Vec<Micros> {
    let config = Settings { balancer_count, balancer_index, pull_discovery: true, ..settings() };
    let mut node = TestNode::with_policy(Policy::new(config, seed), vec![server(1), origin()]);
    advance_to_next_call(&mut node);
    node.server_list(ListKind::Full, vec![server(1), origin()]);
    node.advance(20 * SECOND);
    node.actions.clear();
    node.deliver(event);
    rejected_calls(&mut node, 20 * MS, 10 * SECOND)
}

/// Guards against a restarted balancer that is not in time for a drain from before its start. Its calls were
/// due by a time counted from its first call, and after a call that lasted beyond that time the next one came
/// as late as after any other failure.
#[test]
fn a_restarted_balancer_of_a_small_fleet_calls_before_sends_to_draining_servers_must_end() {
    let (notified_after, grace) = (6 * SECOND, settings().drain_grace_time);
    for (balancer_count, balancer_index) in [(1, 0), (3, 1), (6, 0), (6, 3), (9, 7)] {
        for seed in 1..40 {
            for queue_wait in [20 * MS, 300 * MS, SECOND] {
                let config = Settings { balancer_count, balancer_index, pull_discovery: true, ..settings() };
                let mut node = TestNode::with_policy(Policy::new(config, seed), vec![server(1), origin()]);
                let calls = rejected_calls(&mut node, queue_wait, 10 * SECOND);
                let helpful = calls.iter().any(|at| (5 * SECOND..=notified_after + grace).contains(at));
                assert!(helpful, "{balancer_count} balancers, {queue_wait} in the queue: {calls:?}");
            }
        }
    }
}

/// Returns the times of a balancer's calls from now on, where each call is rejected after `queue_wait`.
fn rejected_calls(node: &mut TestNode, queue_wait: Micros, duration: Micros) -> Vec<Micros> {
    let started_at = node.now;
    let mut calls = Vec::new();
    while node.now < started_at + duration {
        advance_to_next_call(node);
        calls.push(node.now - started_at);
        node.advance(queue_wait);
        node.actions.clear();
        fail_discovery(node, DiscoveryFailure::Failed, queue_wait);
    }
    calls
}

/// Changes that are lost with a truncated list or a reset watch count as notified as soon as discovery has
/// written them. The next call and its wait in discovery's queue have to fit into the drain grace time.
#[test]
fn after_an_interrupted_watch_a_small_fleet_calls_again_well_within_the_drain_grace_time() {
    let interrupted = Some((DiscoveryFailure::Interrupted, 0));
    let grace = settings().drain_grace_time;
    for balancer_count in [1, 3, 6, 8] {
        let calls = next_call_delays(balancer_count, vec![server(1), origin()], interrupted);
        assert!(
            calls[calls.len() - 1] <= grace / 4 + MS,
            "{balancer_count}: {calls:?}, the drain grace time is {grace}"
        );
    }
    let many = next_call_delays(300, vec![server(1), origin()], interrupted);
    assert!(
        max_calls_in_a_second(&many) <= 90,
        "the watches of a large fleet may all break at once, and the calls must still be spread"
    );
    let config = Settings { balancer_count: 6, pull_discovery: true, ..settings() };
    let mut node = TestNode::with_policy(Policy::new(config, 1), vec![server(1), origin()]);
    let waits = [0; 4].map(|_| {
        node.actions.clear();
        fail_discovery(&mut node, DiscoveryFailure::Interrupted, 0);
        advance_to_next_call(&mut node)
    });
    assert!(
        waits[2] > 500 * MS,
        "a discovery that interrupts its watches repeatedly is called less often: {waits:?}"
    );
}

#[test]
fn discovery_calls_are_spread_when_discovery_moves_for_many_balancers_at_once() {
    let call_delays = |balancer_count: u32| {
        let call_delay = |balancer_index: u32| {
            let config = Settings { balancer_count, balancer_index, pull_discovery: true, ..settings() };
            let mut node = TestNode::with_policy(
                Policy::new(config, u64::from(balancer_index) + 1),
                vec![server(1), origin()],
            );
            node.advance(20 * SECOND);
            node.actions.clear();
            node.deliver(Event::DiscoveryMoved);
            advance_to_next_call(&mut node)
        };
        let mut delays: Vec<_> = (0..balancer_count).map(call_delay).collect();
        delays.sort_unstable();
        delays
    };
    let many = call_delays(300);
    let counts =
        many.iter().map(|from| many.iter().filter(|at| (*from..from + 250 * MS).contains(at)).count());
    assert!(counts.max().unwrap() < 60, "of 300, within a tenth of the spread");
    assert!(many[299] <= 2_500 * MS + MS, "changes count as notified 4 s after the move: {many:?}");
    assert!(call_delays(2)[1] <= 100 * MS, "two balancers need not wait");
}

#[test]
fn a_failed_discovery_call_is_repeated_after_a_delay() {
    let config = Settings { pull_discovery: true, ..settings() };
    let mut node = TestNode::new(config, 3);
    assert!(node.actions.contains(&Action::Subscribe(true)), "subscribes at the start");
    node.actions.clear();
    fail_discovery(&mut node, DiscoveryFailure::Failed, 0);
    assert!(!node.actions.contains(&Action::Subscribe(true)));
    assert!(node.advance(2 * SECOND).contains(&Action::Subscribe(true)));
    assert!(sent_to(&node.request(read(1, 9))).is_some(), "the old list stays in force");
}

/// A discovery that serves calls one after another. It rejects a call that has waited too long when its turn
/// comes, which takes as long as answering it.
struct DiscoveryModel {
    service_time: Micros,
    /// Longest time that a call may wait in the queue and still be answered.
    max_wait: Micros,
    /// Waiting calls: index of the balancer and time of the call.
    queue: VecDeque<(usize, Micros)>,
    /// The call in service: index of the balancer, time of the call and time at which its service ends.
    in_service: Option<(usize, Micros, Micros)>,
}

impl DiscoveryModel {
    /// Removes the call whose service has ended by `now`. Returns the balancer's index, the time of the call
    /// and whether it is answered.
    fn pop_completed(&mut self, now: Micros) -> Option<(usize, Micros, bool)> {
        let (balancer_index, called_at, ends_at) = self.in_service.filter(|call| call.2 <= now)?;
        self.start_next(ends_at);
        Some((balancer_index, called_at, ends_at - self.service_time <= called_at + self.max_wait))
    }

    /// Starts the service of the next waiting call at `now`, if there is one.
    fn start_next(&mut self, now: Micros) {
        let next = self.queue.pop_front();
        self.in_service = next.map(|(balancer_index, called_at)| {
            (balancer_index, called_at, now.max(called_at) + self.service_time)
        });
    }
}

/// How discovery treats calls during an outage.
#[derive(Clone, Copy, Debug)]
enum OutageMode {
    /// It accepts no connections, so that calls fail at once.
    RefusesConnections,
    /// It accepts calls and rejects each after the longest waiting time.
    RejectsAfterWait,
}

/// Simulates a fleet whose watches all break when discovery goes down for `outage_s`. Returns, counted from
/// the end of the outage, the times at which the balancers received their lists, and the number of calls that
/// discovery rejected after that.
fn simulate_outage(
    balancer_count: u32,
    (service_time, max_wait): (Micros, Micros),
    mode: OutageMode,
    outage_s: u64,
) -> (Vec<Micros>, usize) {
    let start_balancer = |balancer_index| {
        let config = Settings { balancer_count, balancer_index, pull_discovery: true, ..settings() };
        let mut node = TestNode::with_policy(
            Policy::new(config, u64::from(balancer_index) + 1),
            vec![server(1), origin()],
        );
        advance_to_next_call(&mut node);
        node.server_list(ListKind::Full, vec![server(1), origin()]);
        node.advance(100 * SECOND - node.now);
        node.actions.clear();
        fail_discovery(&mut node, DiscoveryFailure::Failed, 0);
        node
    };
    let mut fleet: Vec<_> = (0..balancer_count).map(start_balancer).collect();
    let mut discovery = DiscoveryModel { service_time, max_wait, queue: VecDeque::new(), in_service: None };
    let (mut now, available_from) = (100 * SECOND, (100 + outage_s) * SECOND);
    let (mut list_delays, mut rejected_calls, mut rejections) = (Vec::new(), 0, VecDeque::new());
    while list_delays.len() < fleet.len() && now < available_from + 60 * SECOND {
        now += 5 * MS;
        while let Some((balancer_index, called_at, answered)) = discovery.pop_completed(now) {
            if answered {
                list_delays.push(now - available_from);
                fleet[balancer_index].server_list(ListKind::Full, vec![server(1), origin()]);
            } else {
                rejected_calls += 1;
                rejections.push_back((balancer_index, called_at));
            }
        }
        // A rejected call fails `max_wait` after it was made, or when its turn in the queue ends if that is
        // later.
        while let Some((balancer_index, called_at)) =
            rejections.pop_front_if(|(_, called_at)| *called_at + max_wait <= now)
        {
            fail_discovery(&mut fleet[balancer_index], DiscoveryFailure::Failed, now - called_at);
        }
        for (balancer_index, node) in fleet.iter_mut().enumerate() {
            if node.advance(now - node.now).contains(&Action::Subscribe(true)) {
                match mode {
                    _ if now >= available_from => discovery.queue.push_back((balancer_index, now)),
                    OutageMode::RefusesConnections => {
                        drop(fail_discovery(node, DiscoveryFailure::Unreachable, 0))
                    }
                    OutageMode::RejectsAfterWait => rejections.push_back((balancer_index, now)),
                }
            }
            node.actions.clear();
        }
        if discovery.in_service.is_none() {
            discovery.start_next(now);
        }
    }
    (list_delays, rejected_calls)
}

/// Prints the table in `docs/findings/standing.md`:
/// `cargo test --release --test discovery_calls -- --ignored --nocapture`.
#[test]
#[ignore = "prints a table for docs/findings/standing.md and asserts nothing"]
fn prints_a_table_of_recovery_times_after_a_discovery_outage() {
    println!(
        "balancers, time for all calls: last list, lists within 6 s, rejected calls; outages of 8, 12, 31 s"
    );
    for mode in [OutageMode::RefusesConnections, OutageMode::RejectsAfterWait] {
        for max_wait in [SECOND, 2 * SECOND] {
            for (balancer_count, total_times_ms) in [
                (3, [150, 300, 600, 750]),
                (30, [3_000, 4_000, 6_000, 8_100]),
                (300, [4_000, 5_000, 6_000, 8_100]),
            ] {
                for total_time in total_times_ms.map(|ms| ms * MS) {
                    print!(
                        "{mode:?} longest wait {} s, {balancer_count:>3} in {:>4} ms:",
                        max_wait / SECOND,
                        total_time / MS
                    );
                    for outage_s in [8, 12, 31] {
                        let (list_delays, rejected_calls) = simulate_outage(
                            balancer_count,
                            (total_time / u64::from(balancer_count), max_wait),
                            mode,
                            outage_s,
                        );
                        let in_time = list_delays.iter().filter(|at| **at <= 6 * SECOND).count();
                        let last = list_delays.last().map_or(0, |at| at / MS);
                        let note = if list_delays.len() < balancer_count as usize { "not all" } else { "" };
                        print!(" | {last:>6} {note} {in_time:>4} {rejected_calls:>4}");
                    }
                    println!();
                }
            }
        }
    }
}
