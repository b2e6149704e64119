//! Connections to cache servers and the origin: one request at a time on each, since a connection answers
//! in order and a slow answer would stall those behind it.

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

/// An answer that has begun and brings nothing more for this part of the longest aim will not be whole.
const PARTIAL_REPLY_TIMEOUT_DIVISOR: u64 = 8;
/// The longest value that a server's answer may hold.
const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;
/// The wait for an answer to begin: the node's loop gives attempts up, by closing their connections.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(3600);
/// A connection rests for so long after an answer. Against a second copy or noise that comes a moment behind
/// a good answer: it must be seen before the next request is written, or it would be read as its answer.
const REUSE_DELAY_US: Micros = 15_000;

/// Names a connection; never used twice.
pub type ConnId = u64;
/// Names an attempt: its request and its number.
pub type AttemptId = (RequestId, u16);

/// What a server sent can't be understood; the connection is of no more use.
#[derive(Debug, PartialEq, Clone, Copy)]
pub struct MalformedReply;

/// An answer of a server.
#[derive(Debug, PartialEq)]
pub struct ServerReply {
    pub status: Status,
    pub lookup: CacheLookup,
    pub load: LoadReport,
    pub value: Option<Bytes>,
    /// Whether the connection can carry another request.
    pub keep_alive: bool,
}

/// What a connection tells the node.
#[derive(Debug)]
pub enum ConnEvent {
    /// It is up, and nothing has been written to it.
    Connected,
    /// The answer to the request that it carried.
    Reply(ServerReply),
    /// Its server answered with what can't be understood: the request may have run, the server is well.
    Malformed,
    /// Nothing was written to it for a client that has gone; it can carry another request.
    NotSent,
    /// It could not be opened or is lost; whether the last byte of its request may have been written.
    Failed { written: bool },
}

/// What is spoken with a server.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Protocol {
    Resp,
    Http,
}

/// A request to carry.
struct ConnRequest {
    request: Bytes,
    client: ClientLiveness,
}

struct Conn {
    server: ServerId,
    address: SocketAddr,
    request_sender: mpsc::Sender<ConnRequest>,
    task: AbortHandle,
    /// The attempt that it was opened for or carries.
    attempt: Option<AttemptId>,
    idle_since: Micros,
    request_count: u64,
    _slot: ServerSlot,
}

impl Conn {
    /// Whether its task still takes requests.
    fn is_open(&self) -> bool {
        !self.request_sender.is_closed()
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        // A node gives an attempt up by closing its connection.
        self.task.abort();
    }
}

/// All connections to servers.
pub struct UpstreamPool {
    conns: HashMap<ConnId, Conn>,
    /// Idle connections of each server, the one used last at the end.
    idle: HashMap<ServerId, Vec<ConnId>>,
    next_id: ConnId,
    connection_slots: Arc<ConnectionSlots>,
    idle_limit: Micros,
    deployment: Arc<Deployment>,
    memory: MemoryBudget,
    event_sender: mpsc::Sender<NodeEvent>,
}

impl UpstreamPool {
    /// A pool of connections in slots of a table that others use too.
    pub fn new(
        connection_slots: Arc<ConnectionSlots>,
        deployment: Arc<Deployment>,
        memory: MemoryBudget,
        event_sender: mpsc::Sender<NodeEvent>,
    ) -> Self {
        // Well before the server closes it: a request written to a closed connection ends as a reset, which
        // may have run and so may not be sent again.
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

    /// An idle connection to a server for an attempt, if there is one.
    pub fn reuse(&mut self, server: ServerId, attempt: AttemptId, now: Micros) -> Option<ConnId> {
        loop {
            let idle = self.idle.get_mut(&server)?;
            // In the order in which they became idle: the one used last among those that have rested.
            let conns = &self.conns;
            let reusable = |id: &ConnId| {
                conns.get(id).is_none_or(|conn| conn.idle_since + REUSE_DELAY_US <= now || !conn.is_open())
            };
            let id = idle.iter().rposition(reusable).map(|index| idle.remove(index))?;
            match self.conns.get_mut(&id) {
                Some(conn) if now < conn.idle_since + self.idle_limit && conn.is_open() => {
                    conn.attempt = Some(attempt);
                    return Some(id);
                }
                _ => drop(self.conns.remove(&id)),
            }
        }
    }

    /// Begins to open a connection for an attempt; `false` where the table is full.
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

    /// The attempt that a connection was opened for or carries; `None` also where it was given up.
    pub fn attempt(&self, id: ConnId) -> Option<AttemptId> {
        self.conns.get(&id)?.attempt
    }

    /// Where a connection leads.
    pub fn address(&self, id: ConnId) -> Option<SocketAddr> {
        Some(self.conns.get(&id)?.address)
    }

    /// How many requests a connection has been given.
    pub fn request_count(&self, id: ConnId) -> u64 {
        self.conns.get(&id).map_or(0, |conn| conn.request_count)
    }

    /// Hands a client's request to a connection that is up; `false` if it is lost already.
    pub fn send_request(&mut self, id: ConnId, request: Bytes, client: ClientLiveness) -> bool {
        let Some(conn) = self.conns.get_mut(&id) else { return false };
        conn.request_count += 1;
        conn.request_sender.try_send(ConnRequest { request, client }).is_ok()
    }

    /// A connection owes nothing any more and may be used again.
    pub fn release(&mut self, id: ConnId, address: Option<SocketAddr>, now: Micros) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if address != Some(conn.address) {
            // The server is gone from the list or lives elsewhere now.
            return self.close(id);
        }
        (conn.attempt, conn.idle_since) = (None, now);
        self.idle.entry(conn.server).or_default().push(id);
    }

    /// Closes a connection.
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

    /// Closes what has been idle for long.
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

    /// Closes the connection that has been idle for longest.
    pub fn close_oldest_idle(&mut self) {
        let oldest = self.idle.values().filter_map(|ids| ids.first());
        let oldest = oldest.min_by_key(|id| self.conns.get(id).map_or(0, |conn| conn.idle_since)).copied();
        oldest.into_iter().for_each(|id| self.close(id));
    }
}

/// Whether nothing has come on a connection, neither bytes nor its end, by the machine's word.
fn nothing_received(stream: &TcpStream) -> bool {
    stream_io::peek(stream) == PeekResult::Empty
}

/// One connection, in its task.
struct ConnTask {
    id: ConnId,
    protocol: Protocol,
    deployment: Arc<Deployment>,
    memory: MemoryBudget,
    request_receiver: mpsc::Receiver<ConnRequest>,
    event_sender: mpsc::Sender<NodeEvent>,
}

impl ConnTask {
    /// Opens the connection and carries one request after the other, until it is lost.
    async fn run(&mut self, address: SocketAddr) -> ConnEvent {
        // A machine that vanished answers nothing: the connect has a time-out of its own.
        let connect_timeout = Duration::from_micros(self.deployment.settings.connect_timeout.max(1_000));
        let Ok(Ok(stream)) = tokio::time::timeout(connect_timeout, TcpStream::connect(address)).await else {
            return ConnEvent::Failed { written: false };
        };
        let _ = stream.set_nodelay(true);
        let longest_target =
            self.deployment.settings.classes.iter().map(|class| class.latency_target).max().unwrap_or(0);
        let partial_reply_timeout =
            Duration::from_micros((longest_target / PARTIAL_REPLY_TIMEOUT_DIVISOR).clamp(10_000, 250_000));
        // Servers may hold values that are longer than what clients send through here: what bounds them is memory.
        let max_reply_bytes = (self.memory.total_bytes() / 4).min(MAX_REPLY_BYTES);
        let mut buffer = BytesMut::new();
        let mut event = ConnEvent::Connected;
        loop {
            if self.event_sender.send(NodeEvent::Connection(self.id, event)).await.is_err() {
                return ConnEvent::Failed { written: false };
            }
            buffer.reserve(2048);
            let next_request = tokio::select! {
                // First: a connection that the server has ended is not written to, so that its request
                // surely never ran.
                biased;
                _ = stream_io::read(&stream, &mut buffer) => return ConnEvent::Failed { written: false },
                next_request = self.request_receiver.recv() => next_request,
            };
            let Some(ConnRequest { request, client }) = next_request else {
                return ConnEvent::Failed { written: false };
            };
            // Against work for nobody: since the request was chosen its client may have gone.
            if client.disconnected_after_unread_input().await {
                event = ConnEvent::NotSent;
                continue;
            }
            // Against a request written behind an end, or behind an answer that nobody waits for, that came in
            // the very moment: the runtime tells of what is there a little later than it is there.
            if !nothing_received(&stream) {
                return ConnEvent::Failed { written: false };
            }
            let mut unwritten = &request[..];
            while !unwritten.is_empty() {
                // Nor does a request become whole that its server took a part of before its client went.
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
                // The rest of an answer comes with its beginning. Against lines and values that never end: one
                // that stands still half told is spoilt, and its request can still go elsewhere.
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
                    Err(MalformedReply) => return ConnEvent::Malformed,
                }
                // Against long answers that together are more than the memory: they wait their turn.
                if buffer.len() > 4096 && reservation.is_none() {
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
                    Err(_) => return ConnEvent::Malformed,
                }
            };
            // Bytes beyond the answer belong to no request: nothing after them could be matched.
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
