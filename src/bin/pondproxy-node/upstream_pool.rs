//! Connections to cache servers and the origin, and the reuse of idle ones.
//!
//! Each connection carries one request at a time: a server answers the requests of a connection in order, so
//! a slow reply would block those behind it. The pool decides neither which server gets a request nor when an
//! attempt is given up.

mod connection;
mod reply;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use pondproxy::settings::Deployment;
use pondproxy::{Micros, RequestId, ServerId};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::client_socket::ClientLiveness;
use crate::connection_slots::{ConnectionSlots, ServerSlot};
use crate::event_loop::NodeEvent;
use crate::memory_budget::MemoryBudget;
pub use connection::{ConnEvent, Protocol};
use connection::{ConnRequest, ConnTask};
pub use reply::{MalformedReply, ServerReply};

/// Time after a reply before a connection is used again. A duplicate reply or stray bytes may arrive shortly
/// after a valid reply, and must be noticed before the next request is written, or they would be read as the
/// reply to that request.
const REUSE_DELAY_US: Micros = 15_000;

/// Identifies a connection to a server; never used twice.
pub type ConnId = u64;
/// Identifies an attempt: its request and its number.
pub type AttemptId = (RequestId, u16);

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

#[cfg(test)]
mod tests;
