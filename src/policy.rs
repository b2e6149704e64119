//! Makes every decision of one balancer in front of a fleet of cache servers: where each request is sent, and
//! when it is deferred, retried, hedged or shed. Must not know sockets, threads or the clock: each event is
//! passed with its time, and the decisions are returned as actions. The types of events, actions and settings
//! are in `interface.rs`, the state is in `state.rs`.
//!
//! Normal path: every key has an order of servers, the same at all balancers. A read goes to the first server
//! in that order whose load is below the load bound. After a cache miss the value is fetched from the origin;
//! a write goes to the origin at once. Calls to the origin pass the gate, which limits the calls in flight
//! and the calls per time window. A call that the gate blocks is deferred with a random backoff. All other
//! code handles failures; the comments there say which failures.
#![deny(clippy::too_many_lines, clippy::cognitive_complexity)]

mod admission;
mod discovery_refresh;
mod ejection;
mod list_confirmation;
mod origin_gate;
mod slow_start;

use crate::interface::*;
use crate::state::*;
use admission::{INITIAL_ADMISSION_LEVEL, MAX_ADMISSION_LEVEL};
use origin_gate::GATE_CEILING_CALLS;

/// Load bound: a server is skipped when it has at least this multiple of its weighted share of the attempts
/// in flight. This is checked for the attempts of this balancer and, by the load reports, for the attempts
/// of all balancers. Applies while the origin has capacity for the fetch that skipping a server may cause.
const LOAD_BOUND_MULTIPLE_OF_SHARE: f64 = 1.25;
/// The same bound when the gate blocks calls to the origin, which then has no capacity for further fetches.
const LOAD_BOUND_MULTIPLE_OF_SHARE_ORIGIN_FULL: f64 = 3.0;
/// Least load bound of a server, in attempts in flight of all balancers. Without it, a fleet with little
/// traffic would scatter its keys over the servers.
const MIN_LOAD_BOUND_ATTEMPTS: f64 = 8.0;
/// The origin counts as full if the gate blocks at least this fraction of the calls to it. The load bound
/// rises linearly up to this point.
const ORIGIN_FULL_BLOCKED_FRACTION_OF_CALLS: f64 = 0.05;
/// Lifetime of a load report as a multiple of the longest latency target. The weight of a report falls
/// linearly to 0 over its lifetime.
const REPORT_LIFETIME_MULTIPLE_OF_LATENCY_TARGET: f64 = 4.0;
/// Lifetime of a load report as a multiple of the mean time between two requests of this balancer to one
/// server. Applies if it gives the longer lifetime.
const REPORT_LIFETIME_MULTIPLE_OF_REQUEST_INTERVAL: f64 = 8.0;
/// A server is too loaded for a request if its queue takes longer than this fraction of the time left.
const MAX_WAIT_FRACTION_OF_TIME_LEFT: f64 = 0.5;
/// Number of observations that are assumed where none have been made yet. Added to the recent answers of a
/// server, it prevents a few attempts in flight at an idle server from looking like a backlog. The mean
/// utilization starts as if this many load reports, all with full utilization, had arrived. A server with
/// fewer recent answers than this is observed too little, and a slow read there is hedged.
const PRIOR_OBSERVATIONS: f64 = 2.0;
/// An attempt without an answer for this fraction of its latency target is slow; after twice this time it is
/// nearly late.
const SLOW_FRACTION_OF_LATENCY_TARGET: f64 = 0.4;
/// An answer is presumed lost after this multiple of the server's response time if an attempt that was sent
/// there later has been answered. If answers of the server were lost recently, a smaller multiple applies.
const MAX_LOST_MULTIPLE_OF_RESPONSE_TIME: f64 = 6.0;
/// Weight of one attempt in the smoothed share of its server's answers that are lost.
const LOSS_RATE_SMOOTHING_FACTOR: f64 = 0.05;
/// Cost of retrying an attempt whose answer is presumed lost, in attempts of the retry budget. It is below 1
/// because three of four such answers are lost, and only the fourth is slow.
const LOST_RETRY_COST: f64 = 0.25;
/// Attempts that each request adds to the budget for hedges and for retries of attempts that may have been
/// executed.
const RETRY_BUDGET_ATTEMPTS_PER_REQUEST: f64 = 0.05;
/// Largest retry budget, which limits the retries and hedges made at once.
const MAX_RETRY_BUDGET_ATTEMPTS: f64 = 5.0;
/// Number of recent requests at this balancer among which a key that occurs more than once is hot. To be
/// hot, a key thus needs about the same fraction of all requests, whatever the number of balancers. A key's
/// share of the work is taken from the same number of requests, or from as many as there are servers if
/// that is more.
const HOT_KEY_WINDOW_REQUESTS: usize = 64;

impl Policy {
    /// Returns a balancer that knows its settings but no servers yet. The seed determines all its random
    /// choices.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let latency_targets = settings.classes.iter().map(|class| class.latency_target);
        let total_quota: f64 = settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        let quota_share = total_quota / f64::from(settings.balancer_count.max(1));
        let mut policy = Policy {
            latency_target: latency_targets.clone().max().unwrap_or(1_000_000).max(1),
            origin_latency_target: latency_targets.min().unwrap_or(1_000_000),
            tenant_buckets: vec![TokenBucket::default(); settings.tenants.len().max(1)],
            rng: SeededRng::new(seed),
            admission_level: INITIAL_ADMISSION_LEVEL,
            // The cost of idle connections grows with the number of balancers that keep them open, whatever
            // the traffic. The cost of reconnecting does not, so with many balancers it is the lower one.
            close_idle_connections: f64::from(settings.balancer_count) * settings.connection_price
                > 100.0 * settings.handshake_price,
            retry_budget: MAX_RETRY_BUDGET_ATTEMPTS,
            // Until load reports arrive, servers are assumed to have no spare capacity.
            server_utilization: DecayingRatio::new(PRIOR_OBSERVATIONS, PRIOR_OBSERVATIONS),
            // Calls made before a restart of this balancer may still be running, so the gate opens gradually.
            gate: Gate { limit: GATE_CEILING_CALLS / 2.0, ..Gate::default() },
            quota_share,
            settings,
            ..Policy::default()
        };
        policy.schedule_after(0, TimerTask::AdmissionReview);
        policy
    }

    /// Handles an event that occurs at the time `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::DiscoveryFailed { failure, since_last_contact } => {
                self.handle_discovery_failure(failure, since_last_contact, actions)
            }
            Event::ServerList { kind, servers } => {
                self.apply_server_list(kind, servers);
                if kind == ListKind::Cached {
                    self.schedule_first_discovery_call();
                }
            }
            Event::DiscoveryMoved => self.handle_discovery_move(),
            Event::FirstWatchOpening => self.await_list_confirmation(now, false),
            Event::DiscoveryConnected => self.note_discovery_connected(),
            Event::DiscoverySynchronized => self.record_discovery_success(),
            Event::Request(request) => {
                self.compact_tasks();
                self.handle_request(request, actions)
            }
            Event::Outcome(outcome) => self.handle_outcome(outcome, actions),
            // The node passes a streamed answer to the client by itself, and a disconnected client waits for
            // none. Either way the request needs no final answer and has no deadline any more.
            Event::AnswerBegan { request, .. } | Event::ClientGone(request) => {
                drop(self.requests.remove(&request))
            }
            Event::Timer(_) => self.timers.timer_fired(self.now),
            Event::PeerMessage { .. } | Event::Probed { .. } => {}
        }
        while let Some(task) = self.timers.pop_due(now, actions) {
            match task {
                TimerTask::RequestExpiry(request_id) => self.handle_expiry(request_id, actions),
                TimerTask::DeferredRequest(request_id, deferral)
                    if self.requests.get(&request_id).map(|request_state| request_state.deferral_count)
                        == Some(deferral) =>
                {
                    self.send_next_attempt(request_id, actions)
                }
                TimerTask::SlowAttempt(request_id, attempt_number) => {
                    self.handle_slow_attempt(request_id, attempt_number, actions)
                }
                TimerTask::MissingAnswer(request_id, attempt_number) => {
                    self.handle_missing_answer(request_id, attempt_number, actions)
                }
                TimerTask::DiscoveryCall
                    if self.settings.pull_discovery
                        && self.next_discovery_call.is_some_and(|at| at <= now) =>
                {
                    self.next_discovery_call = None;
                    actions.push(Action::Subscribe(true));
                }
                TimerTask::DeferredRequest(..) | TimerTask::DiscoveryCall => {}
                TimerTask::AdmissionReview => self.review_admission_level(actions),
                TimerTask::ListConfirmationReview => self.review_list_confirmation(actions),
            }
        }
    }

    /// Removes tasks for requests and attempts that have ended, if many have accumulated.
    fn compact_tasks(&mut self) {
        let (requests, attempts) = (&self.requests, &self.attempts);
        self.timers.compact(|task| match task {
            TimerTask::RequestExpiry(id) => requests.contains_key(id),
            TimerTask::DeferredRequest(id, deferral) => {
                requests.get(id).is_some_and(|request_state| request_state.deferral_count == *deferral)
            }
            TimerTask::SlowAttempt(id, attempt_number) | TimerTask::MissingAnswer(id, attempt_number) => {
                attempts.contains_key(&(*id, *attempt_number))
            }
            TimerTask::DiscoveryCall | TimerTask::AdmissionReview | TimerTask::ListConfirmationReview => true,
        });
    }

    /// Schedules a task after a delay.
    fn schedule_after(&mut self, delay: Micros, task: TimerTask) {
        self.timers.schedule(self.now + delay, task);
    }

    // Arrival of a request

    /// Registers a request, sheds it if admission or its deadline requires this, and otherwise sends its
    /// first attempt.
    fn handle_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        // Requests end some ticks early, so that the answer is in time even if the node calls this module
        // late.
        let margin = 2 * self.settings.tick;
        let mut request_state = RequestState {
            class: request.class,
            key: request.key,
            write: request.write,
            latency_target_at: (self.now + self.settings.classes[request.class].latency_target)
                .saturating_sub(margin),
            deadline: self.now + request.time_left.saturating_sub(margin),
            ..RequestState::default()
        };
        self.retry_budget =
            (self.retry_budget + RETRY_BUDGET_ATTEMPTS_PER_REQUEST).min(MAX_RETRY_BUDGET_ATTEMPTS);
        // The work that a client states is capped at the longest latency target.
        let expected_work =
            request.expected_work.map_or(1.0, |work| work.clamp(1, self.latency_target) as f64);
        self.recent_requests.push_front((request.key, expected_work));
        self.recent_requests.truncate(HOT_KEY_WINDOW_REQUESTS.max(self.servers.len()));
        let (deadline, useful_until) = (request_state.deadline, self.useful_until(&request_state));
        let admitted = self.admit(&mut request_state, request.tenant) && self.now < deadline;
        self.requests.insert(request.id, request_state);
        if !admitted {
            return self.shed_or_fail(request.id, actions);
        }
        self.admitted_rate.count();
        self.timers.schedule(deadline, TimerTask::RequestExpiry(request.id));
        self.timers.schedule(useful_until, TimerTask::RequestExpiry(request.id));
        self.send_next_attempt(request.id, actions);
    }

    /// Sends the next attempt of a request, or ends the request if no further attempt is possible or useful.
    fn send_next_attempt(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(request_state) = self.requests.get(&request_id) else { return };
        if self.now >= self.useful_until(request_state)
            || u32::from(request_state.attempts_sent) >= self.settings.max_attempts
            || !self.list_is_usable(self.now)
        {
            return self.shed_or_fail(request_id, actions);
        }
        if request_state.write || request_state.cache_missed {
            return self.send_to_origin(request_id, actions);
        }
        if !self
            .select_server(request_id)
            .is_some_and(|server_id| self.send_attempt(request_id, server_id, Purpose::Read, actions))
        {
            self.shed_or_fail(request_id, actions);
        }
    }

    /// Returns the time until which an answer still earns value: the deadline, or the end of the latency
    /// target if late answers earn nothing.
    fn useful_until(&self, request_state: &RequestState) -> Micros {
        if self.settings.classes[request_state.class].late_value_fraction > 0.0 {
            request_state.deadline
        } else {
            request_state.latency_target_at.min(request_state.deadline)
        }
    }

    // Server selection

    /// Selects the first server in the key's order that is neither ejected nor too loaded, or for a hot key
    /// one of the first few such servers. If there is none, selects the first server that is only too loaded,
    /// or else the first ejected one. Returns `None` if no server is left or the queue at the selected one
    /// would take too long.
    fn select_server(&self, request_id: RequestId) -> Option<ServerId> {
        let request_state = &self.requests[&request_id];
        let key = if request_state.key == 0 { request_id } else { request_state.key };
        let time_left = self.useful_until(request_state).saturating_sub(self.now) as f64;
        let bound_multiple = LOAD_BOUND_MULTIPLE_OF_SHARE
            + (LOAD_BOUND_MULTIPLE_OF_SHARE_ORIGIN_FULL - LOAD_BOUND_MULTIPLE_OF_SHARE)
                * (self.gate.blocked_ratio.value() / ORIGIN_FULL_BLOCKED_FRACTION_OF_CALLS).min(1.0);
        let own_bound = bound_multiple * f64::from(self.cache_in_flight + 1) / self.total_weight;
        let total_load =
            self.ready_servers(false).map(|server| self.estimated_load(server, 1.0)).sum::<f64>();
        let fleet_bound = bound_multiple * (total_load + 1.0) / self.total_weight;
        // Each balancer may use an equal part of the least bound. If there is only one balancer, it may use
        // half, because attempts up to the whole bound from one balancer would overload a server.
        let min_bound = MIN_LOAD_BOUND_ATTEMPTS / f64::from(self.settings.balancer_count.max(2));
        let mut candidates = Vec::new();
        for server in self.ready_servers(false).filter(|server| {
            !request_state.tried_servers.contains(&server.entry.id) && self.slow_start_allows(key, server)
        }) {
            // Ejected servers are sorted last instead of being left out: if most servers seem to fail, the
            // cause is common to all, and the other servers are no better.
            let ejected =
                server.ejection.until != 0 && (self.now < server.ejection.until || server.in_flight > 0);
            // Each request scales the report by its own factor between 0.5 and 1.5. Without this, all
            // balancers would leave a server, and return to it, at the same time.
            let estimated_load = self.estimated_load(server, 0.5 + unit_hash(request_id, server.entry.id, 2));
            let over_bound = f64::from(server.in_flight)
                >= (own_bound * self.server_weight(server)).max(min_bound)
                || estimated_load >= (fleet_bound * self.server_weight(server)).max(MIN_LOAD_BOUND_ATTEMPTS);
            candidates.push((
                (
                    ejected,
                    over_bound
                        || self.queueing_delay(request_id, server)
                            > time_left * MAX_WAIT_FRACTION_OF_TIME_LEFT,
                ),
                self.rendezvous_rank(key, server),
                server.entry.id,
            ));
        }
        candidates.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        let preferred = candidates.iter().filter(|(penalty, ..)| *penalty == (false, false)).count();
        let replica_index =
            (unit_hash(request_id, 0, 3) * self.hot_key_replicas(key) / bound_multiple) as usize;
        let choice = candidates.get(replica_index.min(preferred.saturating_sub(1)));
        // If the chosen server is overloaded, the request is shed. A server far down the key's order would
        // not hold the value, and storing it there would evict other values from its cache.
        let backlog_time = |server: &Server| {
            if self.admission_level < MAX_ADMISSION_LEVEL { self.backlog_time(server) } else { 0.0 }
        };
        let overloaded = |server: &Server| {
            self.queueing_delay(request_id, server).max(backlog_time(server))
                > time_left * MAX_WAIT_FRACTION_OF_TIME_LEFT
        };
        choice.map(|(.., server_id)| *server_id).filter(|server_id| !overloaded(&self.servers[server_id]))
    }

    /// Returns the number of servers over which the recent work for a key must be spread so that none of
    /// them gets more than the mean; 0 unless this balancer's traffic is sparse. Prevents the overload of
    /// one server by a hot key: a balancer that sends each server hardly one request per latency target
    /// never has two attempts in flight there, so its own count shows no overload.
    fn hot_key_replicas(&self, key: Key) -> f64 {
        let same_key = self.recent_requests.iter().filter(|(recent, _)| *recent == key).map(|(_, work)| work);
        let (count, key_work) = (same_key.clone().count() as f64, same_key.sum::<f64>());
        let total_work = self.recent_requests.iter().map(|(_, work)| work).sum::<f64>().max(1.0);
        // A few requests are weak evidence of a key's share, and a single request for it is none.
        let confidence = (self.recent_requests.len() as f64 / HOT_KEY_WINDOW_REQUESTS as f64).min(1.0)
            * (1.0 - 1.0 / count.max(1.0));
        if self.has_sparse_traffic() {
            self.servers.len() as f64 * confidence * key_work / total_work
        } else {
            0.0
        }
    }

    /// Estimates the requests of all balancers in progress at a server: the attempts of this balancer are
    /// known, and those of the others come from the server's latest load report, whose weight falls with its
    /// age. `report_weight` scales the report.
    ///
    /// Prevents an overload that many balancers cause together: one of a hundred balancers hardly ever has
    /// two attempts at a server, so its own count does not show how loaded the server is. Such a balancer
    /// also gets load reports of each server so rarely that it must use each for longer; otherwise the
    /// report would expire before the overload ends.
    fn estimated_load(&self, server: &Server, report_weight: f64) -> f64 {
        let report_lifetime = (REPORT_LIFETIME_MULTIPLE_OF_LATENCY_TARGET * self.latency_target as f64)
            .max(REPORT_LIFETIME_MULTIPLE_OF_REQUEST_INTERVAL * self.per_server_request_interval());
        let freshness = 1.0 - (self.now - server.reported.at) as f64 / report_lifetime;
        let peer_fraction = 1.0 - 1.0 / f64::from(self.settings.balancer_count.max(1));
        f64::from(server.in_flight)
            + report_weight * peer_fraction * server.reported.count * freshness.max(0.0)
    }

    /// Returns the mean time between two requests of this balancer to one server in microseconds, derived
    /// from the quotas; 0 if there are no quotas.
    fn per_server_request_interval(&self) -> f64 {
        if self.quota_share > 0.0 { 1e6 * self.servers.len() as f64 / self.quota_share } else { 0.0 }
    }

    /// Whether this balancer is one of so many that it sends each server less than one request per latency
    /// target.
    fn has_sparse_traffic(&self) -> bool {
        self.per_server_request_interval() > self.latency_target as f64
    }

    /// Estimates the queueing time at a server, from the requests of all balancers in progress there
    /// according to its load report or its weight in the server list. Each request scales the time by its own
    /// factor between 0.5 and 1.5; without this, all balancers would leave a server, and return to it, at the
    /// same time.
    fn queueing_delay(&self, request_id: RequestId, server: &Server) -> f64 {
        let delay = self.service_time * self.queued_per_core(server, self.estimated_load(server, 1.0));
        if delay > 0.0 { delay * (0.5 + unit_hash(request_id, server.entry.id, 2)) } else { 0.0 }
    }

    /// Returns the number of requests that wait per core of a server at which `in_progress` requests are in
    /// progress. The weight is taken as the approximate number of cores.
    fn queued_per_core(&self, server: &Server, in_progress: f64) -> f64 {
        let from_report = if self.settings.weights_are_capacities {
            in_progress / self.server_weight(server) - 1.0
        } else {
            0.0
        };
        from_report.max(server.requests_per_core())
    }

    /// Estimates the time in which a server answers the attempts that this balancer has in flight there, at
    /// the rate of its recent answers (Little's law). [`PRIOR_OBSERVATIONS`] prevents a server that received
    /// few attempts from looking slow.
    fn backlog_time(&self, server: &Server) -> f64 {
        f64::from(server.in_flight) * self.latency_target as f64
            / (server.decayed_answers(self.now, self.latency_target) + PRIOR_OBSERVATIONS)
    }

    /// Returns the servers that accept requests: the origin if `origin` is set, else the cache servers.
    fn ready_servers(&self, origin: bool) -> impl Iterator<Item = &Server> {
        self.servers
            .values()
            .filter(move |server| server.entry.state == ServerState::Ready && server.is_origin == origin)
    }

    /// Returns the capacity of a server relative to the others; 1 if the weights in the list are not
    /// capacities.
    fn server_weight(&self, server: &Server) -> f64 {
        if self.settings.weights_are_capacities { f64::from(server.entry.weight).max(0.01) } else { 1.0 }
    }

    /// Returns the rank of a server in a key's order, smallest first (weighted rendezvous hashing). The order
    /// is the same at every balancer, and few keys move when a server joins or leaves.
    fn rendezvous_rank(&self, key: Key, server: &Server) -> f64 {
        let hash = unit_hash(key, server.entry.id, 0);
        // With equal weights the order is the same without the logarithm, which took most of the time of a
        // selection among 475 servers.
        if self.settings.weights_are_capacities { -hash.ln() / self.server_weight(server) } else { -hash }
    }

    /// Returns the requests per second that this balancer is expected to serve: its part of all quotas, or
    /// the measured rate if there are none.
    fn expected_request_rate(&self) -> f64 {
        if self.quota_share > 0.0 { self.quota_share } else { self.admitted_rate.per_s }
    }

    // Sending an attempt

    /// Sends an attempt if the deadline, the limits on attempts, the state of the server and the
    /// idempotency of the request allow it, and returns whether they do. All attempts are sent here, so no
    /// other code can break these rules.
    fn send_attempt(
        &mut self,
        request_id: RequestId,
        server_id: ServerId,
        purpose: Purpose,
        actions: &mut Vec<Action>,
    ) -> bool {
        let (Some(request_state), Some(server)) =
            (self.requests.get(&request_id), self.servers.get(&server_id))
        else {
            return false;
        };
        let allowed = self.now < request_state.deadline
            && u32::from(request_state.attempts_sent) < self.settings.max_attempts
            && server.entry.state == ServerState::Ready
            && self.list_is_usable(self.now)
            && (request_state.in_flight == 0 || self.settings.may_duplicate)
            && self.may_retry_at(request_state, server_id);
        if !allowed {
            return false;
        }
        let slow_start_bucket =
            LeakyBucket { level: self.slow_start_level_and_depth(server).0 + 1.0, at: self.now };
        let (attempt_number, sent_at, latency_target) = (
            request_state.attempts_sent,
            self.now,
            self.settings.classes[request_state.class].latency_target,
        );
        let slow_after = (latency_target as f64 * SLOW_FRACTION_OF_LATENCY_TARGET) as Micros;
        if let (Some(request_state), Some(server)) =
            (self.requests.get_mut(&request_id), self.servers.get_mut(&server_id))
        {
            (request_state.attempts_sent, request_state.in_flight) =
                (request_state.attempts_sent + 1, request_state.in_flight + 1);
            request_state.may_have_run.push((attempt_number, sent_at, server_id));
            (server.in_flight, server.slow_start_bucket) = (server.in_flight + 1, slow_start_bucket);
        }
        if purpose == Purpose::Read {
            self.cache_in_flight += 1;
            self.schedule_after(slow_after, TimerTask::SlowAttempt(request_id, attempt_number));
        } else {
            self.gate.acquire(purpose);
        }
        self.schedule_after(
            self.presumed_lost_after(server_id) as Micros + 1,
            TimerTask::MissingAnswer(request_id, attempt_number),
        );
        self.attempts.insert(
            (request_id, attempt_number),
            Attempt { server: server_id, purpose, sent_at, latency_target, slow_after, presumed_lost: false },
        );
        actions.push(Action::Send { request: request_id, server: server_id, timeout: 0 });
        true
    }

    /// Whether a request may be sent to a server without the risk of a repeated effect: a request that may
    /// have been executed is retried only at a server that drops the retry, and only while it does so.
    fn may_retry_at(&self, request_state: &RequestState, server_id: ServerId) -> bool {
        let Some(&(_, first_sent_at, first_server_id)) = request_state.may_have_run.first() else {
            return true;
        };
        match self.settings.classes[request_state.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Deduplicated { scope, window } => {
                let (first_server, next_server) =
                    (self.servers.get(&first_server_id), self.servers.get(&server_id));
                let same_scope =
                    first_server.zip(next_server).is_some_and(|(a, b)| a.shares_dedup_scope(b, scope));
                // The last byte of the retry must reach the server within the deduplication window, and the
                // retry may need a new connection first.
                let reserve = 2 * self.settings.tick + self.settings.connect_timeout.max(window / 8);
                same_scope && self.now + reserve < first_sent_at + window
            }
        }
    }

    // End of an attempt

    /// Handles the end of an attempt: records what the outcome shows about the server, then finishes the
    /// request, retries it or leaves it to its other attempts.
    fn handle_outcome(&mut self, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.remove(&(outcome.request, outcome.attempt)) else { return };
        if let Some(server) =
            self.servers.get_mut(&attempt.server).filter(|_| outcome.status == Status::Success)
        {
            let response_time = (self.now - attempt.sent_at) as f64;
            server.response_time +=
                if server.response_time == 0.0 { 1.0 } else { 0.1 } * (response_time - server.response_time);
            server.last_answered_sent_at = server.last_answered_sent_at.max(attempt.sent_at);
            server.loss_rate -= LOSS_RATE_SMOOTHING_FACTOR * server.loss_rate;
        }
        self.record_outcome(&attempt, &outcome, actions);
        // One broken connection or malformed answer says little about a server. The server stays a candidate
        // because it holds the value; the next server in the order would have to fetch it.
        let keep_server = matches!(outcome.status, Status::Malformed | Status::Reset)
            && self
                .servers
                .get(&attempt.server)
                .is_some_and(|server| server.failure_count < 2 && server.ejection.until == 0);
        let Some(request_state) = self.requests.get_mut(&outcome.request) else { return };
        request_state.in_flight -= 1;
        if outcome.status.never_executed() {
            request_state.may_have_run.retain(|&(attempt_number, ..)| attempt_number != outcome.attempt);
        }
        request_state.cache_missed |= outcome.status == Status::Miss;
        if attempt.purpose == Purpose::Read && outcome.status != Status::Miss && !keep_server {
            request_state.tried_servers.push(attempt.server);
        }
        let class = request_state.class;
        if outcome.request_finished || outcome.status == Status::Success {
            self.cancel_open_attempts(outcome.request, actions);
            self.requests.remove(&outcome.request);
            return;
        }
        if self.open_attempts(outcome.request).any(|presumed_lost| !presumed_lost)
            && outcome.status != Status::Miss
        {
            return; // The other attempts decide.
        }
        if attempt.purpose != Purpose::Read && outcome.status == Status::Rejected {
            return self.defer(outcome.request, actions);
        }
        // A retry of a request that may still be running adds work just when servers are slow, so it uses the
        // retry budget. If each attempt opens a connection, a rejected attempt has cost the server work too.
        let cost_server_work =
            self.close_idle_connections && attempt.purpose == Purpose::Read && outcome.status != Status::Miss;
        if cost_server_work || !outcome.status.never_executed() {
            // Malformed answers and broken connections are no sign of slow servers. In some benchmark runs
            // many of them occur, and a budget would run out. The attempts of each request are few anyway.
            let retry_cost =
                if matches!(outcome.status, Status::Malformed | Status::Reset) { 0.0 } else { 1.0 };
            let retriable = match self.settings.classes[class].idempotency {
                Idempotency::Idempotent => true,
                // `may_retry_at` checks the scope and the window of the deduplication when the retry is sent.
                Idempotency::Deduplicated { .. } => {
                    matches!(outcome.status, Status::Malformed | Status::Error | Status::Reset)
                }
                Idempotency::NonIdempotent => false,
            };
            if self.retry_budget < retry_cost || !retriable {
                return self.shed_or_fail(outcome.request, actions);
            }
            self.retry_budget -= retry_cost;
        }
        self.send_next_attempt(outcome.request, actions);
    }

    /// Records what an outcome shows about its server, the overload of the fleet or the origin.
    #[expect(
        clippy::too_many_lines,
        reason = "one sequence of decisions on an outcome: load report, overload signal, then status"
    )]
    fn record_outcome(&mut self, attempt: &Attempt, outcome: &Outcome, actions: &mut Vec<Action>) {
        if !attempt.presumed_lost {
            self.remove_from_in_flight(attempt);
        }
        let fields =
            self.settings.load_fields.iter().zip(outcome.load.values).take(outcome.load.count.into());
        let reported =
            |wanted| fields.clone().find(|(field, _)| **field == wanted).map(|(_, value)| value.into());
        let (in_progress, utilization): (Option<f64>, Option<f64>) =
            (reported(LoadField::InFlight), reported(LoadField::CpuUtilization));
        let server = self.servers.get(&attempt.server);
        let queued_per_core =
            server.map_or(0.0, |server| self.queued_per_core(server, in_progress.unwrap_or(0.0)));
        let Some(server) = self.servers.get_mut(&attempt.server) else { return };
        // The connection table of a server is too small for one idle connection from each of many balancers.
        if server.in_flight == 0 && self.close_idle_connections {
            actions.push(Action::CloseIdle(attempt.server));
        }
        if attempt.purpose != Purpose::Read {
            return self.record_origin_outcome(attempt, outcome, actions);
        }
        if let Some(in_progress) = in_progress {
            server.reported = ReportedRequests { count: in_progress, at: self.now };
        }
        if let Some(utilization) = utilization {
            self.server_utilization.record(utilization.min(1.0), 1.0);
        }
        // A slow attempt was counted when it became slow; counting it at its end would delay the overload
        // signal. An attempt that was abandoned earlier counts as an overload signal too, if it was in flight
        // for more than two service times. Without this, an overloaded fleet would look healthy when clients
        // wait only briefly.
        let age = self.now - attempt.sent_at;
        if age < attempt.slow_after && (!outcome.status.abandoned() || age as f64 > 2.0 * self.service_time) {
            self.overload_signal.record(
                f64::from(u8::from(outcome.status.abandoned() || outcome.status == Status::Rejected)),
                1.0,
            );
        }
        match outcome.status {
            // A server that fails every request immediately looks idle and would attract more and more
            // requests.
            Status::ConnectFailed | Status::Reset | Status::Error | Status::Malformed => {
                // Only a failed connection counts as a sign of a restart: established connections break for
                // many reasons, while a terminated process accepts no new ones.
                server.connect_failed = outcome.status == Status::ConnectFailed;
                server.returned_error = outcome.status == Status::Error;
                if server.connect_failed {
                    self.record_zone_failure(attempt.server, attempt.sent_at, actions);
                }
                self.record_server_failure(attempt.server, actions);
            }
            Status::TimedOut => server.connect_failed = false,
            // The attempt was slow and was cancelled, for example because its hedge was answered first.
            Status::Cancelled if self.now - attempt.sent_at >= attempt.slow_after => {
                self.record_zone_failure(attempt.server, attempt.sent_at, actions);
            }
            Status::NotSent | Status::Cancelled => {}
            _ => {
                self.zones.insert(server.entry.zone, ZoneState { last_answer_at: self.now, unanswered: 0 });
                let service_time_sample = (self.now - attempt.sent_at) as f64 / (1.0 + queued_per_core);
                if outcome.status == Status::Success {
                    self.service_time += if self.service_time == 0.0 { 1.0 } else { 0.1 }
                        * (service_time_sample - self.service_time);
                }
                server.recent_answers = 1.0 + server.decayed_answers(self.now, attempt.latency_target);
                server.last_answer_at = self.now;
                // A server that fails reads of stored values may still answer misses without an error, which
                // does not show that it has recovered.
                if server.returned_error && outcome.status != Status::Success {
                    return;
                }
                server.failure_count = server.failure_count.saturating_sub(1);
                if server.ejection.until != 0 {
                    server.ejection = Ejection::default();
                    // The server refused connections and answers again, so it is presumed to be a new process
                    // with a cold cache. The server list does not show the new start time yet.
                    if std::mem::take(&mut server.connect_failed) {
                        server.entry.started_at = server.entry.started_at.max(self.now);
                        server.slow_start_bucket =
                            LeakyBucket { level: 1.0 + self.rng.next_unit(), at: self.now };
                    }
                    actions.push(Action::Log(format!("server {} answers again: readmitted", attempt.server)));
                }
            }
        }
    }

    /// Handles an attempt that has become slow, nearly late or late. A slow attempt counts as an overload
    /// signal, and a late one counts as a failure of its server if the server has answered nothing since the
    /// attempt was sent; this detects servers that are silent or hang.
    fn handle_slow_attempt(&mut self, request_id: RequestId, attempt_number: u16, actions: &mut Vec<Action>) {
        let Some(&attempt) = self.attempts.get(&(request_id, attempt_number)) else { return };
        let (age, check_interval) = (self.now - attempt.sent_at, attempt.slow_after + 1);
        // An attempt that becomes slow adds half an overload signal, because its answer may still be in time,
        // and the other half when it becomes nearly late. It is added to the number of attempts only once,
        // when it becomes slow.
        self.overload_signal.record(
            if age < attempt.latency_target && !attempt.presumed_lost { 0.5 } else { 0.0 },
            if age < check_interval * 3 / 2 { 1.0 } else { 0.0 },
        );
        if age < check_interval * 3 / 2 {
            self.hedge(request_id, attempt.server, actions);
        } else if age < attempt.latency_target {
            self.record_zone_failure(attempt.server, attempt.sent_at, actions);
            self.presume_server_overloaded(&attempt);
        }
        if age < attempt.latency_target {
            return self.schedule_after(check_interval, TimerTask::SlowAttempt(request_id, attempt_number));
        }
        // Each attempt counts as one failure at most: a single slow request does not show that a server
        // fails.
        if self.servers.get(&attempt.server).is_some_and(|server| server.last_answer_at < attempt.sent_at) {
            self.record_server_failure(attempt.server, actions);
        }
    }

    /// Raises the reported load of a server that has answered nothing since a nearly late attempt was sent.
    /// The new load is the number of requests whose service takes as long as this attempt has waited, or
    /// the present estimate if that is higher. Detects an overload that load reports show too late, because
    /// they arrive with the answers.
    fn presume_server_overloaded(&mut self, attempt: &Attempt) {
        let Some(server) = self
            .servers
            .get(&attempt.server)
            .filter(|server| server.last_answer_at < attempt.sent_at && self.service_time > 0.0)
        else {
            return;
        };
        let estimated_load =
            self.server_weight(server) * (1.0 + (self.now - attempt.sent_at) as f64 / self.service_time);
        let estimated_load = estimated_load.max(self.estimated_load(server, 1.0));
        self.servers
            .entry(attempt.server)
            .and_modify(|server| server.reported = ReportedRequests { count: estimated_load, at: self.now });
    }

    /// Returns the time in flight in microseconds after which the answer of an attempt at a server is
    /// presumed lost. The more of the server's answers were lost recently, the shorter is the time after
    /// which an answer is more likely lost than slow. If response times are exponentially distributed, a
    /// lost answer is then e times as likely as a slow one: the share of answers that are only slow but
    /// presumed lost is the loss rate divided by e, and so stays below the loss rate that the time is
    /// derived from.
    fn presumed_lost_after(&self, server_id: ServerId) -> f64 {
        self.servers.get(&server_id).map_or(0.0, |server| {
            server.response_time * (1.0 - server.loss_rate.ln()).min(MAX_LOST_MULTIPLE_OF_RESPONSE_TIME)
        })
    }

    /// Marks an attempt as presumed lost when its answer is overdue or its server's zone is silent, and
    /// retries it. Repeats the check until the request has its final answer, because the response time of the
    /// server changes meanwhile.
    fn handle_missing_answer(
        &mut self,
        request_id: RequestId,
        attempt_number: u16,
        actions: &mut Vec<Action>,
    ) {
        let Some(&attempt) = self.attempts.get(&(request_id, attempt_number)) else { return };
        let until_lost = self.presumed_lost_after(attempt.server) - (self.now - attempt.sent_at) as f64;
        // The server has answered an attempt that was sent later: the connection failed, not the server.
        let server = self
            .servers
            .get_mut(&attempt.server)
            .filter(|server| server.response_time > 0.0 && server.last_answered_sent_at > attempt.sent_at);
        let newly_lost = server
            .filter(|_| until_lost < 0.0 && !attempt.presumed_lost)
            .map(|server| server.loss_rate += LOSS_RATE_SMOOTHING_FACTOR * (1.0 - server.loss_rate));
        if newly_lost.is_some() || (!attempt.presumed_lost && self.in_silent_zone(&attempt)) {
            // An attempt that is presumed lost no longer counts as in flight, neither at the gate nor at its
            // server. Otherwise it would count as running work until its time-out, and calls would be blocked
            // despite free capacity.
            self.remove_from_in_flight(&attempt);
            self.attempts.insert((request_id, attempt_number), Attempt { presumed_lost: true, ..attempt });
        }
        if self.requests.contains_key(&request_id) {
            self.retry_lost_attempt(request_id, &attempt, actions);
            let next_check = (until_lost.max(0.0) as Micros + 1)
                .max((self.now - attempt.sent_at) / 4)
                .max(self.settings.tick);
            self.schedule_after(next_check, TimerTask::MissingAnswer(request_id, attempt_number));
        }
    }

    /// Removes an attempt from the attempts in flight at its server and from those of all cache servers or
    /// the gate.
    fn remove_from_in_flight(&mut self, attempt: &Attempt) {
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
        match attempt.purpose {
            Purpose::Read => self.cache_in_flight -= 1,
            purpose => self.gate.release(purpose),
        }
    }

    /// Returns, for each of a request's attempts that have no outcome yet, whether it is presumed lost.
    fn open_attempts(&self, request_id: RequestId) -> impl Iterator<Item = bool> {
        let attempts_sent =
            self.requests.get(&request_id).map_or(0, |request_state| request_state.attempts_sent);
        (0..attempts_sent).filter_map(move |attempt_number| {
            self.attempts.get(&(request_id, attempt_number)).map(|attempt| attempt.presumed_lost)
        })
    }

    /// Retries an attempt whose answer is presumed lost, within the retry budget, if all open attempts of its
    /// request are presumed lost: a read first at the same server and then at the next one, and a call to the
    /// origin through the gate. Without this, a lost answer would delay its request until the deadline.
    fn retry_lost_attempt(&mut self, request_id: RequestId, attempt: &Attempt, actions: &mut Vec<Action>) {
        let lost_count = self.open_attempts(request_id).filter(|presumed_lost| *presumed_lost).count();
        if lost_count == 0
            || self.open_attempts(request_id).count() > lost_count
            || self.retry_budget < LOST_RETRY_COST
        {
            return;
        }
        let use_next_server =
            attempt.purpose == Purpose::Read && (lost_count > 1 || self.in_silent_zone(attempt));
        let target = match self.requests.get_mut(&request_id).filter(|_| use_next_server) {
            Some(request_state) => {
                request_state.tried_servers.push(attempt.server);
                self.select_server(request_id)
            }
            None => Some(attempt.server),
        };
        let Some(server_id) =
            target.filter(|_| attempt.purpose == Purpose::Read || self.gate_admits(attempt.purpose))
        else {
            return;
        };
        if self.send_attempt(request_id, server_id, attempt.purpose, actions) {
            self.retry_budget -= LOST_RETRY_COST;
        }
    }

    /// Sends a hedge of a slow read to the next server. Needed where one of many balancers gets too few
    /// answers from a slow or silent server to avoid it. A balancer that gets enough answers from the
    /// server sends no hedge, which would only cause another fetch.
    fn hedge(&mut self, request_id: RequestId, server_id: ServerId, actions: &mut Vec<Action>) {
        let Some(request_state) = self
            .requests
            .get_mut(&request_id)
            .filter(|request_state| request_state.in_flight == 1 && !request_state.cache_missed)
        else {
            return;
        };
        let sees_enough_answers = self.servers.get(&server_id).is_some_and(|server| {
            server.decayed_answers(self.now, self.latency_target) >= PRIOR_OBSERVATIONS
        });
        if sees_enough_answers
            || self.settings.classes[request_state.class].idempotency != Idempotency::Idempotent
            || !self.settings.may_duplicate
            || self.retry_budget < 1.0
        {
            return;
        }
        request_state.tried_servers.push(server_id);
        if self
            .select_server(request_id)
            .is_some_and(|next_id| self.send_attempt(request_id, next_id, Purpose::Read, actions))
        {
            self.retry_budget -= 1.0;
        }
    }

    // End of a request

    /// Ends a request at its deadline, or at its latency target if late answers earn nothing. In the latter
    /// case an attempt at a cache server would only take capacity from requests that can still be in time,
    /// while a call to the origin continues: the origin executes it anyway, and its answer fills the cache.
    fn handle_expiry(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(request_state) = self.requests.get(&request_id) else { return };
        let is_origin_call = |attempt_number| {
            self.attempts
                .get(&(request_id, attempt_number))
                .is_some_and(|attempt| attempt.purpose != Purpose::Read)
        };
        if self.now >= request_state.deadline || !(0..request_state.attempts_sent).any(is_origin_call) {
            self.shed_or_fail(request_id, actions);
        }
    }

    /// Gives the final answer to a request that was not answered by a server: sheds it if a retry is
    /// harmless, else reports a failure. No other code does this, so each request gets one such answer at
    /// most.
    fn shed_or_fail(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(request_state) = self.requests.get(&request_id) else { return };
        // Quotas count answers, so the token of a request without an answer is returned. Otherwise a tenant
        // that is limited to its quota would get fewer answers than its quota.
        let charged_tenant =
            request_state.charged_tenant.filter(|_| self.admission_level >= INITIAL_ADMISSION_LEVEL);
        charged_tenant
            .and_then(|tenant| self.tenant_buckets.get_mut(tenant))
            .into_iter()
            .for_each(TokenBucket::refund);
        let (class, never_executed) = (request_state.class, request_state.may_have_run.is_empty());
        // The client is asked to retry after the random backoff of a blocked call. After a longer wait its
        // retry would be too late, and would only take capacity from another request.
        actions.push(
            match self.settings.classes[class].idempotency == Idempotency::Idempotent || never_executed {
                true => {
                    let retry_after = self.jittered_backoff(class).min(self.settings.max_retry_after);
                    Action::Refuse { request: request_id, retry_after }
                }
                false => Action::Fail(request_id),
            },
        );
        self.cancel_open_attempts(request_id, actions);
        self.requests.remove(&request_id);
    }

    /// Cancels all attempts of a request that have no outcome, if the settings allow this. Work that no
    /// client waits for delays other requests.
    fn cancel_open_attempts(&self, request_id: RequestId, actions: &mut Vec<Action>) {
        let attempts_sent = self
            .requests
            .get(&request_id)
            .filter(|request_state| request_state.in_flight > 0 && self.settings.may_cancel)
            .map_or(0, |request_state| request_state.attempts_sent);
        let open_attempt_numbers = (0..attempts_sent)
            .filter(|attempt_number| self.attempts.contains_key(&(request_id, *attempt_number)));
        actions.extend(
            open_attempt_numbers
                .map(|attempt_number| Action::Cancel { request: request_id, attempt: attempt_number }),
        );
    }

    // The server list

    /// Applies a received server list to the servers in force.
    fn apply_server_list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        if matches!(kind, ListKind::Full | ListKind::Delta) {
            self.record_discovery_success();
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.servers.values_mut().for_each(|server| server.entry.state = ServerState::Removed);
        }
        for entry in entries {
            let server = self.servers.entry(entry.id).or_default();
            server.is_origin = self.settings.origin_machine_type == Some(entry.machine_type);
            // A new process starts without failures. A server that is presumed restarted remains so until the
            // list shows its new start time.
            if entry.started_at > server.entry.started_at {
                (server.failure_count, server.ejection, server.reported) = Default::default();
                server.slow_start_bucket = LeakyBucket { level: 1.0 + self.rng.next_unit(), at: self.now };
            }
            server.idle_weight = if self.settings.weights_follow_load {
                server.idle_weight.max(entry.weight)
            } else {
                entry.weight
            };
            let started_at =
                if entry.started_at == 0 { 0 } else { entry.started_at.max(server.entry.started_at) };
            server.entry = ServerEntry { started_at, ..entry };
        }
        // Removed servers without attempts in flight are deleted here, because searching all servers at each
        // admission review would take much CPU time.
        self.servers.retain(|_, server| server.entry.state != ServerState::Removed || server.in_flight > 0);
        self.total_weight =
            self.ready_servers(false).map(|server| self.server_weight(server)).sum::<f64>().max(0.01);
    }
}
