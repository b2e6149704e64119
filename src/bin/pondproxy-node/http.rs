//! The parts of HTTP/1.1 that the node needs as a client: parsing of response heads and of chunked bodies.

use bytes::{Buf, BytesMut};

/// The response violates HTTP/1.1 or exceeds a limit.
#[derive(Debug, PartialEq, Clone, Copy)]
pub struct MalformedResponse;

/// Maximum length of a response head, and of a line with the size of a chunk.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 48;
/// Framing of a chunk that is not counted as excess: the line with its size, and short extensions.
const FRAMING_BYTES_PER_CHUNK: usize = 32;
/// Maximum excess framing of a body. Without a limit, chunks with long extensions would never end a body
/// that has hardly any content.
const MAX_EXCESS_FRAMING_BYTES: usize = 16 * 1024;

/// The head of a response.
#[derive(Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Length of the head in bytes.
    pub length: usize,
    pub status: u16,
    /// Length of the body, if stated.
    pub content_length: Option<usize>,
    /// Whether the body is chunked.
    pub chunked: bool,
    /// Whether the server closes the connection after this response.
    pub close: bool,
    /// Whether the server states that it did not execute the request (`X-Unprocessed: 1`).
    pub unprocessed: bool,
    /// Load report (`X-Backend-Load`).
    pub load: Option<String>,
    /// Result of the cache lookup (`X-Lookup`).
    pub lookup: Option<String>,
}

/// Parses the response head at the start of `buffer`; returns `None` while the head is incomplete.
pub fn head(buffer: &[u8]) -> Result<Option<ResponseHead>, MalformedResponse> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(MalformedResponse),
    };
    let status = response.code.unwrap_or(0);
    let mut head =
        ResponseHead { length, status, close: response.version == Some(0), ..ResponseHead::default() };
    for header in response.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => {
                // Rejects a signed length, and two lengths that differ: HTTP implementations disagree on the
                // meaning of both.
                let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
                let length = value.parse().ok().filter(|_| digits).ok_or(MalformedResponse)?;
                if head.content_length.is_some_and(|earlier| earlier != length) {
                    return Err(MalformedResponse);
                }
                head.content_length = Some(length);
            }
            "transfer-encoding" if value.eq_ignore_ascii_case("chunked") && !head.chunked => {
                head.chunked = true;
            }
            "transfer-encoding" => return Err(MalformedResponse),
            "connection" => head.close |= value.eq_ignore_ascii_case("close"),
            "x-unprocessed" => head.unprocessed = value == "1",
            "x-backend-load" => head.load = Some(value.into()),
            "x-lookup" => head.lookup = Some(value.into()),
            _ => {}
        }
    }
    if head.chunked && head.content_length.is_some() {
        return Err(MalformedResponse);
    }
    Ok(Some(head))
}

/// Decodes a chunked body as its bytes arrive.
#[derive(Default)]
pub struct ChunkedDecoder {
    /// Bytes of the present chunk that are still to come.
    remaining_chunk_bytes: usize,
    /// Whether the line end after the content of a chunk is still to come.
    chunk_end_pending: bool,
    /// Framing of all chunks so far beyond `FRAMING_BYTES_PER_CHUNK` each.
    excess_framing_bytes: usize,
    finished: bool,
}

impl ChunkedDecoder {
    /// Returns how many bytes of the present chunk are still to come.
    pub fn remaining_chunk_bytes(&self) -> usize {
        self.remaining_chunk_bytes
    }

    /// Moves available content of the body from `input` to `output`; returns whether the body is complete.
    pub fn decode(&mut self, input: &mut BytesMut, output: &mut BytesMut) -> Result<bool, MalformedResponse> {
        while !self.finished {
            if self.remaining_chunk_bytes > 0 {
                let part = self.remaining_chunk_bytes.min(input.len());
                output.extend_from_slice(&input[..part]);
                input.advance(part);
                self.remaining_chunk_bytes -= part;
                self.chunk_end_pending = self.remaining_chunk_bytes == 0;
                if self.remaining_chunk_bytes > 0 {
                    return Ok(false);
                }
            }
            if self.chunk_end_pending {
                if input.len() < 2 {
                    return Ok(false);
                }
                if !input.starts_with(b"\r\n") {
                    return Err(MalformedResponse);
                }
                input.advance(2);
                self.chunk_end_pending = false;
            }
            match httparse::parse_chunk_size(input) {
                Ok(httparse::Status::Complete((length, size))) => {
                    input.advance(length);
                    self.excess_framing_bytes += length.saturating_sub(FRAMING_BYTES_PER_CHUNK);
                    if self.excess_framing_bytes > MAX_EXCESS_FRAMING_BYTES {
                        return Err(MalformedResponse);
                    }
                    self.remaining_chunk_bytes = usize::try_from(size).map_err(|_| MalformedResponse)?;
                    // Trailers are not parsed, so the connection cannot be reused after the last chunk.
                    self.finished = size == 0;
                }
                Ok(httparse::Status::Partial) if input.len() <= MAX_HEAD_BYTES => return Ok(false),
                _ => return Err(MalformedResponse),
            }
        }
        Ok(true)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn chunks_are_decoded_however_the_input_is_split() {
        let whole = b"5\r\nhello\r\n1;x=y\r\n!\r\n0\r\n\r\n";
        for part_size in 1..whole.len() {
            let (mut chunks, mut input, mut output) =
                (ChunkedDecoder::default(), BytesMut::new(), BytesMut::new());
            let mut finished = false;
            for part in whole.chunks(part_size) {
                input.extend_from_slice(part);
                finished = chunks.decode(&mut input, &mut output).unwrap();
            }
            assert!(finished && &output[..] == b"hello!", "in parts of {part_size} bytes: {output:?}");
        }
        let mut bad = BytesMut::from("zz\r\n");
        assert_eq!(ChunkedDecoder::default().decode(&mut bad, &mut BytesMut::new()), Err(MalformedResponse));
    }
}
