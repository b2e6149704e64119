//! A client that leaves while its request waits: nothing of it is sent on any more, wherever it waited.

use std::net::Shutdown;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;

use crate::stand_ins::*;
use crate::{no_origin, pair, quiet};

/// Answers that a stand-in holds back, each until it is told.
struct Held {
    go: Vec<Sender<()>>,
    waits: Arc<Mutex<Vec<Receiver<()>>>>,
}

impl Held {
    fn new() -> Held {
        let (go, waits) = (0..64).map(|_| channel()).unzip();
        Held { go, waits: Arc::new(Mutex::new(waits)) }
    }

    /// What makes such an answer; its connection ends behind it, so that its end tells that all was said.
    fn act(&self) -> impl Fn(Vec<u8>) -> Act + Send + Clone + 'static {
        let waits = self.waits.clone();
        move |bytes| Act::SayAfterAndClose(waits.lock().unwrap().pop().expect("another to hold"), bytes)
    }

    /// Lets all go on, and waits until so many have ended.
    fn release(&self, at: &StandIn, count: usize) {
        for go in &self.go {
            let _ = go.send(());
        }
        (0..count).for_each(|_| at.ended());
    }
}

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leave {
    /// It closes its half, and sees the node close the other.
    HalfClosed,
    /// It resets the connection; that the node has noticed shows in the id, which is free again.
    Reset,
}

/// What it has sent behind the requests that are held.
#[derive(Clone, Copy, Debug)]
enum Behind {
    /// More requests, less than the machine holds for the node.
    Few,
    /// More than the machine holds: the client's end reaches it only as the node reads on.
    Many,
    /// As much that is no request.
    Garbage,
}

const WAYS: [(Leave, Behind); 4] = [
    (Leave::HalfClosed, Behind::Few),
    (Leave::Reset, Behind::Few),
    (Leave::HalfClosed, Behind::Many),
    (Leave::HalfClosed, Behind::Garbage),
];

/// Has a client leave, and waits until the node has noticed: not by the answer of the request, which is held.
fn leave(node: &Node, mut client: Client, id: &str, how: Leave) {
    match how {
        Leave::HalfClosed => {
            client.out.shutdown(Shutdown::Write).unwrap();
            assert_eq!(client.answer(), None, "the node closes as well, and has not waited for the answers");
        }
        Leave::Reset => {
            SockRef::from(&client.out).set_linger(Some(Duration::ZERO)).unwrap();
            drop(client);
            let mut other = node.client();
            let free = || other.ask(&get("free", id)).unwrap() != "-ERR a request with this id is open";
            assert!(std::iter::repeat_with(free).take(200_000).any(|free| free), "its id is free again");
        }
    }
}

/// Has a client ask more than is taken at once from one connection, and leave while so many of its requests are
/// held at a stand-in; then lets these go on. Returns the node once all of them have their end.
fn leave_behind_a_full_pipeline(
    known: &str,
    ask: impl Fn(&str) -> Vec<u8>,
    (held, at, count): (&Held, &StandIn, usize),
    (how, behind): (Leave, Behind),
) -> Node {
    let (discovery, _say, _calls) = quiet();
    let node = Node::start(discovery, known);
    let mut client = node.client();
    let asks = |from: usize, to: usize| (from..to).flat_map(|id| ask(&format!("p{id}"))).collect::<Vec<_>>();
    client.send(&asks(0, 16));
    client.send(&match behind {
        Behind::Few => asks(16, 40),
        Behind::Many => asks(16, 6_000),
        Behind::Garbage => vec![b'x'; 300_000],
    });
    for _ in 0..count {
        assert!(at.next().words.concat().contains("aa"));
    }
    leave(&node, client, "p0", how);
    held.release(at, count);
    node
}

#[test]
fn a_client_that_leaves_behind_a_full_pipeline_has_no_misses_fetched() {
    for how in WAYS {
        let held = Held::new();
        let act = held.act();
        let cache = cache(move |words| match words[1].as_str() {
            "free" => Act::Say(hit("free")),
            _ => act(miss()),
        });
        let origin = origin(|_| Act::Say(http(200, "", "made")));
        let known = pair(cache.address, origin.address);
        let node = leave_behind_a_full_pipeline(&known, |id| get("aa", id), (&held, &cache, 16), how);
        assert_eq!(node.client().ask(&put("mark", "m", "v")).unwrap(), "made");
        assert_eq!(origin.next().words[0], "PUT /mark HTTP/1.1", "{how:?}: nothing was fetched before");
    }
}

#[test]
fn a_client_that_leaves_behind_a_full_pipeline_has_no_broken_reads_tried_again() {
    for how in WAYS {
        let held = Held::new();
        let act = held.act();
        let cache = cache(move |words| match words[1].as_str() {
            "aa" => act(Vec::new()),
            key => Act::Say(hit(key)),
        });
        let known = pair(cache.address, no_origin().address);
        let node = leave_behind_a_full_pipeline(&known, |id| get("aa", id), (&held, &cache, 16), how);
        assert_eq!(node.client().ask(&get("mark", "m")).unwrap(), "mark");
        let next = || cache.next().words[1].clone();
        let sent = std::iter::repeat_with(next).find(|key| key != "free");
        assert_eq!(sent.unwrap(), "mark", "{how:?}: nothing was sent again before");
    }
}

#[test]
fn a_client_that_leaves_behind_a_full_pipeline_has_nothing_sent_that_waits_for_the_gate() {
    for how in WAYS {
        let held = Held::new();
        let act = held.act();
        let cache = cache(|words| Act::Say(hit(&words[1])));
        let origin = origin(move |words| match words[0].as_str() {
            "PUT /mark HTTP/1.1" => Act::Say(http(200, "", "made")),
            _ => act(http(200, "", "made")),
        });
        let known = pair(cache.address, origin.address);
        // As many are out as the gate lets through at first.
        let node = leave_behind_a_full_pipeline(&known, |id| put("aa", id, "v"), (&held, &origin, 10), how);
        assert_eq!(node.client().ask(&put("mark", "m", "v")).unwrap(), "made");
        assert_eq!(
            origin.next().words[0],
            "PUT /mark HTTP/1.1",
            "{how:?}: the gate let nothing through before"
        );
    }
}

#[test]
fn a_client_that_leaves_while_a_connection_comes_up_has_nothing_written_to_it() {
    let crowded = Crowded::new();
    let origin = origin(|_| Act::Say(http(200, "", "made")));
    let (discovery, _say, _calls) = quiet();
    let known = pair(crowded.address, origin.address);
    let node = Node::start_in(discovery, &known, (256, 16), "", &patient());
    let mut client = node.client();
    client.send(&patient_get("aa", "gone"));
    // Behind it on the same connection, so that the node has taken it once this is at the origin.
    client.send(&put("bb", "here", "v"));
    assert_eq!(origin.next().words[0], "PUT /bb HTTP/1.1");
    leave(&node, client, "gone", Leave::HalfClosed);
    // The connection that the node opened for it comes up. What it writes now is of the next request.
    let cache = crowded.open(|words| Act::Say(hit(&words[2])));
    assert_eq!(node.client().ask(&get("aa", "mark")).unwrap(), "mark");
    assert_eq!(cache.next().words[2], "mark", "nothing was written before");
}

#[test]
fn what_a_client_sends_ahead_beyond_what_is_kept_is_read_and_refused_in_its_turn() {
    let held = Held::new();
    let act = held.act();
    let cache = cache(move |words| match words[1].as_str() {
        "aa" => act(hit("held")),
        key => Act::Say(hit(key)),
    });
    let origin = origin(|_| Act::Say(http(200, "", "made")));
    let (discovery, _say, _calls) = quiet();
    let node = Node::start(discovery, &pair(cache.address, origin.address));
    let mut client = node.client();
    client.send(&get("aa", "first"));
    cache.next();
    // Far more than the machine holds for the two: the last of it is written once the node reads on.
    client.out.set_write_timeout(Some(LONG)).unwrap();
    let value = "v".repeat(60_000);
    (0..500).for_each(|id| client.send(&put("bb", &format!("p{id}"), &value)));
    held.release(&cache, 1);
    assert_eq!(client.answer().unwrap(), "held");
    let answers: Vec<_> = (0..500).map(|_| client.answer().unwrap()).collect();
    assert!(answers.iter().all(|answer| answer == "made" || answer.starts_with("-BUSY")), "{answers:?}");
    assert_eq!(answers[499], "-BUSY");
    assert_eq!(client.ask(&get("cc", "last")).unwrap(), "cc", "and the connection goes on");
}

#[test]
fn clients_that_have_left_before_the_node_comes_to_read_have_nothing_sent_on() {
    for known_before in [true, false] {
        let cache = cache(|words| Act::Say(hit(&words[1])));
        let (discovery, _say, _calls) = quiet();
        let node = Node::start(discovery, &pair(cache.address, no_origin().address));
        let taken = || {
            let mut client = node.client();
            assert_eq!(client.ask(&command(&["PING"])).unwrap(), "+PONG");
            client
        };
        let mut clients: Vec<_> = (0..20).filter(|_| known_before).map(|_| taken()).collect();
        // Connections that can carry a request at once, as soon as they have rested.
        let mut warm = node.client();
        warm.send(&(0..16).flat_map(|id| get("warm", &format!("w{id}"))).collect::<Vec<_>>());
        assert!((0..16).all(|_| warm.answer().unwrap() == "warm" && cache.next().words[1] == "warm"));
        std::thread::sleep(Duration::from_millis(100));
        // All of it comes in one turn of the loop.
        node.stopped(|| {
            clients.extend((clients.len()..20).map(|_| node.client()));
            for (at, mut client) in clients.into_iter().enumerate() {
                client.send(&(0..60).flat_map(|id| get("aa", &format!("{at}-{id}"))).collect::<Vec<_>>());
            }
        });
        for at in 0..20 {
            // The module may refuse while it still counts on the requests of those.
            let served = || node.client().ask(&get("mark", &format!("m{at}"))).unwrap() == "mark";
            assert!(std::iter::repeat_with(served).take(200_000).any(|served| served));
            assert_eq!(cache.next().words[1], "mark", "known before: {known_before}");
        }
    }
}
