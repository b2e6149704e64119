//! News of a drain that is slow to come: what a node must do so that no request is sent to a server after the grace.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::stand_ins::*;
use crate::{failing_origin, list_of_two_caches, start_node_connecting_to};

/// What discovery does on a connection, one step after the other. The connection stays open behind the last.
pub enum Step {
    Sleep(Duration),
    /// Says empty lines until something comes through the channel.
    SendEmptyLinesUntil(Receiver<()>),
    Send(Vec<u8>),
    /// Sends a byte of urgent data, which belongs to no answer: a read ends in front of it, though there is more.
    SendUrgentByte,
    /// Waits until something comes through the channel, and silently so.
    WaitFor(Receiver<()>),
    /// Says that it has come so far.
    Notify(Sender<()>),
    /// Ends the connection.
    Close,
}

/// What discovery tells of the end of a call.
pub const CALL_ENDED: &str = "ended";

/// Discovery that plays a script for each call. It tells of each call as it comes, and of its end once the script is
/// played.
pub fn scripted_discovery(scripts: Vec<Vec<Step>>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (call_sender, calls) = channel();
    std::thread::spawn(move || {
        for (script, stream) in scripts.into_iter().zip(listener.incoming().flatten()) {
            let call_sender = call_sender.clone();
            std::thread::spawn(move || run_script(script, stream, &call_sender));
        }
        // Later calls are taken and never answered.
        listener.incoming().flatten().for_each(std::mem::forget);
    });
    (address, calls)
}

fn run_script(script: Vec<Step>, mut stream: TcpStream, call_sender: &Sender<String>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let request = read_http_request(&mut reader).unwrap_or_default();
    let _ = call_sender.send(request.first().cloned().unwrap_or_default());
    for step in script {
        match step {
            Step::Sleep(time) => std::thread::sleep(time),
            Step::SendEmptyLinesUntil(signal) => {
                while let Err(RecvTimeoutError::Timeout) = signal.recv_timeout(Duration::from_millis(500)) {
                    let _ = stream.write_all(&chunk("\n"));
                }
            }
            Step::Send(bytes) => drop(stream.write_all(&bytes)),
            Step::SendUrgentByte => drop(SockRef::from(&stream).send_out_of_band(b"!")),
            Step::WaitFor(signal) => drop(signal.recv_timeout(LONG_TIMEOUT)),
            Step::Notify(sender) => drop(sender.send(())),
            Step::Close => drop(stream.shutdown(Shutdown::Both)),
        }
    }
    // Until the node ends it.
    while read_http_request(&mut reader).is_some() {}
    let _ = call_sender.send(CALL_ENDED.into());
}

fn refuse_call() -> Step {
    Step::Send(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".to_vec())
}

/// Settings of a fleet of six whose servers may be sent to for a second after they began to drain.
fn settings_for_six_balancers() -> String {
    let settings = default_settings().replace(r#""balancers":1"#, r#""balancers":6"#);
    settings.replace(
        r#""askWithinUs":1000000,"drainGraceUs":500000"#,
        r#""askWithinUs":10000000,"drainGraceUs":1000000"#,
    )
}

/// Two cache servers and an origin behind a node.
struct Upstreams {
    first: StandIn,
    second: StandIn,
    origin: StandIn,
}

impl Upstreams {
    fn new() -> Upstreams {
        let (first, second) = (
            cache_server(|_| ServerAction::Answer(hit("first"))),
            cache_server(|_| ServerAction::Answer(hit("second"))),
        );
        Upstreams { first, second, origin: failing_origin() }
    }

    /// The list as all know it at first.
    fn known_list(&self) -> String {
        list_of_two_caches([self.first.address, self.second.address], self.origin.address)
    }

    fn start(&self, discovery: SocketAddr) -> Node {
        Node::start_with_settings(discovery, &self.known_list(), (256, 16), "", &settings_for_six_balancers())
    }

    /// A node whose watch tells of the drain once something is sent, and the calls to its discovery from then on.
    fn start_watching(&self) -> (Node, Sender<()>, Receiver<String>) {
        let (start_drain, drain_signal) = channel();
        let watch = vec![
            Step::Send(watch_head()),
            Step::SendEmptyLinesUntil(drain_signal),
            Step::Send(self.drain_update()),
        ];
        let (discovery, calls) = scripted_discovery(vec![watch]);
        let node = self.start(discovery);
        calls.recv_timeout(LONG_TIMEOUT).expect("the watch");
        (node, start_drain, calls)
    }

    /// What changes when the first server begins to drain.
    fn drain_update(&self) -> Vec<u8> {
        chunk(&server_list(6, false, &[server_entry("s-1", self.first.address, "std", "leaving")]))
    }

    /// The whole list once the first server drains.
    fn list_with_drain(&self) -> String {
        let entries = [
            server_entry("s-1", self.first.address, "std", "leaving"),
            server_entry("s-2", self.second.address, "std", "active"),
            server_entry("o-1", self.origin.address, "origin", "active"),
        ];
        server_list(6, true, &entries)
    }
}

/// How many of many keys are still read from the first server.
fn count_reads_from_first(node: &Node) -> usize {
    let mut client = node.connect_client();
    let mut read_key = |key: u32| client.request(&get(&format!("{key:x}"), "1")).unwrap();
    (0..40).filter(|key| read_key(*key) == "first").count()
}

/// Lets requests go on until some time after an instant.
fn send_reads_until(node: &Node, start: Instant, duration: Duration) {
    while start.elapsed() < duration {
        count_reads_from_first(node);
        std::thread::sleep(Duration::from_millis(10));
    }
}

// On a day of six nodes discovery was down for 15 s, and servers began to drain just after its return, while new
// configurations moved discovery four times within 1.6 s for each node. Reads went to the draining servers for longer
// than the grace. A node that had been turned away four times paused for eight times as long as after the first,
// whatever had happened meanwhile: discovery had moved, and was only crowded now. Two lines of a node's log show
// the pause, during which the drain was told to all others:
//
//     7.911 discovery turned a call away, or the watch broke: asking again in 4499 ms
//     12.689 server list version 1 (Full): s-4b589698 draining, s-53a634b0 draining, s-9bafd031 draining
//
// What discovery has counts as notified 4 s after the signal, and 6 s after it was there to be asked for. One refusal
// more at 12.4 s would have been one too many.
#[test]
fn node_refused_in_an_outage_applies_a_drain_in_time_after_discovery_moves() {
    let upstreams = Upstreams::new();
    let outage = (0..8).map(|_| vec![refuse_call(), Step::Close]).collect();
    let (old_discovery, calls) = scripted_discovery(outage);
    let node = upstreams.start(old_discovery);
    for _ in 0..3 {
        calls.recv_timeout(LONG_TIMEOUT).expect("a call");
    }
    assert!(count_reads_from_first(&node) > 0, "both servers are known");
    let delayed_refusal = || vec![Step::Sleep(Duration::from_millis(900)), refuse_call(), Step::Close];
    let answered = vec![Step::Send([watch_head(), chunk(&upstreams.list_with_drain())].concat())];
    let (new_discovery, _calls) = scripted_discovery(vec![delayed_refusal(), delayed_refusal(), answered]);
    let signal_sent_at = Instant::now();
    node.reload_config(Ok(new_discovery));
    send_reads_until(&node, signal_sent_at, Duration::from_millis(5_050));
    assert_eq!(
        count_reads_from_first(&node),
        0,
        "reads that go to a draining server 5.05 s after the signal"
    );
}

// New configurations came 0.3 s apart, and each time the call that was under way, or the watch that stood, was broken
// off as the next call was made. What discovery wrote to them in that moment was lost, though it counts as notified, and the
// next call waited in line for up to 0.9 s or was turned away. A node's log has its answers at 89.5, 90.5 and 91.4 s,
// each to another address, and nothing in between.
#[test]
fn watch_delivers_drains_until_its_replacement_is_answered() {
    let upstreams = Upstreams::new();
    let (node, start_drain, _old_calls) = upstreams.start_watching();
    let (new_discovery, new_calls) = scripted_discovery(vec![Vec::new()]);
    node.reload_config(Ok(new_discovery));
    new_calls.recv_timeout(LONG_TIMEOUT).expect("the call after the move");
    assert!(count_reads_from_first(&node) > 0, "it does not drain yet");
    start_drain.send(()).unwrap();
    send_reads_until(&node, Instant::now(), Duration::from_millis(1_050));
    assert_eq!(
        count_reads_from_first(&node),
        0,
        "reads that go to a server 1.05 s after its drain was written"
    );
}

#[test]
fn watch_is_closed_and_ignored_once_its_replacement_is_answered() {
    let upstreams = Upstreams::new();
    let (node, start_drain, old_calls) = upstreams.start_watching();
    let entries = [
        server_entry("s-1", upstreams.first.address, "std", "active"),
        server_entry("s-2", upstreams.second.address, "std", "leaving"),
        server_entry("o-1", upstreams.origin.address, "origin", "active"),
    ];
    let answer = [watch_head(), chunk(&server_list(4, true, &entries))].concat();
    let (new_discovery, _new_calls) = scripted_discovery(vec![vec![Step::Send(answer)]]);
    node.reload_config(Ok(new_discovery));
    let mut lines = std::iter::from_fn(|| node.log.recv_timeout(LONG_TIMEOUT).ok());
    assert!(lines.any(|line| line.contains("s-2 draining")), "the new list is in force");
    start_drain.send(()).unwrap();
    assert_eq!(
        old_calls.recv_timeout(LONG_TIMEOUT).unwrap(),
        CALL_ENDED,
        "by the node, which has no more use for it"
    );
    assert_eq!(count_reads_from_first(&node), 40, "the former discovery's view is no longer in force");
}

// What discovery writes counts as notified whether or not it arrives whole. A list that a reset or an end cut off was thrown
// away with the drains that had come, and the next call was made after the pause that a refusal gets, 0.3 to 0.9 s, with
// its own wait in line behind it.
#[test]
fn drains_in_a_truncated_list_are_applied() {
    let upstreams = Upstreams::new();
    let whole_list = chunk(&upstreams.list_with_drain());
    let cut_at = whole_list.windows(3).position(|part| part == b"s-2").unwrap();
    for stays_open in [false, true] {
        let mut script = vec![
            Step::Send(watch_head()),
            Step::Send(chunk("\n")),
            Step::Send(whole_list[..cut_at].to_vec()),
        ];
        if !stays_open {
            script.push(Step::Close);
        }
        let (discovery, calls) = scripted_discovery(vec![script]);
        let node = upstreams.start(discovery);
        calls.recv_timeout(LONG_TIMEOUT).expect("the watch");
        // The node gives a list that stands still up after 2.5 s.
        let wait_time = Duration::from_millis(if stays_open { 3_500 } else { 1_000 });
        send_reads_until(&node, Instant::now(), wait_time);
        assert_eq!(
            count_reads_from_first(&node),
            0,
            "reads that go to a server that drains; stays open: {stays_open}"
        );
    }
}

// A read may return less than there is, as when a signal or urgent data ends it. The runtime took a short read to mean
// that nothing was left, and waited for news of more: the rest of a list lay unread until discovery next wrote, two
// seconds later, or until the watch was given up as silent after 2.5 s.
#[test]
fn rest_of_a_list_after_a_short_read_is_read_at_once() {
    let upstreams = Upstreams::new();
    let whole_list = chunk(&upstreams.list_with_drain());
    let (head, rest) = whole_list.split_at(20);
    let (send_list, list_signal) = channel();
    let (written_sender, written) = channel();
    let script = vec![
        Step::Send([watch_head(), chunk("\n")].concat()),
        Step::WaitFor(list_signal),
        Step::Send(head.to_vec()),
        Step::SendUrgentByte,
        Step::Send(rest.to_vec()),
        Step::Notify(written_sender),
    ];
    let (discovery, calls) = scripted_discovery(vec![script]);
    let node = upstreams.start(discovery);
    calls.recv_timeout(LONG_TIMEOUT).expect("the watch");
    let mut lines = std::iter::from_fn(|| node.log.recv_timeout(LONG_TIMEOUT).ok());
    assert!(lines.any(|line| line.contains("answers after")));
    // All of it is there before the node comes to read.
    node.while_stopped(|| {
        send_list.send(()).unwrap();
        written.recv_timeout(LONG_TIMEOUT).expect("all is written");
    });
    send_reads_until(&node, Instant::now(), Duration::from_millis(1_050));
    assert_eq!(
        count_reads_from_first(&node),
        0,
        "reads that go to a server 1.05 s after its drain was written"
    );
}

// A configuration that could not be read in the one moment in which the signal came was given up for good. The node went
// on calling a discovery that had moved and takes no new connections, so that it learnt of nothing any more.
#[test]
fn configuration_unreadable_at_sighup_is_read_again() {
    let upstreams = Upstreams::new();
    let (old_discovery, _old_calls) =
        scripted_discovery(vec![vec![Step::Send([watch_head(), chunk("\n")].concat())]]);
    let node = upstreams.start(old_discovery);
    node.reload_config(Err(""));
    let mut lines = std::iter::from_fn(|| node.log.recv_timeout(LONG_TIMEOUT).ok());
    assert!(lines.any(|line| line.contains("the old configuration stays in force")));
    let (new_discovery, new_calls) = scripted_discovery(vec![vec![Step::Send(
        [watch_head(), chunk(&upstreams.list_with_drain())].concat(),
    )]]);
    node.replace_config(Ok(new_discovery));
    new_calls.recv_timeout(LONG_TIMEOUT).expect("a call where discovery is now");
}

// With a tenth of the reads and writes interrupted and a tenth ending early, 20 of 120 drains were in force over 1.05 s after
// they were written, one of them 15.7 s. An interrupted read ended the watch, and a short one left the rest unread.
#[test]
fn drains_are_applied_at_once_despite_interrupted_and_short_system_calls() {
    const SERVER_COUNT: u64 = 60;
    let failing_address = failing_origin().address;
    let server_name = |server: u64| format!("s-{server}");
    let entries: Vec<_> = (0..SERVER_COUNT)
        .map(|server| server_entry(&server_name(server), failing_address, "std", "active"))
        .collect();
    for seed in 1..=3 {
        let (discovery, updates, calls) = discovery_server(vec![[watch_head(), chunk("\n")].concat()]);
        let shell_prefix = faulty_system_calls(seed);
        let node = Node::start_with_settings(
            discovery,
            &server_list(1, true, &entries),
            (256, 16),
            &shell_prefix,
            &settings_for_six_balancers(),
        );
        calls.recv_timeout(LONG_TIMEOUT).expect("the watch");
        for server in 0..SERVER_COUNT {
            let draining_entry = server_entry(&server_name(server), failing_address, "std", "leaving");
            updates.send(chunk(&server_list(2 + server, false, &[draining_entry]))).unwrap();
            let sent_at = Instant::now();
            let log_text = format!("{} draining", server_name(server));
            let lines = std::iter::from_fn(|| node.log.recv_timeout(LONG_TIMEOUT).ok());
            assert!(lines.into_iter().any(|line| line.contains(&log_text)), "{log_text} at all");
            let delay = sent_at.elapsed();
            assert!(delay < Duration::from_millis(1_050), "{delay:?} until {log_text}, seed {seed}");
        }
        assert!(calls.try_recv().is_err(), "all on one watch");
    }
}

// A server that was listed at another address, while a connection to its former one was still coming up, was written to at
// the former address, where another process or none may be by now.
#[test]
fn server_that_moves_while_a_connection_is_being_set_up_gets_no_request_at_its_old_address() {
    let full_backlog_server = FullBacklogServer::new();
    let second = cache_server(|_| ServerAction::Answer(hit("second")));
    let (node, updates, mut client) = start_node_connecting_to(&full_backlog_server);
    let moved_entry = server_entry("s-1", second.address, "std", "active");
    updates.send(chunk(&server_list(6, false, &[moved_entry]))).unwrap();
    let mut lines = std::iter::from_fn(|| node.log.recv_timeout(LONG_TIMEOUT).ok());
    assert!(lines.any(|line| line.contains("s-1 moved")), "the list is in force");
    let first = full_backlog_server.start_accepting(|_| ServerAction::Answer(hit("first")));
    assert_eq!(client.read_answer().unwrap(), "second", "the connection is up, and its server is elsewhere");
    assert!(first.events.try_iter().all(|event| event.parts.is_empty()), "nothing was written to it");
}
