//! The final answer of a request, and its encoding for the client.

use bytes::{Bytes, BytesMut};
use pondproxy::Micros;

use crate::resp;

/// Maximum length of what frames a value in an answer.
const VALUE_FRAMING_BYTES: usize = 16;

/// The final answer of a request.
pub(super) enum Answer {
    /// The value or receipt that a server made for the request.
    Served(Bytes),
    /// A retry is harmless, and should come after this time; 0 means that no time is given.
    Refused { retry_after: Micros },
    /// The request failed and may have been executed.
    Failed,
}

impl Answer {
    /// Returns the answer as it is written to the client.
    pub(super) fn encode(&self) -> Bytes {
        match self {
            Answer::Served(value) => {
                let mut answer = BytesMut::with_capacity(value.len() + VALUE_FRAMING_BYTES);
                resp::put_bulk(&mut answer, value);
                answer.freeze()
            }
            Answer::Refused { retry_after: 0 } => Bytes::from_static(b"-BUSY\r\n"),
            Answer::Refused { retry_after } => format!("-BUSY {}\r\n", retry_after.div_ceil(1_000)).into(),
            Answer::Failed => Bytes::from_static(b"-ERR failed\r\n"),
        }
    }
}
