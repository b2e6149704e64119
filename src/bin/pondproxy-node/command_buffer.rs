//! What a client has sent and the node has not taken yet: kept with the time at which it was read, within
//! bounds and the node's memory. What comes behind that is passed over and only counted, so that the input is
//! read on to its end however much there is. It knows nothing of sockets or answers.

use std::collections::VecDeque;
use std::mem::{size_of, take};

use bytes::{Bytes, BytesMut};
use pondproxy::Micros;

use crate::client_socket::READ_CHUNK_BYTES;
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::resp::{self, CommandSkipper, ProtocolError};

/// So much is kept of commands that wait for others, in bytes: the longest there is, or some hundred short ones.
const MAX_BUFFERED_BYTES: usize = resp::MAX_VALUE_BYTES + 3 * READ_CHUNK_BYTES;
/// Position of the end of a piece in the input, and when the piece was read.
struct ChunkEnd {
    position: u64,
    received_at: Micros,
}

/// What is next in the input.
#[derive(Debug, PartialEq)]
pub enum BufferItem {
    /// A whole command, and when its last byte was read.
    Command(Vec<Bytes>, Micros),
    /// So many commands that were passed over.
    Skipped(u64),
    /// The framing is lost.
    Malformed(&'static str),
}

/// A client's input.
pub struct CommandBuffer {
    memory: MemoryBudget,
    bytes: BytesMut,
    chunk_ends: VecDeque<ChunkEnd>,
    /// Position of the first byte that is kept.
    start_position: u64,
    /// Memory, and for how many bytes.
    reservations: Vec<MemoryReservation>,
    reserved_bytes: usize,
    /// Passes over what comes behind; then whole commands only are kept.
    skipper: Option<CommandSkipper>,
    protocol_error: Option<ProtocolError>,
}

impl CommandBuffer {
    /// The input of a client that has said nothing.
    pub fn new(memory: MemoryBudget) -> Self {
        let (bytes, chunk_ends, reservations) = (BytesMut::new(), VecDeque::new(), Vec::new());
        CommandBuffer {
            memory,
            bytes,
            chunk_ends,
            start_position: 0,
            reservations,
            reserved_bytes: READ_CHUNK_BYTES,
            skipper: None,
            protocol_error: None,
        }
    }

    /// Whether all that came was taken.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.skipper.is_none()
    }

    /// Whether something has begun that is not taken.
    pub fn has_partial_command(&self) -> bool {
        !self.bytes.is_empty() || self.skipper.as_ref().is_some_and(CommandSkipper::has_partial_command)
    }

    /// Whether what comes is passed over.
    pub fn is_skipping(&self) -> bool {
        self.skipper.is_some()
    }

    /// Whether more can be kept only with more memory.
    pub fn is_full(&self) -> bool {
        self.bytes.len() + self.chunk_ends.len() * size_of::<ChunkEnd>() >= self.reserved_bytes
    }

    /// Keeps more with this memory.
    pub fn add_reservation(&mut self, reservation: MemoryReservation, bytes: usize) {
        self.reservations.push(reservation);
        self.reserved_bytes += bytes;
    }

    /// Finds room for commands that wait for others, if there is any.
    pub fn try_grow(&mut self) -> bool {
        while self.is_full() && self.reserved_bytes < MAX_BUFFERED_BYTES {
            let Some(reservation) = self.memory.try_reserve_pipelined(READ_CHUNK_BYTES) else { return false };
            self.add_reservation(reservation, READ_CHUNK_BYTES);
        }
        !self.is_full()
    }

    /// Adds a piece.
    pub fn add(&mut self, chunk: &[u8], now: Micros) {
        if let Some(skipper) = &mut self.skipper {
            // Behind what is malformed nothing has a meaning.
            if self.protocol_error.is_none() {
                self.protocol_error = skipper.skip(chunk).err();
            }
        } else if !chunk.is_empty() {
            self.bytes.extend_from_slice(chunk);
            let position = self.start_position + self.bytes.len() as u64;
            self.chunk_ends.push_back(ChunkEnd { position, received_at: now });
        }
    }

    /// Passes over all but the commands that are whole, until these are taken.
    pub fn start_skipping(&mut self) {
        let mut skipper = CommandSkipper::default();
        // What is malformed is found again in its turn.
        let complete_bytes = skipper.skip(&self.bytes).unwrap_or(self.bytes.len());
        self.bytes.truncate(complete_bytes);
        skipper.skipped_commands = 0;
        self.skipper = Some(skipper);
    }

    /// Takes what is next, once it is whole.
    pub fn next(&mut self) -> Option<BufferItem> {
        if self.bytes.is_empty() {
            // The room that it took is given back.
            (self.bytes, self.chunk_ends, self.reservations, self.reserved_bytes) =
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
                // The time of a command is that of its last byte, which is still to come.
                self.chunk_ends.clear();
                None
            }
            Err(ProtocolError(message)) => Some(BufferItem::Malformed(message)),
        }
    }
}

#[cfg(test)]
mod tests;
