//! The part of the event loop that shuts the node down after SIGTERM or SIGINT: for a moment connections are
//! still accepted, then each one is closed as soon as it has no open request. Requests that are still open
//! shortly before the platform may send SIGKILL get an error, so that the replies behind them on their
//! connections can be written too.

use pondproxy::settings::Deployment;
use pondproxy::{Micros, RequestId};

use super::{Node, NodeTimer};
use crate::client_sessions::Phase;

/// Time after SIGTERM during which connections are still accepted, because clients may open new ones for up
/// to 0.4 s after it.
const ACCEPT_AFTER_TERMINATE_US: Micros = 450_000;
/// The platform may send SIGKILL when the longest deadline of a class and 0.7 s have passed since SIGTERM,
/// but counts at most this much of the deadline.
const MAX_COUNTED_DEADLINE_US: Micros = 3_000_000;
/// Time between the last replies and the exit, in which the sessions write them and close their connections.
const EXIT_DELAY_US: Micros = 100_000;
/// Delay of the first drain check after the drain begins.
const FIRST_DRAIN_CHECK_DELAY_US: Micros = 20_000;
/// Interval between drain checks.
const DRAIN_CHECK_INTERVAL_US: Micros = 10_000;

/// The times of a shutdown.
pub(super) struct Shutdown {
    /// When requests that are still open get an error.
    answer_deadline: Micros,
    /// When the process exits even if clients are connected; `None` before `answer_deadline`.
    exit_at: Option<Micros>,
}

impl Shutdown {
    fn new(deployment: &Deployment, now: Micros) -> Self {
        let longest_deadline = deployment.settings.classes.iter().map(|class| class.deadline).max();
        let counted_deadline = longest_deadline.unwrap_or(0).min(MAX_COUNTED_DEADLINE_US);
        Shutdown { answer_deadline: now + ACCEPT_AFTER_TERMINATE_US + counted_deadline, exit_at: None }
    }
}

impl Node {
    /// Starts the shutdown; does nothing if it has started already.
    pub(super) fn start_shutdown(&mut self) {
        if self.shutdown.is_some() {
            return;
        }
        let now = self.clock.now();
        let shutdown = Shutdown::new(&self.deployment, now);
        let drain_at = now + ACCEPT_AFTER_TERMINATE_US;
        self.timers.schedule(drain_at, NodeTimer::BeginDrain);
        self.timers.schedule(drain_at + FIRST_DRAIN_CHECK_DELAY_US, NodeTimer::DrainCheck);
        self.timers.schedule(shutdown.answer_deadline, NodeTimer::EndOpenRequests);
        for open_request in self.open_requests.values_mut() {
            open_request.deadline = open_request.deadline.min(shutdown.answer_deadline);
        }
        self.shutdown = Some(shutdown);
    }

    /// Returns the deadline of a request that is accepted now: `deadline`, unless the node stops waiting
    /// earlier because it shuts down.
    pub(super) fn limit_deadline(&self, deadline: Micros) -> Micros {
        self.shutdown.as_ref().map_or(deadline, |shutdown| deadline.min(shutdown.answer_deadline))
    }

    /// Stops accepting connections, and has each one closed when it has no open request.
    pub(super) fn begin_drain(&mut self) {
        self.phase.send_replace(Phase::Draining);
    }

    /// Answers all open requests with an error, and has the sessions close their connections.
    pub(super) fn end_open_requests(&mut self, now: Micros) {
        let open_ids: Vec<RequestId> = self.open_requests.keys().copied().collect();
        for id in open_ids {
            self.fail_request(id);
        }
        self.phase.send_replace(Phase::Stopping);
        if let Some(shutdown) = &mut self.shutdown {
            shutdown.exit_at = Some(now + EXIT_DELAY_US);
        }
    }

    /// Schedules the next drain check.
    pub(super) fn schedule_drain_check(&mut self, now: Micros) {
        self.timers.schedule(now + DRAIN_CHECK_INTERVAL_US, NodeTimer::DrainCheck);
    }

    /// Whether the process should exit: every request is finished and no client is connected, or the time for
    /// that has passed.
    pub(super) fn shutdown_complete(&self, now: Micros) -> bool {
        let past_exit_time =
            self.shutdown.as_ref().and_then(|shutdown| shutdown.exit_at).is_some_and(|at| now >= at);
        let all_finished = || self.open_requests.values().all(|open_request| open_request.finished);
        past_exit_time || (all_finished() && self.connection_slots.no_clients())
    }
}
