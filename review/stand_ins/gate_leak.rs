//! Case: clients send several commands at once and leave before the answers; from some time on the node never
//! calls the origin again, also in a calm time.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;

use super::*;

const CACHE_SERVERS: u64 = 8;
/// Number of clients that send several commands at once.
const CLIENTS: u64 = 10;
/// Number of commands that such a client sends at once, after the answer to a first one.
const COMMANDS_AT_ONCE: u64 = 60;
/// With the disruption, a client leaves after this long, and up to `LEAVES_WITHIN` later.
const LEAVES_AFTER: Duration = Duration::from_millis(20);
const LEAVES_WITHIN: Duration = Duration::from_millis(40);
/// Time from the end of a client's connection to its next one.
const PAUSE: Duration = Duration::from_millis(10);
/// Time for which these clients play at most.
const PLAY_TIME: Duration = Duration::from_secs(85);
/// The play ends early if the origin has got nothing for this long.
const IDLE_ORIGIN_TIME: Duration = Duration::from_secs(5);
/// Time without any client before the calm time: longer than the longest deadline.
const REST: Duration = Duration::from_secs(5);
/// The calm time: clients that stay, each with one request at a time.
const CALM_CLIENTS: u64 = 10;
const CALM_TIME: Duration = Duration::from_secs(12);
const CALM_REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time that the origin takes for a request, and how much longer it may take.
const ORIGIN_TIME: Duration = Duration::from_millis(20);
const ORIGIN_EXTRA_MS: u64 = 40;
const MEMORY_MB: usize = 64;
const SOCKETS: usize = 544;
const FACTS: &str = "c=leit-lesen,t=versand-sued,d=3000";

pub fn run() -> CaseResult {
    let fetches = Arc::new(AtomicU64::new(0));
    let counted = fetches.clone();
    let origin = start_server(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some((request, headers, _)) = read_http_request(&mut reader) {
            let number = counted.fetch_add(1, Ordering::Relaxed);
            record(&format!("origin: runs {request}, id {}", header(&headers, "X-Correlation-Id")));
            thread::sleep(ORIGIN_TIME + Duration::from_millis(number * 7_919 % ORIGIN_EXTRA_MS));
            if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue").is_err() {
                return;
            }
        }
    });
    let mut entries = vec![Entry { name: "o-1".into(), address: origin, kind: "origin", status: "active" }];
    for number in 0..CACHE_SERVERS {
        let name = format!("s-{number}");
        // Only keys that begin with 0 are stored.
        let address = start_cache(&name, |command| {
            if command[1].starts_with('0') { hit("value") } else { MISS.to_vec() }
        });
        entries.push(Entry { name, address, kind: "box-neu", status: "active" });
    }
    let discovery = Discovery::start(41, entries);
    let settings = SETTINGS_LEITDATEN.replace(r#""balancers": 1"#, r#""balancers": 2"#);
    let mut node = Node::start(discovery.address, MEMORY_MB, SOCKETS, &discovery.list(), &settings)?;
    let (listen, stop) = (node.listen, Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let stop = stop.clone();
            thread::spawn(move || send_and_leave(listen, client, &stop))
        })
        .collect();
    let (started, mut last_fetch_at, mut last_count) = (Instant::now(), Instant::now(), 0);
    while started.elapsed() < PLAY_TIME && last_fetch_at.elapsed() < IDLE_ORIGIN_TIME {
        thread::sleep(Duration::from_millis(100));
        let count = fetches.load(Ordering::Relaxed);
        if count != last_count {
            (last_fetch_at, last_count) = (Instant::now(), count);
        }
    }
    stop.store(true, Ordering::Relaxed);
    let connections: u64 = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    record(&format!(
        "{connections} connections played in {:.0?}; the origin has run {last_count} requests, the last one \
         {:.1?} before the end",
        started.elapsed(),
        last_fetch_at.elapsed()
    ));
    thread::sleep(REST);
    record("the calm time begins: all earlier clients have left, and all their time is over");
    let before = fetches.load(Ordering::Relaxed);
    let counts = Arc::new(Mutex::new(BTreeMap::<&str, u64>::new()));
    let calm: Vec<_> = (0..CALM_CLIENTS)
        .map(|client| {
            let counts = counts.clone();
            thread::spawn(move || read_missing_keys(listen, client, &counts))
        })
        .collect();
    calm.into_iter().for_each(|client| drop(client.join()));
    let calm_fetches = fetches.load(Ordering::Relaxed) - before;
    let counts = counts.lock().unwrap();
    record(&format!("in the calm time: {calm_fetches} fetches, answers {counts:?}"));
    if !node.runs() {
        return Ok(Verdict::Broken("the node's process has ended".into()));
    }
    let requests: u64 = counts.values().sum();
    Ok(match calm_fetches {
        0 => Verdict::Broken(format!(
            "in a calm time of {CALM_TIME:.0?} the node got {requests} reads of keys that the cache servers lack and \
             fetched none of them; answers {counts:?}"
        )),
        _ => Verdict::Held,
    })
}

/// Sends one read, and after its answer several at once, over and over on new connections; with the
/// disruption, leaves before most of them are answered. Returns the number of connections.
fn send_and_leave(listen: SocketAddr, client: u64, stop: &AtomicBool) -> u64 {
    let (mut number, mut connections) = (0u64, 0u64);
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(listen) else { return connections };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut next_command = |first: char| {
            number += 1;
            let key = format!("{first}{:015x}", client << 32 | number);
            command(&["OBJ.GET", &key, &format!("{client:08x}{number:08x}"), FACTS])
        };
        let _ = stream.write_all(&next_command('0'));
        let first_answer = read_answer(&mut reader);
        let commands: Vec<u8> = (0..COMMANDS_AT_ONCE).flat_map(|_| next_command('f')).collect();
        let _ = stream.write_all(&commands);
        if trouble() {
            let within_us = LEAVES_WITHIN.as_micros() as u64;
            thread::sleep(LEAVES_AFTER + Duration::from_micros(number * 7_919 % within_us));
            record(&format!("client {client}: {first_answer:?}; sent {COMMANDS_AT_ONCE} reads up to number {number} and leaves"));
        } else {
            let answers: Vec<_> = (0..COMMANDS_AT_ONCE).map(|_| read_answer(&mut reader)).collect();
            let served = answers.iter().filter(|answer| matches!(answer, Answer::Value(_))).count();
            record(&format!("client {client}: {first_answer:?}; sent {COMMANDS_AT_ONCE} reads up to number {number}, {served} served"));
        }
        drop((stream, reader));
        connections += 1;
        thread::sleep(PAUSE);
    }
    connections
}

/// Reads keys that no cache server holds, one after the other.
fn read_missing_keys(listen: SocketAddr, client: u64, counts: &Mutex<BTreeMap<&str, u64>>) {
    let Ok(mut stream) = TcpStream::connect(listen) else { return };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let (started, mut number) = (Instant::now(), 0);
    while started.elapsed() < CALM_TIME {
        number += 1;
        let key = format!("e{client:07x}{number:08x}");
        let id = format!("c{client:07x}{number:08x}");
        let _ = stream.write_all(&command(&["OBJ.GET", &key, &id, FACTS]));
        let answer = read_answer(&mut reader);
        record(&format!("calm client {client}: OBJ.GET of key {key}, id {id}: {answer:?}"));
        let kind = match answer {
            Answer::Value(_) => "served",
            Answer::Busy => "refused",
            Answer::Failed(_) => "failed",
            Answer::None(_) => "no answer",
        };
        *counts.lock().unwrap().entry(kind).or_default() += 1;
        thread::sleep(CALM_REQUEST_INTERVAL);
    }
}
