//! What is kept, what is passed over, and what it takes of the memory.

use super::*;

fn commands(from: usize, to: usize) -> Vec<u8> {
    (from..to).flat_map(|n| resp::encode_command(&[b"PING", format!("{n:04}").as_bytes()])).collect()
}

fn word(next: Option<BufferItem>) -> String {
    match next {
        Some(BufferItem::Command(words, at)) => format!("{} at {at}", String::from_utf8_lossy(&words[1])),
        other => format!("{other:?}"),
    }
}

#[test]
fn a_command_has_the_time_at_which_its_last_byte_was_read() {
    let mut input = CommandBuffer::new(MemoryBudget::new(32));
    let all = commands(0, 3);
    let one = all.len() / 3;
    input.add(&all[..one - 1], 10);
    assert_eq!(input.next(), None);
    input.add(&all[one - 1..2 * one], 20);
    input.add(&all[2 * one..], 30);
    assert_eq!([0; 3].map(|_| word(input.next())), ["0000 at 20", "0001 at 20", "0002 at 30"]);
    assert_eq!(input.next(), None);
    assert!(input.is_empty());
}

#[test]
fn what_comes_behind_all_that_is_kept_is_counted_in_its_turn_and_what_comes_later_is_read_again() {
    let mut input = CommandBuffer::new(MemoryBudget::new(32));
    let all = commands(0, 100);
    // The last that is kept is cut: it is passed over as a whole.
    let cut = all.len() / 100 * 50 + 3;
    input.add(&all[..cut], 1);
    input.start_skipping();
    all[cut..].chunks(10).for_each(|piece| input.add(piece, 2));
    for n in 0..50 {
        assert_eq!(word(input.next()), format!("{n:04} at 1"));
    }
    assert_eq!(input.next(), Some(BufferItem::Skipped(50)));
    assert_eq!(input.next(), None);
    assert!(input.is_empty() && !input.is_skipping());
    input.add(&commands(100, 101), 3);
    assert_eq!(word(input.next()), "0100 at 3");
}

#[test]
fn what_is_malformed_is_told_behind_what_was_kept_and_what_was_passed_over() {
    let mut input = CommandBuffer::new(MemoryBudget::new(32));
    input.add(&commands(0, 1), 1);
    input.start_skipping();
    input.add(&[&commands(1, 3)[..], b"GET / HTTP/1.1\r\n"].concat(), 2);
    input.add(&commands(3, 9), 2);
    assert_eq!(word(input.next()), "0000 at 1");
    assert_eq!(input.next(), Some(BufferItem::Skipped(2)));
    assert!(matches!(input.next(), Some(BufferItem::Malformed(_))));
}

#[test]
fn what_was_sent_ahead_takes_a_part_of_the_memory_and_gives_it_back() {
    let memory = MemoryBudget::new(16);
    let mut inputs: Vec<_> = (0..200).map(|_| CommandBuffer::new(memory.clone())).collect();
    let flood = commands(0, READ_CHUNK_BYTES / 16);
    let kept = |inputs: &mut [CommandBuffer]| {
        let grown = inputs.iter_mut().map(|input| {
            while input.try_grow() {
                input.add(&flood, 1);
            }
            input.bytes.len()
        });
        let most = grown.fold((0, 0), |(most, sum), len| (len.max(most), len + sum));
        assert!(most.0 <= KEPT + READ_CHUNK_BYTES, "{most:?}");
        most.1
    };
    let most = memory.total_bytes() / 4 + inputs.len() * 2 * READ_CHUNK_BYTES;
    assert!(kept(&mut inputs) <= most);
    assert!(memory.try_reserve(memory.total_bytes() / 2).is_some(), "the rest is there for others");
    for input in &mut inputs {
        while input.next().is_some() {}
    }
    assert!(memory.try_reserve(memory.total_bytes()).is_some(), "all of it was given back");
}
