//! What a client has sent and the node has not taken yet: kept with the time at which it was read, within
//! bounds and the node's memory. What comes behind that is passed over and only counted, so that the input is
//! read on to its end however much there is. It knows nothing of sockets or answers.

use std::collections::VecDeque;
use std::mem::{size_of, take};

use bytes::{Bytes, BytesMut};
use pondproxy::Micros;

use crate::client_socket::PIECE;
use crate::memory_budget::{Memory, Share};
use crate::resp::{self, Malformed, Skip};

/// So much is kept of commands that wait for others, in bytes: the longest there is, or some hundred short ones.
const KEPT: usize = resp::MAX_VALUE + 3 * PIECE;
/// Position of the end of a piece in the input, and when the piece was read.
type Mark = (u64, Micros);

/// What is next in the input.
#[derive(Debug, PartialEq)]
pub enum Next {
    /// A whole command, and when its last byte was read.
    Command(Vec<Bytes>, Micros),
    /// So many commands that were passed over.
    Skipped(u64),
    /// The framing is lost.
    Malformed(&'static str),
}

/// A client's input.
pub struct Backlog {
    memory: Memory,
    bytes: BytesMut,
    marks: VecDeque<Mark>,
    /// Position of the first byte that is kept.
    start: u64,
    /// Memory, and for how many bytes.
    shares: Vec<Share>,
    room: usize,
    /// Passes over what comes behind; then whole commands only are kept.
    skip: Option<Skip>,
    malformed: Option<Malformed>,
}

impl Backlog {
    /// The input of a client that has said nothing.
    pub fn new(memory: Memory) -> Self {
        let (bytes, marks, shares) = (BytesMut::new(), VecDeque::new(), Vec::new());
        Backlog { memory, bytes, marks, start: 0, shares, room: PIECE, skip: None, malformed: None }
    }

    /// Whether all that came was taken.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.skip.is_none()
    }

    /// Whether something has begun that is not taken.
    pub fn begun(&self) -> bool {
        !self.bytes.is_empty() || self.skip.as_ref().is_some_and(Skip::begun)
    }

    /// Whether what comes is passed over.
    pub fn skipping(&self) -> bool {
        self.skip.is_some()
    }

    /// Whether more can be kept only with more memory.
    pub fn full(&self) -> bool {
        self.bytes.len() + self.marks.len() * size_of::<Mark>() >= self.room
    }

    /// Keeps more with this memory.
    pub fn hold(&mut self, share: Share, bytes: usize) {
        self.shares.push(share);
        self.room += bytes;
    }

    /// Finds room for commands that wait for others, if there is any.
    pub fn grow(&mut self) -> bool {
        while self.full() && self.room < KEPT {
            let Some(share) = self.memory.try_take_ahead(PIECE) else { return false };
            self.hold(share, PIECE);
        }
        !self.full()
    }

    /// Adds a piece.
    pub fn add(&mut self, piece: &[u8], now: Micros) {
        if let Some(skip) = &mut self.skip {
            // Behind what is malformed nothing has a meaning.
            if self.malformed.is_none() {
                self.malformed = skip.pass(piece).err();
            }
        } else if !piece.is_empty() {
            self.bytes.extend_from_slice(piece);
            self.marks.push_back((self.start + self.bytes.len() as u64, now));
        }
    }

    /// Passes over all but the commands that are whole, until these are taken.
    pub fn skip(&mut self) {
        let mut skip = Skip::default();
        // What is malformed is found again in its turn.
        let whole = skip.pass(&self.bytes).unwrap_or(self.bytes.len());
        self.bytes.truncate(whole);
        skip.whole = 0;
        self.skip = Some(skip);
    }

    /// Takes what is next, once it is whole.
    pub fn next(&mut self) -> Option<Next> {
        if self.bytes.is_empty() {
            // The room that it took is given back.
            (self.bytes, self.marks, self.shares, self.room) =
                (BytesMut::new(), VecDeque::new(), Vec::new(), PIECE);
            let skip = self.skip.as_mut()?;
            match (take(&mut skip.whole), self.malformed) {
                (0, Some(Malformed(what))) => return Some(Next::Malformed(what)),
                (0, None) if skip.begun() => {}
                (0, None) => self.skip = None,
                (whole, _) => return Some(Next::Skipped(whole)),
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
                Some(Next::Command(words, at))
            }
            Ok(None) => {
                // The time of a command is that of its last byte, which is still to come.
                self.marks.clear();
                None
            }
            Err(Malformed(what)) => Some(Next::Malformed(what)),
        }
    }
}

#[cfg(test)]
mod tests;
