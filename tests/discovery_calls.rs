//! When discovery is called.
#![allow(missing_docs)]

mod common;

use std::collections::VecDeque;

use common::*;
use pondproxy::*;

/// When each of so many balancers, told the same at the same instant, next calls discovery, from then on.
fn next_calls(
    balancers: u32,
    servers: Vec<ServerEntry>,
    fails: Option<(DiscoveryFailure, Micros)>,
) -> Vec<Micros> {
    let call = |me: u32| {
        let config =
            Settings { balancer_count: balancers, balancer_index: me, pull_discovery: true, ..settings() };
        let mut node = Node::of(Policy::new(config, u64::from(me) + 1), servers.clone());
        let first = until_call(&mut node);
        let Some((failure, unheard)) = fails else { return first };
        fail(&mut node, failure, unheard);
        until_call(&mut node)
    };
    let mut calls: Vec<_> = (0..balancers).map(call).collect();
    calls.sort_unstable();
    calls
}

/// How long it takes until a balancer calls discovery.
fn until_call(node: &mut Node) -> Micros {
    let begun = node.now;
    while !node.actions.contains(&Action::Subscribe(true)) {
        node.pass(MS);
        assert!(node.now < begun + 60 * SECOND, "no call at all");
    }
    node.actions.clear();
    node.now - begun
}

/// Tells a balancer that its call has failed.
fn fail(node: &mut Node, failure: DiscoveryFailure, unheard: Micros) -> Vec<Action> {
    node.event(Event::DiscoveryFailed { failure, since_last_contact: unheard })
}

/// The most calls within a second.
fn most(calls: &[Micros]) -> usize {
    let within = |from: &Micros| calls.iter().filter(|at| (*from..from + SECOND).contains(at)).count();
    calls.iter().map(within).max().unwrap()
}

/// What discovery has counts as notified after 6 s, of which the call itself takes a part.
const CALL_BY: Micros = 5_500 * MS;

#[test]
fn many_balancers_that_start_or_fail_together_do_not_call_discovery_together() {
    let servers = || vec![server(1), origin()];
    let failures =
        [DiscoveryFailure::Unreachable, DiscoveryFailure::Failed].map(|failure| Some((failure, 0)));
    for fails in [None, failures[0], failures[1]] {
        for (balancers, bound) in [(100, 40), (300, 90)] {
            let calls = next_calls(balancers, servers(), fails);
            let last = calls[calls.len() - 1];
            assert!(last <= CALL_BY + MS, "{last}: later it counts as notified what it was not, {fails:?}");
            assert!(most(&calls) <= bound, "{} of {balancers} within a second, {fails:?}", most(&calls));
        }
    }
    let few = next_calls(2, servers(), None);
    assert!(few.iter().all(|at| *at < 150 * MS), "two have no need to wait: {few:?}");
    let blind = next_calls(100, Vec::new(), None);
    assert_eq!(blind, [0; 100], "one that knows no server can't serve before it has asked");
}

#[test]
fn however_a_call_ended_the_next_comes_in_time_for_what_discovery_may_have_had_since() {
    for balancers in [3, 30, 300] {
        for me in 0..balancers.min(30) {
            let config = Settings {
                balancer_count: balancers,
                balancer_index: me,
                pull_discovery: true,
                ..settings()
            };
            let mut node = Node::of(Policy::new(config, u64::from(me) + 1), vec![server(1), origin()]);
            until_call(&mut node);
            for round in 0..20 {
                let (failure, took) = match (me + round) % 4 {
                    0 => (DiscoveryFailure::Unreachable, 0),
                    1 => (DiscoveryFailure::Unreachable, SECOND),
                    2 => (DiscoveryFailure::Failed, SECOND),
                    _ => (DiscoveryFailure::TimedOut, 2_500 * MS),
                };
                node.pass(took);
                fail(&mut node, failure, took);
                let wait = took + until_call(&mut node);
                assert!(wait <= CALL_BY + MS, "{balancers}, {failure:?}: {wait} from one call to the next");
            }
        }
    }
}

#[test]
fn a_list_begins_the_time_for_the_next_call_anew_and_one_call_stands_for_all_that_were_asked_for() {
    let config = Settings { balancer_count: 300, pull_discovery: true, ..settings() };
    let mut node = Node::of(Policy::new(config, 1), vec![server(1), origin()]);
    until_call(&mut node);
    fail(&mut node, DiscoveryFailure::Failed, 0);
    node.event(Event::DiscoveryMoved);
    fail(&mut node, DiscoveryFailure::Failed, 0);
    let calls = node.pass(20 * SECOND).into_iter().filter(|a| *a == Action::Subscribe(true)).count();
    assert_eq!(calls, 1, "discovery pays for each");
    let mut waits = (0..40).map(|_| {
        node.list(ListKind::Full, vec![server(1), origin()]);
        fail(&mut node, DiscoveryFailure::Failed, 0);
        until_call(&mut node)
    });
    assert!(waits.any(|wait| wait > 3 * SECOND), "all of the time is used again");
}

#[test]
fn a_silent_discovery_is_called_again_before_what_it_missed_counts_as_told_however_many_balancers_there_are()
{
    let silent = (DiscoveryFailure::TimedOut, 2_500 * MS);
    let calls = next_calls(300, vec![server(1), origin()], Some(silent));
    assert!(calls[299] <= 3_000 * MS + MS, "of 6 s since it fell silent, 2.5 s are gone: {calls:?}");
    assert!(calls[299] - calls[0] > SECOND, "and yet not all at once");
    let few = next_calls(3, vec![server(1), origin()], Some(silent));
    assert!(few.iter().all(|at| *at < 150 * MS), "few have no need to wait: {few:?}");
    // One that is silent time after time is as good as down.
    let config = Settings { pull_discovery: true, ..settings() };
    let mut node = Node::new(config, 3);
    let waits = [0; 3].map(|_| {
        node.actions.clear();
        fail(&mut node, silent.0, silent.1);
        until_call(&mut node)
    });
    assert!(waits[0] < 150 * MS && waits[1] < 150 * MS && waits[2] > SECOND, "{waits:?}");
}

/// However often discovery turns a call away, what it has since a watch was last heard counts as notified after 6 s, and after
/// a move 4 s later: a call has to be made shortly before that, and not only so long after the one before.
#[test]
fn a_small_fleet_calls_shortly_before_what_it_has_not_heard_counts_as_notified() {
    let failures = [
        (DiscoveryFailure::TimedOut, 2_500 * MS),
        (DiscoveryFailure::Failed, 0),
        (DiscoveryFailure::Interrupted, 0),
    ];
    for (balancers, me) in [(1, 0), (3, 1), (6, 0), (6, 3), (9, 7)] {
        for seed in 1..40 {
            for (failure, unheard) in failures {
                let by = CALL_BY - unheard;
                let calls = calls_after(
                    (balancers, me, seed),
                    Event::DiscoveryFailed { failure, since_last_contact: unheard },
                );
                let last = calls.iter().rev().find(|at| **at <= by + MS).expect("a call in time");
                assert!(*last + 2 * SECOND >= by, "{balancers}, {failure:?}: {calls:?}, due by {by}");
            }
            let calls = calls_after((balancers, me, seed), Event::DiscoveryMoved);
            let last = calls.iter().rev().find(|at| **at <= 3_500 * MS + MS).expect("a call in time");
            assert!(*last + 2 * SECOND >= 3_500 * MS, "{balancers}, moved: {calls:?}");
        }
    }
}

/// When a balancer calls in the next ten seconds, where each call is turned away 20 ms later.
fn calls_after((balancers, me, seed): (u32, u32, u64), event: Event) -> Vec<Micros> {
    let config =
        Settings { balancer_count: balancers, balancer_index: me, pull_discovery: true, ..settings() };
    let mut node = Node::of(Policy::new(config, seed), vec![server(1), origin()]);
    until_call(&mut node);
    node.list(ListKind::Full, vec![server(1), origin()]);
    node.pass(20 * SECOND);
    let begun = node.now;
    node.actions.clear();
    node.event(event);
    let mut calls = Vec::new();
    while node.now < begun + 10 * SECOND {
        until_call(&mut node);
        calls.push(node.now - begun);
        node.pass(20 * MS);
        node.actions.clear();
        fail(&mut node, DiscoveryFailure::Failed, 20 * MS);
    }
    calls
}

/// A watch that breaks in the middle of a list, or is reset, may have taken news with it that counts as notified once it was
/// written. There is the grace of a drain for another call and its wait in line.
#[test]
fn after_a_watch_that_was_cut_off_a_small_fleet_calls_again_well_within_the_grace_of_a_drain() {
    let cut_off = Some((DiscoveryFailure::Interrupted, 0));
    let grace = settings().drain_grace_time;
    for balancers in [1, 3, 6, 8] {
        let calls = next_calls(balancers, vec![server(1), origin()], cut_off);
        assert!(calls[calls.len() - 1] <= grace / 4 + MS, "{balancers}: {calls:?}, the grace is {grace}");
    }
    let many = next_calls(300, vec![server(1), origin()], cut_off);
    assert!(most(&many) <= 90, "a large fleet may be cut off all at once, and must not call at once");
    let config = Settings { balancer_count: 6, pull_discovery: true, ..settings() };
    let mut node = Node::of(Policy::new(config, 1), vec![server(1), origin()]);
    let waits = [0; 4].map(|_| {
        node.actions.clear();
        fail(&mut node, DiscoveryFailure::Interrupted, 0);
        until_call(&mut node)
    });
    assert!(waits[2] > 500 * MS, "one that is cut off time after time is called less often: {waits:?}");
}

#[test]
fn many_balancers_that_are_told_at_once_of_a_new_discovery_do_not_call_it_together() {
    let calls = |balancers: u32| {
        let call = |me: u32| {
            let config = Settings {
                balancer_count: balancers,
                balancer_index: me,
                pull_discovery: true,
                ..settings()
            };
            let mut node = Node::of(Policy::new(config, u64::from(me) + 1), vec![server(1), origin()]);
            node.pass(20 * SECOND);
            node.actions.clear();
            node.event(Event::DiscoveryMoved);
            until_call(&mut node)
        };
        let mut calls: Vec<_> = (0..balancers).map(call).collect();
        calls.sort_unstable();
        calls
    };
    let many = calls(300);
    let most = many.iter().map(|from| many.iter().filter(|at| (*from..from + 250 * MS).contains(at)).count());
    assert!(most.max().unwrap() < 60, "of 300, a tenth of the time each");
    assert!(many[299] <= 2_500 * MS + MS, "what it tells counts as notified after 4 s: {many:?}");
    assert!(calls(2)[1] <= 100 * MS, "two have no need to wait");
}

#[test]
fn a_failed_call_to_discovery_is_repeated_later_and_not_at_once() {
    let config = Settings { pull_discovery: true, ..settings() };
    let mut node = Node::new(config, 3);
    assert!(node.actions.contains(&Action::Subscribe(true)), "subscribes at the start");
    node.actions.clear();
    fail(&mut node, DiscoveryFailure::Failed, 0);
    assert!(!node.actions.contains(&Action::Subscribe(true)));
    assert!(node.pass(2 * SECOND).contains(&Action::Subscribe(true)));
    assert!(sent_to(&node.request(read(1, 9))).is_some(), "the old list stays in force");
}

/// A discovery that serves calls one after another. One that has waited for too long when its turn comes is turned
/// away, and has cost as much as one that is served.
struct Discovery {
    service: Micros,
    /// How long a call may wait.
    limit: Micros,
    /// Whose calls wait, and since when.
    line: VecDeque<(usize, Micros)>,
    /// Whom it is busy with, since when that one has called, and until when.
    turn: Option<(usize, Micros, Micros)>,
}

impl Discovery {
    /// The next that it is done with by a time: whom, since when that one had called, and whether it is served.
    fn done(&mut self, now: Micros) -> Option<(usize, Micros, bool)> {
        let (node, called, until) = self.turn.filter(|turn| turn.2 <= now)?;
        self.next(until);
        Some((node, called, until - self.service <= called + self.limit))
    }

    fn next(&mut self, now: Micros) {
        let next = self.line.pop_front();
        self.turn = next.map(|(node, called)| (node, called, now.max(called) + self.service));
    }
}

/// What discovery does with a call while it is down.
#[derive(Clone, Copy, Debug)]
enum Down {
    Refuses,
    /// It lets it wait for as long as any other, and turns it away.
    LetsWait,
}

/// A fleet whose watches all break as discovery goes down for some time. After its return: when each balancer has its
/// list, and how many calls were in vain.
fn outage(
    balancers: u32,
    (service, limit): (Micros, Micros),
    down: Down,
    for_s: u64,
) -> (Vec<Micros>, usize) {
    let start = |me| {
        let config =
            Settings { balancer_count: balancers, balancer_index: me, pull_discovery: true, ..settings() };
        let mut node = Node::of(Policy::new(config, u64::from(me) + 1), vec![server(1), origin()]);
        until_call(&mut node);
        node.list(ListKind::Full, vec![server(1), origin()]);
        node.pass(100 * SECOND - node.now);
        node.actions.clear();
        fail(&mut node, DiscoveryFailure::Failed, 0);
        node
    };
    let mut fleet: Vec<_> = (0..balancers).map(start).collect();
    let mut discovery = Discovery { service, limit, line: VecDeque::new(), turn: None };
    let (mut now, back) = (100 * SECOND, (100 + for_s) * SECOND);
    let (mut heard, mut in_vain, mut waiting) = (Vec::new(), 0, VecDeque::new());
    while heard.len() < fleet.len() && now < back + 60 * SECOND {
        now += 5 * MS;
        while let Some((node, called, served)) = discovery.done(now) {
            if served {
                heard.push(now - back);
                fleet[node].list(ListKind::Full, vec![server(1), origin()]);
            } else {
                in_vain += 1;
                waiting.push_back((node, called));
            }
        }
        // Turned away, however long the line is, when they have waited for long enough.
        while let Some((node, called)) = waiting.pop_front_if(|(_, called)| *called + limit <= now) {
            fail(&mut fleet[node], DiscoveryFailure::Failed, now - called);
        }
        for (number, node) in fleet.iter_mut().enumerate() {
            if node.pass(now - node.now).contains(&Action::Subscribe(true)) {
                match down {
                    _ if now >= back => discovery.line.push_back((number, now)),
                    Down::Refuses => drop(fail(node, DiscoveryFailure::Unreachable, 0)),
                    Down::LetsWait => waiting.push_back((number, now)),
                }
            }
            node.actions.clear();
        }
        if discovery.turn.is_none() {
            discovery.next(now);
        }
    }
    (heard, in_vain)
}

/// Prints what `docs/findings/standing.md` holds: `cargo test --release --test calls -- --ignored --nocapture`.
#[test]
#[ignore = "a table for the findings"]
fn table_of_a_discovery_that_returns() {
    println!(
        "balancers, all calls take: last heard, heard within 6 s, calls in vain, over outages of 8, 12 and 31 s"
    );
    for down in [Down::Refuses, Down::LetsWait] {
        for limit in [SECOND, 2 * SECOND] {
            for (balancers, calls_take) in [
                (3, [150, 300, 600, 750]),
                (30, [3_000, 4_000, 6_000, 8_100]),
                (300, [4_000, 5_000, 6_000, 8_100]),
            ] {
                for all in calls_take.map(|ms| ms * MS) {
                    print!("{down:?} limit {} s, {balancers:>3} in {:>4} ms:", limit / SECOND, all / MS);
                    for for_s in [8, 12, 31] {
                        let (heard, in_vain) =
                            outage(balancers, (all / u64::from(balancers), limit), down, for_s);
                        let in_time = heard.iter().filter(|at| **at <= 6 * SECOND).count();
                        let last = heard.last().map_or(0, |at| at / MS);
                        let all = if heard.len() < balancers as usize { "not all" } else { "" };
                        print!(" | {last:>6} {all} {in_time:>4} {in_vain:>4}");
                    }
                    println!();
                }
            }
        }
    }
}
