//! Stand-ins for cache servers, the origin and discovery, the node process under test, and its clients.
//!
//! All of them communicate over loopback sockets. The stand-ins use none of the node's code; they implement
//! the server side of its protocols.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

/// Time-out of a wait in these tests: longer than a wait that succeeds takes, even on a busy machine.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// Size of the parts in which a reply without an end is sent, and the pause after each: 16 MB/s at most.
const ENDLESS_PART_BYTES: usize = 16 * 1024;
const ENDLESS_PART_PAUSE: Duration = Duration::from_millis(1);

/// What a stand-in server does when it has received a request.
pub enum ServerAction {
    /// Sends these bytes.
    Answer(Vec<u8>),
    /// Sends these bytes after a message on the channel.
    AnswerAfter(Receiver<()>, Vec<u8>),
    /// Sends these bytes after a message on the channel, then closes the connection.
    AnswerAfterThenClose(Receiver<()>, Vec<u8>),
    /// Sends these bytes, then closes the connection.
    AnswerThenClose(Vec<u8>),
    /// Sends the first bytes at once and the second ones after a message on the channel, then sends a message
    /// on the sender.
    AnswerThenSendMore(Vec<u8>, Arc<Mutex<Receiver<()>>>, Vec<u8>, Sender<()>),
    /// Sends the first bytes, then the second ones over and over until the connection ends, at most
    /// `ENDLESS_PART_BYTES` in each `ENDLESS_PART_PAUSE`.
    AnswerWithoutEnd(Vec<u8>, Vec<u8>),
    /// Closes the connection without an answer.
    Close,
    /// Sends nothing, and keeps the connection open.
    Hang,
}

/// A request that a stand-in server has received, or the end of a connection, for which `parts` is empty.
pub struct ServerEvent {
    /// The name and arguments of a RESP command, or the request line, headers and body of an HTTP request.
    pub parts: Vec<String>,
    /// Number of the connection, counted from 0 for each server.
    pub connection: u32,
}

/// A stand-in for a cache server or an origin, which runs in threads of the test.
pub struct StandIn {
    pub address: SocketAddr,
    pub events: Receiver<ServerEvent>,
}

impl StandIn {
    /// Waits for the next request that the server receives.
    pub fn next_request(&self) -> ServerEvent {
        std::iter::from_fn(|| self.events.recv_timeout(LONG_TIMEOUT).ok())
            .find(|event| !event.parts.is_empty())
            .expect("the stand-in receives a request in time")
    }

    /// Waits until one of the server's connections has ended.
    pub fn wait_for_connection_end(&self) {
        let end = std::iter::from_fn(|| self.events.recv_timeout(LONG_TIMEOUT).ok())
            .find(|event| event.parts.is_empty());
        assert!(end.is_some(), "a connection ends in time");
    }
}

/// Starts a stand-in server on a free port.
fn start_stand_in(
    read_request: fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>,
    respond: impl FnMut(&[String]) -> ServerAction + Send + Clone + 'static,
) -> StandIn {
    start_stand_in_on(TcpListener::bind("127.0.0.1:0").unwrap(), Vec::new(), read_request, respond)
}

/// A cache server whose listen backlog is full: connections to it are established only after
/// [`FullBacklogServer::start_accepting`].
pub struct FullBacklogServer {
    pub address: SocketAddr,
    listener: Socket,
    /// Connections of the test that fill the backlog.
    backlog_streams: Vec<TcpStream>,
}

impl FullBacklogServer {
    pub fn new() -> FullBacklogServer {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok();
        let backlog_streams: Vec<_> = std::iter::from_fn(connect).take(8).collect();
        assert!(!backlog_streams.is_empty() && backlog_streams.len() < 8, "the listen backlog is full");
        FullBacklogServer { address, listener, backlog_streams }
    }

    /// Accepts the connections that fill the backlog and waits for the node's connection, whose SYN the
    /// kernel retransmits after a second. From then on the server is a stand-in like any other.
    pub fn start_accepting(
        self,
        respond: impl FnMut(&[String]) -> ServerAction + Send + Clone + 'static,
    ) -> StandIn {
        // If the node has given up connecting, the test must fail and not hang.
        self.listener.set_read_timeout(Some(3 * LONG_TIMEOUT)).unwrap();
        let accepted: Vec<_> = (0..=self.backlog_streams.len()).map(|_| accept(&self.listener)).collect();
        self.listener.set_read_timeout(None).unwrap();
        self.listener.listen(64).unwrap();
        start_stand_in_on(self.listener.into(), accepted, read_command, respond)
    }
}

/// Accepts a connection. A call with a time-out can be interrupted, and is then repeated.
fn accept(listener: &Socket) -> TcpStream {
    loop {
        match listener.accept() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            result => return result.expect("the node keeps trying to connect").0.into(),
        }
    }
}

/// Settings with a connect time-out and deadlines that are long enough for a [`FullBacklogServer`]: on a busy
/// machine the SYN that is accepted may be the retransmission after 15 s.
pub fn long_timeout_settings() -> String {
    let settings =
        default_settings().replace(r#""connectTimeoutUs":2000000"#, r#""connectTimeoutUs":60000000"#);
    settings.replace(r#""deadlineUs":8000000"#, r#""deadlineUs":60000000"#)
}

/// A read command with the longest deadline under [`long_timeout_settings`].
pub fn long_deadline_get(key: &str, id: &str) -> Vec<u8> {
    command(&["OBJ.GET", key, id, "c=read,t=acme,d=60000"])
}

/// Starts a stand-in server on a listener. Connections that are already accepted are served first.
fn start_stand_in_on(
    listener: TcpListener,
    accepted: Vec<TcpStream>,
    read_request: fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>,
    respond: impl FnMut(&[String]) -> ServerAction + Send + Clone + 'static,
) -> StandIn {
    let address = listener.local_addr().unwrap();
    let (sender, events) = channel();
    std::thread::spawn(move || {
        for (connection, stream) in accepted.into_iter().chain(listener.incoming().flatten()).enumerate() {
            let (mut respond, sender) = (respond.clone(), sender.clone());
            std::thread::spawn(move || {
                serve_connection(stream, connection as u32, read_request, &mut respond, &sender);
                let _ = sender.send(ServerEvent { parts: Vec::new(), connection: connection as u32 });
            });
        }
    });
    StandIn { address, events }
}

/// Reads requests from a connection and does for each what `respond` returns, until the connection ends.
fn serve_connection(
    stream: TcpStream,
    connection: u32,
    read_request: fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>,
    respond: &mut impl FnMut(&[String]) -> ServerAction,
    sender: &Sender<ServerEvent>,
) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(parts) = read_request(&mut reader) {
        let action = respond(&parts);
        let _ = sender.send(ServerEvent { parts, connection });
        let (answer, close_after) = match action {
            ServerAction::Answer(answer_bytes) => (answer_bytes, false),
            ServerAction::AnswerAfter(release_signal, answer_bytes) => {
                let _ = release_signal.recv_timeout(LONG_TIMEOUT);
                (answer_bytes, false)
            }
            ServerAction::AnswerAfterThenClose(release_signal, answer_bytes) => {
                let _ = release_signal.recv_timeout(LONG_TIMEOUT);
                (answer_bytes, true)
            }
            ServerAction::AnswerThenSendMore(answer_bytes, release_signal, more_bytes, sent) => {
                if writer.write_all(&answer_bytes).is_err() {
                    return;
                }
                let _ = release_signal.lock().unwrap().recv_timeout(LONG_TIMEOUT);
                let _ = writer.write_all(&more_bytes);
                let _ = sent.send(());
                continue;
            }
            ServerAction::AnswerWithoutEnd(start, piece) => {
                let mut is_open = writer.write_all(&start).is_ok();
                for part in piece.chunks(ENDLESS_PART_BYTES).cycle() {
                    if !is_open {
                        return;
                    }
                    is_open = writer.write_all(part).is_ok();
                    std::thread::sleep(ENDLESS_PART_PAUSE);
                }
                return;
            }
            ServerAction::AnswerThenClose(answer_bytes) => (answer_bytes, true),
            ServerAction::Close => (Vec::new(), true),
            ServerAction::Hang => (Vec::new(), false),
        };
        if writer.write_all(&answer).is_err() || close_after {
            // Dropping the stream is not enough: a process that another test is just starting may have
            // inherited the descriptor, which would keep the connection open.
            let _ = writer.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Reads a RESP command, an array of bulk strings; `None` at the end of the connection or on invalid input.
fn read_command(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let count: usize = read_trimmed_line(reader)?.strip_prefix('*')?.parse().ok()?;
    (0..count).map(|_| read_bulk_string(reader)).collect()
}

fn read_bulk_string(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let size: usize = read_trimmed_line(reader)?.strip_prefix('$')?.parse().ok()?;
    let mut bytes = vec![0; size + 2];
    reader.read_exact(&mut bytes).ok()?;
    Some(String::from_utf8_lossy(&bytes[..size]).into_owned())
}

fn read_trimmed_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut text = String::new();
    let count = reader.read_line(&mut text).ok()?;
    (count > 0).then(|| text.trim_end().to_string())
}

/// Reads an HTTP request: the request line, the headers and, as the last part, the body.
pub fn read_http_request(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let mut parts = vec![read_trimmed_line(reader)?];
    let mut body_length = 0;
    loop {
        let header = read_trimmed_line(reader)?;
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("Content-Length: ") {
            body_length = value.parse().ok()?;
        }
        parts.push(header);
    }
    let mut body = vec![0; body_length];
    reader.read_exact(&mut body).ok()?;
    parts.push(String::from_utf8_lossy(&body).into_owned());
    Some(parts)
}

/// Starts a cache server that does for each command what `respond` returns.
pub fn cache_server(respond: impl FnMut(&[String]) -> ServerAction + Send + Clone + 'static) -> StandIn {
    start_stand_in(read_command, respond)
}

/// Starts an origin that does for each HTTP request what `respond` returns.
pub fn origin_server(respond: impl FnMut(&[String]) -> ServerAction + Send + Clone + 'static) -> StandIn {
    start_stand_in(read_http_request, respond)
}

/// A cache server's answer to a read that is a hit.
pub fn hit(value: &str) -> Vec<u8> {
    format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()).into_bytes()
}

/// A cache server's answer to a read that is a miss.
pub fn miss() -> Vec<u8> {
    b"*3\r\n$-1\r\n$-1\r\n$-1\r\n".to_vec()
}

pub fn http_response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Starts a discovery service that answers each call with the next of `answers` and closes its connection.
/// The call that gets the last answer stays open: on it the service sends what the test passes to the
/// returned sender, and an empty line after each second without any. The receiver gets the request line of
/// each call.
pub fn discovery_server(answers: Vec<Vec<u8>>) -> (SocketAddr, Sender<Vec<u8>>, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (updates, update_receiver) = channel::<Vec<u8>>();
    let (call_sender, calls) = channel();
    std::thread::spawn(move || {
        let count = answers.len();
        for (number, (answer, stream)) in answers.into_iter().zip(listener.incoming().flatten()).enumerate() {
            let mut writer = stream.try_clone().unwrap();
            let mut reader = BufReader::new(stream);
            let request = read_http_request(&mut reader).unwrap_or_default();
            let _ = call_sender.send(request.first().cloned().unwrap_or_default());
            let _ = writer.write_all(&answer);
            if number + 1 < count {
                continue;
            }
            loop {
                let bytes = match update_receiver.recv_timeout(Duration::from_secs(1)) {
                    Ok(bytes) => bytes,
                    Err(std::sync::mpsc::RecvTimeoutError::Timeout) => chunk("\n"),
                    Err(_) => return,
                };
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
        }
    });
    (address, updates, calls)
}

/// The head of a chunked response, as discovery sends for a watch.
pub fn chunked_response_head() -> Vec<u8> {
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec()
}

/// A chunk of an HTTP body in chunked transfer encoding.
pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// One server's entry in a list from discovery, as JSON.
pub fn server_entry(name: &str, address: SocketAddr, machine_type: &str, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"{machine_type}","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// A list from discovery, as one line of JSON: all servers if it is a snapshot, otherwise only the entries
/// that change.
pub fn server_list(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(",")) + "\n"
}

/// Returns a shell prefix for a node's start that preloads `system_calls.c`, which interrupts or shortens
/// some of the node's reads and writes on sockets. Builds that library at the first call.
pub fn faulty_system_calls(seed: u32) -> String {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    let library = LIBRARY.get_or_init(|| {
        let library = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("system_calls.so");
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/node/system_calls.c");
        let compiler_status =
            Command::new("cc").args(["-shared", "-fPIC", "-o"]).arg(&library).args([source, "-ldl"]).status();
        assert!(compiler_status.expect("the C compiler `cc`, which Rust needs for linking").success());
        library
    });
    format!("export SYSTEM_CALLS_SEED={seed} LD_PRELOAD='{}';", library.display())
}

/// A running node process under test; killed when dropped.
pub struct Node {
    child: Child,
    pub address: SocketAddr,
    /// The lines of the node's log after the first one.
    pub log: Receiver<String>,
    config_path: std::path::PathBuf,
    config_text: String,
    discovery: SocketAddr,
    shell_prefix: String,
}

static NEXT_CONFIG_FILE: AtomicU32 = AtomicU32::new(0);

/// Writes a configuration to a new temporary file.
pub fn write_config_file(text: &str) -> std::path::PathBuf {
    let number = NEXT_CONFIG_FILE.fetch_add(1, Ordering::Relaxed);
    let file_name = format!("pondproxy-node-test-{}-{number}.json", std::process::id());
    let path = std::env::temp_dir().join(file_name);
    std::fs::write(&path, text).unwrap();
    path
}

/// The settings of most tests: one balancer that pulls lists from discovery, a read class without side
/// effects and a class of writes with side effects, and one tenant.
pub fn default_settings() -> &'static str {
    r#"{"balancers":1,"me":0,"zone":0,"zones":["a"],"machineTypes":["std","origin"],"discovery":"ask",
    "classes":[{"name":"read","goalTimeUs":250000,"deadlineUs":8000000,"effect":"pure","lateValue":0.5,"gain":1.0},
      {"name":"put","goalTimeUs":250000,"deadlineUs":8000000,"effect":"side_effect","lateValue":0.5,"gain":1.0}],
    "realms":[{"name":"acme","quotaPerS":1000.0}],"specifics":{"mode":"aside","originKind":1},
    "limits":{"maxAttempts":4,"mayCancel":true,"mayDuplicate":false,"connectTimeoutUs":2000000,"idleCloseUs":15000000},
    "guarantees":{"askWithinUs":1000000,"drainGraceUs":500000},"periodUs":2000}"#
}

/// Returns these settings with lists that discovery pushes instead of lists that the node requests.
pub fn with_pushed_lists(settings: &str) -> String {
    settings.replace(r#""discovery":"ask""#, r#""discovery":"push""#)
}

/// Starts the node program and waits for the first line of its log, which ends with the address it listens
/// on.
fn spawn_node(
    config_path: &std::path::Path,
    (listen, discovery): (SocketAddr, SocketAddr),
    shell_prefix: &str,
) -> (Child, SocketAddr, Receiver<String>) {
    let mut child = Command::new("/bin/sh")
        .arg("-c")
        .arg(format!("{shell_prefix} exec \"{}\"", env!("CARGO_BIN_EXE_pondproxy-node")))
        .env("ROUTER_CONFIG", config_path)
        .env("ROUTER_LISTEN", listen.to_string())
        .env("ROUTER_DISCOVERY", discovery.to_string())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let first_line = lines.next().expect("the node logs a first line");
    let address = first_line
        .rsplit(' ')
        .next()
        .and_then(|address| address.parse().ok())
        .expect("the first log line ends with an address");
    let (log_sender, log) = channel();
    std::thread::spawn(move || lines.for_each(|line| drop(log_sender.send(line))));
    (child, address, log)
}

impl Node {
    /// Starts a node with the default settings and a list of servers that it knows from its configuration.
    pub fn start(discovery: SocketAddr, known_list: &str) -> Node {
        Node::start_with_limits(discovery, known_list, 256, "")
    }

    /// Starts a node with a limit on its sockets, after shell commands such as `ulimit`.
    pub fn start_with_limits(
        discovery: SocketAddr,
        known_list: &str,
        sockets: usize,
        shell_prefix: &str,
    ) -> Node {
        Node::start_with_settings(discovery, known_list, (sockets, 16), shell_prefix, default_settings())
    }

    /// Starts a node under settings in which discovery pushes its lists.
    pub fn start_with_pushed_lists(discovery: SocketAddr, known_list: &str) -> Node {
        let settings = with_pushed_lists(default_settings());
        Node::start_with_settings(discovery, known_list, (256, 16), "", &settings)
    }

    /// Starts a node with limits on its sockets and memory, after shell commands, with the given settings.
    pub fn start_with_settings(
        discovery: SocketAddr,
        known_list: &str,
        (sockets, memory_mb): (usize, usize),
        shell_prefix: &str,
        settings: &str,
    ) -> Node {
        let config_text = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"0a","limits":{{"sockets":{sockets},"memory_mb":{memory_mb}}},"known":{known_list},"settings":{}}}"#,
            settings
        );
        let config_path = write_config_file(&config_text);
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let (child, address, log) = spawn_node(&config_path, (listen, discovery), shell_prefix);
        Node { child, address, log, config_path, config_text, discovery, shell_prefix: shell_prefix.into() }
    }

    /// Kills the node and starts it again at the same address.
    pub fn kill_and_restart(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        (self.child, _, self.log) =
            spawn_node(&self.config_path, (self.address, self.discovery), &self.shell_prefix);
    }

    /// Replaces the configuration file as [`Node::replace_config`] does, and sends SIGHUP.
    pub fn reload_config(&self, discovery_or_text: Result<SocketAddr, &str>) {
        self.replace_config(discovery_or_text);
        self.send_signal("HUP");
    }

    /// Replaces the configuration file without a signal: by one with another address of discovery (`Ok`),
    /// or by any text (`Err`).
    pub fn replace_config(&self, discovery_or_text: Result<SocketAddr, &str>) {
        let text = match discovery_or_text {
            Ok(discovery) => self.config_text.replace(&self.discovery.to_string(), &discovery.to_string()),
            Err(text) => text.into(),
        };
        let new_path = self.config_path.with_extension("new");
        std::fs::write(&new_path, text).unwrap();
        std::fs::rename(&new_path, &self.config_path).unwrap();
    }

    /// Opens a client's connection to the node.
    pub fn connect_client(&self) -> Client {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
        Client { stream: stream.try_clone().unwrap(), reader: BufReader::new(stream) }
    }

    /// Returns the node's resident memory in KiB.
    pub fn resident_kib(&self) -> usize {
        self.status_kib("VmRSS:")
    }

    /// Returns the highest resident memory of the node so far, in KiB.
    pub fn peak_resident_kib(&self) -> usize {
        self.status_kib("VmHWM:")
    }

    fn status_kib(&self, field: &str) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix(field)).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Returns the number of descriptors that the node holds open.
    pub fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Stops the node with SIGSTOP while `action` runs. Data that is sent to the node meanwhile waits in the
    /// kernel's socket buffers.
    pub fn while_stopped<T>(&self, action: impl FnOnce() -> T) -> T {
        self.send_signal("STOP");
        self.wait_until_stopped();
        let result = action();
        self.send_signal("CONT");
        result
    }

    /// Waits until the kernel has stopped the process: the call that sends a signal may return before.
    fn wait_until_stopped(&self) {
        let path = format!("/proc/{}/status", self.child.id());
        let is_stopped = || std::fs::read_to_string(&path).unwrap().contains("State:\tT");
        let start = Instant::now();
        while !is_stopped() {
            assert!(start.elapsed() < LONG_TIMEOUT, "the process stops");
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.send_signal("TERM");
    }

    fn send_signal(&self, signal: &str) {
        let kill_command = format!("kill -{signal} {}", self.child.id());
        assert!(Command::new("/bin/sh").arg("-c").arg(kill_command).status().unwrap().success());
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}

/// A client's connection to the node.
pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

/// A RESP command with these arguments.
pub fn command(arguments: &[&str]) -> Vec<u8> {
    let arguments =
        arguments.iter().map(|argument| format!("${}\r\n{argument}\r\n", argument.len())).collect::<String>();
    let count = arguments.matches("\r\n$").count() + 1;
    format!("*{count}\r\n{arguments}").into_bytes()
}

/// A read command of the class `read`, with a deadline of 8 s.
pub fn get(key: &str, id: &str) -> Vec<u8> {
    command(&["OBJ.GET", key, id, "c=read,t=acme,d=8000"])
}

/// A write command of the class `put`, which has side effects, with a deadline of 8 s.
pub fn put(key: &str, id: &str, value: &str) -> Vec<u8> {
    command(&["OBJ.SET", key, id, "c=put,t=acme,d=8000,k=77", value])
}

impl Client {
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Reads the next answer: a line as received, or the content of a bulk string; `None` at the connection's
    /// end.
    pub fn read_answer(&mut self) -> Option<String> {
        self.try_read_answer().ok().flatten()
    }

    /// As `read_answer`, but an error, such as that of a read time-out, is told from the connection's end.
    pub fn try_read_answer(&mut self) -> std::io::Result<Option<String>> {
        let mut first_line = String::new();
        if self.reader.read_line(&mut first_line)? == 0 {
            return Ok(None);
        }
        let first_line = first_line.trim_end();
        let Some(size) = first_line.strip_prefix('$') else { return Ok(Some(first_line.into())) };
        let mut bytes = vec![0; size.parse::<usize>().unwrap() + 2];
        self.reader.read_exact(&mut bytes)?;
        bytes.truncate(bytes.len() - 2);
        Ok(Some(String::from_utf8_lossy(&bytes).into_owned()))
    }

    /// Sends a command and reads the next answer.
    pub fn request(&mut self, bytes: &[u8]) -> Option<String> {
        self.send(bytes);
        self.read_answer()
    }
}
