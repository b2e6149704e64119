//! Case: answers of the origin have no length and come whole, and none of them is forwarded.

use super::*;

const CACHE_SERVERS: u64 = 4;
/// Number of requests: reads of keys that the cache servers lack, and writes that must not run twice.
const REQUESTS: u64 = 60;
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);
const ORIGIN_TIME: Duration = Duration::from_millis(40);
/// One answer of the origin in so many has no length.
const ANSWERS_PER_NO_LENGTH: u64 = 2;
const MEMORY_MB: usize = 64;
const SOCKETS: usize = 544;

pub fn run() -> CaseResult {
    let whole = Arc::new(Mutex::new(Vec::<(String, String, String)>::new()));
    let (answers, made) = (AtomicU64::new(0), whole.clone());
    let origin = start_server(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some((request, headers, _)) = read_http_request(&mut reader) {
            let id = header(&headers, "X-Correlation-Id").to_string();
            thread::sleep(ORIGIN_TIME);
            let number = answers.fetch_add(1, Ordering::Relaxed);
            let body = format!("answer-{number}");
            let no_length = number % ANSWERS_PER_NO_LENGTH == 1;
            if no_length {
                made.lock().unwrap().push((request.clone(), id.clone(), body.clone()));
            }
            if no_length && trouble() {
                // The answer ends with its connection. The stream is dropped with no unread input, so the
                // connection ends in order and is not reset.
                record(&format!("origin: {request}, id {id}: runs, answers 200 with no length: {body}, and closes"));
                let _ = write!(stream, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}");
                return;
            }
            record(&format!("origin: {request}, id {id}: runs, answers 200 with a length: {body}"));
            let length = body.len();
            if write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}").is_err() {
                return;
            }
        }
    });
    let mut entries = vec![Entry { name: "o-1".into(), address: origin, kind: "origin", status: "active" }];
    for number in 0..CACHE_SERVERS {
        let name = format!("s-{number}");
        let address = start_cache(&name, |_| MISS.to_vec());
        entries.push(Entry { name, address, kind: "box-neu", status: "active" });
    }
    let discovery = Discovery::start(41, entries);
    let node = Node::start(discovery.address, MEMORY_MB, SOCKETS, &discovery.list(), SETTINGS_LEITDATEN)?;
    let mut stream = TcpStream::connect(node.listen).map_err(|e| e.to_string())?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut reader = BufReader::new(stream.try_clone().map_err(|e| e.to_string())?);
    let mut received = Vec::new();
    for number in 0..REQUESTS {
        let (key, id) = (format!("{number:016x}"), format!("{number:016x}"));
        let words = match number % 4 {
            0 | 1 => command(&["OBJ.GET", &key, &id, "c=leit-lesen,t=versand-sued,d=3000"]),
            _ => command(&["OBJ.SET", &key, &id, "c=umleitung,t=versand-sued,d=2000", "new value"]),
        };
        stream.write_all(&words).map_err(|e| e.to_string())?;
        let answer = read_answer(&mut reader);
        record(&format!("client: request {id} ({}): {answer:?}", if number % 4 < 2 { "read" } else { "write" }));
        if let Answer::Value(value) = &answer {
            received.push(value.clone());
        }
        thread::sleep(REQUEST_INTERVAL);
    }
    let whole = whole.lock().unwrap();
    let forwarded = whole.iter().filter(|(.., body)| received.contains(body)).count();
    let writes = whole.iter().filter(|(request, _, body)| request.starts_with("PUT") && !received.contains(body));
    let writes = writes.count();
    let total = whole.len();
    record(&format!("{forwarded} of {total} such answers reached the client"));
    if total < 10 {
        return Err(format!("only {total} answers to judge"));
    }
    Ok(match 2 * forwarded >= total {
        true => Verdict::Held,
        false => Verdict::Broken(format!(
            "{forwarded} of {total} whole answers with no length were forwarded; {writes} of the others were \
             receipts of writes that ran"
        )),
    })
}
