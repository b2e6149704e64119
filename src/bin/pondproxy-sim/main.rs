//! Adapter between the simulator and the decision module. Hosts numbered instances of [`Policy`], passes the
//! event records that arrive on standard input to them and writes their actions to standard output. Makes no
//! decisions, and does not know the layout of the frames (see `codec`).

mod codec;

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;

use codec::{BATCH_HEADER_BYTES, BatchHeader, Record, Reply};
use pondproxy::{Action, Event, Micros, Policy, ServerEntry, settings};

/// Number of server lists that can be stored; the simulator refers to a list by its number, from 0.
const MAX_LISTS: usize = 16;

/// An instance of the decision module, and the numbers of classes and tenants in its settings, against which
/// its requests are checked.
struct Instance {
    policy: Policy,
    class_count: usize,
    tenant_count: usize,
}

/// The instances, the numbered server lists that they share, and the reply under construction.
#[derive(Default)]
struct Adapter {
    instances: HashMap<u16, Instance>,
    lists: [Option<Vec<ServerEntry>>; MAX_LISTS],
    actions: Vec<Action>,
    reply: Reply,
}

impl Adapter {
    /// Handles all event records of a batch in their order.
    fn handle_batch(&mut self, header: BatchHeader, body: &[u8]) -> Result<(), String> {
        for index in 0..header.record_count {
            let record = codec::read_record(body, header.record_count, index)
                .map_err(|e| format!("batch {}, record {index}: {e}", header.batch_number))?;
            self.handle_record(header.now, record)
                .map_err(|e| format!("batch {}: {e}", header.batch_number))?;
        }
        Ok(())
    }

    fn handle_record(&mut self, now: Micros, record: Record<'_>) -> Result<(), String> {
        match record {
            Record::Start { instance_id, seed, settings } => {
                let settings = settings::parse(settings)?.settings;
                let (class_count, tenant_count) = (settings.classes.len(), settings.tenants.len());
                let policy = Policy::new(settings, seed);
                self.instances.insert(instance_id, Instance { policy, class_count, tenant_count });
                Ok(())
            }
            Record::Stop(instance_id) => match self.instances.remove(&instance_id) {
                Some(_) => Ok(()),
                None => Err(format!("shutdown of unknown instance {instance_id}")),
            },
            Record::List { list_number, servers } => {
                let slot = self.lists.get_mut(usize::from(list_number));
                *slot.ok_or_else(|| format!("census with list number {list_number} out of range"))? =
                    Some(servers);
                Ok(())
            }
            Record::ListReceived { instance_id, kind, list_number } => {
                let list = self.lists.get(usize::from(list_number)).and_then(Option::as_ref);
                let servers =
                    list.ok_or_else(|| format!("roster_change names unknown list {list_number}"))?.clone();
                self.handle_event(now, instance_id, Event::ServerList { kind, servers })
            }
            Record::Event(instance_id, event) => self.handle_event(now, instance_id, event),
        }
    }

    /// Passes an event to an instance and adds the instance's actions to the reply.
    fn handle_event(&mut self, now: Micros, instance_id: u16, event: Event) -> Result<(), String> {
        let instance = self.instances.get_mut(&instance_id);
        let instance = instance.ok_or_else(|| format!("event for unknown instance {instance_id}"))?;
        if let Event::Request(request) = &event {
            if request.class >= instance.class_count {
                return Err(format!("request with class {}, which is not in the settings", request.class));
            }
            if request.tenant >= instance.tenant_count.max(1) {
                return Err(format!("request with tenant {}, which is not in the settings", request.tenant));
            }
        }
        instance.policy.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            self.reply.push(instance_id, &action);
        }
        Ok(())
    }
}

/// Fills `buffer` from the input. Returns `false` if the input ends before the first byte.
fn read_exact_or_eof(input: &mut impl Read, buffer: &mut [u8]) -> Result<bool, String> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) if filled == 0 => return Ok(false),
            Ok(0) => return Err("truncated frame: input ended within it".into()),
            Ok(n) => filled += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("reading the input failed: {e}")),
        }
    }
    Ok(true)
}

/// Answers each batch of the input with one reply until the input ends.
fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut adapter = Adapter::default();
    let mut header_bytes = [0u8; BATCH_HEADER_BYTES];
    let (mut body, mut reply_frame) = (Vec::new(), Vec::new());
    while read_exact_or_eof(input, &mut header_bytes)? {
        let header = BatchHeader::read(&header_bytes)?;
        // `read_to_end` enlarges the buffer only as bytes arrive. A buffer of the length in the header would
        // reserve memory that is never filled if that length is false.
        body.clear();
        let received = input.by_ref().take(header.body_length as u64).read_to_end(&mut body);
        let received = received.map_err(|e| format!("reading the input failed: {e}"))?;
        if received < header.body_length {
            return Err(format!(
                "truncated frame: batch {} ended after {received} bytes",
                header.batch_number
            ));
        }
        adapter.handle_batch(header, &body)?;
        adapter.reply.write_frame(header.batch_number, &mut reply_frame);
        output
            .write_all(&reply_frame)
            .and_then(|()| output.flush())
            .map_err(|e| format!("writing the reply failed: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("pondproxy-sim: {message}");
            ExitCode::FAILURE
        }
    }
}
