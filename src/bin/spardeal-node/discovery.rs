//! Discovery: the whole list, and the watch on its changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use serde::Deserialize;
use spardeal::CallFailure;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout, timeout_at};

use crate::http::{self, Chunks};
use crate::log;
use crate::node::Input;

/// A list of servers, or a change of it.
#[derive(Deserialize, Default, Debug)]
pub struct Listing {
    /// Its version.
    #[serde(default)]
    pub index: u64,
    /// Whether it is whole.
    #[serde(default)]
    pub snapshot: bool,
    /// Its entries.
    pub endpoints: Vec<Endpoint>,
}

/// A server of the list.
#[derive(Deserialize, Debug)]
pub struct Endpoint {
    pub name: String,
    #[serde(default)]
    pub address: String,
    #[serde(default)]
    pub zone: String,
    #[serde(default, rename = "type")]
    pub kind: String,
    #[serde(default)]
    pub group: u16,
    pub status: String,
    #[serde(default = "one")]
    pub weight: f32,
    #[serde(default)]
    pub since_ms: u64,
}

fn one() -> f32 {
    1.0
}

const CONNECT: Duration = Duration::from_secs(1);
/// Calls wait in turn at discovery: it is given this long to begin its answer. What it has to tell counts as
/// told six seconds after it fell silent, and the call after a silence may be silent too: with these two limits
/// there is time for a third.
const ANSWER: Duration = Duration::from_millis(2_500);
/// A watch brings a line every two seconds: one that is silent for longer is dead.
const SILENCE: Duration = Duration::from_millis(2_500);
/// Pauses before a watch on pushed lists is opened again: the first, and the longest.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// The longest is no more than this part of the time within which sends to a server that drains must stop:
/// what the agent learns counts as told at once, also while no watch is open.
const GRACE_PART: u32 = 4;
/// Answers are read in pieces of this size.
const PIECE: usize = 16 * 1024;
/// The longest list.
const MAX_LIST: usize = 4 * 1024 * 1024;

/// Tells what one discovery said from what the next one says: versions of different ones can't be compared.
pub type Era = u64;

/// Where a call's news goes, and whose it is.
#[derive(Clone)]
struct Line {
    hub: mpsc::Sender<Input>,
    era: Era,
}

/// The calls to discovery that are out: one watch and one whole list at most.
pub struct Discovery {
    address: SocketAddr,
    /// Where it is from the next call on.
    moved: Option<SocketAddr>,
    /// Version of the list held.
    index: Arc<AtomicU64>,
    hub: mpsc::Sender<Input>,
    watch: Option<AbortHandle>,
    fetch: Option<AbortHandle>,
    /// Counts the moves from one discovery to another.
    era: Era,
    drain_grace: Duration,
}

impl Discovery {
    /// Discovery at an address, where a list of a version is held; sends to servers that drain must stop within
    /// a grace.
    pub fn new(address: SocketAddr, index: u64, drain_grace: Duration, hub: mpsc::Sender<Input>) -> Self {
        let index = Arc::new(AtomicU64::new(index));
        Discovery { address, moved: None, index, hub, watch: None, fetch: None, era: 0, drain_grace }
    }

    /// Discovery is at another address from the next call on. Until then the watch at the old one stays, which
    /// goes on for a while after a move.
    pub fn move_to(&mut self, address: SocketAddr) {
        self.moved = Some(address);
    }

    /// Whether it has moved, and no call has been made since.
    pub fn moving(&self) -> bool {
        self.moved.is_some()
    }

    /// Ends the calls that are out and turns to where discovery is now. Against a list that stands still: a new
    /// one counts versions in its own way, so that the whole list is taken from it.
    fn turn(&mut self) {
        self.watch.take().inspect(AbortHandle::abort);
        if let Some(address) = self.moved.take() {
            self.fetch.take().inspect(AbortHandle::abort);
            (self.address, self.index) = (address, Arc::default());
            self.era += 1;
        }
    }

    /// Where discovery is.
    pub fn address(&self) -> SocketAddr {
        self.moved.unwrap_or(self.address)
    }

    /// Whether news is of the discovery that is in force.
    pub fn present(&self, era: Era) -> bool {
        era == self.era
    }

    fn line(&self) -> Line {
        Line { hub: self.hub.clone(), era: self.era }
    }

    /// Version of the list held.
    pub fn index(&self) -> u64 {
        self.index.load(Ordering::Relaxed)
    }

    /// A list of a version is held now.
    pub fn held(&self, index: u64) {
        self.index.store(index, Ordering::Relaxed);
    }

    /// Begins the watch, anew if there is one, or ends it.
    pub fn subscribe(&mut self, on: bool) {
        self.turn();
        let (address, line, index) = (self.address, self.line(), self.index.clone());
        let call = async move {
            let mut heard = Instant::now();
            let called = watch(address, &index, &line, &mut heard).await;
            line.failed(called, heard).await;
        };
        self.watch = on.then(|| tokio::spawn(call).abort_handle());
    }

    /// Asks for the whole list once.
    pub fn fetch(&mut self) {
        self.fetch.take().inspect(AbortHandle::abort);
        let (address, line) = (self.address, self.line());
        let call = async move {
            let mut heard = Instant::now();
            let called = lists(address, "/v1/servers", &line, &mut heard).await;
            if called.is_err() {
                line.failed(called, heard).await;
            }
        };
        self.fetch = Some(tokio::spawn(call).abort_handle());
    }

    /// Where lists are pushed, an agent on this machine has them: its watch is opened again by itself.
    pub fn follow(&mut self) {
        self.turn();
        let (address, line, index) = (self.address, self.line(), self.index.clone());
        let drain_grace = self.drain_grace;
        let call = async move {
            let mut pause = BACKOFF.0;
            loop {
                let begun = Instant::now();
                let _ = watch(address, &index, &line, &mut Instant::now()).await;
                pause = next_pause(pause, begun.elapsed(), drain_grace);
                tokio::time::sleep(pause).await;
            }
        };
        self.watch = Some(tokio::spawn(call).abort_handle());
    }
}

/// The pause after a watch on pushed lists that stood for some time, and after a pause before it.
fn next_pause(before: Duration, stood: Duration, drain_grace: Duration) -> Duration {
    let longest = (drain_grace / GRACE_PART).clamp(BACKOFF.0, BACKOFF.1);
    if stood > BACKOFF.1 { BACKOFF.0 } else { (before * 2).min(longest) }
}

/// Why a call to discovery ended.
enum CallError {
    /// No connection came about: discovery never took it.
    Unreachable(std::io::Error),
    /// It broke.
    Io(std::io::Error),
    /// It was silent for too long.
    Silent,
    /// It was turned away.
    Status(u16),
    /// It brought what is no list; the list held stays in force.
    Garbage,
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CallError::Unreachable(e) => write!(f, "no connection: {e}"),
            CallError::Io(e) => write!(f, "{e}"),
            CallError::Silent => write!(f, "silent for too long"),
            CallError::Status(status) => write!(f, "answered with status {status}"),
            CallError::Garbage => write!(f, "brought no list, or one that was cut off"),
        }
    }
}

impl From<std::io::Error> for CallError {
    fn from(e: std::io::Error) -> Self {
        CallError::Io(e)
    }
}

async fn watch(
    address: SocketAddr,
    index: &AtomicU64,
    line: &Line,
    heard: &mut Instant,
) -> Result<(), CallError> {
    let path = match index.load(Ordering::Relaxed) {
        0 => "/v1/servers?watch=1".into(),
        held => format!("/v1/servers?watch=1&after={held}"),
    };
    lists(address, &path, line, heard).await
}

impl Line {
    /// Logs how a call ended, and tells as much as matters for the next.
    async fn failed(&self, called: Result<(), CallError>, heard: Instant) {
        match &called {
            Ok(()) => log("discovery: the watch has ended"),
            Err(e) => log(&format!("discovery: {e}")),
        }
        let failure = match called {
            Err(CallError::Unreachable(_)) => CallFailure::Unreachable,
            Err(CallError::Silent) => CallFailure::Silent,
            _ => CallFailure::Failed,
        };
        let _ = self.hub.send(Input::ListFailed(self.era, failure, heard.elapsed())).await;
    }
}

/// Makes a call and passes on each line of its answer that holds a list, until the answer ends. Keeps until when
/// all that discovery had to tell has been heard.
async fn lists(address: SocketAddr, path: &str, to: &Line, heard: &mut Instant) -> Result<(), CallError> {
    let silent = |_| CallError::Silent;
    let called = Instant::now();
    log(&format!("discovery: calling {address}{path}"));
    let connect = async { timeout(CONNECT, TcpStream::connect(address)).await? };
    let mut stream = connect.await.map_err(CallError::Unreachable)?;
    let _ = stream.set_nodelay(true);
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let (mut raw, mut body) = (BytesMut::new(), BytesMut::new());
    // All limits are points in time: what trickles in moves none of them.
    let by = Instant::now() + ANSWER;
    let head = loop {
        raw.reserve(PIECE);
        let count = timeout_at(by, stream.read_buf(&mut raw)).await.map_err(silent)??;
        match http::head(&raw).map_err(|_| CallError::Garbage)? {
            Some(head) => break head,
            None if count == 0 => return Err(CallError::Garbage),
            None => {}
        }
    };
    if head.status != 200 {
        return Err(CallError::Status(head.status));
    }
    log(&format!("discovery: {address} answers after {} ms", called.elapsed().as_millis()));
    let _ = raw.split_to(head.length);
    let mut chunks = Chunks::default();
    let mut left = head.content_length.unwrap_or(usize::MAX);
    let (mut ended, mut told) = (false, false);
    let mut by = Instant::now() + SILENCE;
    loop {
        if head.chunked {
            ended |= chunks.take(&mut raw, &mut body).map_err(|_| CallError::Garbage)?;
        } else {
            let part = raw.split_to(raw.len().min(left));
            left -= part.len();
            body.extend_from_slice(&part);
            ended |= left == 0;
        }
        // Lists may come indented: what ends one is its end, not that of a line.
        if (ended || body.contains(&b'\n')) && pass_on(&mut body, to).await? {
            (*heard, told) = (Instant::now(), true);
            by = *heard + SILENCE;
        }
        if ended {
            // What is left over is a list that was cut off.
            return if body.is_empty() { Ok(()) } else { Err(CallError::Garbage) };
        }
        if body.len() > MAX_LIST {
            return Err(CallError::Garbage);
        }
        raw.reserve(PIECE);
        let read = timeout_at(by, stream.read_buf(&mut raw)).await.map_err(silent)?;
        if !matches!(read, Ok(count) if count > 0) {
            if told && body.is_empty() {
                // Between two lists: up to the break there was no more to tell.
                *heard = Instant::now();
            }
            read?;
            return Err(CallError::Garbage);
        }
    }
}

/// Takes the lists that are whole off the front and passes them on; tells whether there was one, or an empty
/// line.
async fn pass_on(body: &mut BytesMut, to: &Line) -> Result<bool, CallError> {
    let mut lists = serde_json::Deserializer::from_slice(body).into_iter::<Listing>();
    let (mut whole, mut taken) = (Vec::new(), 0);
    while let Some(list) = lists.next() {
        match list {
            Ok(list) => {
                whole.push(list);
                taken = lists.byte_offset();
            }
            Err(e) if e.is_eof() => break,
            Err(_) => return Err(CallError::Garbage),
        }
    }
    let rest = &body[taken..];
    let blank = rest.len() - rest.trim_ascii_start().len();
    let heard = taken > 0 || rest[..blank].contains(&b'\n');
    body.advance(taken + blank);
    for list in whole {
        let _ = to.hub.send(Input::List(to.era, list)).await;
    }
    Ok(heard)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_watch_on_pushed_lists_is_opened_again_well_within_the_grace_of_a_drain() {
        for grace in [200, 700, 2_000, 60_000].map(Duration::from_millis) {
            let (mut pause, mut longest) = (BACKOFF.0, Duration::ZERO);
            for _ in 0..20 {
                pause = next_pause(pause, Duration::from_millis(1), grace);
                longest = longest.max(pause);
            }
            let bound = (grace / 2).min(BACKOFF.1);
            assert!(longest <= bound && longest >= BACKOFF.0, "{longest:?} of a grace of {grace:?}");
            let again = next_pause(longest, Duration::from_secs(60), grace);
            assert_eq!(again, BACKOFF.0, "one that stood for long, whether or not it had anything to tell");
        }
    }
}
