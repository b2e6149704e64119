//! Buffer for the commands that a client has sent and the session has not handled yet.
//!
//! Input is kept with the time at which it was read, within a limit and the node's memory budget. Input
//! beyond that is skipped and only its commands are counted, so that a connection can be read to its end
//! however much a client sends. The buffer knows nothing of sockets or replies.

use std::collections::VecDeque;
use std::mem::{size_of, take};

use bytes::{Bytes, BytesMut};
use pondproxy::Micros;

use crate::client_socket::READ_CHUNK_BYTES;
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::resp::{self, CommandSkipper, ProtocolError};

/// Maximum number of buffered bytes of commands that wait for earlier ones: enough for the longest command,
/// or for some hundred short ones.
const MAX_BUFFERED_BYTES: usize = resp::MAX_VALUE_BYTES + 3 * READ_CHUNK_BYTES;

/// End position of a chunk in the input, and the time at which the chunk was read.
struct ChunkEnd {
    position: u64,
    received_at: Micros,
}

/// The next item of the input.
#[derive(Debug, PartialEq)]
pub enum BufferItem {
    /// A complete command, and the time at which its last byte was read.
    Command(Vec<Bytes>, Micros),
    /// Number of commands that were skipped.
    Skipped(u64),
    /// The input is malformed, so the framing of all that follows is lost.
    Malformed(&'static str),
}

/// The buffered input of a client.
pub struct CommandBuffer {
    memory: MemoryBudget,
    bytes: BytesMut,
    chunk_ends: VecDeque<ChunkEnd>,
    /// Position in the input of the first buffered byte.
    start_position: u64,
    /// Reserved memory for the input beyond the first `READ_CHUNK_BYTES`.
    reservations: Vec<MemoryReservation>,
    /// Number of bytes that may be buffered: the first `READ_CHUNK_BYTES`, and those that are reserved.
    capacity_bytes: usize,
    /// Skips new input. While set, `bytes` holds only complete commands, or ends with malformed input.
    skipper: Option<CommandSkipper>,
    /// The first error in the skipped input.
    protocol_error: Option<ProtocolError>,
}

impl CommandBuffer {
    /// Creates an empty buffer.
    pub fn new(memory: MemoryBudget) -> Self {
        let (bytes, chunk_ends, reservations) = (BytesMut::new(), VecDeque::new(), Vec::new());
        CommandBuffer {
            memory,
            bytes,
            chunk_ends,
            start_position: 0,
            reservations,
            capacity_bytes: READ_CHUNK_BYTES,
            skipper: None,
            protocol_error: None,
        }
    }

    /// Whether all input was handled, skipped input included.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.skipper.is_none()
    }

    /// Whether a command has begun that is not handled yet. Also `true` for a complete command that waits in
    /// the buffer.
    pub fn has_partial_command(&self) -> bool {
        !self.bytes.is_empty() || self.skipper.as_ref().is_some_and(CommandSkipper::has_partial_command)
    }

    /// Whether new input is skipped.
    pub fn is_skipping(&self) -> bool {
        self.skipper.is_some()
    }

    /// Whether more memory is needed to buffer more input.
    pub fn is_full(&self) -> bool {
        self.bytes.len() + self.chunk_ends.len() * size_of::<ChunkEnd>() >= self.capacity_bytes
    }

    /// Adds reserved memory for `bytes` more bytes. Allocates it at once: a buffer that grew by doubling
    /// would leave gaps in the heap, which are too small for the next buffer.
    pub fn add_reservation(&mut self, reservation: MemoryReservation, bytes: usize) {
        self.reservations.push(reservation);
        self.capacity_bytes += bytes;
        self.bytes.reserve(bytes);
    }

    /// Reserves memory for commands that wait for earlier ones if the buffer is full; returns whether there
    /// is room for more input.
    pub fn try_grow(&mut self) -> bool {
        while self.is_full() && self.capacity_bytes < MAX_BUFFERED_BYTES {
            let Some(reservation) = self.memory.try_reserve_pipelined(READ_CHUNK_BYTES) else { return false };
            self.add_reservation(reservation, READ_CHUNK_BYTES);
        }
        !self.is_full()
    }

    /// Adds a chunk of input that was read at `now`.
    pub fn add(&mut self, chunk: &[u8], now: Micros) {
        if let Some(skipper) = &mut self.skipper {
            // Input after malformed input cannot be parsed.
            if self.protocol_error.is_none() {
                self.protocol_error = skipper.skip(chunk).err();
            }
        } else if !chunk.is_empty() {
            self.bytes.extend_from_slice(chunk);
            let position = self.start_position + self.bytes.len() as u64;
            self.chunk_ends.push_back(ChunkEnd { position, received_at: now });
        }
    }

    /// Starts to skip all input except the complete commands in the buffer. Skipping ends when these were
    /// handled, the number of skipped commands was returned, and no skipped command is incomplete.
    pub fn start_skipping(&mut self) {
        let mut skipper = CommandSkipper::default();
        // Malformed input stays in the buffer and is reported by `next` in order.
        let complete_bytes = skipper.skip(&self.bytes).unwrap_or(self.bytes.len());
        self.bytes.truncate(complete_bytes);
        skipper.skipped_commands = 0;
        self.skipper = Some(skipper);
    }

    /// Removes and returns the next item; `None` if there is no complete command and nothing to report about
    /// skipped input.
    pub fn next(&mut self) -> Option<BufferItem> {
        if self.bytes.is_empty() {
            // Releases the reserved memory.
            (self.bytes, self.chunk_ends, self.reservations, self.capacity_bytes) =
                (BytesMut::new(), VecDeque::new(), Vec::new(), READ_CHUNK_BYTES);
            let skipper = self.skipper.as_mut()?;
            match (take(&mut skipper.skipped_commands), self.protocol_error) {
                (0, Some(ProtocolError(message))) => return Some(BufferItem::Malformed(message)),
                (0, None) if skipper.has_partial_command() => {}
                (0, None) => self.skipper = None,
                (skipped, _) => return Some(BufferItem::Skipped(skipped)),
            }
            return None;
        }
        let length_before = self.bytes.len();
        match resp::take_command(&mut self.bytes) {
            Ok(Some(words)) => {
                self.start_position += (length_before - self.bytes.len()) as u64;
                while self.chunk_ends.front().is_some_and(|end| end.position < self.start_position) {
                    self.chunk_ends.pop_front();
                }
                let received_at = self.chunk_ends.front().map_or(0, |end| end.received_at);
                Some(BufferItem::Command(words, received_at))
            }
            Ok(None) => {
                // The receive time of a command is that of its last byte, which has not arrived yet, so
                // earlier times are not needed.
                self.chunk_ends.clear();
                None
            }
            Err(ProtocolError(message)) => Some(BufferItem::Malformed(message)),
        }
    }
}

#[cfg(test)]
mod tests;
