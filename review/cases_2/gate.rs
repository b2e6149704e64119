//! Clients leave with many commands open while the origin turns calls away. Afterwards, in a calm time, the
//! node still has to fetch what the cache servers lack.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::stage::*;

/// Time for which the origin's waiting room is full, so that it turns calls away.
const ORIGIN_FULL_TIME: Duration = Duration::from_secs(8);
/// Time after that before the calm time begins: several times the longest deadline.
const SETTLING_TIME: Duration = Duration::from_secs(6);
/// Reads of the calm time, one after the other, and the pause after each.
const CALM_READS: usize = 16;
const CALM_PAUSE: Duration = Duration::from_millis(300);
/// Commands that a client of the busy time sends at once.
const COMMANDS_AT_ONCE: usize = 12;
/// Pause between two such clients.
const CLIENT_PAUSE: Duration = Duration::from_millis(150);
/// Time of the origin for a fetch.
const FETCH_TIME: Duration = Duration::from_millis(90);
/// Time for which the clients wait, in milliseconds: 0.6 of the class's deadline (BRIEF: 40 to 80%).
const CLIENT_WAIT_MS: u64 = 1_800;

fn read_of(key: u64, id: u64) -> Vec<u8> {
    let facts = format!("c=read,t=acme,d={CLIENT_WAIT_MS},h=90000,size=480");
    command(&["OBJ.GET", &format!("{key:016x}"), &format!("{id:016x}"), &facts])
}

/// A cache server that lacks every key.
fn cache() -> std::net::SocketAddr {
    let (listener, address) = listener();
    serve(listener, |stream| {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while read_command(&mut reader).is_some() {
            std::thread::sleep(Duration::from_millis(2));
            if writer.write_all(&miss()).is_err() {
                return;
            }
        }
    });
    address
}

/// Plays the case; returns whether the rule held.
pub fn play() -> bool {
    let mut random = Random::new(seed());
    let full = Arc::new(AtomicBool::new(false));
    let origin_calls = Arc::new(AtomicU64::new(0));
    let (origin, origin_address) = listener();
    let (origin_full, calls) = (full.clone(), origin_calls.clone());
    serve(origin, move |stream| {
        let _ = serve_origin(stream, &origin_full, &calls);
    });
    let mut entries = vec![Entry::active("o-1", origin_address, "origin")];
    entries.extend((0..3).map(|number| Entry::active(&format!("s-{number}"), cache(), "std")));
    let discovery = Discovery::start(entries);
    let mut node = Node::start(&discovery);
    let mut next_id = 1;

    note("calm reads before");
    let before = calm_reads(&node, &mut next_id, 10, &origin_calls);
    full.store(true, Ordering::SeqCst);
    note("the origin's waiting room is full");
    let busy_until = Instant::now() + ORIGIN_FULL_TIME;
    while Instant::now() < busy_until {
        let mut stream = node.connect();
        let ids: Vec<_> = (0..COMMANDS_AT_ONCE as u64).map(|offset| next_id + offset).collect();
        next_id += COMMANDS_AT_ONCE as u64;
        let bytes: Vec<u8> = ids.iter().flat_map(|id| read_of(0x1000_0000 + id, *id)).collect();
        stream.write_all(&bytes).expect("the node reads");
        if trouble() {
            std::thread::sleep(Duration::from_millis(15 + random.below(40)));
            note(&format!("client leaves, ids {:016x} to {:016x} open", ids[0], ids[ids.len() - 1]));
            drop(stream);
        } else {
            let mut reader = BufReader::new(stream);
            ids.iter().for_each(|id| {
                let answer = read_answer(&mut reader);
                note(&format!("{id:016x} gets {answer:?}"));
            });
        }
        std::thread::sleep(CLIENT_PAUSE);
    }
    full.store(false, Ordering::SeqCst);
    note("the origin takes calls again");
    std::thread::sleep(SETTLING_TIME);
    note("the calm time");
    let after = calm_reads(&node, &mut next_id, CALM_READS, &origin_calls);
    tell(&format!(
        "calm before: {} of 10 served, {} calls of the origin; calm after: {} of {CALM_READS} served, {} calls of the origin; node runs: {}",
        before.0,
        before.1,
        after.0,
        after.1,
        node.runs()
    ));
    after.0 > 0 || after.1 > 0
}

/// Sends reads one after the other; returns how many were served and how many calls the origin got.
fn calm_reads(node: &Node, next_id: &mut u64, count: usize, origin_calls: &AtomicU64) -> (usize, u64) {
    let calls_before = origin_calls.load(Ordering::SeqCst);
    let mut stream = node.connect();
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut served = 0;
    for _ in 0..count {
        let id = *next_id;
        *next_id += 1;
        note(&format!("{id:016x} is sent"));
        stream.write_all(&read_of(0x2000_0000 + id, id)).expect("the node reads");
        let answer = read_answer(&mut reader);
        note(&format!("{id:016x} gets {answer:?}"));
        served += usize::from(answer.is_some_and(|answer| answer.starts_with('$')));
        std::thread::sleep(CALM_PAUSE);
    }
    (served, origin_calls.load(Ordering::SeqCst) - calls_before)
}

fn serve_origin(stream: TcpStream, full: &AtomicBool, calls: &AtomicU64) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_origin_request(&mut reader)?;
        calls.fetch_add(1, Ordering::SeqCst);
        if full.load(Ordering::SeqCst) {
            note(&format!("origin turns {} away", request.id));
            writer.write_all(b"HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n").ok()?;
            continue;
        }
        std::thread::sleep(FETCH_TIME);
        let value = format!("value-of-{}", request.key);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", value.len());
        note(&format!("origin answers {}", request.id));
        writer.write_all((head + &value).as_bytes()).ok()?;
    }
}
