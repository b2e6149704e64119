//! One call to discovery: makes it, and reports what it brings until it ends. Knows nothing of other calls.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use pondproxy::DiscoveryFailure;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

use super::list::{self, ListUpdate, MalformedList};
use super::{CallEvent, CallId};
use crate::event_loop::NodeEvent;
use crate::http::{self, ChunkedDecoder};
use crate::log;
use crate::stream_io;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Calls wait in turn at discovery: it is given this long to begin its answer. What it has to tell counts as
/// notified six seconds after it fell silent, and the call after a silence may be silent too: with these two limits
/// there is time for a third.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A watch brings a line every two seconds: one that is silent for longer is dead.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Answers are read in pieces of this size.
const READ_SIZE_BYTES: usize = 16 * 1024;
/// The longest list.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Why a call to discovery ended.
enum CallError {
    /// No connection came about: discovery never took it.
    Unreachable(std::io::Error),
    /// It broke.
    Io(std::io::Error),
    /// It was silent for too long.
    TimedOut,
    /// It was turned away.
    Status(u16),
    /// It brought what is no list; the list held stays in force.
    Malformed,
    /// Its answer ended before it was whole, perhaps in a list.
    Truncated,
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CallError::Unreachable(e) => write!(f, "no connection: {e}"),
            CallError::Io(e) => write!(f, "{e}"),
            CallError::TimedOut => write!(f, "silent for too long"),
            CallError::Status(status) => write!(f, "answered with status {status}"),
            CallError::Malformed => write!(f, "brought no list"),
            CallError::Truncated => write!(f, "its answer was cut off"),
        }
    }
}

impl CallError {
    /// What it means for the next call, of one that was answered or not.
    fn failure(&self, synchronized: bool) -> DiscoveryFailure {
        match self {
            CallError::Unreachable(_) => DiscoveryFailure::Unreachable,
            CallError::TimedOut => DiscoveryFailure::TimedOut,
            CallError::Truncated => DiscoveryFailure::Interrupted,
            // A reset takes with it what was written and not yet read.
            CallError::Io(_) if synchronized => DiscoveryFailure::Interrupted,
            CallError::Io(_) | CallError::Status(_) | CallError::Malformed => DiscoveryFailure::Failed,
        }
    }
}

impl From<std::io::Error> for CallError {
    fn from(e: std::io::Error) -> Self {
        CallError::Io(e)
    }
}

impl From<http::MalformedResponse> for CallError {
    fn from(_: http::MalformedResponse) -> Self {
        CallError::Malformed
    }
}

impl From<MalformedList> for CallError {
    fn from(_: MalformedList) -> Self {
        CallError::Malformed
    }
}

/// A call, and where its news goes.
pub struct Call {
    id: CallId,
    address: SocketAddr,
    event_sender: mpsc::Sender<NodeEvent>,
    /// Until when all that discovery had to tell has been heard.
    last_contact_at: Instant,
    /// Whether anything has been heard.
    synchronized: bool,
}

impl Call {
    /// A call that begins now.
    pub fn new(id: CallId, address: SocketAddr, event_sender: mpsc::Sender<NodeEvent>) -> Self {
        Call { id, address, event_sender, last_contact_at: Instant::now(), synchronized: false }
    }

    /// Opens a watch on what changes after a version, and reports how it ended.
    pub async fn watch(mut self, index: &AtomicU64) {
        let result = self.receive_lists(&watch_path(index)).await;
        self.report_end(result).await;
    }

    /// Opens a watch and reports nothing of its end, which is logged only if it brought something.
    pub async fn watch_quietly(mut self, index: &AtomicU64) {
        let result = self.receive_lists(&watch_path(index)).await;
        if let Err(e) = result
            && self.synchronized
        {
            log(&format!("discovery: {e}"));
        }
    }

    /// Asks for the whole list once.
    pub async fn fetch(mut self) {
        let result = self.receive_lists("/v1/servers").await;
        if result.is_err() {
            self.report_end(result).await;
        }
    }

    async fn report(&self, event: CallEvent) {
        let _ = self.event_sender.send(NodeEvent::Discovery(self.id, event)).await;
    }

    /// Logs how the call ended, and tells as much as matters for the next.
    async fn report_end(&self, result: Result<(), CallError>) {
        match &result {
            Ok(()) => log("discovery: the watch has ended"),
            Err(e) => log(&format!("discovery: {e}")),
        }
        let failure = result.err().map_or(DiscoveryFailure::Failed, |e| e.failure(self.synchronized));
        self.report(CallEvent::Failed { failure, since_last_contact: self.last_contact_at.elapsed() }).await;
    }

    /// Makes the call and reports each list of its answer, until that ends.
    async fn receive_lists(&mut self, path: &str) -> Result<(), CallError> {
        let started_at = Instant::now();
        let stream = self.connect(path).await?;
        let mut raw = BytesMut::new();
        let head = read_head(&stream, &mut raw).await?;
        if head.status != 200 {
            return Err(CallError::Status(head.status));
        }
        log(&format!("discovery: {} answers after {} ms", self.address, started_at.elapsed().as_millis()));
        let mut body = Body { remaining_bytes: head.content_length.unwrap_or(usize::MAX), ..Body::default() };
        body.chunked_decoder = head.chunked.then(ChunkedDecoder::default);
        let result = self.read_lists(&stream, &mut raw, &mut body).await;
        if result.is_err() {
            self.report_partial_list(&body.content).await;
        }
        result
    }

    async fn connect(&self, path: &str) -> Result<TcpStream, CallError> {
        let address = self.address;
        log(&format!("discovery: calling {address}{path}"));
        let connect = async { timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await? };
        let stream = connect.await.map_err(CallError::Unreachable)?;
        let _ = stream.set_nodelay(true);
        let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
        stream_io::write_all(&stream, request.as_bytes()).await?;
        Ok(stream)
    }

    async fn read_lists(
        &mut self,
        stream: &TcpStream,
        raw: &mut BytesMut,
        body: &mut Body,
    ) -> Result<(), CallError> {
        // All limits are points in time: what trickles in moves none of them.
        let mut read_deadline = Instant::now() + WATCH_IDLE_TIMEOUT;
        loop {
            body.consume(raw)?;
            if (body.ended || body.content.contains(&b'\n')) && self.report_lists(&mut body.content).await? {
                read_deadline = self.last_contact_at + WATCH_IDLE_TIMEOUT;
            }
            if body.ended {
                // What is left over is a list that was cut off.
                return if body.content.is_empty() { Ok(()) } else { Err(CallError::Truncated) };
            }
            if body.content.len() > MAX_LIST_BYTES {
                return Err(CallError::Malformed);
            }
            let read = timeout_at(read_deadline, read_available(stream, raw))
                .await
                .map_err(|_| CallError::TimedOut)?;
            if !matches!(read, Ok(count) if count > 0) {
                if self.synchronized && body.content.is_empty() {
                    // Between two lists: up to the break there was no more to tell.
                    self.last_contact_at = Instant::now();
                }
                read?;
                return Err(CallError::Truncated);
            }
        }
    }

    /// Reports what came whole of a list that was cut off.
    async fn report_partial_list(&self, content: &[u8]) {
        let endpoints = list::whole_entries(content);
        if !endpoints.is_empty() {
            self.report(CallEvent::PartialList(ListUpdate { endpoints, ..ListUpdate::default() })).await;
        }
    }

    /// Reports the lists that are whole; tells whether there was one, or an empty line.
    async fn report_lists(&mut self, content: &mut BytesMut) -> Result<bool, CallError> {
        let parsed = list::take_lists(content)?;
        for list in parsed.lists {
            self.report(CallEvent::List(list)).await;
        }
        if parsed.any_received {
            self.last_contact_at = Instant::now();
            if !std::mem::replace(&mut self.synchronized, true) {
                self.report(CallEvent::Synchronized).await;
            }
        }
        Ok(parsed.any_received)
    }
}

async fn read_available(stream: &TcpStream, raw: &mut BytesMut) -> std::io::Result<usize> {
    raw.reserve(READ_SIZE_BYTES);
    stream_io::read(stream, raw).await
}

fn watch_path(index: &AtomicU64) -> String {
    match index.load(Ordering::Relaxed) {
        0 => "/v1/servers?watch=1".into(),
        version => format!("/v1/servers?watch=1&after={version}"),
    }
}

/// Reads until the head of the answer is whole, and takes it off what was read.
async fn read_head(stream: &TcpStream, raw: &mut BytesMut) -> Result<http::ResponseHead, CallError> {
    let read_deadline = Instant::now() + RESPONSE_HEAD_TIMEOUT;
    loop {
        let count = timeout_at(read_deadline, read_available(stream, raw))
            .await
            .map_err(|_| CallError::TimedOut)??;
        if let Some(head) = http::head(raw)? {
            let _ = raw.split_to(head.length);
            return Ok(head);
        }
        if count == 0 {
            return Err(CallError::Malformed);
        }
    }
}

/// The body of an answer.
#[derive(Default)]
struct Body {
    /// Its content, as far as it was not taken for a list.
    content: BytesMut,
    /// Takes the chunks apart, where it comes in such.
    chunked_decoder: Option<ChunkedDecoder>,
    /// What is still to come of a stated length.
    remaining_bytes: usize,
    /// Nothing more belongs to it.
    ended: bool,
}

impl Body {
    /// Takes what belongs to it off what was read.
    fn consume(&mut self, raw: &mut BytesMut) -> Result<(), http::MalformedResponse> {
        if let Some(chunked_decoder) = &mut self.chunked_decoder {
            self.ended |= chunked_decoder.decode(raw, &mut self.content)?;
        } else {
            let body_part = raw.split_to(raw.len().min(self.remaining_bytes));
            self.remaining_bytes -= body_part.len();
            self.content.extend_from_slice(&body_part);
            self.ended |= self.remaining_bytes == 0;
        }
        Ok(())
    }
}
