//! The module event by event, without the bench: one test for each behaviour and each failure found.
#![allow(missing_docs)]

mod common;

use common::*;
use pondproxy::*;

#[test]
fn all_balancers_order_servers_alike_for_a_key_and_removing_a_server_moves_only_its_keys() {
    let first_server = |ids: &[u32], key: Key, seed: u64| {
        let mut policy = Policy::new(settings(), seed);
        let servers = ids.iter().map(|id| server(*id)).collect();
        let mut actions = Vec::new();
        policy.handle(SECOND, Event::ServerList { kind: ListKind::Cached, servers }, &mut actions);
        policy.handle(SECOND, Event::Request(read(1, key)), &mut actions);
        sent_to(&actions).expect("sent")
    };
    let all: Vec<u32> = (1..=10).collect();
    let without_server_10: Vec<u32> = (1..=9).collect();
    let mut moved = 0;
    for key in 1..=500 {
        let first = first_server(&all, key, 1);
        assert_eq!(first, first_server(&all, key, 2), "another balancer, another seed, the same server");
        let after_removal = first_server(&without_server_10, key, 1);
        assert!(after_removal == first || first == 10, "only keys of the server that went move");
        moved += usize::from(after_removal != first);
    }
    assert!((20..=90).contains(&moved), "{moved} of 500 keys moved");
}

#[test]
fn a_server_over_its_load_bound_is_skipped_for_the_next_in_the_key_order() {
    let mut node = TestNode::new(settings(), 4);
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    let mut chosen = vec![first];
    for id in 2..=12 {
        chosen.push(sent_to(&node.request(read(id, 9))).unwrap());
    }
    assert_eq!(&chosen[..4], [first; 4], "within the floor the order holds");
    // Incident i3bc6f5: with a floor of eight from one balancer, the busiest server had seven times the mean.
    assert_ne!(chosen[4], first, "over the bound the next server is used");
}

/// Has a server report that it holds so many, lets time pass, and tells how many of twenty reads of its key go
/// elsewhere. This balancer's part of all requests a second is given.
fn reads_sent_elsewhere(requests_per_s: f64, reported_in_flight: f32, wait: Micros) -> usize {
    let (balancer_count, tenants) = (100, vec![Tenant { quota_per_s: 100.0 * requests_per_s }]);
    let load_fields = vec![LoadField::InFlight];
    let mut node = TestNode::new(Settings { balancer_count, tenants, load_fields, ..settings() }, 4);
    let first = sent_to(&node.request(read(100, 9))).unwrap();
    let load = LoadReport { count: 1, values: [reported_in_flight, 0.0, 0.0, 0.0] };
    let (request, server, status, lookup) = (100, first, Status::Success, CacheLookup::Hit);
    let outcome =
        Outcome { request, attempt: 0, server, status, request_finished: true, lookup, elapsed: MS, load };
    node.deliver(Event::Outcome(outcome));
    node.advance(wait);
    let mut sent_elsewhere = 0;
    for id in 101..=120 {
        let to = sent_to(&node.request(read(id, 9))).unwrap();
        sent_elsewhere += usize::from(to != first);
        node.outcome(id, 0, to, Status::Success);
    }
    sent_elsewhere
}

#[test]
fn a_server_that_reports_many_requests_is_skipped_even_without_attempts_of_this_balancer() {
    assert_eq!(reads_sent_elsewhere(50.0, 2.0, MS), 0, "a few at work are no crowd");
    assert_eq!(reads_sent_elsewhere(50.0, 40.0, MS), 20, "held by others, and none of this balancer's");
    let some = reads_sent_elsewhere(50.0, 12.0, MS);
    assert!((5..=19).contains(&some), "{some} of 20: no two balancers skip it, or come back, in step");
}

#[test]
fn load_reports_stay_valid_longer_at_a_balancer_that_calls_each_server_rarely() {
    assert_eq!(
        reads_sent_elsewhere(50.0, 40.0, 4 * SECOND),
        0,
        "ten answers a second of each server: this one is old"
    );
    assert!(
        reads_sent_elsewhere(5.0, 40.0, 4 * SECOND) >= 10,
        "an answer a second: this one may be the latest there is"
    );
    assert_eq!(reads_sent_elsewhere(5.0, 40.0, 10 * SECOND), 0, "but it does not hold for ever");
}

/// A node that has this part of all requests a second, and the server that refused one connection to it and so
/// many more, each to a read of its own.
fn node_after_failed_connects(requests_per_s: f64, failed_connects: u64) -> (TestNode, ServerId) {
    let (balancer_count, tenants) = (100, vec![Tenant { quota_per_s: 100.0 * requests_per_s }]);
    let mut node = TestNode::new(Settings { balancer_count, tenants, ..settings() }, 4);
    let first = sent_to(&node.request(read(100, 9))).unwrap();
    node.outcome(100, 0, first, Status::ConnectFailed);
    for id in 101..100 + failed_connects {
        assert_eq!(sent_to(&node.request(read(id, 9))), Some(first), "refusal {} is not enough", id - 100);
        node.outcome(id, 0, first, Status::ConnectFailed);
    }
    (node, first)
}

#[test]
fn a_balancer_with_little_traffic_ejects_at_the_first_failed_connect_and_for_longer() {
    let (mut node, first) = node_after_failed_connects(2.0, 1);
    assert_ne!(sent_to(&node.request(read(200, 9))), Some(first), "two requests a second for five servers");
    node.advance(2 * SECOND);
    assert_ne!(sent_to(&node.request(read(201, 9))), Some(first), "not yet its turn again");
    node.advance(SECOND);
    assert_eq!(sent_to(&node.request(read(202, 9))), Some(first), "tried again after a round");
    let (mut node, first) = node_after_failed_connects(50.0, 3);
    assert_ne!(sent_to(&node.request(read(200, 9))), Some(first), "one that asks it often waits for three");
    node.advance(SECOND);
    assert_eq!(sent_to(&node.request(read(201, 9))), Some(first));
}

/// A node that knows zone 0 (servers 1 to 6) and zone 1 (servers 7 to 12), and a key of each server.
fn node_with_two_zones() -> (TestNode, Vec<Key>) {
    let (balancer_count, tenants) = (100, vec![Tenant { quota_per_s: 1_000.0 }]);
    let config = Settings { balancer_count, tenants, ..settings() };
    let mut servers: Vec<_> =
        (1..=12).map(|id| ServerEntry { zone: u8::from(id > 6), ..server(id) }).collect();
    servers.push(origin());
    let mut node = TestNode::with_policy(Policy::new(config, 7), servers);
    let mut keys = vec![0; 12];
    for key in 1..=200 {
        let first = sent_to(&node.request(read(key, key))).unwrap();
        node.outcome(key, 0, first, Status::Success);
        keys[first as usize - 1] = key;
        node.advance(100 * MS);
    }
    (node, keys)
}

#[test]
fn a_silent_zone_is_ejected_as_a_whole_and_its_attempts_are_retried_elsewhere_at_once() {
    for zone_answers in [false, true] {
        let (mut node, keys) = node_with_two_zones();
        // Of a class that is sent no second copy for being slow.
        for id in 0..4 {
            let request = read(1_000 + id, keys[6 + id as usize]);
            node.request(Request { class: 1, time_left: 300 * MS, ..request });
            node.advance(2 * MS);
        }
        let early = node.advance(100 * MS);
        assert_eq!(count_sends(&early), 0);
        if zone_answers {
            assert_eq!(sent_to(&node.request(read(1_010, keys[11]))), Some(12));
            node.outcome(1_010, 0, 12, Status::Success);
        }
        let retries = count_sends(&node.advance(50 * MS));
        assert_eq!(retries, if zone_answers { 0 } else { 4 }, "sent again, zone 1 answers: {zone_answers}");
        let next = sent_to(&node.request(read(1_020, keys[11]))).unwrap();
        assert_eq!(next <= 6, !zone_answers, "a server that has not failed itself: {next}");
        node.outcome(1_020, 0, next, Status::Success);
        node.advance(10 * SECOND);
        assert_eq!(sent_to(&node.request(read(1_030, keys[10]))), Some(11), "the zone is tried again");
    }
}

#[test]
fn a_server_that_fails_hits_is_ejected_although_it_still_answers_misses() {
    let failures = |requests_per_s: f64| {
        let (balancer_count, tenants) = (100, vec![Tenant { quota_per_s: 100.0 * requests_per_s }]);
        let mut node = TestNode::new(Settings { balancer_count, tenants, ..settings() }, 4);
        let first = sent_to(&node.request(read(100, 9))).unwrap();
        let mut failures = 0;
        for id in 0..10 {
            node.outcome(100 + 2 * id, 0, first, Status::Error);
            failures += 1;
            if sent_to(&node.request(read(101 + 2 * id, 9))) != Some(first) {
                break;
            }
            node.outcome(101 + 2 * id, 0, first, Status::Miss);
            assert_eq!(sent_to(&node.request(read(102 + 2 * id, 9))), Some(first));
        }
        failures
    };
    assert_eq!(failures(50.0), 3, "the misses between are no recovery");
    assert_eq!(failures(2.0), 1, "one that asks it seldom would find it out again and again");
}

#[test]
fn a_read_is_shed_at_once_when_reported_queues_would_make_it_late() {
    let tenants = vec![Tenant { quota_per_s: 500.0 }];
    let base = Settings { balancer_count: 100, weights_are_capacities: true, tenants, ..settings() };
    let mut node = TestNode::with_policy(
        Policy::new(Settings { load_fields: vec![LoadField::InFlight], ..base }, 7),
        vec![ServerEntry { weight: 4.0, ..server(1) }, origin()],
    );
    for (id, reported_in_flight, full) in
        [(1, 4.0, false), (2, 16.0, false), (3, 120.0, true), (4, 0.0, false)]
    {
        assert_eq!(sent_to(&node.request(read(id, 9))), Some(1));
        node.advance(100 * MS);
        let load = LoadReport { count: 1, values: [reported_in_flight, 0.0, 0.0, 0.0] };
        let (status, lookup) = (Status::Success, CacheLookup::Hit);
        let outcome = Outcome {
            request: id,
            attempt: 0,
            server: 1,
            status,
            request_finished: true,
            lookup,
            elapsed: MS,
            load,
        };
        node.deliver(Event::Outcome(outcome));
        // A full server is asked again once its report has faded.
        let actions = node.request(read(100 + id, 9));
        assert_eq!(is_shed(&actions, 100 + id), full, "{reported_in_flight} held by four cores, 100 ms each");
        node.outcome(100 + id, 0, 1, Status::Success);
        node.advance(4 * SECOND);
    }
}

#[test]
fn a_server_without_answers_since_a_nearly_late_attempt_is_presumed_overloaded() {
    let sent_back = |wait: Micros| {
        let tenants = vec![Tenant { quota_per_s: 500.0 }];
        let config = Settings { balancer_count: 100, weights_are_capacities: true, tenants, ..settings() };
        let mut servers: Vec<_> = (1..=4).map(|id| ServerEntry { weight: 4.0, ..server(id) }).collect();
        servers.push(origin());
        let mut node = TestNode::with_policy(Policy::new(config, 7), servers);
        node.advance(10 * SECOND);
        let first = sent_to(&node.request(read(1, 9))).unwrap();
        node.advance(20 * MS);
        node.outcome(1, 0, first, Status::Success);
        node.advance(MS);
        // Of a class that is sent no second copy; its aim is 150 ms, and answers take 20 ms.
        let request = Request { class: 1, time_left: 300 * MS, ..read(2, 9) };
        assert_eq!(sent_to(&node.request(request)), Some(first));
        node.advance(wait);
        node.outcome(2, 0, first, Status::Cancelled);
        (3..=6)
            .filter(|id| {
                let to = sent_to(&node.request(read(*id, 9))).unwrap();
                node.outcome(*id, 0, to, Status::Success);
                to == first
            })
            .count()
    };
    assert_eq!(sent_back(100 * MS), 4, "slow, and not yet nearly late");
    assert_eq!(sent_back(125 * MS), 0, "no report tells of it, nor will one before its answers come");
}

#[test]
fn a_hot_key_is_spread_over_several_servers_by_a_balancer_that_never_has_two_attempts_at_one() {
    // Found on join+mass: one key was 15% of the work, and its server was left to one in 300 balancers after
    // the other.
    let servers_used = |balancer_count: u32, server_count: u32, hot_key: Key, work: Micros| {
        let config = Settings { balancer_count, tenants: vec![Tenant { quota_per_s: 3600.0 }], ..settings() };
        let mut node = TestNode::new(config, server_count);
        let mut servers_seen = std::collections::BTreeSet::new();
        for id in 1..=1000 {
            node.now += 60 * MS;
            // Every tenth request is for one key, all others are for a key of their own.
            let key = if id % 10 == 0 { hot_key } else { 1000 + id };
            let expected_work = Some(if id % 10 == 0 { work } else { 50 * MS });
            let to = sent_to(&node.request(Request { expected_work, ..read(id, key) })).unwrap();
            node.outcome(id, 0, to, Status::Success);
            servers_seen.extend((id > 500 && id % 10 == 0).then_some(to));
        }
        servers_seen.len()
    };
    assert_eq!(servers_used(3, 10, 9, 50 * MS), 1, "a tenth of all is one server's due of ten");
    assert!(
        (10..=16).contains(&servers_used(300, 160, 9, 50 * MS)),
        "{}",
        servers_used(300, 160, 9, 50 * MS)
    );
    assert!(
        servers_used(300, 160, 9, 150 * MS) > 20,
        "the more work it is, the more: {}",
        servers_used(300, 160, 9, 150 * MS)
    );
}

#[test]
fn a_key_requested_occasionally_stays_at_its_server() {
    let tenants = vec![Tenant { quota_per_s: 3600.0 }];
    let mut node = TestNode::new(Settings { balancer_count: 300, tenants, ..settings() }, 160);
    let mut server_of_key = std::collections::BTreeMap::new();
    for id in 1..=1600 {
        node.now += 60 * MS;
        let key = 1 + id % 160;
        let to = sent_to(&node.request(read(id, key))).unwrap();
        node.outcome(id, 0, to, Status::Success);
        assert_eq!(*server_of_key.entry(key).or_insert(to), to, "one in 160 for as many servers");
    }
}

#[test]
fn the_load_bound_is_wider_while_the_gate_has_no_room_for_the_fetch_after_a_skip() {
    // Incidents ia996fa (the origin had room, queues at few servers) and iaa6bb1 (the gate refused).
    let accepted_by_first = |gate_blocked: bool| {
        let mut node = TestNode::new(Settings { balancer_count: 8, ..settings() }, 4);
        for id in (1..=30).filter(|_| gate_blocked) {
            node.request(write(id, 1));
        }
        node.advance(20 * MS);
        let first = sent_to(&node.request(read(101, 9))).unwrap();
        (102..=106).take_while(|id| sent_to(&node.request(read(*id, 9))) == Some(first)).count()
    };
    assert_eq!(accepted_by_first(false), 0, "the second request of eight balancers' fleet already goes on");
    assert_eq!(accepted_by_first(true), 2, "the bound is three times the mean");
}

#[test]
fn a_miss_is_fetched_from_the_origin_and_a_write_goes_there_at_once() {
    let mut node = TestNode::new(settings(), 3);
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    assert_ne!(first, ORIGIN);
    assert_eq!(sent_to(&node.outcome(1, 0, first, Status::Miss)), Some(ORIGIN));
    assert_eq!(sent_to(&node.request(write(2, 1))), Some(ORIGIN));
}

#[test]
fn a_closed_gate_defers_calls_with_jittered_backoff_and_requests_that_expire_deferred_are_shed() {
    let mut node = TestNode::new(Settings { tenants: vec![Tenant { quota_per_s: 1e3 }], ..settings() }, 3);
    let mut sent = 0;
    for id in 1..=20 {
        sent += count_sends(&node.request(write(id, 1)));
    }
    assert_eq!(sent, 10, "a balancer just started lets half of its twenty calls out");
    let after_outcome = node.outcome(1, 0, ORIGIN, Status::Success);
    assert_eq!(count_sends(&after_outcome), 0, "a postponed call waits for its delay");
    assert_eq!(count_sends(&node.advance(8 * MS)), 1, "an outcome lowers the counter and one more call goes");
    let later = node.advance(SECOND);
    let shed = (11..=20).filter(|id| is_shed(&later, *id)).count();
    assert_eq!(shed, 9, "what was never sent is refused, not failed");
}

#[test]
fn the_gate_window_limit_blocks_calls_that_the_in_flight_limit_would_allow() {
    let mut config = settings();
    config.tenants = vec![Tenant { quota_per_s: 100.0 }];
    config.balancer_count = 1;
    let mut node = TestNode::new(config, 3);
    let mut sent = 0;
    for id in 1..=25 {
        sent += count_sends(&node.request(write(id, 2)));
        node.outcome(id, 0, ORIGIN, Status::Success);
    }
    assert_eq!(sent, 18, "in a quarter of the longest aim, 187 ms, 18.75 of 100 a second");
}

#[test]
fn a_burst_of_a_few_misses_is_fetched_at_once_by_one_of_many_balancers() {
    // Found on roll+mass: two in five fetches waited, as a part of 30 a second is 3 in a tenth of a second.
    let tenants = vec![Tenant { quota_per_s: 3600.0 }];
    let mut node = TestNode::new(Settings { balancer_count: 300, tenants, ..settings() }, 3);
    let fetched = (1..=6).filter(|id| {
        let first = sent_to(&node.request(read(*id, 100 + id))).unwrap();
        sent_to(&node.outcome(*id, 0, first, Status::Miss)) == Some(ORIGIN)
    });
    assert_eq!(fetched.count(), 6, "within the part of fetches in the cap on what is out");
}

#[test]
fn the_gate_window_limit_lets_the_quota_through_when_most_reads_miss() {
    let mut config = settings();
    config.tenants = vec![Tenant { quota_per_s: 100.0 }];
    let mut node = TestNode::new(config, 3);
    let mut fetched = 0;
    for id in 1..=100 {
        let first = sent_to(&node.request(read(id, 100 + id))).unwrap();
        let actions = node.outcome(id, 0, first, Status::Miss);
        fetched += count_sends(&actions);
        node.outcome(id, 1, ORIGIN, Status::Success);
        fetched += count_sends(&node.advance(SECOND / 60));
    }
    assert!(fetched >= 95, "six in ten of the quota a second, {fetched} of 100 fetched");
}

#[test]
fn fetches_leave_room_for_writes_at_the_gate() {
    let mut node = TestNode::new(settings(), 3);
    for id in 1..=12 {
        let first = sent_to(&node.request(read(id, 100 + id))).unwrap();
        node.outcome(id, 0, first, Status::Miss);
    }
    assert_eq!(sent_to(&node.request(write(50, 1))), Some(ORIGIN));
}

#[test]
fn rejections_by_the_origin_lower_the_gate_limit_and_good_answers_restore_it() {
    let node_with_lowered_gate = || {
        let tenants = vec![Tenant { quota_per_s: 1e3 }];
        let mut node = TestNode::new(Settings { max_attempts: 1, tenants, ..settings() }, 3);
        for id in 1..=12 {
            node.request(write(id, 1));
            node.outcome(id, 0, ORIGIN, Status::Rejected);
            node.advance(MS);
        }
        node.advance(SECOND);
        assert!(node.actions.iter().any(|a| matches!(a, Action::Log(l) if l.contains("gate lowered"))));
        node
    };
    let mut node = node_with_lowered_gate();
    let burst = (100..120).map(|id| count_sends(&node.request(write(id, 1)))).sum::<usize>();
    assert_eq!(burst, 2, "the floor of a tenth of the ceiling");
    let mut node = node_with_lowered_gate();
    for id in 100..190 {
        node.advance(50 * MS);
        node.request(write(id, 1));
        node.outcome(id, 0, ORIGIN, Status::Success);
    }
    assert!(node.actions.iter().any(|a| matches!(a, Action::Log(l) if l.contains("gate restored"))));
}

#[test]
fn origin_calls_cancelled_before_they_are_slow_do_not_lower_the_gate_limit_but_slow_ones_do() {
    // Found on join+mass: clients that waited for 190 ms shut the gate of an origin that was idle.
    let gate_lowered = |wait: Micros| {
        let mut node = TestNode::new(settings(), 3);
        for id in 1..=60 {
            node.request(Request { time_left: wait, ..write(id, 2) });
            node.advance(2 * wait);
            node.outcome(id, 0, ORIGIN, Status::Cancelled);
        }
        node.actions.iter().any(|a| matches!(a, Action::Log(line) if line.starts_with("gate lowered")))
    };
    assert!(!gate_lowered(40 * MS), "the shortest aim is 150 ms");
    assert!(gate_lowered(200 * MS));
}

#[test]
fn rejected_attempts_and_failed_connects_are_retried_at_the_next_server_at_once() {
    let mut node = TestNode::new(settings(), 4);
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    let second = sent_to(&node.outcome(1, 0, first, Status::Rejected)).unwrap();
    let third = sent_to(&node.outcome(1, 1, second, Status::ConnectFailed)).unwrap();
    assert!(first != second && second != third && first != third);
    let fourth = sent_to(&node.outcome(1, 2, third, Status::Rejected)).unwrap();
    let last = node.outcome(1, 3, fourth, Status::Rejected);
    assert!(is_shed(&last, 1), "no attempts are left");
}

#[test]
fn every_request_gets_a_final_answer_before_its_deadline_when_no_server_answers() {
    let mut node = TestNode::new(settings(), 3);
    node.request(read(1, 9));
    node.request(Request { time_left: SECOND, ..write(2, 2) });
    let after = node.advance(1500 * MS);
    assert!(is_shed(&after, 1), "safe to repeat: a refusal is true");
    assert!(is_failed(&after, 2), "may have run: only a failure is true");
}

#[test]
fn a_time_out_at_the_deadline_is_answered_in_the_same_policy_call() {
    let mut node = TestNode::new(settings(), 3);
    node.request(Request { time_left: 300 * MS, ..write(1, 2) });
    node.now += 300 * MS;
    assert!(is_failed(&node.outcome(1, 0, ORIGIN, Status::TimedOut), 1));
}

#[test]
fn a_request_with_no_more_than_a_tick_left_is_shed_at_once() {
    let mut node = TestNode::new(settings(), 3);
    let actions = node.request(Request { time_left: MS, ..read(1, 9) });
    assert!(is_shed(&actions, 1) && count_sends(&actions) == 0);
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_was_not_executed() {
    let mut node = TestNode::new(settings(), 3);
    node.request(Request { time_left: SECOND, ..write(1, 2) });
    node.outcome(1, 0, ORIGIN, Status::Rejected);
    assert_eq!(count_sends(&node.advance(100 * MS)), 1, "turned away unseen: may go again");
    let actions = node.outcome(1, 1, ORIGIN, Status::Reset);
    assert!(is_failed(&actions, 1) && count_sends(&actions) == 0, "may have run: failed, nothing sent");
}

#[test]
fn malformed_answers_and_resets_are_retried_without_a_budget_and_do_not_eject_healthy_servers() {
    for status in [Status::Malformed, Status::Reset] {
        let mut node = TestNode::new(settings(), 4);
        for id in 1..=40 {
            let first = sent_to(&node.request(read(id, id))).unwrap();
            let second = sent_to(&node.outcome(id, 0, first, status)).expect("tried again");
            assert_eq!(first, second, "where the key is held");
            let third = sent_to(&node.outcome(id, 1, second, status)).expect("and again");
            assert_ne!(first, third, "but not for ever");
            node.outcome(id, 2, third, Status::Success);
            // What it is asked for otherwise is answered well.
            for good in 1..=2 {
                let server = sent_to(&node.request(read(100 * id + good, id))).unwrap();
                assert_eq!(server, first, "neither set aside nor taken for cold");
                node.outcome(100 * id + good, 0, server, Status::Success);
            }
        }
    }
}

#[test]
fn a_server_with_reset_connections_is_not_presumed_cold_when_it_answers_again() {
    let mut node = TestNode::new(settings(), 1);
    let mut id = 0;
    while !node.actions.iter().any(|a| matches!(a, Action::Log(line) if line.contains("set aside"))) {
        id += 1;
        node.request(read(id, 9));
        (0..3).for_each(|attempt| drop(node.outcome(id, attempt, 1, Status::Reset)));
        assert!(id < 100);
    }
    node.advance(SECOND);
    node.request(read(500, 9));
    node.outcome(500, 0, 1, Status::Success);
    let sent = (501..=560).filter(|id| sent_to(&node.request(read(*id, *id))).is_some()).count();
    assert!(sent >= 30, "{sent} of 60: a cold one would get a part of its keys");
}

#[test]
fn a_malformed_answer_is_retried_within_the_deduplication_window_and_fails_a_non_idempotent_write() {
    let mut node = TestNode::new(settings(), 4);
    node.request(write(1, 1));
    assert_eq!(sent_to(&node.outcome(1, 0, ORIGIN, Status::Malformed)), Some(ORIGIN));
    node.request(write(2, 1));
    node.advance(190 * MS);
    assert!(is_failed(&node.outcome(2, 0, ORIGIN, Status::Malformed), 2), "no longer dropped for sure");
    node.request(write(3, 2));
    assert!(is_failed(&node.outcome(3, 0, ORIGIN, Status::Malformed), 3));
}

#[test]
fn a_deduplicated_write_is_retried_only_while_a_connect_fits_into_its_window() {
    for (elapsed_ms, connect_timeout_ms, retries) in [(100, 20, 1), (100, 90, 1), (100, 110, 0), (180, 20, 0)]
    {
        let mut node = TestNode::new(Settings { connect_timeout: connect_timeout_ms * MS, ..settings() }, 1);
        node.request(write(1, 1));
        node.advance(elapsed_ms * MS);
        let next = node.outcome(1, 0, ORIGIN, Status::Reset);
        assert_eq!(
            count_sends(&next),
            retries,
            "after {elapsed_ms} of 200 ms, a connection takes {connect_timeout_ms}"
        );
        assert_eq!(is_failed(&next, 1), retries == 0);
    }
}

#[test]
fn malformed_answers_and_resets_of_the_origin_do_not_lower_the_gate_limit() {
    let mut node = TestNode::new(settings(), 4);
    for id in 1..=30 {
        node.request(write(id, 2));
        node.outcome(id, 0, ORIGIN, if id % 2 == 0 { Status::Malformed } else { Status::Reset });
        node.advance(100 * MS);
    }
    assert!(!node.actions.iter().any(|a| matches!(a, Action::Log(line) if line.contains("gate lowered"))));
}

#[test]
fn no_attempt_goes_to_a_draining_or_removed_server() {
    for (kind, state) in [
        (ListKind::Delta, ServerState::Draining),
        (ListKind::Delta, ServerState::Removed),
        (ListKind::Full, ServerState::Removed),
    ] {
        let mut node = TestNode::new(settings(), 3);
        let first = sent_to(&node.request(read(1, 9))).unwrap();
        let servers = match kind {
            ListKind::Full => (1..=3).filter(|id| *id != first).map(server).chain([origin()]).collect(),
            _ => vec![ServerEntry { state, ..server(first) }],
        };
        node.server_list(kind, servers);
        for id in 2..=40 {
            assert_ne!(sent_to(&node.request(read(id, id))), Some(first));
        }
    }
}

#[test]
fn a_deferred_call_is_not_sent_to_an_origin_that_drains_meanwhile() {
    let mut node = TestNode::new(settings(), 3);
    for id in 1..=11 {
        node.request(write(id, 1));
    }
    node.server_list(ListKind::Delta, vec![ServerEntry { state: ServerState::Draining, ..origin() }]);
    node.outcome(1, 0, ORIGIN, Status::Success);
    let after = node.advance(SECOND);
    assert_eq!(count_sends(&after), 0);
    assert!(is_shed(&after, 11));
}

#[test]
fn slow_start_gives_a_cold_server_a_growing_share_of_its_keys() {
    let key_share_at = |age: Micros| {
        let mut node = TestNode::new(settings(), 4);
        let started = node.now;
        node.server_list(ListKind::Delta, vec![ServerEntry { started_at: started, ..server(2) }]);
        node.now += age;
        let mut sent_to_cold = 0;
        for id in 1..=2000 {
            node.now += 20 * MS / 100;
            let to = sent_to(&node.request(read(id, id))).unwrap();
            sent_to_cold += usize::from(to == 2);
            node.outcome(id, 0, to, Status::Success);
        }
        sent_to_cold as f64 / 500.0
    };
    assert!(key_share_at(0) < 0.45, "cold: {}", key_share_at(0));
    assert!(key_share_at(12 * SECOND) > 0.8, "warm: {}", key_share_at(12 * SECOND));
}

#[test]
fn slow_start_limits_the_total_load_on_a_cold_server_for_any_number_of_balancers() {
    // Found on join+mass: 80 of 300 balancers sent a cold server their first attempt within 1.5 s.
    let total_at_cold_server = |balancer_count: u32| {
        let tenants = vec![Tenant { quota_per_s: 200.0 }];
        let config = Settings { balancer_count, initial_capacity_share: 0.2, tenants, ..settings() };
        let requests_each = 6000 / u64::from(balancer_count);
        let mut sent_to_cold = 0;
        for seed in 0..u64::from(balancer_count) {
            let mut node =
                TestNode::with_policy(Policy::new(config.clone(), seed), (1..=4).map(server).collect());
            node.server_list(ListKind::Delta, vec![ServerEntry { started_at: node.now, ..server(4) }]);
            // Many times what is usual, all within the time in which a cold server falls over.
            for id in 1..=requests_each {
                node.now += config.crash_load_time / requests_each;
                let to = sent_to(&node.request(read(id, seed * requests_each + id)));
                sent_to_cold += usize::from(to == Some(4));
                to.map(|to| node.outcome(id, 0, to, Status::Success));
            }
        }
        sent_to_cold
    };
    // 50 requests a second for each server, a fifth of that for the cold one: 20 in this time, and bursts.
    let (few, many) = (total_at_cold_server(3), total_at_cold_server(300));
    assert!((10..=60).contains(&few) && (10..=60).contains(&many), "{few} from 3, {many} from 300");
}

#[test]
fn a_silent_server_is_ejected_and_readmitted_when_it_answers_a_trial() {
    let mut node = TestNode::new(Settings { may_duplicate: false, ..settings() }, 4);
    let victim = sent_to(&node.request(read(1, 9))).unwrap();
    for id in 2..=3 {
        node.request(read(id, 9));
    }
    node.advance(1600 * MS);
    for id in 1..=3 {
        node.outcome(id, 0, victim, Status::TimedOut);
    }
    assert_ne!(sent_to(&node.request(read(10, 9))), Some(victim), "set aside");
    node.advance(10 * SECOND);
    assert_eq!(sent_to(&node.request(read(11, 9))), Some(victim), "one trial");
    assert_ne!(sent_to(&node.request(read(12, 9))), Some(victim), "no more while it is out");
    node.outcome(11, 0, victim, Status::Success);
    assert_eq!(sent_to(&node.request(read(13, 9))), Some(victim), "let back");
}

#[test]
fn one_slow_answer_does_not_eject_its_server() {
    let mut node = TestNode::new(settings(), 4);
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    node.advance(1600 * MS);
    node.outcome(1, 0, first, Status::TimedOut);
    assert_eq!(sent_to(&node.request(read(2, 9))), Some(first));
}

#[test]
fn requests_are_still_sent_when_every_server_fails_to_connect() {
    let mut node = TestNode::new(settings(), 4);
    for id in 1..=60 {
        let mut to = sent_to(&node.request(read(id, id)));
        let mut attempt = 0;
        while let Some(server) = to {
            to = sent_to(&node.outcome(id, attempt, server, Status::ConnectFailed));
            attempt += 1;
        }
    }
    assert!(sent_to(&node.request(read(100, 3))).is_some(), "still tried, the cause is shared");
}

#[test]
fn a_server_that_refused_connections_is_presumed_cold_when_it_answers_again() {
    // Found on a crash day: the list learns of the new process seconds after it takes requests.
    let mut node = TestNode::new(settings(), 4);
    let victim = sent_to(&node.request(read(1, 9))).unwrap();
    for id in 1..=3 {
        node.outcome(id, 0, victim, Status::ConnectFailed);
        node.request(read(id + 1, 9));
    }
    node.advance(10 * SECOND);
    let mut sent_to_victim = 0;
    for id in 10..200 {
        let to = sent_to(&node.request(read(id, id))).unwrap();
        sent_to_victim += usize::from(to == victim);
        node.outcome(id, 0, to, Status::Success);
    }
    assert!((1..30).contains(&sent_to_victim), "few while presumed cold: {sent_to_victim} of about 48");
}

#[test]
fn a_request_to_a_full_server_is_shed_under_load_and_a_burst_at_an_idle_fleet_is_not() {
    // Found on incident i53252a: a bound relative to the mean lets every queue grow at once.
    let mut node = TestNode::just_started(settings(), 2);
    let mut sent = 0;
    for id in 1..=40 {
        sent += count_sends(&node.request(read(id, id)));
    }
    assert!(sent < 12, "{sent} requests in flight at two servers that have answered nothing");
    assert!(is_shed(&node.actions, 40));
    let mut idle_node = TestNode::new(settings(), 2);
    let sent = (1..=10).map(|id| count_sends(&idle_node.request(read(id, id)))).sum::<usize>();
    assert_eq!(sent, 10, "a burst at an idle fleet is served");
}

#[test]
fn a_full_server_does_not_spread_its_keys_along_their_order() {
    // Found on incident ia996fa: full servers passed their keys on to servers that lacked them, the caches
    // lost what they held, and fetches were two fifths of all sends.
    let mut node = TestNode::just_started(settings(), 12);
    let mut servers_seen = std::collections::BTreeSet::new();
    for id in 1..=60 {
        servers_seen.extend(sent_to(&node.request(read(id, 9))));
    }
    assert!(servers_seen.len() <= 4, "one key at {} of 12 servers", servers_seen.len());
    assert!(is_shed(&node.actions, 60));
}

#[test]
fn a_server_that_returns_errors_quickly_is_ejected() {
    // Found on incident i0f0c3e: quick errors made a server look idle, and it drew ever more requests.
    let mut node = TestNode::new(settings(), 4);
    let victim = sent_to(&node.request(read(1, 9))).unwrap();
    for id in 1..=8 {
        let status = if id % 4 == 0 { Status::Success } else { Status::Error };
        node.outcome(id, 0, victim, status);
        node.request(read(id + 1, 9));
    }
    assert!(node.actions.iter().any(|a| matches!(a, Action::Log(l) if l.contains("set aside"))));
}

#[test]
fn under_overload_a_tenant_over_its_quota_is_shed_and_a_tenant_within_it_is_admitted() {
    let mut config = settings();
    config.tenants = vec![Tenant { quota_per_s: 50.0 }, Tenant { quota_per_s: 50.0 }];
    let mut node = TestNode::new(config, 20);
    let (mut admitted, mut offered) = ([0, 0], [0, 0]);
    for id in 1..=3000u64 {
        node.advance(5 * MS);
        let tenant = usize::from(id % 6 == 0);
        let actions = node.request(Request { tenant, ..read(id, id) });
        if id > 1000 {
            offered[tenant] += 1;
            admitted[tenant] += count_sends(&actions);
        }
        let (status, to) = (if id % 16 == 0 { Status::Rejected } else { Status::Success }, sent_to(&actions));
        if let Some(mut to) = to {
            let mut attempt = 0;
            while let Some(next) = sent_to(&node.outcome(id, attempt, to, status)) {
                (to, attempt) = (next, attempt + 1);
            }
        }
    }
    assert!(admitted[1] * 100 >= offered[1] * 98, "within its quota: {} of {}", admitted[1], offered[1]);
    assert!(admitted[0] * 2 < offered[0], "at three times its quota: {} of {}", admitted[0], offered[0]);
}

#[test]
fn attempts_cancelled_by_short_deadlines_do_not_hide_an_overload() {
    // Found on join+mass: what was given up at 240 ms, before it was slow, counted as quick and well.
    let shed_with_deadline = |wait: Micros| {
        let config = Settings { tenants: vec![Tenant { quota_per_s: 20.0 }], ..settings() };
        let mut node = TestNode::new(config, 20);
        let mut shed = 0;
        for id in 1..=400 {
            node.advance(20 * MS);
            let actions = node.request(Request { time_left: wait, ..read(id, id) });
            shed += usize::from(id > 200 && count_sends(&actions) == 0);
            let Some(to) = sent_to(&actions) else { continue };
            if id % 4 == 0 {
                node.advance(20 * MS);
                node.outcome(id, 0, to, Status::Success);
            } else {
                node.advance(wait);
                node.outcome(id, 0, to, Status::Cancelled);
            }
        }
        shed
    };
    assert!(
        shed_with_deadline(200 * MS) > 50,
        "ten times what a server takes: {} of 200",
        shed_with_deadline(200 * MS)
    );
    assert_eq!(shed_with_deadline(12 * MS), 0, "too soon to tell");
}

#[test]
fn a_severely_overloaded_fleet_is_sent_well_under_half_of_the_quotas() {
    // Incident i4dbf06: every server eight times slower; 0.6 of the quotas kept the fleet jammed.
    let mut config = settings();
    config.tenants = vec![Tenant { quota_per_s: 50.0 }];
    let mut node = TestNode::new(config, 300);
    let (mut in_flight, mut late_sends) = (std::collections::VecDeque::new(), 0);
    for id in 1..=800u64 {
        node.advance(20 * MS);
        if let Some(to) = sent_to(&node.request(read(id, id))) {
            in_flight.push_back((id, to, node.now));
            late_sends += u32::from(id > 600);
        }
        while in_flight.front().is_some_and(|(_, _, sent)| node.now - sent > 900 * MS) {
            let (id, to, _) = in_flight.pop_front().unwrap();
            node.outcome(id, 0, to, Status::Success);
        }
    }
    // It also failed while one attempt was counted twice, at both of its marks.
    assert!((30..80).contains(&late_sends), "{late_sends} of the last 200 sent");
}

#[test]
fn slow_answers_within_the_latency_target_do_not_shed_tenants_within_their_quotas() {
    // Found on hunted day h292ed5: answers at half of the aim counted as overload, and the level fell below 1.
    let mut config = Settings { may_duplicate: false, ..settings() };
    config.tenants = vec![Tenant { quota_per_s: 100.0 }];
    let mut node = TestNode::new(config, 3000);
    let mut in_flight = std::collections::VecDeque::new();
    for id in 1..=400u64 {
        node.advance(20 * MS);
        if let Some(to) = sent_to(&node.request(read(id, id))) {
            in_flight.push_back((id, to));
        }
        if in_flight.len() > 22 {
            let (id, to) = in_flight.pop_front().unwrap();
            node.outcome(id, 0, to, Status::Success);
        }
    }
    let shed = node.actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).count();
    assert!(shed < 8, "{shed} of 400 refused at 50 a second within a quota of 100");
}

#[test]
fn the_policy_sends_no_peer_messages_and_tolerates_any_it_receives() {
    // Found at full size: what each of 515 told all others was 12,360 broadcasts in 18 s, and the day was lost.
    let mut config = settings();
    (config.tenants, config.balancer_count) = (vec![Tenant { quota_per_s: 100.0 }], 4);
    config.may_message_peers = true;
    let mut node = TestNode::new(config, 20);
    node.deliver(Event::PeerMessage { from: 1, bytes: vec![0xff; 300] });
    assert!(sent_to(&node.request(read(1, 9))).is_some());
    node.advance(30 * SECOND);
    assert!(!node.actions.iter().any(|a| matches!(a, Action::Tell { .. })));
}

#[test]
fn a_shed_client_gets_a_short_retry_after_and_none_where_clients_ignore_it() {
    // The node's users want to be told when to come back. Found on big-1 of the first full-size day: who waited 2 s came back too late, was served for nothing and
    // took the token of a request in time.
    let retry_after_hints = |max_retry_after: Micros| {
        let mut config = Settings { max_retry_after, balancer_count: 400, ..settings() };
        config.tenants = vec![Tenant { quota_per_s: 1.0 }];
        let mut node = TestNode::just_started(config, 20);
        (1..=40).for_each(|id| {
            node.request(read(id, id));
        });
        let retry_after_of = |a: &Action| match a {
            Action::Refuse { retry_after, .. } => Some(*retry_after),
            _ => None,
        };
        node.actions.iter().filter_map(retry_after_of).collect::<Vec<_>>()
    };
    let hints = retry_after_hints(SECOND);
    assert!(hints.len() > 20 && hints.iter().all(|h| (12 * MS..38 * MS).contains(h)), "{hints:?}");
    assert!(retry_after_hints(0).iter().all(|h| *h == 0), "where clients honour none, none is given");
}

#[test]
fn one_of_many_balancers_admits_a_tenant_within_its_quota_and_limits_one_at_three_times_its_quota() {
    // Found at 515 balancers: a rate scaled up from one request a second turned away tenants within quotas.
    let config = Settings {
        balancer_count: 500,
        tenants: vec![Tenant { quota_per_s: 500.0 }, Tenant { quota_per_s: 500.0 }],
        may_duplicate: false,
        ..settings()
    };
    let mut node = TestNode::just_started(config, 70);
    let (mut sent, mut offered) = ([0, 0], [0, 0]);
    for id in 1..=400u64 {
        node.advance(250 * MS);
        let tenant = usize::from(id % 6 == 0); // 3.3 a second of the first, 0.67 of the other, quota 1 each.
        let actions = node.request(Request { tenant, ..read(id, id) });
        (offered[tenant], sent[tenant]) = (offered[tenant] + 1, sent[tenant] + count_sends(&actions));
        if let Some(to) = sent_to(&actions) {
            node.advance(650 * MS * u64::from(id % 5 == 0)); // One in five nearly late: some strain.
            node.outcome(id, 0, to, Status::Success);
        }
    }
    assert!(sent[1] * 100 >= offered[1] * 95, "within its quota: {sent:?} of {offered:?}");
    assert!(sent[0] * 10 < offered[0] * 8, "over its quota: {sent:?} of {offered:?}");
}

#[test]
fn one_of_many_balancers_does_not_limit_tenants_while_servers_report_spare_capacity() {
    // Found on roll+mass: the busiest tenth of 300 balancers refused two in five of their requests untried, all
    // day, while servers were busy for a third of their time.
    let shed_with_utilization = |balancer_count: u32, utilization: f32| {
        let tenants = vec![Tenant { quota_per_s: 2.0 * f64::from(balancer_count) }];
        let load_fields = vec![LoadField::CpuUtilization];
        let config = Settings { balancer_count, tenants, load_fields, may_duplicate: false, ..settings() };
        let mut node = TestNode::just_started(config, 70);
        let mut shed = 0;
        for id in 1..=200u64 {
            node.advance(125 * MS); // Eight a second, where the equal part is two.
            let actions = node.request(read(id, id));
            shed += usize::from(id > 100 && count_sends(&actions) == 0);
            let Some(server) = sent_to(&actions) else { continue };
            node.advance(350 * MS * u64::from(id % 4 == 0)); // One in four slow: some strain.
            let load = LoadReport { count: 1, values: [utilization, 0.0, 0.0, 0.0] };
            let (request, status, lookup) = (id, Status::Success, CacheLookup::Hit);
            let outcome = Outcome {
                request,
                attempt: 0,
                server,
                status,
                request_finished: true,
                lookup,
                elapsed: MS,
                load,
            };
            node.deliver(Event::Outcome(outcome));
        }
        shed
    };
    assert_eq!(shed_with_utilization(300, 0.35), 0, "of 100");
    assert!(shed_with_utilization(300, 0.95) > 20, "no room: {} of 100", shed_with_utilization(300, 0.95));
}

#[test]
fn a_read_ends_at_its_latency_target_when_late_answers_have_no_value_but_its_fetch_continues() {
    // Found on full-size days: a fifth of all answers came late, and kept the next ones late too.
    let mut node = TestNode::new(Settings { may_cancel: true, may_duplicate: false, ..settings() }, 3);
    node.request(read(1, 9));
    let at_target = node.advance(760 * MS);
    assert!(is_shed(&at_target, 1) && at_target.contains(&Action::Cancel { request: 1, attempt: 0 }));
    // A fetch cut at the aim was never stored, and the origin worked for nobody: rough-2 fell by a quarter.
    let mut node = TestNode::new(Settings { may_cancel: true, may_duplicate: false, ..settings() }, 3);
    let first = sent_to(&node.request(read(2, 9))).unwrap();
    assert_eq!(sent_to(&node.outcome(2, 0, first, Status::Miss)), Some(ORIGIN));
    let at_target = node.advance(760 * MS);
    assert!(!is_shed(&at_target, 2) && !at_target.iter().any(|a| matches!(a, Action::Cancel { .. })));
    assert!(is_shed(&node.advance(SECOND), 2), "but not beyond the client's time");
}

#[test]
fn an_overdue_answer_overtaken_by_later_ones_is_presumed_lost_and_its_call_is_retried() {
    let mut node = TestNode::new(Settings { may_cancel: true, ..settings() }, 1);
    // The server, and the origin, answer in 20 ms.
    let answer_one = |node: &mut TestNode, id: RequestId, write: bool| {
        let request = if write { self::write(id, 1) } else { read(id, id) };
        let server = sent_to(&node.request(request)).unwrap();
        node.advance(20 * MS);
        node.outcome(id, 0, server, Status::Success);
    };
    (1..=20).for_each(|id| answer_one(&mut node, id, id % 2 == 0));
    node.request(read(100, 100));
    node.request(write(101, 1));
    (21..=24).for_each(|id| answer_one(&mut node, id, id % 2 == 0));
    let actions = node.advance(300 * MS);
    let sends_of =
        |id| actions.iter().filter(|a| matches!(a, Action::Send { request, .. } if *request == id)).count();
    assert_eq!((sends_of(100), sends_of(101)), (1, 1), "{actions:?}");
    let done = node.outcome(100, 1, 1, Status::Success);
    assert!(done.contains(&Action::Cancel { request: 100, attempt: 0 }), "the silent one is given up");
}

#[test]
fn a_lost_answer_is_detected_even_at_a_slow_server() {
    // Found on r2906: an attempt was looked at for the last time at its aim, before six times what the server
    // takes had passed, and its request waited in vain until its end.
    let mut config = settings();
    config.classes[0].late_value_fraction = 0.3;
    let mut node = TestNode::new(config, 1);
    let answer_one = |node: &mut TestNode, id: RequestId| {
        node.request(read(id, id));
        node.advance(200 * MS);
        node.outcome(id, 0, 1, Status::Success);
    };
    (1..=20).for_each(|id| answer_one(&mut node, id));
    node.request(read(100, 100));
    (21..=22).for_each(|id| answer_one(&mut node, id));
    let actions = node.advance(1_090 * MS);
    let is_send = |a: &Action| matches!(a, Action::Send { request: 100, .. });
    assert_eq!(actions.iter().filter(|a| is_send(a)).count(), 1, "{actions:?}");
}

#[test]
fn answers_are_presumed_lost_sooner_at_a_server_that_loses_many() {
    // Found on r8274: four of nine servers lost every fourth answer, and each cost its read six times what an
    // answer takes, which is more than its aim, and the budget for repeats of what is slow.
    let mut node = TestNode::new(Settings { may_cancel: true, ..settings() }, 1);
    let mut id = 0;
    let mut read_next = |node: &mut TestNode, answered: bool| {
        id += 1;
        node.request(read(id, id));
        node.advance(100 * MS);
        if answered {
            node.outcome(id, 0, 1, Status::Success);
        }
        id
    };
    let retry_delay = |node: &mut TestNode, lost: RequestId| {
        let mut elapsed = 100 * MS;
        let is_send = |a: &Action| matches!(a, Action::Send { request, .. } if *request == lost);
        while elapsed < 750 * MS && !node.actions.iter().skip_while(|a| !is_send(a)).skip(1).any(is_send) {
            node.advance(10 * MS);
            elapsed += 10 * MS;
        }
        elapsed
    };
    for _ in 0..20 {
        read_next(&mut node, true);
    }
    let lost = read_next(&mut node, false);
    read_next(&mut node, true);
    let rare_delay = retry_delay(&mut node, lost);
    for n in 0..60 {
        let id = read_next(&mut node, n % 3 > 0);
        if n % 3 == 0 {
            for _ in 0..4 {
                read_next(&mut node, true);
            }
            node.outcome(id, 1, 1, Status::Success);
        }
    }
    let lost = read_next(&mut node, false);
    read_next(&mut node, true);
    let frequent_delay = retry_delay(&mut node, lost);
    assert!(
        rare_delay >= 500 * MS && frequent_delay <= 450 * MS,
        "{rare_delay} where it is rare, {frequent_delay} where it is often"
    );
}

#[test]
fn lost_answers_free_their_gate_slots_and_do_not_lower_the_gate_limit() {
    // Found on r2906: of each hundred origin calls two or three were never answered. Each held a place for
    // all its time and then cut the gate, and fetches and writes were refused at an origin that stood idle.
    let tenants = vec![Tenant { quota_per_s: 2_000.0 }];
    let mut node = TestNode::new(Settings { may_cancel: true, tenants, ..settings() }, 8);
    let mut id = 0;
    let mut call = |node: &mut TestNode, answered: bool| {
        id += 1;
        // Class 2, an unsafe write, is not sent again.
        let sent = sent_to(&node.request(write(id, 2))).is_some();
        if answered && sent {
            node.advance(10 * MS);
            node.outcome(id, 0, ORIGIN, Status::Success);
        }
        (id, sent)
    };
    for _ in 0..40 {
        call(&mut node, true);
    }
    let lost: Vec<_> = (0..10).map(|_| call(&mut node, false)).collect();
    assert!(lost.iter().all(|(_, sent)| *sent));
    for _ in 0..5 {
        call(&mut node, true);
    }
    node.advance(130 * MS);
    // All places are free again, though the lost calls are out still.
    let more: Vec<_> = (0..20).map(|_| call(&mut node, false)).collect();
    let sent = more.iter().filter(|(_, sent)| *sent).count();
    assert!(sent >= 13, "{sent} of {}", more.len());
    for (id, _) in more {
        node.outcome(id, 0, ORIGIN, Status::Success);
    }
    // Their ends, late as they come, cut nothing.
    for (id, _) in lost {
        node.outcome(id, 0, ORIGIN, Status::TimedOut);
    }
    let after = (0..20).filter(|_| call(&mut node, false).1).count();
    assert!(after >= sent, "{after} after, {sent} before");
}

#[test]
fn the_gate_limit_grows_with_the_balancers_share_of_the_quotas() {
    // Found on r2906: at 900 requests a second for each balancer the cap of 20 was shut half of the time, while
    // the origin answered faster the more calls were out.
    for (quota_per_s, least, most) in [(200.0, 18, 20), (2_000.0, 60, 80)] {
        let mut config = settings();
        config.classes[1].deadline = SECOND;
        config.classes[0].latency_target = 400 * MS;
        config.tenants = vec![Tenant { quota_per_s }];
        let mut node = TestNode::new(config, 8);
        for id in 1..=6_000 {
            node.request(Request { time_left: SECOND, ..write(id, 2) });
            node.advance(6 * MS);
            node.outcome(id, 0, ORIGIN, Status::Success);
        }
        node.advance(200 * MS);
        let sent = (6_001..=6_400)
            .filter(|id| {
                // Spread out, so that it is the cap and not the tally that stops calls.
                node.advance(MS);
                sent_to(&node.request(Request { time_left: SECOND, ..write(*id, 2) })) == Some(ORIGIN)
            })
            .count();
        assert!((least..=most).contains(&sent), "{sent} with a quota of {quota_per_s}");
    }
}

#[test]
fn one_slow_origin_answer_in_twenty_keeps_the_gate_limit_and_a_uniformly_slow_origin_lowers_it() {
    // Found on r2906 and r6397: of the origin's answers 2 or 3 in 100 took over 0.8 aims however few were out,
    // each cut the gate, and it stood at half of its limit while fetches waited.
    let tenants = vec![Tenant { quota_per_s: 2_000.0 }];
    let mut node = TestNode::new(Settings { tenants, ..settings() }, 8);
    let mut id = 0;
    let mut run_calls = |node: &mut TestNode, count: u64, duration_of: &dyn Fn(u64) -> Micros| {
        for _ in 0..count {
            id += 1;
            node.request(Request { time_left: 900 * MS, ..write(id, 2) });
            node.advance(duration_of(id));
            node.outcome(id, 0, ORIGIN, Status::Success);
        }
        // As many calls at once as the gate lets through.
        let first_id = id + 1;
        id += 25;
        let sent: Vec<_> =
            (first_id..=id).filter(|id| sent_to(&node.request(write(*id, 2))).is_some()).collect();
        sent.iter().for_each(|id| drop(node.outcome(*id, 0, ORIGIN, Status::Success)));
        node.advance(SECOND);
        sent.len()
    };
    let burst_with_slow_tail = run_calls(&mut node, 400, &|id| if id % 20 == 0 { 200 * MS } else { 10 * MS });
    assert!(burst_with_slow_tail >= 19, "{burst_with_slow_tail}");
    let burst_at_slow_origin = run_calls(&mut node, 100, &|_| 200 * MS);
    assert!(burst_at_slow_origin <= 4, "{burst_at_slow_origin}");
}

#[test]
fn a_slow_read_is_hedged_at_the_next_server_and_the_slower_attempt_is_cancelled() {
    // One of 500 balancers meets a sick server once in 20 s: it cannot learn to avoid it, only not wait for it.
    let mut node = TestNode::new(Settings { may_cancel: true, ..settings() }, 5);
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    let second = sent_to(&node.advance(310 * MS)).expect("a second copy");
    assert_ne!(second, first);
    let after = node.outcome(1, 1, second, Status::Success);
    assert!(after.contains(&Action::Cancel { request: 1, attempt: 0 }));
    let mut node = TestNode::new(Settings { may_duplicate: false, may_cancel: true, ..settings() }, 5);
    node.request(read(1, 9));
    assert_eq!(count_sends(&node.advance(310 * MS)), 0, "not where two copies are forbidden");
}

#[test]
fn idle_connections_are_closed_when_keeping_them_costs_more_than_new_handshakes() {
    // Found at 413 balancers before tables of 75: four in five attempts got no connection.
    let closes_idle = |balancer_count| {
        let base = Settings { connection_price: 0.03, handshake_price: 0.03, ..settings() };
        let mut node = TestNode::new(Settings { balancer_count, ..base }, 3);
        let to = sent_to(&node.request(read(1, 9))).unwrap();
        node.outcome(1, 0, to, Status::Success).contains(&Action::CloseIdle(to))
    };
    assert!(!closes_idle(50) && closes_idle(400));
}

#[test]
fn a_hot_key_is_not_sent_to_a_cold_server() {
    // Incident ibfd28e: one request for a hot key from each of 1,096 balancers pushed a cold server over.
    let sent_to_cold = |hot: bool| {
        let tenants = vec![Tenant { quota_per_s: 100_000.0 }];
        let config = Settings { balancer_count: 1000, initial_capacity_share: 0.9, tenants, ..settings() };
        let mut node = TestNode::new(config, 4);
        let request_key = |node: &mut TestNode, id, key| {
            node.advance(20 * MS);
            let to = sent_to(&node.request(read(id, key)));
            node.outcome(id, 0, to.unwrap(), Status::Success);
            to
        };
        let key = (1..).find(|key| request_key(&mut node, 1000 + key, *key) == Some(2)).unwrap();
        for id in 5000..5100 {
            request_key(&mut node, id, if hot { key } else { id });
        }
        node.server_list(ListKind::Delta, vec![ServerEntry { started_at: node.now, ..server(2) }]);
        request_key(&mut node, 9999, key) == Some(2)
    };
    assert!(sent_to_cold(false), "a key of its own goes there");
    assert!(!sent_to_cold(true), "a hot one does not");
}

#[test]
fn a_latency_target_shorter_than_two_ticks_is_tolerated() {
    // Found while reading: the wake-up at the aim lay before the present and underflowed.
    let mut config = Settings { balancer_count: 0, ..settings() };
    config.classes[0].latency_target = 0;
    let mut node = TestNode::just_started(config, 2);
    let actions = node.request(read(1, 9));
    assert!(is_shed(&actions, 1) || count_sends(&actions) == 1);
    assert!(node.advance(2 * SECOND).len() < 200);
}

#[test]
fn events_for_ended_requests_and_duplicate_or_unknown_outcomes_are_ignored() {
    let mut node = TestNode::new(settings(), 3);
    let to = sent_to(&node.request(read(1, 9))).unwrap();
    node.outcome(1, 0, to, Status::Success);
    for status in [Status::Success, Status::Miss, Status::Rejected, Status::TimedOut, Status::Cancelled] {
        let actions = node.outcome(1, 0, to, status);
        assert!(
            count_sends(&actions) == 0 && !is_shed(&actions, 1) && !is_failed(&actions, 1),
            "repeated: {status:?}"
        );
        let actions = node.outcome(77, 3, 4242, status);
        assert!(count_sends(&actions) == 0 && !is_shed(&actions, 77), "never sent: {status:?}");
    }
    assert!(count_sends(&node.deliver(Event::ClientGone(1))) == 0);
    node.request(read(2, 9));
    node.deliver(Event::ClientGone(2));
    let late = node.outcome(2, 0, to, Status::Miss);
    assert!(count_sends(&late) == 0 && !is_shed(&late, 2), "its client has left: no fetch, no answer");
    assert!(count_sends(&node.advance(3 * SECOND)) == 0);
}

#[test]
fn non_finite_settings_and_weights_are_tolerated() {
    let config = Settings {
        tenants: vec![Tenant { quota_per_s: f64::NAN }, Tenant { quota_per_s: f64::INFINITY }],
        weights_are_capacities: true,
        initial_capacity_share: f64::NAN,
        connection_price: f64::NAN,
        ..settings()
    };
    let mut node = TestNode::new(config, 2);
    let weights = [f32::NAN, f32::INFINITY, -1.0];
    let with_weight = |(id, weight)| ServerEntry { weight, started_at: 60 * SECOND, ..server(id) };
    let mut servers: Vec<_> = (1..).zip(weights).map(with_weight).collect();
    servers.push(origin());
    node.server_list(ListKind::Full, servers);
    for id in 1..=30 {
        let actions =
            node.request(Request { tenant: id as usize % 2, value_bytes: f32::NAN, ..read(id, id) });
        assert!(count_sends(&actions) == 1 || is_shed(&actions, id), "sent or refused");
    }
    let after = node.advance(2 * SECOND);
    assert!((1..=30).all(|id| is_shed(&node.actions, id)), "each is answered: {}", after.len());
}

#[test]
fn accumulated_tokens_do_not_prolong_an_overload() {
    // Incident i291613: full buckets at 1,499 balancers were 15 s of traffic with the level at its floor.
    let mut config = Settings { balancer_count: 1000, may_duplicate: false, ..settings() };
    config.tenants = vec![Tenant { quota_per_s: 100.0 }; 9];
    let mut node = TestNode::just_started(config, 500);
    let mut sent = Vec::new();
    for id in 1..=45u64 {
        node.advance(200 * MS);
        sent.push(count_sends(&node.request(Request { tenant: id as usize % 9, ..read(id, id) }))); // None answers.
    }
    let (early, late) = (sent[..10].iter().sum::<usize>(), sent[25..].iter().sum::<usize>());
    assert!(early == 10 && late <= 2, "{early} of the first 10 sent, {late} of the last 20");
}

#[test]
fn a_server_filled_by_other_balancers_is_skipped_because_of_its_live_weight() {
    // Found under shared slowness: queues of twelve a core, of which each balancer saw one request of its own.
    let config = Settings { weights_follow_load: true, may_duplicate: false, ..settings() };
    let mut node = TestNode::new(config, 3);
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    node.advance(200 * MS);
    node.outcome(1, 0, first, Status::Success); // 0.2 s for one request without a queue
    node.server_list(ListKind::Delta, vec![ServerEntry { weight: 0.1, ..server(first) }]);
    let next = sent_to(&node.request(read(2, 9))).expect("another has room");
    assert_ne!(next, first, "nine requests a core wait there");
    let all = (1..=3).map(|id| ServerEntry { weight: 0.1, ..server(id) }).collect();
    node.server_list(ListKind::Delta, all);
    assert!(is_shed(&node.request(read(3, 9)), 3), "all are full");
}

#[test]
fn an_empty_server_list_sheds_requests_and_a_refilled_list_is_used_again() {
    let mut node = TestNode::new(settings(), 2);
    node.server_list(ListKind::Full, Vec::new());
    assert!(is_shed(&node.request(read(1, 9)), 1));
    node.request(write(2, 1));
    assert!(is_shed(&node.advance(SECOND), 2), "no origin: postponed, then refused");
    node.server_list(ListKind::Full, vec![server(1), origin()]);
    assert_eq!(sent_to(&node.request(read(3, 9))), Some(1));
}

#[test]
fn an_idle_balancer_sets_few_timers() {
    let mut node = TestNode::new(settings(), 3);
    node.request(read(1, 9));
    node.actions.clear();
    node.advance(60 * SECOND);
    assert!(node.actions.len() < 1500, "{} actions in an idle minute", node.actions.len());
}

#[test]
fn overtaken_timers_do_not_set_further_timers() {
    // Found while mending r8274: each timer that had been overtaken set another one when it came, and so on
    // for ever. A balancer that had been busy for a while spent its time on timers.
    let mut node = TestNode::new(settings(), 5);
    // Calls that a shut gate stops wait for a few milliseconds each, and so ever another one is the next.
    for id in 1..=400 {
        node.advance(2 * MS);
        node.request(write(id, 2));
    }
    // What is left of the requests passes. Then only the reviews go on, eight to an aim.
    node.advance(3 * SECOND);
    let idle = node.advance(3 * SECOND);
    let timers = idle.iter().filter(|a| matches!(a, Action::Timer { .. })).count();
    assert!(timers <= 3 * 8 * 4 / 3 + 2, "{timers} timers in three idle seconds");
}
