//! Client connections: the listener, and one session for each connection.
//!
//! A session reads commands, hands requests to the event loop, and writes the replies in the order of the
//! commands. It knows nothing of servers or of how requests are routed.

use std::collections::VecDeque;
use std::io;
use std::mem::take;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pondproxy::settings::Deployment;
use pondproxy::{Idempotency, Micros};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio::time::{Instant, sleep_until};

use crate::client_command::{Command, parse_command};
use crate::client_socket::{ClientLiveness, ClientSocket, READ_CHUNK_BYTES};
use crate::command_buffer::{BufferItem, CommandBuffer};
use crate::connection_slots::{ClientId, ClientSlot, ConnectionSlots, Eviction, MIN_IDLE_TIME};
use crate::event_loop::{Clock, NodeEvent};
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::request_ids::{ClaimedId, IdConflict, RequestIds};
use crate::resp;

/// Maximum number of pending replies of one connection until its first request has been answered, which shows
/// how long its replies are. Further commands wait in the buffer, or are skipped and answered with `-BUSY`.
const INITIAL_PIPELINE_LENGTH: usize = 16;
/// Maximum number of pending replies of one connection, however short its replies are.
const MAX_PIPELINE_LENGTH: usize = 64;
/// The pending replies of one connection may together take at most the node's memory budget divided by this.
/// Each of them is assumed to be as long as the connection's longest reply so far.
const PIPELINE_MEMORY_DIVISOR: usize = 16;
/// Time after acceptance within which a connection must have sent a complete command, or it is closed.
/// Neither this time-out nor the next two start again with each byte, so a client that sends or reads single
/// bytes does not extend them.
const FIRST_COMMAND_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Time within which a command must be complete, counted from when the session finds the command's beginning
/// in the buffer, or from when earlier commands no longer keep it from being read. For the first command of a
/// connection, `FIRST_COMMAND_TIMEOUT` applies instead.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which a reply must be written completely, counted from when its writing starts.
const REPLY_WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time since its last reply after which an idle connection is closed even if its slot is not needed. Replies
/// to commands that are not requests, such as `PING`, count too.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum time for which input is read and discarded after the last reply of a connection that the node
/// closes after a protocol error, a time-out of a command or a busy reply on eviction.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of bytes that are read and discarded during `LINGER_TIMEOUT`.
const LINGER_MAX_BYTES: usize = 256 * 1024;
/// Maximum time for which a long command waits for memory while other requests of its connection are open. It
/// is short because a client's disconnect may not be visible until the input before it has been read.
const LONG_COMMAND_MEMORY_WAIT: Duration = Duration::from_millis(20);
/// Minimum pause between two reads of input that is discarded. Limits the processing time that a flooding
/// client takes from other connections.
const DISCARD_PAUSE: Duration = Duration::from_millis(1);
/// Precision of the runtime's timers; a discarding read that starts late by no more than this does not
/// lengthen the pause.
const TIMER_PRECISION: Duration = Duration::from_millis(2);
/// The pause after a discarding read is lengthened by this factor times the part of the read's lateness that
/// exceeds `TIMER_PRECISION`. As reads start late when the node is busy, flooding connections together take
/// no more processing time than one may, however many there are.
const DISCARD_LATENESS_FACTOR: u32 = 4;
/// Maximum pause between two discarding reads.
const MAX_DISCARD_PAUSE: Duration = Duration::from_millis(20);
/// Time without a new connection after which a draining node stops accepting. It lets the runtime report the
/// connections that are still in the kernel's accept queue.
const DRAIN_ACCEPT_WAIT: Duration = Duration::from_millis(5);
/// Pause after a failed call to accept a connection. While no descriptor is left, each call fails at once,
/// and calling again without a pause would keep the node's only thread busy.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Reply to a command that was refused and never forwarded.
const BUSY_REPLY: &str = "-BUSY\r\n";
/// Maximum number of busy replies that are written at once.
const MAX_BUSY_REPLIES_PER_WRITE: u64 = 512;

/// State that all client connections share.
pub struct SessionContext {
    pub deployment: Arc<Deployment>,
    pub clock: Clock,
    pub event_sender: mpsc::Sender<NodeEvent>,
    /// The current phase of the node.
    pub phase: watch::Receiver<Phase>,
    /// The table that limits the number of connections.
    pub connection_slots: Arc<ConnectionSlots>,
    /// Permits for open requests; each is held until the session has received the reply.
    pub request_permits: Arc<Semaphore>,
    /// The memory budget of the node.
    pub memory: MemoryBudget,
    /// Ids of open requests, and of recent ones that may have had side effects.
    pub request_ids: Arc<RequestIds>,
}

/// Phase of the life of a node.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// No server list that may be used and has a server that accepts requests has arrived yet.
    Starting,
    /// The node accepts requests.
    Ready,
    /// The node shuts down: connections are closed between requests, and new requests are refused.
    Draining,
    /// The process exits soon: nothing more is read, and each connection is closed once all that was read on
    /// it is answered.
    Stopping,
}

impl Phase {
    /// Whether the node shuts down.
    fn is_shutdown(self) -> bool {
        matches!(self, Phase::Draining | Phase::Stopping)
    }
}

/// A client's request for the event loop, and where to send the reply.
#[derive(Debug)]
pub struct ClientRequest {
    pub command: Command,
    pub received_at: Micros,
    pub client: ClientId,
    /// Tells whether the client is still connected.
    pub liveness: ClientLiveness,
    /// Identifies the pending reply among those of its connection.
    pub reply_index: u64,
    pub reply_sender: mpsc::Sender<ClientReply>,
    /// Memory for the request, which includes its value and the copy of the value that is sent to a server.
    pub reservation: MemoryReservation,
}

/// The reply to one of a connection's open requests, and the memory that is reserved for the reply.
#[derive(Debug)]
pub struct ClientReply {
    pub reply_index: u64,
    pub bytes: Bytes,
    /// Whether the request was refused: it was not executed, or executing it again is harmless.
    pub refused: bool,
    pub reservation: Option<MemoryReservation>,
}

/// Accepts connections until the node drains, and then the connections that are left in the kernel's accept
/// queue.
pub async fn listen(listener: TcpListener, context: Arc<SessionContext>) {
    let mut phase = context.phase.clone();
    loop {
        let draining = phase.borrow().is_shutdown();
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = tokio::time::sleep(DRAIN_ACCEPT_WAIT), if draining => break,
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
                tokio::spawn(serve_client(stream, context.clone(), client_slot));
            }
            // Either no descriptor is left or the client has disconnected; neither is a reason to stop the
            // node.
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    context.connection_slots.set_accepting(false);
}

/// Why a session ends.
#[derive(Debug, PartialEq)]
enum SessionEnd {
    /// The connection ends at once, and pending replies are dropped: the client has disconnected or does not
    /// read its replies, or the connection is evicted while replies are pending.
    Aborted,
    /// The node closes the connection: between requests, or when `Session::input_abandoned` is set and all
    /// replies are written.
    Closed,
}

/// Serves a connection until it ends, and reports the disconnect if requests are still open.
async fn serve_client(stream: TcpStream, context: Arc<SessionContext>, client_slot: ClientSlot) {
    let _ = stream.set_nodelay(true);
    let (reply_sender, reply_receiver) = mpsc::channel(MAX_PIPELINE_LENGTH + 1);
    let now = Instant::now();
    let mut session = Session {
        socket: ClientSocket::new(stream),
        client_slot,
        reply_sender,
        reply_receiver,
        input: CommandBuffer::new(context.memory.clone()),
        memory_wait_deadline: None,
        next_discard_at: now,
        pending_write: None,
        pending_replies: VecDeque::new(),
        first_reply_index: 0,
        input_abandoned: false,
        input_rechecked: false,
        longest_reply_bytes: 0,
        command_deadline: Some(now + FIRST_COMMAND_TIMEOUT),
        idle_since: now,
        evictable_at: None,
        context,
    };
    let session_end = session.run().await;
    let Session { mut socket, pending_replies, input_abandoned, context, client_slot, .. } = session;
    client_slot.set_closing();
    if session_end == SessionEnd::Closed && input_abandoned {
        socket.lingering_close(LINGER_TIMEOUT, LINGER_MAX_BYTES).await;
    } else if session_end == SessionEnd::Closed && socket.unread() {
        socket.close_sending_side(LINGER_TIMEOUT).await;
    }
    // Once the socket is dropped, `ClientLiveness` reports the client as disconnected: no attempt is sent for
    // it from here on, even while the event below waits in the queue.
    drop(socket);
    if pending_replies.iter().any(PendingReply::is_open) {
        let _ = context.event_sender.send(NodeEvent::ClientDisconnected(client_slot.id())).await;
    }
}

/// The pending reply to one command, or to several that were skipped.
enum PendingReply {
    /// The request is open. Holds its permit and its id.
    Open {
        _permit: OwnedSemaphorePermit,
        id: ClaimedId,
    },
    Ready(Bytes, Option<MemoryReservation>),
    /// Number of skipped commands, each of which gets a busy reply.
    BusyReplies(u64),
}

impl PendingReply {
    fn is_open(&self) -> bool {
        matches!(self, PendingReply::Open { .. })
    }

    /// Ends an open request with its reply.
    fn set_ready(&mut self, reply: ClientReply) {
        if let PendingReply::Open { id, .. } = self
            && reply.refused
        {
            id.set_never_executed();
        }
        *self = PendingReply::Ready(reply.bytes, reply.reservation);
    }
}

/// A reply that is being written.
struct PendingWrite {
    bytes: Bytes,
    deadline: Instant,
    _reservation: Option<MemoryReservation>,
}

/// The session of one connection to the node.
struct Session {
    socket: ClientSocket,
    client_slot: ClientSlot,
    reply_sender: mpsc::Sender<ClientReply>,
    reply_receiver: mpsc::Receiver<ClientReply>,
    input: CommandBuffer,
    /// When a long command stops waiting for memory.
    memory_wait_deadline: Option<Instant>,
    /// When input that is discarded is read next.
    next_discard_at: Instant,
    pending_write: Option<PendingWrite>,
    /// Replies in the order of their commands.
    pending_replies: VecDeque<PendingReply>,
    /// Index of the first pending reply; 0 until a reply has been taken for writing.
    first_reply_index: u64,
    /// No more commands are accepted: the framing of the input is lost, a command has timed out, or the
    /// connection is evicted with a busy reply.
    input_abandoned: bool,
    /// Whether the socket has been checked once more for input since the connection was asked to close.
    input_rechecked: bool,
    /// Length of the longest reply that the event loop has sent so far; 0 before the first.
    longest_reply_bytes: usize,
    /// When the command that is being received, or a connection's first command, must be complete; `None` if
    /// neither is awaited.
    command_deadline: Option<Instant>,
    /// When the last reply was written completely, or when the session started.
    idle_since: Instant,
    /// When the connection will have been without an unwritten reply for `MIN_IDLE_TIME`; `None` before the
    /// first reply, and once surplus idle connections have been evicted at that time.
    evictable_at: Option<Instant>,
    context: Arc<SessionContext>,
}

impl Session {
    async fn run(&mut self) -> SessionEnd {
        let mut phase = self.context.phase.clone();
        let memory = self.context.memory.clone();
        // Lets the runtime poll the kernel first: the client may have disconnected while it waited to be
        // accepted.
        tokio::task::yield_now().await;
        loop {
            self.take_commands().await;
            if self.pending_write.is_none()
                && let Some((bytes, _reservation)) = self.next_reply()
            {
                self.pending_write = Some(PendingWrite {
                    bytes,
                    deadline: Instant::now() + REPLY_WRITE_TIMEOUT,
                    _reservation,
                });
            }
            if let Some(pending_write) = &mut self.pending_write {
                match self.socket.write_available(&pending_write.bytes).await {
                    Ok(count) if count == pending_write.bytes.len() => {
                        self.pending_write = None;
                        self.idle_since = Instant::now();
                        if self.pending_replies.is_empty() {
                            self.client_slot.set_idle();
                            self.evictable_at = Some(Instant::now() + MIN_IDLE_TIME);
                        }
                        continue;
                    }
                    Ok(count) => {
                        let _ = pending_write.bytes.split_to(count);
                        continue;
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => return SessionEnd::Aborted,
                }
            }
            let has_unwritten_replies = !self.pending_replies.is_empty() || self.pending_write.is_some();
            let (draining, stopping) = (phase.borrow().is_shutdown(), *phase.borrow() == Phase::Stopping);
            if !has_unwritten_replies && (self.input_abandoned || stopping) {
                return SessionEnd::Closed;
            }
            let accepts_commands = !self.input_abandoned
                && self.pending_replies.len() < self.pipeline_limit()
                && self.pending_write.is_none();
            if !accepts_commands && self.command_deadline.is_some() {
                // The time-out of an incomplete command does not run while earlier commands keep it from
                // being read.
                self.command_deadline = Some(Instant::now() + COMMAND_TIMEOUT);
            }
            // The commands of all connections may together be longer than the memory budget. Long ones then
            // wait for memory, with their bytes in the kernel's socket buffers. They are refused if they wait
            // for longer than `LONG_COMMAND_MEMORY_WAIT` while requests of their connection are open.
            let lacks_memory = accepts_commands && !self.input.is_skipping() && self.input.is_full();
            let unread = self.socket.unread() && !stopping;
            let has_open_request = self.pending_replies.iter().any(PendingReply::is_open);
            if self.socket.read_closed()
                && (has_open_request || !(accepts_commands && !lacks_memory && unread))
            {
                // Without this, buffered requests of a client that disconnects while commands are not
                // accepted would still be forwarded later. The session reads on only if no request is open
                // and the rest of the input can be read at once.
                return SessionEnd::Aborted;
            }
            // A disconnect may not be visible until all input before it has been read, so input that cannot
            // be buffered is skipped.
            if unread
                && !accepts_commands
                && !self.input_abandoned
                && !self.input.is_skipping()
                && !self.input.try_grow()
            {
                self.input.start_skipping();
            }
            let discards_input = self.input_abandoned || self.input.is_skipping();
            self.memory_wait_deadline = (lacks_memory && has_open_request).then(|| {
                self.memory_wait_deadline.unwrap_or_else(|| Instant::now() + LONG_COMMAND_MEMORY_WAIT)
            });
            let (memory_wait_deadline, next_discard_at) =
                (self.memory_wait_deadline, self.next_discard_at.max(Instant::now()));
            let between_requests = !has_unwritten_replies && self.input.is_empty() && !unread;
            let requested_eviction = self.client_slot.eviction_requested();
            self.input_rechecked &= requested_eviction.is_some();
            // Unread input delays an eviction, except that of a peer that keeps sending commands that are not
            // requests.
            let sends_no_requests = |eviction: &Eviction| {
                *eviction == Eviction::Unclassified && self.first_reply_index > MAX_PIPELINE_LENGTH as u64
            };
            if let Some(eviction) =
                requested_eviction.filter(|eviction| lacks_memory || !unread || sends_no_requests(eviction))
            {
                match eviction {
                    // The kernel may hold a request that the runtime has not reported yet.
                    _ if accepts_commands
                        && !lacks_memory
                        && !std::mem::replace(&mut self.input_rechecked, true) =>
                    {
                        self.socket.assume_unread()
                    }
                    Eviction::IdleClient | Eviction::Unclassified
                        if between_requests && self.first_reply_index > 0 =>
                    {
                        return SessionEnd::Closed;
                    }
                    Eviction::IdleClient => self.client_slot.cancel_eviction(),
                    _ if has_unwritten_replies => return SessionEnd::Aborted,
                    // A request may still be on its way when the connection is closed, and would be lost
                    // without a reply. So a busy reply is sent first, which the client reads as the reply to
                    // such a request; the request itself is discarded.
                    Eviction::Unclassified | Eviction::NewlyAccepted => {
                        self.input_abandoned = true;
                        self.queue_reply(BUSY_REPLY);
                    }
                }
                continue;
            }
            let write_deadline = self.pending_write.as_ref().map(|pending_write| pending_write.deadline);
            let command_deadline = self.command_deadline.filter(|_| accepts_commands);
            tokio::select! {
                biased;
                reply = self.reply_receiver.recv() => {
                    self.longest_reply_bytes =
                        reply.as_ref().map_or(0, |reply| reply.bytes.len()).max(self.longest_reply_bytes);
                    if let Some(reply) = reply
                        && let Some(pending_reply) = self
                            .pending_replies
                            .get_mut(reply.reply_index.saturating_sub(self.first_reply_index) as usize)
                    {
                        pending_reply.set_ready(reply);
                    }
                }
                () = tokio::task::yield_now(), if unread && !discards_input && !lacks_memory => {
                    let now = self.context.clock.now();
                    if closed_by_client(self.socket.read(|chunk| self.input.add(chunk, now))) {
                        return SessionEnd::Aborted;
                    }
                }
                () = sleep_until(next_discard_at), if unread && discards_input => {
                    let lateness = next_discard_at.elapsed().saturating_sub(TIMER_PRECISION);
                    self.next_discard_at = Instant::now()
                        + (DISCARD_PAUSE + DISCARD_LATENESS_FACTOR * lateness).min(MAX_DISCARD_PAUSE);
                    if closed_by_client(self.socket.read_discarded(
                        |chunk| if !self.input_abandoned { self.input.add(chunk, 0) }
                    )) {
                        return SessionEnd::Aborted;
                    }
                }
                reservation = memory.reserve(2 * resp::MAX_VALUE_BYTES), if lacks_memory =>
                    self.input.add_reservation(reservation, 2 * resp::MAX_VALUE_BYTES),
                () = sleep_until_deadline(memory_wait_deadline), if memory_wait_deadline.is_some() =>
                    self.input.start_skipping(),
                readiness = self.socket.wait_ready(self.pending_write.is_some()) => {
                    if readiness.is_err() {
                        return SessionEnd::Aborted;
                    }
                }
                _ = phase.changed(), if !stopping => {}
                () = std::future::ready(()), if draining && between_requests => return SessionEnd::Closed,
                () = self.client_slot.wait_for_eviction_request() => {}
                () = sleep_until_deadline(self.evictable_at),
                    if between_requests && self.evictable_at.is_some() =>
                {
                    self.evictable_at = None;
                    self.client_slot.evict_surplus_idle();
                }
                () = sleep_until_deadline(command_deadline), if command_deadline.is_some() => {
                    // Clients that send nothing, or never complete a command, would hold a slot that others
                    // need. Commands that were complete before are still answered.
                    self.input_abandoned = true;
                    self.queue_reply("-ERR no whole command in time\r\n");
                }
                () = sleep_until_deadline(write_deadline), if write_deadline.is_some() =>
                    return SessionEnd::Aborted,
                () = sleep_until(self.idle_since + IDLE_TIMEOUT),
                    if between_requests && self.first_reply_index > 0 =>
                    return SessionEnd::Closed,
            }
        }
    }

    /// Maximum number of pending replies. Prevents a client that does not read its replies from holding
    /// memory that others need.
    fn pipeline_limit(&self) -> usize {
        match self.longest_reply_bytes {
            0 => INITIAL_PIPELINE_LENGTH,
            longest_reply_bytes => {
                (self.context.memory.total_bytes() / PIPELINE_MEMORY_DIVISOR / longest_reply_bytes)
                    .clamp(1, MAX_PIPELINE_LENGTH)
            }
        }
    }

    /// Handles the complete commands in the buffer, up to the limit of pending replies and while no reply
    /// waits to be written. Starts the time-out of an incomplete command.
    async fn take_commands(&mut self) {
        while !self.input_abandoned
            && self.pending_replies.len() < self.pipeline_limit()
            && self.pending_write.is_none()
            && let Some(next) = self.input.next()
        {
            match next {
                BufferItem::Command(words, received_at) => {
                    self.command_deadline = None;
                    self.handle_command(words, received_at).await;
                }
                // There was no room in the buffer or the memory budget for these commands, and they were
                // never forwarded.
                BufferItem::Skipped(skipped) => {
                    self.command_deadline = None;
                    match self.pending_replies.back_mut() {
                        Some(PendingReply::BusyReplies(count)) => *count += skipped,
                        _ => self.pending_replies.push_back(PendingReply::BusyReplies(skipped)),
                    }
                }
                BufferItem::Malformed(error) => {
                    self.queue_reply(format!("-ERR protocol error: {error}\r\n"));
                    self.input_abandoned = true;
                }
            }
        }
        if self.input_abandoned {
            self.input = CommandBuffer::new(self.context.memory.clone());
        } else if self.input.has_partial_command() {
            self.command_deadline.get_or_insert_with(|| Instant::now() + COMMAND_TIMEOUT);
        }
    }

    /// Removes and returns the bytes to write next, with their reservation, if the first pending reply is
    /// ready. Busy replies to skipped commands are returned several at a time.
    fn next_reply(&mut self) -> Option<(Bytes, Option<MemoryReservation>)> {
        let reply = match self.pending_replies.front_mut()? {
            PendingReply::Open { .. } => return None,
            PendingReply::Ready(bytes, reservation) => (take(bytes), reservation.take()),
            PendingReply::BusyReplies(count) => {
                let batch = MAX_BUSY_REPLIES_PER_WRITE.min(*count);
                *count -= batch;
                (BUSY_REPLY.repeat(batch as usize).into(), None)
            }
        };
        if !matches!(self.pending_replies.front(), Some(PendingReply::BusyReplies(1..))) {
            self.pending_replies.pop_front();
            self.first_reply_index += 1;
        }
        Some(reply)
    }

    fn queue_reply(&mut self, reply: impl Into<Bytes>) {
        self.pending_replies.push_back(PendingReply::Ready(reply.into(), None));
    }

    async fn handle_command(&mut self, words: Vec<Bytes>, received_at: Micros) {
        let name = words.first().map(|name| name.to_ascii_uppercase()).unwrap_or_default();
        let command = match name.as_slice() {
            b"PING" => {
                let starting = *self.context.phase.borrow() == Phase::Starting;
                return self.queue_reply(if starting {
                    "-LOADING no list of servers yet\r\n"
                } else {
                    "+PONG\r\n"
                });
            }
            b"OBJ.GET" => parse_command(&words, false, &self.context.deployment),
            b"OBJ.SET" => parse_command(&words, true, &self.context.deployment),
            _ => Err("unknown command"),
        };
        match command {
            // The decision module cannot be given a request without a valid class.
            Err(error) => self.queue_reply(format!("-ERR {error}\r\n")),
            Ok(command) => {
                // Too few connection slots are left, so the request is refused and was never forwarded. The
                // connection stays open until its slot is needed, because a client that loses its connection
                // opens a new one.
                if !self.client_slot.begin_request() {
                    return self.queue_reply(BUSY_REPLY);
                }
                // The client has closed the connection or its sending side. Both count as a disconnect, so
                // the request is not forwarded.
                if self.socket.read_closed() {
                    return self.queue_reply(BUSY_REPLY);
                }
                // The node is shutting down. On a connection that always has an open request there is no
                // moment between requests at which to close it, and a request that is accepted now could
                // still be unanswered when the platform kills the node. It was never forwarded, so the client
                // can send it to another node.
                if self.context.phase.borrow().is_shutdown() {
                    return self.queue_reply(BUSY_REPLY);
                }
                let class = &self.context.deployment.settings.classes[command.class];
                let has_side_effects = class.idempotency != Idempotency::Idempotent;
                let mut id = match self.context.request_ids.claim(&command.id, has_side_effects) {
                    Ok(id) => id,
                    Err(conflict) => return self.queue_reply(conflict_reply(conflict)),
                };
                // The limit of open requests or the memory budget is exhausted, so the request is refused and
                // was never forwarded.
                let value_length = command.value.as_ref().map_or(0, Bytes::len);
                let Some((permit, reservation)) =
                    self.context.request_permits.clone().try_acquire_owned().ok().zip(
                        // The value, and its copy that is sent to a server.
                        self.context.memory.try_reserve(READ_CHUNK_BYTES + 2 * value_length),
                    )
                else {
                    id.set_never_executed();
                    return self.queue_reply(BUSY_REPLY);
                };
                let reply_index = self.first_reply_index + self.pending_replies.len() as u64;
                self.pending_replies.push_back(PendingReply::Open { _permit: permit, id });
                let (client, liveness, reply_sender) =
                    (self.client_slot.id(), self.socket.liveness(), self.reply_sender.clone());
                let request = Box::new(ClientRequest {
                    command,
                    received_at,
                    client,
                    liveness,
                    reply_index,
                    reply_sender,
                    reservation,
                });
                let _ = self.context.event_sender.send(NodeEvent::Request(request)).await;
            }
        }
    }
}

/// Returns the reply to a request whose id cannot be used.
fn conflict_reply(conflict: IdConflict) -> &'static str {
    match conflict {
        IdConflict::Open => "-ERR a request with this id is open\r\n",
        IdConflict::MayHaveRun => "-ERR a request with this id may have run\r\n",
    }
}

/// Whether the result of a read shows that the client has disconnected.
fn closed_by_client(read: io::Result<usize>) -> bool {
    match read {
        Ok(count) => count == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Waits until a deadline, or forever without one.
async fn sleep_until_deadline(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}
