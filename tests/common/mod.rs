//! A node in miniature: drives a policy event by event and keeps what it answered.
#![allow(dead_code, missing_docs)]

use pondproxy::*;

pub const ORIGIN_MACHINE_TYPE: u16 = 1;
pub const ORIGIN: ServerId = 1000;
pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

pub struct TestNode {
    pub policy: Policy,
    pub now: Micros,
    pub actions: Vec<Action>,
    timers: Vec<Micros>,
}

pub fn settings() -> Settings {
    let read = Class { latency_target: 750 * MS, deadline: 1500 * MS, ..Class::default() };
    let deduplicated = Idempotency::Deduplicated { scope: DedupScope::All, window: 200 * MS };
    let deduplicated_write =
        Class { latency_target: 150 * MS, deadline: 300 * MS, idempotency: deduplicated, ..Class::default() };
    let non_idempotent_write = Class {
        latency_target: 300 * MS,
        deadline: SECOND,
        idempotency: Idempotency::NonIdempotent,
        on_time_value: 8.0,
        ..Class::default()
    };
    Settings {
        classes: vec![read, deduplicated_write, non_idempotent_write],
        origin_machine_type: Some(ORIGIN_MACHINE_TYPE),
        max_attempts: 4,
        connect_timeout: 20 * MS,
        ..Settings::default()
    }
}

pub fn server(id: ServerId) -> ServerEntry {
    ServerEntry { id, ..ServerEntry::default() }
}

pub fn origin() -> ServerEntry {
    ServerEntry { id: ORIGIN, machine_type: ORIGIN_MACHINE_TYPE, ..ServerEntry::default() }
}

pub fn read(id: RequestId, key: Key) -> Request {
    Request { id, key, time_left: 1500 * MS, ..Request::default() }
}

pub fn write(id: RequestId, class: usize) -> Request {
    Request { id, key: 5, class, write: true, time_left: 300 * MS, ..Request::default() }
}

impl TestNode {
    /// A node that has run for some time without strain.
    pub fn new(settings: Settings, server_count: u32) -> Self {
        let mut node = TestNode::just_started(settings, server_count);
        node.advance(10 * SECOND);
        node
    }

    /// A node with cache servers 1 to `server_count` and an origin, a minute after their start.
    pub fn just_started(settings: Settings, server_count: u32) -> Self {
        let mut servers: Vec<_> = (1..=server_count).map(server).collect();
        servers.push(origin());
        TestNode::with_policy(Policy::new(settings, 7), servers)
    }

    /// A node round a policy that is told of these servers as it starts.
    pub fn with_policy(policy: Policy, servers: Vec<ServerEntry>) -> Self {
        let mut node = TestNode { policy, now: 60 * SECOND, actions: Vec::new(), timers: Vec::new() };
        node.server_list(ListKind::Cached, servers);
        node
    }

    /// Passes an event on and returns what the policy answered to it.
    pub fn deliver(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::Timer { delay, .. } = action {
                self.timers.push(self.now + delay.max(&1));
            }
        }
        self.actions.extend(actions.iter().cloned());
        actions
    }

    pub fn server_list(&mut self, kind: ListKind, servers: Vec<ServerEntry>) -> Vec<Action> {
        self.deliver(Event::ServerList { kind, servers })
    }

    pub fn request(&mut self, request: Request) -> Vec<Action> {
        self.deliver(Event::Request(request))
    }

    pub fn outcome(
        &mut self,
        request: RequestId,
        attempt: u16,
        server: ServerId,
        status: Status,
    ) -> Vec<Action> {
        let request_finished = status == Status::Success;
        let (lookup, load) = (CacheLookup::NotReported, LoadReport::default());
        let outcome =
            Outcome { request, attempt, server, status, request_finished, lookup, elapsed: MS, load };
        self.deliver(Event::Outcome(outcome))
    }

    /// Lets time pass, with the timers that come due, and returns what the policy answered meanwhile.
    pub fn advance(&mut self, time: Micros) -> Vec<Action> {
        let end = self.now + time;
        let first_new = self.actions.len();
        while let Some(due) = pop_due(&mut self.timers, end) {
            self.now = due;
            self.deliver(Event::Timer(0));
        }
        self.now = end;
        self.actions[first_new..].to_vec()
    }
}

/// Where the first attempt among these actions goes.
pub fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

pub fn count_sends(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
}

pub fn is_shed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { request, .. } if *request == id))
}

pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail(id))
}

/// Takes out the first of the timers that is due by a time.
pub fn pop_due(due_times: &mut Vec<Micros>, end: Micros) -> Option<Micros> {
    let (index, due) = due_times.iter().copied().enumerate().min_by_key(|(_, due)| *due)?;
    (due <= end).then(|| due_times.swap_remove(index))
}
