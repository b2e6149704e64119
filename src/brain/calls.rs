//! When discovery is called, the part of `brain.rs` that keeps the calls of many balancers out of step. It
//! must not know how a call is made, only how the last one ended.

use crate::interface::{Action, CallFailure, Micros};
use crate::state::*;

/// Calls are spread over these parts of the time within which discovery is to be asked: for each further
/// balancer, and for each beyond so many as may wait in its line with no harm.
const CALL_SPREAD: (f64, f64, u32) = (1.0 / 150.0, 1.0 / 40.0, 4);
/// What discovery has, and can be asked for, counts as told 6 s later, however the calls before ended. What
/// is left of that to a call itself is enough to connect and to be served: where many call, a line costs
/// all the same time.
const CALL_BY: Micros = 5_500_000;
/// Calls to a discovery that moved are spread over this time at the most: what it has to tell counts as
/// told 4 s after the move, so that there must be time left for the call itself.
const MOVED_SPREAD: f64 = 2_500_000.0;
/// Silences in a row, after which discovery is asked less and less often.
const SILENT_TRIES: u32 = 2;
/// Backoff after calls that discovery took and that failed: from this part of the time within which it is
/// to be asked, doubled so many times.
const BACKOFF: (f64, u32) = (1.0 / 16.0, 3);
/// A large fleet may be too much for discovery to serve in time. After each so many calls in a row that it
/// took and that failed, the pause grows by this factor, twice at most: else all that it came to would be
/// calls that have waited for too long. A few such calls only tell of an outage, and must not be answered
/// so.
const TOO_MANY: (u32, f64) = (8, 2.0);
/// From one call to the next, the least part of the period. Constant but for this jitter, the periods keep
/// the calls of many balancers as far apart as chance has put the first of them.
const JITTER: f64 = 0.9;

impl Policy {
    /// Time over which the calls of all balancers to discovery are spread. It takes them one after another,
    /// and one that has waited too long there fails and costs it as much: where many restart at once and
    /// call in step, all but the first few fail, and so they do when they all call again soon.
    pub(super) fn calls_spread(&self) -> f64 {
        let others = f64::from(self.settings.balancers.saturating_sub(1)) * CALL_SPREAD.0;
        let crowd = f64::from(self.settings.balancers.saturating_sub(CALL_SPREAD.2)) * CALL_SPREAD.1;
        (self.settings.ask_within as f64 * others.max(crowd)).min(CALL_BY as f64)
    }

    /// Against a call in step: a configuration may move discovery for all balancers at once.
    pub(super) fn discovery_moved(&mut self) {
        let after = self.calls_spread().min(MOVED_SPREAD) * self.rng.unit();
        self.call_after(after as Micros);
    }

    /// One call stands for all that were asked for meanwhile: each costs discovery the same.
    pub(super) fn call_after(&mut self, after: Micros) {
        let at = self.now + after;
        if self.call_at.is_none_or(|pending| at < pending) {
            self.call_at = Some(at);
            self.wakes.at(at, Wake::Subscribe);
        }
    }

    /// A call has come to nothing, or the watch has ended: when is the next? In time for all that discovery
    /// may have had since this balancer last heard of it, or called it. Within that, a call that discovery
    /// never took cost it nothing, and the next one soon finds out that it is back; one that it took cost
    /// it as much as one that is served, so that the next ones come later each time.
    pub(super) fn discovery_failed(&mut self, failure: CallFailure, unheard: Micros, out: &mut Vec<Action>) {
        let (taken, first) = (failure != CallFailure::Unreachable, self.failed_calls == 0);
        let (unheard, latest) = (unheard as f64, CALL_BY.saturating_sub(unheard) as f64);
        let (spread, least) = (self.calls_spread(), self.settings.ask_within as f64 * BACKOFF.0);
        let doubled = f64::from(1 << if taken { self.failed_calls.min(BACKOFF.1) } else { 0 });
        let (from, to) = match failure {
            CallFailure::Silent if self.failed_calls < SILENT_TRIES => (0.0, spread),
            _ if first => (least / 2.0, least.max(spread) + least / 2.0),
            _ => {
                let period = (least * doubled).max(spread - unheard);
                (period * JITTER, period)
            }
        };
        let rounds = if taken && spread >= CALL_BY as f64 { self.failed_calls / TOO_MANY.0 } else { 0 };
        let grown = TOO_MANY.1.powi(rounds.min(2) as i32);
        let (from, to) = (from.min(latest) * grown, to.min(latest) * grown);
        let after = (from + (to - from) * self.rng.unit()) as Micros;
        self.failed_calls = if taken { self.failed_calls + 1 } else { 1 };
        self.call_after(after);
        out.push(Action::Log(format!("discovery {}: asking again in {} ms", failure.text(), after / 1_000)));
    }
}
