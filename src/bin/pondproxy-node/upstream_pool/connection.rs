//! One connection to a server: the task that opens it, writes a request at a time and reads the reply. Knows
//! nothing of other connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use pondproxy::settings::Deployment;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::ConnId;
use super::reply::{
    MalformedReply, REPLY_OVERHEAD_BYTES, ReplyDecoder, ReplyMemory, ServerReply, UNRESERVED_REPLY_BYTES,
};
use crate::client_socket::{ClientLiveness, ClientPresence};
use crate::event_loop::NodeEvent;
use crate::memory_budget::MemoryBudget;
use crate::resp::MAX_VALUE_BYTES;
use crate::stream_io::{self, PeekResult};

/// A reply that has begun counts as malformed if no more of it arrives within the longest latency target of a
/// class divided by this.
const PARTIAL_REPLY_TIMEOUT_DIVISOR: u64 = 8;
/// Shortest and longest time-out for the rest of a reply, whatever the latency targets.
const MIN_PARTIAL_REPLY_TIMEOUT: Duration = Duration::from_millis(10);
const MAX_PARTIAL_REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum length of the value in a server's reply.
const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;
/// The value in a server's reply may be at most as long as the memory budget divided by this.
const MAX_REPLY_MEMORY_DIVISOR: usize = 4;
/// Minimum space for one read of a reply.
const MIN_READ_BYTES: usize = 2048;
/// Time-out for the first byte of a reply. In effect unlimited, because the event loop gives attempts up by
/// closing their connections.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(3600);

/// What a connection's task reports to the event loop.
#[derive(Debug)]
pub enum ConnEvent {
    /// The connection is open, and nothing has been written to it.
    Connected,
    /// The reply to the request that the connection carried.
    Reply(ServerReply),
    /// The server sent a reply that cannot be parsed, or did not send the rest of one in time. The request
    /// may have been executed, and the server is reachable.
    Malformed(MalformedReply),
    /// The request was not written because its client has disconnected, or because it is unknown whether the
    /// client is still connected. The connection can carry another request.
    NotSent { client_disconnected: bool },
    /// The connection could not be opened or was lost; `written` tells whether the last byte of its request
    /// may have been written.
    Failed { written: bool },
}

impl ConnEvent {
    /// Whether the connection can carry another request after this event.
    fn keeps_connection(&self) -> bool {
        match self {
            ConnEvent::Connected | ConnEvent::NotSent { .. } => true,
            ConnEvent::Reply(reply) => reply.keep_alive,
            ConnEvent::Malformed(_) | ConnEvent::Failed { .. } => false,
        }
    }
}

/// The protocol that a server speaks.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Protocol {
    Resp,
    Http,
}

/// A request for a connection to carry.
pub struct ConnRequest {
    pub request: Bytes,
    pub client: ClientLiveness,
}

/// Whether the kernel shows neither unread bytes nor the end of a connection.
fn nothing_received(stream: &TcpStream) -> bool {
    stream_io::peek(stream) == PeekResult::Empty
}

/// Writes a whole request; returns `false` if the connection was lost or the client disconnected before that.
async fn write_request(stream: &TcpStream, request: &[u8], client: &ClientLiveness) -> bool {
    let mut unwritten = request;
    while !unwritten.is_empty() {
        // A partly written request is not completed once its client has disconnected.
        if unwritten.len() < request.len() && client.disconnected() {
            return false;
        }
        match stream_io::write(stream, unwritten).await {
            Ok(count) if count > 0 => unwritten = &unwritten[count..],
            _ => return false,
        }
    }
    true
}

/// The task that owns one connection.
pub struct ConnTask {
    pub id: ConnId,
    pub protocol: Protocol,
    pub deployment: Arc<Deployment>,
    pub memory: MemoryBudget,
    pub request_receiver: mpsc::Receiver<ConnRequest>,
    pub event_sender: mpsc::Sender<NodeEvent>,
}

impl ConnTask {
    /// Opens the connection and carries requests one after the other, until the connection is lost.
    pub async fn run(&mut self, address: SocketAddr) -> ConnEvent {
        let Some(stream) = self.connect(address).await else { return ConnEvent::Failed { written: false } };
        let mut event = ConnEvent::Connected;
        loop {
            if self.event_sender.send(NodeEvent::Connection(self.id, event)).await.is_err() {
                return ConnEvent::Failed { written: false };
            }
            let Some(request) = self.receive_request(&stream).await else {
                return ConnEvent::Failed { written: false };
            };
            event = self.carry(&stream, request).await;
            if !event.keeps_connection() {
                return event;
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Option<TcpStream> {
        // A host that is down does not answer at all, so connecting has its own time-out.
        let connect_timeout = Duration::from_micros(self.deployment.settings.connect_timeout.max(1_000));
        let stream = tokio::time::timeout(connect_timeout, TcpStream::connect(address)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(stream)
    }

    /// Waits for the next request; returns `None` if the connection is lost or no longer needed.
    async fn receive_request(&mut self, stream: &TcpStream) -> Option<ConnRequest> {
        let mut unexpected_input = BytesMut::new();
        tokio::select! {
            // Reading is polled first: nothing is written to a connection that the server has closed, so a
            // request for it is known not to have been executed.
            biased;
            _ = stream_io::read(stream, &mut unexpected_input) => None,
            request = self.request_receiver.recv() => request,
        }
    }

    /// Writes a request and reads its reply.
    async fn carry(&self, stream: &TcpStream, conn_request: ConnRequest) -> ConnEvent {
        let ConnRequest { request, client } = conn_request;
        // The client may have disconnected since its request was given to this connection; the server should
        // not execute such a request.
        match client.presence_after_unread_input().await {
            ClientPresence::Connected => {}
            ClientPresence::Disconnected => return ConnEvent::NotSent { client_disconnected: true },
            ClientPresence::Unknown => return ConnEvent::NotSent { client_disconnected: false },
        }
        // A close, or a reply that belongs to no request, may have arrived without a report by the runtime so
        // far. The kernel is asked, so that no request is written after either.
        if !nothing_received(stream) || !write_request(stream, &request, &client).await {
            return ConnEvent::Failed { written: false };
        }
        drop(request);
        let mut buffer = BytesMut::new();
        let reply = match self.read_reply(stream, &mut buffer).await {
            Ok(reply) => reply,
            Err(event) => return event,
        };
        // Bytes after the reply belong to no request, and nothing after them could be matched to one.
        let has_extra_bytes = !buffer.is_empty() || !nothing_received(stream);
        ConnEvent::Reply(ServerReply { keep_alive: reply.keep_alive && !has_extra_bytes, ..reply })
    }

    /// Reads until the reply to the request that was written is complete. `buffer` must be empty at first,
    /// and what follows the reply is left in it.
    async fn read_reply(&self, stream: &TcpStream, buffer: &mut BytesMut) -> Result<ServerReply, ConnEvent> {
        let max_reply_bytes = self.max_reply_bytes();
        let mut decoder = ReplyDecoder::new(self.protocol, max_reply_bytes);
        let mut memory = ReplyMemory::new(&self.memory);
        let mut read_timeout = FIRST_BYTE_TIMEOUT;
        loop {
            buffer.reserve(MIN_READ_BYTES);
            match tokio::time::timeout(read_timeout, stream_io::read(stream, buffer)).await {
                Ok(Ok(count)) if count > 0 => {}
                Ok(_) => return Err(ConnEvent::Failed { written: true }),
                Err(_) => return Err(ConnEvent::Malformed(MalformedReply::Stalled)),
            }
            // The rest of a reply should follow its beginning at once. Without this limit, a line or value
            // that never ends would block its request. A reply that stalls counts as malformed instead, and
            // its request can still go to another server.
            read_timeout = self.partial_reply_timeout();
            let load_names = &self.deployment.load_field_names;
            if let Some(reply) = decoder.decode(buffer, load_names).map_err(ConnEvent::Malformed)? {
                return Ok(reply);
            }
            let received_bytes = buffer.len() + decoder.held_bytes();
            if received_bytes > UNRESERVED_REPLY_BYTES && !memory.is_reserved() {
                let declared_length = decoder.declared_length(buffer).unwrap_or(0).min(max_reply_bytes);
                memory.reserve(declared_length.max(MAX_VALUE_BYTES)).await;
                buffer.reserve(declared_length.saturating_sub(received_bytes) + REPLY_OVERHEAD_BYTES);
            }
            if !memory.grow_to(received_bytes) {
                return Err(ConnEvent::Malformed(MalformedReply::NoMemory));
            }
        }
    }

    /// Time without any input after which a reply that has begun counts as malformed.
    fn partial_reply_timeout(&self) -> Duration {
        let classes = &self.deployment.settings.classes;
        let longest_target = classes.iter().map(|class| class.latency_target).max().unwrap_or(0);
        let timeout = Duration::from_micros(longest_target / PARTIAL_REPLY_TIMEOUT_DIVISOR);
        timeout.clamp(MIN_PARTIAL_REPLY_TIMEOUT, MAX_PARTIAL_REPLY_TIMEOUT)
    }

    /// Maximum length of a value in a reply. Servers may hold longer values than clients may send through
    /// this node, so the memory budget sets the limit.
    fn max_reply_bytes(&self) -> usize {
        (self.memory.total_bytes() / MAX_REPLY_MEMORY_DIVISOR).min(MAX_REPLY_BYTES)
    }
}
