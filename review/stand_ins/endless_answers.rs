//! Case: some answers of the origin never end, and requests that have nothing to do with them get no final
//! answer.

use std::collections::BTreeMap;

use super::*;

/// Number of clients, each with one connection and one request at a time.
const CLIENTS: u64 = 40;
/// Time between two requests of a client, if the earlier one is answered.
const REQUEST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for which clients send.
const SENDING_TIME: Duration = Duration::from_secs(30);
/// A client waits this long for an answer (`d`): the deadline of the class.
const DEADLINE_MS: u64 = 3_000;
/// An answer may come this long after the request's time; later, or never, the request is lost.
const LATE_ANSWER_ALLOWANCE: Duration = Duration::from_millis(500);
/// One read in so many is of a key that the cache servers lack.
const READS_PER_MISS: u64 = 4;
/// One answer of the origin in so many never ends.
const ANSWERS_PER_ENDLESS: u64 = 4;
/// Content of one chunk of an answer that never ends.
const CHUNK_BYTES: usize = 8 * 1024;
/// Pause of the origin between two such chunks.
const CHUNK_PAUSE: Duration = Duration::from_millis(1);
/// Time that the origin takes for a request.
const ORIGIN_TIME: Duration = Duration::from_millis(60);
const CACHE_SERVERS: u64 = 8;
const MEMORY_MB: usize = 64;
const SOCKETS: usize = 544;

pub fn run() -> CaseResult {
    let answers_begun = AtomicU64::new(0);
    let origin = start_server(move |stream| serve_origin(stream, &answers_begun));
    let mut entries = vec![Entry { name: "o-1".into(), address: origin, kind: "origin", status: "active" }];
    for number in 0..CACHE_SERVERS {
        let name = format!("s-{number}");
        let address = start_cache(&name, |command| {
            let key: u64 = command[1].parse().unwrap_or(1);
            if key % READS_PER_MISS == 0 { MISS.to_vec() } else { hit("value") }
        });
        entries.push(Entry { name, address, kind: "box-neu", status: "active" });
    }
    let discovery = Discovery::start(41, entries);
    let mut node =
        Node::start(discovery.address, MEMORY_MB, SOCKETS, &discovery.list(), SETTINGS_LEITDATEN)?;
    let (listen, pid) = (node.listen, node.child.id());
    let counts = Arc::new(Mutex::new(BTreeMap::<&str, u64>::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let counts = counts.clone();
            thread::spawn(move || run_client(listen, client, &counts))
        })
        .collect();
    let mut peak_kib = 0;
    let ends_at = Instant::now() + SENDING_TIME;
    while Instant::now() < ends_at {
        thread::sleep(Duration::from_millis(50));
        peak_kib = Node::memory_kib(pid).map_or(0, |(_, peak)| peak).max(peak_kib);
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    if !node.runs() {
        return Ok(Verdict::Broken("the node's process has ended".into()));
    }
    let counts = counts.lock().unwrap();
    record(&format!("peak memory of the node: {peak_kib} KiB of {MEMORY_MB} MB"));
    record(&format!("answers: {counts:?}"));
    let of = |kind| counts.get(kind).copied().unwrap_or(0);
    let (lost_hits, lost_misses) = (of("lost, stored key"), of("lost, missing key"));
    Ok(match lost_hits + lost_misses {
        0 => Verdict::Held,
        lost => Verdict::Broken(format!(
            "{lost} requests lost: no final answer 0.55 s after their time; {lost_hits} of them were reads of \
             keys that every cache server holds"
        )),
    })
}

/// Serves a connection to the origin. With the disruption, some answers never end.
fn serve_origin(mut stream: TcpStream, answers_begun: &AtomicU64) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some((request, headers, _)) = read_http_request(&mut reader) {
        let id = header(&headers, "X-Correlation-Id").to_string();
        thread::sleep(ORIGIN_TIME);
        let number = answers_begun.fetch_add(1, Ordering::Relaxed);
        if !trouble() || number % ANSWERS_PER_ENDLESS != ANSWERS_PER_ENDLESS - 1 {
            record(&format!("origin: {request}, id {id}: answered"));
            if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue").is_err() {
                return;
            }
            continue;
        }
        record(&format!("origin: {request}, id {id}: an answer that never ends begins"));
        let mut chunk = format!("{CHUNK_BYTES:x}\r\n").into_bytes();
        chunk.resize(chunk.len() + CHUNK_BYTES, b'x');
        chunk.extend(b"\r\n");
        let (mut sent, mut open) =
            (0, stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_ok());
        while open {
            thread::sleep(CHUNK_PAUSE);
            open = stream.write_all(&chunk).is_ok();
            sent += CHUNK_BYTES;
        }
        record(&format!("origin: id {id}: the node has closed that connection, after about {sent} bytes"));
        return;
    }
}

fn run_client(listen: SocketAddr, client: u64, counts: &Mutex<BTreeMap<&str, u64>>) {
    thread::sleep(REQUEST_INTERVAL * client as u32 / CLIENTS as u32);
    let wait = Duration::from_millis(DEADLINE_MS) + LATE_ANSWER_ALLOWANCE + TIME_SLACK;
    let ends_at = Instant::now() + SENDING_TIME;
    let mut connection = None;
    let mut number = 0;
    while Instant::now() < ends_at {
        number += 1;
        let key_number = client * 100_000 + number;
        let (key, id) = (format!("{key_number:016}"), format!("{client:08x}{number:08x}"));
        let (stream, reader) = match &mut connection {
            Some(pair) => pair,
            none => {
                let Ok(stream) = TcpStream::connect(listen) else {
                    record(&format!("client {client}: cannot connect"));
                    return;
                };
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(wait));
                let reader = BufReader::new(stream.try_clone().unwrap());
                none.insert((stream, reader))
            }
        };
        let sent_at = Instant::now();
        let facts = format!("c=leit-lesen,t=versand-sued,d={DEADLINE_MS}");
        let answer = match stream.write_all(&command(&["OBJ.GET", &key, &id, &facts])) {
            Ok(()) => read_answer(reader),
            Err(e) => Answer::None(e.to_string()),
        };
        let elapsed = sent_at.elapsed();
        let stored = key_number % READS_PER_MISS != 0;
        let kind = match &answer {
            Answer::Value(_) => "served",
            Answer::Busy => "refused",
            Answer::Failed(_) => "failed",
            // The node may close a connection between requests; nothing has been read then. Not counted.
            Answer::None(_) if elapsed < wait => "connection closed",
            Answer::None(_) if stored => "lost, stored key",
            Answer::None(_) => "lost, missing key",
        };
        record(&format!("client {client}: OBJ.GET of key {key}, id {id}: {kind} after {elapsed:.1?}: {answer:?}"));
        *counts.lock().unwrap().entry(kind).or_default() += 1;
        if matches!(answer, Answer::None(_) | Answer::Failed(_)) {
            connection = None;
        }
        thread::sleep(REQUEST_INTERVAL.saturating_sub(sent_at.elapsed()));
    }
}
