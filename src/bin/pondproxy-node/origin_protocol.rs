//! Encoding of requests to the origin and decoding of its responses (HTTP/1.1).

use bytes::{BufMut, Bytes, BytesMut};
use pondproxy::Status;

use crate::cache_protocol;
use crate::client_sessions::Command;
use crate::http::{self, ChunkedDecoder};
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

/// Removes a complete response from the front of a connection's input; `None` while it is incomplete.
pub fn decode(
    buffer: &mut BytesMut,
    load_names: &[String],
    max_body_bytes: usize,
) -> Result<Option<ServerReply>, MalformedReply> {
    // Interim responses stay in the buffer until the final one has arrived, so that they are counted again on
    // each call. This stops a server that sends them without end.
    let mut interim_bytes = 0;
    let mut allowed_heads = 0..=MAX_INTERIM_RESPONSES;
    let head = loop {
        allowed_heads.next().ok_or(MalformedReply::TooLong)?;
        let Some(head) = http::head(&buffer[interim_bytes..]).map_err(|_| MalformedReply::Invalid)? else {
            return Ok(None);
        };
        match head.status {
            100 | 102..200 => interim_bytes += head.length,
            200.. => break head,
            // No request asks for another protocol (101), and there are no status codes below 100.
            _ => return Err(MalformedReply::Invalid),
        }
    };
    let body_start = interim_bytes + head.length;
    let mut keep_alive = !head.close;
    let value = if head.chunked {
        let (mut rest, mut body) = (BytesMut::from(&buffer[body_start..]), BytesMut::new());
        if !ChunkedDecoder::default().decode(&mut rest, &mut body).map_err(|_| MalformedReply::Invalid)? {
            return if rest.len() + body.len() > 2 * max_body_bytes {
                Err(MalformedReply::TooLong)
            } else {
                Ok(None)
            };
        }
        // Trailers are not parsed, so later input could not be told from them.
        keep_alive = false;
        if body.len() > max_body_bytes {
            return Err(MalformedReply::TooLong);
        }
        buffer.clear();
        body.freeze()
    } else {
        let length = match head.content_length {
            Some(length) if length <= max_body_bytes => length,
            // A body without a stated length ends with its connection and cannot be told from a truncated
            // one, so a value needs a length. Other responses need only their head.
            None if head.status != 200 => {
                keep_alive = false;
                0
            }
            _ => return Err(MalformedReply::Invalid),
        };
        if buffer.len() < body_start + length {
            return Ok(None);
        }
        let _ = buffer.split_to(body_start);
        buffer.split_to(length).freeze()
    };
    let status = match head.status {
        200 => Status::Success,
        503 | 504 if head.unprocessed => Status::Rejected,
        _ => Status::Error,
    };
    let value = (status == Status::Success).then_some(value);
    let load = cache_protocol::parse_load_report(head.load.as_deref().unwrap_or(""), load_names);
    let lookup = cache_protocol::parse_lookup(head.lookup.as_deref().unwrap_or(""));
    Ok(Some(ServerReply { status, lookup, load, value, keep_alive }))
}
