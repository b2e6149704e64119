//! Who holds a descriptor, and who gives way to whom: clients, peers that are no clients, and connections to
//! servers share one table. Knows nothing of what is said on a connection, but that a request was taken on it
//! and that nothing is owed there any more.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Sockets kept back for the listener, discovery, standard streams, signals and the runtime, and for those just
/// being closed.
const RESERVED_DESCRIPTORS: usize = 16;
/// A connection on which nothing is open may go after this long, where others want its place.
pub const MIN_IDLE_TIME: Duration = Duration::from_secs(2);
/// While no place is free, one is looked for again after this long at the latest: time makes more connections
/// ready to give way, and nothing tells of it.
const FREE_SLOT_RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Names a client's connection; never used twice.
pub type ClientId = u64;

/// The table of connection slots, as many as there are descriptors beside the reserve.
pub struct ConnectionSlots {
    /// All of them.
    total_slots: usize,
    /// As many as clients may have, and servers too: what this leaves is sure for the others.
    max_slots_per_side: usize,
    /// So many are never held by requests and servers: newcomers are taken there, and served or refused, while
    /// all else is busy.
    accept_headroom: usize,
    /// So many are left to servers by newcomers, whatever servers have already.
    server_headroom: usize,
    /// From so many connections of clients on, those that have rested go also where nobody wants their connection slots.
    /// Clients use at most a third of the descriptors, so that some of them want one and don't come.
    idle_eviction_threshold: usize,
    table: Mutex<SlotTable>,
    slot_freed: Notify,
}

#[derive(Default)]
struct SlotTable {
    server_connections: usize,
    clients: HashMap<ClientId, ClientEntry>,
    /// The name that was given last.
    last_client_id: ClientId,
    /// The listener may have a newcomer in its hand that has no place yet.
    accepting: bool,
}

/// How a client's connection stands.
struct ClientEntry {
    state: ClientState,
    /// It gives its place up or was asked to.
    closing: bool,
    eviction_notify: Arc<Notify>,
}

impl ClientEntry {
    /// Asks the connection to give its place up.
    fn request_eviction(&mut self) {
        self.closing = true;
        self.eviction_notify.notify_one();
    }
}

#[derive(Clone, Copy)]
enum ClientState {
    /// No request was taken on it yet, so whoever is there may be no client. Since it came, or since a request
    /// of it was refused for want of a place.
    Unclassified(Instant),
    /// A request is open on it.
    Open,
    /// Nothing was open on it since then. What is no request does not count, however often it comes.
    Idle(Instant),
}

impl ClientState {
    /// Whose turn it is to give way, the lowest first: strangers that have had their time, clients that have
    /// rested for as long, strangers that have not. Nobody else has to.
    fn eviction_rank(self, now: Instant) -> Option<(u8, Instant)> {
        match self {
            ClientState::Unclassified(since) if since + MIN_IDLE_TIME <= now => Some((0, since)),
            ClientState::Idle(since) if since + MIN_IDLE_TIME <= now => Some((1, since)),
            ClientState::Unclassified(since) => Some((2, since)),
            ClientState::Open | ClientState::Idle(_) => None,
        }
    }
}

/// How a connection may give its place up.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Eviction {
    /// A client's, which may be closed between requests.
    IdleClient,
    /// No request was ever taken on it, and it has had its time.
    Unclassified,
    /// The same, but a request may well be under way: one that is must find a refusal.
    NewlyAccepted,
}

impl ConnectionSlots {
    /// The table of a node that may have so many sockets. Clients and servers share it; neither can take more of
    /// it than leaves the others a third at the least.
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

    /// Connection slots that newcomers may still take while servers have so many.
    fn free_client_slots(&self, table: &SlotTable, server_connections: usize) -> usize {
        let unused =
            self.total_slots.saturating_sub(table.clients.len() + server_connections + self.server_headroom);
        unused.min(self.max_slots_per_side.saturating_sub(table.clients.len()))
    }

    /// The listener begins to wait for newcomers, or has given up. The one that it has in its hand is counted in the
    /// reserve.
    pub fn set_accepting(&self, on: bool) {
        self.lock().accepting = on;
    }

    /// A place for a newcomer, if there is one. Against newcomers that wait with the machine, unseen, for as long as
    /// those before them stay: while few slots are left, another gives way for each of them; once none is left
    /// there are more than that, and so must those be who go.
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

    /// Waits until a place may have come free.
    pub async fn wait_for_free_slot(&self) {
        let _ = tokio::time::timeout(FREE_SLOT_RECHECK_INTERVAL, self.slot_freed.notified()).await;
    }

    /// Whether few slots are left to newcomers since connections to servers hold more than is sure to them.
    pub fn servers_limit_clients(&self) -> bool {
        let table = self.lock();
        table.server_connections > self.guaranteed_server_slots()
            && self.free_client_slots(&table, table.server_connections) < self.accept_headroom
    }

    /// A place for a connection to a server, if there is one.
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
            // Against requests that find no connection to a server while idle peers have all that is not sure.
            table.evict_up_to(1);
        }
        Some(ServerSlot(self.clone()))
    }

    /// Connection slots that are sure to servers.
    fn guaranteed_server_slots(&self) -> usize {
        self.total_slots - self.max_slots_per_side
    }

    /// Whether no client is connected, and the listener waits for none.
    pub fn no_clients(&self) -> bool {
        let table = self.lock();
        table.clients.is_empty() && !table.accepting
    }
}

impl SlotTable {
    /// How many connections, but for one, give way to newcomers or are about to go.
    fn evictable_clients(&self, excluded: Option<ClientId>) -> usize {
        let now = Instant::now();
        let others = self.clients.iter().filter(|(id, _)| Some(**id) != excluded);
        others.filter(|(_, entry)| entry.closing || entry.state.eviction_rank(now).is_some()).count()
    }

    /// Asks clients that have rested to go, as far as there are more clients than so many.
    fn evict_idle_above(&mut self, threshold: usize) {
        let now = Instant::now();
        let may_be_idle =
            |entry: &&mut ClientEntry| !entry.closing && !matches!(entry.state, ClientState::Unclassified(_));
        let clients: Vec<_> = self.clients.values_mut().filter(may_be_idle).collect();
        let surplus = clients.len().saturating_sub(threshold);
        let evictable =
            clients.into_iter().filter_map(|entry| Some((entry.state.eviction_rank(now)?, entry)));
        let mut evictable: Vec<_> = evictable.collect();
        evictable.sort_unstable_by_key(|(rank, _)| *rank);
        evictable.into_iter().take(surplus).for_each(|(_, entry)| entry.request_eviction());
    }

    /// Asks up to so many connections to give their slots up, those whose turn it is. One that goes keeps its place
    /// for a moment longer, so that were all asked at once, all would have to go as soon as they have come: at most
    /// half of those that give way go at the same time.
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

/// The place of a client's connection; free again when dropped.
pub struct ClientSlot {
    id: ClientId,
    connection_slots: Arc<ConnectionSlots>,
    eviction_notify: Arc<Notify>,
}

impl ClientSlot {
    /// The connection's name.
    pub fn id(&self) -> ClientId {
        self.id
    }

    /// A request has come that is a proper one; whether it may be taken. From then on, and for as long as the
    /// terms want, the connection gives way to nobody.
    pub fn begin_request(&self) -> bool {
        let (mut table, now) = (self.connection_slots.lock(), Instant::now());
        // What is sure to servers is left to them, as the request may need one of them.
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

    /// Nothing is owed on the connection.
    pub fn set_idle(&self) {
        if let Some(entry) = self.connection_slots.lock().clients.get_mut(&self.id)
            && matches!(entry.state, ClientState::Open)
        {
            entry.state = ClientState::Idle(Instant::now());
        }
    }

    /// A client has rested for as long as the terms want.
    pub fn evict_surplus_idle(&self) {
        self.connection_slots.lock().evict_idle_above(self.connection_slots.idle_eviction_threshold);
    }

    /// Whether the connection is asked to give its place up.
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

    /// Waits until the connection may have been asked.
    pub async fn wait_for_eviction_request(&self) {
        self.eviction_notify.notified().await;
    }

    /// The connection is about to close by itself: there is no need to ask it.
    pub fn set_closing(&self) {
        if let Some(entry) = self.connection_slots.lock().clients.get_mut(&self.id) {
            entry.closing = true;
        }
    }

    /// A client is in the midst of a command and stays for now.
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

/// The place of a connection to a server; free again when dropped.
pub struct ServerSlot(Arc<ConnectionSlots>);

impl Drop for ServerSlot {
    fn drop(&mut self) {
        self.0.lock().server_connections -= 1;
        self.0.slot_freed.notify_one();
    }
}
