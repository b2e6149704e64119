//! Stand-ins for the clients, cache servers, origin, discovery and platform of the review's cases, and the
//! cases themselves. Standard library only; every address is a loopback address with a free port.
//!
//! Usage: `stand_ins CASE RECORD_FILE`, from the root of the repository. Environment: `TROUBLE=0` plays the
//! case without its disruption. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not
//! run.

mod endless_answers;
mod gate_leak;
mod no_length;
mod restart_and_drain;

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which a discovery stand-in waits between two empty lines on a watch, as the protocol page says.
const WATCH_EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);
/// Time within which a node must be ready after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Slack that the protocol page adds to each time limit.
const TIME_SLACK: Duration = Duration::from_millis(50);

// The record.

static RECORD: OnceLock<Mutex<std::fs::File>> = OnceLock::new();
static STARTED: OnceLock<Instant> = OnceLock::new();

/// Appends a line to the record, with the time since the start of the case in milliseconds.
fn record(line: &str) {
    let elapsed_ms = STARTED.get().map_or(0.0, |started| started.elapsed().as_secs_f64() * 1e3);
    if let Some(file) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{elapsed_ms:10.1} ms  {line}");
    }
}

/// Whether the disruption is played.
fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The verdict on a case that ran.
enum Verdict {
    Held,
    Broken(String),
}

/// A case's verdict, or why it could not run.
type CaseResult = Result<Verdict, String>;

// Settings and lists.

/// One cache server or the origin in a list of discovery.
#[derive(Clone)]
struct Entry {
    name: String,
    address: SocketAddr,
    kind: &'static str,
    status: &'static str,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"landshut","type":"{}","group":1,"status":"{}","weight":4.0,"since_ms":0}}"#,
            self.name, self.address, self.kind, self.status
        )
    }
}

/// A list of discovery in its JSON form, without a line end.
fn list_json(index: u64, snapshot: bool, entries: &[Entry]) -> String {
    let entries: Vec<_> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

/// The settings of a small deployment: those of the example on the wire page for `leitdaten-bayern`, with one
/// node and one zone.
const SETTINGS_LEITDATEN: &str = r#"{"balancers": 1,
 "classes": [
  {"deadlineUs": 3000000, "dedupScope": "all", "dedupWindowUs": 5000000, "effect": "pure", "gain": 1.0, "goalTimeUs": 600000, "lateValue": 0.3, "name": "leit-lesen", "streamed": false},
  {"deadlineUs": 2000000, "dedupScope": "all", "dedupWindowUs": 5000000, "effect": "side_effect", "gain": 2.0, "goalTimeUs": 600000, "lateValue": 0.5, "name": "umleitung", "streamed": false},
  {"deadlineUs": 2000000, "dedupScope": "all", "dedupWindowUs": 4000000, "effect": "token", "gain": 2.0, "goalTimeUs": 600000, "lateValue": 0.2, "name": "fach-setzen", "streamed": false}],
 "clientHabits": {"marksRetry": false},
 "countedBy": "work", "discovery": "ask", "family": "cache",
 "goal": {"whole": 0.5, "worstClass": 0.1, "worstTenant": 0.1, "worstWindow": 0.3},
 "guarantees": {"askWithinUs": 10000000, "coldShare": 0.14, "coldUs": 24000000, "drainGraceUs": 1000000, "fallMultiple": 4.0, "graceToAnswerUs": 20000, "tipAfterUs": 1500000},
 "limits": {"connectTimeoutUs": 150000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 653346, "idleCloseUs": 60000000, "maxAttempts": 4, "maxOpen": 26133, "maxRetryAfterUs": 3000000, "mayCancel": true, "mayDuplicate": true, "multiplex": 32, "peers": false, "probes": false, "retryAfter": true},
 "machineTypes": ["box-neu", "box-alt", "origin"],
 "me": 0, "overShareWorth": 0.1, "periodUs": 5000,
 "prices": {"connection": 0.0, "crossZone": 0.1, "discovery": 0.01, "handshake": 0.02, "lateFail": 0.064, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.25},
 "realms": [{"fraction": 0.85, "name": "versand-sued", "quotaPerS": 450.0}, {"fraction": 0.15, "name": "kreisbote", "quotaPerS": 79.0}],
 "report": {"fields": ["q", "rif", "busy", "x0"], "via": "piggyback"},
 "specifics": {"mode": "aside", "notes": "1 hit, 2 miss, 3 miss while this server has told another request to fetch", "originFallMultiple": 0.0, "originFallUs": 3000000, "originKind": 2, "reportX0": "share of hits, lately", "reportX1": "fetches out"},
 "stage": 0, "tiers": ["leitcache"], "weightSource": "rough", "zone": 0, "zones": ["landshut"]}"#;

/// The settings of a small deployment of the site `tide-tables`, with one node and one zone. Lists are pushed.
const SETTINGS_TIDES: &str = r#"{"balancers": 1,
 "classes": [
  {"deadlineUs": 1600000, "dedupScope": "zone", "dedupWindowUs": 1200000, "effect": "pure", "gain": 2.0, "goalTimeUs": 500000, "lateValue": 0.1, "name": "tide-read", "streamed": false},
  {"deadlineUs": 1200000, "dedupScope": "zone", "dedupWindowUs": 1200000, "effect": "side_effect", "gain": 5.0, "goalTimeUs": 700000, "lateValue": 0.0, "name": "gauge-put", "streamed": false},
  {"deadlineUs": 1500000, "dedupScope": "zone", "dedupWindowUs": 1200000, "effect": "token", "gain": 3.0, "goalTimeUs": 700000, "lateValue": 0.4, "name": "berth-put", "streamed": false}],
 "clientHabits": {"marksRetry": false},
 "countedBy": "work", "discovery": "push", "family": "cache",
 "goal": {"whole": 0.5, "worstClass": 0.1, "worstTenant": 0.1, "worstWindow": 0.3},
 "guarantees": {"askWithinUs": 10000000, "coldShare": 0.14, "coldUs": 24000000, "drainGraceUs": 700000, "fallMultiple": 4.0, "graceToAnswerUs": 20000, "tipAfterUs": 1500000},
 "limits": {"connectTimeoutUs": 300000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000, "idleCloseUs": 8000000, "maxAttempts": 3, "maxOpen": 26133, "maxRetryAfterUs": 800000, "mayCancel": true, "mayDuplicate": true, "multiplex": 32, "peers": false, "probes": false, "retryAfter": true},
 "machineTypes": ["box-neu", "box-alt", "origin"],
 "me": 0, "overShareWorth": 0.1, "periodUs": 5000,
 "prices": {"connection": 0.0, "crossZone": 0.02, "discovery": 0.01, "handshake": 0.04, "lateFail": 0.064, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.1},
 "realms": [{"fraction": 0.6, "name": "harbour", "quotaPerS": 320.0}, {"fraction": 0.4, "name": "ferry", "quotaPerS": 210.0}],
 "report": {"fields": ["q", "rif", "busy", "x0"], "via": "piggyback"},
 "specifics": {"mode": "aside", "notes": "1 hit, 2 miss, 3 miss while this server has told another request to fetch", "originFallMultiple": 0.0, "originFallUs": 3000000, "originKind": 2, "reportX0": "share of hits, lately", "reportX1": "fetches out"},
 "stage": 0, "tiers": ["tides"], "weightSource": "nominal", "zone": 0, "zones": ["landshut"]}"#;

// The platform: starts, watches and ends the node.

/// A running node process; killed when dropped.
struct Node {
    child: Child,
    listen: SocketAddr,
    folder: PathBuf,
}

/// Returns a loopback address with a port that is free now.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Returns the command that the deploy file names as `run`.
fn run_command() -> Result<String, String> {
    let text = std::fs::read_to_string("deploy/balancer.toml").map_err(|e| e.to_string())?;
    let line = text.lines().find(|line| line.starts_with("run ") || line.starts_with("run="));
    let line = line.ok_or("the deploy file has no run command")?;
    let value = line.split_once('"').and_then(|(_, rest)| rest.rsplit_once('"'));
    Ok(value.ok_or("the run command has no quotes")?.0.to_string())
}

impl Node {
    /// Starts a node by the deploy file's command and waits until it answers `PING` with `+PONG`.
    fn start(
        discovery: SocketAddr,
        memory_mb: usize,
        sockets: usize,
        known: &str,
        settings: &str,
    ) -> Result<Node, String> {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("pondproxy-review-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let listen = free_address();
        let config = format!(
            r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
        );
        let config_path = folder.join("config.json");
        std::fs::write(&config_path, config).map_err(|e| e.to_string())?;
        let log = std::fs::File::create(folder.join("node.log")).map_err(|e| e.to_string())?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command()?)
            .env("ROUTER_NAME", "n1")
            .env("ROUTER_LISTEN", listen.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("ROUTER_CONFIG", &config_path)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| e.to_string())?;
        let mut node = Node { child, listen, folder };
        record(&format!("node started, process {}, listens on {listen}", node.child.id()));
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            if let Ok(Some(status)) = node.child.try_wait() {
                return Err(format!("the node ended at its start: {status}; {}", node.log_tail(5)));
            }
            if let Ok(mut stream) = TcpStream::connect(listen) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let mut answer = [0; 7];
                if stream.write_all(b"*1\r\n$4\r\nPING\r\n").is_ok()
                    && stream.read_exact(&mut answer).is_ok()
                    && &answer == b"+PONG\r\n"
                {
                    record("node is ready");
                    return Ok(node);
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err("the node is not ready within 30 s".into())
    }

    /// The last lines of the node's log.
    fn log_tail(&self, lines: usize) -> String {
        let text = std::fs::read_to_string(self.folder.join("node.log")).unwrap_or_default();
        let all: Vec<_> = text.lines().collect();
        all[all.len().saturating_sub(lines)..].join("\n")
    }

    /// Resident memory now and at its peak, in KiB; `None` if the process has ended.
    fn memory_kib(pid: u32) -> Option<(u64, u64)> {
        let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let field = |name: &str| {
            let line = text.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse::<u64>().ok()
        };
        Some((field("VmRSS:")?, field("VmHWM:")?))
    }

    /// Sends SIGTERM and waits until the process has ended, at most as long as the platform does.
    fn terminate_and_wait(&mut self) -> Result<(), String> {
        let pid = self.child.id();
        // The shell's own `kill`, so that no further program has to be installed.
        let sent = Command::new("/bin/sh").args(["-c", &format!("kill -TERM {pid}")]).status();
        let sent = sent.map_err(|e| e.to_string())?;
        if !sent.success() {
            return Err("SIGTERM could not be sent".into());
        }
        let sent_at = Instant::now();
        while sent_at.elapsed() < Duration::from_millis(3_700) {
            if !self.runs() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(5));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        Ok(())
    }

    /// Whether the process still runs.
    fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

// Discovery.

/// A discovery service. It answers a watch with the complete list, or with the entries that changed after the
/// version that the caller names, and then with an empty line every 2 s.
struct Discovery {
    address: SocketAddr,
    state: Arc<Mutex<DiscoveryState>>,
}

struct DiscoveryState {
    index: u64,
    entries: Vec<Entry>,
    /// The latest change: its version and its entry.
    change: Option<(u64, Entry)>,
    /// Number of calls to come that wait in the queue for `CROWDED_WAIT` and then fail.
    calls_to_fail: u32,
}

/// Time that a call waits in the queue of a crowded discovery before it fails: the site's `timeout_ms`.
const CROWDED_WAIT: Duration = Duration::from_millis(1_000);

impl Discovery {
    fn start(index: u64, entries: Vec<Entry>) -> Discovery {
        let state = DiscoveryState { index, entries, change: None, calls_to_fail: 0 };
        let state = Arc::new(Mutex::new(state));
        let shared = state.clone();
        let address = start_server(move |stream| serve_discovery_call(stream, &shared));
        Discovery { address, state }
    }

    /// The complete list, in the form of `known` in a node's configuration.
    fn list(&self) -> String {
        let state = self.state.lock().unwrap();
        list_json(state.index, true, &state.entries)
    }

    /// Changes the status of a server. Open watches are not told: the caller has ended them before.
    fn set_status(&self, name: &str, status: &'static str) {
        let mut state = self.state.lock().unwrap();
        state.index += 1;
        let index = state.index;
        let entry = state.entries.iter_mut().find(|entry| entry.name == name).unwrap();
        entry.status = status;
        state.change = Some((index, entry.clone()));
    }

    fn fail_calls(&self, count: u32) {
        self.state.lock().unwrap().calls_to_fail = count;
    }
}

fn serve_discovery_call(mut stream: TcpStream, state: &Mutex<DiscoveryState>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let Some((request, ..)) = read_http_request(&mut reader) else { return };
    record(&format!("discovery: call {request}"));
    let fails = {
        let mut state = state.lock().unwrap();
        let fails = state.calls_to_fail > 0;
        state.calls_to_fail -= u32::from(fails);
        fails
    };
    if fails {
        thread::sleep(CROWDED_WAIT);
        record("discovery: that call has waited too long and is answered 503");
        let _ = stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    let after = request.split_once("after=").and_then(|(_, rest)| rest.split_whitespace().next());
    let after: u64 = after.and_then(|text| text.parse().ok()).unwrap_or(0);
    let list = {
        let state = state.lock().unwrap();
        match &state.change {
            Some((index, entry)) if after + 1 == *index => list_json(*index, false, &[entry.clone()]),
            _ if after == state.index => String::new(),
            _ => list_json(state.index, true, &state.entries),
        }
    };
    record(&format!("discovery: answers at once with {}", if list.is_empty() { "no change" } else { &list }));
    let first = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\n\r\n",
        list.len() + 1
    );
    let mut open = stream.write_all(first.as_bytes()).is_ok();
    while open {
        thread::sleep(WATCH_EMPTY_LINE_INTERVAL);
        open = stream.write_all(b"1\r\n\n\r\n").is_ok();
    }
}

// Reading requests.

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    (reader.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_string())
}

/// Reads an HTTP request; returns its first line, its headers and its body.
fn read_http_request(reader: &mut impl BufRead) -> Option<(String, Vec<String>, Vec<u8>)> {
    let request = read_line(reader)?;
    let (mut headers, mut length) = (Vec::new(), 0);
    loop {
        let header = read_line(reader)?;
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        headers.push(header);
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((request, headers, body))
}

/// Reads a RESP command.
fn read_command(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let count: usize = read_line(reader)?.strip_prefix('*')?.parse().ok()?;
    (0..count)
        .map(|_| {
            let length: usize = read_line(reader)?.strip_prefix('$')?.parse().ok()?;
            let mut bytes = vec![0; length + 2];
            reader.read_exact(&mut bytes).ok()?;
            Some(String::from_utf8_lossy(&bytes[..length]).into_owned())
        })
        .collect()
}

/// The value of a header.
fn header<'a>(headers: &'a [String], name: &str) -> &'a str {
    headers
        .iter()
        .filter_map(|line| line.split_once(':'))
        .find(|(found, _)| found.eq_ignore_ascii_case(name))
        .map_or("", |(_, value)| value.trim())
}

// Servers.

/// Starts a server that serves each connection in a thread of its own.
fn start_server(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

const MISS: &[u8] = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n";

fn hit(value: &str) -> Vec<u8> {
    format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()).into_bytes()
}

/// Starts a cache server whose answer to each command is made by `answer`.
fn start_cache(
    name: &str,
    answer: impl Fn(&[String]) -> Vec<u8> + Send + Sync + 'static,
) -> SocketAddr {
    let name = name.to_string();
    start_server(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(command) = read_command(&mut reader) {
            record(&format!("{name}: runs {} of key {}, id {}", command[0], command[1], command[2]));
            if stream.write_all(&answer(&command)).is_err() {
                return;
            }
        }
    })
}

// Clients.

fn command(words: &[&str]) -> Vec<u8> {
    let mut text = format!("*{}\r\n", words.len());
    for word in words {
        let _ = write!(text, "${}\r\n{word}\r\n", word.len());
    }
    text.into_bytes()
}

/// What a client got for a request.
#[derive(Clone, Debug, PartialEq)]
enum Answer {
    Value(String),
    Busy,
    Failed(String),
    /// The connection ended, or nothing came in time.
    None(String),
}

/// Reads one answer.
fn read_answer(reader: &mut impl BufRead) -> Answer {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(0) => return Answer::None("connection closed".into()),
        Err(e) => return Answer::None(e.to_string()),
        Ok(_) => {}
    }
    let line = line.trim_end();
    if let Some(length) = line.strip_prefix('$').and_then(|length| length.parse::<usize>().ok()) {
        let mut bytes = vec![0; length + 2];
        return match reader.read_exact(&mut bytes) {
            Ok(()) => Answer::Value(String::from_utf8_lossy(&bytes[..length]).into_owned()),
            Err(e) => Answer::None(e.to_string()),
        };
    }
    if line.starts_with("-BUSY") { Answer::Busy } else { Answer::Failed(line.into()) }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: stand_ins CASE RECORD_FILE");
        std::process::exit(2);
    };
    match std::fs::File::create(path) {
        Ok(file) => drop(RECORD.set(Mutex::new(file))),
        Err(e) => {
            eprintln!("cannot write {path}: {e}");
            std::process::exit(2);
        }
    }
    let _ = STARTED.set(Instant::now());
    record(&format!("case {case}, {} the disruption", if trouble() { "with" } else { "without" }));
    let verdict = match case.as_str() {
        "endless-answers" => endless_answers::run(),
        "restart-and-drain" => restart_and_drain::run(),
        "no-length" => no_length::run(),
        "gate-leak" => gate_leak::run(),
        _ => Err(format!("there is no case {case}")),
    };
    let (text, status) = match verdict {
        Ok(Verdict::Held) => ("the rule held".into(), 0),
        Ok(Verdict::Broken(how)) => (format!("the rule was broken: {how}"), 1),
        Err(why) => (format!("the case could not run: {why}"), 2),
    };
    record(&text);
    println!("{text}");
    std::process::exit(status);
}
