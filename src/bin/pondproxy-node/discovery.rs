//! The calls to discovery in progress: which of them are current, and which have been superseded. Does not
//! decide when a call is made, and does not look into the lists that calls receive.
//!
//! The node counts as notified of a change, whether or not it has received the change, when discovery writes
//! it to one of the node's watches, when the local agent learns of it, or, without a working watch, after a
//! time limit. From then on, sending to a draining or removed server must stop within the drain grace time.

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

/// Shortest pause before a watch on pushed lists is reopened. The pause doubles after each watch that was not
/// stable.
const MIN_REOPEN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause before a watch on pushed lists is reopened. A watch that was open for longer than this was
/// stable.
const MAX_REOPEN_PAUSE: Duration = Duration::from_secs(2);
/// The longest pause is also at most the drain grace time divided by this, but not below `MIN_REOPEN_PAUSE`.
/// The node counts as notified of a change as soon as the local agent learns of it, even while no watch is
/// open, so the watch must be open again well before the drain grace time has passed.
const MAX_PAUSE_GRACE_DIVISOR: u32 = 4;
/// Maximum number of superseded calls that are still open; each holds a descriptor of the node's reserve.
const MAX_SUPERSEDED_CALLS: usize = 3;

/// Identifies a call to discovery; never reused.
pub type CallId = u64;

/// An event of a call to discovery.
#[derive(Debug)]
pub enum CallEvent {
    /// A complete list, or a change of the list.
    List(ListUpdate),
    /// The complete entries of a list that was truncated.
    PartialList(ListUpdate),
    /// Discovery accepted the connection of the call.
    Connected,
    /// The first list, or the empty line that stands for no change, has been received.
    Synchronized,
    /// A watch on pushed lists failed or ended, and is reopened after a pause.
    Reopening(CallEnd),
    /// The call failed or the watch ended.
    Failed(CallEnd),
}

/// How a call failed or a watch ended.
#[derive(Debug)]
pub struct CallEnd {
    pub failure: DiscoveryFailure,
    /// Time for which changes may have been missed.
    pub since_last_contact: Duration,
}

/// Whether the events of a call still apply.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CallStatus {
    /// The lists that the call receives come into force.
    Current,
    /// A new call replaces this one and has not been answered yet.
    Superseded,
    /// The call has ended, or the call that replaces it has been answered.
    Ended,
}

/// A call in progress; dropping it aborts the call.
struct CallTask {
    id: CallId,
    task: AbortHandle,
}

impl Drop for CallTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The calls to discovery in progress.
pub struct Discovery {
    address: SocketAddr,
    /// The address from the next watch on, if discovery has moved.
    next_address: Option<SocketAddr>,
    /// Version of the list in force.
    index: Arc<AtomicU64>,
    event_sender: mpsc::Sender<NodeEvent>,
    watch: Option<CallTask>,
    /// Watches that the present watch has superseded. They stay open until the present one is answered: the
    /// node counts as notified of changes that discovery writes to them, and the new call may be queued or
    /// rejected.
    superseded: VecDeque<CallTask>,
    fetch: Option<CallTask>,
    last_call_id: CallId,
    /// Id of the latest watch on pushed lists; the task of an older one does not reopen its watch.
    latest_watch_id: Arc<AtomicU64>,
    drain_grace: Duration,
}

impl Discovery {
    /// Returns the state before the first call to discovery at `address`. `index` is the version of the list
    /// in force, `drain_grace` the time within which sending to a draining server must stop.
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

    /// Sets the address to which the next watch is opened. Until then the watch at the former address stays
    /// open, because the former discovery keeps serving for a while after a move.
    pub fn move_to(&mut self, address: SocketAddr) {
        self.next_address = Some(address);
    }

    /// Whether discovery has moved and its new address is not in use yet.
    pub fn move_pending(&self) -> bool {
        self.next_address.is_some()
    }

    /// Returns the latest known address of discovery.
    pub fn address(&self) -> SocketAddr {
        self.next_address.unwrap_or(self.address)
    }

    /// Returns whether the events of a call still apply.
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

    /// Closes the superseded calls; called once the present call has been answered.
    pub fn close_superseded(&mut self) {
        self.superseded.clear();
    }

    /// Forgets a call that has ended by itself.
    pub fn call_ended(&mut self, id: CallId) {
        self.watch.take_if(|call| call.id == id);
        self.fetch.take_if(|call| call.id == id);
        self.superseded.retain(|call| call.id != id);
    }

    /// Returns the version of the list in force.
    pub fn index(&self) -> u64 {
        self.index.load(Ordering::Relaxed)
    }

    /// Sets the version of the list in force.
    pub fn set_index(&self, index: u64) {
        self.index.store(index, Ordering::Relaxed);
    }

    /// Opens a watch, which supersedes an open one; closes all watches if `subscribed` is `false`.
    pub fn subscribe(&mut self, subscribed: bool) {
        let call_parameters = self.new_watch_call();
        if !subscribed {
            // Creating the call has moved the open watch to `superseded`.
            return self.superseded.clear();
        }
        let (id, index) = (call_parameters.id, self.index.clone());
        let call = call_parameters.start();
        self.watch = Some(spawn_call(id, async move { call.watch(&index).await }));
    }

    /// Requests the complete list once.
    pub fn fetch(&mut self) {
        let call_parameters = self.new_call();
        self.fetch = Some(spawn_call(call_parameters.id, call_parameters.start().fetch()));
    }

    /// Opens a watch that reopens itself whenever it ends. For deployments that push lists: an agent on the
    /// local machine receives them and serves the watch.
    pub fn watch_pushed_lists(&mut self) {
        let call_parameters = self.new_watch_call();
        let (id, index, drain_grace) = (call_parameters.id, self.index.clone(), self.drain_grace);
        self.latest_watch_id.store(id, Ordering::Relaxed);
        let latest_watch_id = self.latest_watch_id.clone();
        let keep_watch_open = async move {
            let mut pause = MIN_REOPEN_PAUSE;
            // A superseded watch stays open until it ends and is not reopened.
            while latest_watch_id.load(Ordering::Relaxed) == id {
                let opened_at = Instant::now();
                call_parameters.start().watch_quietly(&index).await;
                pause = next_reopen_pause(pause, opened_at.elapsed(), drain_grace);
                tokio::time::sleep(pause).await;
            }
        };
        self.watch = Some(spawn_call(id, keep_watch_open));
    }

    /// Returns the parameters of a new watch at the present address of discovery, and supersedes the open
    /// watch. After a move, the version is reset, so that the complete list is requested: the new discovery
    /// has its own version numbers, and might never send a change to a watch that asks for changes after a
    /// version of the former discovery.
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

    /// Returns the parameters of a new call to the address that was called last.
    fn new_call(&mut self) -> CallParameters {
        self.last_call_id += 1;
        CallParameters {
            id: self.last_call_id,
            address: self.address,
            event_sender: self.event_sender.clone(),
        }
    }
}

/// Parameters that a call starts with.
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

/// Returns the pause before a watch on pushed lists is reopened, from the previous pause and the time for
/// which the watch was open.
fn next_reopen_pause(previous: Duration, open_duration: Duration, drain_grace: Duration) -> Duration {
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
                pause = next_reopen_pause(pause, Duration::from_millis(1), grace);
                longest = longest.max(pause);
            }
            let bound = (grace / 2).min(MAX_REOPEN_PAUSE);
            assert!(
                longest <= bound && longest >= MIN_REOPEN_PAUSE,
                "longest pause {longest:?} with a drain grace time of {grace:?}"
            );
            let after_stable_watch = next_reopen_pause(longest, Duration::from_secs(60), grace);
            assert_eq!(
                after_stable_watch, MIN_REOPEN_PAUSE,
                "after a watch that was open for long, whether or not it received anything"
            );
        }
    }
}
