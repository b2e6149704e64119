//! Calls to the origin, and the gate that limits those in flight and those per time window. A call that the
//! gate blocks is deferred with a random backoff. Must not know why a request calls the origin, beyond
//! whether it fetches or writes.
//!
//! The gate is modelled on a published rate-limit note: a counter of outstanding calls and a window of one
//! second; blocked calls are queued again after a random 1 to 3 s and fail after 60 s. Here the window and
//! the backoff are fractions of the latency target.
#![deny(clippy::too_many_lines, clippy::cognitive_complexity)]

use crate::interface::*;
use crate::state::*;

/// Gate: ceiling of the limit on origin calls in flight of one balancer. The limit starts at half of this
/// ceiling, at 10 calls, which is the default of the rate-limit note for its counter of outstanding calls.
pub(super) const GATE_CEILING_CALLS: f64 = 20.0;
/// Gate: if more than [`GATE_CEILING_CALLS`] requests are expected in this fraction of the longest latency
/// target, the ceiling is their number.
const GATE_CEILING_FRACTION_OF_LATENCY_TARGET: f64 = 0.1;
/// Gate: time window of the call limit as a fraction of the longest latency target. It is short enough that
/// calls of a burst above the limit can be deferred to a later window and still be in time.
const GATE_WINDOW_FRACTION_OF_LATENCY_TARGET: f64 = 0.25;
/// Gate: fraction of both limits that fetches may use. The rest is reserved for writes.
const GATE_FETCH_FRACTION_OF_LIMITS: f64 = 0.7;
/// Gate: factor by which a sign of congestion lowers the limit on calls in flight.
const GATE_DECREASE_FACTOR: f64 = 0.8;
/// Gate: least limit on calls in flight as a fraction of [`GATE_CEILING_CALLS`].
const GATE_FLOOR_FRACTION_OF_CEILING: f64 = 0.1;
/// Gate: the origin is congested if its smoothed response time exceeds this fraction of the shortest latency
/// target. Single answers do not count: some are slow at any load, and each would lower the limit.
const ORIGIN_SLOW_FRACTION_OF_LATENCY_TARGET: f64 = 0.8;
/// Shortest backoff of a blocked call as a fraction of its latency target. The rate-limit note queues a
/// blocked call again after a random 1 to 3 s and lets it fail after 60 s; here the latency target takes the
/// place of the 60 s.
const MIN_BACKOFF_FRACTION_OF_LATENCY_TARGET: f64 = 1.0 / 60.0;
/// Longest backoff of a blocked call as a fraction of its latency target.
const MAX_BACKOFF_FRACTION_OF_LATENCY_TARGET: f64 = 3.0 / 60.0;

impl Policy {
    /// Sends a fetch or a write to the origin if the gate admits it, else defers the request.
    pub(super) fn send_to_origin(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        let purpose = if self.requests[&request_id].write { Purpose::Write } else { Purpose::Fetch };
        let target_id = match self.settings.origin_machine_type {
            Some(_) => self.ready_servers(true).map(|server| server.entry.id).next(),
            // Cache servers that fetch missing values themselves also accept writes.
            None => self.select_server(request_id),
        };
        match target_id.filter(|_| self.gate_admits(purpose)) {
            None => self.defer(request_id, actions),
            Some(target_id) if self.send_attempt(request_id, target_id, purpose, actions) => {}
            Some(_) => self.shed_or_fail(request_id, actions),
        }
    }

    /// Whether the limits on calls in flight and on calls per window admit one more call. Records the
    /// result in the ratio of blocked calls. The limit per window is at least the limit on calls in flight:
    /// the window is hardly longer than a call takes, so a lower limit would make the other one ineffective.
    /// Also, the quota share of one of many balancers is only one or two calls per window, a number that
    /// random variation often exceeds.
    pub(super) fn gate_admits(&mut self, purpose: Purpose) -> bool {
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

    /// Schedules a request to be sent again after a random backoff, because the gate blocked its call, the
    /// origin rejected the call or no server is available for it. If the backoff ends too late to earn value,
    /// the request is ended instead, unless an attempt is in flight.
    pub(super) fn defer(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
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

    /// Returns the random backoff of a blocked call of a class.
    pub(super) fn jittered_backoff(&mut self, class: usize) -> Micros {
        let latency_target = self.settings.classes[class].latency_target as f64;
        (latency_target
            * (MIN_BACKOFF_FRACTION_OF_LATENCY_TARGET
                + (MAX_BACKOFF_FRACTION_OF_LATENCY_TARGET - MIN_BACKOFF_FRACTION_OF_LATENCY_TARGET)
                    * self.rng.next_unit())) as Micros
            + 1
    }

    /// Lowers the gate's limit on calls in flight, down to a floor, when the origin is slow, failing or
    /// rejecting calls; good answers raise the limit again. Prevents the overload of a congested origin.
    pub(super) fn record_origin_outcome(
        &mut self,
        attempt: &Attempt,
        outcome: &Outcome,
        actions: &mut Vec<Action>,
    ) {
        let response_time = self.servers.get(&attempt.server).map_or(0.0, |server| server.response_time);
        let slow_limit = self.origin_latency_target as f64 * ORIGIN_SLOW_FRACTION_OF_LATENCY_TARGET;
        let slow = response_time > slow_limit;
        // A call that was abandoned before it was slow, because the client's time-out is short, is no sign
        // that the origin is slow.
        let abandoned_early =
            outcome.status.abandoned() && ((self.now - attempt.sent_at) as f64) < slow_limit;
        // A fixed ceiling would block calls to an idle origin when there are many short requests.
        let max_limit = (self.expected_request_rate()
            * GATE_CEILING_FRACTION_OF_LATENCY_TARGET
            * self.latency_target as f64
            / 1e6)
            .max(GATE_CEILING_CALLS);
        let gate = &mut self.gate;
        let previous_limit = gate.limit;
        // A malformed answer and a broken connection are no signs of congestion; a malformed answer counts as
        // good.
        if matches!(outcome.status, Status::Success | Status::Malformed) && !slow {
            gate.limit = (gate.limit + 1.0 / gate.limit).min(max_limit);
        } else if (outcome.status != Status::Reset || slow)
            && outcome.status != Status::NotSent
            && !abandoned_early
            // The origin has answered later calls: this answer was lost on its way, which is no sign of
            // congestion.
            && !attempt.presumed_lost
            && attempt.sent_at >= gate.reduced_at
        {
            // Calls that were in flight together lower the limit only once.
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
}
