//! State of one balancer: plain data types, counters and smoothed rates, the task queue, the hash and the
//! random numbers. Contains no decisions and no I/O.

use std::collections::{BTreeMap, VecDeque};

use oorandom::Rand64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::interface::{Action, DedupScope, Key, Micros, RequestId, ServerEntry, ServerId, Settings};
use crate::timer_queue::TimerQueue;

/// Decision module of one balancer: its settings, what it has observed and the requests it must answer.
#[derive(Default)]
pub struct Policy {
    pub(crate) settings: Settings,
    pub(crate) rng: SeededRng,
    pub(crate) now: Micros,
    /// Longest latency target of all classes.
    pub(crate) latency_target: Micros,
    /// Shortest latency target of all classes; the response time of the origin is compared with it.
    pub(crate) origin_latency_target: Micros,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// Requests without a final answer.
    pub(crate) requests: BTreeMap<RequestId, RequestState>,
    /// Attempts without an outcome.
    pub(crate) attempts: BTreeMap<(RequestId, u16), Attempt>,
    pub(crate) zones: BTreeMap<u8, ZoneState>,
    pub(crate) gate: Gate,
    /// Token bucket of each tenant.
    pub(crate) tenant_buckets: Vec<TokenBucket>,
    /// Token bucket that all tenants may use.
    pub(crate) shared_bucket: TokenBucket,
    /// This balancer's equal part of all quotas in requests per second; 0 if there are none.
    pub(crate) quota_share: f64,
    /// Multiple of the quotas at which the token buckets fill.
    pub(crate) admission_level: f64,
    /// Overload signals per attempt in the recent review periods.
    pub(crate) overload_signal: DecayingRatio,
    /// CPU utilization in the recent reports of servers.
    pub(crate) server_utilization: DecayingRatio,
    /// Attempts that may be spent on retries and hedges.
    pub(crate) retry_budget: f64,
    /// Keys of the recent requests and the expected work of each, latest first.
    pub(crate) recent_requests: VecDeque<(Key, f64)>,
    /// Reads in flight to cache servers.
    pub(crate) cache_in_flight: u32,
    /// Total weight of the cache servers that are ready.
    pub(crate) total_weight: f64,
    /// Smoothed service time of a cache server for one request in microseconds, without queueing.
    pub(crate) service_time: f64,
    /// Whether connections are closed when idle, because keeping them open costs more than reopening them.
    pub(crate) close_idle_connections: bool,
    /// Rate of admitted requests.
    pub(crate) admitted_rate: RateMeter,
    pub(crate) timers: TaskQueue,
    /// Number of consecutive failed calls to discovery; a call that discovery did not accept sets it to 1.
    pub(crate) discovery_failures: u32,
    /// Time of the next call to discovery; `None` if none is scheduled, as while a call or watch is active.
    pub(crate) next_discovery_call: Option<Micros>,
    /// Time at which the address of discovery first changed since the last list.
    pub(crate) discovery_moved_at: Option<Micros>,
    /// Time by which discovery must be called, because missed changes count as notified soon after.
    pub(crate) discovery_call_due: Option<Micros>,
    /// Whether the server list in force may be used as it is.
    pub(crate) list_confirmation: ListConfirmation,
    /// Time until which shedding over quota is not logged again.
    pub(crate) shedding_log_muted_until: Micros,
}

/// Whether the server list in force holds the changes that discovery had when this process started. Differs
/// from `Confirmed` only where lists are pushed and the list is still the cached one.
#[derive(Clone, Copy, PartialEq, Default)]
pub enum ListConfirmation {
    /// It does, or there is no prospect of a newer list.
    #[default]
    Confirmed,
    /// Discovery has not answered a watch yet.
    Awaited {
        /// Time since which the balancer counts as notified of what discovery has.
        since: Micros,
        /// Time until which the balancer waits for the answer; then the list is used all the same.
        until: Micros,
        /// Whether discovery has accepted a call since then.
        connected: bool,
    },
    /// Discovery has refused each connection: it is down, and has nothing to report until its return.
    DiscoveryDown {
        /// Time of the last refused connection; discovery may have returned since then.
        refused_at: Micros,
    },
}

/// Purpose of an attempt: a read at a cache server, the fetch of a missing value, or a write.
#[derive(Clone, Copy, PartialEq)]
pub enum Purpose {
    Read,
    Fetch,
    Write,
}

/// An attempt without an outcome; it may outlive its request.
#[derive(Clone, Copy)]
pub struct Attempt {
    pub server: ServerId,
    pub purpose: Purpose,
    pub sent_at: Micros,
    pub latency_target: Micros,
    /// Time in flight after which the attempt counts as slow.
    pub slow_after: Micros,
    /// Whether the answer is presumed lost; the attempt then no longer counts as in flight.
    pub presumed_lost: bool,
}

/// Liveness of a zone: the time at which any of its servers last answered, and the number of attempts sent
/// since then that could not connect or were not answered for a long time.
#[derive(Default)]
pub struct ZoneState {
    pub last_answer_at: Micros,
    pub unanswered: u32,
}

/// Requests of all balancers that a server had in progress at its latest load report, and the time of that
/// report; or the later estimate for a server that answers nothing (`Policy::presume_server_overloaded`).
#[derive(Default)]
pub struct ReportedRequests {
    pub count: f64,
    pub at: Micros,
}

/// End of a server's ejection (0 if the server is not ejected) and its duration.
#[derive(Default)]
pub struct Ejection {
    pub until: Micros,
    pub duration: Micros,
}

/// A leaky bucket: its level and the time at which it had that level.
#[derive(Default)]
pub struct LeakyBucket {
    pub level: f64,
    pub at: Micros,
}

/// A server of the list, and what this balancer has observed of it.
#[derive(Default)]
pub struct Server {
    pub entry: ServerEntry,
    pub is_origin: bool,
    /// Highest weight seen if weights follow load, which is the weight of the idle server; else the present
    /// weight.
    pub idle_weight: f32,
    pub in_flight: u32,
    pub reported: ReportedRequests,
    /// Time of the latest answer.
    pub last_answer_at: Micros,
    /// Latest send time among the attempts that the server has answered.
    pub last_answered_sent_at: Micros,
    /// Smoothed response time in microseconds.
    pub response_time: f64,
    /// Smoothed share of its answers that were lost.
    pub loss_rate: f64,
    /// Exponentially decaying count of answers, over about one latency target.
    pub recent_answers: f64,
    /// Number of failures, less the number of answers since, at least 0; the server is ejected when the count
    /// reaches a threshold.
    pub failure_count: u32,
    /// Whether the latest failure was a failed connection.
    pub connect_failed: bool,
    /// Whether the latest failure was an error reported by the server.
    pub returned_error: bool,
    pub ejection: Ejection,
    /// Limits bursts of attempts to a cold server.
    pub slow_start_bucket: LeakyBucket,
}

impl Server {
    /// Returns the count of answers, decayed to a point in time over the given time span.
    pub fn decayed_answers(&self, now: Micros, span: Micros) -> f64 {
        self.recent_answers * (-((now - self.last_answer_at) as f64) / span as f64).exp()
    }

    /// Returns the requests in progress per core, derived from how far the weight is below that of the idle
    /// server.
    pub fn requests_per_core(&self) -> f64 {
        f64::from(self.idle_weight / self.entry.weight.max(1e-3) - 1.0).max(0.0)
    }

    /// Whether two servers share the record of deduplicated requests. The origin shares with no cache server:
    /// cache servers do not know which requests the origin has seen.
    pub fn shares_dedup_scope(&self, other: &Server, scope: DedupScope) -> bool {
        match scope {
            _ if self.is_origin || other.is_origin => self.entry.id == other.entry.id,
            DedupScope::All => true,
            DedupScope::Zone => self.entry.zone == other.entry.zone,
            DedupScope::Cell => self.entry.cell == other.entry.cell,
        }
    }
}

/// A request without a final answer.
#[derive(Default)]
pub struct RequestState {
    pub class: usize,
    pub key: Key,
    pub write: bool,
    pub cache_missed: bool,
    /// Tenant whose token bucket was charged for the request.
    pub charged_tenant: Option<usize>,
    /// Time at which the latency target passes.
    pub latency_target_at: Micros,
    pub deadline: Micros,
    pub attempts_sent: u16,
    /// Attempts without an outcome.
    pub in_flight: u16,
    /// Attempts that run or may have run: number, send time and server, oldest first.
    pub may_have_run: Vec<(u16, Micros, ServerId)>,
    pub tried_servers: Vec<ServerId>,
    /// Number of times the request was deferred; a timer of an earlier deferral is recognized by its number.
    pub deferral_count: u32,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerTask {
    RequestExpiry(RequestId),
    DeferredRequest(RequestId, u32),
    SlowAttempt(RequestId, u16),
    MissingAnswer(RequestId, u16),
    DiscoveryCall,
    AdmissionReview,
    ListConfirmationReview,
}

/// The gate in front of the origin. Limits the calls in flight and the calls per window; index 0 counts all
/// calls, index 1 fetches only.
#[derive(Default)]
pub struct Gate {
    pub limit: f64,
    pub in_flight: [u32; 2],
    pub window_calls: [u32; 2],
    pub window_start: Micros,
    pub reduced_at: Micros,
    /// Share of the recent calls that the gate blocked.
    pub blocked_ratio: DecayingRatio,
}

impl Gate {
    /// Counts a call that is about to be sent.
    pub fn acquire(&mut self, purpose: Purpose) {
        for i in 0..=usize::from(purpose == Purpose::Fetch) {
            self.in_flight[i] += 1;
            self.window_calls[i] += 1;
        }
    }

    /// Starts a new window if the present one has ended.
    pub fn advance_window(&mut self, now: Micros, window: Micros) {
        if now >= self.window_start + window {
            (self.window_start, self.window_calls) = (now, [0, 0]);
        }
    }

    /// Removes a call from those in flight, after any outcome.
    pub fn release(&mut self, purpose: Purpose) {
        for i in 0..=usize::from(purpose == Purpose::Fetch) {
            self.in_flight[i] -= 1;
        }
    }
}

/// Ratio of matching events to all events, with exponential decay of both counts.
#[derive(Default)]
pub struct DecayingRatio {
    matching: f64,
    total: f64,
    /// Events recorded since the last decay.
    pub recent: f64,
}

impl DecayingRatio {
    /// Returns a ratio with initial counts.
    pub fn new(matching: f64, total: f64) -> Self {
        DecayingRatio { matching, total, recent: 0.0 }
    }

    /// Adds to both counts.
    pub fn record(&mut self, matching: f64, total: f64) {
        self.matching += matching;
        self.total += total;
        self.recent += total;
    }

    /// Returns the matching share; a total below 1 counts as 1.
    pub fn value(&self) -> f64 {
        self.matching / self.total.max(1.0)
    }

    /// Multiplies both counts by `keep` while the total exceeds `min_total`.
    pub fn decay(&mut self, keep: f64, min_total: f64) {
        let keep = if self.total > min_total { keep } else { 1.0 };
        (self.matching, self.total, self.recent) = (self.matching * keep, self.total * keep, 0.0);
    }
}

/// Rate of events per second, smoothed over about one second.
#[derive(Default)]
pub struct RateMeter {
    count_in_period: f64,
    pub per_s: f64,
}

impl RateMeter {
    /// Counts an event.
    pub fn count(&mut self) {
        self.count_in_period += 1.0;
    }

    /// Updates the rate with the events counted in a period, and restarts the count.
    pub fn end_period(&mut self, period: Micros) {
        let seconds = period as f64 / 1e6;
        self.per_s += (self.count_in_period / seconds - self.per_s) * seconds.min(1.0);
        self.count_in_period = 0.0;
    }
}

/// A token bucket.
#[derive(Default, Clone)]
pub struct TokenBucket {
    tokens: f64,
    filled_at: Micros,
}

impl TokenBucket {
    /// Refills the bucket at a rate per second up to a depth, and returns whether a whole token is available.
    pub fn refill(&mut self, now: Micros, per_s: f64, depth: f64) -> bool {
        let added = per_s.max(0.0) * now.saturating_sub(self.filled_at) as f64 / 1e6;
        self.tokens = if added.is_nan() { self.tokens } else { (self.tokens + added).min(depth) };
        self.filled_at = now;
        self.tokens >= 1.0
    }

    /// Takes a token, or the remaining fraction if there is no whole one.
    pub fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Returns a token to the bucket.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
    }
}

/// Pending tasks ordered by their times, driven by a single timer of the node.
#[derive(Default)]
pub struct TaskQueue {
    tasks: TimerQueue<TimerTask>,
    armed_for: Option<Micros>,
}

impl TaskQueue {
    /// Schedules a task.
    pub fn schedule(&mut self, time: Micros, task: TimerTask) {
        self.tasks.schedule(time, task);
    }

    /// Removes tasks that are no longer needed, if there are many.
    pub fn compact(&mut self, is_needed: impl Fn(&TimerTask) -> bool) {
        self.tasks.compact(is_needed);
    }

    /// Handles a timer of the node that fired. A timer that was replaced by one for an earlier time still
    /// fires and is ignored. If each of these led to another timer, their number would grow without limit.
    pub fn timer_fired(&mut self, now: Micros) {
        self.armed_for = self.armed_for.filter(|armed| *armed > now);
    }

    /// Returns the next task that is due; if there is none, ensures that a timer is set for the first pending
    /// task.
    pub fn pop_due(&mut self, now: Micros, actions: &mut Vec<Action>) -> Option<TimerTask> {
        if let Some(task) = self.tasks.pop_due(now) {
            return Some(task);
        }
        let time = self.tasks.next_time()?;
        if self.armed_for.is_none_or(|armed| time < armed) {
            self.armed_for = Some(time);
            actions.push(Action::Timer { delay: time - now, token: 0 });
        }
        None
    }
}

/// Logs when a value falls below a threshold or reaches it again.
pub fn log_crossing(
    actions: &mut Vec<Action>,
    before: f64,
    after: f64,
    threshold: f64,
    text_below: &str,
    text_above: &str,
) {
    if (before < threshold) != (after < threshold) {
        actions.push(Action::Log(if after < threshold { text_below } else { text_above }.into()));
    }
}

/// Returns a number between 0 and 1 that depends on a key, a server and a seed only. Different seeds give
/// independent numbers for different uses.
pub fn unit_hash(key: Key, server: ServerId, seed: u64) -> f64 {
    let mut bytes = [0u8; 12];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&server.to_le_bytes());
    ((xxh3_64_with_seed(&bytes, seed) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// Random number generator whose sequence depends on the seed only.
pub struct SeededRng(Rand64);

impl SeededRng {
    /// Returns a generator with a seed.
    pub fn new(seed: u64) -> Self {
        SeededRng(Rand64::new(seed.into()))
    }

    /// Returns a number from 0 up to, but excluding, 1.
    pub fn next_unit(&mut self) -> f64 {
        self.0.rand_float()
    }
}

impl Default for SeededRng {
    fn default() -> Self {
        SeededRng::new(0)
    }
}
