//! Every decision of a balancer. The types it speaks in (settings, events, actions) are in `interface.rs`.
//!
//! Ordinary path: a read goes to the first server in its key's order that is not over the load bound; after
//! a miss the value is fetched from the origin, and a write goes straight there, through a gate of an
//! outstanding cap and a windowed tally; a call that finds the gate shut is postponed by a random delay.
//! All else here is a departure for a failure that the code names.

mod admission;
mod discovery_refresh;
mod slow_start;

use crate::interface::*;
use crate::state::*;
use admission::{INITIAL_ADMISSION_LEVEL, MAX_ADMISSION_LEVEL};

/// Load bound: a server is passed over when it has at least this multiple of its weighted share of the
/// attempts in flight. The share is taken of this balancer's attempts and, from the load reports, of the
/// attempts of all balancers. Applies while the origin has room for the fetch that passing over may cost.
const LOAD_BOUND_MULTIPLE_OF_SHARE: f64 = 1.25;
/// The same bound when the gate blocks calls to the origin, so that there is no room for further fetches.
const LOAD_BOUND_MULTIPLE_OF_SHARE_ORIGIN_FULL: f64 = 3.0;
/// Least load bound of a server, in attempts in flight of all balancers. Without it, a fleet with little
/// traffic would scatter its keys over the servers.
const MIN_LOAD_BOUND_ATTEMPTS: f64 = 8.0;
/// Fraction of the calls to the origin from which on the origin counts as full, if the gate blocks that many.
/// The load bound rises linearly up to this point.
const ORIGIN_FULL_BLOCKED_FRACTION_OF_CALLS: f64 = 0.05;
/// Lifetime of a load report as a multiple of the longest latency target. The weight of a report falls
/// linearly to 0 over its lifetime.
const REPORT_LIFETIME_MULTIPLE_OF_LATENCY_TARGET: f64 = 4.0;
/// Lifetime of a load report as a multiple of the time in which this balancer sends each server one request,
/// if that is longer.
const REPORT_LIFETIME_MULTIPLE_OF_REQUEST_INTERVAL: f64 = 8.0;
/// A server whose queue takes longer than this part of the time left is full.
const MAX_WAIT_FRACTION_OF_TIME_LEFT: f64 = 0.5;
/// Answers that a server is credited with before any were seen: a few in flight at an idle one pass.
const PRIOR_OBSERVATIONS: f64 = 2.0;
/// Gate: ceiling of the limit on origin calls in flight of one balancer. The limit starts at half of this
/// ceiling, the default of the rate-limit note.
const GATE_CEILING_CALLS: f64 = 20.0;
/// Gate: the ceiling is the calls that arrive in this fraction of the longest latency target, if that is more.
const GATE_CEILING_FRACTION_OF_LATENCY_TARGET: f64 = 0.1;
/// Gate: its window as a part of the longest aim, short enough that what bursts over it can still wait.
const GATE_WINDOW_FRACTION_OF_LATENCY_TARGET: f64 = 0.25;
/// Gate: sub-limit of fetches, of both limits; writes have the rest for themselves.
const GATE_FETCH_FRACTION_OF_LIMITS: f64 = 0.7;
/// Gate: factor by which a sign of congestion lowers the limit on calls in flight.
const GATE_DECREASE_FACTOR: f64 = 0.8;
/// Gate: least limit on calls in flight as a fraction of [`GATE_CEILING_CALLS`].
const GATE_FLOOR_FRACTION_OF_CEILING: f64 = 0.1;
/// Gate: an origin whose answers take longer than this part of the shortest aim, of late and not just one of
/// them, is congested: some are slow at any load, and each would cut the gate.
const ORIGIN_SLOW_FRACTION_OF_LATENCY_TARGET: f64 = 0.8;
/// Shortest backoff of a blocked call as a fraction of its latency target. The rate-limit note queues a
/// blocked call again after a random 1 to 3 s and lets it fail after 60 s; here the latency target takes the
/// place of the 60 s.
const MIN_BACKOFF_FRACTION_OF_LATENCY_TARGET: f64 = 1.0 / 60.0;
/// Longest backoff of a blocked call as a fraction of its latency target.
const MAX_BACKOFF_FRACTION_OF_LATENCY_TARGET: f64 = 3.0 / 60.0;
/// An attempt without answer for this part of its aim is slow, for twice this nearly late.
const SLOW_FRACTION_OF_LATENCY_TARGET: f64 = 0.4;
/// An answer is lost that has not come after this multiple of what answers of its server take, while what was
/// sent there later has been answered; where answers have been lost of late, after a smaller one.
const MAX_LOST_MULTIPLE_OF_RESPONSE_TIME: f64 = 6.0;
/// What one attempt counts for in the share of answers that its server loses.
const LOSS_RATE_SMOOTHING_FACTOR: f64 = 0.05;
/// What the repeat of a lost call costs of the budget: it is lost in three cases of four, and not slow.
const LOST_RETRY_COST: f64 = 0.25;
/// Strikes in a row, with no answer between them, after which a server is set aside.
const EJECTION_FAILURE_THRESHOLD: u32 = 3;
/// Shortest ejection as a multiple of the longest latency target; doubled when the trial after it fails.
const MIN_EJECTION_MULTIPLE_OF_LATENCY_TARGET: u64 = 1;
/// Longest ejection as a multiple of the longest latency target.
const MAX_EJECTION_MULTIPLE_OF_LATENCY_TARGET: u64 = 8;
/// Attempts that each request adds to the budget for hedges and for retries of what may have been executed.
const RETRY_BUDGET_ATTEMPTS_PER_REQUEST: f64 = 0.05;
/// Largest retry budget, which limits the retries and hedges made at once.
const MAX_RETRY_BUDGET_ATTEMPTS: f64 = 5.0;
/// A key is hot that was asked for before among so many requests here: a part of all, whatever N is. What a
/// key brings is judged by as many, or as many as there are servers.
const HOT_KEY_WINDOW_REQUESTS: usize = 64;

impl Policy {
    /// A balancer that knows its settings and nothing else yet.
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
            // Held by all balancers, a connection costs more than it saves: whatever the traffic, the price
            // of keeping one open grows with their number and the price of opening it again does not.
            close_idle_connections: f64::from(settings.balancer_count) * settings.connection_price
                > 100.0 * settings.handshake_price,
            retry_budget: MAX_RETRY_BUDGET_ATTEMPTS,
            // Until reports tell otherwise there is no room.
            server_utilization: DecayingRatio::new(PRIOR_OBSERVATIONS, PRIOR_OBSERVATIONS),
            // Calls of an earlier life of this balancer may still run: the gate opens gradually.
            gate: Gate { limit: GATE_CEILING_CALLS / 2.0, ..Gate::default() },
            quota_share,
            settings,
            ..Policy::default()
        };
        policy.schedule_after(0, TimerTask::AdmissionReview);
        policy
    }

    /// Takes one event at a clock value and adds the actions that it calls for.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::DiscoveryFailed { failure, since_last_contact } => {
                self.handle_discovery_failure(failure, since_last_contact, actions)
            }
            Event::ServerList { kind, servers } => {
                self.apply_server_list(kind, servers);
                if kind == ListKind::Cached {
                    // One without any server to send to has nothing to wait with.
                    let delay = self.discovery_call_spread() * self.rng.next_unit();
                    self.schedule_discovery_call(if self.ready_servers(false).next().is_some() {
                        delay as Micros
                    } else {
                        0
                    });
                }
            }
            Event::DiscoveryMoved => self.handle_discovery_move(),
            Event::Request(request) => self.handle_request(request, actions),
            Event::Outcome(outcome) => self.handle_outcome(outcome, actions),
            // A streamed answer belongs to the client from here on: nothing is owed, and no deadline runs.
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
            }
        }
    }

    fn schedule_after(&mut self, delay: Micros, task: TimerTask) {
        self.timers.schedule(self.now + delay, task);
    }

    // A request arrives.

    fn handle_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        // Ends some ticks before its time is up, so that the answer is in time when a call comes late.
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
        // A client's word for the work is taken for no more than an aim.
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

    /// Chooses and makes the next call of a request that has none out.
    fn send_next_attempt(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(request_state) = self.requests.get(&request_id) else { return };
        if self.now >= self.useful_until(request_state)
            || u32::from(request_state.attempts_sent) >= self.settings.max_attempts
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

    fn useful_until(&self, request_state: &RequestState) -> Micros {
        if self.settings.classes[request_state.class].late_value_fraction > 0.0 {
            request_state.deadline
        } else {
            request_state.latency_target_at.min(request_state.deadline)
        }
    }

    // The key's order.

    /// The first server in the key's order within the load bound, else the first; none where that is full.
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
        // At most half per balancer.
        let min_bound = MIN_LOAD_BOUND_ATTEMPTS / f64::from(self.settings.balancer_count.max(2));
        let mut candidates = Vec::new();
        for server in self.ready_servers(false).filter(|server| {
            !request_state.tried_servers.contains(&server.entry.id) && self.slow_start_allows(key, server)
        }) {
            // Last, not left out: when most look bad the cause is shared, and there is no better place.
            let ejected =
                server.ejection.until != 0 && (self.now < server.ejection.until || server.in_flight > 0);
            // Each request takes a report for more or less, else all balancers would skip a server, and come
            // back, in step.
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
        let replica = (unit_hash(request_id, 0, 3) * self.hot_key_replicas(key) / bound_multiple) as usize;
        let choice = candidates.get(replica.min(preferred.saturating_sub(1)));
        // Passing over a full server for one far down the order would scatter the keys and empty the caches.
        let backlog_time = |server: &Server| {
            if self.admission_level < MAX_ADMISSION_LEVEL { self.backlog_time(server) } else { 0.0 }
        };
        let overloaded = |server: &Server| {
            self.queueing_delay(request_id, server).max(backlog_time(server))
                > time_left * MAX_WAIT_FRACTION_OF_TIME_LEFT
        };
        choice.map(|(.., server_id)| *server_id).filter(|server_id| !overloaded(&self.servers[server_id]))
    }

    /// How many servers a key fills by itself, had all of them as much to do, by its part of the work that
    /// was asked for here of late. Against keys that are too much for one server: a balancer that asks each
    /// server hardly once in an aim never has two attempts in flight there, and its count shows no crowd.
    fn hot_key_replicas(&self, key: Key) -> f64 {
        let same_key = self.recent_requests.iter().filter(|(recent, _)| *recent == key).map(|(_, work)| work);
        let (count, key_work) = (same_key.clone().count() as f64, same_key.sum::<f64>());
        let total_work = self.recent_requests.iter().map(|(_, work)| work).sum::<f64>().max(1.0);
        // Few requests tell little of a key, and one tells nothing.
        let confidence = (self.recent_requests.len() as f64 / HOT_KEY_WINDOW_REQUESTS as f64).min(1.0)
            * (1.0 - 1.0 / count.max(1.0));
        if self.has_sparse_traffic() {
            self.servers.len() as f64 * confidence * key_work / total_work
        } else {
            0.0
        }
    }

    /// Requests that a server holds for all balancers: this one's are known, of the others' its latest report
    /// tells, the less the older it is. Against a jam that many make together: one of a hundred hardly ever
    /// has two attempts at a server, however crowded that is, and its own count tells nothing. It also asks
    /// each so seldom that it has to go by a report for longer: the jam outlasts what it last heard.
    fn estimated_load(&self, server: &Server, report_weight: f64) -> f64 {
        let report_lifetime = (REPORT_LIFETIME_MULTIPLE_OF_LATENCY_TARGET * self.latency_target as f64)
            .max(REPORT_LIFETIME_MULTIPLE_OF_REQUEST_INTERVAL * self.per_server_request_interval());
        let freshness = 1.0 - (self.now - server.reported.at) as f64 / report_lifetime;
        let peer_fraction = 1.0 - 1.0 / f64::from(self.settings.balancer_count.max(1));
        f64::from(server.in_flight)
            + report_weight * peer_fraction * server.reported.count * freshness.max(0.0)
    }

    /// Time in which this balancer asks each server once, where quotas tell how much it has to ask.
    fn per_server_request_interval(&self) -> f64 {
        if self.quota_share > 0.0 { 1e6 * self.servers.len() as f64 / self.quota_share } else { 0.0 }
    }

    /// Whether this balancer is one of so many that it asks each server hardly once in an aim.
    fn has_sparse_traffic(&self) -> bool {
        self.per_server_request_interval() > self.latency_target as f64
    }

    /// Wait at a server by what its reports or the list tell of the requests that all balancers together have
    /// there. Each request takes it for more or less, else all balancers would turn away, and come back, in
    /// step.
    fn queueing_delay(&self, request_id: RequestId, server: &Server) -> f64 {
        let delay = self.service_time * self.queued_per_core(server, self.estimated_load(server, 1.0));
        if delay > 0.0 { delay * (0.5 + unit_hash(request_id, server.entry.id, 2)) } else { 0.0 }
    }

    /// Requests for each core that wait at a server that holds so many; weights are its cores, roughly.
    fn queued_per_core(&self, server: &Server, in_progress: f64) -> f64 {
        let from_report = if self.settings.weights_are_capacities {
            in_progress / self.server_weight(server) - 1.0
        } else {
            0.0
        };
        from_report.max(server.requests_per_core())
    }

    /// Time until a server has answered what this balancer has in flight there, at the pace of its latest
    /// answers (Little's law), with a credit for a server that has had little to answer.
    fn backlog_time(&self, server: &Server) -> f64 {
        f64::from(server.in_flight) * self.latency_target as f64
            / (server.decayed_answers(self.now, self.latency_target) + PRIOR_OBSERVATIONS)
    }

    fn ready_servers(&self, origin: bool) -> impl Iterator<Item = &Server> {
        self.servers
            .values()
            .filter(move |server| server.entry.state == ServerState::Ready && server.is_origin == origin)
    }

    fn server_weight(&self, server: &Server) -> f64 {
        if self.settings.weights_are_capacities { f64::from(server.entry.weight).max(0.01) } else { 1.0 }
    }

    /// Place of a server in a key's order, the smaller the earlier (weighted rendezvous hashing): the same
    /// at every balancer, and little moves when a server comes or goes.
    fn rendezvous_rank(&self, key: Key, server: &Server) -> f64 {
        let hash = unit_hash(key, server.entry.id, 0);
        // The same order without the logarithm, which was most of a pick at 475 servers.
        if self.settings.weights_are_capacities { -hash.ln() / self.server_weight(server) } else { -hash }
    }

    /// Requests a second that are this balancer's to serve.
    fn expected_request_rate(&self) -> f64 {
        if self.quota_share > 0.0 { self.quota_share } else { self.admitted_rate.per_s }
    }

    // Calls to the origin.

    fn send_to_origin(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        let purpose = if self.requests[&request_id].write { Purpose::Write } else { Purpose::Fetch };
        let target_id = match self.settings.origin_machine_type {
            Some(_) => self.ready_servers(true).map(|server| server.entry.id).next(),
            // Servers that fetch for themselves take writes too.
            None => self.select_server(request_id),
        };
        match target_id.filter(|_| self.gate_admits(purpose)) {
            None => self.defer(request_id, actions),
            Some(target_id) if self.send_attempt(request_id, target_id, purpose, actions) => {}
            Some(_) => self.shed_or_fail(request_id, actions),
        }
    }

    /// Whether the outstanding cap and the windowed tally let one more call through. The window is hardly
    /// longer than a call takes, so that a tally under the cap would take its place: of many balancers the
    /// part of each is a call or two, and chance alone brings more.
    fn gate_admits(&mut self, purpose: Purpose) -> bool {
        let window = self.latency_target as f64 * GATE_WINDOW_FRACTION_OF_LATENCY_TARGET;
        self.gate.advance_window(self.now, window as Micros);
        let gate = &self.gate;
        let window_limit = (self.expected_request_rate() * window / 1e6).max(gate.limit);
        let below = |count: u32, limit: f64| f64::from(count + 1) <= limit.max(1.0);
        let within_limits = |counter: usize, fraction: f64| {
            below(gate.in_flight[counter], gate.limit * fraction)
                && below(gate.window_calls[counter], window_limit * fraction)
        };
        let admitted = within_limits(0, 1.0)
            && (purpose == Purpose::Write || within_limits(1, GATE_FETCH_FRACTION_OF_LIMITS));
        self.gate.blocked_ratio.record(f64::from(u8::from(!admitted)), 1.0);
        admitted
    }

    /// Parks a request that a shut gate stops, for a random delay, while its answer can still earn.
    fn defer(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        let delay = self.jittered_backoff(self.requests[&request_id].class);
        let request_state = &self.requests[&request_id];
        if self.now + delay >= self.useful_until(request_state) {
            return if request_state.in_flight == 0 {
                self.shed_or_fail(request_id, actions)
            };
        }
        if let Some(request_state) = self.requests.get_mut(&request_id) {
            request_state.deferral_count += 1;
            self.timers.schedule(
                self.now + delay,
                TimerTask::DeferredRequest(request_id, request_state.deferral_count),
            );
        }
    }

    /// The random delay of a blocked call.
    fn jittered_backoff(&mut self, class: usize) -> Micros {
        let latency_target = self.settings.classes[class].latency_target as f64;
        (latency_target
            * (MIN_BACKOFF_FRACTION_OF_LATENCY_TARGET
                + (MAX_BACKOFF_FRACTION_OF_LATENCY_TARGET - MIN_BACKOFF_FRACTION_OF_LATENCY_TARGET)
                    * self.rng.next_unit())) as Micros
            + 1
    }

    // The one place that sends.

    /// Sends an attempt, or tells that a rule forbids it.
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

    /// No effect twice: a repeat of what may have run goes only where and while it is dropped.
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
                // Its last byte must come within the window, and may need a new connection first.
                let reserve = 2 * self.settings.tick + self.settings.connect_timeout.max(window / 8);
                same_scope && self.now + reserve < first_sent_at + window
            }
        }
    }

    // An attempt ends.

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
        // One connection that broke, or one answer that was spoilt, says little of its server: the key's copy
        // is there still, and the next in the order would have to fetch it.
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
            return; // Their outcomes decide.
        }
        if attempt.purpose != Purpose::Read && outcome.status == Status::Rejected {
            return self.defer(outcome.request, actions);
        }
        // Repeating what may still run adds work just when things are slow: only on a budget.
        // Where each attempt opens a connection, one turned away has cost the server work all the same.
        let cost_server_work =
            self.close_idle_connections && attempt.purpose == Purpose::Read && outcome.status != Status::Miss;
        if cost_server_work || !outcome.status.never_executed() {
            // Spoilt answers and broken connections are no sign that things are slow, and there are days with
            // many: a budget would run out, and the attempts of each request are few anyway.
            let retry_cost =
                if matches!(outcome.status, Status::Malformed | Status::Reset) { 0.0 } else { 1.0 };
            let retriable = match self.settings.classes[class].idempotency {
                Idempotency::Idempotent => true,
                // Where and until when its repeats are dropped, the sending looks to.
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

    /// What an outcome tells of its server and of the strain on the fleet, or of the origin.
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
        // The tables of the servers have no room for an idle connection from each of many balancers.
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
        // A late answer has been counted when it became late: waiting for its end would lag the overload.
        // What was given up unheard sooner is no answer: to clients that wait for a moment all looked well.
        let age = self.now - attempt.sent_at;
        if age < attempt.slow_after && (!outcome.status.abandoned() || age as f64 > 2.0 * self.service_time) {
            self.overload_signal.record(
                f64::from(u8::from(outcome.status.abandoned() || outcome.status == Status::Rejected)),
                1.0,
            );
        }
        match outcome.status {
            // A server that fails each request at once looks idle and would draw ever more of them.
            Status::ConnectFailed | Status::Reset | Status::Error | Status::Malformed => {
                // Against healthy servers taken for restarted ones: connections break for many reasons, a
                // process that is gone takes no new ones.
                server.connect_failed = outcome.status == Status::ConnectFailed;
                server.returned_error = outcome.status == Status::Error;
                if server.connect_failed {
                    self.record_zone_failure(attempt.server, attempt.sent_at, actions);
                }
                self.record_server_failure(attempt.server, actions);
            }
            Status::TimedOut => server.connect_failed = false,
            // A second copy was quicker.
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
                // One that fails what it holds still says at once what it lacks: that is no recovery.
                if server.returned_error && outcome.status != Status::Success {
                    return;
                }
                server.failure_count = server.failure_count.saturating_sub(1);
                if server.ejection.until != 0 {
                    server.ejection = Ejection::default();
                    // It refused connections and answers again: a new process, cold, and the list is late.
                    if std::mem::take(&mut server.connect_failed) {
                        server.entry.started_at = server.entry.started_at.max(self.now);
                        server.slow_start_bucket =
                            LeakyBucket { level: 1.0 + self.rng.next_unit(), at: self.now };
                    }
                    actions.push(Action::Log(format!("server {} answers again: let back", attempt.server)));
                }
            }
        }
    }

    /// A slow, failing or refusing origin lowers the gate's limit, within a floor; good answers restore it.
    fn record_origin_outcome(&mut self, attempt: &Attempt, outcome: &Outcome, actions: &mut Vec<Action>) {
        let response_time = self.servers.get(&attempt.server).map_or(0.0, |server| server.response_time);
        let slow_limit = self.origin_latency_target as f64 * ORIGIN_SLOW_FRACTION_OF_LATENCY_TARGET;
        let slow = response_time > slow_limit;
        // Clients that wait for a moment only: that a call was given up sooner than it is slow tells nothing.
        let abandoned_early =
            outcome.status.abandoned() && ((self.now - attempt.sent_at) as f64) < slow_limit;
        // A fixed cap would shut before an idle origin where requests are many and short.
        let max_limit = (self.expected_request_rate()
            * GATE_CEILING_FRACTION_OF_LATENCY_TARGET
            * self.latency_target as f64
            / 1e6)
            .max(GATE_CEILING_CALLS);
        let gate = &mut self.gate;
        let previous_limit = gate.limit;
        // What it answered can't be read, but it answered: no sign of congestion. Nor is a broken connection.
        if matches!(outcome.status, Status::Success | Status::Malformed) && !slow {
            gate.limit = (gate.limit + 1.0 / gate.limit).min(max_limit);
        } else if (outcome.status != Status::Reset || slow)
            && outcome.status != Status::NotSent
            && !abandoned_early
            // It answers what came later: an answer got lost on its way, which tells nothing of the origin.
            && !attempt.presumed_lost
            && attempt.sent_at >= gate.reduced_at
        {
            // One cut for all calls that were out together.
            gate.reduced_at = self.now;
            gate.limit =
                (gate.limit * GATE_DECREASE_FACTOR).max(GATE_CEILING_CALLS * GATE_FLOOR_FRACTION_OF_CEILING);
        }
        log_crossing(
            actions,
            previous_limit,
            gate.limit,
            GATE_CEILING_CALLS / 4.0,
            "gate lowered: origin slow",
            "gate restored",
        );
    }

    /// Against a zone that is lost: attempts in a row at its servers that failed or had no answer for long,
    /// with none from any of them since they were sent, set all of it aside. One that asks each server seldom
    /// would find out one after the other.
    fn record_zone_failure(&mut self, server_id: ServerId, sent_at: Micros, actions: &mut Vec<Action>) {
        let Some(zone) = self.servers.get(&server_id).map(|server| server.entry.zone) else { return };
        if !self.ready_servers(false).any(|server| server.entry.zone != zone && server.ejection.until == 0) {
            return; // There is no better place.
        }
        let ejection_time = self.min_ejection_time();
        let zone_state = self.zones.entry(zone).or_default();
        zone_state.unanswered += u32::from(zone_state.last_answer_at < sent_at);
        if zone_state.unanswered < EJECTION_FAILURE_THRESHOLD {
            return;
        }
        if zone_state.unanswered == EJECTION_FAILURE_THRESHOLD {
            actions.push(Action::Log(format!("zone {zone} is silent: set aside")));
            let pending_reads = self.attempts.iter().filter(|(_, attempt)| attempt.purpose == Purpose::Read);
            pending_reads.for_each(|(&(request_id, attempt_number), _)| {
                self.timers.schedule(self.now, TimerTask::MissingAnswer(request_id, attempt_number))
            });
        }
        for server in
            self.servers.values_mut().filter(|server| server.entry.zone == zone && !server.is_origin)
        {
            server.ejection.until = server.ejection.until.max(self.now + ejection_time);
            server.ejection.duration = server.ejection.duration.max(ejection_time);
        }
    }

    /// Whether an attempt is out in a zone that has been silent since it was sent.
    fn in_silent_zone(&self, attempt: &Attempt) -> bool {
        let zone_state = self
            .servers
            .get(&attempt.server)
            .filter(|server| !server.is_origin)
            .and_then(|server| self.zones.get(&server.entry.zone));
        zone_state.is_some_and(|zone_state| {
            zone_state.unanswered >= EJECTION_FAILURE_THRESHOLD && zone_state.last_answer_at < attempt.sent_at
        })
    }

    /// How long a server is set aside for at the least.
    fn min_ejection_time(&self) -> Micros {
        (self.latency_target * MIN_EJECTION_MULTIPLE_OF_LATENCY_TARGET)
            .max(self.per_server_request_interval() as Micros)
            .min(self.latency_target * MAX_EJECTION_MULTIPLE_OF_LATENCY_TARGET)
    }

    /// A server that fails several times in a row, with no answer between, is set aside for a while.
    fn record_server_failure(&mut self, server_id: ServerId, actions: &mut Vec<Action>) {
        let (request_interval, min_ejection_time) =
            (self.per_server_request_interval(), self.min_ejection_time());
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        server.failure_count += 1;
        let trial_failed = server.ejection.until != 0 && self.now >= server.ejection.until;
        // One that asks a server hardly once in an aim would find the same failure again and again, and to do
        // without the server for a while costs it little; that one request is slow is no failure.
        let definite_failure = server.connect_failed || server.returned_error;
        let threshold = if definite_failure {
            (self.latency_target as f64 / request_interval.max(1.0)).ceil() as u32
        } else {
            EJECTION_FAILURE_THRESHOLD
        };
        if trial_failed
            || (server.ejection.until == 0
                && server.failure_count >= threshold.clamp(1, EJECTION_FAILURE_THRESHOLD))
        {
            let duration = (server.ejection.duration * 2)
                .clamp(min_ejection_time, self.latency_target * MAX_EJECTION_MULTIPLE_OF_LATENCY_TARGET);
            server.ejection = Ejection { until: self.now + duration, duration };
            actions.push(Action::Log(format!("server {server_id} fails or is silent: set aside")));
        }
    }

    /// An attempt has had no answer for long: a sign of overload, and against silent and hanging servers a
    /// strike when the server has answered nothing since.
    fn handle_slow_attempt(&mut self, request_id: RequestId, attempt_number: u16, actions: &mut Vec<Action>) {
        let Some(&attempt) = self.attempts.get(&(request_id, attempt_number)) else { return };
        let (age, check_interval) = (self.now - attempt.sent_at, attempt.slow_after + 1);
        // Half a sign when it becomes slow, and is counted, and half when nearly late: slow is not yet lost.
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
        // One strike for one attempt: a single slow request is no sign of a sick server.
        if self.servers.get(&attempt.server).is_some_and(|server| server.last_answer_at < attempt.sent_at) {
            self.record_server_failure(attempt.server, actions);
        }
    }

    /// Against a jam that reports come too late from, since they come with its answers: a server that has
    /// answered nothing since an attempt that is nearly late holds as many as take that long.
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

    /// How old an attempt must be for its answer to be lost. The more answers its server has lost of late,
    /// the sooner one is more likely lost than slow: by far, at e times the odds if times are exponential, so
    /// that the slow that are taken for lost are fewer than the share they are judged by.
    fn presumed_lost_after(&self, server_id: ServerId) -> f64 {
        self.servers.get(&server_id).map_or(0.0, |server| {
            server.response_time * (1.0 - server.loss_rate.ln()).min(MAX_LOST_MULTIPLE_OF_RESPONSE_TIME)
        })
    }

    /// An attempt may be lost: it is looked at for as long as its request is owed an answer, since what its
    /// server takes changes meanwhile.
    fn handle_missing_answer(
        &mut self,
        request_id: RequestId,
        attempt_number: u16,
        actions: &mut Vec<Action>,
    ) {
        let Some(&attempt) = self.attempts.get(&(request_id, attempt_number)) else { return };
        let until_lost = self.presumed_lost_after(attempt.server) - (self.now - attempt.sent_at) as f64;
        // A connection fell silent, not the server: what was sent there later has been answered.
        let server = self
            .servers
            .get_mut(&attempt.server)
            .filter(|server| server.response_time > 0.0 && server.last_answered_sent_at > attempt.sent_at);
        let newly_lost = server
            .filter(|_| until_lost < 0.0 && !attempt.presumed_lost)
            .map(|server| server.loss_rate += LOSS_RATE_SMOOTHING_FACTOR * (1.0 - server.loss_rate));
        if newly_lost.is_some() || (!attempt.presumed_lost && self.in_silent_zone(&attempt)) {
            // It holds no place any more, neither in the gate nor at its server: for all its time it would
            // look like work that is under way, and stop calls that there is room for.
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

    /// An attempt is under way no more.
    fn remove_from_in_flight(&mut self, attempt: &Attempt) {
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
        match attempt.purpose {
            Purpose::Read => self.cache_in_flight -= 1,
            purpose => self.gate.release(purpose),
        }
    }

    /// The attempts of a request that are out, and whether each is lost.
    fn open_attempts(&self, request_id: RequestId) -> impl Iterator<Item = bool> {
        let attempts_sent =
            self.requests.get(&request_id).map_or(0, |request_state| request_state.attempts_sent);
        (0..attempts_sent).filter_map(move |attempt_number| {
            self.attempts.get(&(request_id, attempt_number)).map(|attempt| attempt.presumed_lost)
        })
    }

    /// Against answers that are lost: the same call is made once more, where it was and then at the next
    /// server, within the budget of repeats and, at the origin, through the gate. Without it each would cost
    /// its request all its time.
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

    /// Against a slow or silent server, of which one of many balancers sees too little to avoid it: a read
    /// that waits long is sent to the next server too. Where it sees enough, a copy would only add a fetch.
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

    // A request ends.

    /// At the aim, where late answers earn nothing, an attempt at a cache server only crowds out those that
    /// can still be in time. A call to the origin runs on anyway, and its answer fills the cache.
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

    /// The one place that gives a final answer: a refusal where a retry is harmless, else a failure.
    fn shed_or_fail(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(request_state) = self.requests.get(&request_id) else { return };
        // A quota is of answers: what was not served is given back, else one held to its quota gets less.
        let charged_tenant =
            request_state.charged_tenant.filter(|_| self.admission_level >= INITIAL_ADMISSION_LEVEL);
        charged_tenant
            .and_then(|tenant| self.tenant_buckets.get_mut(tenant))
            .into_iter()
            .for_each(TokenBucket::refund);
        let (class, never_executed) = (request_state.class, request_state.may_have_run.is_empty());
        // A refused client is told to come back after the delay of a blocked call, random as that is: told to
        // wait for longer it comes back too late, and its answer takes another's place.
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

    /// Work that nobody waits for is wasted and holds up the rest.
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

    // The server list.

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
            // A new process starts with a clean record. One presumed cold stays so until the list knows.
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
        // Gone and owing nothing: forgotten here, as a walk over the fleet at each review cost much CPU.
        self.servers.retain(|_, server| server.entry.state != ServerState::Removed || server.in_flight > 0);
        self.total_weight =
            self.ready_servers(false).map(|server| self.server_weight(server)).sum::<f64>().max(0.01);
    }
}
