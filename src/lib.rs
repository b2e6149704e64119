//! Routing decisions of a balancer in front of a fleet of cache servers, as a pure and deterministic state
//! machine.
//!
//! A [`Policy`] makes the decisions of one balancer. It receives each [`Event`] with its time and returns the
//! [`Action`]s to carry out. It has no clock, no threads and no I/O: the node that embeds it owns the
//! sockets.
//!
//! ```
//! use pondproxy::{Action, Event, ListKind, Policy, Request, ServerEntry, ServerState, Settings};
//!
//! let settings = Settings::default();
//! let mut policy = Policy::new(settings, 42);
//! let mut actions = Vec::new();
//!
//! // The balancer starts at an arbitrary clock value (microseconds) with its last known server list.
//! let servers = vec![
//!     ServerEntry { id: 7, state: ServerState::Ready, ..ServerEntry::default() },
//!     ServerEntry { id: 9, state: ServerState::Ready, ..ServerEntry::default() },
//! ];
//! policy.handle(1_000_000, Event::ServerList { kind: ListKind::Cached, servers }, &mut actions);
//!
//! // A client reads a key; the policy selects the first cache server to try.
//! let request = Request { id: 1, key: 0xfeed, time_left: 500_000, ..Request::default() };
//! policy.handle(1_000_100, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: 1, server: 7 | 9, .. })));
//! ```

pub mod interface;
mod policy;
pub mod settings;
mod state;
pub mod timer_queue;

pub use interface::*;
pub use state::Policy;

/// Runs the example of the README as a test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
pub struct Readme;
