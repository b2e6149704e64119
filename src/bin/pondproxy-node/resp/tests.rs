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

#[test]
fn replies_are_parsed_and_deep_nesting_is_rejected() {
    let mut answer = BytesMut::from("*3\r\n$2\r\nab\r\n$-1\r\n$3\r\nhit\r\n-BUSY\r\n:7\r\n");
    let bulk = |text: &'static str| Value::Bulk(Some(Bytes::from_static(text.as_bytes())));
    let array = Value::Array(vec![bulk("ab"), Value::Bulk(None), bulk("hit")]);
    assert_eq!(take_value(&mut answer, MAX_VALUE_BYTES), Ok(Some(array)));
    assert_eq!(take_value(&mut answer, MAX_VALUE_BYTES), Ok(Some(Value::Error("BUSY".into()))));
    assert_eq!(take_value(&mut answer, MAX_VALUE_BYTES), Ok(Some(Value::Integer(7))));
    assert_eq!(take_value(&mut answer, MAX_VALUE_BYTES), Ok(None));
    assert!(take_value(&mut BytesMut::from(&b"*1\r\n".repeat(9000)[..]), MAX_VALUE_BYTES).is_err());
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
