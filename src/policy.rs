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
use admission::{HIGHEST_LEVEL, INITIAL_LEVEL};

/// Load bound: a server is skipped from this multiple of its part of the attempts in flight, of this
/// balancer's or, by what servers report, of all: the first where the origin has room for the fetch that a
/// skip costs, the second where it holds calls up; never below the third of all, else a quiet fleet would
/// scatter its keys. It is without room when the fourth, as a part of the calls, finds the gate shut.
const BOUND: (f64, f64, f64, f64) = (1.25, 3.0, 8.0, 0.05);
/// What a server reports of itself counts for nothing after this multiple of the longest aim, or of the time
/// in which this balancer asks each server once, where that is more.
const REPORT_FADES: (f64, f64) = (4.0, 8.0);
/// A server whose queue takes longer than this part of the time left is full.
const FULL: f64 = 0.5;
/// Answers that a server is credited with before any were seen: a few in flight at an idle one pass.
const PRIOR: f64 = 2.0;
/// Gate: outstanding origin calls of one balancer at most, or what its share brings in this part of the
/// longest aim where that is more; it starts from half of the first, the note's default.
const GATE_OUT: (f64, f64) = (20.0, 0.1);
/// Gate: its window as a part of the longest aim, short enough that what bursts over it can still wait.
const GATE_WINDOW: f64 = 0.25;
/// Gate: sub-limit of fetches, of both limits; writes have the rest for themselves.
const GATE_FETCHES: f64 = 0.7;
/// Gate: factor on the outstanding cap at a sign of congestion, and its floor as a part of the first ceiling.
const GATE_CUT: (f64, f64) = (0.8, 0.1);
/// Gate: an origin whose answers take longer than this part of the shortest aim, of late and not just one of
/// them, is congested: some are slow at any load, and each would cut the gate.
const ORIGIN_SLOW: f64 = 0.8;
/// Postponement: the note's 1 to 3 s against its bound of 60 s, taken as parts of the request's aim.
const DELAY: (f64, f64) = (1.0 / 60.0, 3.0 / 60.0);
/// An attempt without answer for this part of its aim is slow, for twice this nearly late.
const PATIENCE: f64 = 0.4;
/// An answer is lost that has not come after this multiple of what answers of its server take, while what was
/// sent there later has been answered; where answers have been lost of late, after a smaller one.
const LOST: f64 = 6.0;
/// What one attempt counts for in the share of answers that its server loses.
const LOSES: f64 = 0.05;
/// What the repeat of a lost call costs of the budget: it is lost in three cases of four, and not slow.
const LOST_COST: f64 = 0.25;
/// Strikes in a row, with no answer between them, after which a server is set aside.
const STRIKES: u32 = 3;
/// A server is set aside for this multiple of the longest aim, doubled each time up to the second figure.
const ASIDE: (u64, u64) = (1, 8);
/// Repeats of what may have run, and second copies, as a part of the requests, and how many at once.
const REPEATS: (f64, f64) = (0.05, 5.0);
/// A key is hot that was asked for before among so many requests here: a part of all, whatever N is. What a
/// key brings is judged by as many, or as many as there are servers.
const HOT: usize = 64;

impl Policy {
    /// A balancer that knows its settings and nothing else yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let aims = settings.classes.iter().map(|c| c.latency_target);
        let quotas: f64 = settings.tenants.iter().map(|t| t.quota_per_s).sum();
        let quota_share = quotas / f64::from(settings.balancer_count.max(1));
        let mut policy = Policy {
            latency_target: aims.clone().max().unwrap_or(1_000_000).max(1),
            origin_latency_target: aims.min().unwrap_or(1_000_000),
            tenant_buckets: vec![TokenBucket::default(); settings.tenants.len().max(1)],
            rng: SeededRng::new(seed),
            admission_level: INITIAL_LEVEL,
            // Held by all balancers, a connection costs more than it saves: whatever the traffic, the price
            // of keeping one open grows with their number and the price of opening it again does not.
            close_idle_connections: f64::from(settings.balancer_count) * settings.connection_price
                > 100.0 * settings.handshake_price,
            retry_budget: REPEATS.1,
            // Until reports tell otherwise there is no room.
            server_utilization: DecayingRatio::new(PRIOR, PRIOR),
            // Calls of an earlier life of this balancer may still run: the gate opens gradually.
            gate: Gate { limit: GATE_OUT.0 / 2.0, ..Gate::default() },
            quota_share,
            settings,
            ..Policy::default()
        };
        policy.wake(0, TimerTask::AdmissionReview);
        policy
    }

    /// Takes one event at a clock value and adds the actions that it calls for.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::DiscoveryFailed { failure, since_last_contact: unheard } => {
                self.discovery_failed(failure, unheard, out)
            }
            Event::ServerList { kind, servers } => {
                self.server_list(kind, servers);
                if kind == ListKind::Cached {
                    // One without any server to send to has nothing to wait with.
                    let after = self.calls_spread() * self.rng.next_unit();
                    self.call_after(if self.ready(false).next().is_some() { after as Micros } else { 0 });
                }
            }
            Event::DiscoveryMoved => self.discovery_moved(),
            Event::Request(request) => self.request(request, out),
            Event::Outcome(outcome) => self.outcome(outcome, out),
            // A streamed answer belongs to the client from here on: nothing is owed, and no deadline runs.
            Event::AnswerBegan { request, .. } | Event::ClientGone(request) => {
                drop(self.requests.remove(&request))
            }
            Event::Timer(_) => self.timers.timer_fired(self.now),
            Event::PeerMessage { .. } | Event::Probed { .. } => {}
        }
        while let Some(wake) = self.timers.pop_due(now, out) {
            match wake {
                TimerTask::RequestExpiry(id) => self.time_up(id, out),
                TimerTask::DeferredRequest(id, wait)
                    if self.requests.get(&id).map(|h| h.deferral_count) == Some(wait) =>
                {
                    self.step(id, out)
                }
                TimerTask::SlowAttempt(id, attempt) => self.patience(id, attempt, out),
                TimerTask::MissingAnswer(id, attempt) => self.overdue(id, attempt, out),
                TimerTask::DiscoveryCall
                    if self.settings.pull_discovery
                        && self.next_discovery_call.is_some_and(|at| at <= now) =>
                {
                    self.next_discovery_call = None;
                    out.push(Action::Subscribe(true));
                }
                TimerTask::DeferredRequest(..) | TimerTask::DiscoveryCall => {}
                TimerTask::AdmissionReview => self.review(out),
            }
        }
    }

    fn wake(&mut self, after: Micros, wake: TimerTask) {
        self.timers.schedule(self.now + after, wake);
    }

    // A request arrives.

    fn request(&mut self, r: Request, out: &mut Vec<Action>) {
        // Ends some ticks before its time is up, so that the answer is in time when a call comes late.
        let margin = 2 * self.settings.tick;
        let mut held = RequestState {
            class: r.class,
            key: r.key,
            write: r.write,
            latency_target_at: (self.now + self.settings.classes[r.class].latency_target)
                .saturating_sub(margin),
            deadline: self.now + r.time_left.saturating_sub(margin),
            ..RequestState::default()
        };
        self.retry_budget = (self.retry_budget + REPEATS.0).min(REPEATS.1);
        // A client's word for the work is taken for no more than an aim.
        let work = r.expected_work.map_or(1.0, |cost| cost.clamp(1, self.latency_target) as f64);
        self.recent_requests.push_front((r.key, work));
        self.recent_requests.truncate(HOT.max(self.servers.len()));
        let (ends, aim_at) = (held.deadline, self.useful_until(&held));
        let admitted = self.admit(&mut held, r.tenant) && self.now < ends;
        self.requests.insert(r.id, held);
        if !admitted {
            return self.end(r.id, out);
        }
        self.admitted_rate.count();
        self.timers.schedule(ends, TimerTask::RequestExpiry(r.id));
        self.timers.schedule(aim_at, TimerTask::RequestExpiry(r.id));
        self.step(r.id, out);
    }

    /// Chooses and makes the next call of a request that has none out.
    fn step(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(h) = self.requests.get(&id) else { return };
        if self.now >= self.useful_until(h) || u32::from(h.attempts_sent) >= self.settings.max_attempts {
            return self.end(id, out);
        }
        if h.write || h.cache_missed {
            return self.origin_call(id, out);
        }
        if !self.pick(id).is_some_and(|server| self.send(id, server, Purpose::Read, out)) {
            self.end(id, out);
        }
    }

    fn useful_until(&self, h: &RequestState) -> Micros {
        if self.settings.classes[h.class].late_value_fraction > 0.0 {
            h.deadline
        } else {
            h.latency_target_at.min(h.deadline)
        }
    }

    // The key's order.

    /// The first server in the key's order within the load bound, else the first; none where that is full.
    fn pick(&self, id: RequestId) -> Option<ServerId> {
        let h = &self.requests[&id];
        let key = if h.key == 0 { id } else { h.key };
        let left = self.useful_until(h).saturating_sub(self.now) as f64;
        let multiple = BOUND.0 + (BOUND.1 - BOUND.0) * (self.gate.blocked_ratio.value() / BOUND.3).min(1.0);
        let own = multiple * f64::from(self.cache_in_flight + 1) / self.total_weight;
        let all = self.ready(false).map(|s| self.held_by_all(s, 1.0)).sum::<f64>();
        let all = multiple * (all + 1.0) / self.total_weight;
        let floor = BOUND.2 / f64::from(self.settings.balancer_count.max(2)); // At most half per balancer.
        let mut order = Vec::new();
        for s in
            self.ready(false).filter(|s| !h.tried_servers.contains(&s.entry.id) && self.warm_enough(key, s))
        {
            // Last, not left out: when most look bad the cause is shared, and there is no better place.
            let aside = s.ejection.until != 0 && (self.now < s.ejection.until || s.in_flight > 0);
            // Each request takes a report for more or less, else all balancers would skip a server, and come
            // back, in step.
            let held = self.held_by_all(s, 0.5 + unit_hash(id, s.entry.id, 2));
            let over = f64::from(s.in_flight) >= (own * self.weight(s)).max(floor)
                || held >= (all * self.weight(s)).max(BOUND.2);
            order.push(((aside, over || self.queue(id, s) > left * FULL), self.place(key, s), s.entry.id));
        }
        order.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        let open = order.iter().filter(|(last, ..)| *last == (false, false)).count();
        let share = (unit_hash(id, 0, 3) * self.fills(key) / multiple) as usize;
        let best = order.get(share.min(open.saturating_sub(1)));
        // Passing over a full server for one far down the order would scatter the keys and empty the caches.
        let backlog = |s: &Server| if self.admission_level < HIGHEST_LEVEL { self.backlog(s) } else { 0.0 };
        let full = |s: &Server| self.queue(id, s).max(backlog(s)) > left * FULL;
        best.map(|(.., server)| *server).filter(|server| !full(&self.servers[server]))
    }

    /// How many servers a key fills by itself, had all of them as much to do, by its part of the work that
    /// was asked for here of late. Against keys that are too much for one server: a balancer that asks each
    /// server hardly once in an aim never has two attempts in flight there, and its count shows no crowd.
    fn fills(&self, key: Key) -> f64 {
        let same = self.recent_requests.iter().filter(|(recent, _)| *recent == key).map(|(_, work)| work);
        let (times, own) = (same.clone().count() as f64, same.sum::<f64>());
        let all = self.recent_requests.iter().map(|(_, work)| work).sum::<f64>().max(1.0);
        // Few requests tell little of a key, and one tells nothing.
        let known = (self.recent_requests.len() as f64 / HOT as f64).min(1.0) * (1.0 - 1.0 / times.max(1.0));
        if self.sees_little() { self.servers.len() as f64 * known * own / all } else { 0.0 }
    }

    /// Requests that a server holds for all balancers: this one's are known, of the others' its latest report
    /// tells, the less the older it is. Against a jam that many make together: one of a hundred hardly ever
    /// has two attempts at a server, however crowded that is, and its own count tells nothing. It also asks
    /// each so seldom that it has to go by a report for longer: the jam outlasts what it last heard.
    fn held_by_all(&self, s: &Server, trust: f64) -> f64 {
        let fades = (REPORT_FADES.0 * self.latency_target as f64).max(REPORT_FADES.1 * self.round());
        let fresh = 1.0 - (self.now - s.reported.at) as f64 / fades;
        let others = 1.0 - 1.0 / f64::from(self.settings.balancer_count.max(1));
        f64::from(s.in_flight) + trust * others * s.reported.count * fresh.max(0.0)
    }

    /// Time in which this balancer asks each server once, where quotas tell how much it has to ask.
    fn round(&self) -> f64 {
        if self.quota_share > 0.0 { 1e6 * self.servers.len() as f64 / self.quota_share } else { 0.0 }
    }

    /// Whether this balancer is one of so many that it asks each server hardly once in an aim.
    fn sees_little(&self) -> bool {
        self.round() > self.latency_target as f64
    }

    /// Wait at a server by what its reports or the list tell of the requests that all balancers together have
    /// there. Each request takes it for more or less, else all balancers would turn away, and come back, in
    /// step.
    fn queue(&self, id: RequestId, s: &Server) -> f64 {
        let wait = self.service_time * self.waiting(s, self.held_by_all(s, 1.0));
        if wait > 0.0 { wait * (0.5 + unit_hash(id, s.entry.id, 2)) } else { 0.0 }
    }

    /// Requests for each core that wait at a server that holds so many; weights are its cores, roughly.
    fn waiting(&self, s: &Server, held: f64) -> f64 {
        let reported = if self.settings.weights_are_capacities { held / self.weight(s) - 1.0 } else { 0.0 };
        reported.max(s.requests_per_core())
    }

    /// Time until a server has answered what this balancer has in flight there, at the pace of its latest
    /// answers (Little's law), with a credit for a server that has had little to answer.
    fn backlog(&self, s: &Server) -> f64 {
        f64::from(s.in_flight) * self.latency_target as f64
            / (s.decayed_answers(self.now, self.latency_target) + PRIOR)
    }

    fn ready(&self, origin: bool) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(move |s| s.entry.state == ServerState::Ready && s.is_origin == origin)
    }

    fn weight(&self, s: &Server) -> f64 {
        if self.settings.weights_are_capacities { f64::from(s.entry.weight).max(0.01) } else { 1.0 }
    }

    /// Place of a server in a key's order, the smaller the earlier (weighted rendezvous hashing): the same
    /// at every balancer, and little moves when a server comes or goes.
    fn place(&self, key: Key, s: &Server) -> f64 {
        let draw = unit_hash(key, s.entry.id, 0);
        // The same order without the logarithm, which was most of a pick at 475 servers.
        if self.settings.weights_are_capacities { -draw.ln() / self.weight(s) } else { -draw }
    }

    /// Requests a second that are this balancer's to serve.
    fn share(&self) -> f64 {
        if self.quota_share > 0.0 { self.quota_share } else { self.admitted_rate.per_s }
    }

    // Calls to the origin.

    fn origin_call(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let call = if self.requests[&id].write { Purpose::Write } else { Purpose::Fetch };
        let target = match self.settings.origin_machine_type {
            Some(_) => self.ready(true).map(|s| s.entry.id).next(),
            // Servers that fetch for themselves take writes too.
            None => self.pick(id),
        };
        match target.filter(|_| self.gate_open(call)) {
            None => self.postpone(id, out),
            Some(target) if self.send(id, target, call, out) => {}
            Some(_) => self.end(id, out),
        }
    }

    /// Whether the outstanding cap and the windowed tally let one more call through. The window is hardly
    /// longer than a call takes, so that a tally under the cap would take its place: of many balancers the
    /// part of each is a call or two, and chance alone brings more.
    fn gate_open(&mut self, call: Purpose) -> bool {
        let window = self.latency_target as f64 * GATE_WINDOW;
        self.gate.advance_window(self.now, window as Micros);
        let g = &self.gate;
        let tally = (self.share() * window / 1e6).max(g.limit);
        let room = |count: u32, limit: f64| f64::from(count + 1) <= limit.max(1.0);
        let open = |i: usize, part: f64| {
            room(g.in_flight[i], g.limit * part) && room(g.window_calls[i], tally * part)
        };
        let open = open(0, 1.0) && (call == Purpose::Write || open(1, GATE_FETCHES));
        self.gate.blocked_ratio.record(f64::from(u8::from(!open)), 1.0);
        open
    }

    /// Parks a request that a shut gate stops, for a random delay, while its answer can still earn.
    fn postpone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let delay = self.delay(self.requests[&id].class);
        let h = &self.requests[&id];
        if self.now + delay >= self.useful_until(h) {
            return if h.in_flight == 0 {
                self.end(id, out)
            };
        }
        if let Some(h) = self.requests.get_mut(&id) {
            h.deferral_count += 1;
            self.timers.schedule(self.now + delay, TimerTask::DeferredRequest(id, h.deferral_count));
        }
    }

    /// The random delay of a blocked call.
    fn delay(&mut self, class: usize) -> Micros {
        let aim = self.settings.classes[class].latency_target as f64;
        (aim * (DELAY.0 + (DELAY.1 - DELAY.0) * self.rng.next_unit())) as Micros + 1
    }

    // The one place that sends.

    /// Sends an attempt, or tells that a rule forbids it.
    fn send(&mut self, id: RequestId, server: ServerId, call: Purpose, out: &mut Vec<Action>) -> bool {
        let (Some(h), Some(s)) = (self.requests.get(&id), self.servers.get(&server)) else { return false };
        let allowed = self.now < h.deadline
            && u32::from(h.attempts_sent) < self.settings.max_attempts
            && s.entry.state == ServerState::Ready
            && (h.in_flight == 0 || self.settings.may_duplicate)
            && self.may_repeat(h, server);
        if !allowed {
            return false;
        }
        let cold = LeakyBucket { level: self.cold_bucket(s).0 + 1.0, at: self.now };
        let (attempt, sent, aim) = (h.attempts_sent, self.now, self.settings.classes[h.class].latency_target);
        let slow_after = (aim as f64 * PATIENCE) as Micros;
        if let (Some(h), Some(s)) = (self.requests.get_mut(&id), self.servers.get_mut(&server)) {
            (h.attempts_sent, h.in_flight) = (h.attempts_sent + 1, h.in_flight + 1);
            h.may_have_run.push((attempt, sent, server));
            (s.in_flight, s.slow_start_bucket) = (s.in_flight + 1, cold);
        }
        if call == Purpose::Read {
            self.cache_in_flight += 1;
            self.wake(slow_after, TimerTask::SlowAttempt(id, attempt));
        } else {
            self.gate.acquire(call);
        }
        self.wake(self.lost_after(server) as Micros + 1, TimerTask::MissingAnswer(id, attempt));
        self.attempts.insert(
            (id, attempt),
            Attempt {
                server,
                purpose: call,
                sent_at: sent,
                latency_target: aim,
                slow_after,
                presumed_lost: false,
            },
        );
        out.push(Action::Send { request: id, server, timeout: 0 });
        true
    }

    /// No effect twice: a repeat of what may have run goes only where and while it is dropped.
    fn may_repeat(&self, h: &RequestState, server: ServerId) -> bool {
        let Some(&(_, sent, first)) = h.may_have_run.first() else { return true };
        match self.settings.classes[h.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Deduplicated { scope: group, window } => {
                let (first, next) = (self.servers.get(&first), self.servers.get(&server));
                let shared = first.zip(next).is_some_and(|(a, b)| a.shares_dedup_scope(b, group));
                // Its last byte must come within the window, and may need a new connection first.
                let reserve = 2 * self.settings.tick + self.settings.connect_timeout.max(window / 8);
                shared && self.now + reserve < sent + window
            }
        }
    }

    // An attempt ends.

    fn outcome(&mut self, o: Outcome, out: &mut Vec<Action>) {
        let Some(flight) = self.attempts.remove(&(o.request, o.attempt)) else { return };
        if let Some(s) = self.servers.get_mut(&flight.server).filter(|_| o.status == Status::Success) {
            let took = (self.now - flight.sent_at) as f64;
            s.response_time += if s.response_time == 0.0 { 1.0 } else { 0.1 } * (took - s.response_time);
            s.last_answered_sent_at = s.last_answered_sent_at.max(flight.sent_at);
            s.loss_rate -= LOSES * s.loss_rate;
        }
        self.learn(&flight, &o, out);
        // One connection that broke, or one answer that was spoilt, says little of its server: the key's copy
        // is there still, and the next in the order would have to fetch it.
        let well = matches!(o.status, Status::Malformed | Status::Reset)
            && self.servers.get(&flight.server).is_some_and(|s| s.failure_count < 2 && s.ejection.until == 0);
        let Some(h) = self.requests.get_mut(&o.request) else { return };
        h.in_flight -= 1;
        if o.status.never_executed() {
            h.may_have_run.retain(|&(attempt, ..)| attempt != o.attempt);
        }
        h.cache_missed |= o.status == Status::Miss;
        if flight.purpose == Purpose::Read && o.status != Status::Miss && !well {
            h.tried_servers.push(flight.server);
        }
        let class = h.class;
        if o.request_finished || o.status == Status::Success {
            self.cancel_rest(o.request, out);
            self.requests.remove(&o.request);
            return;
        }
        if self.out(o.request).any(|lost| !lost) && o.status != Status::Miss {
            return; // Their outcomes decide.
        }
        if flight.purpose != Purpose::Read && o.status == Status::Rejected {
            return self.postpone(o.request, out);
        }
        // Repeating what may still run adds work just when things are slow: only on a budget.
        // Where each attempt opens a connection, one turned away has cost the server work all the same.
        let costly =
            self.close_idle_connections && flight.purpose == Purpose::Read && o.status != Status::Miss;
        if costly || !o.status.never_executed() {
            // Spoilt answers and broken connections are no sign that things are slow, and there are days with
            // many: a budget would run out, and the attempts of each request are few anyway.
            let cost = if matches!(o.status, Status::Malformed | Status::Reset) { 0.0 } else { 1.0 };
            let repeatable = match self.settings.classes[class].idempotency {
                Idempotency::Idempotent => true,
                // Where and until when its repeats are dropped, the sending looks to.
                Idempotency::Deduplicated { .. } => {
                    matches!(o.status, Status::Malformed | Status::Error | Status::Reset)
                }
                Idempotency::NonIdempotent => false,
            };
            if self.retry_budget < cost || !repeatable {
                return self.end(o.request, out);
            }
            self.retry_budget -= cost;
        }
        self.step(o.request, out);
    }

    /// What an outcome tells of its server and of the strain on the fleet, or of the origin.
    fn learn(&mut self, flight: &Attempt, o: &Outcome, out: &mut Vec<Action>) {
        if !flight.presumed_lost {
            self.leave(flight);
        }
        let fields = self.settings.load_fields.iter().zip(o.load.values).take(o.load.count.into());
        let told = |wanted| fields.clone().find(|(field, _)| **field == wanted).map(|(_, told)| told.into());
        let (held, busy): (Option<f64>, Option<f64>) =
            (told(LoadField::InFlight), told(LoadField::CpuUtilization));
        let server = self.servers.get(&flight.server);
        let waiting = server.map_or(0.0, |s| self.waiting(s, held.unwrap_or(0.0)));
        let Some(s) = self.servers.get_mut(&flight.server) else { return };
        // The tables of the servers have no room for an idle connection from each of many balancers.
        if s.in_flight == 0 && self.close_idle_connections {
            out.push(Action::CloseIdle(flight.server));
        }
        if flight.purpose != Purpose::Read {
            return self.learn_origin(flight, o, out);
        }
        if let Some(held) = held {
            s.reported = ReportedRequests { count: held, at: self.now };
        }
        if let Some(busy) = busy {
            self.server_utilization.record(busy.min(1.0), 1.0);
        }
        // A late answer has been counted when it became late: waiting for its end would lag the overload.
        // What was given up unheard sooner is no answer: to clients that wait for a moment all looked well.
        let age = self.now - flight.sent_at;
        if age < flight.slow_after && (!o.status.abandoned() || age as f64 > 2.0 * self.service_time) {
            self.overload_signal
                .record(f64::from(u8::from(o.status.abandoned() || o.status == Status::Rejected)), 1.0);
        }
        match o.status {
            // A server that fails each request at once looks idle and would draw ever more of them.
            Status::ConnectFailed | Status::Reset | Status::Error | Status::Malformed => {
                // Against healthy servers taken for restarted ones: connections break for many reasons, a
                // process that is gone takes no new ones.
                s.connect_failed = o.status == Status::ConnectFailed;
                s.returned_error = o.status == Status::Error;
                if s.connect_failed {
                    self.zone_silent(flight.server, flight.sent_at, out);
                }
                self.strike(flight.server, out);
            }
            Status::TimedOut => s.connect_failed = false,
            // A second copy was quicker.
            Status::Cancelled if self.now - flight.sent_at >= flight.slow_after => {
                self.zone_silent(flight.server, flight.sent_at, out);
            }
            Status::NotSent | Status::Cancelled => {}
            _ => {
                self.zones.insert(s.entry.zone, ZoneState { last_answer_at: self.now, unanswered: 0 });
                let sample = (self.now - flight.sent_at) as f64 / (1.0 + waiting);
                if o.status == Status::Success {
                    self.service_time +=
                        if self.service_time == 0.0 { 1.0 } else { 0.1 } * (sample - self.service_time);
                }
                s.recent_answers = 1.0 + s.decayed_answers(self.now, flight.latency_target);
                s.last_answer_at = self.now;
                // One that fails what it holds still says at once what it lacks: that is no recovery.
                if s.returned_error && o.status != Status::Success {
                    return;
                }
                s.failure_count = s.failure_count.saturating_sub(1);
                if s.ejection.until != 0 {
                    s.ejection = Ejection::default();
                    // It refused connections and answers again: a new process, cold, and the list is late.
                    if std::mem::take(&mut s.connect_failed) {
                        s.entry.started_at = s.entry.started_at.max(self.now);
                        s.slow_start_bucket = LeakyBucket { level: 1.0 + self.rng.next_unit(), at: self.now };
                    }
                    out.push(Action::Log(format!("server {} answers again: let back", flight.server)));
                }
            }
        }
    }

    /// A slow, failing or refusing origin lowers the gate's limit, within a floor; good answers restore it.
    fn learn_origin(&mut self, flight: &Attempt, o: &Outcome, out: &mut Vec<Action>) {
        let takes = self.servers.get(&flight.server).map_or(0.0, |s| s.response_time);
        let limit = self.origin_latency_target as f64 * ORIGIN_SLOW;
        let slow = takes > limit;
        // Clients that wait for a moment only: that a call was given up sooner than it is slow tells nothing.
        let too_soon = o.status.abandoned() && ((self.now - flight.sent_at) as f64) < limit;
        // A fixed cap would shut before an idle origin where requests are many and short.
        let top = (self.share() * GATE_OUT.1 * self.latency_target as f64 / 1e6).max(GATE_OUT.0);
        let g = &mut self.gate;
        let was = g.limit;
        // What it answered can't be read, but it answered: no sign of congestion. Nor is a broken connection.
        if matches!(o.status, Status::Success | Status::Malformed) && !slow {
            g.limit = (g.limit + 1.0 / g.limit).min(top);
        } else if (o.status != Status::Reset || slow)
            && o.status != Status::NotSent
            && !too_soon
            // It answers what came later: an answer got lost on its way, which tells nothing of the origin.
            && !flight.presumed_lost
            && flight.sent_at >= g.reduced_at
        {
            // One cut for all calls that were out together.
            g.reduced_at = self.now;
            g.limit = (g.limit * GATE_CUT.0).max(GATE_OUT.0 * GATE_CUT.1);
        }
        log_crossing(out, was, g.limit, GATE_OUT.0 / 4.0, "gate lowered: origin slow", "gate restored");
    }

    /// Against a zone that is lost: attempts in a row at its servers that failed or had no answer for long,
    /// with none from any of them since they were sent, set all of it aside. One that asks each server seldom
    /// would find out one after the other.
    fn zone_silent(&mut self, server: ServerId, sent: Micros, out: &mut Vec<Action>) {
        let Some(zone) = self.servers.get(&server).map(|s| s.entry.zone) else { return };
        if !self.ready(false).any(|s| s.entry.zone != zone && s.ejection.until == 0) {
            return; // There is no better place.
        }
        let time = self.least_aside();
        let zone_state = self.zones.entry(zone).or_default();
        zone_state.unanswered += u32::from(zone_state.last_answer_at < sent);
        if zone_state.unanswered < STRIKES {
            return;
        }
        if zone_state.unanswered == STRIKES {
            out.push(Action::Log(format!("zone {zone} is silent: set aside")));
            let out_there = self.attempts.iter().filter(|(_, f)| f.purpose == Purpose::Read);
            out_there.for_each(|(&(id, attempt), _)| {
                self.timers.schedule(self.now, TimerTask::MissingAnswer(id, attempt))
            });
        }
        for s in self.servers.values_mut().filter(|s| s.entry.zone == zone && !s.is_origin) {
            s.ejection.until = s.ejection.until.max(self.now + time);
            s.ejection.duration = s.ejection.duration.max(time);
        }
    }

    /// Whether an attempt is out in a zone that has been silent since it was sent.
    fn in_silent_zone(&self, f: &Attempt) -> bool {
        let zone =
            self.servers.get(&f.server).filter(|s| !s.is_origin).and_then(|s| self.zones.get(&s.entry.zone));
        zone.is_some_and(|zone| zone.unanswered >= STRIKES && zone.last_answer_at < f.sent_at)
    }

    /// How long a server is set aside for at the least.
    fn least_aside(&self) -> Micros {
        (self.latency_target * ASIDE.0).max(self.round() as Micros).min(self.latency_target * ASIDE.1)
    }

    /// A server that fails several times in a row, with no answer between, is set aside for a while.
    fn strike(&mut self, server: ServerId, out: &mut Vec<Action>) {
        let (round, least) = (self.round(), self.least_aside());
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.failure_count += 1;
        let trial_failed = s.ejection.until != 0 && self.now >= s.ejection.until;
        // One that asks a server hardly once in an aim would find the same failure again and again, and to do
        // without the server for a while costs it little; that one request is slow is no failure.
        let failed = s.connect_failed || s.returned_error;
        let enough =
            if failed { (self.latency_target as f64 / round.max(1.0)).ceil() as u32 } else { STRIKES };
        if trial_failed || (s.ejection.until == 0 && s.failure_count >= enough.clamp(1, STRIKES)) {
            let time = (s.ejection.duration * 2).clamp(least, self.latency_target * ASIDE.1);
            s.ejection = Ejection { until: self.now + time, duration: time };
            out.push(Action::Log(format!("server {server} fails or is silent: set aside")));
        }
    }

    /// An attempt has had no answer for long: a sign of overload, and against silent and hanging servers a
    /// strike when the server has answered nothing since.
    fn patience(&mut self, id: RequestId, attempt: u16, out: &mut Vec<Action>) {
        let Some(&f) = self.attempts.get(&(id, attempt)) else { return };
        let (age, patience) = (self.now - f.sent_at, f.slow_after + 1);
        // Half a sign when it becomes slow, and is counted, and half when nearly late: slow is not yet lost.
        self.overload_signal.record(
            if age < f.latency_target && !f.presumed_lost { 0.5 } else { 0.0 },
            if age < patience * 3 / 2 { 1.0 } else { 0.0 },
        );
        if age < patience * 3 / 2 {
            self.hedge(id, f.server, out);
        } else if age < f.latency_target {
            self.zone_silent(f.server, f.sent_at, out);
            self.presume_crowd(&f);
        }
        if age < f.latency_target {
            return self.wake(patience, TimerTask::SlowAttempt(id, attempt));
        }
        // One strike for one attempt: a single slow request is no sign of a sick server.
        if self.servers.get(&f.server).is_some_and(|s| s.last_answer_at < f.sent_at) {
            self.strike(f.server, out);
        }
    }

    /// Against a jam that reports come too late from, since they come with its answers: a server that has
    /// answered nothing since an attempt that is nearly late holds as many as take that long.
    fn presume_crowd(&mut self, f: &Attempt) {
        let Some(s) =
            self.servers.get(&f.server).filter(|s| s.last_answer_at < f.sent_at && self.service_time > 0.0)
        else {
            return;
        };
        let held = self.weight(s) * (1.0 + (self.now - f.sent_at) as f64 / self.service_time);
        let held = held.max(self.held_by_all(s, 1.0));
        self.servers
            .entry(f.server)
            .and_modify(|s| s.reported = ReportedRequests { count: held, at: self.now });
    }

    /// How old an attempt must be for its answer to be lost. The more answers its server has lost of late,
    /// the sooner one is more likely lost than slow: by far, at e times the odds if times are exponential, so
    /// that the slow that are taken for lost are fewer than the share they are judged by.
    fn lost_after(&self, server: ServerId) -> f64 {
        self.servers.get(&server).map_or(0.0, |s| s.response_time * (1.0 - s.loss_rate.ln()).min(LOST))
    }

    /// An attempt may be lost: it is looked at for as long as its request is owed an answer, since what its
    /// server takes changes meanwhile.
    fn overdue(&mut self, id: RequestId, attempt: u16, out: &mut Vec<Action>) {
        let Some(&f) = self.attempts.get(&(id, attempt)) else { return };
        let left = self.lost_after(f.server) - (self.now - f.sent_at) as f64;
        // A connection fell silent, not the server: what was sent there later has been answered.
        let server = self
            .servers
            .get_mut(&f.server)
            .filter(|s| s.response_time > 0.0 && s.last_answered_sent_at > f.sent_at);
        let one = server
            .filter(|_| left < 0.0 && !f.presumed_lost)
            .map(|s| s.loss_rate += LOSES * (1.0 - s.loss_rate));
        if one.is_some() || (!f.presumed_lost && self.in_silent_zone(&f)) {
            // It holds no place any more, neither in the gate nor at its server: for all its time it would
            // look like work that is under way, and stop calls that there is room for.
            self.leave(&f);
            self.attempts.insert((id, attempt), Attempt { presumed_lost: true, ..f });
        }
        if self.requests.contains_key(&id) {
            self.send_again(id, &f, out);
            let next = (left.max(0.0) as Micros + 1).max((self.now - f.sent_at) / 4).max(self.settings.tick);
            self.wake(next, TimerTask::MissingAnswer(id, attempt));
        }
    }

    /// An attempt is under way no more.
    fn leave(&mut self, f: &Attempt) {
        if let Some(s) = self.servers.get_mut(&f.server) {
            s.in_flight = s.in_flight.saturating_sub(1);
        }
        match f.purpose {
            Purpose::Read => self.cache_in_flight -= 1,
            call => self.gate.release(call),
        }
    }

    /// The attempts of a request that are out, and whether each is lost.
    fn out(&self, id: RequestId) -> impl Iterator<Item = bool> {
        let sent = self.requests.get(&id).map_or(0, |h| h.attempts_sent);
        (0..sent).filter_map(move |attempt| self.attempts.get(&(id, attempt)).map(|f| f.presumed_lost))
    }

    /// Against answers that are lost: the same call is made once more, where it was and then at the next
    /// server, within the budget of repeats and, at the origin, through the gate. Without it each would cost
    /// its request all its time.
    fn send_again(&mut self, id: RequestId, f: &Attempt, out: &mut Vec<Action>) {
        let lost = self.out(id).filter(|lost| *lost).count();
        if lost == 0 || self.out(id).count() > lost || self.retry_budget < LOST_COST {
            return;
        }
        let elsewhere = f.purpose == Purpose::Read && (lost > 1 || self.in_silent_zone(f));
        let to = match self.requests.get_mut(&id).filter(|_| elsewhere) {
            Some(h) => {
                h.tried_servers.push(f.server);
                self.pick(id)
            }
            None => Some(f.server),
        };
        let Some(server) = to.filter(|_| f.purpose == Purpose::Read || self.gate_open(f.purpose)) else {
            return;
        };
        if self.send(id, server, f.purpose, out) {
            self.retry_budget -= LOST_COST;
        }
    }

    /// Against a slow or silent server, of which one of many balancers sees too little to avoid it: a read
    /// that waits long is sent to the next server too. Where it sees enough, a copy would only add a fetch.
    fn hedge(&mut self, id: RequestId, server: ServerId, out: &mut Vec<Action>) {
        let Some(h) = self.requests.get_mut(&id).filter(|h| h.in_flight == 1 && !h.cache_missed) else {
            return;
        };
        let known = self
            .servers
            .get(&server)
            .is_some_and(|s| s.decayed_answers(self.now, self.latency_target) >= PRIOR);
        if known
            || self.settings.classes[h.class].idempotency != Idempotency::Idempotent
            || !self.settings.may_duplicate
            || self.retry_budget < 1.0
        {
            return;
        }
        h.tried_servers.push(server);
        if self.pick(id).is_some_and(|next| self.send(id, next, Purpose::Read, out)) {
            self.retry_budget -= 1.0;
        }
    }

    // A request ends.

    /// At the aim, where late answers earn nothing, an attempt at a cache server only crowds out those that
    /// can still be in time. A call to the origin runs on anyway, and its answer fills the cache.
    fn time_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(h) = self.requests.get(&id) else { return };
        let origin = |attempt| self.attempts.get(&(id, attempt)).is_some_and(|f| f.purpose != Purpose::Read);
        if self.now >= h.deadline || !(0..h.attempts_sent).any(origin) {
            self.end(id, out);
        }
    }

    /// The one place that gives a final answer: a refusal where a retry is harmless, else a failure.
    fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(h) = self.requests.get(&id) else { return };
        // A quota is of answers: what was not served is given back, else one held to its quota gets less.
        let charged = h.charged_tenant.filter(|_| self.admission_level >= INITIAL_LEVEL);
        charged
            .and_then(|tenant| self.tenant_buckets.get_mut(tenant))
            .into_iter()
            .for_each(TokenBucket::refund);
        let (class, harmless) = (h.class, h.may_have_run.is_empty());
        // A refused client is told to come back after the delay of a blocked call, random as that is: told to
        // wait for longer it comes back too late, and its answer takes another's place.
        out.push(match self.settings.classes[class].idempotency == Idempotency::Idempotent || harmless {
            true => {
                let retry_after = self.delay(class).min(self.settings.max_retry_after);
                Action::Refuse { request: id, retry_after }
            }
            false => Action::Fail(id),
        });
        self.cancel_rest(id, out);
        self.requests.remove(&id);
    }

    /// Work that nobody waits for is wasted and holds up the rest.
    fn cancel_rest(&self, id: RequestId, out: &mut Vec<Action>) {
        let sent = self
            .requests
            .get(&id)
            .filter(|h| h.in_flight > 0 && self.settings.may_cancel)
            .map_or(0, |h| h.attempts_sent);
        let out_still = (0..sent).filter(|attempt| self.attempts.contains_key(&(id, *attempt)));
        out.extend(out_still.map(|attempt| Action::Cancel { request: id, attempt }));
    }

    // The server list.

    fn server_list(&mut self, kind: ListKind, lines: Vec<ServerEntry>) {
        if matches!(kind, ListKind::Full | ListKind::Delta) {
            self.discovery_heard();
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.servers.values_mut().for_each(|s| s.entry.state = ServerState::Removed);
        }
        for line in lines {
            let s = self.servers.entry(line.id).or_default();
            s.is_origin = self.settings.origin_machine_type == Some(line.machine_type);
            // A new process starts with a clean record. One presumed cold stays so until the list knows.
            if line.started_at > s.entry.started_at {
                (s.failure_count, s.ejection, s.reported) = Default::default();
                s.slow_start_bucket = LeakyBucket { level: 1.0 + self.rng.next_unit(), at: self.now };
            }
            s.idle_weight =
                if self.settings.weights_follow_load { s.idle_weight.max(line.weight) } else { line.weight };
            let started = if line.started_at == 0 { 0 } else { line.started_at.max(s.entry.started_at) };
            s.entry = ServerEntry { started_at: started, ..line };
        }
        // Gone and owing nothing: forgotten here, as a walk over the fleet at each review cost much CPU.
        self.servers.retain(|_, s| s.entry.state != ServerState::Removed || s.in_flight > 0);
        self.total_weight = self.ready(false).map(|s| self.weight(s)).sum::<f64>().max(0.01);
    }
}
