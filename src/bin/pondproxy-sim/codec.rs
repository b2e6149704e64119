//! Binary format of the simulator's wire. Decodes batches of event records and encodes replies of action
//! records. Does not know which instances exist.
//!
//! Numbers are little-endian. A frame consists of a header, records of a fixed size, and a tail: records
//! refer to data of variable size in the tail by offset and count.

use pondproxy::{
    Action, CacheLookup, DiscoveryFailure, ListKind, LoadReport, Micros, Outcome, Request, ServerEntry,
    ServerId, ServerState, Status,
};

/// Size of a batch header.
pub const BATCH_HEADER_BYTES: usize = 20;
const EVENT_RECORD_BYTES: usize = 48;
const ACTION_RECORD_BYTES: usize = 24;
/// Size of a server entry in the tail.
const SERVER_ENTRY_BYTES: usize = 22;

/// The header of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchHeader {
    /// Time of the batch in microseconds.
    pub now: Micros,
    /// Size of the body, which follows the header.
    pub body_length: usize,
    /// Number of event records at the beginning of the body.
    pub record_count: usize,
    /// Number of the batch, which its reply repeats.
    pub batch_number: u32,
}

impl BatchHeader {
    /// Decodes a header and checks that its records fit into the body.
    pub fn read(bytes: &[u8; BATCH_HEADER_BYTES]) -> Result<Self, String> {
        let usize_at = |at| u32_at(bytes, at) as usize;
        let header = BatchHeader {
            now: u64_at(bytes, 0),
            body_length: usize_at(8),
            record_count: usize_at(12),
            batch_number: u32_at(bytes, 16),
        };
        if header.record_count.saturating_mul(EVENT_RECORD_BYTES) > header.body_length {
            return Err(format!("batch {}: records exceed the frame's length", header.batch_number));
        }
        Ok(header)
    }
}

/// A decoded event record. A reference to a numbered list is not resolved, since the list may come from an
/// earlier frame.
#[derive(Debug, Clone, PartialEq)]
pub enum Record<'a> {
    /// An instance starts.
    Start {
        /// The instance.
        instance_id: u16,
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings (JSON).
        settings: &'a [u8],
    },
    /// A numbered server list for later records.
    List {
        /// Number of the list.
        list_number: u16,
        /// Entries of the list.
        servers: Vec<ServerEntry>,
    },
    /// An instance is terminated without prior notice.
    Stop(u16),
    /// An instance receives a numbered server list.
    ListReceived {
        /// The instance.
        instance_id: u16,
        /// How the list relates to the one in force.
        kind: ListKind,
        /// Number of the list.
        list_number: u16,
    },
    /// Any other event of an instance.
    Event(u16, pondproxy::Event),
}

/// Returns the event of a failed call to discovery. The simulator reports neither the kind of failure nor the
/// time since the last contact. In the simulation, a call that fails has reached discovery, and its failure
/// is reported at once, hence `Failed` and 0.
fn discovery_call_failed() -> pondproxy::Event {
    pondproxy::Event::DiscoveryFailed { failure: DiscoveryFailure::Failed, since_last_contact: 0 }
}

/// Decodes event record `index` of the body of a frame with `record_count` records.
pub fn read_record(body: &[u8], record_count: usize, index: usize) -> Result<Record<'_>, String> {
    let record = &body[index * EVENT_RECORD_BYTES..(index + 1) * EVENT_RECORD_BYTES];
    let tail = &body[record_count * EVENT_RECORD_BYTES..];
    let instance_id = u16_at(record, 1);
    let event = match record[0] {
        1 => pondproxy::Event::ClientGone(u64_at(record, 3)),
        2 => pondproxy::Event::Timer(u32_at(record, 3)),
        3 => pondproxy::Event::Outcome(read_outcome(record)?),
        4 => pondproxy::Event::Request(read_request(record)),
        5 => {
            let settings = tail_slice(tail, record, 11, 1)?;
            return Ok(Record::Start { instance_id, seed: u64_at(record, 3), settings });
        }
        6 => pondproxy::Event::Probed {
            healthy: u16_at(record, 3) == 200,
            elapsed: u32_at(record, 5).into(),
            server: u32_at(record, 9),
            load: read_load_report(record, 13),
        },
        7 => return Ok(Record::Stop(instance_id)),
        8 => pondproxy::Event::AnswerBegan { request: u64_at(record, 3), attempt: u16_at(record, 15) },
        9 => {
            let entries = tail_slice(tail, record, 3, SERVER_ENTRY_BYTES)?;
            let servers =
                entries.chunks_exact(SERVER_ENTRY_BYTES).map(read_server_entry).collect::<Result<_, _>>()?;
            // In this record the field of the instance holds the number of the list.
            return Ok(Record::List { list_number: instance_id, servers });
        }
        10 => {
            let kind = match record[9] {
                0 => ListKind::Full,
                1 => ListKind::Cached,
                // The record does not say which call to discovery failed, nor how.
                2 => return Ok(Record::Event(instance_id, discovery_call_failed())),
                3 => ListKind::Delta,
                other => return Err(format!("roster_change of unknown kind {other}")),
            };
            return Ok(Record::ListReceived { instance_id, kind, list_number: u16_at(record, 3) });
        }
        11 => {
            let bytes = tail_slice(tail, record, 7, 1)?.to_vec();
            pondproxy::Event::PeerMessage { from: u32_at(record, 3), bytes }
        }
        other => return Err(format!("unknown event code {other}")),
    };
    Ok(Record::Event(instance_id, event))
}

fn read_request(record: &[u8]) -> Request {
    let flags = record[13];
    Request {
        id: u64_at(record, 3),
        tenant: u16_at(record, 11).into(),
        expected_work: (flags & 1 != 0).then(|| u32_at(record, 15).into()),
        client_retry: flags & 2 != 0,
        write: flags & 4 != 0,
        class: record[14].into(),
        key: u64_at(record, 19),
        value_bytes: f32_at(record, 27),
        time_left: u32_at(record, 31).into(),
    }
}

fn read_outcome(record: &[u8]) -> Result<Outcome, String> {
    let status = match u16_at(record, 22) {
        200 => Status::Success,
        204 => Status::Miss,
        408 => Status::TimedOut,
        409 => Status::NotSent,
        429 => Status::Rejected,
        444 => Status::Cancelled,
        502 => Status::Error,
        520 => Status::Reset,
        521 => Status::ConnectFailed,
        other => return Err(format!("unknown outcome {other}")),
    };
    let lookup = match u32_at(record, 11) {
        1 => CacheLookup::Hit,
        2 => CacheLookup::Miss,
        3 => CacheLookup::MissPending,
        _ => CacheLookup::NotReported,
    };
    Ok(Outcome {
        request: u64_at(record, 3),
        lookup,
        elapsed: u32_at(record, 15).into(),
        attempt: u16_at(record, 19),
        request_finished: record[21] != 0,
        status,
        server: u32_at(record, 24),
        load: read_load_report(record, 28),
    })
}

fn read_load_report(record: &[u8], at: usize) -> LoadReport {
    let values = std::array::from_fn(|i| f32_at(record, at + 1 + 4 * i));
    LoadReport { count: record[at].min(4), values }
}

fn read_server_entry(record: &[u8]) -> Result<ServerEntry, String> {
    let state = match record[9] {
        0 => ServerState::Removed,
        1 => ServerState::Ready,
        2 => ServerState::Draining,
        other => return Err(format!("census entry with unknown state {other}")),
    };
    Ok(ServerEntry {
        zone: record[0],
        started_at: u64_at(record, 1),
        state,
        id: u32_at(record, 10),
        cell: u16_at(record, 14),
        machine_type: u16_at(record, 16),
        weight: f32_at(record, 18),
    })
}

/// Returns the items in the tail, `item_bytes` each, to which the field at `field_offset` in the record
/// refers by their offset and count.
fn tail_slice<'a>(
    tail: &'a [u8],
    record: &[u8],
    field_offset: usize,
    item_bytes: usize,
) -> Result<&'a [u8], String> {
    let (offset, count) = (u32_at(record, field_offset) as usize, u32_at(record, field_offset + 4) as usize);
    let end = count.checked_mul(item_bytes).and_then(|n| n.checked_add(offset));
    end.and_then(|end| tail.get(offset..end)).ok_or_else(|| {
        format!("event code {}: tail offset {offset} and count {count} leave the frame", record[0])
    })
}

fn u16_at(bytes: &[u8], offset: usize) -> u16 {
    u16::from_le_bytes(bytes_at(bytes, offset))
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes(bytes_at(bytes, offset))
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from_le_bytes(bytes_at(bytes, offset))
}

fn f32_at(bytes: &[u8], offset: usize) -> f32 {
    f32::from_le_bytes(bytes_at(bytes, offset))
}

fn bytes_at<const N: usize>(bytes: &[u8], offset: usize) -> [u8; N] {
    std::array::from_fn(|i| bytes[offset + i])
}

/// A reply under construction; its buffers are reused for every batch.
#[derive(Debug, Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    action_count: u32,
}

impl Reply {
    /// Encodes an action of an instance.
    pub fn push(&mut self, instance_id: u16, action: &Action) {
        let mut record = [0u8; ACTION_RECORD_BYTES];
        record[1..3].copy_from_slice(&instance_id.to_le_bytes());
        match action {
            Action::Send { request, server, timeout } => {
                record[0] = 1;
                write_at(&mut record, 3, &request.to_le_bytes());
                write_at(&mut record, 11, &server.to_le_bytes());
                write_at(&mut record, 15, &encode_duration(*timeout));
            }
            Action::Refuse { request, retry_after } => {
                record[0] = 2;
                write_at(&mut record, 3, &request.to_le_bytes());
                write_at(&mut record, 11, &encode_duration(*retry_after));
            }
            Action::Fail(request) => {
                record[0] = 3;
                write_at(&mut record, 3, &request.to_le_bytes());
            }
            Action::Cancel { request, attempt } => {
                record[0] = 4;
                write_at(&mut record, 3, &request.to_le_bytes());
                write_at(&mut record, 11, &attempt.to_le_bytes());
            }
            Action::Timer { delay, token } => {
                record[0] = 5;
                write_at(&mut record, 3, &encode_duration(*delay));
                write_at(&mut record, 7, &token.to_le_bytes());
            }
            Action::Probe(server) => self.write_server_action(&mut record, 6, *server),
            Action::CloseIdle(server) => self.write_server_action(&mut record, 7, *server),
            Action::Tell { to, bytes } => {
                record[0] = 8;
                write_at(&mut record, 3, &to.unwrap_or(u32::MAX).to_le_bytes());
                self.append_to_tail(&mut record, 7, bytes);
            }
            Action::Log(text) => {
                record[0] = 9;
                self.append_to_tail(&mut record, 3, text.as_bytes());
            }
            Action::Fault(text) => {
                record[0] = 10;
                self.append_to_tail(&mut record, 3, text.as_bytes());
            }
            Action::Subscribe(on) => {
                record[0] = 11;
                record[3] = u8::from(*on);
            }
            Action::FetchList => record[0] = 12,
        }
        self.records.extend_from_slice(&record);
        self.action_count += 1;
    }

    /// Writes the code and the server of an action that has no other field.
    fn write_server_action(&mut self, record: &mut [u8; ACTION_RECORD_BYTES], code: u8, server: ServerId) {
        record[0] = code;
        write_at(record, 3, &server.to_le_bytes());
    }

    /// Appends bytes to the tail and writes their offset and count into the record.
    fn append_to_tail(&mut self, record: &mut [u8; ACTION_RECORD_BYTES], at: usize, bytes: &[u8]) {
        write_at(record, at, &(self.tail.len() as u32).to_le_bytes());
        write_at(record, at + 4, &(bytes.len() as u32).to_le_bytes());
        self.tail.extend_from_slice(bytes);
    }

    /// Writes the reply to batch `batch_number` into `frame` and clears the reply for the next batch.
    pub fn write_frame(&mut self, batch_number: u32, frame: &mut Vec<u8>) {
        frame.clear();
        frame.extend_from_slice(&self.action_count.to_le_bytes());
        frame.extend_from_slice(&((self.records.len() + self.tail.len()) as u32).to_le_bytes());
        frame.extend_from_slice(&batch_number.to_le_bytes());
        frame.extend_from_slice(&self.records);
        frame.extend_from_slice(&self.tail);
        self.records.clear();
        self.tail.clear();
        self.action_count = 0;
    }
}

fn write_at(record: &mut [u8; ACTION_RECORD_BYTES], at: usize, bytes: &[u8]) {
    record[at..at + bytes.len()].copy_from_slice(bytes);
}

/// Encodes a duration as a signed 32-bit number of microseconds; longer durations become the maximum.
fn encode_duration(duration: Micros) -> [u8; 4] {
    u32::try_from(duration).unwrap_or(u32::MAX).min(i32::MAX as u32).to_le_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Returns the record and the tail of a reply that contains only this action.
    fn encode(action: Action) -> (Vec<u8>, Vec<u8>) {
        let (mut reply, mut frame) = (Reply::default(), Vec::new());
        reply.push(3, &action);
        reply.write_frame(12, &mut frame);
        assert_eq!(u32_at(&frame, 0), 1);
        assert_eq!(u32_at(&frame, 4) as usize, frame.len() - 12);
        assert_eq!(u32_at(&frame, 8), 12);
        (frame[12..36].to_vec(), frame[36..].to_vec())
    }

    /// Returns an action record of instance 3 with these fields, each an offset and its bytes.
    fn expected_record(code: u8, fields: &[(usize, &[u8])]) -> Vec<u8> {
        let mut record = vec![0; ACTION_RECORD_BYTES];
        (record[0], record[1]) = (code, 3);
        fields.iter().for_each(|(at, bytes)| record[*at..at + bytes.len()].copy_from_slice(bytes));
        record
    }

    #[test]
    fn every_action_is_encoded_with_its_code_and_its_fields_at_their_offsets() {
        let (id, server, tail_field) =
            (0x0002_dd71_5d3a_91c4u64, 0x0312_4a07u32, vec![0, 0, 0, 0, 2, 0, 0, 0]);
        let (id_bytes, server_bytes) = (id.to_le_bytes(), server.to_le_bytes());
        let cases = [
            (
                Action::Send { request: id, server, timeout: 80_000 },
                expected_record(1, &[(3, &id_bytes), (11, &server_bytes), (15, &80_000u32.to_le_bytes())]),
            ),
            (
                Action::Refuse { request: id, retry_after: 7 },
                expected_record(2, &[(3, &id_bytes), (11, &7u32.to_le_bytes())]),
            ),
            (Action::Fail(id), expected_record(3, &[(3, &id_bytes)])),
            (Action::Cancel { request: id, attempt: 2 }, expected_record(4, &[(3, &id_bytes), (11, &[2])])),
            (
                Action::Timer { delay: 500_000, token: 77 },
                expected_record(5, &[(3, &500_000u32.to_le_bytes()), (7, &[77])]),
            ),
            (Action::Probe(server), expected_record(6, &[(3, &server_bytes)])),
            (Action::CloseIdle(server), expected_record(7, &[(3, &server_bytes)])),
            (
                Action::Tell { to: None, bytes: b"hi".to_vec() },
                expected_record(8, &[(3, &[0xff; 4]), (7, &tail_field)]),
            ),
            (
                Action::Tell { to: Some(4), bytes: b"hi".to_vec() },
                expected_record(8, &[(3, &[4]), (7, &tail_field)]),
            ),
            (Action::Log("hi".into()), expected_record(9, &[(3, &tail_field)])),
            (Action::Fault("hi".into()), expected_record(10, &[(3, &tail_field)])),
            (Action::Subscribe(true), expected_record(11, &[(3, &[1])])),
            (Action::Subscribe(false), expected_record(11, &[])),
            (Action::FetchList, expected_record(12, &[])),
        ];
        for (action, expected) in cases {
            let (record, tail) = encode(action.clone());
            assert_eq!(record, expected, "{action:?}");
            let has_tail = matches!(action, Action::Tell { .. } | Action::Log(_) | Action::Fault(_));
            assert_eq!(tail, if has_tail { b"hi".to_vec() } else { Vec::new() });
        }
    }

    #[test]
    fn requests_and_outcomes_are_decoded_from_their_offsets() {
        let mut body = vec![0u8; 2 * EVENT_RECORD_BYTES];
        body[0] = 4; // event code
        body[3] = 9; // id
        body[11] = 1; // tenant
        body[13] = 7; // expected work present, client retry, write
        body[14] = 2; // class
        body[15] = 50; // expected work
        body[19] = 5; // key
        body[32] = 1; // time left: 256
        let outcome_offset = EVENT_RECORD_BYTES;
        // Event code, request, lookup, elapsed time and attempt.
        (
            body[outcome_offset],
            body[outcome_offset + 3],
            body[outcome_offset + 11],
            body[outcome_offset + 15],
            body[outcome_offset + 19],
        ) = (3, 9, 3, 40, 1);
        body[outcome_offset + 21] = 1; // request finished
        body[outcome_offset + 22..outcome_offset + 24].copy_from_slice(&429u16.to_le_bytes());
        (body[outcome_offset + 24], body[outcome_offset + 28]) = (6, 1); // server, number of load values
        body[outcome_offset + 29..outcome_offset + 33].copy_from_slice(&1.5f32.to_le_bytes());
        let request = Request {
            id: 9,
            class: 2,
            tenant: 1,
            key: 5,
            write: true,
            client_retry: true,
            time_left: 256,
            expected_work: Some(50),
            value_bytes: 0.0,
        };
        assert_eq!(read_record(&body, 2, 0), Ok(Record::Event(0, pondproxy::Event::Request(request))));
        let load = LoadReport { count: 1, values: [1.5, 0.0, 0.0, 0.0] };
        let outcome = Outcome {
            request: 9,
            attempt: 1,
            server: 6,
            status: Status::Rejected,
            request_finished: true,
            lookup: CacheLookup::MissPending,
            elapsed: 40,
            load,
        };
        assert_eq!(read_record(&body, 2, 1), Ok(Record::Event(0, pondproxy::Event::Outcome(outcome))));
    }
}
