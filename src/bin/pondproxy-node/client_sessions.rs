//! The server side: the listener, clients' connections, and the commands on them.

use std::collections::{HashSet, VecDeque};
use std::io;
use std::mem::take;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use pondproxy::settings::Deployment;
use pondproxy::{Idempotency, Key, Micros};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio::time::{Instant, sleep_until};
use xxhash_rust::xxh3::xxh3_64;

use crate::client_socket::{ClientLiveness, ClientSocket, READ_CHUNK_BYTES};
use crate::command_buffer::{BufferItem, CommandBuffer};
use crate::connection_slots::{ClientId, ClientSlot, ConnectionSlots, Eviction, MIN_IDLE_TIME};
use crate::event_loop::{Clock, NodeEvent};
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::resp;

/// Requests of one connection that are answered at the same time; more wait, or are refused. The first figure
/// holds until it is known how long the answers are: together they may hold the third, as a part of the memory.
const PIPELINE: (usize, usize, usize) = (16, 64, 16);
/// A connection that has brought no whole command for so long after it was taken is closed. All three of
/// these limits are points in time, which no dribbled byte moves.
const FIRST: Duration = Duration::from_millis(2_200);
/// A command must be whole so long after its first byte.
const WHOLE: Duration = Duration::from_secs(2);
/// An answer must be written so long after its turn has come.
const WRITTEN: Duration = Duration::from_secs(4);
/// A connection on which nothing is open goes after this long, also where nobody wants its place.
const IDLE: Duration = Duration::from_secs(15);
/// After an error that ends a connection, its client's input is read on for so long, and so much of it.
const LINGER: (Duration, usize) = (Duration::from_millis(200), 256 * 1024);
/// A long command waits for memory for so long, where others of its connection are open: behind it the client's
/// end can't be seen.
const LONG: Duration = Duration::from_millis(20);
/// Between two pieces of input that is not kept. Against floods: what they cost others must be little.
const PAUSE: Duration = Duration::from_millis(1);
/// The pause grows by so many times what the loop is late by, where this is more than the first figure, which
/// is how exact a timer is; up to the last. So many floods share what one may take.
const BUSY: (Duration, u32, Duration) = (Duration::from_millis(2), 4, Duration::from_millis(20));
/// Refused, and never sent on.
const REFUSAL: &str = "-BUSY\r\n";
/// Refusals that are written at once.
const REFUSALS: u64 = 512;
/// The longest key, id and list of facts.
const MAX_WORD: usize = 512;
/// The longest wait that a client may state, in milliseconds, unless its class allows for a longer one.
const MAX_WAIT_MS: f64 = 60_000.0;

/// What all connections of clients share.
pub struct SessionContext {
    pub deployment: Arc<Deployment>,
    pub clock: Clock,
    pub event_sender: mpsc::Sender<NodeEvent>,
    /// Where the node stands.
    pub phase: watch::Receiver<Phase>,
    /// The table of descriptors.
    pub connection_slots: Arc<ConnectionSlots>,
    /// Requests that may still be taken; one counts until its answer is passed on.
    pub request_permits: Arc<Semaphore>,
    /// What they and all else may hold.
    pub memory: MemoryBudget,
    /// Ids of the requests that are open.
    pub open_ids: Arc<Mutex<HashSet<Bytes>>>,
}

/// An id while its request is open. Against a client that names another's: the second is not taken.
struct Id(Bytes, Arc<Mutex<HashSet<Bytes>>>);

impl Id {
    fn claim(id: &Bytes, ids: &Arc<Mutex<HashSet<Bytes>>>) -> Option<Id> {
        let new = ids.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone());
        new.then(|| Id(id.clone(), ids.clone()))
    }
}

impl Drop for Id {
    fn drop(&mut self) {
        self.1.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.0);
    }
}

/// Where the node stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// It has no list of servers yet.
    Starting,
    /// It serves.
    Ready,
    /// It ends: connections are closed between requests.
    Draining,
}

/// A command of a client.
#[derive(Debug, Clone, Default)]
pub struct Command {
    pub write: bool,
    pub key: Bytes,
    pub id: Bytes,
    pub facts: String,
    pub value: Option<Bytes>,
    pub class: usize,
    pub tenant: usize,
    pub time_left: Micros,
    pub client_retry: bool,
    pub expected_work: Option<Micros>,
    pub value_bytes: f32,
}

impl Command {
    /// The key as the module knows it, the same at every node.
    pub fn hashed_key(&self) -> Key {
        let text = std::str::from_utf8(&self.key).ok();
        let hex = text.filter(|t| t.len() == 16).and_then(|t| u64::from_str_radix(t, 16).ok());
        hex.unwrap_or_else(|| xxh3_64(&self.key)).max(1)
    }
}

/// A command on its way to the node, and where its answer goes.
#[derive(Debug)]
pub struct ClientRequest {
    pub command: Command,
    pub received_at: Micros,
    pub client: ClientId,
    /// Whether the client is still there.
    pub liveness: ClientLiveness,
    pub reply_index: u64,
    pub reply_sender: mpsc::Sender<ClientReply>,
    /// What the request holds of the memory, its value and that value on its way included.
    pub reservation: MemoryReservation,
}

/// An answer for one of a connection's pending replies, and what it holds of the memory.
#[derive(Debug)]
pub struct ClientReply {
    pub reply_index: u64,
    pub bytes: Bytes,
    pub reservation: Option<MemoryReservation>,
}

/// Takes connections until the node drains, then those that the machine has already taken.
pub async fn listen(listener: TcpListener, context: Arc<SessionContext>) {
    let mut phase = context.phase.clone();
    loop {
        let draining = *phase.borrow() == Phase::Draining;
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = tokio::time::sleep(Duration::from_millis(5)), if draining => break,
            _ = phase.changed(), if !draining => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                let client_slot = loop {
                    let client_slot = context.connection_slots.acquire_for_client();
                    if context.connection_slots.servers_limit_clients() {
                        let _ = context.event_sender.try_send(NodeEvent::SlotsLow);
                    }
                    match client_slot {
                        Some(client_slot) => break client_slot,
                        None => context.connection_slots.wait_for_free_slot().await,
                    }
                };
                tokio::spawn(serve(stream, context.clone(), client_slot));
            }
            // Out of descriptors, or the client has left: neither ends the node.
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
    context.connection_slots.set_accepting(false);
}

/// Why a connection of a client ends.
#[derive(Debug, PartialEq)]
enum Ended {
    /// The client has closed it, or takes nothing.
    Gone,
    /// The node closes it: between requests, or after input that lost its framing.
    Closed,
}

async fn serve(stream: TcpStream, context: Arc<SessionContext>, client_slot: ClientSlot) {
    let _ = stream.set_nodelay(true);
    let (reply_sender, reply_receiver) = mpsc::channel(PIPELINE.1 + 1);
    let now = Instant::now();
    let mut session = Session {
        socket: ClientSocket::new(stream),
        client_slot,
        reply_sender,
        reply_receiver,
        input: CommandBuffer::new(context.memory.clone()),
        long_by: None,
        next_piece: now,
        output: None,
        pending_replies: VecDeque::new(),
        first: 0,
        broken: false,
        looked: false,
        longest: 0,
        whole_by: Some(now + FIRST),
        idle_since: now,
        rested_at: None,
        context,
    };
    let ended = session.run().await;
    let Session { mut socket, pending_replies, broken, context, client_slot, .. } = session;
    client_slot.set_closing();
    if ended == Ended::Closed && broken {
        socket.lingering_close(LINGER).await;
    }
    // From here on nothing is sent on for it, also while the news of its end waits behind others.
    drop(socket);
    if pending_replies.iter().any(PendingReply::open) {
        let _ = context.event_sender.send(NodeEvent::ClientDisconnected(client_slot.id())).await;
    }
}

/// The place of one answer, or of some.
enum PendingReply {
    /// It is owed. Counts the request among those that are open, and its id.
    Open {
        #[expect(dead_code, reason = "held for its drop")]
        counted: (OwnedSemaphorePermit, Id),
    },
    Ready(Bytes, Option<MemoryReservation>),
    /// So many commands that were passed over.
    Refusals(u64),
}

impl PendingReply {
    fn open(&self) -> bool {
        matches!(self, PendingReply::Open { .. })
    }
}

/// An answer that is being written.
struct Output {
    bytes: Bytes,
    by: Instant,
    _reservation: Option<MemoryReservation>,
}

struct Session {
    socket: ClientSocket,
    client_slot: ClientSlot,
    reply_sender: mpsc::Sender<ClientReply>,
    reply_receiver: mpsc::Receiver<ClientReply>,
    input: CommandBuffer,
    /// Until when a long command waits for memory.
    long_by: Option<Instant>,
    /// When the next piece of what is not kept is read.
    next_piece: Instant,
    output: Option<Output>,
    /// Answers in the order of their commands.
    pending_replies: VecDeque<PendingReply>,
    /// Index of the first pending reply.
    first: u64,
    /// No more is taken: the framing of the input is lost, or a time limit has passed.
    broken: bool,
    /// Since it was asked for its place, it was looked whether there is more to read.
    looked: bool,
    /// Its longest answer so far.
    longest: usize,
    /// When the command that is awaited must be whole; `None` where none has begun.
    whole_by: Option<Instant>,
    /// Since when nothing is owed.
    idle_since: Instant,
    /// When it will have rested; `None` once it has.
    rested_at: Option<Instant>,
    context: Arc<SessionContext>,
}

impl Session {
    async fn run(&mut self) -> Ended {
        let mut phase = self.context.phase.clone();
        let memory = self.context.memory.clone();
        // Until the machine has been asked: a client may have left while it waited to be accepted.
        tokio::task::yield_now().await;
        loop {
            self.take_commands().await;
            if self.output.is_none()
                && let Some((bytes, _reservation)) = self.next_answer()
            {
                self.output = Some(Output { bytes, by: Instant::now() + WRITTEN, _reservation });
            }
            if let Some(output) = &mut self.output {
                match self.socket.try_write(&output.bytes) {
                    Ok(count) if count == output.bytes.len() => {
                        self.output = None;
                        self.idle_since = Instant::now();
                        if self.pending_replies.is_empty() {
                            self.client_slot.set_idle();
                            self.rested_at = Some(Instant::now() + MIN_IDLE_TIME);
                        }
                        continue;
                    }
                    Ok(count) => {
                        let _ = output.bytes.split_to(count);
                        continue;
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => return Ended::Gone,
                }
            }
            let owes = !self.pending_replies.is_empty() || self.output.is_some();
            if !owes && self.broken {
                return Ended::Closed;
            }
            let draining = *phase.borrow() == Phase::Draining;
            let room = !self.broken && self.pending_replies.len() < self.pipeline() && self.output.is_none();
            if !room && self.whole_by.is_some() {
                // While others wait ahead of it the rest of a command is not waited for.
                self.whole_by = Some(Instant::now() + WHOLE);
            }
            // Against commands that together are longer than the memory: the long ones wait their turn, with
            // the client's own buffers, and those that wait too long are turned away.
            let long = room && !self.input.is_skipping() && self.input.is_full();
            let unread = self.socket.unread();
            let open = self.pending_replies.iter().any(PendingReply::open);
            if self.socket.read_closed() && (open || !(room && !long && unread)) {
                // Against requests that are sent on for a client that has left: it may leave while nothing is
                // taken, and for as long as its requests wait nothing may be.
                return Ended::Gone;
            }
            // A client's end lies behind all that it has sent: what can't be kept is passed over.
            if unread && !room && !self.broken && !self.input.is_skipping() && !self.input.try_grow() {
                self.input.start_skipping();
            }
            let skips = self.broken || self.input.is_skipping();
            self.long_by = (long && open).then(|| self.long_by.unwrap_or_else(|| Instant::now() + LONG));
            let (long_by, next_piece) = (self.long_by, self.next_piece.max(Instant::now()));
            let between = !owes && self.input.is_empty() && !unread;
            let asked = self.client_slot.eviction_requested();
            self.looked &= asked.is_some();
            // One that goes on to send what is no request is not waited for.
            let chatters =
                |leave: &Eviction| *leave == Eviction::Unclassified && self.first > PIPELINE.1 as u64;
            if let Some(leave) = asked.filter(|leave| long || !unread || chatters(leave)) {
                match leave {
                    // Against a request that the machine has and the runtime has not told of yet.
                    _ if room && !long && !std::mem::replace(&mut self.looked, true) => {
                        self.socket.assume_unread()
                    }
                    Eviction::IdleClient | Eviction::Unclassified if between && self.first > 0 => {
                        return Ended::Closed;
                    }
                    Eviction::IdleClient => self.client_slot.cancel_eviction(),
                    _ if owes => return Ended::Gone,
                    // Against a request that is lost because it crosses the close: what is under way finds its
                    // answer there. It is refused, as it is never read.
                    Eviction::Unclassified | Eviction::NewlyAccepted => {
                        self.broken = true;
                        self.answer_now(REFUSAL);
                    }
                }
                continue;
            }
            let by = self.output.as_ref().map(|output| output.by);
            let whole_by = self.whole_by.filter(|_| room);
            tokio::select! {
                biased;
                answer = self.reply_receiver.recv() => {
                    self.longest = answer.as_ref().map_or(0, |a| a.bytes.len()).max(self.longest);
                    if let Some(ClientReply { reply_index, bytes, reservation }) = answer
                        && let Some(place) =
                            self.pending_replies.get_mut(reply_index.saturating_sub(self.first) as usize)
                    {
                        *place = PendingReply::Ready(bytes, reservation);
                    }
                }
                () = tokio::task::yield_now(), if unread && !skips && !long => {
                    let now = self.context.clock.now();
                    if left(self.socket.read(|piece| self.input.add(piece, now))) {
                        return Ended::Gone;
                    }
                }
                () = sleep_until(next_piece), if unread && skips => {
                    let late = next_piece.elapsed().saturating_sub(BUSY.0);
                    self.next_piece = Instant::now() + (PAUSE + BUSY.1 * late).min(BUSY.2);
                    if left(
                        self.socket.read_discarded(|piece| if !self.broken { self.input.add(piece, 0) })
                    ) {
                        return Ended::Gone;
                    }
                }
                reservation = memory.reserve(2 * resp::MAX_VALUE_BYTES), if long =>
                    self.input.add_reservation(reservation, 2 * resp::MAX_VALUE_BYTES),
                () = until(long_by), if long_by.is_some() => self.input.start_skipping(),
                news = self.socket.wait_ready(self.output.is_some()) => {
                    if news.is_err() {
                        return Ended::Gone;
                    }
                }
                _ = phase.changed(), if !draining => {}
                () = std::future::ready(()), if draining && between => return Ended::Closed,
                () = self.client_slot.wait_for_eviction_request() => {}
                () = until(self.rested_at), if between && self.rested_at.is_some() => {
                    self.rested_at = None;
                    self.client_slot.evict_surplus_idle();
                }
                () = until(whole_by), if whole_by.is_some() => {
                    // Against clients that say nothing or leave a command half said: they hold a place that
                    // others want. What was whole before is still answered.
                    self.broken = true;
                    self.answer_now("-ERR no whole command in time\r\n");
                }
                () = until(by), if by.is_some() => return Ended::Gone,
                () = sleep_until(self.idle_since + IDLE), if between && self.first > 0 =>
                    return Ended::Closed,
            }
        }
    }

    /// How many requests may be open at once. Against a client that takes no answers: it must not hold the
    /// memory that others need.
    fn pipeline(&self) -> usize {
        match self.longest {
            0 => PIPELINE.0,
            longest => (self.context.memory.total_bytes() / PIPELINE.2 / longest).clamp(1, PIPELINE.1),
        }
    }

    /// Takes the commands that are whole. The limit on one that is not runs from its first byte.
    async fn take_commands(&mut self) {
        while !self.broken
            && self.pending_replies.len() < self.pipeline()
            && self.output.is_none()
            && let Some(next) = self.input.next()
        {
            match next {
                BufferItem::Command(words, received_at) => {
                    self.whole_by = None;
                    self.command(words, received_at).await;
                }
                // Forced by memory: there was no room for them, and they were never sent.
                BufferItem::Skipped(more) => {
                    self.whole_by = None;
                    match self.pending_replies.back_mut() {
                        Some(PendingReply::Refusals(count)) => *count += more,
                        _ => self.pending_replies.push_back(PendingReply::Refusals(more)),
                    }
                }
                BufferItem::Malformed(what) => {
                    self.answer_now(format!("-ERR protocol error: {what}\r\n"));
                    self.broken = true;
                }
            }
        }
        if self.broken {
            self.input = CommandBuffer::new(self.context.memory.clone());
        } else if self.input.has_partial_command() {
            self.whole_by.get_or_insert_with(|| Instant::now() + WHOLE);
        }
    }

    /// The answer whose turn it is.
    fn next_answer(&mut self) -> Option<(Bytes, Option<MemoryReservation>)> {
        let answer = match self.pending_replies.front_mut()? {
            PendingReply::Open { .. } => return None,
            PendingReply::Ready(bytes, reservation) => (take(bytes), reservation.take()),
            PendingReply::Refusals(count) => {
                let some = REFUSALS.min(*count);
                *count -= some;
                (REFUSAL.repeat(some as usize).into(), None)
            }
        };
        if !matches!(self.pending_replies.front(), Some(PendingReply::Refusals(1..))) {
            self.pending_replies.pop_front();
            self.first += 1;
        }
        Some(answer)
    }

    fn answer_now(&mut self, answer: impl Into<Bytes>) {
        self.pending_replies.push_back(PendingReply::Ready(answer.into(), None));
    }

    async fn command(&mut self, words: Vec<Bytes>, received_at: Micros) {
        let name = words.first().map(|name| name.to_ascii_uppercase()).unwrap_or_default();
        let command = match name.as_slice() {
            b"PING" => {
                let starting = *self.context.phase.borrow() == Phase::Starting;
                return self.answer_now(if starting {
                    "-LOADING no list of servers yet\r\n"
                } else {
                    "+PONG\r\n"
                });
            }
            b"OBJ.GET" => parse(&words, false, &self.context.deployment),
            b"OBJ.SET" => parse(&words, true, &self.context.deployment),
            _ => Err("unknown command"),
        };
        match command {
            // Forced by the input: the module can't be told of a request that names none of its classes.
            Err(what) => self.answer_now(format!("-ERR {what}\r\n")),
            Ok(command) => {
                // Forced by a full table of sockets: refused, as it was never sent. The connection may stay until
                // another wants its place, since a client that loses it comes again on a new one.
                if !self.client_slot.begin_request() {
                    return self.answer_now(REFUSAL);
                }
                // Against work for nobody: there is no one to answer.
                if self.socket.read_closed() {
                    return self.answer_now(REFUSAL);
                }
                // Forced by the end of the process: on a connection that always has a request open there is no
                // moment to close it in, and what is taken now could be unanswered when the platform kills the
                // node. Refused, as it was never sent; another node takes it.
                if *self.context.phase.borrow() == Phase::Draining {
                    return self.answer_now(REFUSAL);
                }
                let Some(id) = Id::claim(&command.id, &self.context.open_ids) else {
                    return self.answer_now("-ERR a request with this id is open\r\n");
                };
                // Forced by memory: a request that finds the table full is turned away, and was never sent.
                let value = command.value.as_ref().map_or(0, Bytes::len);
                let Some((permit, reservation)) =
                    self.context.request_permits.clone().try_acquire_owned().ok().zip(
                        // The value, and the same on its way to the origin.
                        self.context.memory.try_reserve(READ_CHUNK_BYTES + 2 * value),
                    )
                else {
                    return self.answer_now(REFUSAL);
                };
                let reply_index = self.first + self.pending_replies.len() as u64;
                self.pending_replies.push_back(PendingReply::Open { counted: (permit, id) });
                let (client, liveness, reply_sender) =
                    (self.client_slot.id(), self.socket.liveness(), self.reply_sender.clone());
                let asked = Box::new(ClientRequest {
                    command,
                    received_at,
                    client,
                    liveness,
                    reply_index,
                    reply_sender,
                    reservation,
                });
                let _ = self.context.event_sender.send(NodeEvent::Request(asked)).await;
            }
        }
    }
}

/// Whether a read shows that the client has left.
fn left(read: io::Result<usize>) -> bool {
    match read {
        Ok(count) => count == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Waits until a point in time; for ever where there is none.
async fn until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// Reads a command's words. Against requests that mean nothing, or one thing here and another at a server:
/// each fact stands there once, and those that are known can be read.
fn parse(words: &[Bytes], write: bool, deployment: &Deployment) -> Result<Command, &'static str> {
    if words.len() != if write { 5 } else { 4 } {
        return Err("wrong number of arguments");
    }
    // What goes on to a server must not break its framing there.
    let plain =
        |word: &Bytes| !word.is_empty() && word.len() <= MAX_WORD && word.iter().all(u8::is_ascii_graphic);
    if !words[1..4].iter().all(plain) {
        return Err("invalid key, id or facts");
    }
    let facts = String::from_utf8_lossy(&words[3]).into_owned();
    let (mut class, mut tenant, mut wait, mut keyed) = (None, None, None, false);
    let mut command = Command { write, key: words[1].clone(), id: words[2].clone(), ..Command::default() };
    let mut seen: Vec<&str> = Vec::new();
    for fact in facts.split(',') {
        let (name, value) = fact.split_once('=').ok_or("invalid facts")?;
        if name.is_empty() || seen.contains(&name) {
            return Err("a fact without a name or given twice");
        }
        seen.push(name);
        let place = |names: &[String]| names.iter().position(|known| known == value);
        match name {
            "c" => class = Some(place(&deployment.classes).ok_or("unknown class")?),
            "t" if !deployment.tenants.is_empty() => {
                tenant = Some(place(&deployment.tenants).ok_or("unknown tenant")?)
            }
            "d" => wait = Some(number(value).ok_or("invalid d")?),
            "k" => keyed = !value.is_empty(),
            "r" => {
                command.client_retry =
                    matches!(value, "0" | "1").then_some(value == "1").ok_or("invalid r")?
            }
            "h" => command.expected_work = Some(number(value).ok_or("invalid h")? as Micros),
            "size" => command.value_bytes = number(value).ok_or("invalid size")? as f32,
            _ => {}
        }
    }
    command.class = class.ok_or("no class")?;
    if tenant.is_none() && !deployment.tenants.is_empty() {
        return Err("no tenant");
    }
    command.tenant = tenant.unwrap_or(0);
    let class = &deployment.settings.classes[command.class];
    if write && matches!(class.idempotency, Idempotency::Deduplicated { .. }) && !keyed {
        return Err("no k for a keyed write");
    }
    let wait = wait.ok_or("no d")?;
    if wait > MAX_WAIT_MS.max(class.deadline as f64 / 1e3) {
        return Err("invalid d");
    }
    // Nobody waits for longer than the class allows for, whatever is said.
    command.time_left = ((wait * 1e3) as Micros).min(class.deadline);
    command.value = words.get(4).cloned();
    command.facts = facts;
    Ok(command)
}

/// A plain decimal number: no sign, no exponent, no word such as `nan`.
fn number(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|number: &f64| plain && text.len() <= 16 && number.is_finite())
}
