//! What the event loop does with news of calls to discovery: which lists are in force, and what is taken from the others.

use pondproxy::{Event, ListKind, Micros};

use super::Node;
use crate::discovery::{CallEvent, CallId, CallStatus, ListUpdate};
use crate::log;
use crate::server_table::ListChanges;

impl Node {
    /// News of a call to discovery.
    pub(super) fn handle_discovery_event(&mut self, call_id: CallId, event: CallEvent) {
        let call_status = self.discovery.call_status(call_id);
        match (call_status, event) {
            (CallStatus::Current, CallEvent::List(update)) => self.apply_list(update, None),
            (CallStatus::Current, CallEvent::Synchronized) => self.discovery.close_superseded(),
            (CallStatus::Current, CallEvent::Failed { failure, since_last_contact }) => {
                self.discovery.call_ended(call_id);
                // Where discovery has moved, the former one ends its watches, and the next call is to be made soon.
                if !self.discovery.move_pending() {
                    self.dispatch_event(Event::DiscoveryFailed {
                        failure,
                        since_last_contact: since_last_contact.as_micros() as Micros,
                    });
                }
            }
            (CallStatus::Superseded, CallEvent::List(update)) => self.apply_withdrawn_servers(&update),
            (CallStatus::Current | CallStatus::Superseded, CallEvent::PartialList(update)) => {
                self.apply_withdrawn_servers(&update)
            }
            (CallStatus::Superseded, CallEvent::Failed { .. }) => self.discovery.call_ended(call_id),
            // The view of a discovery whose successor has answered is no longer in force.
            (CallStatus::Superseded, CallEvent::Synchronized) | (CallStatus::Ended, _) => {}
        }
    }

    /// A list that was cut off, or of a call that another is to replace. It is not the list in force, but what it
    /// has told of servers that drain or are gone counts as notified.
    fn apply_withdrawn_servers(&mut self, update: &ListUpdate) {
        let changes = self.servers.apply_withdrawals(update, self.clock.now());
        if !changes.entries.is_empty() {
            self.apply_changes(ListKind::Withdrawal, update.index, changes);
        }
    }

    /// A list or a change of it comes into force.
    pub(super) fn apply_list(&mut self, update: ListUpdate, kind: Option<ListKind>) {
        let kind = kind.unwrap_or(if update.snapshot { ListKind::Full } else { ListKind::Delta });
        if kind == ListKind::Delta && update.index < self.discovery.index() {
            return; // Older than the list held.
        }
        self.discovery.set_index(update.index);
        let changes = self.servers.apply(kind, &update.endpoints, self.clock.now());
        self.apply_changes(kind, update.index, changes);
    }

    /// What a list has changed takes effect.
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
