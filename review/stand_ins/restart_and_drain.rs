//! Case: a node is restarted while a cache server begins to drain, and its first call to discovery fails; the
//! node goes on sending to the draining cache server.

use std::sync::atomic::AtomicBool;

use super::*;

const CACHE_SERVERS: u64 = 8;
/// The cache server that begins to drain.
const DRAINING: &str = "s-3";
const CLIENTS: u64 = 20;
/// Time between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which clients send to the node before its restart, and to the restarted one.
const SENDING_TIME: Duration = Duration::from_secs(4);
/// `guarantees.drainGraceUs`: sends to a draining cache server may go on this long after the node was told.
const DRAIN_GRACE: Duration = Duration::from_millis(700);
/// Time from the node's end to its next start; the cache server begins to drain within it.
const DOWN_TIME: Duration = Duration::from_millis(300);
/// Calls to discovery that fail, each after 1 s in the queue.
const FAILED_CALLS: u32 = 1;
const MEMORY_MB: usize = 64;
const SOCKETS: usize = 544;

pub fn run() -> CaseResult {
    let arrivals = Arc::new(Mutex::new(Vec::<(Instant, String)>::new()));
    let origin = start_server(|mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while read_http_request(&mut reader).is_some() {
            if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue").is_err() {
                return;
            }
        }
    });
    let mut entries = vec![Entry { name: "o-1".into(), address: origin, kind: "origin", status: "active" }];
    for number in 0..CACHE_SERVERS {
        let (name, arrivals) = (format!("s-{number}"), arrivals.clone());
        let drains = name == DRAINING;
        let address = start_cache(&name.clone(), move |command| {
            if drains {
                arrivals.lock().unwrap().push((Instant::now(), command[2].clone()));
            }
            hit("value")
        });
        entries.push(Entry { name, address, kind: "box-neu", status: "active" });
    }
    let discovery = Discovery::start(41, entries);
    let known = discovery.list();
    let mut node = Node::start(discovery.address, MEMORY_MB, SOCKETS, &known, SETTINGS_TIDES)?;
    send_reads(&node, 1);
    record("platform: planned restart, SIGTERM");
    node.terminate_and_wait()?;
    record("platform: the node has ended");
    drop(node);
    arrivals.lock().unwrap().clear();
    thread::sleep(DOWN_TIME / 2);
    discovery.set_status(DRAINING, "leaving");
    record(&format!("discovery: {DRAINING} begins to drain; the agent has this change from now on"));
    thread::sleep(DOWN_TIME / 2);
    if trouble() {
        discovery.fail_calls(FAILED_CALLS);
    }
    let node = Node::start(discovery.address, MEMORY_MB, SOCKETS, &known, SETTINGS_TIDES)?;
    // The rule counts from the first moment of the new process. Counting from its first `+PONG` is in the
    // node's favour.
    let told_at = Instant::now();
    send_reads(&node, 2);
    let arrivals = arrivals.lock().unwrap();
    let allowed = DRAIN_GRACE + TIME_SLACK;
    let mut late = 0;
    let mut latest = Duration::ZERO;
    for (at, id) in arrivals.iter() {
        let after = at.saturating_duration_since(told_at);
        latest = latest.max(after);
        late += u32::from(after > allowed);
        let verdict = if after > allowed { "later than allowed" } else { "within the grace" };
        record(&format!("{DRAINING}: command of request {id} arrived {after:.1?} after the ready node counted as told, {verdict}"));
    }
    Ok(match late {
        0 => Verdict::Held,
        _ => Verdict::Broken(format!(
            "{late} commands were sent to the draining {DRAINING} later than {allowed:?} after the node counted \
             as told, the last one {latest:.1?} after"
        )),
    })
}

/// Sends reads from several clients for `SENDING_TIME`.
fn send_reads(node: &Node, round: u64) {
    let (listen, stop) = (node.listen, Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let stop = stop.clone();
            thread::spawn(move || {
                thread::sleep(REQUEST_INTERVAL * client as u32 / CLIENTS as u32);
                let Ok(mut stream) = TcpStream::connect(listen) else { return };
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let key = format!("{:016x}", (client * 100_000 + number).wrapping_mul(0x9e37_79b9_7f4a_7c15));
                    let id = format!("{round:04x}{client:04x}{number:08x}");
                    let words = ["OBJ.GET", &key, &id, "c=tide-read,t=harbour,d=1600"];
                    if stream.write_all(&command(&words)).is_err() {
                        return;
                    }
                    let answer = read_answer(&mut reader);
                    record(&format!("client {client}: OBJ.GET of key {key}, id {id}: {answer:?}"));
                    if matches!(answer, Answer::None(_)) {
                        return;
                    }
                    thread::sleep(REQUEST_INTERVAL);
                }
            })
        })
        .collect();
    thread::sleep(SENDING_TIME);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
}
