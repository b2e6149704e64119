//! When discovery is called, the part of `brain.rs` that keeps the calls of many balancers out of step.

use crate::interface::{Action, Micros};
use crate::state::*;

/// Part of the time within which discovery is to be asked that each further balancer's call takes.
const CALL_SPREAD: f64 = 1.0 / 150.0;
/// A call after one that failed is put off by these parts of that time at the most: the least and the longest
/// wait. What is left of it the call itself may take, at a discovery that serves all in turn.
const RECALL: (f64, f64) = (0.1, 0.9);
/// Calls to a discovery that moved are spread over this time at the most: what it has to tell counts as told
/// 4 s after the move, so that there must be time left for the call itself.
const MOVED_SPREAD: f64 = 2_500_000.0;
/// Calls after a silence are spread over this time at the most: what was missed counts as told 6 s after the
/// silence began, of which the node takes 2.5 s to be sure of it, and a connection may take 1 s to come up.
const SILENT_SPREAD: f64 = 2_000_000.0;
/// Silences in a row, after which discovery is taken for failed.
const SILENT_TRIES: u32 = 2;

impl Policy {
    /// Time over which the calls of all balancers to discovery are spread. It takes them one after another,
    /// and one that has waited too long there fails and costs it as much: where many restart at once and call
    /// in step, all but the first few fail, and so they do when they all call again soon.
    pub(super) fn calls_spread(&self) -> f64 {
        let others = f64::from(self.settings.balancers.max(1) - 1);
        self.settings.ask_within as f64 * (others * CALL_SPREAD).min(1.0)
    }

    /// Against a call in step: a configuration may move discovery for all balancers at once.
    pub(super) fn discovery_moved(&mut self) {
        let after = self.calls_spread().min(MOVED_SPREAD) * self.rng.unit();
        self.wake(after as Micros, Wake::Subscribe);
    }

    /// Against what a silent discovery does not tell: the next call can't be put off for as long as after a
    /// failure, which tells that discovery is down or overbooked.
    pub(super) fn discovery_silent(&mut self, out: &mut Vec<Action>) {
        if self.subscribe_tries >= SILENT_TRIES {
            return self.discovery_failed(out);
        }
        self.subscribe_tries += 1;
        let after = self.calls_spread().min(SILENT_SPREAD) * self.rng.unit();
        self.wake(after as Micros, Wake::Subscribe);
        out.push(Action::Log("discovery is silent: asking again".into()));
    }

    /// Discovery has little capacity: it is asked again later each time, and not by all at once. But while no
    /// watch is open each change counts as told so long after it was made as discovery may go unasked.
    pub(super) fn discovery_failed(&mut self, out: &mut Vec<Action>) {
        let all = self.settings.ask_within as f64;
        let base = (all / 16.0).max(self.calls_spread()) * f64::from(1 << self.subscribe_tries.min(3));
        self.subscribe_tries += 1;
        let (least, most) = ((base * 0.5).min(all * RECALL.0), (base * 1.5).min(all * RECALL.1));
        let delay = least + (most - least) * self.rng.unit();
        self.wake(delay as Micros, Wake::Subscribe);
        out.push(Action::Log("discovery call failed or subscription lost: asking again".into()));
    }
}
