//! Tests of drains, the list changes by which a server begins to drain, when they arrive late, in parts or
//! from a discovery that moves: the node must apply them in time, so that no request goes to a draining
//! server after its grace time.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use crate::scripted_discovery::*;
use crate::stand_ins::*;
use crate::{failing_origin, list_of_two_caches, start_node_connecting_to};

/// Settings of one of six balancers, with a grace time of 1 s in which draining servers may still get
/// requests.
pub fn settings_for_six_balancers() -> String {
    let settings = default_settings().replace(r#""balancers":1"#, r#""balancers":6"#);
    settings.replace(
        r#""askWithinUs":1000000,"drainGraceUs":500000"#,
        r#""askWithinUs":10000000,"drainGraceUs":1000000"#,
    )
}

/// Two cache servers and an origin behind a node.
pub struct Upstreams {
    first: StandIn,
    second: StandIn,
    origin: StandIn,
}

impl Upstreams {
    fn new() -> Upstreams {
        Upstreams::with_first(cache_server(|_| ServerAction::Answer(hit("first"))))
    }

    /// Starts the other servers beside a first one that the test provides.
    pub fn with_first(first: StandIn) -> Upstreams {
        let second = cache_server(|_| ServerAction::Answer(hit("second")));
        Upstreams { first, second, origin: failing_origin() }
    }

    /// The list that the node starts with.
    pub fn known_list(&self) -> String {
        list_of_two_caches([self.first.address, self.second.address], self.origin.address)
    }

    fn start(&self, discovery: SocketAddr) -> Node {
        Node::start_with_settings(discovery, &self.known_list(), (256, 16), "", &settings_for_six_balancers())
    }

    /// Starts a node whose watch delivers the first server's drain after a message on the returned sender.
    /// The receiver gets what discovery reports from then on: further calls, and [`CALL_ENDED`].
    fn start_watching(&self) -> (Node, Sender<()>, Receiver<String>) {
        let (start_drain, drain_signal) = channel();
        let watch = vec![
            Step::Send(chunked_response_head()),
            Step::SendEmptyLinesUntil(drain_signal),
            Step::Send(self.drain_update()),
        ];
        let (discovery, calls) = scripted_discovery(vec![watch]);
        let node = self.start(discovery);
        calls.recv_timeout(LONG_TIMEOUT).expect("the node opens its watch");
        (node, start_drain, calls)
    }

    /// The change to the list when the first server begins to drain.
    fn drain_update(&self) -> Vec<u8> {
        chunk(&server_list(6, false, &[server_entry("s-1", self.first.address, "std", "leaving")]))
    }

    /// The whole list in which the first server drains.
    pub fn list_with_drain(&self) -> String {
        let entries = [
            server_entry("s-1", self.first.address, "std", "leaving"),
            server_entry("s-2", self.second.address, "std", "active"),
            server_entry("o-1", self.origin.address, "origin", "active"),
        ];
        server_list(6, true, &entries)
    }
}

/// Reads 40 keys and returns how many of them the first server answers.
fn count_reads_from_first(node: &Node) -> usize {
    let mut client = node.connect_client();
    let mut read_key = |key: u32| client.request(&get(&format!("{key:x}"), "1")).unwrap();
    (0..40).filter(|key| read_key(*key) == "first").count()
}

/// Sends reads until `duration` has passed since `start`.
fn send_reads_until(node: &Node, start: Instant, duration: Duration) {
    while start.elapsed() < duration {
        count_reads_from_first(node);
        std::thread::sleep(Duration::from_millis(10));
    }
}

// Guards against a backoff that outlasts an outage. Discovery was down for 15 s, and servers began to drain
// just after its return, while new configurations moved discovery four times within 1.6 s for each of six
// nodes. A node whose calls had been refused four times waited eight times as long as after the first
// refusal, although discovery had moved meanwhile and was only overloaded by then: after a refusal at 7.9 s
// it waited 4499 ms, and the list with three draining servers came at 12.7 s. All other nodes were notified
// in between. Reads went to the draining servers for longer than the grace time.
//
// A node counts as notified of a discovery's list 4 s after the signal by which discovery moves, and 6 s
// after the list became available there. After the refusal at 7.9 s there was no time for another one: the
// next call was made at 12.4 s.
#[test]
fn node_whose_calls_were_refused_in_an_outage_applies_a_drain_in_time_after_discovery_moves() {
    let upstreams = Upstreams::new();
    let outage = (0..8).map(|_| vec![refuse_call(), Step::Close]).collect();
    let (old_discovery, calls) = scripted_discovery(outage);
    let node = upstreams.start(old_discovery);
    for _ in 0..3 {
        calls.recv_timeout(LONG_TIMEOUT).expect("the node calls discovery");
    }
    assert!(count_reads_from_first(&node) > 0, "both servers are in the list");
    let delayed_refusal = || vec![Step::Sleep(Duration::from_millis(900)), refuse_call(), Step::Close];
    let answered = vec![Step::Send([chunked_response_head(), chunk(&upstreams.list_with_drain())].concat())];
    let (new_discovery, _calls) = scripted_discovery(vec![delayed_refusal(), delayed_refusal(), answered]);
    let signal_sent_at = Instant::now();
    node.reload_config(Ok(new_discovery));
    send_reads_until(&node, signal_sent_at, Duration::from_millis(5_050));
    assert_eq!(count_reads_from_first(&node), 0, "reads sent to a draining server 5.05 s after the signal");
}

// Guards against closing a call or a watch before the call that replaces it is answered. New configurations
// arrived 0.3 s apart, and each time the open call or watch was closed as the next call was made. An update
// that discovery wrote to the closed connection was lost, though the node counts as notified of it, and the
// next call waited in discovery's queue for up to 0.9 s or was refused. A node's log has answers of
// discovery at 89.5, 90.5 and 91.4 s, each from another address, and none in between.
#[test]
fn watch_delivers_drains_until_the_call_that_replaces_it_is_answered() {
    let upstreams = Upstreams::new();
    let (node, start_drain, _old_calls) = upstreams.start_watching();
    let (new_discovery, new_calls) = scripted_discovery(vec![Vec::new()]);
    node.reload_config(Ok(new_discovery));
    new_calls.recv_timeout(LONG_TIMEOUT).expect("the node calls the new discovery");
    assert!(count_reads_from_first(&node) > 0, "the first server does not drain yet");
    start_drain.send(()).unwrap();
    send_reads_until(&node, Instant::now(), Duration::from_millis(1_050));
    assert_eq!(
        count_reads_from_first(&node),
        0,
        "reads that go to a server 1.05 s after its drain was written"
    );
}

#[test]
fn watch_is_closed_and_ignored_once_the_call_that_replaces_it_is_answered() {
    let upstreams = Upstreams::new();
    let (node, start_drain, old_calls) = upstreams.start_watching();
    let entries = [
        server_entry("s-1", upstreams.first.address, "std", "active"),
        server_entry("s-2", upstreams.second.address, "std", "leaving"),
        server_entry("o-1", upstreams.origin.address, "origin", "active"),
    ];
    let answer = [chunked_response_head(), chunk(&server_list(4, true, &entries))].concat();
    let (new_discovery, _new_calls) = scripted_discovery(vec![vec![Step::Send(answer)]]);
    node.reload_config(Ok(new_discovery));
    let mut lines = std::iter::from_fn(|| node.log.recv_timeout(LONG_TIMEOUT).ok());
    assert!(lines.any(|line| line.contains("s-2 draining")), "the new list is in force");
    start_drain.send(()).unwrap();
    assert_eq!(
        old_calls.recv_timeout(LONG_TIMEOUT).unwrap(),
        CALL_ENDED,
        "the node closes the watch that was replaced"
    );
    assert_eq!(count_reads_from_first(&node), 40, "the drain from the former discovery is ignored");
}

// A node counts as notified of a list once discovery has written it, even if it arrives incomplete. A list
// that was truncated by a reset or by the end of the connection was discarded together with the drains that
// had arrived. The next call was made only after the backoff for a refusal, 0.3 to 0.9 s, and then had to
// wait in discovery's queue.
#[test]
fn drains_in_a_truncated_list_are_applied() {
    let upstreams = Upstreams::new();
    let whole_list = chunk(&upstreams.list_with_drain());
    let cut_at = whole_list.windows(3).position(|part| part == b"s-2").unwrap();
    for connection_stays_open in [false, true] {
        let mut script = vec![
            Step::Send(chunked_response_head()),
            Step::Send(chunk("\n")),
            Step::Send(whole_list[..cut_at].to_vec()),
        ];
        if !connection_stays_open {
            script.push(Step::Close);
        }
        let (discovery, calls) = scripted_discovery(vec![script]);
        let node = upstreams.start(discovery);
        calls.recv_timeout(LONG_TIMEOUT).expect("the node opens its watch");
        // The node gives up a watch 2.5 s after its last complete list or empty line.
        let wait_time = Duration::from_millis(if connection_stays_open { 3_500 } else { 1_000 });
        send_reads_until(&node, Instant::now(), wait_time);
        assert_eq!(
            count_reads_from_first(&node),
            0,
            "reads sent to a draining server; connection stays open: {connection_stays_open}"
        );
    }
}

// A read may return less than is available, for example when a signal or urgent data ends it. The async
// runtime took a short read to mean that nothing was left, and waited for the next readiness event: the rest
// of a list stayed unread until discovery wrote again, two seconds later, or until the watch was given up as
// silent after 2.5 s.
#[test]
fn rest_of_a_list_after_a_short_read_is_read_at_once() {
    let upstreams = Upstreams::new();
    let whole_list = chunk(&upstreams.list_with_drain());
    let (head, rest) = whole_list.split_at(20);
    let (send_list, list_signal) = channel();
    let (written_sender, written) = channel();
    let script = vec![
        Step::Send([chunked_response_head(), chunk("\n")].concat()),
        Step::WaitFor(list_signal),
        Step::Send(head.to_vec()),
        Step::SendUrgentByte,
        Step::Send(rest.to_vec()),
        Step::Notify(written_sender),
    ];
    let (discovery, calls) = scripted_discovery(vec![script]);
    let node = upstreams.start(discovery);
    calls.recv_timeout(LONG_TIMEOUT).expect("the node opens its watch");
    let mut lines = std::iter::from_fn(|| node.log.recv_timeout(LONG_TIMEOUT).ok());
    assert!(lines.any(|line| line.contains("answers after")));
    // The whole list arrives before the node reads any of it.
    node.while_stopped(|| {
        send_list.send(()).unwrap();
        written.recv_timeout(LONG_TIMEOUT).expect("discovery has sent the whole list");
    });
    send_reads_until(&node, Instant::now(), Duration::from_millis(1_050));
    assert_eq!(
        count_reads_from_first(&node),
        0,
        "reads that go to a server 1.05 s after its drain was written"
    );
}

// A configuration that could not be read at the moment of the signal was never read again. The node went on
// calling a discovery that had moved and accepts no new connections, so that it got no more updates.
#[test]
fn configuration_unreadable_at_sighup_is_read_again() {
    let upstreams = Upstreams::new();
    let (old_discovery, _old_calls) =
        scripted_discovery(vec![vec![Step::Send([chunked_response_head(), chunk("\n")].concat())]]);
    let node = upstreams.start(old_discovery);
    node.reload_config(Err(""));
    let mut lines = std::iter::from_fn(|| node.log.recv_timeout(LONG_TIMEOUT).ok());
    assert!(lines.any(|line| line.contains("the old configuration stays in force")));
    let (new_discovery, new_calls) = scripted_discovery(vec![vec![Step::Send(
        [chunked_response_head(), chunk(&upstreams.list_with_drain())].concat(),
    )]]);
    node.replace_config(Ok(new_discovery));
    new_calls.recv_timeout(LONG_TIMEOUT).expect("the node calls the new discovery");
}

// With a tenth of the reads and writes interrupted and another tenth shortened, 20 of 120 drains took
// effect more than 1.05 s after they were written, one of them after 15.7 s. An interrupted read ended the
// watch, and after a short read the rest of the data stayed unread.
#[test]
fn drains_are_applied_at_once_despite_interrupted_and_short_system_calls() {
    const SERVER_COUNT: u64 = 60;
    let failing_address = failing_origin().address;
    let server_name = |server: u64| format!("s-{server}");
    let entries: Vec<_> = (0..SERVER_COUNT)
        .map(|server| server_entry(&server_name(server), failing_address, "std", "active"))
        .collect();
    for seed in 1..=3 {
        let (discovery, updates, calls) =
            discovery_server(vec![[chunked_response_head(), chunk("\n")].concat()]);
        let shell_prefix = faulty_system_calls(seed);
        let node = Node::start_with_settings(
            discovery,
            &server_list(1, true, &entries),
            (256, 16),
            &shell_prefix,
            &settings_for_six_balancers(),
        );
        calls.recv_timeout(LONG_TIMEOUT).expect("the node opens its watch");
        for server in 0..SERVER_COUNT {
            let draining_entry = server_entry(&server_name(server), failing_address, "std", "leaving");
            updates.send(chunk(&server_list(2 + server, false, &[draining_entry]))).unwrap();
            let sent_at = Instant::now();
            let log_text = format!("{} draining", server_name(server));
            let lines = std::iter::from_fn(|| node.log.recv_timeout(LONG_TIMEOUT).ok());
            assert!(lines.into_iter().any(|line| line.contains(&log_text)), "the log says {log_text}");
            let delay = sent_at.elapsed();
            assert!(delay < Duration::from_millis(1_050), "{delay:?} until {log_text}, seed {seed}");
        }
        assert!(calls.try_recv().is_err(), "one watch delivers all drains");
    }
}

// When a server was listed at another address while a connection to its former one was still being
// established, the request was sent to the former address, where another process or none may listen by then.
#[test]
fn server_that_moves_while_a_connection_is_being_set_up_gets_no_request_at_its_old_address() {
    let full_backlog_server = FullBacklogServer::new();
    let new_address_server = cache_server(|_| ServerAction::Answer(hit("second")));
    let (node, updates, mut client) = start_node_connecting_to(&full_backlog_server);
    let moved_entry = server_entry("s-1", new_address_server.address, "std", "active");
    updates.send(chunk(&server_list(6, false, &[moved_entry]))).unwrap();
    let mut lines = std::iter::from_fn(|| node.log.recv_timeout(LONG_TIMEOUT).ok());
    assert!(lines.any(|line| line.contains("s-1 moved")), "the list is in force");
    let old_address_server = full_backlog_server.start_accepting(|_| ServerAction::Answer(hit("first")));
    assert_eq!(
        client.read_answer().unwrap(),
        "second",
        "the server has moved when the connection is established"
    );
    assert!(
        old_address_server.events.try_iter().all(|event| event.parts.is_empty()),
        "no request is sent to the former address"
    );
}
