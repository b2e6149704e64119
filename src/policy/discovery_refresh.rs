//! When discovery is called. Owns the time of the next call, and keeps the calls of many balancers out of
//! step. It must not know how a call is made, only how the last one ended.

use crate::interface::{Action, DiscoveryFailure, Micros};
use crate::state::*;

/// Calls are spread over this part of the time within which discovery is to be asked, for each further
/// balancer.
const SPREAD_PER_BALANCER: f64 = 1.0 / 150.0;
/// So many balancers may wait in discovery's line with no harm.
const LINE_WITHOUT_HARM: u32 = 4;
/// Calls are spread over this part of the time within which discovery is to be asked, for each balancer
/// beyond those that may wait with no harm, where that is more.
const SPREAD_PER_CROWDING_BALANCER: f64 = 1.0 / 40.0;
/// What discovery has, and can be asked for, counts as notified 6 s later, however the calls before ended.
/// What is left of that to a call itself is enough to connect and to be served: where many call, a line costs
/// all the same time.
const CALL_BY: Micros = 5_500_000;
/// So many calls have to fit into that time, as far as discovery can serve the fleet so often: the first may
/// fail. The spread is as long as it needs for the fleet at the least, and it may need twice as long.
const CALLS_IN_TIME: f64 = 2.0;
/// Calls to a discovery that moved are spread over this time at the most: what it has to tell counts as
/// notified 4 s after the move, so that there must be time left for the call itself.
const MOVED_SPREAD: f64 = 2_500_000.0;
/// Moves that follow one another within this time are answered by one call. It is less than the 1.5 s for
/// which the former address keeps its connections.
const MOVES_SETTLE: Micros = 1_000_000;
/// After a move a call that failed is made again by then, for the same reason.
const MOVED_CALL_BY: Micros = 3_500_000;
/// Silences in a row, after which discovery is asked less and less often.
const SILENT_TRIES: u32 = 2;
/// Cuts in a row, after which discovery is asked less and less often.
const CUT_OFF_TRIES: u32 = 2;
/// After a watch that was cut off it is called again within this part of the grace of a drain.
const GRACE_PART: f64 = 1.0 / 4.0;
/// The first pause after calls that discovery took and that failed, as a part of the time within which it is
/// to be asked.
const BACKOFF: f64 = 1.0 / 16.0;
/// That pause is doubled so many times.
const BACKOFF_DOUBLINGS: u32 = 3;
/// A large fleet may be too much for discovery to serve in time. After each so many calls in a row that it
/// took and that failed, the pause grows: else all that it came to would be calls that have waited for too
/// long. A few such calls only tell of an outage, and must not be answered so.
const OVERLOADED_AFTER: u32 = 8;
/// It grows by this factor.
const OVERLOADED_FACTOR: f64 = 2.0;
/// It grows so many times.
const OVERLOADED_STEPS: u32 = 2;
/// From one call to the next, the least part of the period. Constant but for this jitter, the periods keep
/// the calls of many balancers as far apart as chance has put the first of them.
const JITTER: f64 = 0.9;

impl Policy {
    /// Time over which the calls of all balancers to discovery are spread. It takes them one after another,
    /// and one that has waited too long there fails and costs it as much: where many restart at once and
    /// call in step, all but the first few fail, and so they do when they all call again soon.
    pub(super) fn calls_spread(&self) -> f64 {
        let balancers = self.settings.balancer_count;
        let others = f64::from(balancers.saturating_sub(1)) * SPREAD_PER_BALANCER;
        let crowd = f64::from(balancers.saturating_sub(LINE_WITHOUT_HARM)) * SPREAD_PER_CROWDING_BALANCER;
        (self.settings.notified_after as f64 * others.max(crowd)).min(CALL_BY as f64)
    }

    /// Against a call in step: a configuration may move discovery for all balancers at once. How calls ended
    /// at its former address says nothing of those to come.
    pub(super) fn discovery_moved(&mut self) {
        let spread = self.calls_spread().min(MOVED_SPREAD) * self.rng.next_unit();
        self.discovery_failures = 0;
        self.call_due_by(self.now + MOVED_CALL_BY);
        let Some(first_move) = self.discovery_moved_at else {
            self.discovery_moved_at = Some(self.now);
            return self.call_after(spread as Micros);
        };
        // Configurations that follow one another would each cost discovery a call in vain: the call waits for
        // the last of them, as long as there is time.
        if !self.served_again_in_time() {
            return self.call_after(spread as Micros);
        }
        let settled = MOVES_SETTLE as f64 + spread;
        let latest = (first_move + MOVED_SPREAD as Micros).saturating_sub(self.now) as f64;
        self.next_discovery_call = None;
        self.call_after(settled.min(latest - spread).max(0.0) as Micros);
    }

    /// A list has come: all that discovery had to tell is in force.
    pub(super) fn discovery_heard(&mut self) {
        self.discovery_failures = 0;
        (self.discovery_moved_at, self.discovery_call_due) = (None, None);
    }

    /// What was not heard counts as notified soon after a time. A call that fails does not put that off.
    fn call_due_by(&mut self, at: Micros) {
        self.discovery_call_due = Some(self.discovery_call_due.map_or(at, |due| due.min(at)));
    }

    /// One call stands for all that were asked for meanwhile: each costs discovery the same.
    pub(super) fn call_after(&mut self, after: Micros) {
        let at = self.now + after;
        if self.next_discovery_call.is_none_or(|pending| at < pending) {
            self.next_discovery_call = Some(at);
            self.timers.schedule(at, TimerTask::DiscoveryCall);
        }
    }

    /// A call has come to nothing, or the watch has ended: when is the next? In time for all that discovery
    /// may have had since this balancer last heard of it, or called it.
    pub(super) fn discovery_failed(
        &mut self,
        failure: DiscoveryFailure,
        unheard: Micros,
        out: &mut Vec<Action>,
    ) {
        self.call_due_by((self.now + CALL_BY).saturating_sub(unheard));
        let (from, to) = self.next_call_window(failure, unheard as f64);
        let latest = self.latest_call(failure, unheard as f64);
        let (from, to) = (from.min(latest * JITTER), to.min(latest));
        let after = (from + (to - from) * self.rng.next_unit()) * self.overload_factor(failure);
        let after = after.min(self.until_due()) as Micros;
        self.discovery_failures =
            if failure == DiscoveryFailure::Unreachable { 1 } else { self.discovery_failures + 1 };
        self.call_after(after);
        out.push(Action::Log(format!(
            "discovery {}: asking again in {} ms",
            failure.description(),
            after / 1_000
        )));
    }

    /// The earliest and the latest that the next call would be for the load on discovery alone. A call that
    /// it never took cost it nothing, and the next one soon finds out that it is back; one that it took cost
    /// it as much as one that is served, so that the next ones come later each time.
    fn next_call_window(&self, failure: DiscoveryFailure, unheard: f64) -> (f64, f64) {
        let (spread, least) = (self.calls_spread(), self.settings.notified_after as f64 * BACKOFF);
        let taken = failure != DiscoveryFailure::Unreachable;
        let grace = self.settings.drain_grace_time as f64;
        match failure {
            // What was cut off counts as notified, and the call has to wait in line within the grace.
            DiscoveryFailure::Interrupted
                if self.discovery_failures < CUT_OFF_TRIES && self.served_again_in_time() =>
            {
                (0.0, spread.min(grace * GRACE_PART))
            }
            DiscoveryFailure::TimedOut if self.discovery_failures < SILENT_TRIES => (0.0, spread),
            _ if self.discovery_failures == 0 => (least / 2.0, least.max(spread) + least / 2.0),
            _ => {
                let doublings = if taken { self.discovery_failures.min(BACKOFF_DOUBLINGS) } else { 0 };
                let period = (least * f64::from(1 << doublings)).max(spread - unheard);
                (period * JITTER, period)
            }
        }
    }

    /// The latest that the next call may be, whatever the failures before. One more refusal must not make it
    /// too late for what discovery has, so that there is time for another call behind it, as far as discovery
    /// can serve the fleet so often.
    fn latest_call(&self, failure: DiscoveryFailure, unheard: f64) -> f64 {
        let call_by = CALL_BY as f64;
        let turn = match failure {
            DiscoveryFailure::TimedOut => call_by,
            _ if self.discovery_failures >= OVERLOADED_AFTER && !self.served_again_in_time() => call_by,
            _ => (call_by / CALLS_IN_TIME).max(self.calls_spread() * CALLS_IN_TIME).min(call_by),
        };
        (turn - unheard).max(0.0)
    }

    /// How long it is until a call has to be made since what was not heard is about to count as notified. The
    /// watches of a fleet may all have broken at once: even so the calls are spread.
    fn until_due(&mut self) -> f64 {
        let Some(due) = self.discovery_call_due.filter(|_| self.served_again_in_time()) else {
            return f64::INFINITY;
        };
        let early = self.calls_spread() * self.rng.next_unit();
        let left = due.saturating_sub(self.now) as f64 - early;
        if left > 0.0 { left } else { f64::INFINITY }
    }

    /// Whether discovery can serve the fleet again when calls to it have failed once.
    fn served_again_in_time(&self) -> bool {
        self.calls_spread() * CALLS_IN_TIME <= CALL_BY as f64 / CALLS_IN_TIME
    }

    /// By how much the pause grows since discovery is overloaded by the fleet.
    fn overload_factor(&self, failure: DiscoveryFailure) -> f64 {
        let crowded = failure != DiscoveryFailure::Unreachable && self.calls_spread() >= CALL_BY as f64;
        let steps = if crowded { self.discovery_failures / OVERLOADED_AFTER } else { 0 };
        OVERLOADED_FACTOR.powi(steps.min(OVERLOADED_STEPS) as i32)
    }
}
