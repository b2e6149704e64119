//! The origin's answers have no length: they end with their connection. Of those that come whole, half at
//! least have to be forwarded.

use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::stage::*;

/// Requests, and the pause after each: reads of keys that no cache server holds, and writes of a class that must
/// never run twice.
const REQUESTS: u64 = 60;
/// Of so many requests, one is a write.
const WRITE_ONE_IN: u64 = 3;
const REQUEST_PAUSE: Duration = Duration::from_millis(100);
/// Of so many answers of the origin, one has no length.
const WITHOUT_LENGTH_ONE_IN: u64 = 2;
/// Time of the origin for a fetch.
const FETCH_TIME: Duration = Duration::from_millis(60);
/// Time for which the clients wait, in milliseconds.
const CLIENT_WAIT_MS: u64 = 1_800;

/// Plays the case; returns whether the rule held.
pub fn play() -> bool {
    seed();
    let answers = Arc::new(AtomicU64::new(0));
    let (origin, origin_address) = listener();
    let counter = answers.clone();
    serve(origin, move |stream| {
        let _ = serve_origin(stream, &counter);
    });
    let (cache, cache_address) = listener();
    serve(cache, |stream| {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while read_command(&mut reader).is_some() && writer.write_all(&miss()).is_ok() {}
    });
    let discovery = Discovery::start(vec![
        Entry::active("o-1", origin_address, "origin"),
        Entry::active("s-1", cache_address, "std"),
    ]);
    let mut node = Node::start(&discovery);
    let mut stream = node.connect();
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let (mut forwarded, mut served, mut failed_writes) = (0, 0, 0);
    for id in 1..=REQUESTS {
        let write = id.is_multiple_of(WRITE_ONE_IN);
        let class = if write { "book" } else { "read" };
        let facts = format!("c={class},t=acme,d={CLIENT_WAIT_MS},h=90000,size=480");
        let (key, id_text) = (format!("{:016x}", 0x5000 + id), format!("{id:016x}"));
        let bytes = if write {
            command(&["OBJ.SET", &key, &id_text, &facts, "a value"])
        } else {
            command(&["OBJ.GET", &key, &id_text, &facts])
        };
        note(&format!("{id:016x} ({class}) is sent"));
        stream.write_all(&bytes).expect("the node reads");
        let answer = read_answer(&mut reader);
        note(&format!("{id:016x} gets {answer:?}"));
        let answer = answer.unwrap_or_default();
        served += u64::from(answer.starts_with('$'));
        failed_writes += u64::from(write && answer == "-ERR failed");
        forwarded += u64::from(answer.starts_with("$whole-without-length"));
        std::thread::sleep(REQUEST_PAUSE);
    }
    let without_length = answers.load(Ordering::SeqCst);
    tell(&format!(
        "{served} of {REQUESTS} requests served, {failed_writes} writes failed; answers without a length that came whole: {without_length}, forwarded: {forwarded}; node runs: {}",
        node.runs()
    ));
    assert!(served > 0, "the node serves requests");
    2 * forwarded >= without_length
}

fn serve_origin(stream: TcpStream, answers: &AtomicU64) -> Option<()> {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_origin_request(&mut reader)?;
        let call = CALLS.fetch_add(1, Ordering::SeqCst);
        std::thread::sleep(FETCH_TIME);
        if trouble() && call.is_multiple_of(WITHOUT_LENGTH_ONE_IN) {
            let answer = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole-without-length-{call}");
            writer.write_all(answer.as_bytes()).ok()?;
            writer.shutdown(Shutdown::Write).ok()?;
            note(&format!("origin answers {} without a length: whole-without-length-{call}", request.id));
            answers.fetch_add(1, Ordering::SeqCst);
            return None;
        }
        let value = format!("with-length-{call}");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", value.len());
        writer.write_all((head + &value).as_bytes()).ok()?;
        note(&format!("origin answers {} with a length: {value}", request.id));
    }
}
