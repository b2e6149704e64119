//! Times of the calls to discovery. Owns the time of the next call, and spreads the calls of many balancers
//! over time. Must not know how a call is made, only how the last one ended.
#![deny(clippy::too_many_lines, clippy::cognitive_complexity)]

use crate::interface::{Action, DiscoveryFailure, Micros};
use crate::state::*;

/// Time by which each balancer after the first lengthens the spread of the calls, as a fraction of the time
/// after which a balancer counts as notified of a change (`Settings::notified_after`).
const SPREAD_FRACTION_PER_BALANCER: f64 = 1.0 / 150.0;
/// Number of balancers that may wait in the queue of discovery without harm.
const BALANCERS_QUEUED_WITHOUT_HARM: u32 = 4;
/// Time by which each balancer beyond those that may wait without harm lengthens the spread of the calls,
/// as a fraction of the same time as above. Applies if it gives the longer spread.
const SPREAD_FRACTION_PER_EXCESS_BALANCER: f64 = 1.0 / 40.0;
/// Time after the last contact with discovery by which it must be called. A balancer counts as notified of a
/// change 6 s after it could have called discovery and learned of the change, even if all calls since then
/// failed. The remaining time is enough for the call to connect and to be answered; with many callers, the
/// queue takes the same time for all of them.
const CALL_DUE_US: Micros = 5_500_000;
/// Time from which missed changes count as notified, after the time by which a call is due.
const NOTIFIED_AFTER_CALL_DUE_US: Micros = 500_000;
/// Number of calls that must fit into [`CALL_DUE_US`], as far as discovery can serve the fleet that often,
/// because the first call may fail. Discovery serves one call of every balancer within the spread at best,
/// and may need twice as long.
const CALLS_WITHIN_DUE_TIME: f64 = 2.0;
/// Longest time over which calls to a new address of discovery are spread. A balancer counts as notified of
/// the changes there 4 s after the move, and the call itself needs the rest of these 4 s.
const MAX_MOVED_SPREAD_US: f64 = 2_500_000.0;
/// Changes of the address that follow one another within this time lead to a single call. The time is less
/// than the 1.5 s for which the former address keeps its connections.
const MOVE_SETTLING_US: Micros = 1_000_000;
/// Time after a move by which a failed call is made again, for the same reason as [`MAX_MOVED_SPREAD_US`].
const MOVED_CALL_DUE_US: Micros = 3_500_000;
/// Number of consecutive failed calls after which a further time-out leads to a backoff.
const TIMEOUTS_BEFORE_BACKOFF: u32 = 2;
/// Number of consecutive failed calls after which a further interruption leads to a backoff.
const INTERRUPTIONS_BEFORE_BACKOFF: u32 = 2;
/// Discovery is called again within this fraction of the drain grace time if missed changes count as notified
/// already: after an interrupted watch, and after a call that was due and failed.
const URGENT_CALL_FRACTION_OF_DRAIN_GRACE: f64 = 1.0 / 4.0;
/// First backoff after a failed call, and every backoff after a call that discovery did not accept, as a
/// fraction of the time after which a balancer counts as notified of a change.
const INITIAL_BACKOFF_FRACTION_OF_NOTIFIED_AFTER: f64 = 1.0 / 16.0;
/// Largest number of times that the first backoff is doubled after calls that discovery accepted.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Number of consecutive failed calls that discovery accepted after which the backoff grows by a step. A
/// large fleet may call more often than discovery can serve; without longer backoffs, every call would have
/// waited too long when its turn in the queue comes. A few such failures may be an outage, and must not
/// have this effect.
const FAILURES_PER_OVERLOAD_STEP: u32 = 8;
/// Factor by which each such step lengthens the backoff.
const OVERLOAD_STEP_FACTOR: f64 = 2.0;
/// Largest number of such steps.
const MAX_OVERLOAD_STEPS: u32 = 2;
/// Shortest time between two calls as a fraction of the period. The period has no other jitter, so the
/// calls of many balancers stay as far apart as the random times of their first calls.
const MIN_INTERVAL_FRACTION_OF_PERIOD: f64 = 0.9;

impl Policy {
    /// Returns the time in microseconds over which the calls of all balancers to discovery are spread.
    /// Discovery handles calls one after another. A call that has waited too long there fails, but costs
    /// discovery as much as a successful one. If many balancers restart and call at the same time, all calls
    /// except the first few fail, and they fail again if all balancers soon repeat them.
    pub(super) fn discovery_call_spread(&self) -> f64 {
        let balancer_count = self.settings.balancer_count;
        let fraction_of_all = f64::from(balancer_count.saturating_sub(1)) * SPREAD_FRACTION_PER_BALANCER;
        let fraction_of_excess = f64::from(balancer_count.saturating_sub(BALANCERS_QUEUED_WITHOUT_HARM))
            * SPREAD_FRACTION_PER_EXCESS_BALANCER;
        (self.settings.notified_after as f64 * fraction_of_all.max(fraction_of_excess))
            .min(CALL_DUE_US as f64)
    }

    /// Schedules a call to the new address of discovery. One configuration may move discovery for all
    /// balancers at once, so the calls are spread. Failures of calls to the former address do not count for
    /// the new one.
    pub(super) fn handle_discovery_move(&mut self) {
        let spread = self.discovery_call_spread().min(MAX_MOVED_SPREAD_US) * self.rng.next_unit();
        self.discovery_failures = 0;
        self.require_discovery_call_by(self.now + MOVED_CALL_DUE_US);
        let Some(first_move) = self.discovery_moved_at else {
            self.discovery_moved_at = Some(self.now);
            return self.schedule_discovery_call(spread as Micros);
        };
        // If configurations follow one another quickly, a call after each of them would be useless load on
        // discovery. So the call waits for the last of them as long as there is time.
        if !self.discovery_can_serve_retries() {
            return self.schedule_discovery_call(spread as Micros);
        }
        let settled_delay = MOVE_SETTLING_US as f64 + spread;
        let latest_delay = (first_move + MAX_MOVED_SPREAD_US as Micros).saturating_sub(self.now) as f64;
        self.next_discovery_call = None;
        self.schedule_discovery_call(settled_delay.min(latest_delay - spread).max(0.0) as Micros);
    }

    /// Schedules the first call of this process. Changes that were made before its start count as notified
    /// like those that it misses from now on, however many calls fail. Without a ready server the balancer
    /// cannot serve any request until it has a new list, so the call is not delayed.
    pub(super) fn schedule_first_discovery_call(&mut self) {
        self.require_discovery_call_by(self.now + CALL_DUE_US);
        let delay = self.discovery_call_spread() * self.rng.next_unit();
        let has_ready_server = self.ready_servers(false).next().is_some();
        self.schedule_discovery_call(if has_ready_server { delay as Micros } else { 0 });
    }

    /// Records that a list, or the answer that nothing has changed, arrived: everything that discovery had to
    /// report is in force.
    pub(super) fn record_discovery_success(&mut self) {
        self.confirm_list();
        self.discovery_failures = 0;
        (self.discovery_moved_at, self.discovery_call_due) = (None, None);
    }

    /// Sets the time by which discovery must be called, because missed changes count as notified soon after.
    /// A failed call does not postpone this time.
    fn require_discovery_call_by(&mut self, at: Micros) {
        self.discovery_call_due = Some(self.discovery_call_due.map_or(at, |due| due.min(at)));
    }

    /// Schedules a call to discovery unless an earlier one is pending. Calls that are requested before the
    /// pending one is made are merged into it, since every call costs discovery the same.
    pub(super) fn schedule_discovery_call(&mut self, delay: Micros) {
        let at = self.now + delay;
        if self.next_discovery_call.is_none_or(|pending| at < pending) {
            self.next_discovery_call = Some(at);
            self.timers.schedule(at, TimerTask::DiscoveryCall);
        }
    }

    /// Schedules the next call after a failed call or an ended watch. The call is in time for all changes
    /// that discovery may have had since this balancer last had contact with it or called it. Where lists are
    /// pushed, the node reopens its watch by itself.
    pub(super) fn handle_discovery_failure(
        &mut self,
        failure: DiscoveryFailure,
        since_last_contact: Micros,
        actions: &mut Vec<Action>,
    ) {
        self.note_failed_discovery_call(failure, actions);
        if !self.settings.pull_discovery {
            return;
        }
        self.require_discovery_call_by((self.now + CALL_DUE_US).saturating_sub(since_last_contact));
        let (earliest, latest) = self.next_call_window(failure, since_last_contact as f64);
        let latest_allowed = self.latest_next_call(failure, since_last_contact as f64);
        let (earliest, latest) =
            (earliest.min(latest_allowed * MIN_INTERVAL_FRACTION_OF_PERIOD), latest.min(latest_allowed));
        let delay =
            (earliest + (latest - earliest) * self.rng.next_unit()) * self.discovery_overload_factor(failure);
        let delay = delay.min(self.time_until_call_due()) as Micros;
        self.discovery_failures = if failure.was_accepted() { self.discovery_failures + 1 } else { 1 };
        self.schedule_discovery_call(delay);
        actions.push(Action::Log(format!(
            "discovery {}: asking again in {} ms",
            failure.description(),
            delay / 1_000
        )));
    }

    /// Returns the earliest and the latest delay of the next call, considering only the load on discovery.
    /// A call that discovery did not accept cost it nothing, and an early next call detects the end of an
    /// outage soon. A call that it accepted cost as much as a successful one, so each following call is
    /// delayed longer.
    fn next_call_window(&self, failure: DiscoveryFailure, since_last_contact: f64) -> (f64, f64) {
        let (spread, initial_backoff) = (
            self.discovery_call_spread(),
            self.settings.notified_after as f64 * INITIAL_BACKOFF_FRACTION_OF_NOTIFIED_AFTER,
        );
        let grace = self.settings.drain_grace_time as f64;
        match failure {
            // The missed changes already count as notified, so the call and its wait in discovery's queue
            // have to fit into the drain grace time.
            DiscoveryFailure::Interrupted
                if self.discovery_failures < INTERRUPTIONS_BEFORE_BACKOFF
                    && self.discovery_can_serve_retries() =>
            {
                (0.0, spread.min(grace * URGENT_CALL_FRACTION_OF_DRAIN_GRACE))
            }
            DiscoveryFailure::TimedOut if self.discovery_failures < TIMEOUTS_BEFORE_BACKOFF => (0.0, spread),
            _ if self.discovery_failures == 0 => {
                (initial_backoff / 2.0, initial_backoff.max(spread) + initial_backoff / 2.0)
            }
            _ => {
                let doublings = if failure.was_accepted() {
                    self.discovery_failures.min(MAX_BACKOFF_DOUBLINGS)
                } else {
                    0
                };
                let period = (initial_backoff * f64::from(1 << doublings)).max(spread - since_last_contact);
                (period * MIN_INTERVAL_FRACTION_OF_PERIOD, period)
            }
        }
    }

    /// Returns the upper limit on the delay of the next call. Unless the last call timed out, it leaves
    /// time for another call in case the next one fails too, as far as discovery can serve the fleet that
    /// often.
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

    /// Returns the time until a call must be made because missed changes are about to count as notified;
    /// infinite if there is no such time. All watches of the fleet may have broken at once, so these calls
    /// are spread too. If the call that was due has failed, or an earlier one has lasted beyond that time,
    /// discovery is called again soon, until it is too late to stop sends to draining servers in time.
    fn time_until_call_due(&mut self) -> f64 {
        let Some(due) = self.discovery_call_due.filter(|_| self.discovery_can_serve_retries()) else {
            return f64::INFINITY;
        };
        let jitter = self.rng.next_unit();
        let time_left = due.saturating_sub(self.now) as f64 - self.discovery_call_spread() * jitter;
        if time_left > 0.0 {
            return time_left;
        }
        let grace = self.settings.drain_grace_time;
        if self.now < due + NOTIFIED_AFTER_CALL_DUE_US + grace {
            return grace as f64 * URGENT_CALL_FRACTION_OF_DRAIN_GRACE * (1.0 + jitter) / 2.0;
        }
        f64::INFINITY
    }

    /// Whether discovery can serve all balancers a second time in time after their calls failed once.
    fn discovery_can_serve_retries(&self) -> bool {
        self.discovery_call_spread() * CALLS_WITHIN_DUE_TIME <= CALL_DUE_US as f64 / CALLS_WITHIN_DUE_TIME
    }

    /// Returns the factor by which the backoff grows because the fleet overloads discovery.
    fn discovery_overload_factor(&self, failure: DiscoveryFailure) -> f64 {
        let overloaded_by_fleet =
            failure.was_accepted() && self.discovery_call_spread() >= CALL_DUE_US as f64;
        let steps =
            if overloaded_by_fleet { self.discovery_failures / FAILURES_PER_OVERLOAD_STEP } else { 0 };
        OVERLOAD_STEP_FACTOR.powi(steps.min(MAX_OVERLOAD_STEPS) as i32)
    }
}
