//! Encoding of requests to the origin and decoding of its responses (HTTP/1.1).

use bytes::{Buf, BufMut, Bytes, BytesMut};
use pondproxy::Status;

use crate::cache_protocol;
use crate::client_command::Command;
use crate::http::{self, ChunkedDecoder, ResponseHead};
use crate::upstream_pool::{MalformedReply, ServerReply};

/// Maximum number of interim responses (1xx) before the final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// Encodes a client's command for the origin. As for a cache server, the fact `d` states the time that is
/// left now, because some of it was spent on a cache miss or on waiting for the gate.
pub fn encode(command: &Command, left_ms: u64, host: &str) -> Bytes {
    let mut request = BytesMut::with_capacity(512);
    request.put_slice(if command.write { b"PUT /" } else { b"GET /" });
    request.put_slice(&command.key);
    request.put_slice(format!(" HTTP/1.1\r\nHost: {host}\r\nX-Correlation-Id: ").as_bytes());
    request.put_slice(&command.id);
    request.put_slice(
        format!("\r\nX-Facts: {}\r\n", cache_protocol::forwarded_facts(command, left_ms)).as_bytes(),
    );
    let body: &[u8] = command.value.as_deref().unwrap_or(b"");
    if command.write {
        request.put_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    request.put_slice(b"\r\n");
    request.put_slice(body);
    request.freeze()
}

/// Decodes one response as its bytes arrive. Bytes that were decoded are not looked at again, so that the
/// work for a response grows with its length and not with the number of reads.
pub struct ResponseDecoder {
    /// Maximum length of the body.
    max_body_bytes: usize,
    /// Number of interim responses so far.
    interim_responses: usize,
    /// The final response, once its head is complete.
    response: Option<PartialResponse>,
}

impl ResponseDecoder {
    /// Returns a decoder for a response with a body of at most `max_body_bytes`.
    pub fn new(max_body_bytes: usize) -> Self {
        ResponseDecoder { max_body_bytes, interim_responses: 0, response: None }
    }

    /// Removes what can be decoded from the front of a connection's input; returns the reply once the
    /// response is complete.
    pub fn decode(
        &mut self,
        input: &mut BytesMut,
        load_names: &[String],
    ) -> Result<Option<ServerReply>, MalformedReply> {
        if self.response.is_none() {
            self.response = self.decode_heads(input)?;
        }
        let Some(response) = &mut self.response else { return Ok(None) };
        let body = response.body.decode(input, self.max_body_bytes)?;
        Ok(body.map(|body| server_reply(&response.head, body, response.body.is_delimited(), load_names)))
    }

    /// Returns the length that the response states for its body, once its head is complete.
    pub fn declared_length(&self) -> Option<usize> {
        self.response.as_ref()?.head.content_length
    }

    /// Returns how many bytes of the body are held in the decoder.
    pub fn held_bytes(&self) -> usize {
        match &self.response {
            Some(PartialResponse { body: Body::Chunked { content, .. }, .. }) => content.len(),
            _ => 0,
        }
    }

    /// Removes interim responses and the head of the final one; returns the final one once its head is
    /// complete.
    fn decode_heads(&mut self, input: &mut BytesMut) -> Result<Option<PartialResponse>, MalformedReply> {
        loop {
            let Some(head) = http::head(input).map_err(|_| MalformedReply::Invalid)? else {
                return Ok(None);
            };
            input.advance(head.length);
            match head.status {
                100 | 102..200 => self.interim_responses += 1,
                200.. => return PartialResponse::new(head, self.max_body_bytes).map(Some),
                // No request asks for another protocol (101), and there are no status codes below 100.
                _ => return Err(MalformedReply::Invalid),
            }
            if self.interim_responses > MAX_INTERIM_RESPONSES {
                return Err(MalformedReply::TooLong);
            }
        }
    }
}

/// A response whose head is complete.
struct PartialResponse {
    head: ResponseHead,
    body: Body,
}

impl PartialResponse {
    fn new(head: ResponseHead, max_body_bytes: usize) -> Result<Self, MalformedReply> {
        let body = match head.content_length {
            _ if head.chunked => {
                Body::Chunked { decoder: ChunkedDecoder::default(), content: BytesMut::new() }
            }
            Some(length) if length <= max_body_bytes => Body::Sized(length),
            Some(_) => return Err(MalformedReply::TooLong),
            // A body without a stated length ends with its connection and cannot be told from a truncated
            // one, so a value needs a length. Other responses need only their head.
            None if head.status != 200 => Body::Ignored,
            None => return Err(MalformedReply::Invalid),
        };
        Ok(PartialResponse { head, body })
    }
}

/// The body of a response.
enum Body {
    /// A body of a stated length.
    Sized(usize),
    /// A chunked body and its content so far.
    Chunked { decoder: ChunkedDecoder, content: BytesMut },
    /// A body without a stated length, of which nothing is needed.
    Ignored,
}

impl Body {
    /// Removes what belongs to the body from the front of the input; returns the content once it is complete.
    fn decode(
        &mut self,
        input: &mut BytesMut,
        max_body_bytes: usize,
    ) -> Result<Option<Bytes>, MalformedReply> {
        match self {
            Body::Sized(length) if input.len() < *length => Ok(None),
            Body::Sized(length) => Ok(Some(input.split_to(*length).freeze())),
            Body::Chunked { decoder, content } => {
                let complete = decoder.decode(input, content).map_err(|_| MalformedReply::Invalid)?;
                if content.len().saturating_add(decoder.remaining_chunk_bytes()) > max_body_bytes {
                    return Err(MalformedReply::TooLong);
                }
                Ok(complete.then(|| std::mem::take(content).freeze()))
            }
            Body::Ignored => Ok(Some(Bytes::new())),
        }
    }

    /// Whether the end of the body is known, so that another response can follow it.
    fn is_delimited(&self) -> bool {
        // Trailers of a chunked body are not parsed, so later input could not be told from them.
        matches!(self, Body::Sized(_))
    }
}

/// Returns the reply that a complete response stands for.
fn server_reply(head: &ResponseHead, body: Bytes, delimited: bool, load_names: &[String]) -> ServerReply {
    let status = match head.status {
        200 => Status::Success,
        503 | 504 if head.unprocessed => Status::Rejected,
        _ => Status::Error,
    };
    ServerReply {
        status,
        lookup: cache_protocol::parse_lookup(head.lookup.as_deref().unwrap_or("")),
        load: cache_protocol::parse_load_report(head.load.as_deref().unwrap_or(""), load_names),
        value: (status == Status::Success).then_some(body),
        keep_alive: delimited && !head.close,
    }
}

#[cfg(test)]
mod tests;
