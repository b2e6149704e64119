//! What the event loop does with news of calls to discovery: which lists are in force, and what is taken from the others.

use pondproxy::{Event, ListKind, Micros};

use super::Node;
use crate::discovery::{CallId, CallNews, Listing, Standing};
use crate::log;
use crate::server_table::Changes;

impl Node {
    /// News of a call to discovery.
    pub(super) fn discovery_news(&mut self, call: CallId, news: CallNews) {
        let standing = self.discovery.standing(call);
        match (standing, news) {
            (Standing::InForce, CallNews::List(listing)) => self.list(listing, None),
            (Standing::InForce, CallNews::Answered) => self.discovery.answered(),
            (Standing::InForce, CallNews::Failed { failure, unheard }) => {
                self.discovery.ended(call);
                // Where discovery has moved, the former one ends its watches, and the next call is to be made soon.
                if !self.discovery.moving() {
                    self.tell(Event::DiscoveryFailed {
                        failure,
                        since_last_contact: unheard.as_micros() as Micros,
                    });
                }
            }
            (Standing::Replaced, CallNews::List(listing)) => self.withdraw(&listing),
            (Standing::InForce | Standing::Replaced, CallNews::Fragment(listing)) => self.withdraw(&listing),
            (Standing::Replaced, CallNews::Failed { .. }) => self.discovery.ended(call),
            // The view of a discovery whose successor has answered is no longer in force.
            (Standing::Replaced, CallNews::Answered) | (Standing::Ended, _) => {}
        }
    }

    /// A list that was cut off, or of a call that another is to replace. It is not the list in force, but what it
    /// has told of servers that drain or are gone counts as notified.
    fn withdraw(&mut self, listing: &Listing) {
        let changes = self.servers.withdraw(listing, self.clock.now());
        if !changes.lines.is_empty() {
            self.take_over(ListKind::Withdrawal, listing.index, changes);
        }
    }

    /// A list or a change of it comes into force.
    pub(super) fn list(&mut self, listing: Listing, kind: Option<ListKind>) {
        let kind = kind.unwrap_or(if listing.snapshot { ListKind::Full } else { ListKind::Delta });
        if kind == ListKind::Delta && listing.index < self.discovery.index() {
            return; // Older than the list held.
        }
        self.discovery.held(listing.index);
        let changes = self.servers.apply(kind, &listing.endpoints, self.clock.now());
        self.take_over(kind, listing.index, changes);
    }

    /// What a list has changed takes effect.
    fn take_over(&mut self, kind: ListKind, index: u64, changes: Changes) {
        let summary = changes.summary();
        if !summary.is_empty() {
            log(&format!("server list version {index} ({kind:?}): {summary}"));
        }
        for id in changes.disconnected {
            self.pool.close_idle(id);
        }
        self.tell(Event::ServerList { kind, servers: changes.lines });
    }
}
