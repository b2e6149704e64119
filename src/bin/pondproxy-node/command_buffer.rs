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
const KEPT: usize = resp::MAX_VALUE_BYTES + 3 * READ_CHUNK_BYTES;
/// Position of the end of a piece in the input, and when the piece was read.
type Mark = (u64, Micros);

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
    marks: VecDeque<Mark>,
    /// Position of the first byte that is kept.
    start: u64,
    /// Memory, and for how many bytes.
    reservations: Vec<MemoryReservation>,
    room: usize,
    /// Passes over what comes behind; then whole commands only are kept.
    skip: Option<CommandSkipper>,
    malformed: Option<ProtocolError>,
}

impl CommandBuffer {
    /// The input of a client that has said nothing.
    pub fn new(memory: MemoryBudget) -> Self {
        let (bytes, marks, reservations) = (BytesMut::new(), VecDeque::new(), Vec::new());
        CommandBuffer {
            memory,
            bytes,
            marks,
            start: 0,
            reservations,
            room: READ_CHUNK_BYTES,
            skip: None,
            malformed: None,
        }
    }

    /// Whether all that came was taken.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.skip.is_none()
    }

    /// Whether something has begun that is not taken.
    pub fn has_partial_command(&self) -> bool {
        !self.bytes.is_empty() || self.skip.as_ref().is_some_and(CommandSkipper::has_partial_command)
    }

    /// Whether what comes is passed over.
    pub fn is_skipping(&self) -> bool {
        self.skip.is_some()
    }

    /// Whether more can be kept only with more memory.
    pub fn is_full(&self) -> bool {
        self.bytes.len() + self.marks.len() * size_of::<Mark>() >= self.room
    }

    /// Keeps more with this memory.
    pub fn add_reservation(&mut self, reservation: MemoryReservation, bytes: usize) {
        self.reservations.push(reservation);
        self.room += bytes;
    }

    /// Finds room for commands that wait for others, if there is any.
    pub fn try_grow(&mut self) -> bool {
        while self.is_full() && self.room < KEPT {
            let Some(reservation) = self.memory.try_reserve_pipelined(READ_CHUNK_BYTES) else { return false };
            self.add_reservation(reservation, READ_CHUNK_BYTES);
        }
        !self.is_full()
    }

    /// Adds a piece.
    pub fn add(&mut self, piece: &[u8], now: Micros) {
        if let Some(skip) = &mut self.skip {
            // Behind what is malformed nothing has a meaning.
            if self.malformed.is_none() {
                self.malformed = skip.skip(piece).err();
            }
        } else if !piece.is_empty() {
            self.bytes.extend_from_slice(piece);
            self.marks.push_back((self.start + self.bytes.len() as u64, now));
        }
    }

    /// Passes over all but the commands that are whole, until these are taken.
    pub fn start_skipping(&mut self) {
        let mut skip = CommandSkipper::default();
        // What is malformed is found again in its turn.
        let whole = skip.skip(&self.bytes).unwrap_or(self.bytes.len());
        self.bytes.truncate(whole);
        skip.skipped_commands = 0;
        self.skip = Some(skip);
    }

    /// Takes what is next, once it is whole.
    pub fn next(&mut self) -> Option<BufferItem> {
        if self.bytes.is_empty() {
            // The room that it took is given back.
            (self.bytes, self.marks, self.reservations, self.room) =
                (BytesMut::new(), VecDeque::new(), Vec::new(), READ_CHUNK_BYTES);
            let skip = self.skip.as_mut()?;
            match (take(&mut skip.skipped_commands), self.malformed) {
                (0, Some(ProtocolError(what))) => return Some(BufferItem::Malformed(what)),
                (0, None) if skip.has_partial_command() => {}
                (0, None) => self.skip = None,
                (whole, _) => return Some(BufferItem::Skipped(whole)),
            }
            return None;
        }
        let before = self.bytes.len();
        match resp::take_command(&mut self.bytes) {
            Ok(Some(words)) => {
                self.start += (before - self.bytes.len()) as u64;
                while self.marks.front().is_some_and(|(end, _)| *end < self.start) {
                    self.marks.pop_front();
                }
                let at = self.marks.front().map_or(0, |(_, at)| *at);
                Some(BufferItem::Command(words, at))
            }
            Ok(None) => {
                // The time of a command is that of its last byte, which is still to come.
                self.marks.clear();
                None
            }
            Err(ProtocolError(what)) => Some(BufferItem::Malformed(what)),
        }
    }
}

#[cfg(test)]
mod tests;
