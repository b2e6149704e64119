//! What a balancer keeps in memory: plain types, the queue of wake-ups and the hash. No decisions.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use oorandom::Rand64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::interface::{Action, DedupScope, Key, Micros, RequestId, ServerEntry, ServerId, Settings};

/// The mind of one balancer: what it was told, what it has seen and what it owes.
#[derive(Default)]
pub struct Policy {
    pub(crate) settings: Settings,
    pub(crate) rng: SeededRng,
    pub(crate) now: Micros,
    /// The longest aim of all classes, the shortest, the measure of the origin.
    pub(crate) latency_target: Micros,
    pub(crate) origin_latency_target: Micros,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) requests: BTreeMap<RequestId, RequestState>,
    pub(crate) attempts: BTreeMap<(RequestId, u16), Attempt>,
    /// When each zone's servers last answered, and the attempts there since that seem to have met silence.
    pub(crate) zones: BTreeMap<u8, ZoneState>,
    pub(crate) gate: Gate,
    pub(crate) tenant_buckets: Vec<TokenBucket>,
    pub(crate) shared_bucket: TokenBucket,
    /// This balancer's equal part of all quotas, 0 where there are none.
    pub(crate) quota_share: f64,
    pub(crate) admission_level: f64,
    /// Signs of overload in the attempts of the last reviews.
    pub(crate) overload_signal: DecayingRatio,
    /// Part of their time that servers reported to be busy, of late.
    pub(crate) server_utilization: DecayingRatio,
    pub(crate) retry_budget: f64,
    /// The keys last asked for and the work that each request brought, latest first.
    pub(crate) recent_requests: VecDeque<(Key, f64)>,
    pub(crate) cache_in_flight: u32,
    /// Weight of all cache servers that are ready.
    pub(crate) total_weight: f64,
    /// Time that a server takes for one request, without its queue.
    pub(crate) service_time: f64,
    pub(crate) close_idle_connections: bool,
    pub(crate) admitted_rate: RateMeter,
    pub(crate) timers: TimerQueue,
    /// Calls to discovery in a row that failed; one that it never took begins the count anew.
    pub(crate) discovery_failures: u32,
    /// When it is called next, where that is not under way.
    pub(crate) next_discovery_call: Option<Micros>,
    /// When discovery first moved since a list came.
    pub(crate) discovery_moved_at: Option<Micros>,
    /// By when a call to discovery is to be made, as what was not heard counts as notified soon after.
    pub(crate) discovery_call_due: Option<Micros>,
    /// Until then shedding over quota is not logged again.
    pub(crate) shedding_log_muted_until: Micros,
}

/// Why an attempt is out.
#[derive(Clone, Copy, PartialEq)]
pub enum Purpose {
    Read,
    Fetch,
    Write,
}

/// An attempt without outcome yet; it may outlive its request.
#[derive(Clone, Copy)]
pub struct Attempt {
    pub server: ServerId,
    pub purpose: Purpose,
    pub sent_at: Micros,
    pub latency_target: Micros,
    /// It is slow when it has been out for this long.
    pub slow_after: Micros,
    /// Its answer will not come; it is under way no more.
    pub presumed_lost: bool,
}

/// When the servers of a zone last answered, and how many attempts there seem to have met silence since.
#[derive(Default)]
pub struct ZoneState {
    pub last_answer_at: Micros,
    pub unanswered: u32,
}

/// Requests of all balancers that a server held by a report of it.
#[derive(Default)]
pub struct ReportedRequests {
    pub count: f64,
    pub at: Micros,
}

/// Until when a server is ejected (0: it is not), and for how long that was.
#[derive(Default)]
pub struct Ejection {
    pub until: Micros,
    pub duration: Micros,
}

/// Level of a leaky bucket at a time.
#[derive(Default)]
pub struct LeakyBucket {
    pub level: f64,
    pub at: Micros,
}

/// A server of the list, and what this balancer has seen of it.
#[derive(Default)]
pub struct Server {
    pub entry: ServerEntry,
    pub is_origin: bool,
    /// The highest weight seen; where weights fall with load, that of the idle server.
    pub idle_weight: f32,
    pub in_flight: u32,
    /// Requests of all balancers that it held by its latest report, and when that came.
    pub reported: ReportedRequests,
    pub last_answer_at: Micros,
    /// When the latest of the attempts that it has answered was sent.
    pub last_answered_sent_at: Micros,
    /// Time that it takes to answer, of late.
    pub response_time: f64,
    /// Part of its answers that got lost, of late.
    pub loss_rate: f64,
    /// Its answers within about one aim, as a fading count.
    pub recent_answers: f64,
    pub failure_count: u32,
    /// Whether the last failure was one to connect.
    pub connect_failed: bool,
    /// Whether it was an error.
    pub returned_error: bool,
    /// Until when it is set aside (0: it is not), and for how long that was.
    pub ejection: Ejection,
    /// Level and time of the bucket that holds bursts at a cold server.
    pub slow_start_bucket: LeakyBucket,
}

impl Server {
    /// Its answers as they count at a time, fading over a span.
    pub fn decayed_answers(&self, now: Micros, span: Micros) -> f64 {
        self.recent_answers * (-((now - self.last_answer_at) as f64) / span as f64).exp()
    }

    /// Requests that it holds for each core, as far as its weight tells.
    pub fn requests_per_core(&self) -> f64 {
        f64::from(self.idle_weight / self.entry.weight.max(1e-3) - 1.0).max(0.0)
    }

    /// Whether two servers know of each other's keyed requests. The origin is a group of its own: cache
    /// servers do not know what it has seen.
    pub fn shares_dedup_scope(&self, other: &Server, scope: DedupScope) -> bool {
        match scope {
            _ if self.is_origin || other.is_origin => self.entry.id == other.entry.id,
            DedupScope::All => true,
            DedupScope::Zone => self.entry.zone == other.entry.zone,
            DedupScope::Cell => self.entry.cell == other.entry.cell,
        }
    }
}

/// A request that is owed a final answer.
#[derive(Default)]
pub struct RequestState {
    pub class: usize,
    pub key: Key,
    pub write: bool,
    pub cache_missed: bool,
    /// The tenant whose bucket paid for it.
    pub charged_tenant: Option<usize>,
    pub latency_target_at: Micros,
    pub deadline: Micros,
    pub attempts_sent: u16,
    pub in_flight: u16,
    /// Attempts that run or may have run, oldest first.
    pub may_have_run: Vec<(u16, Micros, ServerId)>,
    pub tried_servers: Vec<ServerId>,
    /// Number of the wait that it is in; a wake-up for an older one finds it changed.
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
}

/// The gate before the origin: calls out and calls in the present window, of all kinds and fetches alone.
#[derive(Default)]
pub struct Gate {
    pub limit: f64,
    pub in_flight: [u32; 2],
    pub window_calls: [u32; 2],
    pub window_start: Micros,
    pub reduced_at: Micros,
    /// Tries to go through of late that found it shut.
    pub blocked_ratio: DecayingRatio,
}

impl Gate {
    /// Raises the counters just before a call.
    pub fn acquire(&mut self, purpose: Purpose) {
        for i in 0..=usize::from(purpose == Purpose::Fetch) {
            self.in_flight[i] += 1;
            self.window_calls[i] += 1;
        }
    }

    /// Begins a new tally when the window of the present one is over.
    pub fn advance_window(&mut self, now: Micros, window: Micros) {
        if now >= self.window_start + window {
            (self.window_start, self.window_calls) = (now, [0, 0]);
        }
    }

    /// Lowers the counters after any outcome of a call.
    pub fn release(&mut self, purpose: Purpose) {
        for i in 0..=usize::from(purpose == Purpose::Fetch) {
            self.in_flight[i] -= 1;
        }
    }
}

/// How many cases among all of late; both fade.
#[derive(Default)]
pub struct DecayingRatio {
    matching: f64,
    total: f64,
    /// Counted among since the last fading.
    pub recent: f64,
}

impl DecayingRatio {
    /// So many cases among so many.
    pub fn new(matching: f64, total: f64) -> Self {
        DecayingRatio { matching, total, recent: 0.0 }
    }

    /// Counts cases, and among how many.
    pub fn record(&mut self, matching: f64, total: f64) {
        self.matching += matching;
        self.total += total;
        self.recent += total;
    }

    /// The cases as a part of all.
    pub fn value(&self) -> f64 {
        self.matching / self.total.max(1.0)
    }

    /// Lets the past count for less, while more than the least are left.
    pub fn decay(&mut self, keep: f64, min_total: f64) {
        let keep = if self.total > min_total { keep } else { 1.0 };
        (self.matching, self.total, self.recent) = (self.matching * keep, self.total * keep, 0.0);
    }
}

/// Events a second, smoothed over about a second.
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

    /// Takes what was counted in a period into the rate.
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
    /// Fills it at a rate a second up to a depth, and tells whether there is a token to take.
    pub fn refill(&mut self, now: Micros, per_s: f64, depth: f64) -> bool {
        let added = per_s.max(0.0) * now.saturating_sub(self.filled_at) as f64 / 1e6;
        self.tokens = if added.is_nan() { self.tokens } else { (self.tokens + added).min(depth) };
        self.filled_at = now;
        self.tokens >= 1.0
    }

    /// Takes a token, the last bit where there is no whole one.
    pub fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Gives a token back.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
    }
}

/// Wake-ups in the order of their times; one timer of the node stands for all of them.
#[derive(Default)]
pub struct TimerQueue {
    queue: BinaryHeap<Reverse<(Micros, TimerTask)>>,
    armed_for: Option<Micros>,
}

impl TimerQueue {
    /// Asks to be woken at a time.
    pub fn schedule(&mut self, time: Micros, task: TimerTask) {
        self.queue.push(Reverse((time, task)));
    }

    /// A timer has come. One that was overtaken by an earlier one is of no account: were another set for each,
    /// their number would only ever grow.
    pub fn timer_fired(&mut self, now: Micros) {
        self.armed_for = self.armed_for.filter(|armed| *armed > now);
    }

    /// The next wake-up that is due; when none is, sees that a timer is set for the first to come.
    pub fn pop_due(&mut self, now: Micros, out: &mut Vec<Action>) -> Option<TimerTask> {
        let &Reverse((time, task)) = self.queue.peek()?;
        if time <= now {
            self.queue.pop();
            return Some(task);
        }
        if self.armed_for.is_none_or(|armed| time < armed) {
            self.armed_for = Some(time);
            out.push(Action::Timer { delay: time - now, token: 0 });
        }
        None
    }
}

/// Logs when a figure falls below a mark or rises to it again.
pub fn log_crossing(
    out: &mut Vec<Action>,
    before: f64,
    after: f64,
    threshold: f64,
    below: &str,
    above: &str,
) {
    if (before < threshold) != (after < threshold) {
        out.push(Action::Log(if after < threshold { below } else { above }.into()));
    }
}

/// A number between 0 and 1, fixed for a key, a server and a purpose.
pub fn unit_hash(key: Key, server: ServerId, purpose: u64) -> f64 {
    let mut bytes = [0u8; 12];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&server.to_le_bytes());
    ((xxh3_64_with_seed(&bytes, purpose) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// Random numbers that depend on the seed alone.
pub struct SeededRng(Rand64);

impl SeededRng {
    /// A source with a seed.
    pub fn new(seed: u64) -> Self {
        SeededRng(Rand64::new(seed.into()))
    }

    /// A number from 0 to below 1.
    pub fn next_unit(&mut self) -> f64 {
        self.0.rand_float()
    }
}

impl Default for SeededRng {
    fn default() -> Self {
        SeededRng::new(0)
    }
}
