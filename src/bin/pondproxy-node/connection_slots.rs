//! The node's descriptor budget: which connections may hold a descriptor, and which are evicted for others.
//!
//! Three kinds of connection share one table of slots: client connections, on which a request was accepted;
//! unclassified connections, on which none was accepted so far and whose peer may therefore not be a client;
//! and connections to servers. In names such as `ClientId`, `ClientSlot` and `clients`, "client" stands for
//! the first two kinds. Some descriptors are not in the table: they are reserved for the listener, discovery,
//! the standard streams and connections that are being closed.
//!
//! Client and unclassified connections together may hold two thirds of the slots, and so may server
//! connections; one third is therefore guaranteed to servers. Above that third, a server connection is opened
//! only if `accept_headroom` slots stay free or can be freed by evictions, for new connections to the node. A
//! request on a connection that may be evicted is likewise accepted only if that many other slots are free or
//! can be freed. New connections leave `server_headroom` slots for server connections.
//!
//! When slots run short, connections are asked to close in this order, the oldest of each group first:
//! unclassified connections that have lasted for [`MIN_IDLE_TIME`], client connections that have been idle
//! for as long, and then younger unclassified connections. A client connection that has an open request, or
//! has been idle for a shorter time, is not evicted: the operating platform's terms for nodes let a node
//! close a client connection only after 2 s without an open request. Idle connections to servers are closed
//! by their pool, which is notified when [`ConnectionSlots::servers_limit_clients`] holds.
//!
//! This module knows nothing of protocols. Sessions report when a request begins and when a connection
//! becomes idle.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Descriptors that are reserved for the listener, discovery, the standard streams, signals and the runtime,
/// and for sockets that are being closed. One more is reserved for each 32 descriptors of the node, but at
/// most half of them in all.
const RESERVED_DESCRIPTORS: usize = 16;
/// Time without an open request after which a client connection may be closed to free its slot. Also the age
/// from which an unclassified connection is evicted before idle client connections; a younger one is evicted
/// after them.
pub const MIN_IDLE_TIME: Duration = Duration::from_secs(2);
/// Maximum time between two checks for a free slot. Connections become evictable as time passes, and no
/// notification reports that.
const FREE_SLOT_RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Identifies a connection to the node, of a client or of an unclassified peer; never used twice.
pub type ClientId = u64;

/// The table of connection slots: one for each descriptor that is not reserved.
pub struct ConnectionSlots {
    /// Number of slots in the table.
    total_slots: usize,
    /// Maximum number of slots for connections to the node, and likewise for connections to servers. The rest
    /// of the slots is guaranteed to the other side.
    max_slots_per_side: usize,
    /// Number of slots that open requests and server connections leave free, so that new connections are
    /// accepted and answered or refused while everything else is busy.
    accept_headroom: usize,
    /// Number of slots that new connections to the node leave free for server connections, however many slots
    /// server connections hold already.
    server_headroom: usize,
    /// Number of client connections above which idle ones are evicted even if nobody waits for a slot.
    /// Clients together open at most a third as many connections as the node may have descriptors. At that
    /// limit, a client that needs one more connection waits without opening it, and the node cannot see that.
    idle_eviction_threshold: usize,
    table: Mutex<SlotTable>,
    slot_freed: Notify,
}

#[derive(Default)]
struct SlotTable {
    server_connections: usize,
    /// Connections to the node, unclassified ones included.
    clients: HashMap<ClientId, ClientEntry>,
    /// The identifier that was assigned last.
    last_client_id: ClientId,
    /// Whether the listener may hold an accepted connection that has no slot yet.
    accepting: bool,
}

/// State of one connection to the node.
struct ClientEntry {
    state: ClientState,
    /// Whether the connection was asked to close or is closing by itself.
    closing: bool,
    eviction_notify: Arc<Notify>,
}

impl ClientEntry {
    /// Asks the connection to close.
    fn request_eviction(&mut self) {
        self.closing = true;
        self.eviction_notify.notify_one();
    }
}

#[derive(Clone, Copy)]
enum ClientState {
    /// No request was accepted on the connection so far, so the peer may not be a client. Holds the time at
    /// which the connection was accepted, or at which a request was last refused for lack of a slot.
    Unclassified(Instant),
    /// A request is open on the connection.
    Open,
    /// No request is open. Holds the time at which the last one was answered or at which an eviction was last
    /// cancelled, whichever is later. Commands that are not requests do not change it, however often they
    /// come.
    Idle(Instant),
}

impl ClientState {
    /// Position in the order of eviction, lowest first: unclassified connections that have lasted for
    /// `MIN_IDLE_TIME`, client connections that have been idle for as long, younger unclassified connections.
    /// `None` for connections that may not be evicted.
    fn eviction_rank(self, now: Instant) -> Option<(u8, Instant)> {
        match self {
            ClientState::Unclassified(since) if since + MIN_IDLE_TIME <= now => Some((0, since)),
            ClientState::Idle(since) if since + MIN_IDLE_TIME <= now => Some((1, since)),
            ClientState::Unclassified(since) => Some((2, since)),
            ClientState::Open | ClientState::Idle(_) => None,
        }
    }
}

/// Kind of a connection that was asked to close. The kind decides how the connection may close.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Eviction {
    /// A client connection, which may be closed between requests.
    IdleClient,
    /// An unclassified connection that has lasted for `MIN_IDLE_TIME`.
    Unclassified,
    /// An unclassified connection that is younger, or on which a request was refused within that time. A
    /// request may already have been sent and must then be answered with a refusal.
    NewlyAccepted,
}

impl ConnectionSlots {
    /// Creates the table of a node that may open `sockets` descriptors. Connections to the node and to
    /// servers share it, and each side always leaves at least a third to the other.
    pub fn new(sockets: usize) -> Arc<ConnectionSlots> {
        let total_slots = sockets - (RESERVED_DESCRIPTORS + sockets / 32).min(sockets / 2);
        let max_slots_per_side = total_slots * 2 / 3;
        let accept_headroom = (max_slots_per_side / 8).max(1);
        let (server_headroom, table, slot_freed) =
            ((accept_headroom / 2).max(1), Mutex::default(), Notify::new());
        let idle_eviction_threshold = sockets / 3 - sockets / 24;
        Arc::new(ConnectionSlots {
            total_slots,
            max_slots_per_side,
            accept_headroom,
            server_headroom,
            idle_eviction_threshold,
            table,
            slot_freed,
        })
    }

    fn lock(&self) -> MutexGuard<'_, SlotTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of slots that new connections to the node may still take while `server_connections`
    /// slots are taken by, or guaranteed to, servers.
    fn free_client_slots(&self, table: &SlotTable, server_connections: usize) -> usize {
        let unused =
            self.total_slots.saturating_sub(table.clients.len() + server_connections + self.server_headroom);
        unused.min(self.max_slots_per_side.saturating_sub(table.clients.len()))
    }

    /// Sets whether the listener accepts connections. An accepted connection that has no slot yet is counted
    /// in the reserved descriptors.
    pub fn set_accepting(&self, on: bool) {
        self.lock().accepting = on;
    }

    /// Returns a slot for a new connection to the node, or `None` if no slot is free.
    ///
    /// Without evictions, new connections would wait in the kernel's accept queue, unknown to the node, until
    /// earlier ones close. So while few slots are left, each new connection causes one eviction. When none is
    /// left, several connections may be waiting, and as many as `evict_up_to` allows are evicted.
    pub fn acquire_for_client(self: &Arc<Self>) -> Option<ClientSlot> {
        let mut table = self.lock();
        table.evict_idle_above(self.idle_eviction_threshold);
        let free_slots = self.free_client_slots(&table, table.server_connections);
        match free_slots {
            0 => table.evict_up_to(usize::MAX),
            few if few <= self.accept_headroom => table.evict_up_to(1),
            _ => {}
        }
        if free_slots == 0 {
            return None;
        }
        table.last_client_id += 1;
        let (id, eviction_notify) = (table.last_client_id, Arc::<Notify>::default());
        let state = ClientState::Unclassified(Instant::now());
        table
            .clients
            .insert(id, ClientEntry { state, closing: false, eviction_notify: eviction_notify.clone() });
        Some(ClientSlot { id, connection_slots: self.clone(), eviction_notify })
    }

    /// Waits until a slot may be free.
    pub async fn wait_for_free_slot(&self) {
        let _ = tokio::time::timeout(FREE_SLOT_RECHECK_INTERVAL, self.slot_freed.notified()).await;
    }

    /// Whether few slots are left for new connections to the node because server connections hold more than
    /// their guaranteed number.
    pub fn servers_limit_clients(&self) -> bool {
        let table = self.lock();
        table.server_connections > self.guaranteed_server_slots()
            && self.free_client_slots(&table, table.server_connections) < self.accept_headroom
    }

    /// Returns a slot for a connection to a server, or `None` if servers may take no more slots.
    pub fn acquire_for_server(self: &Arc<Self>) -> Option<ServerSlot> {
        let mut table = self.lock();
        let unused = self.total_slots.saturating_sub(table.clients.len() + table.server_connections);
        let guaranteed = table.server_connections < self.guaranteed_server_slots();
        let leaves_accept_headroom = || {
            table.clients.len() - table.evictable_clients(None)
                + table.server_connections
                + self.accept_headroom
                < self.total_slots
        };
        if unused == 0
            || table.server_connections >= self.max_slots_per_side
            || !(guaranteed || leaves_accept_headroom())
        {
            return None;
        }
        table.server_connections += 1;
        if unused <= self.server_headroom {
            // Without this, requests would find no free slot for a connection to a server while idle
            // connections to the node hold every slot that is not guaranteed to servers.
            table.evict_up_to(1);
        }
        Some(ServerSlot(self.clone()))
    }

    /// Number of slots that are guaranteed to servers.
    fn guaranteed_server_slots(&self) -> usize {
        self.total_slots - self.max_slots_per_side
    }

    /// Whether no connection to the node is open and the listener accepts none.
    pub fn no_clients(&self) -> bool {
        let table = self.lock();
        table.clients.is_empty() && !table.accepting
    }
}

impl SlotTable {
    /// Returns the number of connections to the node that may be evicted or are closing, not counting
    /// `excluded`. Unclassified connections are included.
    fn evictable_clients(&self, excluded: Option<ClientId>) -> usize {
        let now = Instant::now();
        let others = self.clients.iter().filter(|(id, _)| Some(**id) != excluded);
        others.filter(|(_, entry)| entry.closing || entry.state.eviction_rank(now).is_some()).count()
    }

    /// Asks idle client connections to close, at most as many as there are client connections above
    /// `threshold`.
    fn evict_idle_above(&mut self, threshold: usize) {
        let now = Instant::now();
        let is_remaining_client =
            |entry: &&mut ClientEntry| !entry.closing && !matches!(entry.state, ClientState::Unclassified(_));
        let clients: Vec<_> = self.clients.values_mut().filter(is_remaining_client).collect();
        let surplus = clients.len().saturating_sub(threshold);
        let evictable =
            clients.into_iter().filter_map(|entry| Some((entry.state.eviction_rank(now)?, entry)));
        let mut evictable: Vec<_> = evictable.collect();
        evictable.sort_unstable_by_key(|(rank, _)| *rank);
        evictable.into_iter().take(surplus).for_each(|(_, entry)| entry.request_eviction());
    }

    /// Asks up to `count` connections to close, in the order of eviction. A closing connection keeps its slot
    /// for a moment. If all were asked at once, only newly accepted connections would be left to evict, and
    /// each would have to close as soon as it is accepted. Therefore at most half of the evictable
    /// connections close at the same time.
    fn evict_up_to(&mut self, count: usize) {
        let now = Instant::now();
        let closing_count = self.clients.values().filter(|entry| entry.closing).count();
        let limit = (self.evictable_clients(None).div_ceil(2)).saturating_sub(closing_count).min(count);
        let candidates = self.clients.values_mut().filter(|entry| !entry.closing);
        let mut candidates: Vec<_> =
            candidates.filter_map(|entry| Some((entry.state.eviction_rank(now)?, entry))).collect();
        candidates.sort_unstable_by_key(|(rank, _)| *rank);
        candidates.into_iter().take(limit).for_each(|(_, entry)| entry.request_eviction());
    }
}

/// The slot of a connection to the node, of a client or of an unclassified peer; released when dropped.
pub struct ClientSlot {
    id: ClientId,
    connection_slots: Arc<ConnectionSlots>,
    eviction_notify: Arc<Notify>,
}

impl ClientSlot {
    /// Returns the connection's identifier.
    pub fn id(&self) -> ClientId {
        self.id
    }

    /// Accepts a valid request that has arrived, or refuses it if slots are short; returns whether it was
    /// accepted. If so, the connection is a client's from then on, a requested eviction is cancelled, and it
    /// is not evicted until it has been without an open request for `MIN_IDLE_TIME`, as the operating
    /// platform's terms for nodes require.
    pub fn begin_request(&self) -> bool {
        let (mut table, now) = (self.connection_slots.lock(), Instant::now());
        // Slots that are guaranteed to servers do not count as free, as the request may need a server
        // connection.
        let free_slots = self.connection_slots.free_client_slots(
            &table,
            table.server_connections.max(self.connection_slots.guaranteed_server_slots()),
        );
        let other_evictable = table.evictable_clients(Some(self.id));
        let Some(entry) = table.clients.get_mut(&self.id) else { return false };
        if entry.state.eviction_rank(now).is_some()
            && free_slots + other_evictable < self.connection_slots.accept_headroom
        {
            if let ClientState::Unclassified(since) = &mut entry.state {
                *since = now;
            }
            return false;
        }
        (entry.state, entry.closing) = (ClientState::Open, false);
        true
    }

    /// Records that all requests on the connection are answered.
    pub fn set_idle(&self) {
        if let Some(entry) = self.connection_slots.lock().clients.get_mut(&self.id)
            && matches!(entry.state, ClientState::Open)
        {
            entry.state = ClientState::Idle(Instant::now());
        }
    }

    /// Evicts idle client connections above `idle_eviction_threshold`; called when a connection has been idle
    /// for `MIN_IDLE_TIME`.
    pub fn evict_surplus_idle(&self) {
        self.connection_slots.lock().evict_idle_above(self.connection_slots.idle_eviction_threshold);
    }

    /// Returns how the connection may close, if it was asked to.
    pub fn eviction_requested(&self) -> Option<Eviction> {
        let table = self.connection_slots.lock();
        let entry = table.clients.get(&self.id).filter(|entry| entry.closing)?;
        Some(match entry.state {
            ClientState::Open | ClientState::Idle(_) => Eviction::IdleClient,
            ClientState::Unclassified(since) if since + MIN_IDLE_TIME <= Instant::now() => {
                Eviction::Unclassified
            }
            ClientState::Unclassified(_) => Eviction::NewlyAccepted,
        })
    }

    /// Waits until the connection may have been asked to close.
    pub async fn wait_for_eviction_request(&self) {
        self.eviction_notify.notified().await;
    }

    /// Records that the connection closes by itself, so that it need not be asked to.
    pub fn set_closing(&self) {
        if let Some(entry) = self.connection_slots.lock().clients.get_mut(&self.id) {
            entry.closing = true;
        }
    }

    /// Cancels the eviction of a client that is in the middle of sending a command or still awaits a reply.
    /// Its idle time starts anew.
    pub fn cancel_eviction(&self) {
        if let Some(entry) = self.connection_slots.lock().clients.get_mut(&self.id) {
            (entry.state, entry.closing) = (ClientState::Idle(Instant::now()), false);
        }
    }
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        let mut table = self.connection_slots.lock();
        table.clients.remove(&self.id);
        self.connection_slots.slot_freed.notify_one();
    }
}

/// The slot of a connection to a server; released when dropped.
pub struct ServerSlot(Arc<ConnectionSlots>);

impl Drop for ServerSlot {
    fn drop(&mut self) {
        self.0.lock().server_connections -= 1;
        self.0.slot_freed.notify_one();
    }
}
