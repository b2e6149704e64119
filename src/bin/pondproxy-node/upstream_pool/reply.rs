//! One reply of a server: how it is decoded as its bytes arrive, and the memory that is reserved for it. No
//! I/O.

use bytes::{Bytes, BytesMut};
use pondproxy::{CacheLookup, LoadReport, Status};

use super::Protocol;
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::origin_protocol::ResponseDecoder;
use crate::{cache_protocol, resp};

/// An incomplete reply waits for a reservation of memory once more than this many of its bytes have arrived.
/// A reservation is for at least twice `MAX_VALUE_BYTES`, and a shorter reply does not have to wait for it.
pub const UNRESERVED_REPLY_BYTES: usize = 4096;
/// Number of copies of a reply for which memory is reserved: the received one, and the answer to the client.
const RESERVED_COPIES: usize = 2;
/// Length by which the reservation of a reply grows.
const GROWTH_STEP_BYTES: usize = 64 * 1024;
/// What may arrive with a value and needs no reservation of its own: framing, a load report, and the end of
/// the last read.
pub const REPLY_OVERHEAD_BYTES: usize = 16 * 1024;

/// Why a server's reply cannot be used. Its connection cannot carry another request.
#[derive(Debug, PartialEq, Clone, Copy)]
pub enum MalformedReply {
    /// The reply violates its protocol, or states no length where one is needed.
    Invalid,
    /// The reply is longer than the node accepts.
    TooLong,
    /// The rest of the reply did not arrive in time.
    Stalled,
    /// The reply became longer than expected, and the memory budget is exhausted.
    NoMemory,
}

impl std::fmt::Display for MalformedReply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            MalformedReply::Invalid => write!(f, "invalid"),
            MalformedReply::TooLong => write!(f, "too long"),
            MalformedReply::Stalled => write!(f, "its rest did not arrive in time"),
            MalformedReply::NoMemory => write!(f, "no memory is left for it"),
        }
    }
}

/// A parsed reply of a cache server or the origin.
#[derive(Debug, PartialEq)]
pub struct ServerReply {
    pub status: Status,
    pub lookup: CacheLookup,
    pub load: LoadReport,
    pub value: Option<Bytes>,
    /// Whether the connection can carry another request.
    pub keep_alive: bool,
}

/// The memory that is reserved for a reply. It grows with the reply, because not every reply states its
/// length.
pub struct ReplyMemory<'a> {
    budget: &'a MemoryBudget,
    reservations: Vec<MemoryReservation>,
    /// Length of a reply that the reservations are enough for.
    covered_bytes: usize,
}

impl<'a> ReplyMemory<'a> {
    pub fn new(budget: &'a MemoryBudget) -> Self {
        ReplyMemory { budget, reservations: Vec::new(), covered_bytes: UNRESERVED_REPLY_BYTES }
    }

    /// Whether the first reservation was made.
    pub fn is_reserved(&self) -> bool {
        !self.reservations.is_empty()
    }

    /// Makes the first reservation, for a reply with a value of `expected_bytes`. Long replies may together
    /// exceed the memory budget, so each waits for this reservation.
    pub async fn reserve(&mut self, expected_bytes: usize) {
        self.reservations.push(self.budget.reserve(RESERVED_COPIES * expected_bytes).await);
        self.covered_bytes = expected_bytes + REPLY_OVERHEAD_BYTES;
    }

    /// Reserves more memory if a reply has become longer than expected; returns `false` if none is left. Does
    /// not wait, because the reply holds memory that others may be waiting for.
    pub fn grow_to(&mut self, received_bytes: usize) -> bool {
        while self.covered_bytes < received_bytes {
            let growth_bytes = RESERVED_COPIES * GROWTH_STEP_BYTES;
            let Some(reservation) = self.budget.try_reserve_reply_growth(growth_bytes) else { return false };
            self.reservations.push(reservation);
            self.covered_bytes += GROWTH_STEP_BYTES;
        }
        true
    }
}

/// Decodes one reply as its bytes arrive.
pub enum ReplyDecoder {
    Resp { max_value_bytes: usize },
    Http(ResponseDecoder),
}

impl ReplyDecoder {
    pub fn new(protocol: Protocol, max_value_bytes: usize) -> Self {
        match protocol {
            Protocol::Resp => ReplyDecoder::Resp { max_value_bytes },
            Protocol::Http => ReplyDecoder::Http(ResponseDecoder::new(max_value_bytes)),
        }
    }

    /// Removes what can be decoded from the front of the input; returns the reply once it is complete.
    pub fn decode(
        &mut self,
        input: &mut BytesMut,
        load_names: &[String],
    ) -> Result<Option<ServerReply>, MalformedReply> {
        match self {
            ReplyDecoder::Resp { max_value_bytes } => {
                cache_protocol::decode(input, load_names, *max_value_bytes)
            }
            ReplyDecoder::Http(decoder) => decoder.decode(input, load_names),
        }
    }

    /// Returns the length that the reply states for its value, if that has arrived.
    pub fn declared_length(&self, input: &[u8]) -> Option<usize> {
        match self {
            ReplyDecoder::Resp { .. } => resp::declared_length(input),
            ReplyDecoder::Http(decoder) => decoder.declared_length(),
        }
    }

    /// Returns how many bytes the decoder has taken from the input and holds.
    pub fn held_bytes(&self) -> usize {
        match self {
            ReplyDecoder::Resp { .. } => 0,
            ReplyDecoder::Http(decoder) => decoder.held_bytes(),
        }
    }
}
