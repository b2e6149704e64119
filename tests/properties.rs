//! Checks the invariants of the decision module that can be judged from its events and actions alone, over
//! random valid event sequences with a fixed seed.
#![allow(missing_docs)]

mod common;

use std::collections::BTreeMap;

use common::{ORIGIN_MACHINE_TYPE, pop_due};
use pondproxy::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// A step of a random run. An `index` is taken modulo the number of things it can refer to.
#[derive(Debug, Clone)]
enum Step {
    /// Microseconds to wait.
    Wait(u64),
    SendRequest {
        class: usize,
        tenant: usize,
        key: Key,
        write: bool,
        time_left: u64,
    },
    EndAttempt {
        index: usize,
        status_index: usize,
    },
    BeginAnswer {
        index: usize,
    },
    DisconnectClient {
        index: usize,
    },
    ChangeServer {
        index: usize,
        state_index: u8,
        restarted: bool,
    },
    /// The bits of the mask say which servers are in the list.
    PublishFullList {
        present_mask: u32,
    },
    FailDiscovery,
    SendPeerMessage {
        from: u32,
        bytes: Vec<u8>,
    },
    RestartBalancer,
}

fn step_strategy() -> impl Strategy<Value = Step> {
    let request_fields = (0..3usize, 0..3usize, 0..12u64, any::<bool>(), 0..900_000u64);
    prop_oneof![
        6 => (0..60_000u64).prop_map(Step::Wait),
        1 => (0..3_000_000u64).prop_map(Step::Wait),
        10 => request_fields.prop_map(|(class, tenant, key, write, time_left)| {
            Step::SendRequest { class, tenant, key, write, time_left }
        }),
        10 => (any::<usize>(), 0..9usize)
            .prop_map(|(index, status_index)| Step::EndAttempt { index, status_index }),
        1 => any::<usize>().prop_map(|index| Step::BeginAnswer { index }),
        1 => any::<usize>().prop_map(|index| Step::DisconnectClient { index }),
        2 => (any::<usize>(), 0..3u8, any::<bool>())
            .prop_map(|(index, state_index, restarted)| Step::ChangeServer { index, state_index, restarted }),
        1 => any::<u32>().prop_map(|present_mask| Step::PublishFullList { present_mask }),
        1 => Just(Step::FailDiscovery),
        1 => (0..4u32, proptest::collection::vec(any::<u8>(), 0..40))
            .prop_map(|(from, bytes)| Step::SendPeerMessage { from, bytes }),
        1 => Just(Step::RestartBalancer),
    ]
}

fn settings_strategy() -> impl Strategy<Value = Settings> {
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    (flags, 1..5u32, 1..5u32, 0..4usize, 0..3u8, 0.0..1.0f64).prop_map(
        |(
            (separate_origin, may_duplicate, pull_discovery, may_message_peers, weights_are_capacities),
            max_attempts,
            balancer_count,
            tenant_count,
            scope_index,
            initial_capacity_share,
        )| {
            let scope = [DedupScope::All, DedupScope::Zone, DedupScope::Cell][usize::from(scope_index)];
            let class = |idempotency| Class {
                latency_target: 200_000,
                deadline: 900_000,
                idempotency,
                ..Class::default()
            };
            Settings {
                balancer_count,
                classes: vec![
                    class(Idempotency::Idempotent),
                    class(Idempotency::Deduplicated { scope, window: 300_000 }),
                    class(Idempotency::NonIdempotent),
                ],
                tenants: vec![Tenant { quota_per_s: 5.0 }; tenant_count],
                pull_discovery,
                origin_machine_type: separate_origin.then_some(ORIGIN_MACHINE_TYPE),
                weights_are_capacities,
                max_attempts,
                may_duplicate,
                may_message_peers,
                initial_capacity_share,
                warm_up_time: 2_000_000,
                ..Settings::default()
            }
        },
    )
}

/// A request that still needs its final answer.
struct OpenRequest {
    class: usize,
    deadline: u64,
    attempts: Vec<Attempt>,
}

#[derive(Clone)]
struct Attempt {
    server: ServerId,
    sent_at: u64,
    in_flight: bool,
    may_have_run: bool,
}

/// The environment of one balancer: tracks requests and attempts and checks actions against the invariants.
struct Environment {
    settings: Settings,
    policy: Policy,
    now: u64,
    next_request_id: RequestId,
    server_entries: BTreeMap<ServerId, ServerEntry>,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    /// Attempts in flight: request, number of the attempt, server.
    attempts_in_flight: Vec<(RequestId, u16, ServerId)>,
    timer_due_times: Vec<u64>,
    action_log: Vec<Action>,
}

impl Environment {
    fn new(settings: Settings) -> Self {
        let policy = Policy::new(settings.clone(), 3);
        let initial_entry = |id: ServerId| ServerEntry {
            id,
            zone: (id % 2) as u8,
            cell: (id % 3) as u16,
            machine_type: if id >= 6 { ORIGIN_MACHINE_TYPE } else { 0 },
            weight: id as f32,
            ..ServerEntry::default()
        };
        let mut environment = Environment {
            settings,
            policy,
            now: 50_000_000,
            next_request_id: 0,
            server_entries: (0..8).map(|id| (id, initial_entry(id))).collect(),
            open_requests: BTreeMap::new(),
            attempts_in_flight: Vec::new(),
            timer_due_times: Vec::new(),
            action_log: Vec::new(),
        };
        environment.deliver_server_list(ListKind::Cached);
        environment
    }

    /// Delivers a list of all servers that are not removed.
    fn deliver_server_list(&mut self, kind: ListKind) {
        let servers = self
            .server_entries
            .values()
            .filter(|entry| entry.state != ServerState::Removed)
            .cloned()
            .collect();
        self.deliver(Event::ServerList { kind, servers });
    }

    /// Passes an event to the policy and checks the actions that the policy returns.
    fn deliver(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check_action(action);
        }
        self.action_log.extend(actions);
    }

    /// Checks an action against the invariants and records it.
    fn check_action(&mut self, action: &Action) {
        match action {
            Action::Send { request, server, .. } => {
                let open_request =
                    self.open_requests.get(request).expect("an attempt for a request that has ended");
                let entry = &self.server_entries[server];
                assert_eq!(entry.state, ServerState::Ready, "an attempt at a draining or removed server");
                assert!(
                    open_request.attempts.len() < self.settings.max_attempts as usize,
                    "too many attempts"
                );
                assert!(self.now < open_request.deadline, "an attempt after the request's deadline");
                assert!(
                    self.settings.may_duplicate || open_request.attempts.iter().all(|a| !a.in_flight),
                    "two attempts in flight"
                );
                let possibly_executed: Vec<_> =
                    open_request.attempts.iter().filter(|a| a.may_have_run).collect();
                match self.settings.classes[open_request.class].idempotency {
                    Idempotency::Idempotent => {}
                    Idempotency::NonIdempotent => {
                        assert!(possibly_executed.is_empty(), "a non-idempotent request sent twice")
                    }
                    Idempotency::Deduplicated { scope, window } => {
                        for earlier_attempt in possibly_executed {
                            let earlier_server = &self.server_entries[&earlier_attempt.server];
                            let in_scope = match scope {
                                DedupScope::All => true,
                                DedupScope::Zone => earlier_server.zone == entry.zone,
                                DedupScope::Cell => earlier_server.cell == entry.cell,
                            };
                            assert!(
                                in_scope && self.now < earlier_attempt.sent_at + window,
                                "a deduplicated request sent outside its scope or window"
                            );
                        }
                    }
                }
                let attempt =
                    Attempt { server: *server, sent_at: self.now, in_flight: true, may_have_run: true };
                let open_request = self.open_requests.get_mut(request).unwrap();
                self.attempts_in_flight.push((*request, open_request.attempts.len() as u16, *server));
                open_request.attempts.push(attempt);
            }
            Action::Refuse { request, .. } => {
                let open_request = self.open_requests.remove(request).expect("a second final answer");
                let idempotent =
                    self.settings.classes[open_request.class].idempotency == Idempotency::Idempotent;
                assert!(
                    idempotent || open_request.attempts.iter().all(|a| !a.may_have_run),
                    "a request shed that may have been executed"
                );
            }
            Action::Fail(request) => {
                self.open_requests.remove(request).expect("a second final answer");
            }
            Action::Timer { delay, .. } => self.timer_due_times.push(self.now + (*delay).max(1)),
            Action::Tell { bytes, .. } => assert!(self.settings.may_message_peers && bytes.len() <= 256),
            Action::Probe(_) | Action::Cancel { .. } => {
                panic!("probes and cancellations are not allowed by these settings")
            }
            _ => {}
        }
    }

    /// Advances the clock and fires the timers that come due.
    fn advance(&mut self, time: u64) {
        let end = self.now + time;
        while let Some(due) = pop_due(&mut self.timer_due_times, end) {
            self.now = due;
            self.deliver(Event::Timer(0));
            let now = self.now;
            assert!(
                self.open_requests.values().all(|o| now < o.deadline),
                "a request without an answer at its deadline"
            );
        }
        self.now = end;
        let now = self.now;
        assert!(
            self.open_requests.values().all(|o| now <= o.deadline),
            "a request without an answer at its deadline"
        );
    }

    fn run_step(&mut self, step: &Step) {
        match step {
            Step::Wait(time) => self.advance(*time),
            Step::SendRequest { class, tenant, key, write, time_left } => {
                let tenant = tenant % self.settings.tenants.len().max(1);
                let request = Request {
                    id: self.next_request_id,
                    class: *class,
                    tenant,
                    key: *key,
                    write: *write,
                    time_left: *time_left,
                    ..Request::default()
                };
                let open_request =
                    OpenRequest { class: *class, deadline: self.now + time_left, attempts: Vec::new() };
                self.open_requests.insert(self.next_request_id, open_request);
                self.next_request_id += 1;
                self.deliver(Event::Request(request));
            }
            Step::EndAttempt { index, status_index } if !self.attempts_in_flight.is_empty() => {
                let (request, attempt, server) =
                    self.attempts_in_flight.swap_remove(index % self.attempts_in_flight.len());
                let status = [
                    Status::Success,
                    Status::Miss,
                    Status::Error,
                    Status::Rejected,
                    Status::TimedOut,
                    Status::ConnectFailed,
                    Status::Reset,
                    Status::Success,
                    Status::Miss,
                ][*status_index];
                if let Some(open_request) = self.open_requests.get_mut(&request) {
                    let ended_attempt = &mut open_request.attempts[usize::from(attempt)];
                    ended_attempt.in_flight = false;
                    ended_attempt.may_have_run &= !status.never_executed();
                }
                if status == Status::Success {
                    self.open_requests.remove(&request);
                }
                let request_finished = !self.open_requests.contains_key(&request);
                let (lookup, load) = (CacheLookup::NotReported, LoadReport::default());
                self.deliver(Event::Outcome(Outcome {
                    request,
                    attempt,
                    server,
                    status,
                    request_finished,
                    lookup,
                    elapsed: 1,
                    load,
                }));
            }
            Step::BeginAnswer { index } if !self.attempts_in_flight.is_empty() => {
                let (request, attempt, _) = self.attempts_in_flight[index % self.attempts_in_flight.len()];
                self.open_requests.remove(&request);
                self.deliver(Event::AnswerBegan { request, attempt });
            }
            Step::DisconnectClient { index } if !self.open_requests.is_empty() => {
                let id = *self.open_requests.keys().nth(index % self.open_requests.len()).unwrap();
                self.open_requests.remove(&id);
                self.deliver(Event::ClientGone(id));
            }
            Step::ChangeServer { index, state_index, restarted } => {
                let id = (index % self.server_entries.len()) as ServerId;
                let entry = self.server_entries.get_mut(&id).unwrap();
                entry.state = [ServerState::Ready, ServerState::Draining, ServerState::Removed]
                    [usize::from(*state_index)];
                entry.started_at = if *restarted { self.now } else { entry.started_at };
                let servers = vec![entry.clone()];
                self.deliver(Event::ServerList { kind: ListKind::Delta, servers });
            }
            Step::PublishFullList { present_mask } => {
                for (id, entry) in &mut self.server_entries {
                    let present = present_mask >> id & 1 == 1;
                    entry.state = if present { ServerState::Ready } else { ServerState::Removed };
                }
                self.deliver_server_list(ListKind::Full);
            }
            Step::FailDiscovery => {
                self.deliver(Event::DiscoveryFailed {
                    failure: DiscoveryFailure::Failed,
                    since_last_contact: 0,
                });
            }
            Step::SendPeerMessage { from, bytes } => {
                self.deliver(Event::PeerMessage { from: *from, bytes: bytes.clone() });
            }
            Step::RestartBalancer => {
                self.policy = Policy::new(self.settings.clone(), 4);
                self.open_requests.clear();
                self.attempts_in_flight.clear();
                self.timer_due_times.clear();
                self.deliver_server_list(ListKind::Cached);
            }
            _ => {}
        }
    }
}

#[test]
fn invariants_hold_for_random_events_and_the_same_events_give_the_same_actions() {
    let runner_config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(runner_config, rng);
    let strategy = (settings_strategy(), proptest::collection::vec(step_strategy(), 1..150));
    let result = runner.run(&strategy, |(settings, steps)| {
        let run_steps = || {
            let mut environment = Environment::new(settings.clone());
            steps.iter().for_each(|s| environment.run_step(s));
            environment.advance(2_000_000);
            assert!(environment.open_requests.is_empty(), "every request is answered in the end");
            environment.action_log
        };
        prop_assert_eq!(run_steps(), run_steps());
        Ok(())
    });
    result.unwrap();
}
