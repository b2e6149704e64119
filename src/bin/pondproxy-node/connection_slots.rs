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
const RESERVE: usize = 16;
/// A connection on which nothing is open may go after this long, where others want its place.
pub const MIN_IDLE_TIME: Duration = Duration::from_secs(2);
/// While no place is free, one is looked for again after this long at the latest: time makes more connections
/// ready to give way, and nothing tells of it.
const AGAIN: Duration = Duration::from_millis(20);

/// Names a client's connection; never used twice.
pub type ClientId = u64;

/// The table of connection slots, as many as there are descriptors beside the reserve.
pub struct ConnectionSlots {
    /// All of them.
    all: usize,
    /// As many as clients may have, and servers too: what this leaves is sure for the others.
    part: usize,
    /// So many are never held by requests and servers: newcomers are taken there, and served or refused, while
    /// all else is busy.
    spare: usize,
    /// So many are left to servers by newcomers, whatever servers have already.
    ahead: usize,
    /// From so many connections of clients on, those that have rested go also where nobody wants their connection slots.
    /// Clients use at most a third of the descriptors, so that some of them want one and don't come.
    many: usize,
    taken: Mutex<SlotTable>,
    freed: Notify,
}

#[derive(Default)]
struct SlotTable {
    servers: usize,
    clients: HashMap<ClientId, ClientEntry>,
    /// The name that was given last.
    last: ClientId,
    /// The listener may have a newcomer in its hand that has no place yet.
    listening: bool,
}

/// How a client's connection stands.
struct ClientEntry {
    state: ClientState,
    /// It gives its place up or was asked to.
    going: bool,
    wake: Arc<Notify>,
}

impl ClientEntry {
    /// Asks the connection to give its place up.
    fn ask(&mut self) {
        self.going = true;
        self.wake.notify_one();
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
    fn turn(self, now: Instant) -> Option<(u8, Instant)> {
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
        let all = sockets - (RESERVE + sockets / 32).min(sockets / 2);
        let part = all * 2 / 3;
        let spare = (part / 8).max(1);
        let (ahead, taken, freed) = ((spare / 2).max(1), Mutex::default(), Notify::new());
        let many = sockets / 3 - sockets / 24;
        Arc::new(ConnectionSlots { all, part, spare, ahead, many, taken, freed })
    }

    fn lock(&self) -> MutexGuard<'_, SlotTable> {
        self.taken.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connection slots that newcomers may still take while servers have so many.
    fn free(&self, taken: &SlotTable, servers: usize) -> usize {
        let left = self.all.saturating_sub(taken.clients.len() + servers + self.ahead);
        left.min(self.part.saturating_sub(taken.clients.len()))
    }

    /// The listener begins to wait for newcomers, or has given up. The one that it has in its hand is counted in the
    /// reserve.
    pub fn set_accepting(&self, on: bool) {
        self.lock().listening = on;
    }

    /// A place for a newcomer, if there is one. Against newcomers that wait with the machine, unseen, for as long as
    /// those before them stay: while few slots are left, another gives way for each of them; once none is left
    /// there are more than that, and so must those be who go.
    pub fn acquire_for_client(self: &Arc<Self>) -> Option<ClientSlot> {
        let mut taken = self.lock();
        taken.relieve(self.many);
        let free = self.free(&taken, taken.servers);
        match free {
            0 => taken.make_room(usize::MAX),
            few if few <= self.spare => taken.make_room(1),
            _ => {}
        }
        if free == 0 {
            return None;
        }
        taken.last += 1;
        let (id, wake) = (taken.last, Arc::<Notify>::default());
        let state = ClientState::Unclassified(Instant::now());
        taken.clients.insert(id, ClientEntry { state, going: false, wake: wake.clone() });
        Some(ClientSlot { id, connection_slots: self.clone(), wake })
    }

    /// Waits until a place may have come free.
    pub async fn wait_for_free_slot(&self) {
        let _ = tokio::time::timeout(AGAIN, self.freed.notified()).await;
    }

    /// Whether few slots are left to newcomers since connections to servers hold more than is sure to them.
    pub fn servers_limit_clients(&self) -> bool {
        let taken = self.lock();
        taken.servers > self.sure() && self.free(&taken, taken.servers) < self.spare
    }

    /// A place for a connection to a server, if there is one.
    pub fn acquire_for_server(self: &Arc<Self>) -> Option<ServerSlot> {
        let mut taken = self.lock();
        let left = self.all.saturating_sub(taken.clients.len() + taken.servers);
        let sure = taken.servers < self.sure();
        let open = || taken.clients.len() - taken.loose(None) + taken.servers + self.spare < self.all;
        if left == 0 || taken.servers >= self.part || !(sure || open()) {
            return None;
        }
        taken.servers += 1;
        if left <= self.ahead {
            // Against requests that find no connection to a server while idle peers have all that is not sure.
            taken.make_room(1);
        }
        Some(ServerSlot(self.clone()))
    }

    /// Connection slots that are sure to servers.
    fn sure(&self) -> usize {
        self.all - self.part
    }

    /// Whether no client is connected, and the listener waits for none.
    pub fn no_clients(&self) -> bool {
        let taken = self.lock();
        taken.clients.is_empty() && !taken.listening
    }
}

impl SlotTable {
    /// How many connections, but for one, give way to newcomers or are about to go.
    fn loose(&self, but: Option<ClientId>) -> usize {
        let now = Instant::now();
        let others = self.clients.iter().filter(|(id, _)| Some(**id) != but);
        others.filter(|(_, standing)| standing.going || standing.state.turn(now).is_some()).count()
    }

    /// Asks clients that have rested to go, as far as there are more clients than so many.
    fn relieve(&mut self, many: usize) {
        let now = Instant::now();
        let client = |s: &&mut ClientEntry| !s.going && !matches!(s.state, ClientState::Unclassified(_));
        let clients: Vec<_> = self.clients.values_mut().filter(client).collect();
        let over = clients.len().saturating_sub(many);
        let rested = clients.into_iter().filter_map(|s| Some((s.state.turn(now)?, s)));
        let mut rested: Vec<_> = rested.collect();
        rested.sort_unstable_by_key(|(turn, _)| *turn);
        rested.into_iter().take(over).for_each(|(_, standing)| standing.ask());
    }

    /// Asks up to so many connections to give their slots up, those whose turn it is. One that goes keeps its place
    /// for a moment longer, so that were all asked at once, all would have to go as soon as they have come: at most
    /// half of those that give way go at the same time.
    fn make_room(&mut self, count: usize) {
        let now = Instant::now();
        let going = self.clients.values().filter(|standing| standing.going).count();
        let most = (self.loose(None).div_ceil(2)).saturating_sub(going).min(count);
        let turns = self.clients.values_mut().filter(|standing| !standing.going);
        let mut turns: Vec<_> = turns.filter_map(|s| Some((s.state.turn(now)?, s))).collect();
        turns.sort_unstable_by_key(|(turn, _)| *turn);
        turns.into_iter().take(most).for_each(|(_, standing)| standing.ask());
    }
}

/// The place of a client's connection; free again when dropped.
pub struct ClientSlot {
    id: ClientId,
    connection_slots: Arc<ConnectionSlots>,
    wake: Arc<Notify>,
}

impl ClientSlot {
    /// The connection's name.
    pub fn id(&self) -> ClientId {
        self.id
    }

    /// A request has come that is a proper one; whether it may be taken. From then on, and for as long as the
    /// terms want, the connection gives way to nobody.
    pub fn begin_request(&self) -> bool {
        let (mut taken, now) = (self.connection_slots.lock(), Instant::now());
        // What is sure to servers is left to them, as the request may need one of them.
        let free = self.connection_slots.free(&taken, taken.servers.max(self.connection_slots.sure()));
        let loose = taken.loose(Some(self.id));
        let Some(standing) = taken.clients.get_mut(&self.id) else { return false };
        if standing.state.turn(now).is_some() && free + loose < self.connection_slots.spare {
            if let ClientState::Unclassified(since) = &mut standing.state {
                *since = now;
            }
            return false;
        }
        (standing.state, standing.going) = (ClientState::Open, false);
        true
    }

    /// Nothing is owed on the connection.
    pub fn set_idle(&self) {
        if let Some(standing) = self.connection_slots.lock().clients.get_mut(&self.id)
            && matches!(standing.state, ClientState::Open)
        {
            standing.state = ClientState::Idle(Instant::now());
        }
    }

    /// A client has rested for as long as the terms want.
    pub fn evict_surplus_idle(&self) {
        self.connection_slots.lock().relieve(self.connection_slots.many);
    }

    /// Whether the connection is asked to give its place up.
    pub fn eviction_requested(&self) -> Option<Eviction> {
        let taken = self.connection_slots.lock();
        let standing = taken.clients.get(&self.id).filter(|standing| standing.going)?;
        Some(match standing.state {
            ClientState::Open | ClientState::Idle(_) => Eviction::IdleClient,
            ClientState::Unclassified(since) if since + MIN_IDLE_TIME <= Instant::now() => {
                Eviction::Unclassified
            }
            ClientState::Unclassified(_) => Eviction::NewlyAccepted,
        })
    }

    /// Waits until the connection may have been asked.
    pub async fn wait_for_eviction_request(&self) {
        self.wake.notified().await;
    }

    /// The connection is about to close by itself: there is no need to ask it.
    pub fn set_closing(&self) {
        if let Some(standing) = self.connection_slots.lock().clients.get_mut(&self.id) {
            standing.going = true;
        }
    }

    /// A client is in the midst of a command and stays for now.
    pub fn cancel_eviction(&self) {
        if let Some(standing) = self.connection_slots.lock().clients.get_mut(&self.id) {
            (standing.state, standing.going) = (ClientState::Idle(Instant::now()), false);
        }
    }
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        let mut taken = self.connection_slots.lock();
        taken.clients.remove(&self.id);
        self.connection_slots.freed.notify_one();
    }
}

/// The place of a connection to a server; free again when dropped.
pub struct ServerSlot(Arc<ConnectionSlots>);

impl Drop for ServerSlot {
    fn drop(&mut self) {
        self.0.lock().servers -= 1;
        self.0.freed.notify_one();
    }
}
