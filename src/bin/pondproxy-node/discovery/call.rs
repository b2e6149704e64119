//! One call to discovery: sends the request and reports the lists that it receives until it ends. Knows
//! nothing of other calls.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use pondproxy::DiscoveryFailure;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

use super::list::{self, ListReader, ListUpdate, MalformedList};
use super::{CallEnd, CallEvent, CallId};
use crate::event_loop::NodeEvent;
use crate::http::{self, ChunkedDecoder};
use crate::log;
use crate::stream_io;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which discovery, which queues calls, must send the head of its response. The node counts as
/// notified of a change 6 s after discovery stopped responding. If a watch times out and the next call does
/// too, this limit and `WATCH_IDLE_TIMEOUT` still leave time for a third call.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without a list or an empty line after which a call has failed; on a watch, discovery sends a line
/// every 2 s.
pub(super) const WATCH_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Size of one read from the socket.
const READ_SIZE_BYTES: usize = 16 * 1024;
/// Maximum size of one list.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Why a call to discovery ended.
enum CallError {
    /// The connection was not established: discovery never accepted the call.
    Unreachable(std::io::Error),
    /// The connection failed after it was established.
    Io(std::io::Error),
    /// The response head, or the next list or empty line, did not arrive in time.
    TimedOut,
    /// Discovery rejected the call with this HTTP status.
    Status(u16),
    /// The response is not a valid list; the previous list stays in force.
    Malformed,
    /// The response ended before it was complete, possibly within a list.
    Truncated,
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CallError::Unreachable(e) => write!(f, "cannot connect: {e}"),
            CallError::Io(e) => write!(f, "{e}"),
            CallError::TimedOut => write!(f, "timed out waiting for a response or for the next list"),
            CallError::Status(status) => write!(f, "rejected with HTTP status {status}"),
            CallError::Malformed => write!(f, "response is not a valid server list"),
            CallError::Truncated => write!(f, "response truncated"),
        }
    }
}

impl CallError {
    /// Classifies the error for the decision module; `synchronized` is whether the call had received a list
    /// or an empty line.
    fn failure(&self, synchronized: bool) -> DiscoveryFailure {
        match self {
            CallError::Unreachable(e) if e.kind() == ErrorKind::ConnectionRefused => {
                DiscoveryFailure::Refused
            }
            CallError::Unreachable(_) => DiscoveryFailure::Unreachable,
            CallError::TimedOut => DiscoveryFailure::TimedOut,
            CallError::Truncated => DiscoveryFailure::Interrupted,
            // A connection reset discards what discovery has written and the node has not read yet.
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

/// A call, and the channel for its events.
pub struct Call {
    id: CallId,
    address: SocketAddr,
    event_sender: mpsc::Sender<NodeEvent>,
    /// Time up to which all changes that discovery had to report have been received.
    last_contact_at: Instant,
    /// Whether a list, or the empty line that stands for no change, has been received.
    synchronized: bool,
}

impl Call {
    /// Returns a call that has not been made yet; its time without contact counts from now.
    pub fn new(id: CallId, address: SocketAddr, event_sender: mpsc::Sender<NodeEvent>) -> Self {
        Call { id, address, event_sender, last_contact_at: Instant::now(), synchronized: false }
    }

    /// Opens a watch for changes after version `index`, or for the complete list if that is 0, and reports
    /// how it ended.
    pub async fn watch(mut self, index: &AtomicU64) {
        let result = self.receive_lists(&watch_path(index)).await;
        self.report_end(result).await;
    }

    /// Like [`Self::watch`], but reports that the watch will be reopened, and logs a failure only if a list
    /// or an empty line was received before it.
    pub async fn watch_quietly(mut self, index: &AtomicU64) {
        let result = self.receive_lists(&watch_path(index)).await;
        if let Err(e) = &result
            && self.synchronized
        {
            log(&format!("discovery: {e}"));
        }
        self.report(CallEvent::Reopening(self.end(result))).await;
    }

    /// Requests the complete list once; reports the end of the call only if it failed.
    pub async fn fetch(mut self) {
        let result = self.receive_lists("/v1/servers").await;
        if result.is_err() {
            self.report_end(result).await;
        }
    }

    async fn report(&self, event: CallEvent) {
        let _ = self.event_sender.send(NodeEvent::Discovery(self.id, event)).await;
    }

    /// Logs how the call ended, and reports the end as a failure, even if there was no error. The kind of
    /// failure determines when the next call is made.
    async fn report_end(&self, result: Result<(), CallError>) {
        match &result {
            Ok(()) => log("discovery: watch ended"),
            Err(e) => log(&format!("discovery: {e}")),
        }
        self.report(CallEvent::Failed(self.end(result))).await;
    }

    /// Returns how a call with this result ended. The end of a watch is a failure even if there was no error.
    fn end(&self, result: Result<(), CallError>) -> CallEnd {
        let failure = result.err().map_or(DiscoveryFailure::Failed, |e| e.failure(self.synchronized));
        CallEnd { failure, since_last_contact: self.last_contact_at.elapsed() }
    }

    /// Makes the call and reports each list of the response until the response ends.
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
        self.report(CallEvent::Connected).await;
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
        // Only a complete list or an empty line extends the deadline; bytes that trickle in without
        // completing a list do not.
        let mut read_deadline = Instant::now() + WATCH_IDLE_TIMEOUT;
        loop {
            body.consume(raw)?;
            if self.report_lists(body).await? {
                read_deadline = self.last_contact_at + WATCH_IDLE_TIMEOUT;
            }
            if body.ended {
                // Remaining content is a truncated list.
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
                    // The connection ended between two lists, so until then there were no further changes.
                    self.last_contact_at = Instant::now();
                }
                read?;
                return Err(CallError::Truncated);
            }
        }
    }

    /// Reports the complete entries of a truncated list.
    async fn report_partial_list(&self, content: &[u8]) {
        let endpoints = list::complete_entries(content);
        if !endpoints.is_empty() {
            self.report(CallEvent::PartialList(ListUpdate { endpoints, ..ListUpdate::default() })).await;
        }
    }

    /// Reports the complete lists; returns whether there was a list or an empty line.
    async fn report_lists(&mut self, body: &mut Body) -> Result<bool, CallError> {
        let parsed = body.list_reader.take_lists(&mut body.content)?;
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

/// Reads until the head of the response is complete, and removes the head from `raw`. Bytes that trickle in
/// do not extend the deadline.
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

/// The body of a response.
#[derive(Default)]
struct Body {
    /// Decoded content that has not been parsed as a list yet.
    content: BytesMut,
    /// Finds the lists in the content.
    list_reader: ListReader,
    /// Decoder for a chunked body.
    chunked_decoder: Option<ChunkedDecoder>,
    /// Bytes still to come of a body that is not chunked; at first `usize::MAX` if no length is stated.
    remaining_bytes: usize,
    /// Whether the body is complete.
    ended: bool,
}

impl Body {
    /// Moves the bytes of the body from `raw` to the content.
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
