//! Tests of the node's memory limit while hundreds of clients are connected at once and send slowly, stop in
//! the middle of a request, or send very many short fields.

use std::net::TcpStream;
use std::time::Instant;

use super::*;

/// Limits of the node: the smallest memory and the most descriptors of a deployment.
const MEMORY_MB: usize = 32;
const SOCKETS: usize = 1024;
/// Clients that are connected at once: about as many as the node accepts.
const CLIENTS: usize = 600;
/// Time for which the clients send: longer than the node waits for the rest of a command.
const SENDING_TIME: Duration = Duration::from_millis(2_500);
/// Pause after which each client sends its next part.
const PART_PAUSE: Duration = Duration::from_millis(20);
/// Length of the longest value, and the number of arguments of the longest command.
const VALUE_BYTES: usize = 64 * 1024;
const MAX_ARGUMENTS: usize = 16;

/// What each client sends.
#[derive(Clone, Copy, Debug)]
enum Input {
    /// A write of a long value, in small parts.
    SlowWrite,
    /// The first part of a write of a long value.
    HalfOfWrite,
    /// All but the end of a command with the most and longest arguments.
    HalfOfLongestCommand,
    /// Commands of very many short fields.
    ShortFields,
    /// A read that hangs, then reads with very many short facts.
    ShortFactsBehindOpenRead,
    /// A read that hangs, then the first part of a write.
    HalfOfWriteBehindOpenRead,
}

impl Input {
    fn bytes(self, client: usize) -> Vec<u8> {
        let value = "v".repeat(VALUE_BYTES);
        let id = format!("c{client}");
        let write = put("aa", &id, &value);
        let open_read = get("hang", &format!("open-{client}"));
        match self {
            Input::SlowWrite => write,
            Input::HalfOfWrite => write[..VALUE_BYTES / 2].to_vec(),
            Input::HalfOfLongestCommand => {
                let command = command(&[value.as_str(); MAX_ARGUMENTS]);
                command[..command.len() - VALUE_BYTES / 2].to_vec()
            }
            Input::ShortFields => command(&["x"; MAX_ARGUMENTS]).repeat(2_000),
            Input::ShortFactsBehindOpenRead => {
                let facts: String = (0..100).map(|number| format!(",f{number}=")).collect();
                let read = |number| {
                    let id = format!("c{client}-{number}");
                    command(&["OBJ.GET", "aa", &id, &format!("c=read,t=acme,d=8000{}", &facts[..450])])
                };
                [open_read, (0..500).flat_map(read).collect()].concat()
            }
            Input::HalfOfWriteBehindOpenRead => [&open_read, &write[..VALUE_BYTES - 1]].concat(),
        }
    }

    /// Number of bytes that a client sends at once.
    fn part_bytes(self) -> usize {
        match self {
            Input::SlowWrite | Input::HalfOfWrite => 700,
            _ => VALUE_BYTES,
        }
    }
}

/// A client that sends its input in parts, and reads nothing.
struct SlowClient {
    stream: TcpStream,
    bytes: Vec<u8>,
    sent: usize,
}

impl SlowClient {
    fn send_part(&mut self, part_bytes: usize) {
        let end = self.bytes.len().min(self.sent + part_bytes);
        // The node may close the connection, or leave the input unread.
        self.sent += self.stream.write(&self.bytes[self.sent..end]).unwrap_or(0);
    }
}

#[test]
fn hundreds_of_slow_or_incomplete_requests_stay_within_the_memory_limit() {
    // Guards against memory for connections that is neither limited nor counted.
    for input in [
        Input::SlowWrite,
        Input::HalfOfWrite,
        Input::HalfOfLongestCommand,
        Input::ShortFields,
        Input::ShortFactsBehindOpenRead,
        Input::HalfOfWriteBehindOpenRead,
    ] {
        let cache = cache_server(|parts| match parts[1].as_str() {
            "hang" => ServerAction::Hang,
            key => ServerAction::Answer(hit(key)),
        });
        let (discovery, _updates, _calls) = idle_discovery();
        let list = list_of_one_cache(cache.address, failing_origin().address);
        let node = Node::start_with_settings(discovery, &list, (SOCKETS, MEMORY_MB), "", default_settings());
        let connect = |number| {
            let stream = TcpStream::connect(node.address).unwrap();
            stream.set_nonblocking(true).unwrap();
            SlowClient { stream, bytes: input.bytes(number), sent: 0 }
        };
        let mut clients: Vec<_> = (0..CLIENTS).map(connect).collect();
        let started_at = Instant::now();
        while started_at.elapsed() < SENDING_TIME {
            clients.iter_mut().for_each(|client| client.send_part(input.part_bytes()));
            std::thread::sleep(PART_PAUSE);
        }
        let peak_kib = node.peak_resident_kib();
        assert!(peak_kib <= MEMORY_MB * 1024, "{input:?}: {peak_kib} KiB of {MEMORY_MB} MiB");
    }
}
