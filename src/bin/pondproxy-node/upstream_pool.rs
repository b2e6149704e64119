//! Connections to cache servers and the origin, and the reuse of idle ones.
//!
//! Each connection carries one request at a time: a server answers the requests of a connection in order, so
//! a slow reply would block those behind it. The pool decides neither which server gets a request nor when an
//! attempt is given up.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use pondproxy::settings::Deployment;
use pondproxy::{CacheLookup, LoadReport, Micros, RequestId, ServerId, Status};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::client_socket::ClientLiveness;
use crate::connection_slots::{ConnectionSlots, ServerSlot};
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
/// Time after a reply before a connection is used again. A duplicate reply or stray bytes may arrive shortly
/// after a valid reply, and must be noticed before the next request is written, or they would be read as the
/// reply to that request.
const REUSE_DELAY_US: Micros = 15_000;

/// Identifies a connection to a server; never used twice.
pub type ConnId = u64;
/// Identifies an attempt: its request and its number.
pub type AttemptId = (RequestId, u16);

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
struct ConnRequest {
    request: Bytes,
    client: ClientLiveness,
}

/// What the pool knows about a connection that is open or being opened.
struct Conn {
    server: ServerId,
    address: SocketAddr,
    request_sender: mpsc::Sender<ConnRequest>,
    task: AbortHandle,
    /// The attempt that the connection was opened for or carries.
    attempt: Option<AttemptId>,
    /// When the connection last became idle; 0 before that.
    idle_since: Micros,
    /// Number of requests that the connection has been given.
    request_count: u64,
    _slot: ServerSlot,
}

impl Conn {
    /// Whether the connection's task still accepts requests.
    fn is_open(&self) -> bool {
        !self.request_sender.is_closed()
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        // Aborting the task closes the connection. An attempt is given up in this way.
        self.task.abort();
    }
}

/// The connections to all servers.
pub struct UpstreamPool {
    conns: HashMap<ConnId, Conn>,
    /// Idle connections of each server, the most recently used one last.
    idle: HashMap<ServerId, Vec<ConnId>>,
    next_id: ConnId,
    connection_slots: Arc<ConnectionSlots>,
    /// Time after which an idle connection is not used again and is closed.
    idle_limit: Micros,
    deployment: Arc<Deployment>,
    memory: MemoryBudget,
    event_sender: mpsc::Sender<NodeEvent>,
}

impl UpstreamPool {
    /// Creates a pool whose connections take slots of a table that client connections share.
    pub fn new(
        connection_slots: Arc<ConnectionSlots>,
        deployment: Arc<Deployment>,
        memory: MemoryBudget,
        event_sender: mpsc::Sender<NodeEvent>,
    ) -> Self {
        // Idle connections are closed well before the server would close them: a request that is written to a
        // closed connection fails with a reset. The node cannot know then whether the request was executed,
        // so it may not send it again.
        let idle_limit = deployment.idle_timeout / 2;
        let (conns, idle) = (HashMap::new(), HashMap::new());
        UpstreamPool {
            conns,
            idle,
            next_id: 1,
            connection_slots,
            idle_limit,
            deployment,
            memory,
            event_sender,
        }
    }

    /// Takes an idle connection to a server for an attempt, if there is one that can be used now.
    pub fn reuse(&mut self, server: ServerId, attempt: AttemptId, now: Micros) -> Option<ConnId> {
        loop {
            let idle = self.idle.get_mut(&server)?;
            // Connections are listed in the order in which they became idle. This takes the last one whose
            // `REUSE_DELAY_US` has passed or that is closed; a closed or expired one is dropped below, and
            // the search goes on.
            let conns = &self.conns;
            let usable_or_closed = |id: &ConnId| {
                conns.get(id).is_none_or(|conn| conn.idle_since + REUSE_DELAY_US <= now || !conn.is_open())
            };
            let id = idle.iter().rposition(usable_or_closed).map(|index| idle.remove(index))?;
            match self.conns.get_mut(&id) {
                Some(conn) if now < conn.idle_since + self.idle_limit && conn.is_open() => {
                    conn.attempt = Some(attempt);
                    return Some(id);
                }
                _ => drop(self.conns.remove(&id)),
            }
        }
    }

    /// Starts to open a connection for an attempt; `None` if no connection slot is available.
    pub fn connect(
        &mut self,
        server: ServerId,
        address: SocketAddr,
        protocol: Protocol,
        attempt: AttemptId,
    ) -> Option<ConnId> {
        let _slot = self.connection_slots.acquire_for_server().or_else(|| {
            self.close_oldest_idle();
            self.connection_slots.acquire_for_server()
        })?;
        let id = self.next_id;
        self.next_id += 1;
        let (request_sender, request_receiver) = mpsc::channel(1);
        let (event_sender, deployment, memory) =
            (self.event_sender.clone(), self.deployment.clone(), self.memory.clone());
        let task = tokio::spawn(async move {
            let mut conn_task = ConnTask { id, protocol, deployment, memory, request_receiver, event_sender };
            let event = conn_task.run(address).await;
            let _ = conn_task.event_sender.send(NodeEvent::Connection(id, event)).await;
        });
        let task = task.abort_handle();
        let conn = Conn {
            server,
            address,
            request_sender,
            task,
            attempt: Some(attempt),
            idle_since: 0,
            request_count: 0,
            _slot,
        };
        self.conns.insert(id, conn);
        Some(id)
    }

    /// Returns the attempt that a connection was opened for or carries; `None` also if the attempt was given
    /// up.
    pub fn attempt(&self, id: ConnId) -> Option<AttemptId> {
        self.conns.get(&id)?.attempt
    }

    /// Returns the address that a connection was opened to.
    pub fn address(&self, id: ConnId) -> Option<SocketAddr> {
        Some(self.conns.get(&id)?.address)
    }

    /// Returns how many requests a connection has been given.
    pub fn request_count(&self, id: ConnId) -> u64 {
        self.conns.get(&id).map_or(0, |conn| conn.request_count)
    }

    /// Hands a client's request to an open connection; `false` if the connection is already lost.
    pub fn send_request(&mut self, id: ConnId, request: Bytes, client: ClientLiveness) -> bool {
        let Some(conn) = self.conns.get_mut(&id) else { return false };
        conn.request_count += 1;
        conn.request_sender.try_send(ConnRequest { request, client }).is_ok()
    }

    /// Puts a connection without an open request back into the pool, or closes it if its server no longer has
    /// the address to which it was opened. `address` is the server's present address, `None` if the server
    /// was removed.
    pub fn release(&mut self, id: ConnId, address: Option<SocketAddr>, now: Micros) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if address != Some(conn.address) {
            // The server was removed from the list or has moved to another address.
            return self.close(id);
        }
        (conn.attempt, conn.idle_since) = (None, now);
        self.idle.entry(conn.server).or_default().push(id);
    }

    pub fn close(&mut self, id: ConnId) {
        if let Some(conn) = self.conns.remove(&id)
            && let Some(idle) = self.idle.get_mut(&conn.server)
        {
            idle.retain(|other| *other != id);
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&mut self, server: ServerId) {
        for id in self.idle.remove(&server).unwrap_or_default() {
            self.conns.remove(&id);
        }
    }

    /// Closes connections that have been idle for longer than the limit.
    pub fn close_expired_idle(&mut self, now: Micros) {
        let (conns, limit) = (&mut self.conns, self.idle_limit);
        self.idle.retain(|_, ids| {
            ids.retain(|id| {
                let keep = conns.get(id).is_some_and(|conn| now < conn.idle_since + limit);
                if !keep {
                    conns.remove(id);
                }
                keep
            });
            !ids.is_empty()
        });
    }

    /// Closes the connection that has been idle for the longest time.
    pub fn close_oldest_idle(&mut self) {
        let oldest = self.idle.values().filter_map(|ids| ids.first());
        let oldest = oldest.min_by_key(|id| self.conns.get(id).map_or(0, |conn| conn.idle_since)).copied();
        oldest.into_iter().for_each(|id| self.close(id));
    }
}

/// Whether the kernel shows neither unread bytes nor the end of a connection.
fn nothing_received(stream: &TcpStream) -> bool {
    stream_io::peek(stream) == PeekResult::Empty
}

/// The task that owns one connection.
struct ConnTask {
    id: ConnId,
    protocol: Protocol,
    deployment: Arc<Deployment>,
    memory: MemoryBudget,
    request_receiver: mpsc::Receiver<ConnRequest>,
    event_sender: mpsc::Sender<NodeEvent>,
}

impl ConnTask {
    /// Opens the connection and carries requests one after the other, until the connection is lost.
    async fn run(&mut self, address: SocketAddr) -> ConnEvent {
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

#[cfg(test)]
mod tests;
