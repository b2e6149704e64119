//! Tests of the RESP2 parser.

use super::*;

#[test]
fn a_command_is_taken_only_once_it_is_complete() {
    let command = encode_command(&[b"OBJ.GET", b"k", b"i", b"c=read"]);
    for cut in 0..command.len() {
        let mut part = BytesMut::from(&command[..cut]);
        assert_eq!(take_command(&mut part), Ok(None), "after the first {cut} bytes");
        assert_eq!(part.len(), cut);
    }
    let mut twice = BytesMut::from(&[&command[..], &command[..]].concat()[..]);
    for _ in 0..2 {
        let arguments = take_command(&mut twice).unwrap().unwrap();
        assert_eq!(arguments, [&b"OBJ.GET"[..], b"k", b"i", b"c=read"]);
    }
    assert!(twice.is_empty());
}

#[test]
fn malformed_or_oversized_commands_are_rejected_at_once() {
    for bad in [
        "GET k\r\n",
        "*17\r\n",
        "*1\r\n$65537\r\n",
        "*1\r\n$-1\r\n",
        "*1\r\n$+3\r\nabc\r\n",
        "*1\r\n$3\r\nabcde",
        "*99999999999999999999999\r\n",
        "*11111111111111111111111111111",
        "*\r\n",
    ] {
        assert!(take_command(&mut BytesMut::from(bad)).is_err(), "{bad:?}");
    }
}

/// Limits of the elements of a reply in these tests.
const MAX_ELEMENT_BYTES: [usize; 3] = [MAX_VALUE_BYTES, 16, 16];

#[test]
fn replies_are_parsed_in_any_pieces_and_removed_from_the_input() {
    let input = b"*3\r\n$2\r\nab\r\n$-1\r\n$3\r\nhit\r\n-BUSY\r\n-\r\n*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n";
    let bulk = |text: &'static str| Some(Bytes::from_static(text.as_bytes()));
    let expected = [
        Reply::Array([bulk("ab"), None, bulk("hit")]),
        Reply::Error("BUSY".into()),
        Reply::Error("".into()),
        Reply::Array([bulk(""), None, None]),
    ];
    for piece_bytes in 1..=input.len() {
        let (mut buffer, mut replies) = (BytesMut::new(), Vec::new());
        for piece in input.chunks(piece_bytes) {
            buffer.extend_from_slice(piece);
            while let Some(reply) = take_reply(&mut buffer, MAX_ELEMENT_BYTES).unwrap() {
                replies.push(reply);
            }
        }
        assert_eq!(replies, expected, "in pieces of {piece_bytes} bytes");
        assert!(buffer.is_empty());
    }
}

#[test]
fn replies_of_another_form_are_rejected_as_soon_as_it_shows() {
    // Guards against replies that never end: each of these could go on without a limit.
    for start in [
        "*2\r\n",
        "*4\r\n",
        "*16\r\n",
        "*0\r\n",
        "*-1\r\n",
        "*1\r\n",
        "*3\r\n*",
        "*3\r\n:",
        "*3\r\n$65537\r\n",
        "*3\r\n$1\r\na\r\n$17\r\n",
        "*3\r\n$1\r\na\r\n$-1\r\n$17\r\n",
        "*3\r\n$1\r\na\r\n$-1\r\n+",
        "$",
        ":7",
        "+OK",
    ] {
        assert!(take_reply(&mut BytesMut::from(start), MAX_ELEMENT_BYTES).is_err(), "{start:?}");
    }
    let long_line = format!("-{}", "e".repeat(MAX_LINE_BYTES + 2));
    assert!(take_reply(&mut BytesMut::from(&long_line[..]), MAX_ELEMENT_BYTES).is_err());
    let deep = b"*1\r\n".repeat(9000);
    assert!(take_reply(&mut BytesMut::from(&deep[..]), MAX_ELEMENT_BYTES).is_err());
    assert!(take_reply(&mut BytesMut::from(&deep[..]), [MAX_VALUE_BYTES]).is_err());
}

#[test]
fn skipping_counts_commands_and_finds_errors_like_parsing_however_the_input_is_split() {
    let long = "v".repeat(3000);
    let good = [encode_command(&[b"PING"]), encode_command(&[b"OBJ.SET", b"k", b"", long.as_bytes()])]
        .concat()
        .repeat(3);
    for (bad, complete_commands) in [
        (&b""[..], 6),
        (b"*1\r\n$2\r\nab\r", 6),
        (b"GET / HTTP/1.1\r\n", 6),
        (b"*0\r\n", 6),
        (b"*1\r\n$-1\r\n", 6),
    ] {
        let all = [&good[..], bad].concat();
        let mut buffer = BytesMut::from(&all[..]);
        let parse_error = std::iter::from_fn(|| take_command(&mut buffer).transpose()).find_map(Result::err);
        for piece_size in [1, 7, 1000, all.len()] {
            let mut skipper = CommandSkipper::default();
            let skip_error = all.chunks(piece_size).find_map(|piece| skipper.skip(piece).err());
            assert_eq!(
                (skip_error, skipper.skipped_commands),
                (parse_error, complete_commands),
                "in pieces of {piece_size} bytes, ending in {:?}",
                String::from_utf8_lossy(bad)
            );
        }
    }
    let mut skipper = CommandSkipper::default();
    assert_eq!(skipper.skip(&[&good[..], b"*1\r\n"].concat()), Ok(good.len()));
    assert!(skipper.has_partial_command());
}

#[test]
fn command_longer_than_any_valid_one_is_rejected_at_the_line_that_states_it() {
    // Guards against buffers of a megabyte for commands that can't be valid.
    let value = "v".repeat(MAX_VALUE_BYTES);
    let longest = encode_command(&[b"OBJ.SET", b"key", b"id", &[b'f'; 512], value.as_bytes()]);
    assert!(take_command(&mut BytesMut::from(&longest[..])).unwrap().is_some());
    let mut too_long = BytesMut::from(format!("*3\r\n${0}\r\n{value}\r\n$8193\r\n", value.len()).as_bytes());
    assert_eq!(take_command(&mut too_long), Err(TOO_LONG));
}
