//! The event loop, which owns the decision module: it turns input into events for that module and the
//! module's actions into I/O. The event loop makes no decisions of its own, except where a limit on sockets
//! or memory leaves no choice; comments that begin with "Limit on" mark these places.

mod answer;
mod attempts;
mod server_lists;
mod shutdown;

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use answer::Answer;
use pondproxy::settings::Deployment;
use pondproxy::timer_queue::TimerQueue;
use pondproxy::{Action, Event, ListKind, LoadReport, Micros, Policy, Request, RequestId, ServerId, Status};
use shutdown::Shutdown;
use tokio::sync::{mpsc, watch};

use crate::client_command::Command;
use crate::client_sessions::{ClientReply, ClientRequest, Phase};
use crate::client_socket::ClientLiveness;
use crate::config::NodeConfig;
use crate::connection_slots::{ClientId, ConnectionSlots};
use crate::discovery::{CallEvent, CallId, Discovery, ListUpdate};
use crate::log;
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::server_table::ServerTable;
use crate::upstream_pool::{AttemptId, ConnEvent, ConnId, UpstreamPool};

/// An input of the event loop.
#[derive(Debug)]
pub enum NodeEvent {
    /// A client sent a request.
    Request(Box<ClientRequest>),
    /// A client's connection ended while a request was open on it.
    ClientDisconnected(ClientId),
    /// An event of a connection to a server.
    Connection(ConnId, ConnEvent),
    /// An event of a call to discovery.
    Discovery(CallId, CallEvent),
    /// A client's connection is accepted or waits for a slot while few slots are left for clients and servers
    /// hold more than their guaranteed share.
    SlotsLow,
    /// The configuration was read again after SIGHUP.
    Reload(Box<NodeConfig>),
    /// SIGTERM or SIGINT was received.
    Terminate,
}

/// The node's only clock, in microseconds: set to Unix time when the node starts, and monotonic from then on.
#[derive(Clone, Copy)]
pub struct Clock {
    start_instant: Instant,
    unix_start: Micros,
}

impl Clock {
    /// Returns a clock that shows the present Unix time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start_instant: Instant::now(), unix_start: since_epoch.as_micros() as Micros }
    }

    /// Returns the present time.
    pub fn now(self) -> Micros {
        self.unix_start + self.start_instant.elapsed().as_micros() as Micros
    }

    /// Converts a time of this clock to an instant of the runtime.
    fn to_instant(self, at: Micros) -> tokio::time::Instant {
        (self.start_instant + Duration::from_micros(at.saturating_sub(self.unix_start))).into()
    }
}

const IDLE_SWEEP_INTERVAL_US: Micros = 1_000_000;
/// Lateness of a timer from which on the event loop logs that it was held up.
const LATE_TIMER_LOG_THRESHOLD_US: Micros = 250_000;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum NodeTimer {
    /// A timer of the decision module, with its token.
    Policy(u32),
    /// Time-out of an attempt, identified by its request and its number.
    AttemptTimeout(RequestId, u16),
    /// Deadline of a request.
    RequestDeadline(RequestId),
    /// Close server connections that have been idle for too long.
    IdleSweep,
    /// Stop accepting client connections, and close each one when it has no open request.
    BeginDrain,
    /// Answer the requests that are still open, because the platform may kill the process soon.
    EndOpenRequests,
    /// Exit if every request is finished and no client is connected, or if the time for that has passed.
    DrainCheck,
}

struct OpenRequest {
    command: Command,
    client: ClientId,
    liveness: ClientLiveness,
    /// Position of the request's reply among the replies of its connection.
    reply_index: u64,
    reply_sender: mpsc::Sender<ClientReply>,
    /// Memory for the request, reserved until the request is finished: until then an attempt may have to send
    /// its value.
    reservation: Option<MemoryReservation>,
    deadline: Micros,
    attempts_sent: u16,
    /// Number of attempts without an outcome.
    attempts_in_flight: u16,
    /// Whether the request has its final answer or its client has disconnected.
    finished: bool,
}

struct Attempt {
    server: ServerId,
    sent_at: Micros,
    /// 0 if the attempt has no connection; the ids of connections start at 1.
    conn_id: ConnId,
}

/// State of the event loop.
pub struct Node {
    deployment: Arc<Deployment>,
    clock: Clock,
    policy: Policy,
    /// Events that have not been passed to the decision module yet.
    queued_events: VecDeque<Event>,
    timers: TimerQueue<NodeTimer>,
    open_requests: HashMap<RequestId, OpenRequest>,
    attempts: HashMap<AttemptId, Attempt>,
    next_request_id: RequestId,
    servers: ServerTable,
    pool: UpstreamPool,
    memory: MemoryBudget,
    connection_slots: Arc<ConnectionSlots>,
    /// Tells the sessions in which phase the node is.
    phase: watch::Sender<Phase>,
    discovery: Discovery,
    /// The list from before the restart; taken when the event loop starts.
    cached_list: Option<ListUpdate>,
    /// `None` before SIGTERM or SIGINT.
    shutdown: Option<Shutdown>,
}

impl Node {
    /// Returns a node whose event loop is not running yet.
    pub fn new(
        config: NodeConfig,
        deployment: Arc<Deployment>,
        clock: Clock,
        event_sender: mpsc::Sender<NodeEvent>,
        connection_slots: Arc<ConnectionSlots>,
        memory: MemoryBudget,
        phase: watch::Sender<Phase>,
    ) -> Self {
        Node {
            clock,
            policy: Policy::new(deployment.settings.clone(), config.seed),
            queued_events: VecDeque::new(),
            timers: TimerQueue::default(),
            open_requests: HashMap::new(),
            attempts: HashMap::new(),
            next_request_id: 1,
            servers: ServerTable::new(deployment.clone()),
            pool: UpstreamPool::new(
                connection_slots.clone(),
                deployment.clone(),
                memory.clone(),
                event_sender.clone(),
            ),
            memory,
            connection_slots,
            phase,
            discovery: Discovery::new(
                config.discovery,
                config.known.index,
                Duration::from_micros(deployment.settings.drain_grace_time),
                event_sender,
            ),
            cached_list: Some(config.known),
            shutdown: None,
            deployment,
        }
    }

    /// Runs until the node has drained.
    pub async fn run(mut self, mut event_receiver: mpsc::Receiver<NodeEvent>) {
        if let Some(cached_list) = self.cached_list.take() {
            self.apply_list(cached_list, Some(ListKind::Cached));
        }
        if !self.deployment.settings.pull_discovery {
            self.dispatch_event(Event::FirstWatchOpening);
            self.discovery.watch_pushed_lists();
        }
        self.timers.schedule(self.clock.now() + IDLE_SWEEP_INTERVAL_US, NodeTimer::IdleSweep);
        let mut ready = false;
        loop {
            if !ready && self.servers.any_ready() && self.policy.is_list_settled() {
                ready = true;
                self.phase.send_if_modified(|current| {
                    *current == Phase::Starting && {
                        *current = Phase::Ready;
                        true
                    }
                });
            }
            let now = self.clock.now();
            self.log_late_timers(now);
            while let Some(timer) = self.timers.pop_due(now) {
                if timer == NodeTimer::DrainCheck && self.shutdown_complete(now) {
                    return;
                }
                self.handle_timer(timer, now);
            }
            self.compact_timers();
            let next_timer_at = self.timers.next_time().unwrap_or(now + IDLE_SWEEP_INTERVAL_US);
            tokio::select! {
                biased;
                event = event_receiver.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                () = tokio::time::sleep_until(self.clock.to_instant(next_timer_at)) => {}
            }
        }
    }

    /// Logs if the timer that is due first is far past its time: the node's only thread was held up.
    fn log_late_timers(&self, now: Micros) {
        let lateness_us = self.timers.next_time().map_or(0, |due_at| now.saturating_sub(due_at));
        if lateness_us >= LATE_TIMER_LOG_THRESHOLD_US {
            log(&format!("event loop held up: a timer is late by {} ms", lateness_us / 1_000));
        }
    }

    /// Removes timers of requests and attempts that have ended, if many have accumulated.
    fn compact_timers(&mut self) {
        let (open_requests, attempts) = (&self.open_requests, &self.attempts);
        self.timers.compact(|timer| match timer {
            NodeTimer::RequestDeadline(id) => {
                open_requests.get(id).is_some_and(|open_request| !open_request.finished)
            }
            NodeTimer::AttemptTimeout(id, attempt_number) => attempts.contains_key(&(*id, *attempt_number)),
            _ => true,
        });
    }

    fn handle_event(&mut self, event: NodeEvent) {
        match event {
            NodeEvent::Request(client_request) => self.handle_request(*client_request),
            NodeEvent::ClientDisconnected(client) => {
                self.finish_client_requests(client);
                self.process_queued_events();
            }
            NodeEvent::Connection(conn_id, conn_event) => self.handle_connection_event(conn_id, conn_event),
            NodeEvent::Discovery(call_id, call_event) => self.handle_discovery_event(call_id, call_event),
            // Limit on sockets: closes a server connection to leave a slot for a client.
            NodeEvent::SlotsLow => self.pool.close_oldest_idle(),
            NodeEvent::Reload(config) => self.reload(&config),
            NodeEvent::Terminate => self.start_shutdown(),
        }
    }

    /// Applies a new configuration: only the address of discovery changes. The settings that the decision
    /// module was created with stay until a restart.
    fn reload(&mut self, config: &NodeConfig) {
        if config.deployment != *self.deployment {
            log("reload: changed settings take effect at the next restart");
        }
        if config.discovery != self.discovery.address() {
            self.discovery.move_to(config.discovery);
            match self.deployment.settings.pull_discovery {
                true => self.dispatch_event(Event::DiscoveryMoved),
                false => self.discovery.watch_pushed_lists(),
            }
        }
        log(&format!("reload: address of discovery is {}", config.discovery));
    }

    fn handle_timer(&mut self, timer: NodeTimer, now: Micros) {
        match timer {
            NodeTimer::Policy(token) => self.dispatch_event(Event::Timer(token)),
            NodeTimer::AttemptTimeout(id, attempt_number) => {
                self.abandon_attempt((id, attempt_number), Status::TimedOut);
                self.process_queued_events();
            }
            NodeTimer::RequestDeadline(id) => {
                // The decision module ends a request before its deadline. If it fails to, the client still
                // gets an answer.
                self.fail_request(id);
            }
            NodeTimer::IdleSweep => {
                self.pool.close_expired_idle(now);
                self.timers.schedule(now + IDLE_SWEEP_INTERVAL_US, NodeTimer::IdleSweep);
            }
            NodeTimer::BeginDrain => self.begin_drain(),
            NodeTimer::EndOpenRequests => self.end_open_requests(now),
            NodeTimer::DrainCheck => self.schedule_drain_check(now),
        }
    }

    // Decision module.

    /// Passes an event to the decision module, carries out its actions, and handles the events that result.
    fn dispatch_event(&mut self, event: Event) {
        self.queued_events.push_back(event);
        self.process_queued_events();
    }

    fn process_queued_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.queued_events.pop_front() {
            self.policy.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.perform_action(action);
            }
        }
    }

    fn perform_action(&mut self, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.start_attempt(request, server, timeout),
            Action::Refuse { request, retry_after } => {
                self.send_answer(request, Answer::Refused { retry_after })
            }
            Action::Fail(request) => self.send_answer(request, Answer::Failed),
            Action::Cancel { request, attempt } => {
                self.abandon_attempt((request, attempt), Status::Cancelled)
            }
            Action::Timer { delay, token } => {
                self.timers.schedule(self.clock.now() + delay.max(1), NodeTimer::Policy(token));
            }
            Action::Subscribe(subscribed) => self.discovery.subscribe(subscribed),
            Action::FetchList => self.discovery.fetch(),
            Action::CloseIdle(server) => self.pool.close_idle(server),
            Action::Log(line) => log(&line),
            Action::Fault(line) => log(&format!("fault: {line}")),
            // The decision module neither probes servers nor messages peers; the node does not implement
            // either.
            Action::Probe(server) => {
                let (elapsed, load) = (0, LoadReport::default());
                self.queued_events.push_back(Event::Probed { server, healthy: false, elapsed, load });
            }
            Action::Tell { .. } => {}
        }
    }

    // Requests.

    fn handle_request(&mut self, client_request: ClientRequest) {
        let ClientRequest { command, received_at, client, liveness, reply_index, reply_sender, reservation } =
            client_request;
        let id = self.next_request_id;
        self.next_request_id += 1;
        // Time that the request has already spent inside the node counts towards its deadline.
        let deadline = self.limit_deadline(received_at + command.time_left);
        let request = Request {
            id,
            class: command.class,
            tenant: command.tenant,
            key: command.hashed_key(),
            write: command.write,
            client_retry: command.client_retry,
            time_left: deadline.saturating_sub(self.clock.now()),
            expected_work: command.expected_work,
            value_bytes: command.value_bytes,
        };
        let reservation = Some(reservation);
        let (attempts_sent, attempts_in_flight, finished) = (0, 0, false);
        let open_request = OpenRequest {
            command,
            client,
            liveness,
            reply_index,
            reply_sender,
            reservation,
            deadline,
            attempts_sent,
            attempts_in_flight,
            finished,
        };
        self.open_requests.insert(id, open_request);
        self.timers.schedule(deadline, NodeTimer::RequestDeadline(id));
        self.dispatch_event(Event::Request(request));
    }

    /// Sends the final answer of a request; does nothing if it already has one.
    fn send_answer(&mut self, id: RequestId, answer: Answer) {
        let Some(open_request) = self.open_requests.get(&id).filter(|open_request| !open_request.finished)
        else {
            return;
        };
        // Limit on memory: an answer that exceeds the free budget is replaced by an error.
        let encoded = answer.encode();
        let (answer, bytes, reservation) = match self.memory.try_reserve(encoded.len()) {
            Some(reservation) => (answer, encoded, Some(reservation)),
            None => (Answer::Failed, Answer::Failed.encode(), None),
        };
        // The channel has room for every answer that its connection awaits. Sending fails only if the
        // connection has ended, and then nobody awaits the answer.
        let _ = open_request.reply_sender.try_send(ClientReply {
            reply_index: open_request.reply_index,
            bytes,
            refused: matches!(answer, Answer::Refused { .. }),
            reservation,
        });
        self.finish_request(id);
    }

    /// Answers a request with an error and tells the decision module that nobody waits for it any more; does
    /// nothing if it already has its final answer.
    fn fail_request(&mut self, id: RequestId) {
        if self.open_requests.get(&id).is_some_and(|open_request| !open_request.finished) {
            self.send_answer(id, Answer::Failed);
            self.dispatch_event(Event::ClientGone(id));
        }
    }

    /// Finishes all requests of a client that has disconnected, and queues an event for the decision module
    /// for each of them.
    fn finish_client_requests(&mut self, client: ClientId) {
        let unfinished_id = |(id, open_request): (&RequestId, &OpenRequest)| {
            (open_request.client == client && !open_request.finished).then_some(*id)
        };
        let ids: Vec<_> = self.open_requests.iter().filter_map(unfinished_id).collect();
        for id in ids {
            self.finish_request(id);
            self.queued_events.push_back(Event::ClientGone(id));
        }
    }

    /// Marks a request as finished: no answer is awaited any more. Its entry stays until its attempts in
    /// flight have ended.
    fn finish_request(&mut self, id: RequestId) {
        let Some(open_request) = self.open_requests.get_mut(&id) else { return };
        open_request.finished = true;
        (open_request.command.value, open_request.reservation) = (None, None);
        if open_request.attempts_in_flight == 0 {
            self.open_requests.remove(&id);
        }
    }
}
