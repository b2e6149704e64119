//! Tests of what is buffered, what is skipped, and how much memory it takes.

use super::*;

fn encode_pings(from: usize, to: usize) -> Vec<u8> {
    (from..to).flat_map(|n| resp::encode_command(&[b"PING", format!("{n:04}").as_bytes()])).collect()
}

fn describe(next: Option<BufferItem>) -> String {
    match next {
        Some(BufferItem::Command(words, received_at)) => {
            format!("{} at {received_at}", String::from_utf8_lossy(&words[1]))
        }
        other => format!("{other:?}"),
    }
}

#[test]
fn command_carries_the_time_at_which_its_last_byte_was_read() {
    let mut input = CommandBuffer::new(MemoryBudget::new(32));
    let all_commands = encode_pings(0, 3);
    let command_length = all_commands.len() / 3;
    input.add(&all_commands[..command_length - 1], 10);
    assert_eq!(input.next(), None);
    input.add(&all_commands[command_length - 1..2 * command_length], 20);
    input.add(&all_commands[2 * command_length..], 30);
    assert_eq!([0; 3].map(|_| describe(input.next())), ["0000 at 20", "0001 at 20", "0002 at 30"]);
    assert_eq!(input.next(), None);
    assert!(input.is_empty());
}

#[test]
fn commands_beyond_the_buffer_are_counted_in_order_and_later_commands_are_buffered_again() {
    let mut input = CommandBuffer::new(MemoryBudget::new(32));
    let all_commands = encode_pings(0, 100);
    // The last buffered command is incomplete, so it is skipped as a whole.
    let cut = all_commands.len() / 100 * 50 + 3;
    input.add(&all_commands[..cut], 1);
    input.start_skipping();
    all_commands[cut..].chunks(10).for_each(|chunk| input.add(chunk, 2));
    for n in 0..50 {
        assert_eq!(describe(input.next()), format!("{n:04} at 1"));
    }
    assert_eq!(input.next(), Some(BufferItem::Skipped(50)));
    assert_eq!(input.next(), None);
    assert!(input.is_empty() && !input.is_skipping());
    input.add(&encode_pings(100, 101), 3);
    assert_eq!(describe(input.next()), "0100 at 3");
}

#[test]
fn protocol_error_is_reported_after_buffered_and_skipped_commands() {
    let mut input = CommandBuffer::new(MemoryBudget::new(32));
    input.add(&encode_pings(0, 1), 1);
    input.start_skipping();
    input.add(&[&encode_pings(1, 3)[..], b"GET / HTTP/1.1\r\n"].concat(), 2);
    input.add(&encode_pings(3, 9), 2);
    assert_eq!(describe(input.next()), "0000 at 1");
    assert_eq!(input.next(), Some(BufferItem::Skipped(2)));
    assert!(matches!(input.next(), Some(BufferItem::Malformed(_))));
}

#[test]
fn pipelined_input_takes_a_bounded_part_of_the_memory_and_releases_it() {
    let memory = MemoryBudget::new(16);
    let mut inputs: Vec<_> = (0..200).map(|_| CommandBuffer::new(memory.clone())).collect();
    let pipelined = encode_pings(0, READ_CHUNK_BYTES / 16);
    let fill_and_sum = |inputs: &mut [CommandBuffer]| {
        let grown = inputs.iter_mut().map(|input| {
            while input.try_grow() {
                input.add(&pipelined, 1);
            }
            input.bytes.len()
        });
        let (longest, total) = grown.fold((0, 0), |(most, sum), len| (len.max(most), len + sum));
        assert!(
            longest <= MAX_BUFFERED_BYTES + READ_CHUNK_BYTES,
            "{longest} of {total} bytes are in one buffer"
        );
        total
    };
    let limit = memory.total_bytes() / 4 + inputs.len() * 2 * READ_CHUNK_BYTES;
    assert!(fill_and_sum(&mut inputs) <= limit);
    assert!(memory.try_reserve(memory.total_bytes() / 2).is_some(), "the rest stays available to others");
    for input in &mut inputs {
        while input.next().is_some() {}
    }
    assert!(memory.try_reserve(memory.total_bytes()).is_some(), "all of it was released");
}
