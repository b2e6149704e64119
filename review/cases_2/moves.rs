//! New configurations in quick succession move discovery, which is slow, for twelve nodes, and a cache server
//! begins to drain. New work to it has to stop 1 s after the drain counts as told.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::stage::*;

/// Nodes (STANDING: fleets of any size).
const NODES: usize = 12;
/// Time of discovery for a call; one after another, so that the calls of all nodes take 4.4 s (the site's
/// `all_call_s`: 4 to 8.1 s).
const CALL_TIME: Duration = Duration::from_millis(370);
/// Discovery turns a call away that would wait for longer than this (the site's `timeout_ms`).
const MAX_CALL_WAIT: Duration = Duration::from_secs(1);
/// New configurations, and the time from one to the next.
const MOVES: usize = 4;
const MOVE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which an address keeps its open connections once discovery has moved (TERMS).
const OLD_ADDRESS_KEEPS: Duration = Duration::from_millis(1_500);
/// Time from the first new configuration to the drain.
const DRAIN_AFTER: Duration = Duration::from_millis(1_600);
/// Time after the last signal at which the drain counts as told (TERMS: 4 s).
const TOLD_AFTER_SIGNAL: Duration = Duration::from_secs(4);
/// The grace of the drain (the site's `drain_grace_ms`), and what PROTOCOL adds to each time limit.
const GRACE: Duration = Duration::from_millis(1_050);
/// Slack of this test on top.
const TEST_SLACK: Duration = Duration::from_millis(50);
/// Time in which all nodes open their first watches, time of the play, and pause of each client between reads.
const QUIET_BEFORE: Duration = Duration::from_secs(12);
const PLAY_TIME: Duration = Duration::from_secs(13);
const CLIENT_PAUSE: Duration = Duration::from_millis(25);
/// Interval of the empty lines on a watch.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);

/// One discovery service behind several addresses, of which one is in force.
struct Service {
    /// When discovery will have served the calls that are in line.
    free_at: Mutex<Instant>,
    drained: AtomicBool,
    /// The entries of the list; the first is the one that drains.
    entries: Vec<Entry>,
    /// For each address, when it was given up.
    given_up: Vec<Mutex<Option<Instant>>>,
}

impl Service {
    fn list(&self) -> String {
        let drained = self.drained.load(Ordering::SeqCst);
        let mut entries = self.entries.clone();
        if drained {
            entries[0].status = "leaving".into();
        }
        let entries: Vec<_> = entries.iter().map(Entry::json).collect();
        let index = 1 + usize::from(drained);
        format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{}]}}"#, entries.join(",")) + "\n"
    }

    fn given_up(&self, number: usize) -> Option<Instant> {
        *self.given_up[number].lock().unwrap()
    }

    /// Accepts connections at an address until it is given up.
    fn listen(self: Arc<Self>, number: usize) -> SocketAddr {
        let (listener, address) = listener();
        listener.set_nonblocking(true).expect("a listener that can be asked");
        std::thread::spawn(move || {
            while self.given_up(number).is_none() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let service = self.clone();
                        std::thread::spawn(move || service.answer(number, stream));
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {
                        std::thread::sleep(Duration::from_millis(2))
                    }
                    Err(_) => return,
                }
            }
        });
        address
    }

    /// Answers a call in its turn, and keeps it open as a watch.
    fn answer(&self, number: usize, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        while line.trim_end() != "" || line.is_empty() {
            line.clear();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
        }
        let now = Instant::now();
        let served_at = {
            let mut free_at = self.free_at.lock().unwrap();
            let begins_at = (*free_at).max(now);
            if begins_at - now > MAX_CALL_WAIT {
                note(&format!("address {number} turns a call away"));
                drop(free_at);
                return writer.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").ok();
            }
            *free_at = begins_at + CALL_TIME;
            *free_at
        };
        std::thread::sleep(served_at - now);
        note(&format!("address {number} answers a call after {} ms", now.elapsed().as_millis()));
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let (mut told, mut last_line_at) = (None, Instant::now());
        loop {
            if self.given_up(number).is_some_and(|at| at.elapsed() >= OLD_ADDRESS_KEEPS) {
                return None;
            }
            let drained = self.drained.load(Ordering::SeqCst);
            let text = match told {
                told if told != Some(drained) => self.list(),
                _ if last_line_at.elapsed() >= EMPTY_LINE_INTERVAL => "\n".into(),
                _ => String::new(),
            };
            if !text.is_empty() {
                writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).ok()?;
                (told, last_line_at) = (Some(drained), Instant::now());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Starts a cache server that has every key; it writes the times of its requests to `requests`.
fn start_server(requests: Arc<Mutex<Vec<Instant>>>) -> SocketAddr {
    let (listener, address) = listener();
    serve(listener, move |stream| {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(words) = read_command(&mut reader) {
            requests.lock().unwrap().push(Instant::now());
            if writer.write_all(&hit(&format!("value-of-{}", words[1]))).is_err() {
                return;
            }
        }
    });
    address
}

fn run_client(address: SocketAddr, seed: u64, stop: &AtomicBool) -> Option<()> {
    let mut random = Random::new(seed);
    let mut writer = TcpStream::connect(address).ok()?;
    let _ = writer.set_nodelay(true);
    let mut reader = BufReader::new(writer.try_clone().ok()?);
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let key = format!("{:016x}", random.below(1 << 50));
        let id = format!("{seed:x}-{number}");
        writer.write_all(&command(&["OBJ.GET", &key, &id, "c=read,t=acme,d=1800,h=60000,size=480"])).ok()?;
        read_answer(&mut reader)?;
        std::thread::sleep(CLIENT_PAUSE);
    }
    None
}

/// Plays the case; returns whether the rule held.
pub fn play() -> bool {
    let seed = seed();
    let draining = Arc::new(Mutex::new(Vec::new()));
    let (_origin, origin_address) = listener();
    let mut entries = vec![Entry::active("s-0", start_server(draining.clone()), "std")];
    entries.extend(
        (1..3).map(|number| Entry::active(&format!("s-{number}"), start_server(Arc::default()), "std")),
    );
    entries.push(Entry::active("o-1", origin_address, "origin"));
    let service = Arc::new(Service {
        free_at: Mutex::new(Instant::now()),
        drained: AtomicBool::new(false),
        entries,
        given_up: (0..=MOVES).map(|_| Mutex::new(None)).collect(),
    });
    let addresses: Vec<_> = (0..=MOVES).map(|number| service.clone().listen(number)).collect();
    let settings = SETTINGS.replace(r#""balancers": 1"#, &format!(r#""balancers": {NODES}"#));
    let nodes: Vec<_> = (0..NODES)
        .map(|number| {
            let settings = settings.replace(r#""me": 0"#, &format!(r#""me": {number}"#));
            Node::start_one_of(number, addresses[0], &service.list(), &settings)
        })
        .collect();
    std::thread::sleep(QUIET_BEFORE);
    let stop = Arc::new(AtomicBool::new(false));
    for (number, node) in nodes.iter().enumerate() {
        let (address, stop) = (node.address, stop.clone());
        std::thread::spawn(move || run_client(address, seed + number as u64, &stop));
    }
    std::thread::sleep(Duration::from_secs(1));
    let start = Instant::now();
    let mut last_signal_at = start;
    for number in 1..=MOVES {
        if trouble() {
            *service.given_up[number - 1].lock().unwrap() = Some(Instant::now());
            nodes.iter().for_each(|node| node.reload(addresses[0], addresses[number]));
            last_signal_at = Instant::now();
            note(&format!("configuration {number}: discovery is at {}", addresses[number]));
        }
        std::thread::sleep((MOVE_INTERVAL * number as u32).saturating_sub(start.elapsed()));
    }
    std::thread::sleep(DRAIN_AFTER.saturating_sub(start.elapsed()));
    service.drained.store(true, Ordering::SeqCst);
    note("s-0 begins to drain");
    let limit =
        if trouble() { last_signal_at + TOLD_AFTER_SIGNAL } else { Instant::now() + TOLD_AFTER_SIGNAL };
    let limit = limit + GRACE + TEST_SLACK;
    std::thread::sleep(PLAY_TIME.saturating_sub(start.elapsed()));
    stop.store(true, Ordering::SeqCst);
    drop(nodes);
    let requests = draining.lock().unwrap();
    let late: Vec<_> =
        requests.iter().filter(|at| **at > limit).map(|at| (*at - limit).as_millis()).collect();
    late.iter().for_each(|ms| note(&format!("LATE: s-0 gets a read {ms} ms after the limit")));
    tell(&format!(
        "the draining server got {} reads, of these later than 1.1 s after it counted as told: {}, the last by {} ms",
        requests.len(),
        late.len(),
        late.last().unwrap_or(&0)
    ));
    assert!(!requests.is_empty(), "the server gets reads before it drains");
    late.is_empty()
}
