//! Tests of a restarted node whose first calls to discovery fail, while a server of its cached list drains.
//!
//! In each play the drain began before the node's start, and clients send to the node from its first moment,
//! as a front does that has not noticed the restart.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::connection_pressure::{reserve_discovery_address, time_until_pong};
use crate::drain::{Upstreams, settings_for_six_balancers};
use crate::scripted_discovery::*;
use crate::stand_ins::*;

/// Time for which a call waits in the queue of a crowded discovery.
const QUEUE_WAIT: Duration = Duration::from_secs(1);
/// Drain grace time in the settings of these tests.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Time by which each limit is longer on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// Time after which a change counts as notified where lists are requested.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// Time within which a restarted node must be ready.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Time for which clients send after the last event that a play waits for.
const SENDING_TIME: Duration = Duration::from_millis(1_500);

/// How a call to discovery fails.
#[derive(Clone, Copy, Debug)]
enum CallFailure {
    RejectedAtOnce,
    RejectedAfterQueueing,
    ResetAtOnce,
    ResetAfterQueueing,
    ClosedWithoutResponse,
    NoResponse,
    EmptyBody,
    EmptyChunkedBody,
    HeadOnly,
    ListCutByClose,
    ListCutByReset,
}

impl CallFailure {
    const ALL: [CallFailure; 11] = [
        CallFailure::RejectedAtOnce,
        CallFailure::RejectedAfterQueueing,
        CallFailure::ResetAtOnce,
        CallFailure::ResetAfterQueueing,
        CallFailure::ClosedWithoutResponse,
        CallFailure::NoResponse,
        CallFailure::EmptyBody,
        CallFailure::EmptyChunkedBody,
        CallFailure::HeadOnly,
        CallFailure::ListCutByClose,
        CallFailure::ListCutByReset,
    ];

    /// Returns the script of a call that fails in this way, for a discovery that has `list`.
    fn script(self, list: &str) -> Vec<Step> {
        let cut_list = || {
            let whole_list = chunk(list);
            let cut_at = whole_list.windows(3).position(|part| part == b"s-1").unwrap();
            Step::Send([chunked_response_head(), whole_list[..cut_at].to_vec()].concat())
        };
        match self {
            CallFailure::RejectedAtOnce => vec![refuse_call(), Step::Close],
            CallFailure::RejectedAfterQueueing => vec![Step::Sleep(QUEUE_WAIT), refuse_call(), Step::Close],
            CallFailure::ResetAtOnce => vec![Step::Reset],
            CallFailure::ResetAfterQueueing => vec![Step::Sleep(QUEUE_WAIT), Step::Reset],
            CallFailure::ClosedWithoutResponse => vec![Step::Close],
            CallFailure::NoResponse => Vec::new(),
            CallFailure::EmptyBody => vec![Step::Send(http_response(200, "", "")), Step::Close],
            CallFailure::EmptyChunkedBody => {
                vec![Step::Send([chunked_response_head(), chunk("")].concat()), Step::Close]
            }
            CallFailure::HeadOnly => vec![Step::Send(chunked_response_head()), Step::Close],
            CallFailure::ListCutByClose => vec![cut_list(), Step::Close],
            CallFailure::ListCutByReset => vec![cut_list(), Step::Sleep(SOCKET_SLACK), Step::Reset],
        }
    }
}

/// The servers behind a node, and the times at which the draining one got a command.
struct DrainingUpstreams {
    upstreams: Upstreams,
    sends_to_first: Arc<Mutex<Vec<Instant>>>,
}

impl DrainingUpstreams {
    fn new() -> DrainingUpstreams {
        let sends_to_first = Arc::new(Mutex::new(Vec::new()));
        let recorded_sends = sends_to_first.clone();
        let first = cache_server(move |_| {
            recorded_sends.lock().unwrap().push(Instant::now());
            ServerAction::Answer(hit("first"))
        });
        DrainingUpstreams { upstreams: Upstreams::with_first(first), sends_to_first }
    }

    /// The script of a watch that delivers the list with the drain.
    fn answered_watch(&self) -> Vec<Step> {
        let list = self.upstreams.list_with_drain();
        vec![Step::Send([chunked_response_head(), chunk(&list)].concat())]
    }

    /// The scripts of calls that fail, followed by one that is answered.
    fn failing_calls(&self, failures: &[CallFailure]) -> Vec<Vec<Step>> {
        let list = self.upstreams.list_with_drain();
        let failing = failures.iter().map(|failure| failure.script(&list));
        failing.chain([self.answered_watch()]).collect()
    }

    /// Returns for how long after `start` the first server was sent commands; zero if it got none.
    fn last_send_after(&self, start: Instant) -> Duration {
        let sends = self.sends_to_first.lock().unwrap();
        sends.last().map_or(Duration::ZERO, |sent_at| sent_at.saturating_duration_since(start))
    }
}

/// Settings with a drain grace time of [`DRAIN_GRACE`], for pushed or requested lists.
fn restart_settings(pushed: bool) -> String {
    match pushed {
        true => with_pushed_lists(&settings_for_six_balancers()),
        false => settings_for_six_balancers(),
    }
}

/// A restarted node, and clients that send reads to it without a pause until the end of the play.
struct Play {
    node: Node,
    started_at: Instant,
    ready_after: Duration,
    stop: Arc<AtomicBool>,
    clients: Vec<std::thread::JoinHandle<usize>>,
}

impl Play {
    /// Starts a node and its clients, and waits until the node is ready.
    fn start(upstreams: &DrainingUpstreams, discovery: SocketAddr, pushed: bool) -> Play {
        let started_at = Instant::now();
        let settings = restart_settings(pushed);
        let node =
            Node::start_with_settings(discovery, &upstreams.upstreams.known_list(), (256, 32), "", &settings);
        let stop = Arc::new(AtomicBool::new(false));
        let clients = (0..2)
            .map(|number| {
                let (client, stop) = (node.connect_client(), stop.clone());
                std::thread::spawn(move || send_reads(client, number, &stop))
            })
            .collect();
        assert!(time_until_pong(node.address) < LONG_TIMEOUT, "the node becomes ready");
        Play { node, started_at, ready_after: started_at.elapsed(), stop, clients }
    }

    /// Waits until the list with the drain is in force, lets the clients send on for a while, and returns
    /// the number of reads that were served.
    fn finish(self) -> usize {
        let mut lines = std::iter::from_fn(|| self.node.log.recv_timeout(LONG_TIMEOUT).ok());
        assert!(lines.any(|line| line.contains("s-1 draining")), "the list comes into force");
        std::thread::sleep(SENDING_TIME);
        self.stop.store(true, Ordering::Relaxed);
        self.clients.into_iter().map(|client| client.join().expect("each read is answered")).sum()
    }
}

/// Sends one read after the other, each with an id of its own, and returns how many were served. Panics if
/// one gets no answer.
fn send_reads(mut client: Client, client_number: u32, stop: &AtomicBool) -> usize {
    let mut served = 0;
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let id = format!("{client_number:x}{number:07x}");
        let answer = client.request(&get(&format!("{number:x}"), &id)).expect("each read is answered");
        served += usize::from(["first", "second"].contains(&answer.as_str()));
        std::thread::sleep(Duration::from_millis(10));
    }
    served
}

/// Plays a restart whose first calls fail in the given ways, and checks that the draining server gets nothing
/// later than `notified_after` and the grace, that the node is ready in time and that each read is answered.
fn check_restart(pushed: bool, failures: &[CallFailure]) {
    let upstreams = DrainingUpstreams::new();
    let (discovery, _calls) = scripted_discovery(upstreams.failing_calls(failures));
    let play = Play::start(&upstreams, discovery, pushed);
    let (started_at, ready_after) = (play.started_at, play.ready_after);
    let served = play.finish();
    let notified_after = if pushed { Duration::ZERO } else { NOTIFIED_AFTER };
    let last_send_after = upstreams.last_send_after(started_at);
    assert!(
        last_send_after <= notified_after + DRAIN_GRACE + SOCKET_SLACK,
        "the last command to the draining server came {last_send_after:?} after the start, pushed: {pushed}, \
         first calls: {failures:?}"
    );
    assert!(ready_after <= READY_WITHIN, "ready after {ready_after:?}, first calls: {failures:?}");
    assert!(served > 0, "reads are served in the end, first calls: {failures:?}");
}

/// Plays the restarts at the same time, because most of their time is waiting.
fn check_restarts(pushed: bool, plays: &[Vec<CallFailure>]) {
    std::thread::scope(|scope| {
        let plays: Vec<_> =
            plays.iter().map(|failures| scope.spawn(move || check_restart(pushed, failures))).collect();
        let failed = plays.into_iter().filter_map(|play| play.join().err()).count();
        assert_eq!(failed, 0, "plays that failed; the panics above say which");
    });
}

// Guards against sends to a draining server by a restarted node. Where lists are pushed, the node counts as
// notified from its first moment, but was ready and sent by its cached list until a call had succeeded.
#[test]
fn restarted_node_with_pushed_lists_spares_a_draining_server_when_its_first_call_fails() {
    check_restarts(true, &CallFailure::ALL.map(|failure| vec![failure]));
}

// The same, when discovery fails several calls in a row.
#[test]
fn restarted_node_with_pushed_lists_spares_a_draining_server_when_several_calls_fail() {
    let mut plays: Vec<_> = CallFailure::ALL.map(|failure| vec![failure; 3]).into();
    plays.push(vec![CallFailure::RejectedAfterQueueing; 6]);
    plays.push(CallFailure::ALL.into());
    check_restarts(true, &plays);
}

// Guards against sends to a draining server for lack of a call in time. Where lists are requested, the drain
// counts as notified 6 s after discovery had it. After three calls that had waited for 1 s each, the next one
// came up to 7.5 s after the start.
#[test]
fn restarted_node_with_requested_lists_spares_a_draining_server_in_time_when_its_first_calls_fail() {
    let mut plays: Vec<_> = CallFailure::ALL.map(|failure| vec![failure]).into();
    let repeatable = CallFailure::ALL.iter().filter(|failure| !matches!(failure, CallFailure::NoResponse));
    plays.extend(repeatable.map(|failure| vec![*failure; 3]));
    plays.push(vec![CallFailure::NoResponse; 2]);
    check_restarts(false, &plays);
}

// A list that comes late, but within the time that a call may take, is in force in time.
#[test]
fn restarted_node_with_pushed_lists_spares_a_draining_server_when_its_first_list_is_late() {
    let upstreams = DrainingUpstreams::new();
    let late_list = [vec![Step::Sleep(2 * QUEUE_WAIT)], upstreams.answered_watch()].into_iter().flatten();
    let (discovery, _calls) = scripted_discovery(vec![late_list.collect()]);
    let play = Play::start(&upstreams, discovery, true);
    let started_at = play.started_at;
    assert!(play.ready_after <= READY_WITHIN, "ready after {:?}", play.ready_after);
    play.finish();
    let last_send_after = upstreams.last_send_after(started_at);
    assert!(last_send_after <= DRAIN_GRACE + SOCKET_SLACK, "sent {last_send_after:?} after the start");
}

// Discovery is down when the node restarts, and crowded at its return: the first calls that it accepts fail.
// What the agent has at the return counts as notified from then on.
#[test]
fn restarted_node_with_pushed_lists_is_ready_while_discovery_is_down_and_spares_a_draining_server_after() {
    let upstreams = DrainingUpstreams::new();
    let (socket, discovery) = reserve_discovery_address();
    let play = Play::start(&upstreams, discovery, true);
    assert!(play.ready_after <= READY_WITHIN, "ready after {:?}", play.ready_after);
    // A watch that is reopened after a refused connection is refused a few times more.
    std::thread::sleep(2 * DRAIN_GRACE);
    assert!(
        upstreams.last_send_after(play.started_at) > DRAIN_GRACE,
        "the cached list is used while discovery is down"
    );
    let returned_at = Instant::now();
    socket.listen(64).unwrap();
    let failures = [CallFailure::RejectedAfterQueueing, CallFailure::RejectedAtOnce];
    let _calls = run_scripts_on(TcpListener::from(socket), upstreams.failing_calls(&failures));
    play.finish();
    let last_send_after = upstreams.last_send_after(returned_at);
    assert!(
        last_send_after <= DRAIN_GRACE + SOCKET_SLACK,
        "the last command to the draining server came {last_send_after:?} after discovery's return"
    );
}

// A node that waits for its first list must not wait for good: nine in ten restarted nodes are to be ready
// within 10 s, whatever becomes of their calls.
#[test]
fn restarted_node_is_ready_in_time_though_no_call_succeeds() {
    let silent = || Vec::new();
    let rejecting = || (0..200).map(|_| vec![refuse_call(), Step::Close]).collect();
    let crowded = || (0..20).map(|_| vec![Step::Sleep(QUEUE_WAIT), refuse_call(), Step::Close]).collect();
    let discoveries: [fn() -> Vec<Vec<Step>>; 3] = [silent, rejecting, crowded];
    std::thread::scope(|scope| {
        for (scripts, pushed) in
            discoveries.into_iter().flat_map(|scripts| [(scripts, true), (scripts, false)])
        {
            scope.spawn(move || {
                let upstreams = DrainingUpstreams::new();
                let (discovery, _calls) = scripted_discovery(scripts());
                let play = Play::start(&upstreams, discovery, pushed);
                assert!(play.ready_after <= READY_WITHIN, "ready after {:?}", play.ready_after);
                let mut client = play.node.connect_client();
                let answer = client.request(&get("aa", "fe")).expect("a read is answered");
                assert!(["first", "second"].contains(&answer.as_str()), "a read is served: {answer}");
                play.stop.store(true, Ordering::Relaxed);
                for client in play.clients {
                    client.join().expect("each read is answered");
                }
            });
        }
    });
}
