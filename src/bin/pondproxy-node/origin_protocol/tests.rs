//! Tests of the decoder of the origin's responses.

use super::*;

const MAX_BODY_BYTES: usize = 64 * 1024;
const CHUNK_BYTES: usize = 8 * 1024;
const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(content_bytes: usize, extension: &str) -> Vec<u8> {
    let mut chunk = format!("{content_bytes:x}{extension}\r\n").into_bytes();
    chunk.resize(chunk.len() + content_bytes, b'x');
    chunk.extend(b"\r\n");
    chunk
}

/// Decodes a response of these pieces. Returns the reply or the error with the number of pieces that were
/// needed for it.
fn decode_pieces<'a>(
    pieces: impl IntoIterator<Item = &'a [u8]>,
) -> (usize, Result<Option<ServerReply>, MalformedReply>) {
    let mut decoder = ResponseDecoder::new(MAX_BODY_BYTES);
    let mut input = BytesMut::new();
    let mut count = 0;
    for piece in pieces {
        input.extend_from_slice(piece);
        count += 1;
        match decoder.decode(&mut input, &[]) {
            Ok(None) => {}
            result => return (count, result),
        }
    }
    (count, Ok(None))
}

#[test]
fn content_of_a_chunked_body_is_decoded_only_once() {
    // Guards against work that grows with the square of the length of a response that does not end.
    let mut decoder = ResponseDecoder::new(MAX_BODY_BYTES);
    let mut input = BytesMut::from(CHUNKED_HEAD);
    for number in 0..MAX_BODY_BYTES / CHUNK_BYTES {
        input.extend_from_slice(&chunk(CHUNK_BYTES, ""));
        assert_eq!(decoder.decode(&mut input, &[]), Ok(None));
        assert!(input.is_empty(), "{} bytes are left after chunk {number}", input.len());
    }
}

#[test]
fn interim_responses_are_decoded_only_once() {
    let mut decoder = ResponseDecoder::new(MAX_BODY_BYTES);
    let mut input = BytesMut::new();
    for _ in 0..MAX_INTERIM_RESPONSES {
        input.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        assert_eq!(decoder.decode(&mut input, &[]), Ok(None));
        assert!(input.is_empty());
    }
    input.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
    assert_eq!(decoder.decode(&mut input, &[]), Err(MalformedReply::TooLong));
}

#[test]
fn a_chunked_body_that_does_not_end_is_given_up_as_soon_as_it_exceeds_the_limit() {
    let piece = chunk(CHUNK_BYTES, "");
    let endless = std::iter::once(CHUNKED_HEAD).chain(std::iter::repeat(&piece[..]));
    let chunks_within_limit = MAX_BODY_BYTES / CHUNK_BYTES;
    // One piece is the head, and one exceeds the limit.
    assert_eq!(decode_pieces(endless), (chunks_within_limit + 2, Err(MalformedReply::TooLong)));
}

#[test]
fn a_chunk_or_body_that_states_more_than_the_limit_is_given_up_before_its_content() {
    let size_line = format!("{:x}\r\n", MAX_BODY_BYTES + 1);
    let (_, result) = decode_pieces([CHUNKED_HEAD, size_line.as_bytes()]);
    assert_eq!(result, Err(MalformedReply::TooLong));
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", MAX_BODY_BYTES + 1);
    assert_eq!(decode_pieces([head.as_bytes()]).1, Err(MalformedReply::TooLong));
}

#[test]
fn chunks_with_long_extensions_that_do_not_end_are_given_up() {
    let piece = chunk(1, &format!(";{}", "e".repeat(1_000)));
    let endless = std::iter::once(CHUNKED_HEAD).chain(std::iter::repeat(&piece[..]));
    let (pieces, result) = decode_pieces(endless.take(1_000));
    assert_eq!(result, Err(MalformedReply::Invalid));
    assert!(pieces <= 20, "{pieces} chunks with a framing of 1,000 bytes each");
}

#[test]
fn a_response_is_decoded_in_any_pieces_and_input_after_it_is_left() {
    let sized = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade".to_vec();
    let chunked = [CHUNKED_HEAD, &chunk(2, ""), &chunk(3, ";a=b"), b"0\r\n\r\n"].concat();
    for (response, body, keep_alive) in [(sized, "made", true), (chunked, "xxxxx", false)] {
        let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
        let response = [interim, &response[..]].concat();
        for piece_bytes in 1..=response.len() {
            let (_, result) = decode_pieces(response.chunks(piece_bytes));
            let reply = result.unwrap().expect("the response is complete");
            assert_eq!(reply.value.as_deref(), Some(body.as_bytes()), "in pieces of {piece_bytes} bytes");
            assert_eq!((reply.status, reply.keep_alive), (Status::Success, keep_alive));
        }
    }
    let mut input = BytesMut::from(&b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nabc"[..]);
    let reply = ResponseDecoder::new(MAX_BODY_BYTES).decode(&mut input, &[]).unwrap().unwrap();
    assert_eq!((reply.value.as_deref(), &input[..]), (Some(&b"a"[..]), &b"bc"[..]));
}
