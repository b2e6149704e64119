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
use crate::memory_budget::MemoryBudget;
use crate::resp::MAX_VALUE_BYTES;
use crate::stream_io::{self, PeekResult};
use crate::{cache_protocol, http, origin_protocol, resp};

/// A reply that has begun counts as malformed if no more of it arrives within the longest latency target of a
/// class divided by this. That time is at least 10 ms and at most 250 ms.
const PARTIAL_REPLY_TIMEOUT_DIVISOR: u64 = 8;
/// Maximum length of the value in a server's reply.
const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;
/// An incomplete reply waits for a reservation of memory once more than this many of its bytes have arrived.
/// A reservation is for at least twice `MAX_VALUE_BYTES`, and a shorter reply does not have to wait for it.
const UNRESERVED_REPLY_BYTES: usize = 4096;
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
}

impl std::fmt::Display for MalformedReply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            MalformedReply::Invalid => write!(f, "invalid"),
            MalformedReply::TooLong => write!(f, "too long"),
            MalformedReply::Stalled => write!(f, "its rest did not arrive in time"),
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
        let longest_target =
            self.deployment.settings.classes.iter().map(|class| class.latency_target).max().unwrap_or(0);
        let partial_reply_timeout =
            Duration::from_micros((longest_target / PARTIAL_REPLY_TIMEOUT_DIVISOR).clamp(10_000, 250_000));
        // Servers may hold longer values than clients may send through this node, so the memory budget sets
        // the limit.
        let max_reply_bytes = (self.memory.total_bytes() / 4).min(MAX_REPLY_BYTES);
        let mut buffer = BytesMut::new();
        let mut event = ConnEvent::Connected;
        loop {
            if self.event_sender.send(NodeEvent::Connection(self.id, event)).await.is_err() {
                return ConnEvent::Failed { written: false };
            }
            buffer.reserve(2048);
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
            let mut reservation = None;
            let reply = loop {
                // The rest of a reply should follow its beginning at once. Without this limit, a line or
                // value that never ends would block its request. A reply that stalls counts as malformed
                // instead, and its request can still go to another server.
                let read_timeout = if buffer.is_empty() { FIRST_BYTE_TIMEOUT } else { partial_reply_timeout };
                let decoded = match self.protocol {
                    Protocol::Resp => cache_protocol::decode(
                        &mut buffer,
                        &self.deployment.load_field_names,
                        max_reply_bytes,
                    ),
                    Protocol::Http => origin_protocol::decode(
                        &mut buffer,
                        &self.deployment.load_field_names,
                        max_reply_bytes,
                    ),
                };
                match decoded {
                    Ok(Some(reply)) => break reply,
                    Ok(None) => {}
                    Err(e) => return ConnEvent::Malformed(e),
                }
                // Long replies may together exceed the memory budget, so each waits for its reservation.
                if buffer.len() > UNRESERVED_REPLY_BYTES && reservation.is_none() {
                    let declared_length = match self.protocol {
                        Protocol::Resp => resp::declared_length(&buffer),
                        Protocol::Http => {
                            http::head(&buffer).ok().flatten().and_then(|head| head.content_length)
                        }
                    };
                    let declared_length =
                        declared_length.unwrap_or(0).clamp(MAX_VALUE_BYTES, max_reply_bytes);
                    reservation = Some(self.memory.reserve(2 * declared_length).await);
                    buffer.reserve(declared_length);
                }
                buffer.reserve(2048);
                match tokio::time::timeout(read_timeout, stream_io::read(&stream, &mut buffer)).await {
                    Ok(Ok(count)) if count > 0 => {}
                    Ok(_) => return ConnEvent::Failed { written: true },
                    Err(_) => return ConnEvent::Malformed(MalformedReply::Stalled),
                }
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
}
