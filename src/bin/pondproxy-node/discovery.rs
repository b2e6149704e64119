//! The calls to discovery that are out: which one is in force, and which it has superseded. Decides nothing of when one
//! is made, and does not look into what they bring.

mod call;
mod list;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use pondproxy::DiscoveryFailure;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::event_loop::NodeEvent;
use call::Call;
pub use list::{Endpoint, ListUpdate};

/// Pauses before a watch on pushed lists is opened again: the first, and the longest.
const MIN_REOPEN_PAUSE: Duration = Duration::from_millis(100);
const MAX_REOPEN_PAUSE: Duration = Duration::from_secs(2);
/// The longest is no more than this part of the time within which sends to a server that drains must stop:
/// what the agent learns counts as notified at once, also while no watch is open.
const MAX_PAUSE_GRACE_DIVISOR: u32 = 4;
/// Calls that were superseded and have not ended yet, at most: each holds a descriptor of the node's reserve.
const MAX_SUPERSEDED_CALLS: usize = 3;

/// Names a call to discovery; never used twice.
pub type CallId = u64;

/// What a call to discovery brings.
#[derive(Debug)]
pub enum CallEvent {
    /// A list or a change.
    List(ListUpdate),
    /// What came whole of a list that was cut off.
    PartialList(ListUpdate),
    /// All that discovery had to tell at first has come.
    Synchronized,
    /// The call failed or the watch ended, and for how long nothing had been heard.
    Failed { failure: DiscoveryFailure, since_last_contact: Duration },
}

/// How a call stands to the others.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CallStatus {
    /// What it brings is in force.
    Current,
    /// Another was made in its place and has not been answered yet.
    Superseded,
    /// It is over, or the one in its place has been answered.
    Ended,
}

/// A call that is out; ends when dropped.
struct CallTask {
    id: CallId,
    task: AbortHandle,
}

impl Drop for CallTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The calls to discovery that are out.
pub struct Discovery {
    address: SocketAddr,
    /// Where it is from the next call on.
    next_address: Option<SocketAddr>,
    /// Version of the list held.
    index: Arc<AtomicU64>,
    event_sender: mpsc::Sender<NodeEvent>,
    watch: Option<CallTask>,
    /// Watches that the present one has superseded. They go on until it is answered: what discovery writes to them counts
    /// as notified, and the new call may wait in line or be turned away.
    superseded: VecDeque<CallTask>,
    fetch: Option<CallTask>,
    /// The call that was made last.
    last_call_id: CallId,
    /// The watch that was opened last, for those that would open theirs again.
    latest_watch_id: Arc<AtomicU64>,
    drain_grace: Duration,
}

impl Discovery {
    /// Discovery at an address, where a list of a version is held; sends to servers that drain must stop within
    /// a grace.
    pub fn new(
        address: SocketAddr,
        index: u64,
        drain_grace: Duration,
        event_sender: mpsc::Sender<NodeEvent>,
    ) -> Self {
        Discovery {
            address,
            next_address: None,
            index: Arc::new(AtomicU64::new(index)),
            event_sender,
            watch: None,
            superseded: VecDeque::new(),
            fetch: None,
            last_call_id: 0,
            latest_watch_id: Arc::default(),
            drain_grace,
        }
    }

    /// Discovery is at another address from the next call on. Until then the watch at the old one stays, which
    /// goes on for a while after a move.
    pub fn move_to(&mut self, address: SocketAddr) {
        self.next_address = Some(address);
    }

    /// Whether it has moved, and no call has been made since.
    pub fn move_pending(&self) -> bool {
        self.next_address.is_some()
    }

    /// Where discovery is.
    pub fn address(&self) -> SocketAddr {
        self.next_address.unwrap_or(self.address)
    }

    /// How a call stands to the others.
    pub fn call_status(&self, id: CallId) -> CallStatus {
        let has_id = |call: &CallTask| call.id == id;
        if self.watch.iter().chain(&self.fetch).any(has_id) {
            CallStatus::Current
        } else if self.superseded.iter().any(has_id) {
            CallStatus::Superseded
        } else {
            CallStatus::Ended
        }
    }

    /// The call in force is answered: those that it has superseded are of no more use.
    pub fn close_superseded(&mut self) {
        self.superseded.clear();
    }

    /// A call has ended by itself.
    pub fn call_ended(&mut self, id: CallId) {
        self.watch.take_if(|call| call.id == id);
        self.fetch.take_if(|call| call.id == id);
        self.superseded.retain(|call| call.id != id);
    }

    /// Version of the list held.
    pub fn index(&self) -> u64 {
        self.index.load(Ordering::Relaxed)
    }

    /// A list of a version is held now.
    pub fn set_index(&self, index: u64) {
        self.index.store(index, Ordering::Relaxed);
    }

    /// Begins the watch, anew if there is one, or ends it.
    pub fn subscribe(&mut self, subscribed: bool) {
        let call_parameters = self.new_watch_call();
        if !subscribed {
            return self.superseded.clear();
        }
        let (id, index) = (call_parameters.id, self.index.clone());
        let call = call_parameters.start();
        self.watch = Some(spawn_call(id, async move { call.watch(&index).await }));
    }

    /// Asks for the whole list once.
    pub fn fetch(&mut self) {
        let call_parameters = self.new_call();
        self.fetch = Some(spawn_call(call_parameters.id, call_parameters.start().fetch()));
    }

    /// Where lists are pushed, an agent on this machine has them: its watch is opened again by itself.
    pub fn watch_pushed_lists(&mut self) {
        let call_parameters = self.new_watch_call();
        let (id, index, drain_grace) = (call_parameters.id, self.index.clone(), self.drain_grace);
        self.latest_watch_id.store(id, Ordering::Relaxed);
        let latest_watch_id = self.latest_watch_id.clone();
        let keep_watch_open = async move {
            let mut pause = MIN_REOPEN_PAUSE;
            // One that was superseded stays to its end and is not opened again.
            while latest_watch_id.load(Ordering::Relaxed) == id {
                let opened_at = Instant::now();
                call_parameters.start().watch_quietly(&index).await;
                pause = next_backoff(pause, opened_at.elapsed(), drain_grace);
                tokio::time::sleep(pause).await;
            }
        };
        self.watch = Some(spawn_call(id, keep_watch_open));
    }

    /// Turns to where discovery is now, and sets the watch that is open aside until the next call is answered. Against a
    /// list that stands still: a new discovery counts versions in its own way, so that the whole list is taken from it.
    fn new_watch_call(&mut self) -> CallParameters {
        self.superseded.extend(self.watch.take());
        if self.superseded.len() > MAX_SUPERSEDED_CALLS {
            self.superseded.pop_front();
        }
        if let Some(address) = self.next_address.take() {
            (self.address, self.index, self.fetch) = (address, Arc::default(), None);
        }
        self.new_call()
    }

    /// A call to where discovery was called last.
    fn new_call(&mut self) -> CallParameters {
        self.last_call_id += 1;
        CallParameters {
            id: self.last_call_id,
            address: self.address,
            event_sender: self.event_sender.clone(),
        }
    }
}

/// All that a call needs to begin.
struct CallParameters {
    id: CallId,
    address: SocketAddr,
    event_sender: mpsc::Sender<NodeEvent>,
}

impl CallParameters {
    fn start(&self) -> Call {
        Call::new(self.id, self.address, self.event_sender.clone())
    }
}

fn spawn_call(id: CallId, call: impl Future<Output = ()> + Send + 'static) -> CallTask {
    CallTask { id, task: tokio::spawn(call).abort_handle() }
}

/// The pause after a watch on pushed lists that stood for some time, and after a pause before it.
fn next_backoff(previous: Duration, open_duration: Duration, drain_grace: Duration) -> Duration {
    let max_pause = (drain_grace / MAX_PAUSE_GRACE_DIVISOR).clamp(MIN_REOPEN_PAUSE, MAX_REOPEN_PAUSE);
    if open_duration > MAX_REOPEN_PAUSE { MIN_REOPEN_PAUSE } else { (previous * 2).min(max_pause) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_watch_on_pushed_lists_reopens_within_half_of_the_drain_grace_time() {
        for grace in [200, 700, 2_000, 60_000].map(Duration::from_millis) {
            let (mut pause, mut longest) = (MIN_REOPEN_PAUSE, Duration::ZERO);
            for _ in 0..20 {
                pause = next_backoff(pause, Duration::from_millis(1), grace);
                longest = longest.max(pause);
            }
            let bound = (grace / 2).min(MAX_REOPEN_PAUSE);
            assert!(longest <= bound && longest >= MIN_REOPEN_PAUSE, "{longest:?} of a grace of {grace:?}");
            let after_stable_watch = next_backoff(longest, Duration::from_secs(60), grace);
            assert_eq!(
                after_stable_watch, MIN_REOPEN_PAUSE,
                "one that stood for long, whether or not it had anything to tell"
            );
        }
    }
}
