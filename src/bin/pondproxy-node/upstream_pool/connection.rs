//! One connection to a server: the task that opens it, writes a request at a time and reads the reply. Knows
//! nothing of other connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use pondproxy::settings::Deployment;
use pondproxy::{CacheLookup, LoadReport, Status};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::ConnId;
use crate::client_socket::ClientLiveness;
use crate::event_loop::NodeEvent;
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::origin_protocol::ResponseDecoder;
use crate::resp::MAX_VALUE_BYTES;
use crate::stream_io::{self, PeekResult};
use crate::{cache_protocol, resp};

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
/// An incomplete reply waits for a reservation of memory once more than this many of its bytes have arrived.
/// A reservation is for at least twice `MAX_VALUE_BYTES`, and a shorter reply does not have to wait for it.
const UNRESERVED_REPLY_BYTES: usize = 4096;
/// Number of copies of a reply for which memory is reserved: the received one, and the answer to the client.
const RESERVED_COPIES: usize = 2;
/// Length by which the reservation of a reply grows.
const GROWTH_STEP_BYTES: usize = 64 * 1024;
/// What may arrive with a value and needs no reservation of its own: framing, a load report, and the end of
/// the last read.
const REPLY_OVERHEAD_BYTES: usize = 16 * 1024;
/// Minimum space for one read of a reply.
const MIN_READ_BYTES: usize = 2048;
/// Space for one read once a reply has turned out to be long.
const LONG_REPLY_READ_BYTES: usize = 8 * 1024;
/// Time-out for the first byte of a reply. In effect unlimited, because the event loop gives attempts up by
/// closing their connections.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(3600);

/// Why a server's reply cannot be used. Its connection cannot carry another request.
#[derive(Debug, PartialEq, Clone, Copy)]
pub enum MalformedReply {
    /// The reply violates its protocol, or states no length where one is needed.
    Invalid,
    /// The reply is longer than the node accepts.
    TooLong,
    /// The rest of the reply did not arrive in time.
    Stalled,
    /// The reply became longer than expected, and the memory budget is exhausted.
    NoMemory,
}

impl std::fmt::Display for MalformedReply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            MalformedReply::Invalid => write!(f, "invalid"),
            MalformedReply::TooLong => write!(f, "too long"),
            MalformedReply::Stalled => write!(f, "its rest did not arrive in time"),
            MalformedReply::NoMemory => write!(f, "no memory is left for it"),
        }
    }
}

/// A parsed reply of a cache server or the origin.
#[derive(Debug, PartialEq)]
pub struct ServerReply {
    pub status: Status,
    pub lookup: CacheLookup,
    pub load: LoadReport,
    pub value: Option<Bytes>,
    /// Whether the connection can carry another request.
    pub keep_alive: bool,
}

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
    /// The request was not written because its client has disconnected. The connection can carry another
    /// request.
    NotSent,
    /// The connection could not be opened or was lost; `written` tells whether the last byte of its request
    /// may have been written.
    Failed { written: bool },
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
        // A host that is down does not answer at all, so connecting has its own time-out.
        let connect_timeout = Duration::from_micros(self.deployment.settings.connect_timeout.max(1_000));
        let Ok(Ok(stream)) = tokio::time::timeout(connect_timeout, TcpStream::connect(address)).await else {
            return ConnEvent::Failed { written: false };
        };
        let _ = stream.set_nodelay(true);
        let mut buffer = BytesMut::new();
        let mut event = ConnEvent::Connected;
        loop {
            if self.event_sender.send(NodeEvent::Connection(self.id, event)).await.is_err() {
                return ConnEvent::Failed { written: false };
            }
            buffer.reserve(MIN_READ_BYTES);
            let next_request = tokio::select! {
                // Reading is polled first: nothing is written to a connection that the server has closed, so
                // a request for it is known not to have been executed.
                biased;
                _ = stream_io::read(&stream, &mut buffer) => return ConnEvent::Failed { written: false },
                next_request = self.request_receiver.recv() => next_request,
            };
            let Some(ConnRequest { request, client }) = next_request else {
                return ConnEvent::Failed { written: false };
            };
            // The client may have disconnected since its request was given to this connection; the server
            // should not execute such a request.
            if client.disconnected_after_unread_input().await {
                event = ConnEvent::NotSent;
                continue;
            }
            // A close, or a reply that belongs to no request, may have arrived without a report by the
            // runtime so far. The kernel is asked, so that no request is written after either.
            if !nothing_received(&stream) {
                return ConnEvent::Failed { written: false };
            }
            let mut unwritten = &request[..];
            while !unwritten.is_empty() {
                // A partly written request is not completed once its client has disconnected.
                if unwritten.len() < request.len() && client.disconnected() {
                    return ConnEvent::Failed { written: false };
                }
                match stream_io::write(&stream, unwritten).await {
                    Ok(count) if count > 0 => unwritten = &unwritten[count..],
                    _ => return ConnEvent::Failed { written: false },
                }
            }
            drop(request);
            let reply = match self.read_reply(&stream, &mut buffer).await {
                Ok(reply) => reply,
                Err(event) => return event,
            };
            // Bytes after the reply belong to no request, and nothing after them could be matched to one.
            let has_extra_bytes = !buffer.is_empty() || !nothing_received(&stream);
            let keep_alive = reply.keep_alive && !has_extra_bytes;
            buffer = BytesMut::new();
            event = ConnEvent::Reply(ServerReply { keep_alive, ..reply });
            if !keep_alive {
                return event;
            }
        }
    }

    /// Reads until the reply to the request that was written is complete. `buffer` must be empty at first,
    /// and what follows the reply is left in it.
    async fn read_reply(&self, stream: &TcpStream, buffer: &mut BytesMut) -> Result<ServerReply, ConnEvent> {
        let max_reply_bytes = self.max_reply_bytes();
        let mut decoder = ReplyDecoder::new(self.protocol, max_reply_bytes);
        let mut reply_memory = ReplyMemory::new(&self.memory);
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
            if received_bytes > UNRESERVED_REPLY_BYTES {
                let declared_length = decoder.declared_length(buffer).unwrap_or(0);
                let expected_bytes = declared_length.clamp(MAX_VALUE_BYTES, max_reply_bytes);
                if !reply_memory.reserve_for(received_bytes, expected_bytes).await {
                    return Err(ConnEvent::Malformed(MalformedReply::NoMemory));
                }
                let remaining_bytes = declared_length.min(max_reply_bytes).saturating_sub(received_bytes);
                buffer.reserve(remaining_bytes.max(LONG_REPLY_READ_BYTES));
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

/// The memory that is reserved for a reply. It grows with the reply, because not every reply states its
/// length.
struct ReplyMemory<'a> {
    budget: &'a MemoryBudget,
    reservations: Vec<MemoryReservation>,
    /// Length of a reply that the reservations are enough for.
    covered_bytes: usize,
}

impl<'a> ReplyMemory<'a> {
    fn new(budget: &'a MemoryBudget) -> Self {
        ReplyMemory { budget, reservations: Vec::new(), covered_bytes: 0 }
    }

    /// Makes sure that memory is reserved for the received part of a reply. Long replies may together exceed
    /// the memory budget, so each waits for its first reservation, which is for `expected_bytes`. A reply
    /// that becomes longer than that does not wait, because it holds memory that others may be waiting for;
    /// returns `false` if there is none left for it.
    async fn reserve_for(&mut self, received_bytes: usize, expected_bytes: usize) -> bool {
        if self.reservations.is_empty() {
            self.reservations.push(self.budget.reserve(RESERVED_COPIES * expected_bytes).await);
            self.covered_bytes = expected_bytes + REPLY_OVERHEAD_BYTES;
        }
        while self.covered_bytes < received_bytes {
            let Some(reservation) = self.budget.try_reserve_reply_growth(RESERVED_COPIES * GROWTH_STEP_BYTES)
            else {
                return false;
            };
            self.reservations.push(reservation);
            self.covered_bytes += GROWTH_STEP_BYTES;
        }
        true
    }
}

/// Decodes one reply as its bytes arrive.
enum ReplyDecoder {
    Resp { max_value_bytes: usize },
    Http(ResponseDecoder),
}

impl ReplyDecoder {
    fn new(protocol: Protocol, max_value_bytes: usize) -> Self {
        match protocol {
            Protocol::Resp => ReplyDecoder::Resp { max_value_bytes },
            Protocol::Http => ReplyDecoder::Http(ResponseDecoder::new(max_value_bytes)),
        }
    }

    /// Removes what can be decoded from the front of the input; returns the reply once it is complete.
    fn decode(
        &mut self,
        input: &mut BytesMut,
        load_names: &[String],
    ) -> Result<Option<ServerReply>, MalformedReply> {
        match self {
            ReplyDecoder::Resp { max_value_bytes } => {
                cache_protocol::decode(input, load_names, *max_value_bytes)
            }
            ReplyDecoder::Http(decoder) => decoder.decode(input, load_names),
        }
    }

    /// Returns the length that the reply states for its value, if that has arrived.
    fn declared_length(&self, input: &[u8]) -> Option<usize> {
        match self {
            ReplyDecoder::Resp { .. } => resp::declared_length(input),
            ReplyDecoder::Http(decoder) => decoder.declared_length(),
        }
    }

    /// Returns how many bytes the decoder has taken from the input and holds.
    fn held_bytes(&self) -> usize {
        match self {
            ReplyDecoder::Resp { .. } => 0,
            ReplyDecoder::Http(decoder) => decoder.held_bytes(),
        }
    }
}
