//! Tests of the node's shutdown after SIGTERM: every request that the node has accepted or read gets its
//! answer before the platform may send SIGKILL, whatever its servers and clients do.

use std::time::Instant;

use super::*;

/// The platform's terms for nodes: SIGKILL comes no sooner after SIGTERM than the longest deadline, of which
/// at most `LONGEST_COUNTED_DEADLINE` counts, and `KILL_MARGIN` more.
const LONGEST_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Requests that come later than this after SIGTERM must be answered before SIGKILL, and so must all earlier
/// ones if the process exits by itself.
const ANSWERED_FROM: Duration = Duration::from_millis(700);
/// Interval between the requests of a client after SIGTERM, and the time until which it sends them.
const SEND_INTERVAL: Duration = Duration::from_millis(300);
const SEND_UNTIL: Duration = Duration::from_millis(3_200);
/// Number of clients of one test.
const CLIENTS: usize = 4;
/// More writes than the gate of the origin lets through at first.
const WRITES_BEYOND_GATE: usize = 14;

/// A request that is open when SIGTERM comes, and what keeps it open.
#[derive(Clone, Copy, Debug)]
enum OpenRequest {
    ReadAtHangingCache,
    FetchAtHangingOrigin,
    WritesAtHangingOrigin,
}

impl OpenRequest {
    fn commands(self, client: usize) -> Vec<Vec<u8>> {
        match self {
            OpenRequest::ReadAtHangingCache => vec![get("hang", &format!("open-{client}"))],
            OpenRequest::FetchAtHangingOrigin => vec![get("miss", &format!("open-{client}"))],
            // The last ones wait for the gate.
            OpenRequest::WritesAtHangingOrigin => (0..WRITES_BEYOND_GATE)
                .map(|number| put("aa", &format!("open-{client}-{number}"), "value"))
                .collect(),
        }
    }
}

/// Reads answers until the connection ends or the time has come; returns them, and whether the connection has
/// ended.
fn read_answers_until(client: &mut Client, time: Instant) -> (Vec<String>, bool) {
    let mut answers = Vec::new();
    loop {
        let remaining = time.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        client.stream.set_read_timeout(Some(remaining)).unwrap();
        match client.try_read_answer() {
            Ok(Some(answer)) => answers.push(answer),
            Ok(None) => return (answers, true),
            Err(_) => return (answers, false),
        }
    }
}

/// Sends reads from `ANSWERED_FROM` to `SEND_UNTIL` after SIGTERM while the connection stays open; returns
/// how many requests were sent and answered until SIGKILL may come.
fn send_after_terminate(mut client: Client, number: usize, terminated_at: Instant) -> (usize, usize) {
    let (mut sent, mut answered) = (0, 0);
    let mut send_at = ANSWERED_FROM;
    while send_at < SEND_UNTIL {
        let (answers, ended) = read_answers_until(&mut client, terminated_at + send_at);
        answered += answers.len();
        if ended || client.stream.write_all(&get("bb", &format!("late-{number}-{sent}"))).is_err() {
            return (sent, answered);
        }
        sent += 1;
        send_at += SEND_INTERVAL;
    }
    let kill_at = terminated_at + LONGEST_COUNTED_DEADLINE + KILL_MARGIN;
    (sent, answered + read_answers_until(&mut client, kill_at).0.len())
}

#[test]
fn requests_sent_behind_a_hanging_one_after_sigterm_are_answered_before_sigkill() {
    // Guards against refusals that wait behind a request with a deadline over 3 s until SIGKILL comes.
    for open_request in [
        OpenRequest::ReadAtHangingCache,
        OpenRequest::FetchAtHangingOrigin,
        OpenRequest::WritesAtHangingOrigin,
    ] {
        let cache = cache_server(|parts| match parts[1].as_str() {
            "hang" => ServerAction::Hang,
            "miss" => ServerAction::Answer(miss()),
            key => ServerAction::Answer(hit(key)),
        });
        let origin = origin_server(|_| ServerAction::Hang);
        let (discovery, _updates, _calls) = idle_discovery();
        let mut node = Node::start(discovery, &list_of_one_cache(cache.address, origin.address));
        let mut clients: Vec<_> = (0..CLIENTS).map(|_| node.connect_client()).collect();
        let open_commands: Vec<_> = (0..CLIENTS).map(|number| open_request.commands(number)).collect();
        for (client, commands) in clients.iter_mut().zip(&open_commands) {
            client.send(&commands.concat());
        }
        match open_request {
            OpenRequest::ReadAtHangingCache => drop(cache.next_request()),
            _ => drop(origin.next_request()),
        }
        node.terminate();
        let terminated_at = Instant::now();
        let late_senders: Vec<_> = clients
            .into_iter()
            .enumerate()
            .map(|(number, client)| {
                std::thread::spawn(move || send_after_terminate(client, number, terminated_at))
            })
            .collect();
        for (sender, commands) in late_senders.into_iter().zip(&open_commands) {
            let (sent, answered) = sender.join().unwrap();
            assert_eq!(answered, commands.len() + sent, "{open_request:?}: answers before SIGKILL may come");
        }
        assert_eq!(node.wait_for_exit().code(), Some(0));
    }
}

#[test]
fn shutdown_ends_before_sigkill_without_a_reset_while_a_client_sends_without_pause() {
    // Guards against a session that is never between requests, so that the exit cuts off what it has read.
    let cache = cache_server(|parts| ServerAction::Answer(hit(&parts[1])));
    let (discovery, _updates, _calls) = idle_discovery();
    let mut node = Node::start(discovery, &list_of_one_cache(cache.address, failing_origin().address));
    let Client { mut stream, mut reader } = node.connect_client();
    let sender = std::thread::spawn(move || {
        let batch: Vec<u8> = (0..50).flat_map(|id| get("aa", &format!("flood-{id}"))).collect();
        while stream.write_all(&batch).is_ok() {}
    });
    assert!(reader.read(&mut [0; 64]).unwrap() > 0, "requests are answered");
    node.terminate();
    let terminated_at = Instant::now();
    let mut chunk = [0; 4096];
    while reader.read(&mut chunk).expect("the connection ends after the last answer, without a reset") > 0 {}
    let elapsed = terminated_at.elapsed();
    assert!(elapsed < LONGEST_COUNTED_DEADLINE + KILL_MARGIN, "the connection ends after {elapsed:?}");
    assert_eq!(node.wait_for_exit().code(), Some(0));
    sender.join().unwrap();
}

#[test]
fn sigterm_accepts_connections_briefly_finishes_open_requests_and_exits_with_0() {
    let (release, release_signal) = channel();
    let release_signal = Arc::new(Mutex::new(Some(release_signal)));
    let cache = cache_server(move |parts| match parts[1].as_str() {
        "ee" => ServerAction::AnswerAfter(release_signal.lock().unwrap().take().unwrap(), hit("slow")),
        key => ServerAction::Answer(hit(key)),
    });
    let origin = failing_origin();
    let (discovery, _updates, _calls) = idle_discovery();
    let mut node = Node::start(discovery, &list_of_one_cache(cache.address, origin.address));
    let mut client = node.connect_client();
    let mut idle_client = node.connect_client();
    assert_eq!(idle_client.request(&command(&["PING"])).unwrap(), "+PONG");
    client.send(&get("ee", "1"));
    cache.next_request();
    node.terminate();
    assert_eq!(
        node.connect_client().request(&get("aa", "2")).unwrap(),
        "aa",
        "a new connection is still accepted"
    );
    assert_eq!(idle_client.read_answer(), None, "an idle connection is closed");
    release.send(()).unwrap();
    assert_eq!(client.read_answer().unwrap(), "slow", "an open request is finished");
    assert_eq!(client.read_answer(), None);
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

#[test]
fn sigterm_sheds_requests_pipelined_behind_an_open_one() {
    let (release, release_signal) = channel();
    let release_signal = Arc::new(Mutex::new(Some(release_signal)));
    let cache = cache_server(move |parts| match parts[1].as_str() {
        "ee" => ServerAction::AnswerAfter(release_signal.lock().unwrap().take().unwrap(), hit("slow")),
        _ => ServerAction::Hang,
    });
    let origin = failing_origin();
    let (discovery, _updates, _calls) = idle_discovery();
    let mut node = Node::start(discovery, &list_of_one_cache(cache.address, origin.address));
    let (mut client, mut idle_client) = (node.connect_client(), node.connect_client());
    assert_eq!(idle_client.request(&command(&["PING"])).unwrap(), "+PONG");
    client.send(&get("ee", "1"));
    cache.next_request();
    node.terminate();
    assert_eq!(idle_client.read_answer(), None, "the node has begun to close connections");
    // The connection is never without an open request: the first is unanswered when the others arrive.
    client.send(&[get("aa", "2"), command(&["PING"]), get("aa", "3")].concat());
    release.send(()).unwrap();
    for expected in ["slow", "-BUSY", "+PONG", "-BUSY"] {
        assert_eq!(client.read_answer().unwrap(), expected);
    }
    assert_eq!(client.read_answer(), None);
    assert_eq!(node.wait_for_exit().code(), Some(0));
    let forwarded = cache.events.try_iter().filter(|event| !event.parts.is_empty()).count();
    assert_eq!(forwarded, 0, "no shed request is forwarded");
}

#[test]
fn sigterm_waits_until_the_last_client_has_its_answer() {
    // Guards against an exit with unsent answers: in a rolling restart of 300 nodes, nodes with a single
    // client left exited before that client's answer was written.
    let value = "v".repeat(3_900_000);
    let cached = value.clone();
    let cache = cache_server(move |_| ServerAction::Answer(hit(&cached)));
    let origin = failing_origin();
    let (discovery, _updates, _calls) = idle_discovery();
    let known_list = list_of_one_cache(cache.address, origin.address);
    let mut node = Node::start_with_settings(discovery, &known_list, (256, 192), "", default_settings());
    let (mut client, mut idle_client) = (node.connect_client(), node.connect_client());
    assert_eq!(idle_client.request(&command(&["PING"])).unwrap(), "+PONG");
    // The answers exceed the socket buffers between node and client, so that the node can't write all of them
    // yet.
    client.send(&["1", "2", "3"].map(|id| get("aa", id)).concat());
    let requests: Vec<_> = (0..3).map(|_| cache.next_request()).collect();
    assert_eq!(requests.len(), 3);
    node.terminate();
    assert_eq!(idle_client.read_answer(), None, "the node has begun to close connections");
    // Far longer than the few milliseconds in which a node without unsent answers exits.
    std::thread::sleep(Duration::from_millis(300));
    for _ in 0..3 {
        assert!(client.read_answer().is_some_and(|answer| answer == value), "the answer is complete");
    }
    assert_eq!(client.read_answer(), None);
    assert_eq!(node.wait_for_exit().code(), Some(0));
}
