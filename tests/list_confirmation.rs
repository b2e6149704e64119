//! Tests of how the decision module uses the cached list after a restart where lists are pushed, until
//! discovery has answered the first watch.
#![allow(missing_docs)]

mod common;

use common::*;
use pondproxy::*;

/// Drain grace time in these tests.
const DRAIN_GRACE: Micros = SECOND;
/// Time for which a node may be held up between a decision and its write.
const NODE_HELD_UP: Micros = 150 * MS;
/// Pause before the node reopens a watch.
const REOPEN_PAUSE: Micros = 250 * MS;
/// Time within which a restarted balancer must be ready.
const READY_WITHIN: Micros = 10 * SECOND;

/// Returns a balancer that has just restarted with a cached list of three servers and opens its first watch.
fn restarted() -> TestNode {
    let settings = Settings { drain_grace_time: DRAIN_GRACE, ..settings() };
    let mut node = TestNode::just_started(settings, 3);
    node.deliver(Event::FirstWatchOpening);
    node
}

fn fail_call(node: &mut TestNode, failure: DiscoveryFailure) {
    node.deliver(Event::DiscoveryFailed { failure, since_last_contact: 0 });
}

/// Whether a read is sent now, which is then answered. `id` must be new.
fn sends_read(node: &mut TestNode, id: RequestId) -> bool {
    let Some(server) = sent_to(&node.request(read(id, id))) else { return false };
    node.outcome(id, 0, server, Status::Success);
    true
}

#[test]
fn cached_list_is_used_at_first_and_no_longer_once_its_drains_count() {
    let mut node = restarted();
    assert!(sends_read(&mut node, 1), "at the first moment");
    assert!(!node.policy.is_list_settled(), "no clients are invited yet");
    node.advance(DRAIN_GRACE - NODE_HELD_UP);
    let actions = node.request(read(2, 2));
    assert_eq!(count_sends(&actions), 0, "a write that is held up would come after the grace time");
    assert!(is_shed(&actions, 2), "the read is refused at once");
    let actions = node.request(write(3, 2));
    assert_eq!(count_sends(&actions), 0, "no write is sent to the origin of the cached list");
    assert!(is_shed(&actions, 3), "the write is refused at once");
}

#[test]
fn no_retry_hedge_or_fetch_is_sent_by_a_cached_list_that_may_no_longer_be_used() {
    for status in [Status::Miss, Status::Error, Status::Rejected, Status::ConnectFailed, Status::NotSent] {
        let mut node = restarted();
        let server = sent_to(&node.request(read(1, 1))).expect("sent at the first moment");
        // Slow attempts are hedged meanwhile, while the cached list may still be used.
        node.advance(DRAIN_GRACE - NODE_HELD_UP);
        let sent_before = count_sends(&node.actions);
        node.outcome(1, 0, server, status);
        node.advance(SECOND);
        assert_eq!(count_sends(&node.actions), sent_before, "after {status:?}");
    }
}

#[test]
fn answered_watch_and_received_list_make_the_list_usable() {
    let answers: [fn(&mut TestNode); 3] = [
        |node| drop(node.deliver(Event::DiscoverySynchronized)),
        |node| drop(node.server_list(ListKind::Full, vec![server(1), origin()])),
        |node| drop(node.server_list(ListKind::Delta, vec![server(4)])),
    ];
    for answer in answers {
        let mut node = restarted();
        node.advance(2 * DRAIN_GRACE);
        assert!(!sends_read(&mut node, 1));
        answer(&mut node);
        assert!(node.policy.is_list_settled() && sends_read(&mut node, 2));
    }
}

#[test]
fn truncated_list_does_not_confirm_the_cached_one() {
    let mut node = restarted();
    node.advance(2 * DRAIN_GRACE);
    let draining = ServerEntry { state: ServerState::Draining, ..server(1) };
    node.server_list(ListKind::Withdrawal, vec![draining]);
    assert!(!node.policy.is_list_settled() && !sends_read(&mut node, 1));
}

#[test]
fn failed_calls_do_not_confirm_the_cached_list() {
    let failures = [
        DiscoveryFailure::Unreachable,
        DiscoveryFailure::Failed,
        DiscoveryFailure::Interrupted,
        DiscoveryFailure::TimedOut,
    ];
    for failure in failures {
        let mut node = restarted();
        node.advance(2 * DRAIN_GRACE);
        fail_call(&mut node, failure);
        assert!(!node.policy.is_list_settled() && !sends_read(&mut node, 1), "after {failure:?}");
    }
}

#[test]
fn cached_list_is_used_while_discovery_is_down_and_counts_anew_from_its_return() {
    let mut node = restarted();
    for _ in 0..30 * SECOND / REOPEN_PAUSE {
        fail_call(&mut node, DiscoveryFailure::Refused);
        node.advance(REOPEN_PAUSE);
    }
    assert!(node.policy.is_list_settled() && sends_read(&mut node, 1), "discovery is down");
    node.deliver(Event::DiscoveryConnected);
    assert!(sends_read(&mut node, 2), "discovery has just returned");
    node.advance(DRAIN_GRACE - NODE_HELD_UP);
    assert!(!sends_read(&mut node, 3), "what discovery has counts since its return");
    fail_call(&mut node, DiscoveryFailure::Refused);
    assert!(!sends_read(&mut node, 4), "it had changes to report, though it is down again");
    node.deliver(Event::DiscoverySynchronized);
    assert!(sends_read(&mut node, 5));
}

// Guards against sends after the grace time at the return of discovery. It may have returned just after the
// last refused connection, but its changes counted only from the next connection, a pause later.
#[test]
fn what_discovery_has_at_its_return_counts_from_the_last_refused_connection() {
    let mut node = restarted();
    fail_call(&mut node, DiscoveryFailure::Refused);
    node.advance(10 * SECOND);
    fail_call(&mut node, DiscoveryFailure::Refused);
    node.advance(REOPEN_PAUSE);
    node.deliver(Event::DiscoveryConnected);
    assert!(sends_read(&mut node, 1), "discovery has returned within the last pause");
    node.advance(DRAIN_GRACE - NODE_HELD_UP - REOPEN_PAUSE);
    assert!(!sends_read(&mut node, 2), "discovery may have returned just after it refused a connection");
    node.advance(SECOND);
    assert!(!sends_read(&mut node, 3) && !node.policy.is_list_settled(), "and so until it answers");
}

#[test]
fn refused_connection_after_an_accepted_one_does_not_show_that_discovery_had_nothing_to_report() {
    let mut node = restarted();
    node.deliver(Event::DiscoveryConnected);
    fail_call(&mut node, DiscoveryFailure::Failed);
    fail_call(&mut node, DiscoveryFailure::Refused);
    node.advance(DRAIN_GRACE);
    assert!(!sends_read(&mut node, 1));
}

#[test]
fn cached_list_is_used_in_the_end_if_no_call_succeeds() {
    let mut node = restarted();
    for _ in 0..READY_WITHIN / SECOND {
        node.deliver(Event::DiscoveryConnected);
        node.advance(SECOND);
        fail_call(&mut node, DiscoveryFailure::Failed);
    }
    assert!(node.policy.is_list_settled() && sends_read(&mut node, 1));
    node.deliver(Event::DiscoveryConnected);
    node.advance(2 * DRAIN_GRACE);
    assert!(sends_read(&mut node, 2), "a later call does not end this");
}

#[test]
fn list_that_is_not_from_a_restart_needs_no_confirmation() {
    let mut node = TestNode::new(settings(), 3);
    for failure in [DiscoveryFailure::Refused, DiscoveryFailure::Failed, DiscoveryFailure::TimedOut] {
        fail_call(&mut node, failure);
        node.deliver(Event::DiscoveryConnected);
        node.advance(SECOND);
    }
    assert!(node.policy.is_list_settled() && sends_read(&mut node, 1), "a running balancer goes on");
}
