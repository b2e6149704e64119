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
pub const REST: Duration = Duration::from_secs(2);
/// While no place is free, one is looked for again after this long at the latest: time makes more connections
/// ready to give way, and nothing tells of it.
const AGAIN: Duration = Duration::from_millis(20);

/// Names a client's connection; never used twice.
pub type ClientId = u64;

/// The table of places, as many as there are descriptors beside the reserve.
pub struct Places {
    /// All of them.
    all: usize,
    /// As many as clients may have, and servers too: what this leaves is sure for the others.
    part: usize,
    /// So many are never held by requests and servers: newcomers are taken there, and served or refused, while
    /// all else is busy.
    spare: usize,
    /// So many are left to servers by newcomers, whatever servers have already.
    ahead: usize,
    /// From so many connections of clients on, those that have rested go also where nobody wants their places.
    /// Clients use at most a third of the descriptors, so that some of them want one and don't come.
    many: usize,
    taken: Mutex<Taken>,
    freed: Notify,
}

#[derive(Default)]
struct Taken {
    servers: usize,
    clients: HashMap<ClientId, Standing>,
    /// The name that was given last.
    last: ClientId,
    /// The listener may have a newcomer in its hand that has no place yet.
    listening: bool,
}

/// How a client's connection stands.
struct Standing {
    state: State,
    /// It gives its place up or was asked to.
    going: bool,
    wake: Arc<Notify>,
}

impl Standing {
    /// Asks the connection to give its place up.
    fn ask(&mut self) {
        self.going = true;
        self.wake.notify_one();
    }
}

#[derive(Clone, Copy)]
enum State {
    /// No request was taken on it yet, so whoever is there may be no client. Since it came, or since a request
    /// of it was refused for want of a place.
    Stranger(Instant),
    /// A request is open on it.
    Open,
    /// Nothing was open on it since then. What is no request does not count, however often it comes.
    Resting(Instant),
}

impl State {
    /// Whose turn it is to give way, the lowest first: strangers that have had their time, clients that have
    /// rested for as long, strangers that have not. Nobody else has to.
    fn turn(self, now: Instant) -> Option<(u8, Instant)> {
        match self {
            State::Stranger(since) if since + REST <= now => Some((0, since)),
            State::Resting(since) if since + REST <= now => Some((1, since)),
            State::Stranger(since) => Some((2, since)),
            State::Open | State::Resting(_) => None,
        }
    }
}

/// How a connection may give its place up.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Leave {
    /// A client's, which may be closed between requests.
    Client,
    /// No request was ever taken on it, and it has had its time.
    Stranger,
    /// The same, but a request may well be under way: one that is must find a refusal.
    Newcomer,
}

impl Places {
    /// The table of a node that may have so many sockets. Clients and servers share it; neither can take more of
    /// it than leaves the others a third at the least.
    pub fn new(sockets: usize) -> Arc<Places> {
        let all = sockets - (RESERVE + sockets / 32).min(sockets / 2);
        let part = all * 2 / 3;
        let spare = (part / 8).max(1);
        let (ahead, taken, freed) = ((spare / 2).max(1), Mutex::default(), Notify::new());
        let many = sockets / 3 - sockets / 24;
        Arc::new(Places { all, part, spare, ahead, many, taken, freed })
    }

    fn lock(&self) -> MutexGuard<'_, Taken> {
        self.taken.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Places that newcomers may still take while servers have so many.
    fn free(&self, taken: &Taken, servers: usize) -> usize {
        let left = self.all.saturating_sub(taken.clients.len() + servers + self.ahead);
        left.min(self.part.saturating_sub(taken.clients.len()))
    }

    /// The listener begins to wait for newcomers, or has given up. The one that it has in its hand is counted in the
    /// reserve.
    pub fn listening(&self, on: bool) {
        self.lock().listening = on;
    }

    /// A place for a newcomer, if there is one. Against newcomers that wait with the machine, unseen, for as long as
    /// those before them stay: while few places are left, another gives way for each of them; once none is left
    /// there are more than that, and so must those be who go.
    pub fn newcomer(self: &Arc<Self>) -> Option<Place> {
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
        let state = State::Stranger(Instant::now());
        taken.clients.insert(id, Standing { state, going: false, wake: wake.clone() });
        Some(Place { id, places: self.clone(), wake })
    }

    /// Waits until a place may have come free.
    pub async fn changed(&self) {
        let _ = tokio::time::timeout(AGAIN, self.freed.notified()).await;
    }

    /// Whether few places are left to newcomers since connections to servers hold more than is sure to them.
    pub fn servers_in_the_way(&self) -> bool {
        let taken = self.lock();
        taken.servers > self.sure() && self.free(&taken, taken.servers) < self.spare
    }

    /// A place for a connection to a server, if there is one.
    pub fn server(self: &Arc<Self>) -> Option<ServerPlace> {
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
        Some(ServerPlace(self.clone()))
    }

    /// Places that are sure to servers.
    fn sure(&self) -> usize {
        self.all - self.part
    }

    /// Whether no client is connected, and the listener waits for none.
    pub fn deserted(&self) -> bool {
        let taken = self.lock();
        taken.clients.is_empty() && !taken.listening
    }
}

impl Taken {
    /// How many connections, but for one, give way to newcomers or are about to go.
    fn loose(&self, but: Option<ClientId>) -> usize {
        let now = Instant::now();
        let others = self.clients.iter().filter(|(id, _)| Some(**id) != but);
        others.filter(|(_, standing)| standing.going || standing.state.turn(now).is_some()).count()
    }

    /// Asks clients that have rested to go, as far as there are more clients than so many.
    fn relieve(&mut self, many: usize) {
        let now = Instant::now();
        let client = |s: &&mut Standing| !s.going && !matches!(s.state, State::Stranger(_));
        let clients: Vec<_> = self.clients.values_mut().filter(client).collect();
        let over = clients.len().saturating_sub(many);
        let rested = clients.into_iter().filter_map(|s| Some((s.state.turn(now)?, s)));
        let mut rested: Vec<_> = rested.collect();
        rested.sort_unstable_by_key(|(turn, _)| *turn);
        rested.into_iter().take(over).for_each(|(_, standing)| standing.ask());
    }

    /// Asks up to so many connections to give their places up, those whose turn it is. One that goes keeps its place
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
pub struct Place {
    id: ClientId,
    places: Arc<Places>,
    wake: Arc<Notify>,
}

impl Place {
    /// The connection's name.
    pub fn id(&self) -> ClientId {
        self.id
    }

    /// A request has come that is a proper one; whether it may be taken. From then on, and for as long as the
    /// terms want, the connection gives way to nobody.
    pub fn hold(&self) -> bool {
        let (mut taken, now) = (self.places.lock(), Instant::now());
        // What is sure to servers is left to them, as the request may need one of them.
        let free = self.places.free(&taken, taken.servers.max(self.places.sure()));
        let loose = taken.loose(Some(self.id));
        let Some(standing) = taken.clients.get_mut(&self.id) else { return false };
        if standing.state.turn(now).is_some() && free + loose < self.places.spare {
            if let State::Stranger(since) = &mut standing.state {
                *since = now;
            }
            return false;
        }
        (standing.state, standing.going) = (State::Open, false);
        true
    }

    /// Nothing is owed on the connection.
    pub fn rest(&self) {
        if let Some(standing) = self.places.lock().clients.get_mut(&self.id)
            && matches!(standing.state, State::Open)
        {
            standing.state = State::Resting(Instant::now());
        }
    }

    /// A client has rested for as long as the terms want.
    pub fn rested(&self) {
        self.places.lock().relieve(self.places.many);
    }

    /// Whether the connection is asked to give its place up.
    pub fn asked(&self) -> Option<Leave> {
        let taken = self.places.lock();
        let standing = taken.clients.get(&self.id).filter(|standing| standing.going)?;
        Some(match standing.state {
            State::Open | State::Resting(_) => Leave::Client,
            State::Stranger(since) if since + REST <= Instant::now() => Leave::Stranger,
            State::Stranger(_) => Leave::Newcomer,
        })
    }

    /// Waits until the connection may have been asked.
    pub async fn pressed(&self) {
        self.wake.notified().await;
    }

    /// The connection is about to close by itself: there is no need to ask it.
    pub fn leaving(&self) {
        if let Some(standing) = self.places.lock().clients.get_mut(&self.id) {
            standing.going = true;
        }
    }

    /// A client is in the midst of a command and stays for now.
    pub fn stay(&self) {
        if let Some(standing) = self.places.lock().clients.get_mut(&self.id) {
            (standing.state, standing.going) = (State::Resting(Instant::now()), false);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut taken = self.places.lock();
        taken.clients.remove(&self.id);
        self.places.freed.notify_one();
    }
}

/// The place of a connection to a server; free again when dropped.
pub struct ServerPlace(Arc<Places>);

impl Drop for ServerPlace {
    fn drop(&mut self) {
        self.0.lock().servers -= 1;
        self.0.freed.notify_one();
    }
}
