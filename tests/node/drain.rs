//! News of a drain that is slow to come: what a node must do so that no request is sent to a server after the grace.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::stand_ins::*;
use crate::{connecting, no_origin, trio};

/// What discovery does on a connection, one step after the other. The connection stays open behind the last.
pub enum Step {
    Wait(Duration),
    /// Says empty lines until something comes through the channel.
    Idle(Receiver<()>),
    Say(Vec<u8>),
    /// Sends a byte of urgent data, which belongs to no answer: a read ends in front of it, though there is more.
    Urgent,
    /// Waits until something comes through the channel, and silently so.
    Await(Receiver<()>),
    /// Says that it has come so far.
    Tell(Sender<()>),
    /// Ends the connection.
    Close,
}

/// What discovery tells of the end of a call.
pub const ENDED: &str = "ended";

/// Discovery that plays a script for each call. It tells of each call as it comes, and of its end once the script is
/// played.
pub fn scripted(scripts: Vec<Vec<Step>>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tell, calls) = channel();
    std::thread::spawn(move || {
        for (script, stream) in scripts.into_iter().zip(listener.incoming().flatten()) {
            let tell = tell.clone();
            std::thread::spawn(move || play(script, stream, &tell));
        }
        // Later calls are taken and never answered.
        listener.incoming().flatten().for_each(std::mem::forget);
    });
    (address, calls)
}

fn play(script: Vec<Step>, mut stream: TcpStream, tell: &Sender<String>) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    let request = read_http(&mut input).unwrap_or_default();
    let _ = tell.send(request.first().cloned().unwrap_or_default());
    for step in script {
        match step {
            Step::Wait(time) => std::thread::sleep(time),
            Step::Idle(go) => {
                while let Err(RecvTimeoutError::Timeout) = go.recv_timeout(Duration::from_millis(500)) {
                    let _ = stream.write_all(&chunk("\n"));
                }
            }
            Step::Say(bytes) => drop(stream.write_all(&bytes)),
            Step::Urgent => drop(SockRef::from(&stream).send_out_of_band(b"!")),
            Step::Await(go) => drop(go.recv_timeout(LONG)),
            Step::Tell(done) => drop(done.send(())),
            Step::Close => drop(stream.shutdown(Shutdown::Both)),
        }
    }
    // Until the node ends it.
    while read_http(&mut input).is_some() {}
    let _ = tell.send(ENDED.into());
}

fn refusal() -> Step {
    Step::Say(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".to_vec())
}

/// Settings of a fleet of six whose servers may be sent to for a second after they began to drain.
fn fleet_of_six() -> String {
    let settings = settings().replace(r#""balancers":1"#, r#""balancers":6"#);
    settings.replace(
        r#""askWithinUs":1000000,"drainGraceUs":500000"#,
        r#""askWithinUs":10000000,"drainGraceUs":1000000"#,
    )
}

/// Two cache servers and an origin behind a node.
struct Fleet {
    first: StandIn,
    second: StandIn,
    origin: StandIn,
}

impl Fleet {
    fn new() -> Fleet {
        let (first, second) = (cache(|_| Act::Say(hit("first"))), cache(|_| Act::Say(hit("second"))));
        Fleet { first, second, origin: no_origin() }
    }

    /// The list as all know it at first.
    fn known(&self) -> String {
        trio([self.first.address, self.second.address], self.origin.address)
    }

    fn start(&self, discovery: SocketAddr) -> Node {
        Node::start_in(discovery, &self.known(), (256, 16), "", &fleet_of_six())
    }

    /// A node whose watch tells of the drain once something is sent, and the calls to its discovery from then on.
    fn start_watching(&self) -> (Node, Sender<()>, Receiver<String>) {
        let (go, drains) = channel();
        let watch = vec![Step::Say(watch_head()), Step::Idle(drains), Step::Say(self.drain())];
        let (discovery, calls) = scripted(vec![watch]);
        let node = self.start(discovery);
        calls.recv_timeout(LONG).expect("the watch");
        (node, go, calls)
    }

    /// What changes when the first server begins to drain.
    fn drain(&self) -> Vec<u8> {
        chunk(&listing(6, false, &[entry("s-1", self.first.address, "std", "leaving")]))
    }

    /// The whole list once the first server drains.
    fn draining(&self) -> String {
        let entries = [
            entry("s-1", self.first.address, "std", "leaving"),
            entry("s-2", self.second.address, "std", "active"),
            entry("o-1", self.origin.address, "origin", "active"),
        ];
        listing(6, true, &entries)
    }
}

/// How many of many keys are still read from the first server.
fn read_from_first(node: &Node) -> usize {
    let mut client = node.client();
    let mut read = |key: u32| client.ask(&get(&format!("{key:x}"), "1")).unwrap();
    (0..40).filter(|key| read(*key) == "first").count()
}

/// Lets requests go on until some time after an instant.
fn serve_until(node: &Node, since: Instant, after: Duration) {
    while since.elapsed() < after {
        read_from_first(node);
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
fn a_node_that_was_turned_away_in_an_outage_learns_of_a_drain_in_time_after_a_move() {
    let fleet = Fleet::new();
    let outage = (0..8).map(|_| vec![refusal(), Step::Close]).collect();
    let (old, calls) = scripted(outage);
    let node = fleet.start(old);
    for _ in 0..3 {
        calls.recv_timeout(LONG).expect("a call");
    }
    assert!(read_from_first(&node) > 0, "both servers are known");
    let crowded = || vec![Step::Wait(Duration::from_millis(900)), refusal(), Step::Close];
    let served = vec![Step::Say([watch_head(), chunk(&fleet.draining())].concat())];
    let (new, _calls) = scripted(vec![crowded(), crowded(), served]);
    let signal = Instant::now();
    node.reload(Ok(new));
    serve_until(&node, signal, Duration::from_millis(5_050));
    assert_eq!(read_from_first(&node), 0, "reads that go to a draining server 5.05 s after the signal");
}

// New configurations came 0.3 s apart, and each time the call that was under way, or the watch that stood, was broken
// off as the next call was made. What discovery wrote to them in that moment was lost, though it counts as notified, and the
// next call waited in line for up to 0.9 s or was turned away. A node's log has its answers at 89.5, 90.5 and 91.4 s,
// each to another address, and nothing in between.
#[test]
fn a_watch_tells_of_a_drain_until_the_call_that_replaces_it_is_answered() {
    let fleet = Fleet::new();
    let (node, go, _old_calls) = fleet.start_watching();
    let (new, new_calls) = scripted(vec![Vec::new()]);
    node.reload(Ok(new));
    new_calls.recv_timeout(LONG).expect("the call after the move");
    assert!(read_from_first(&node) > 0, "it does not drain yet");
    go.send(()).unwrap();
    serve_until(&node, Instant::now(), Duration::from_millis(1_050));
    assert_eq!(read_from_first(&node), 0, "reads that go to a server 1.05 s after its drain was written");
}

#[test]
fn a_watch_tells_nothing_any_more_once_the_call_that_replaces_it_is_answered() {
    let fleet = Fleet::new();
    let (node, go, old_calls) = fleet.start_watching();
    let entries = [
        entry("s-1", fleet.first.address, "std", "active"),
        entry("s-2", fleet.second.address, "std", "leaving"),
        entry("o-1", fleet.origin.address, "origin", "active"),
    ];
    let answer = [watch_head(), chunk(&listing(4, true, &entries))].concat();
    let (new, _new_calls) = scripted(vec![vec![Step::Say(answer)]]);
    node.reload(Ok(new));
    let mut lines = std::iter::from_fn(|| node.log.recv_timeout(LONG).ok());
    assert!(lines.any(|line| line.contains("s-2 draining")), "the new list is in force");
    go.send(()).unwrap();
    assert_eq!(old_calls.recv_timeout(LONG).unwrap(), ENDED, "by the node, which has no more use for it");
    assert_eq!(read_from_first(&node), 40, "the former discovery's view is no longer in force");
}

// What discovery writes counts as notified whether or not it arrives whole. A list that a reset or an end cut off was thrown
// away with the drains that had come, and the next call was made after the pause that a refusal gets, 0.3 to 0.9 s, with
// its own wait in line behind it.
#[test]
fn the_drains_in_a_list_that_was_cut_off_are_in_force() {
    let fleet = Fleet::new();
    let whole = chunk(&fleet.draining());
    let end = whole.windows(3).position(|part| part == b"s-2").unwrap();
    for stays in [false, true] {
        let mut script =
            vec![Step::Say(watch_head()), Step::Say(chunk("\n")), Step::Say(whole[..end].to_vec())];
        if !stays {
            script.push(Step::Close);
        }
        let (discovery, calls) = scripted(vec![script]);
        let node = fleet.start(discovery);
        calls.recv_timeout(LONG).expect("the watch");
        // The node gives a list that stands still up after 2.5 s.
        let by = Duration::from_millis(if stays { 3_500 } else { 1_000 });
        serve_until(&node, Instant::now(), by);
        assert_eq!(read_from_first(&node), 0, "reads that go to a server that drains; stays open: {stays}");
    }
}

// A read may return less than there is, as when a signal or urgent data ends it. The runtime took a short read to mean
// that nothing was left, and waited for news of more: the rest of a list lay unread until discovery next wrote, two
// seconds later, or until the watch was given up as silent after 2.5 s.
#[test]
fn the_rest_of_a_list_behind_a_short_read_is_read_at_once() {
    let fleet = Fleet::new();
    let whole = chunk(&fleet.draining());
    let (head, rest) = whole.split_at(20);
    let (go, wait) = channel();
    let (tell, written) = channel();
    let script = vec![
        Step::Say([watch_head(), chunk("\n")].concat()),
        Step::Await(wait),
        Step::Say(head.to_vec()),
        Step::Urgent,
        Step::Say(rest.to_vec()),
        Step::Tell(tell),
    ];
    let (discovery, calls) = scripted(vec![script]);
    let node = fleet.start(discovery);
    calls.recv_timeout(LONG).expect("the watch");
    let mut lines = std::iter::from_fn(|| node.log.recv_timeout(LONG).ok());
    assert!(lines.any(|line| line.contains("answers after")));
    // All of it is there before the node comes to read.
    node.stopped(|| {
        go.send(()).unwrap();
        written.recv_timeout(LONG).expect("all is written");
    });
    serve_until(&node, Instant::now(), Duration::from_millis(1_050));
    assert_eq!(read_from_first(&node), 0, "reads that go to a server 1.05 s after its drain was written");
}

// A configuration that could not be read in the one moment in which the signal came was given up for good. The node went
// on calling a discovery that had moved and takes no new connections, so that it learnt of nothing any more.
#[test]
fn a_configuration_that_could_not_be_read_at_the_signal_is_read_again() {
    let fleet = Fleet::new();
    let (old, _old_calls) = scripted(vec![vec![Step::Say([watch_head(), chunk("\n")].concat())]]);
    let node = fleet.start(old);
    node.reload(Err(""));
    let mut lines = std::iter::from_fn(|| node.log.recv_timeout(LONG).ok());
    assert!(lines.any(|line| line.contains("the old configuration stays in force")));
    let (new, new_calls) = scripted(vec![vec![Step::Say([watch_head(), chunk(&fleet.draining())].concat())]]);
    node.configure(Ok(new));
    new_calls.recv_timeout(LONG).expect("a call where discovery is now");
}

// With a tenth of the reads and writes interrupted and a tenth ending early, 20 of 120 drains were in force over 1.05 s after
// they were written, one of them 15.7 s. An interrupted read ended the watch, and a short one left the rest unread.
#[test]
fn drains_are_in_force_at_once_though_system_calls_are_interrupted_and_end_early() {
    const SERVERS: u64 = 60;
    let nowhere = no_origin().address;
    let name = |server: u64| format!("s-{server}");
    let entries: Vec<_> = (0..SERVERS).map(|server| entry(&name(server), nowhere, "std", "active")).collect();
    for seed in 1..=3 {
        let (discovery, say, calls) = discovery(vec![[watch_head(), chunk("\n")].concat()]);
        let before = failing_system_calls(seed);
        let node =
            Node::start_in(discovery, &listing(1, true, &entries), (256, 16), &before, &fleet_of_six());
        calls.recv_timeout(LONG).expect("the watch");
        for server in 0..SERVERS {
            let drains = entry(&name(server), nowhere, "std", "leaving");
            say.send(chunk(&listing(2 + server, false, &[drains]))).unwrap();
            let written = Instant::now();
            let in_force = format!("{} draining", name(server));
            let lines = std::iter::from_fn(|| node.log.recv_timeout(LONG).ok());
            assert!(lines.into_iter().any(|line| line.contains(&in_force)), "{in_force} at all");
            let late = written.elapsed();
            assert!(late < Duration::from_millis(1_050), "{late:?} until {in_force}, seed {seed}");
        }
        assert!(calls.try_recv().is_err(), "all on one watch");
    }
}

// A server that was listed at another address, while a connection to its former one was still coming up, was written to at
// the former address, where another process or none may be by now.
#[test]
fn a_server_that_moves_while_a_connection_to_it_comes_up_gets_nothing_written_at_its_former_address() {
    let crowded = Crowded::new();
    let second = cache(|_| Act::Say(hit("second")));
    let (node, say, mut client) = connecting(&crowded);
    let moved = entry("s-1", second.address, "std", "active");
    say.send(chunk(&listing(6, false, &[moved]))).unwrap();
    let mut lines = std::iter::from_fn(|| node.log.recv_timeout(LONG).ok());
    assert!(lines.any(|line| line.contains("s-1 moved")), "the list is in force");
    let first = crowded.open(|_| Act::Say(hit("first")));
    assert_eq!(client.answer().unwrap(), "second", "the connection is up, and its server is elsewhere");
    assert!(first.seen.try_iter().all(|seen| seen.words.is_empty()), "nothing was written to it");
}
