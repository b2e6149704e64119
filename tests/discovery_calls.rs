//! When discovery is called.
#![allow(missing_docs)]

mod common;

use std::collections::VecDeque;

use common::*;
use pondproxy::*;

/// When each of so many balancers, told the same at the same instant, next calls discovery, from then on.
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

/// How long it takes until a balancer calls discovery.
fn advance_to_next_call(node: &mut TestNode) -> Micros {
    let started_at = node.now;
    while !node.actions.contains(&Action::Subscribe(true)) {
        node.advance(MS);
        assert!(node.now < started_at + 60 * SECOND, "no call at all");
    }
    node.actions.clear();
    node.now - started_at
}

/// Tells a balancer that its call has failed.
fn fail_discovery(node: &mut TestNode, failure: DiscoveryFailure, since_last_contact: Micros) -> Vec<Action> {
    node.deliver(Event::DiscoveryFailed { failure, since_last_contact })
}

/// The most calls within a second.
fn max_calls_in_a_second(calls: &[Micros]) -> usize {
    let within = |from: &Micros| calls.iter().filter(|at| (*from..from + SECOND).contains(at)).count();
    calls.iter().map(within).max().unwrap()
}

/// What discovery has counts as notified after 6 s, of which the call itself takes a part.
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
                "{last}: later it counts as notified what it was not, {first_failure:?}"
            );
            assert!(
                max_calls_in_a_second(&calls) <= bound,
                "{} of {balancer_count} within a second, {first_failure:?}",
                max_calls_in_a_second(&calls)
            );
        }
    }
    let few = next_call_delays(2, servers(), None);
    assert!(few.iter().all(|at| *at < 150 * MS), "two have no need to wait: {few:?}");
    let without_servers = next_call_delays(100, Vec::new(), None);
    assert_eq!(without_servers, [0; 100], "one that knows no server can't serve before it has asked");
}

#[test]
fn after_any_failure_the_next_call_comes_before_missed_changes_count_as_notified() {
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
    assert_eq!(calls, 1, "discovery pays for each");
    let mut waits = (0..40).map(|_| {
        node.server_list(ListKind::Full, vec![server(1), origin()]);
        fail_discovery(&mut node, DiscoveryFailure::Failed, 0);
        advance_to_next_call(&mut node)
    });
    assert!(waits.any(|wait| wait > 3 * SECOND), "all of the time is used again");
}

#[test]
fn a_call_that_timed_out_is_repeated_before_missed_changes_count_as_notified_in_any_fleet() {
    let timed_out = (DiscoveryFailure::TimedOut, 2_500 * MS);
    let calls = next_call_delays(300, vec![server(1), origin()], Some(timed_out));
    assert!(calls[299] <= 3_000 * MS + MS, "of 6 s since it fell silent, 2.5 s are gone: {calls:?}");
    assert!(calls[299] - calls[0] > SECOND, "and yet not all at once");
    let few = next_call_delays(3, vec![server(1), origin()], Some(timed_out));
    assert!(few.iter().all(|at| *at < 150 * MS), "few have no need to wait: {few:?}");
    // One that is silent time after time is as good as down.
    let config = Settings { pull_discovery: true, ..settings() };
    let mut node = TestNode::new(config, 3);
    let waits = [0; 3].map(|_| {
        node.actions.clear();
        fail_discovery(&mut node, timed_out.0, timed_out.1);
        advance_to_next_call(&mut node)
    });
    assert!(waits[0] < 150 * MS && waits[1] < 150 * MS && waits[2] > SECOND, "{waits:?}");
}

/// However often discovery turns a call away, what it has since a watch was last heard counts as notified after 6 s, and after
/// a move 4 s later: a call has to be made shortly before that, and not only so long after the one before.
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

/// When a balancer calls in the next ten seconds, where each call is turned away 20 ms later.
fn calls_after((balancer_count, balancer_index, seed): (u32, u32, u64), event: Event) -> Vec<Micros> {
    let config = Settings { balancer_count, balancer_index, pull_discovery: true, ..settings() };
    let mut node = TestNode::with_policy(Policy::new(config, seed), vec![server(1), origin()]);
    advance_to_next_call(&mut node);
    node.server_list(ListKind::Full, vec![server(1), origin()]);
    node.advance(20 * SECOND);
    let started_at = node.now;
    node.actions.clear();
    node.deliver(event);
    let mut calls = Vec::new();
    while node.now < started_at + 10 * SECOND {
        advance_to_next_call(&mut node);
        calls.push(node.now - started_at);
        node.advance(20 * MS);
        node.actions.clear();
        fail_discovery(&mut node, DiscoveryFailure::Failed, 20 * MS);
    }
    calls
}

/// A watch that breaks in the middle of a list, or is reset, may have taken news with it that counts as notified once it was
/// written. There is the grace of a drain for another call and its wait in line.
#[test]
fn after_an_interrupted_watch_a_small_fleet_calls_again_well_within_the_drain_grace_time() {
    let interrupted = Some((DiscoveryFailure::Interrupted, 0));
    let grace = settings().drain_grace_time;
    for balancer_count in [1, 3, 6, 8] {
        let calls = next_call_delays(balancer_count, vec![server(1), origin()], interrupted);
        assert!(
            calls[calls.len() - 1] <= grace / 4 + MS,
            "{balancer_count}: {calls:?}, the grace is {grace}"
        );
    }
    let many = next_call_delays(300, vec![server(1), origin()], interrupted);
    assert!(
        max_calls_in_a_second(&many) <= 90,
        "a large fleet may be cut off all at once, and must not call at once"
    );
    let config = Settings { balancer_count: 6, pull_discovery: true, ..settings() };
    let mut node = TestNode::with_policy(Policy::new(config, 1), vec![server(1), origin()]);
    let waits = [0; 4].map(|_| {
        node.actions.clear();
        fail_discovery(&mut node, DiscoveryFailure::Interrupted, 0);
        advance_to_next_call(&mut node)
    });
    assert!(waits[2] > 500 * MS, "one that is cut off time after time is called less often: {waits:?}");
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
    assert!(counts.max().unwrap() < 60, "of 300, a tenth of the time each");
    assert!(many[299] <= 2_500 * MS + MS, "what it tells counts as notified after 4 s: {many:?}");
    assert!(call_delays(2)[1] <= 100 * MS, "two have no need to wait");
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

/// A discovery that serves calls one after another. One that has waited for too long when its turn comes is turned
/// away, and has cost as much as one that is answered.
struct DiscoveryModel {
    service_time: Micros,
    /// How long a call may wait.
    max_wait: Micros,
    /// Whose calls wait, and since when.
    queue: VecDeque<(usize, Micros)>,
    /// Whom it is busy with, since when that one has called, and until when.
    in_service: Option<(usize, Micros, Micros)>,
}

impl DiscoveryModel {
    /// The next that it is done with by a time: whom, since when that one had called, and whether it is served.
    fn pop_completed(&mut self, now: Micros) -> Option<(usize, Micros, bool)> {
        let (node, called_at, ends_at) = self.in_service.filter(|call| call.2 <= now)?;
        self.start_next(ends_at);
        Some((node, called_at, ends_at - self.service_time <= called_at + self.max_wait))
    }

    fn start_next(&mut self, now: Micros) {
        let next = self.queue.pop_front();
        self.in_service =
            next.map(|(node, called_at)| (node, called_at, now.max(called_at) + self.service_time));
    }
}

/// What discovery does with a call while it is down.
#[derive(Clone, Copy, Debug)]
enum OutageMode {
    RefusesConnections,
    /// It lets it wait for as long as any other, and turns it away.
    RejectsAfterWait,
}

/// A fleet whose watches all break as discovery goes down for some time. After its return: when each balancer has its
/// list, and how many calls were in vain.
fn outage(
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
    let (mut list_delays, mut failed_calls, mut rejections) = (Vec::new(), 0, VecDeque::new());
    while list_delays.len() < fleet.len() && now < available_from + 60 * SECOND {
        now += 5 * MS;
        while let Some((node, called_at, answered)) = discovery.pop_completed(now) {
            if answered {
                list_delays.push(now - available_from);
                fleet[node].server_list(ListKind::Full, vec![server(1), origin()]);
            } else {
                failed_calls += 1;
                rejections.push_back((node, called_at));
            }
        }
        // Turned away, however long the line is, when they have waited for long enough.
        while let Some((node, called_at)) =
            rejections.pop_front_if(|(_, called_at)| *called_at + max_wait <= now)
        {
            fail_discovery(&mut fleet[node], DiscoveryFailure::Failed, now - called_at);
        }
        for (index, node) in fleet.iter_mut().enumerate() {
            if node.advance(now - node.now).contains(&Action::Subscribe(true)) {
                match mode {
                    _ if now >= available_from => discovery.queue.push_back((index, now)),
                    OutageMode::RefusesConnections => {
                        drop(fail_discovery(node, DiscoveryFailure::Unreachable, 0))
                    }
                    OutageMode::RejectsAfterWait => rejections.push_back((index, now)),
                }
            }
            node.actions.clear();
        }
        if discovery.in_service.is_none() {
            discovery.start_next(now);
        }
    }
    (list_delays, failed_calls)
}

/// Prints what `docs/findings/standing.md` holds: `cargo test --release --test calls -- --ignored --nocapture`.
#[test]
#[ignore = "a table for the findings"]
fn prints_a_table_of_recovery_times_after_a_discovery_outage() {
    println!(
        "balancers, all calls take: last heard, heard within 6 s, calls in vain, over outages of 8, 12 and 31 s"
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
                        "{mode:?} limit {} s, {balancer_count:>3} in {:>4} ms:",
                        max_wait / SECOND,
                        total_time / MS
                    );
                    for outage_s in [8, 12, 31] {
                        let (list_delays, failed_calls) = outage(
                            balancer_count,
                            (total_time / u64::from(balancer_count), max_wait),
                            mode,
                            outage_s,
                        );
                        let in_time = list_delays.iter().filter(|at| **at <= 6 * SECOND).count();
                        let last = list_delays.last().map_or(0, |at| at / MS);
                        let note = if list_delays.len() < balancer_count as usize { "not all" } else { "" };
                        print!(" | {last:>6} {note} {in_time:>4} {failed_calls:>4}");
                    }
                    println!();
                }
            }
        }
    }
}
