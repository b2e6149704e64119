//! A planned restart in a deployment whose longest deadline is over 3 s, while a cache server hangs. What SIGKILL
//! finds unanswered is lost, if it came more than 0.7 s after SIGTERM.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::stage::*;

/// Cache servers, of which the first hangs (STANDING, roll+brink: a quarter to a half of them).
const SERVERS: usize = 3;
/// Time of the other servers for a read.
const WORK: Duration = Duration::from_millis(60);
/// Clients, each on one connection with a read that is open when SIGTERM comes.
const CLIENTS: usize = 12;
/// Time for which a client waits, in milliseconds: 0.8 of the class's deadline of 6 s (BRIEF: 40 to 80%).
const CLIENT_WAIT_MS: u64 = 4_800;
/// Time before SIGTERM at which the clients send their first reads, so that each is open or answered by then.
const BEFORE_TERM: Duration = Duration::from_millis(300);
/// Requests count from this time after SIGTERM on (PROTOCOL: more than 0.7 s), with some slack.
const COUNTS_FROM: Duration = Duration::from_millis(800);
/// The clients go on sending on the connections that stay open, one read in each interval, until some time
/// before SIGKILL (STANDING: up to SIGKILL).
const SEND_INTERVAL: Duration = Duration::from_millis(400);
const SEND_UNTIL: Duration = Duration::from_millis(3_300);
/// Time from SIGTERM to SIGKILL (PROTOCOL: no sooner than 3 s and 0.7 s more, where the longest deadline is over 3 s).
const KILL_AFTER: Duration = Duration::from_millis(3_750);

/// A connection of a client: its writer, the reads sent on it, and how many answers have come.
struct Connection {
    writer: TcpStream,
    sent: Vec<(String, Duration)>,
    answers: Arc<AtomicUsize>,
    open: Arc<Mutex<bool>>,
}

fn start_server(hangs: bool) -> SocketAddr {
    let (listener, address) = listener();
    serve(listener, move |stream| {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(words) = read_command(&mut reader) {
            if hangs {
                note(&format!("the hanging server gets {}", words[2]));
                continue;
            }
            std::thread::sleep(WORK);
            if writer.write_all(&hit(&format!("value-of-{}", words[1]))).is_err() {
                return;
            }
        }
    });
    address
}

/// Plays the case; returns whether the rule held.
pub fn play() -> bool {
    let mut random = Random::new(seed());
    let (_origin, origin_address) = listener();
    let mut entries = vec![Entry::active("o-1", origin_address, "origin")];
    entries.extend((0..SERVERS).map(|number| {
        let hangs = number == 0 && trouble();
        Entry::active(&format!("s-{number}"), start_server(hangs), "std")
    }));
    let discovery = Discovery::start(entries);
    // Another customer's deployment: a longer deadline, and no second copies.
    let settings = SETTINGS
        .replace(r#""deadlineUs": 3000000"#, r#""deadlineUs": 6000000"#)
        .replace(r#""mayDuplicate": true"#, r#""mayDuplicate": false"#);
    let mut node = Node::start_with(&discovery, &settings);
    let mut connections: Vec<_> = (0..CLIENTS).map(|_| connect(&node)).collect();
    let start = Instant::now();
    let mut next_id = 1;
    for connection in &mut connections {
        send(connection, &mut next_id, &mut random, Duration::ZERO);
    }
    std::thread::sleep(BEFORE_TERM);
    let term_at = Instant::now();
    node.signal("TERM");
    note(&format!("SIGTERM, {} ms after the first reads", start.elapsed().as_millis()));
    let mut send_at = COUNTS_FROM;
    while send_at <= SEND_UNTIL {
        std::thread::sleep(send_at.saturating_sub(term_at.elapsed()));
        for connection in connections.iter_mut().filter(|connection| *connection.open.lock().unwrap()) {
            send(connection, &mut next_id, &mut random, term_at.elapsed());
        }
        send_at += SEND_INTERVAL;
    }
    std::thread::sleep(KILL_AFTER.saturating_sub(term_at.elapsed()));
    let runs_at_kill = node.runs();
    let open_at_kill: Vec<_> =
        connections.iter().map(|connection| *connection.open.lock().unwrap()).collect();
    note(&format!(
        "SIGKILL, {} ms after SIGTERM; the node still runs: {runs_at_kill}",
        term_at.elapsed().as_millis()
    ));
    drop(node);
    std::thread::sleep(Duration::from_millis(200));
    let (mut lost, mut late_sent) = (0, 0);
    for (connection, open) in connections.iter().zip(open_at_kill) {
        let answered = connection.answers.load(Ordering::SeqCst);
        for (number, (id, after_term)) in connection.sent.iter().enumerate() {
            let counts = *after_term > Duration::ZERO;
            late_sent += usize::from(counts);
            if counts && open && number >= answered {
                lost += 1;
                note(&format!("LOST: {id}, sent {} ms after SIGTERM", after_term.as_millis()));
            }
        }
    }
    tell(&format!(
        "reads sent over 0.7 s after SIGTERM on open connections: {late_sent}; found unanswered by SIGKILL: {lost}; the node ran until then: {runs_at_kill}"
    ));
    lost == 0
}

fn connect(node: &Node) -> Connection {
    let writer = node.connect();
    let (answers, open) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(true)));
    let mut reader = BufReader::new(writer.try_clone().expect("a second handle"));
    let (for_answers, for_open) = (answers.clone(), open.clone());
    std::thread::spawn(move || {
        while let Some(answer) = read_answer(&mut reader) {
            for_answers.fetch_add(1, Ordering::SeqCst);
            note(&format!("a client gets {answer}"));
        }
        *for_open.lock().unwrap() = false;
    });
    Connection { writer, sent: Vec::new(), answers, open }
}

/// Sends a read; `after_term` is the time since SIGTERM, 0 before it.
fn send(connection: &mut Connection, next_id: &mut u64, random: &mut Random, after_term: Duration) {
    let id = format!("{next_id:016x}");
    *next_id += 1;
    let facts = format!("c=read,t=acme,d={CLIENT_WAIT_MS},h=60000,size=480");
    let bytes = command(&["OBJ.GET", &format!("{:016x}", random.below(1 << 40)), &id, &facts]);
    if connection.writer.write_all(&bytes).is_ok() {
        note(&format!("{id} is sent, {} ms after SIGTERM", after_term.as_millis()));
        connection.sent.push((id, after_term));
    }
}
