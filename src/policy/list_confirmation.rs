//! Use of the cached server list after a restart where lists are pushed: whether requests may be sent by it
//! before discovery has answered the first watch. Must not know how a watch is opened, only what became of
//! its calls.
//!
//! The balancer counts as notified of all changes that the local agent of discovery has, from the first
//! moment of its process, whether or not a call has succeeded. Any server of the cached list may be draining,
//! so sends by this list must stop within the drain grace time. While discovery is down the agent reports
//! nothing, and what it has at its return counts from then on.
#![deny(clippy::too_many_lines, clippy::cognitive_complexity)]

use crate::interface::{Action, DiscoveryFailure, Micros};
use crate::state::{ListConfirmation, Policy, TimerTask};

/// Time before the end of the drain grace time at which sends by an unconfirmed list stop. A node may be held
/// up for 0.15 s between its decision and its write, and may wait for unread input of the client.
const SEND_MARGIN_US: Micros = 250_000;
/// Longest time without a confirmation after which the cached list is used all the same. A restarted balancer
/// must be ready within 10 s.
const MAX_CONFIRMATION_WAIT_US: Micros = 9_000_000;

impl Policy {
    /// Whether clients may be sent to this balancer, as far as its server list is concerned.
    pub fn is_list_settled(&self) -> bool {
        !matches!(self.list_confirmation, ListConfirmation::Awaited { .. })
    }

    /// Whether a request may be sent at the time `now` to a server that the list in force shows as ready.
    pub fn list_is_usable(&self, now: Micros) -> bool {
        match self.list_confirmation {
            ListConfirmation::Awaited { since, .. } => now < since + self.unconfirmed_use_time(),
            ListConfirmation::Confirmed | ListConfirmation::DiscoveryDown { .. } => true,
        }
    }

    /// Returns the time for which an unconfirmed list may be used.
    fn unconfirmed_use_time(&self) -> Micros {
        self.settings.drain_grace_time.saturating_sub(SEND_MARGIN_US)
    }

    /// Starts to wait for the confirmation of the list; the balancer counts as notified since `since`.
    pub(super) fn await_list_confirmation(&mut self, since: Micros, connected: bool) {
        let until = self.now + MAX_CONFIRMATION_WAIT_US;
        self.list_confirmation = ListConfirmation::Awaited { since, until, connected };
        self.timers.schedule(since + self.unconfirmed_use_time(), TimerTask::ListConfirmationReview);
        self.timers.schedule(until, TimerTask::ListConfirmationReview);
    }

    /// Records that the list in force holds all that discovery had to report.
    pub(super) fn confirm_list(&mut self) {
        self.list_confirmation = ListConfirmation::Confirmed;
    }

    /// Records that discovery accepted a call. If it was down before, its changes count as notified since its
    /// return, which may have followed the last refused connection at once.
    pub(super) fn note_discovery_connected(&mut self) {
        match &mut self.list_confirmation {
            ListConfirmation::Awaited { connected, .. } => *connected = true,
            ListConfirmation::DiscoveryDown { refused_at } => {
                let returned_at = *refused_at;
                self.await_list_confirmation(returned_at, true)
            }
            ListConfirmation::Confirmed => {}
        }
    }

    /// Records a failed call. A refused connection shows that discovery is down, unless it has accepted a
    /// call before: then the agent had changes to report, and they still count.
    pub(super) fn note_failed_discovery_call(
        &mut self,
        failure: DiscoveryFailure,
        actions: &mut Vec<Action>,
    ) {
        if failure != DiscoveryFailure::Refused {
            return;
        }
        match &mut self.list_confirmation {
            ListConfirmation::Awaited { connected: false, .. } => {
                self.list_confirmation = ListConfirmation::DiscoveryDown { refused_at: self.now };
                actions.push(Action::Log("discovery is down: using the list from before the restart".into()));
            }
            ListConfirmation::DiscoveryDown { refused_at } => *refused_at = self.now,
            ListConfirmation::Awaited { .. } | ListConfirmation::Confirmed => {}
        }
    }

    /// Logs that sends have stopped, or ends the wait for a confirmation that took too long.
    pub(super) fn review_list_confirmation(&mut self, actions: &mut Vec<Action>) {
        let ListConfirmation::Awaited { until, .. } = self.list_confirmation else { return };
        if self.now >= until {
            self.confirm_list();
            actions.push(Action::Log(format!(
                "no list from discovery in {} s: using the list from before the restart",
                MAX_CONFIRMATION_WAIT_US / 1_000_000
            )));
        } else if !self.list_is_usable(self.now) {
            actions.push(Action::Log(
                "no list from discovery yet: requests are refused until it sends one".into(),
            ));
        }
    }
}
