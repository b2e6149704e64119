//! Tests of clients that disconnect while their requests wait: none of these requests may be sent to a
//! server any more, wherever in the node it waited. After the disconnect most tests send a marker request,
//! whose key or id is `mark`, and check that a server receives no further request of the disconnected
//! client before it.

use std::io::Write;
use std::net::Shutdown;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;

use crate::stand_ins::*;
use crate::{failing_origin, idle_discovery, list_of_one_cache};

/// Answers that a stand-in server holds back until the test releases them.
struct HeldAnswers {
    release_senders: Vec<Sender<()>>,
    release_signals: Arc<Mutex<Vec<Receiver<()>>>>,
}

impl HeldAnswers {
    fn new() -> HeldAnswers {
        let (release_senders, release_signals) = (0..64).map(|_| channel()).unzip();
        HeldAnswers { release_senders, release_signals: Arc::new(Mutex::new(release_signals)) }
    }

    /// Returns a function that turns an answer into a held one. The server closes the connection after the
    /// answer, so that the end of the connection shows that all of it was sent.
    fn hold_answer_fn(&self) -> impl Fn(Vec<u8>) -> ServerAction + Send + Clone + 'static {
        let release_signals = self.release_signals.clone();
        move |bytes| {
            ServerAction::AnswerAfterThenClose(
                release_signals.lock().unwrap().pop().expect("more answers than there are release signals"),
                bytes,
            )
        }
    }

    /// Releases all answers, and waits until `count` of the server's connections have ended.
    fn release_all(&self, server: &StandIn, count: usize) {
        for release in &self.release_senders {
            let _ = release.send(());
        }
        (0..count).for_each(|_| server.wait_for_connection_end());
    }
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disconnect {
    /// It shuts down its sending side, and waits until the node closes the connection.
    HalfClose,
    /// It resets the connection, and waits until another client may use the id of its request, which shows
    /// that the node has noticed.
    Reset,
}

/// What a client has sent after the requests whose answers are held.
#[derive(Clone, Copy, Debug)]
enum PipelinedInput {
    /// More requests, which fit into the kernel's socket buffers.
    FitsBuffers,
    /// More requests than the socket buffers hold: the node receives the end of the client's input only
    /// after it has read the requests before it.
    ExceedsBuffers,
    /// Data that is no command, more than the socket buffers hold.
    Garbage,
}

const DISCONNECT_CASES: [(Disconnect, PipelinedInput); 4] = [
    (Disconnect::HalfClose, PipelinedInput::FitsBuffers),
    (Disconnect::Reset, PipelinedInput::FitsBuffers),
    (Disconnect::HalfClose, PipelinedInput::ExceedsBuffers),
    (Disconnect::HalfClose, PipelinedInput::Garbage),
];

/// Disconnects a client and waits until the node has noticed. As the client's answers are held back, the sign
/// of that is the end of the connection or an id that is free again.
fn disconnect_and_wait(node: &Node, mut client: Client, id: &str, disconnect: Disconnect) {
    match disconnect {
        Disconnect::HalfClose => {
            client.stream.shutdown(Shutdown::Write).unwrap();
            assert_eq!(
                client.read_answer(),
                None,
                "the node closes the connection without waiting for the answers"
            );
        }
        Disconnect::Reset => {
            SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).unwrap();
            drop(client);
            let mut other_client = node.connect_client();
            let id_is_free =
                || other_client.request(&get("free", id)).unwrap() != "-ERR a request with this id is open";
            assert!(
                std::iter::repeat_with(id_is_free).take(200_000).any(|id_is_free| id_is_free),
                "the id is free after the reset"
            );
        }
    }
}

/// Has a client send more requests than the node forwards at once for one connection, and disconnect while
/// a stand-in server holds the answers to `count` of them. Then releases these answers, and returns the node
/// once the server's connections that carried them have ended.
fn disconnect_with_full_pipeline(
    known_list: &str,
    command_with_id: impl Fn(&str) -> Vec<u8>,
    (held_answers, server, count): (&HeldAnswers, &StandIn, usize),
    (disconnect, pipelined_input): (Disconnect, PipelinedInput),
) -> Node {
    let (discovery, _updates, _calls) = idle_discovery();
    let node = Node::start(discovery, known_list);
    let mut client = node.connect_client();
    let commands = |from: usize, to: usize| {
        (from..to).flat_map(|id| command_with_id(&format!("p{id}"))).collect::<Vec<_>>()
    };
    client.send(&commands(0, 16));
    client.send(&match pipelined_input {
        PipelinedInput::FitsBuffers => commands(16, 40),
        PipelinedInput::ExceedsBuffers => commands(16, 6_000),
        PipelinedInput::Garbage => vec![b'x'; 300_000],
    });
    for _ in 0..count {
        assert!(server.next_request().parts.concat().contains("aa"));
    }
    disconnect_and_wait(&node, client, "p0", disconnect);
    held_answers.release_all(server, count);
    node
}

#[test]
fn no_fetch_follows_a_miss_after_its_client_disconnects_with_a_full_pipeline() {
    for disconnect_case in DISCONNECT_CASES {
        let held_answers = HeldAnswers::new();
        let hold_answer = held_answers.hold_answer_fn();
        let cache = cache_server(move |parts| match parts[1].as_str() {
            "free" => ServerAction::Answer(hit("free")),
            _ => hold_answer(miss()),
        });
        let origin = origin_server(|_| ServerAction::Answer(http_response(200, "", "made")));
        let known_list = list_of_one_cache(cache.address, origin.address);
        let node = disconnect_with_full_pipeline(
            &known_list,
            |id| get("aa", id),
            (&held_answers, &cache, 16),
            disconnect_case,
        );
        assert_eq!(node.connect_client().request(&put("mark", "m", "v")).unwrap(), "made");
        assert_eq!(
            origin.next_request().parts[0],
            "PUT /mark HTTP/1.1",
            "{disconnect_case:?}: no miss is fetched"
        );
    }
}

#[test]
fn no_failed_read_is_retried_after_its_client_disconnects_with_a_full_pipeline() {
    for disconnect_case in DISCONNECT_CASES {
        let held_answers = HeldAnswers::new();
        let hold_answer = held_answers.hold_answer_fn();
        let cache = cache_server(move |parts| match parts[1].as_str() {
            "aa" => hold_answer(Vec::new()),
            key => ServerAction::Answer(hit(key)),
        });
        let known_list = list_of_one_cache(cache.address, failing_origin().address);
        let node = disconnect_with_full_pipeline(
            &known_list,
            |id| get("aa", id),
            (&held_answers, &cache, 16),
            disconnect_case,
        );
        assert_eq!(node.connect_client().request(&get("mark", "m")).unwrap(), "mark");
        let next_key = || cache.next_request().parts[1].clone();
        let first_key = std::iter::repeat_with(next_key).find(|key| key != "free");
        assert_eq!(first_key.unwrap(), "mark", "{disconnect_case:?}: no read is retried");
    }
}

#[test]
fn no_write_waiting_for_the_gate_is_sent_after_its_client_disconnects() {
    for disconnect_case in DISCONNECT_CASES {
        let held_answers = HeldAnswers::new();
        let hold_answer = held_answers.hold_answer_fn();
        let cache = cache_server(|parts| ServerAction::Answer(hit(&parts[1])));
        let origin = origin_server(move |parts| match parts[0].as_str() {
            "PUT /mark HTTP/1.1" => ServerAction::Answer(http_response(200, "", "made")),
            _ => hold_answer(http_response(200, "", "made")),
        });
        let known_list = list_of_one_cache(cache.address, origin.address);
        // 10 writes are in flight: as many as the gate lets through at first.
        let node = disconnect_with_full_pipeline(
            &known_list,
            |id| put("aa", id, "v"),
            (&held_answers, &origin, 10),
            disconnect_case,
        );
        assert_eq!(node.connect_client().request(&put("mark", "m", "v")).unwrap(), "made");
        assert_eq!(
            origin.next_request().parts[0],
            "PUT /mark HTTP/1.1",
            "{disconnect_case:?}: the gate lets no write through"
        );
    }
}

#[test]
fn no_request_is_sent_on_a_new_connection_after_its_client_disconnects() {
    let full_backlog_server = FullBacklogServer::new();
    let origin = origin_server(|_| ServerAction::Answer(http_response(200, "", "made")));
    let (discovery, _updates, _calls) = idle_discovery();
    let known_list = list_of_one_cache(full_backlog_server.address, origin.address);
    let node = Node::start_with_settings(discovery, &known_list, (256, 16), "", &long_timeout_settings());
    let mut client = node.connect_client();
    client.send(&long_deadline_get("aa", "gone"));
    // Commands are handled in order, so the node has taken the read once this write is at the origin.
    client.send(&put("bb", "here", "v"));
    assert_eq!(origin.next_request().parts[0], "PUT /bb HTTP/1.1");
    disconnect_and_wait(&node, client, "gone", Disconnect::HalfClose);
    // The connection that the node began to open for the read is established now. Only the next request may
    // use it.
    let cache = full_backlog_server.start_accepting(|parts| ServerAction::Answer(hit(&parts[2])));
    assert_eq!(node.connect_client().request(&get("aa", "mark")).unwrap(), "mark");
    assert_eq!(cache.next_request().parts[2], "mark", "no request of the disconnected client is sent");
}

#[test]
fn pipelined_commands_beyond_the_buffer_limit_are_read_and_shed_in_order() {
    let held_answers = HeldAnswers::new();
    let hold_answer = held_answers.hold_answer_fn();
    let cache = cache_server(move |parts| match parts[1].as_str() {
        "aa" => hold_answer(hit("held")),
        key => ServerAction::Answer(hit(key)),
    });
    let origin = origin_server(|_| ServerAction::Answer(http_response(200, "", "made")));
    let (discovery, _updates, _calls) = idle_discovery();
    let node = Node::start(discovery, &list_of_one_cache(cache.address, origin.address));
    let mut client = node.connect_client();
    client.send(&get("aa", "first"));
    cache.next_request();
    // Far more than the socket buffers of client and node hold: the last command is written only once the
    // node reads on.
    client.stream.set_write_timeout(Some(LONG_TIMEOUT)).unwrap();
    let value = "v".repeat(60_000);
    (0..500).for_each(|id| client.send(&put("bb", &format!("p{id}"), &value)));
    held_answers.release_all(&cache, 1);
    assert_eq!(client.read_answer().unwrap(), "held");
    let answers: Vec<_> = (0..500).map(|_| client.read_answer().unwrap()).collect();
    assert!(answers.iter().all(|answer| answer == "made" || answer.starts_with("-BUSY")), "{answers:?}");
    assert_eq!(answers[499], "-BUSY");
    assert_eq!(client.request(&get("cc", "last")).unwrap(), "cc", "the connection stays open");
}

#[test]
fn requests_not_yet_read_when_their_client_disconnects_are_not_forwarded() {
    for pinged_before in [true, false] {
        let cache = cache_server(|parts| ServerAction::Answer(hit(&parts[1])));
        let (discovery, _updates, _calls) = idle_discovery();
        let node = Node::start(discovery, &list_of_one_cache(cache.address, failing_origin().address));
        let pinged_client = || {
            let mut client = node.connect_client();
            assert_eq!(client.request(&command(&["PING"])).unwrap(), "+PONG");
            client
        };
        let mut clients: Vec<_> = (0..20).filter(|_| pinged_before).map(|_| pinged_client()).collect();
        // Opens connections to the cache server. After 100 ms without use they can carry a request at once,
        // so that the node would forward requests without the delay of a new connection.
        let mut pool_filling_client = node.connect_client();
        pool_filling_client.send(&(0..16).flat_map(|id| get("warm", &format!("w{id}"))).collect::<Vec<_>>());
        assert!((0..16).all(|_| pool_filling_client.read_answer().unwrap() == "warm"
            && cache.next_request().parts[1] == "warm"));
        std::thread::sleep(Duration::from_millis(100));
        // The node finds all connections, requests and disconnects in one iteration of its event loop.
        node.while_stopped(|| {
            clients.extend((clients.len()..20).map(|_| node.connect_client()));
            for (index, mut client) in clients.into_iter().enumerate() {
                client.send(&(0..60).flat_map(|id| get("aa", &format!("{index}-{id}"))).collect::<Vec<_>>());
            }
        });
        for index in 0..20 {
            // The policy may shed while it still counts the requests of the disconnected clients.
            let answered =
                || node.connect_client().request(&get("mark", &format!("m{index}"))).unwrap() == "mark";
            assert!(std::iter::repeat_with(answered).take(200_000).any(|answered| answered));
            assert_eq!(
                cache.next_request().parts[1],
                "mark",
                "no request is forwarded; clients pinged before: {pinged_before}"
            );
        }
    }
}

#[test]
fn requests_before_megabytes_of_unread_input_are_not_forwarded_after_their_client_disconnects() {
    // Guards against attempts that are sent while it is unknown whether their client has left: its close stands
    // behind input that takes longer to read than an attempt waits.
    for clients in [1, 8] {
        let cache = cache_server(|parts| ServerAction::Answer(hit(&parts[1])));
        let (discovery, _updates, _calls) = idle_discovery();
        let node = Node::start(discovery, &list_of_one_cache(cache.address, failing_origin().address));
        assert_eq!(node.connect_client().request(&get("warm", "warm")).unwrap(), "warm");
        assert_eq!(cache.next_request().parts[1], "warm");
        // The clients have left before the node reads anything of their input.
        node.while_stopped(|| {
            for number in 0..clients {
                let mut client = node.connect_client();
                let reads: Vec<u8> =
                    (0..60_000).flat_map(|id| get("aa", &format!("{number}-{id}"))).collect();
                client.stream.set_write_timeout(Some(Duration::from_millis(200))).unwrap();
                // Fails once the socket buffers are full.
                let _ = client.stream.write_all(&reads);
            }
        });
        // The markers are sent until the node has read all input, so that other reads would come before them.
        let mut marker_client = node.connect_client();
        let started_at = std::time::Instant::now();
        while started_at.elapsed() < Duration::from_secs(2) {
            marker_client.request(&get("mark", "m")).unwrap();
            std::thread::sleep(Duration::from_millis(10));
        }
        let forwarded =
            cache.events.try_iter().filter(|event| event.parts.get(1).is_some_and(|key| key == "aa"));
        assert_eq!(forwarded.count(), 0, "reads of {clients} disconnected clients that were forwarded");
    }
}
