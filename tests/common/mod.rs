//! Helpers of the decision module's tests: a node without network that passes events and timers to a
//! [`Policy`] and keeps the actions that it returns, and builders of settings, server entries and requests.
#![allow(dead_code, missing_docs)]

use pondproxy::*;

/// Machine type of the origin in the server list.
pub const ORIGIN_MACHINE_TYPE: u16 = 1;
/// Server id of the origin.
pub const ORIGIN: ServerId = 1000;
/// One millisecond.
pub const MS: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000_000;

/// A node around one policy, with a clock that the test advances.
pub struct TestNode {
    pub policy: Policy,
    pub now: Micros,
    /// All actions that the policy has returned, unless the test cleared them.
    pub actions: Vec<Action>,
    /// Times at which the timers that the policy has set are due.
    timers: Vec<Micros>,
}

/// Returns settings with three classes (0: idempotent reads, 1: writes that servers deduplicate, 2: writes
/// that are not idempotent), an origin and no tenants.
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

/// Returns the entry of a ready cache server.
pub fn server(id: ServerId) -> ServerEntry {
    ServerEntry { id, ..ServerEntry::default() }
}

/// Returns the entry of the ready origin.
pub fn origin() -> ServerEntry {
    ServerEntry { id: ORIGIN, machine_type: ORIGIN_MACHINE_TYPE, ..ServerEntry::default() }
}

/// Returns a read of class 0 with 1.5 s left.
pub fn read(id: RequestId, key: Key) -> Request {
    Request { id, key, time_left: 1500 * MS, ..Request::default() }
}

/// Returns a write of the given class with 300 ms left, whatever the deadline of the class.
pub fn write(id: RequestId, class: usize) -> Request {
    Request { id, key: 5, class, write: true, time_left: 300 * MS, ..Request::default() }
}

impl TestNode {
    /// Returns a node as from [`Self::just_started`] that has run for 10 s without overload.
    pub fn new(settings: Settings, server_count: u32) -> Self {
        let mut node = TestNode::just_started(settings, server_count);
        node.advance(10 * SECOND);
        node
    }

    /// Returns a node with cache servers 1 to `server_count` and an origin, all of which have been running
    /// for a long time. The clock is at 60 s.
    pub fn just_started(settings: Settings, server_count: u32) -> Self {
        let mut servers: Vec<_> = (1..=server_count).map(server).collect();
        servers.push(origin());
        TestNode::with_policy(Policy::new(settings, 7), servers)
    }

    /// Returns a node around a policy that starts with a cached list of these servers.
    pub fn with_policy(policy: Policy, servers: Vec<ServerEntry>) -> Self {
        let mut node = TestNode { policy, now: 60 * SECOND, actions: Vec::new(), timers: Vec::new() };
        node.server_list(ListKind::Cached, servers);
        node
    }

    /// Passes an event to the policy and returns the actions that the policy returned.
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

    /// Delivers a server list.
    pub fn server_list(&mut self, kind: ListKind, servers: Vec<ServerEntry>) -> Vec<Action> {
        self.deliver(Event::ServerList { kind, servers })
    }

    /// Delivers a request.
    pub fn request(&mut self, request: Request) -> Vec<Action> {
        self.deliver(Event::Request(request))
    }

    /// Delivers the outcome of an attempt; a successful attempt finishes its request.
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

    /// Advances the clock, fires the timers that come due, and returns the actions that the policy returned
    /// meanwhile.
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

/// Returns the server of the first attempt that these actions send.
pub fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// Returns the number of attempts that these actions send.
pub fn count_sends(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
}

/// Whether these actions shed the request.
pub fn is_shed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { request, .. } if *request == id))
}

/// Whether these actions answer the request with a failure.
pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail(id))
}

/// Removes and returns the earliest of these times if it is not after `end`.
pub fn pop_due(due_times: &mut Vec<Micros>, end: Micros) -> Option<Micros> {
    let (index, due) = due_times.iter().copied().enumerate().min_by_key(|(_, due)| *due)?;
    (due <= end).then(|| due_times.swap_remove(index))
}
