//! When discovery is called. Owns the time of the next call, and keeps the calls of many balancers out of
//! step. It must not know how a call is made, only how the last one ended.

use crate::interface::{Action, DiscoveryFailure, Micros};
use crate::state::*;

/// Calls are spread over this part of the time within which discovery is to be asked, for each further
/// balancer.
const SPREAD_FRACTION_PER_BALANCER: f64 = 1.0 / 150.0;
/// So many balancers may wait in discovery's line with no harm.
const BALANCERS_QUEUED_WITHOUT_HARM: u32 = 4;
/// Calls are spread over this part of the time within which discovery is to be asked, for each balancer
/// beyond those that may wait with no harm, where that is more.
const SPREAD_FRACTION_PER_EXCESS_BALANCER: f64 = 1.0 / 40.0;
/// What discovery has, and can be asked for, counts as notified 6 s later, however the calls before ended.
/// What is left of that to a call itself is enough to connect and to be served: where many call, a line costs
/// all the same time.
const CALL_DUE_US: Micros = 5_500_000;
/// So many calls have to fit into that time, as far as discovery can serve the fleet so often: the first may
/// fail. The spread is as long as it needs for the fleet at the least, and it may need twice as long.
const CALLS_WITHIN_DUE_TIME: f64 = 2.0;
/// Calls to a discovery that moved are spread over this time at the most: what it has to tell counts as
/// notified 4 s after the move, so that there must be time left for the call itself.
const MAX_MOVED_SPREAD_US: f64 = 2_500_000.0;
/// Moves that follow one another within this time are answered by one call. It is less than the 1.5 s for
/// which the former address keeps its connections.
const MOVE_SETTLING_US: Micros = 1_000_000;
/// After a move a call that failed is made again by then, for the same reason.
const MOVED_CALL_DUE_US: Micros = 3_500_000;
/// Silences in a row, after which discovery is asked less and less often.
const TIMEOUTS_BEFORE_BACKOFF: u32 = 2;
/// Cuts in a row, after which discovery is asked less and less often.
const INTERRUPTIONS_BEFORE_BACKOFF: u32 = 2;
/// After a watch that was cut off it is called again within this part of the grace of a drain.
const INTERRUPTED_SPREAD_FRACTION_OF_DRAIN_GRACE: f64 = 1.0 / 4.0;
/// The first pause after calls that discovery took and that failed, as a part of the time within which it is
/// to be asked.
const INITIAL_BACKOFF_FRACTION_OF_NOTIFIED_AFTER: f64 = 1.0 / 16.0;
/// That pause is doubled so many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// A large fleet may be too much for discovery to serve in time. After each so many calls in a row that it
/// took and that failed, the pause grows: else all that it came to would be calls that have waited for too
/// long. A few such calls only tell of an outage, and must not be answered so.
const FAILURES_PER_OVERLOAD_STEP: u32 = 8;
/// It grows by this factor.
const OVERLOAD_STEP_FACTOR: f64 = 2.0;
/// It grows so many times.
const MAX_OVERLOAD_STEPS: u32 = 2;
/// From one call to the next, the least part of the period. Constant but for this jitter, the periods keep
/// the calls of many balancers as far apart as chance has put the first of them.
const MIN_FRACTION_OF_PERIOD: f64 = 0.9;

impl Policy {
    /// Time over which the calls of all balancers to discovery are spread. It takes them one after another,
    /// and one that has waited too long there fails and costs it as much: where many restart at once and
    /// call in step, all but the first few fail, and so they do when they all call again soon.
    pub(super) fn discovery_call_spread(&self) -> f64 {
        let balancer_count = self.settings.balancer_count;
        let fraction_of_all = f64::from(balancer_count.saturating_sub(1)) * SPREAD_FRACTION_PER_BALANCER;
        let fraction_of_excess = f64::from(balancer_count.saturating_sub(BALANCERS_QUEUED_WITHOUT_HARM))
            * SPREAD_FRACTION_PER_EXCESS_BALANCER;
        (self.settings.notified_after as f64 * fraction_of_all.max(fraction_of_excess))
            .min(CALL_DUE_US as f64)
    }

    /// Against a call in step: a configuration may move discovery for all balancers at once. How calls ended
    /// at its former address says nothing of those to come.
    pub(super) fn handle_discovery_move(&mut self) {
        let spread = self.discovery_call_spread().min(MAX_MOVED_SPREAD_US) * self.rng.next_unit();
        self.discovery_failures = 0;
        self.require_discovery_call_by(self.now + MOVED_CALL_DUE_US);
        let Some(first_move) = self.discovery_moved_at else {
            self.discovery_moved_at = Some(self.now);
            return self.schedule_discovery_call(spread as Micros);
        };
        // Configurations that follow one another would each cost discovery a call in vain: the call waits for
        // the last of them, as long as there is time.
        if !self.discovery_can_serve_retries() {
            return self.schedule_discovery_call(spread as Micros);
        }
        let settled_delay = MOVE_SETTLING_US as f64 + spread;
        let latest_delay = (first_move + MAX_MOVED_SPREAD_US as Micros).saturating_sub(self.now) as f64;
        self.next_discovery_call = None;
        self.schedule_discovery_call(settled_delay.min(latest_delay - spread).max(0.0) as Micros);
    }

    /// A list has come: all that discovery had to tell is in force.
    pub(super) fn record_discovery_success(&mut self) {
        self.discovery_failures = 0;
        (self.discovery_moved_at, self.discovery_call_due) = (None, None);
    }

    /// What was not heard counts as notified soon after a time. A call that fails does not put that off.
    fn require_discovery_call_by(&mut self, at: Micros) {
        self.discovery_call_due = Some(self.discovery_call_due.map_or(at, |due| due.min(at)));
    }

    /// One call stands for all that were asked for meanwhile: each costs discovery the same.
    pub(super) fn schedule_discovery_call(&mut self, delay: Micros) {
        let at = self.now + delay;
        if self.next_discovery_call.is_none_or(|pending| at < pending) {
            self.next_discovery_call = Some(at);
            self.timers.schedule(at, TimerTask::DiscoveryCall);
        }
    }

    /// A call has come to nothing, or the watch has ended: when is the next? In time for all that discovery
    /// may have had since this balancer last heard of it, or called it.
    pub(super) fn handle_discovery_failure(
        &mut self,
        failure: DiscoveryFailure,
        since_last_contact: Micros,
        actions: &mut Vec<Action>,
    ) {
        self.require_discovery_call_by((self.now + CALL_DUE_US).saturating_sub(since_last_contact));
        let (earliest, latest) = self.next_call_window(failure, since_last_contact as f64);
        let latest_allowed = self.latest_next_call(failure, since_last_contact as f64);
        let (earliest, latest) =
            (earliest.min(latest_allowed * MIN_FRACTION_OF_PERIOD), latest.min(latest_allowed));
        let delay =
            (earliest + (latest - earliest) * self.rng.next_unit()) * self.discovery_overload_factor(failure);
        let delay = delay.min(self.time_until_call_due()) as Micros;
        self.discovery_failures =
            if failure == DiscoveryFailure::Unreachable { 1 } else { self.discovery_failures + 1 };
        self.schedule_discovery_call(delay);
        actions.push(Action::Log(format!(
            "discovery {}: asking again in {} ms",
            failure.description(),
            delay / 1_000
        )));
    }

    /// The earliest and the latest that the next call would be for the load on discovery alone. A call that
    /// it never took cost it nothing, and the next one soon finds out that it is back; one that it took cost
    /// it as much as one that is served, so that the next ones come later each time.
    fn next_call_window(&self, failure: DiscoveryFailure, since_last_contact: f64) -> (f64, f64) {
        let (spread, initial_backoff) = (
            self.discovery_call_spread(),
            self.settings.notified_after as f64 * INITIAL_BACKOFF_FRACTION_OF_NOTIFIED_AFTER,
        );
        let accepted = failure != DiscoveryFailure::Unreachable;
        let grace = self.settings.drain_grace_time as f64;
        match failure {
            // What was cut off counts as notified, and the call has to wait in line within the grace.
            DiscoveryFailure::Interrupted
                if self.discovery_failures < INTERRUPTIONS_BEFORE_BACKOFF
                    && self.discovery_can_serve_retries() =>
            {
                (0.0, spread.min(grace * INTERRUPTED_SPREAD_FRACTION_OF_DRAIN_GRACE))
            }
            DiscoveryFailure::TimedOut if self.discovery_failures < TIMEOUTS_BEFORE_BACKOFF => (0.0, spread),
            _ if self.discovery_failures == 0 => {
                (initial_backoff / 2.0, initial_backoff.max(spread) + initial_backoff / 2.0)
            }
            _ => {
                let doublings = if accepted { self.discovery_failures.min(MAX_BACKOFF_DOUBLINGS) } else { 0 };
                let period = (initial_backoff * f64::from(1 << doublings)).max(spread - since_last_contact);
                (period * MIN_FRACTION_OF_PERIOD, period)
            }
        }
    }

    /// The latest that the next call may be, whatever the failures before. One more refusal must not make it
    /// too late for what discovery has, so that there is time for another call behind it, as far as discovery
    /// can serve the fleet so often.
    fn latest_next_call(&self, failure: DiscoveryFailure, since_last_contact: f64) -> f64 {
        let call_due = CALL_DUE_US as f64;
        let latest = match failure {
            DiscoveryFailure::TimedOut => call_due,
            _ if self.discovery_failures >= FAILURES_PER_OVERLOAD_STEP
                && !self.discovery_can_serve_retries() =>
            {
                call_due
            }
            _ => (call_due / CALLS_WITHIN_DUE_TIME)
                .max(self.discovery_call_spread() * CALLS_WITHIN_DUE_TIME)
                .min(call_due),
        };
        (latest - since_last_contact).max(0.0)
    }

    /// How long it is until a call has to be made since what was not heard is about to count as notified. The
    /// watches of a fleet may all have broken at once: even so the calls are spread.
    fn time_until_call_due(&mut self) -> f64 {
        let Some(due) = self.discovery_call_due.filter(|_| self.discovery_can_serve_retries()) else {
            return f64::INFINITY;
        };
        let spread_offset = self.discovery_call_spread() * self.rng.next_unit();
        let time_left = due.saturating_sub(self.now) as f64 - spread_offset;
        if time_left > 0.0 { time_left } else { f64::INFINITY }
    }

    /// Whether discovery can serve the fleet again when calls to it have failed once.
    fn discovery_can_serve_retries(&self) -> bool {
        self.discovery_call_spread() * CALLS_WITHIN_DUE_TIME <= CALL_DUE_US as f64 / CALLS_WITHIN_DUE_TIME
    }

    /// By how much the pause grows since discovery is overloaded by the fleet.
    fn discovery_overload_factor(&self, failure: DiscoveryFailure) -> f64 {
        let overloaded_by_fleet =
            failure != DiscoveryFailure::Unreachable && self.discovery_call_spread() >= CALL_DUE_US as f64;
        let steps =
            if overloaded_by_fleet { self.discovery_failures / FAILURES_PER_OVERLOAD_STEP } else { 0 };
        OVERLOAD_STEP_FACTOR.powi(steps.min(MAX_OVERLOAD_STEPS) as i32)
    }
}
