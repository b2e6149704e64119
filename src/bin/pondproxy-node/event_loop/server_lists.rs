//! The part of the event loop that handles events of calls to discovery. A complete list or a change of the
//! list that a current call receives comes into force; of a truncated list, or of one that a superseded call
//! receives, only the withdrawals are applied.

use pondproxy::{Event, ListKind, Micros};

use super::Node;
use crate::discovery::{CallEnd, CallEvent, CallId, CallStatus, ListUpdate};
use crate::log;
use crate::server_table::ListChanges;

impl Node {
    /// Handles an event of a call to discovery.
    pub(super) fn handle_discovery_event(&mut self, call_id: CallId, event: CallEvent) {
        let call_status = self.discovery.call_status(call_id);
        match (call_status, event) {
            (CallStatus::Current, CallEvent::List(update)) => self.apply_list(update, None),
            (CallStatus::Current, CallEvent::Connected) => self.dispatch_event(Event::DiscoveryConnected),
            (CallStatus::Current, CallEvent::Synchronized) => {
                self.discovery.close_superseded();
                // After a move, an answer from the former address does not settle the call that is owed.
                if !self.discovery.move_pending() {
                    self.dispatch_event(Event::DiscoverySynchronized);
                }
            }
            (CallStatus::Current, CallEvent::Reopening(end)) => self.dispatch_discovery_failure(&end),
            (CallStatus::Current, CallEvent::Failed(end)) => {
                self.discovery.call_ended(call_id);
                // After a move, the discovery at the former address ends its watches. That is not a failure,
                // and a call to the new address follows soon.
                if !self.discovery.move_pending() {
                    self.dispatch_discovery_failure(&end);
                }
            }
            (CallStatus::Superseded, CallEvent::List(update)) => self.apply_withdrawn_servers(&update),
            (CallStatus::Current | CallStatus::Superseded, CallEvent::PartialList(update)) => {
                self.apply_withdrawn_servers(&update)
            }
            (CallStatus::Superseded, CallEvent::Failed(_)) => self.discovery.call_ended(call_id),
            // Only a current call closes superseded ones. Events of an ended call no longer apply, for
            // example because the call that replaces it has been answered and its lists are in force.
            (
                CallStatus::Superseded,
                CallEvent::Connected | CallEvent::Synchronized | CallEvent::Reopening(_),
            )
            | (CallStatus::Ended, _) => {}
        }
    }

    /// Tells the decision module that a call failed or that a watch ended.
    fn dispatch_discovery_failure(&mut self, end: &CallEnd) {
        self.dispatch_event(Event::DiscoveryFailed {
            failure: end.failure,
            since_last_contact: end.since_last_contact.as_micros() as Micros,
        });
    }

    /// Applies only the withdrawals of a list that was truncated or that a superseded call received. Such a
    /// list does not come into force, but the node counts as notified of the servers that it lists as
    /// draining or removed: sending to them must stop within the drain grace time.
    fn apply_withdrawn_servers(&mut self, update: &ListUpdate) {
        let changes = self.servers.apply_withdrawals(update, self.clock.now());
        if !changes.entries.is_empty() {
            self.apply_changes(ListKind::Withdrawal, update.index, changes);
        }
    }

    /// Puts a list or a change of the list into force; without a `kind`, the update itself states which it
    /// is.
    pub(super) fn apply_list(&mut self, update: ListUpdate, kind: Option<ListKind>) {
        let kind = kind.unwrap_or(if update.snapshot { ListKind::Full } else { ListKind::Delta });
        if kind == ListKind::Delta && update.index < self.discovery.index() {
            return; // Older than the list in force.
        }
        self.discovery.set_index(update.index);
        let changes = self.servers.apply(kind, &update.endpoints, self.clock.now());
        self.apply_changes(kind, update.index, changes);
    }

    /// Applies the changes that a list made: logs them, closes the idle connections to servers that have
    /// moved or no longer accept requests, and notifies the decision module.
    fn apply_changes(&mut self, kind: ListKind, index: u64, changes: ListChanges) {
        let summary = changes.summary();
        if !summary.is_empty() {
            log(&format!("server list version {index} ({kind:?}): {summary}"));
        }
        for id in changes.close_idle {
            self.pool.close_idle(id);
        }
        self.dispatch_event(Event::ServerList { kind, servers: changes.entries });
    }
}
