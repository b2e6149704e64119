//! Tests the simulator's adapter (`pondproxy-sim`) as a process: the tests write batches of event records to
//! its standard input and read the replies from its standard output.
#![allow(missing_docs)]

use std::io::{Read, Write};
use std::process::{Child, Command, Output, Stdio};

/// Settings with one class, a separate origin (machine type 1) and a key that the adapter has to ignore
/// (`unknown`).
const SETTINGS: &str = r#"{"balancers":1,"classes":[{"deadlineUs":1500000,"effect":"pure","goalTimeUs":750000,
 "gain":1.0,"name":"a"}],"discovery":"ask","unknown":{"x":1},"limits":{"maxAttempts":3},
 "specifics":{"mode":"aside","originKind":1},"periodUs":1000}"#;

/// A batch under construction: its event records and the tail that they refer to.
#[derive(Default)]
struct Batch {
    records: Vec<[u8; 48]>,
    tail: Vec<u8>,
}

impl Batch {
    /// Adds an event record with these fields, each an offset and its bytes.
    fn push_record(&mut self, code: u8, instance_id: u16, fields: &[(usize, &[u8])]) -> &mut Self {
        let mut record = [0u8; 48];
        record[0] = code;
        record[1..3].copy_from_slice(&instance_id.to_le_bytes());
        for (at, bytes) in fields {
            record[*at..at + bytes.len()].copy_from_slice(bytes);
        }
        self.records.push(record);
        self
    }

    /// Appends bytes to the tail and returns the field that refers to them: offset and item count.
    fn append_to_tail(&mut self, bytes: &[u8], count: usize) -> [u8; 8] {
        let mut field = [0u8; 8];
        field[..4].copy_from_slice(&(self.tail.len() as u32).to_le_bytes());
        field[4..].copy_from_slice(&(count as u32).to_le_bytes());
        self.tail.extend_from_slice(bytes);
        field
    }

    /// Adds the start of an instance.
    fn push_start(&mut self, instance_id: u16, settings: &str) -> &mut Self {
        let tail_field = self.append_to_tail(settings.as_bytes(), settings.len());
        self.push_record(5, instance_id, &[(3, &7u64.to_le_bytes()), (11, &tail_field)])
    }

    /// Adds a numbered list of ready servers (id, machine type) and the event that the instance receives it.
    fn push_list(&mut self, instance_id: u16, number: u16, kind: u8, servers: &[(u32, u16)]) -> &mut Self {
        let mut entries = Vec::new();
        for (id, machine_type) in servers {
            entries.extend_from_slice(&[0; 9]);
            entries.push(1);
            entries.extend_from_slice(&id.to_le_bytes());
            entries.extend_from_slice(&[0; 2]);
            entries.extend_from_slice(&machine_type.to_le_bytes());
            entries.extend_from_slice(&1f32.to_le_bytes());
        }
        let tail_field = self.append_to_tail(&entries, servers.len());
        self.push_record(9, number, &[(3, &tail_field)]);
        self.push_record(10, instance_id, &[(3, &number.to_le_bytes()), (9, &[kind])])
    }

    /// Adds a request.
    fn push_request(&mut self, instance_id: u16, id: u64, key: u64) -> &mut Self {
        let time_left = 1_500_000u32.to_le_bytes();
        self.push_record(
            4,
            instance_id,
            &[(3, &id.to_le_bytes()), (19, &key.to_le_bytes()), (31, &time_left)],
        )
    }

    /// Adds the outcome of an attempt.
    fn push_outcome(
        &mut self,
        instance_id: u16,
        id: u64,
        attempt: u16,
        server: u32,
        status: u16,
    ) -> &mut Self {
        let (id, attempt, server) = (id.to_le_bytes(), attempt.to_le_bytes(), server.to_le_bytes());
        self.push_record(
            3,
            instance_id,
            &[(3, &id), (19, &attempt), (22, &status.to_le_bytes()), (24, &server)],
        )
    }

    /// Returns the frame of this batch.
    fn encode(&self, now: u64, number: u32) -> Vec<u8> {
        let length = (self.records.len() * 48 + self.tail.len()) as u32;
        let mut frame = now.to_le_bytes().to_vec();
        frame.extend_from_slice(&length.to_le_bytes());
        frame.extend_from_slice(&(self.records.len() as u32).to_le_bytes());
        frame.extend_from_slice(&number.to_le_bytes());
        self.records.iter().for_each(|r| frame.extend_from_slice(r));
        frame.extend_from_slice(&self.tail);
        frame
    }
}

fn spawn_adapter() -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pondproxy-sim"));
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command.spawn().expect("the adapter starts")
}

/// Runs the adapter with this input until it exits.
fn run_adapter(input: &[u8]) -> Output {
    let mut child = spawn_adapter();
    // The adapter stops reading at the first error, so a broken pipe is expected.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

fn u32_at(b: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(b[at..at + 4].try_into().unwrap())
}

/// Splits an output into replies and returns the action records of each.
fn decode_replies(mut output: &[u8]) -> Vec<Vec<Vec<u8>>> {
    let mut replies = Vec::new();
    while !output.is_empty() {
        let (count, length) = (u32_at(output, 0) as usize, u32_at(output, 4) as usize);
        assert!(length >= count * 24);
        let body = &output[12..12 + length];
        replies.push((0..count).map(|i| body[i * 24..(i + 1) * 24].to_vec()).collect());
        output = &output[12 + length..];
    }
    replies
}

/// Returns the attempts that these action records send: instance, request and server.
fn sent_attempts(records: &[Vec<u8>]) -> Vec<(u16, u64, u32)> {
    let instance_id = |r: &[u8]| u16::from_le_bytes([r[1], r[2]]);
    let request_id = |r: &[u8]| u64::from_le_bytes(r[3..11].try_into().unwrap());
    let send_records = records.iter().filter(|r| r[0] == 1);
    send_records.map(|r| (instance_id(r), request_id(r), u32_at(r, 11))).collect()
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    // Time, length of the body, number of records and number of the batch. The expected reply is the one that
    // the description of the simulator's protocol gives for an empty batch.
    let input = [0x5a, 0x5c, 0x80, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0];
    let output = run_adapter(&input);
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0]);
}

#[test]
fn the_adapter_exits_successfully_and_without_output_on_empty_input() {
    let output = run_adapter(&[]);
    assert!(output.status.success() && output.stdout.is_empty() && output.stderr.is_empty());
}

#[test]
fn each_batch_is_answered_before_the_next_while_a_read_is_sent_missed_and_fetched() {
    let mut child = spawn_adapter();
    let (mut stdin, mut stdout) = (child.stdin.take().unwrap(), child.stdout.take().unwrap());
    let mut exchange = |batch: &Batch, now: u64, number: u32| {
        stdin.write_all(&batch.encode(now, number)).unwrap();
        let mut header = [0u8; 12];
        stdout.read_exact(&mut header).unwrap();
        assert_eq!(u32_at(&header, 8), number);
        let mut body = vec![0u8; u32_at(&header, 4) as usize];
        stdout.read_exact(&mut body).unwrap();
        decode_replies(&[&header[..], &body[..]].concat()).remove(0)
    };
    let mut first = Batch::default();
    first.push_start(3, SETTINGS).push_list(3, 0, 1, &[(11, 0), (500, 1)]).push_request(3, 77, 9);
    let actions = exchange(&first, 1_000_000, 1);
    assert_eq!(sent_attempts(&actions), [(3, 77, 11)]);
    assert!(
        actions.iter().any(|r| r[0] == 11 && r[3] == 1),
        "subscribes where the balancer must ask discovery"
    );
    let mut second = Batch::default();
    second.push_outcome(3, 77, 0, 11, 204);
    assert_eq!(sent_attempts(&exchange(&second, 1_010_000, 2)), [(3, 77, 500)]);
    let mut third = Batch::default();
    third.push_outcome(3, 77, 1, 500, 200);
    assert_eq!(sent_attempts(&exchange(&third, 1_020_000, 3)), []);
    drop(stdin);
    assert!(child.wait().unwrap().success());
}

#[test]
fn list_numbers_are_resolved_in_the_order_of_events() {
    let mut batch = Batch::default();
    batch.push_start(0, SETTINGS).push_start(1, SETTINGS);
    batch.push_list(0, 4, 1, &[(11, 0)]).push_list(1, 4, 1, &[(22, 0)]);
    batch.push_request(0, 1, 9).push_request(1, 2, 9);
    let output = run_adapter(&batch.encode(1_000_000, 1));
    assert_eq!(sent_attempts(&decode_replies(&output.stdout)[0]), [(0, 1, 11), (1, 2, 22)]);
}

#[test]
fn an_instance_stopped_and_started_in_one_batch_serves_from_its_new_list() {
    let mut batch = Batch::default();
    batch.push_start(0, SETTINGS).push_list(0, 0, 1, &[(11, 0)]);
    batch.push_record(7, 0, &[]).push_start(0, SETTINGS).push_list(0, 1, 1, &[(12, 0)]).push_request(0, 1, 9);
    let output = run_adapter(&batch.encode(1_000_000, 1));
    assert_eq!(sent_attempts(&decode_replies(&output.stdout)[0]), [(0, 1, 12)]);
}

#[test]
fn every_outcome_code_and_every_event_code_except_stop_is_accepted() {
    let mut batch = Batch::default();
    batch.push_start(0, SETTINGS).push_list(0, 0, 1, &[(11, 0)]).push_request(0, 1, 9);
    let message = batch.append_to_tail(b"hello", 5);
    // The codes stand for `ClientGone`, `Timer`, `Probed`, `AnswerBegan`, `DiscoveryFailed` (as a list of
    // kind 2) and `PeerMessage`.
    batch.push_record(1, 0, &[(3, &99u64.to_le_bytes())]);
    batch.push_record(2, 0, &[(3, &5u32.to_le_bytes())]);
    batch.push_record(6, 0, &[(3, &200u16.to_le_bytes()), (9, &11u32.to_le_bytes()), (13, &[4])]);
    batch.push_record(8, 0, &[(3, &1u64.to_le_bytes()), (11, &11u32.to_le_bytes())]);
    batch.push_record(10, 0, &[(9, &[2])]);
    batch.push_record(11, 0, &[(3, &1u32.to_le_bytes()), (7, &message)]);
    for (attempt, status) in [200, 502, 429, 408, 521, 520, 444, 409, 204].into_iter().enumerate() {
        batch.push_outcome(0, 1, attempt as u16, 11, status);
    }
    assert!(run_adapter(&batch.encode(1_000_000, 1)).status.success());
}

#[test]
fn the_adapter_exits_on_malformed_input_with_one_error_line_and_without_a_partial_reply() {
    let frame_after_start = |add_records: &dyn Fn(&mut Batch)| {
        let mut batch = Batch::default();
        batch.push_start(0, SETTINGS).push_list(0, 0, 1, &[(11, 0)]);
        add_records(&mut batch);
        batch.encode(1_000_000, 1)
    };
    let valid_frame = frame_after_start(&|_| {});
    let mut with_excessive_length = valid_frame.clone();
    with_excessive_length[8..12].copy_from_slice(&u32::MAX.to_le_bytes());
    let mut with_excessive_records = valid_frame.clone();
    with_excessive_records[12..16].copy_from_slice(&u32::MAX.to_le_bytes());
    let mut bad_settings = Batch::default();
    bad_settings.push_start(0, "{\"classes\": 3}");
    let mut bad_effect = Batch::default();
    bad_effect.push_start(0, "{\"classes\": [{\"effect\": \"maybe\"}]}");
    let out_of_range_tail_field = [0xff, 0xff, 0xff, 0xff, 9, 0, 0, 0];
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("truncated frame", valid_frame[..10].to_vec()),
        ("truncated frame", valid_frame[..60].to_vec()),
        ("truncated frame", with_excessive_length),
        ("records exceed", with_excessive_records),
        (
            "unknown event code 77",
            frame_after_start(&|batch| {
                batch.push_record(77, 0, &[]);
            }),
        ),
        (
            "unknown instance 5",
            frame_after_start(&|batch| {
                batch.push_request(5, 1, 9);
            }),
        ),
        (
            "unknown instance 5",
            frame_after_start(&|batch| {
                batch.push_record(7, 5, &[]);
            }),
        ),
        (
            "unknown outcome 999",
            frame_after_start(&|batch| {
                batch.push_outcome(0, 1, 0, 11, 999);
            }),
        ),
        (
            "leave the frame",
            frame_after_start(&|batch| {
                batch.push_record(9, 0, &[(3, &out_of_range_tail_field)]);
            }),
        ),
        (
            "leave the frame",
            frame_after_start(&|batch| {
                batch.push_record(11, 0, &[(7, &out_of_range_tail_field)]);
            }),
        ),
        (
            "out of range",
            frame_after_start(&|batch| {
                batch.push_record(9, 16, &[]);
            }),
        ),
        (
            "unknown list 7",
            frame_after_start(&|batch| {
                batch.push_record(10, 0, &[(3, &[7, 0])]);
            }),
        ),
        (
            "unknown kind 9",
            frame_after_start(&|batch| {
                batch.push_record(10, 0, &[(9, &[9])]);
            }),
        ),
        (
            "class 3",
            frame_after_start(&|batch| {
                batch.push_record(4, 0, &[(14, &[3])]);
            }),
        ),
        (
            "tenant 2",
            frame_after_start(&|batch| {
                batch.push_record(4, 0, &[(11, &[2])]);
            }),
        ),
        ("unreadable settings", bad_settings.encode(1, 1)),
        ("unreadable settings", bad_effect.encode(1, 1)),
    ];
    for (expected, input) in cases {
        let output = run_adapter(&input);
        let message = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{expected}: {message}");
        assert!(message.contains(expected), "expected {expected:?} in {message:?}");
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(output.stdout.is_empty(), "{expected}: no partial reply");
    }
}
