//! Server lists of discovery: their JSON form, and how they are parsed from the response of a call. No I/O.

use bytes::{Buf, BytesMut};
use serde::Deserialize;

/// A server list, or a change of the list.
#[derive(Deserialize, Default, Debug)]
pub struct ListUpdate {
    /// Version of the list.
    #[serde(default)]
    pub index: u64,
    /// Whether the list is complete, rather than a change of an earlier one.
    #[serde(default)]
    pub snapshot: bool,
    pub endpoints: Vec<Endpoint>,
}

/// The entry of a server.
#[derive(Deserialize, Debug)]
pub struct Endpoint {
    /// Name of the server, the same at every node.
    pub name: String,
    /// IP address and port.
    #[serde(default)]
    pub address: String,
    #[serde(default)]
    pub zone: String,
    #[serde(default, rename = "type")]
    pub machine_type: String,
    /// Cell of the server.
    #[serde(default)]
    pub group: u16,
    /// `active` for a server that accepts requests, `left` for a removed one; any other value means draining.
    pub status: String,
    #[serde(default = "default_weight")]
    pub weight: f32,
    /// Time at which the server's process last started, in milliseconds of Unix time; 0 means long ago.
    #[serde(default)]
    pub since_ms: u64,
}

fn default_weight() -> f32 {
    1.0
}

/// The input is not a valid list.
#[derive(Debug, PartialEq, Clone, Copy)]
pub struct MalformedList;

/// The result of parsing the part of a response body that has been received.
#[derive(Debug, Default)]
pub struct ParsedLists {
    /// The complete lists.
    pub lists: Vec<ListUpdate>,
    /// Whether there was a list or an empty line, which stands for no change.
    pub any_received: bool,
}

/// Takes the lists out of a response body as it arrives. A list may span several lines, so it ends where its
/// JSON value ends and not at a line end. It is parsed once, when it is complete; until then, only its new
/// bytes are looked at, so that the work for a list grows with its length and not with the number of reads.
#[derive(Debug, Default)]
pub struct ListReader {
    /// Number of bytes at the front of the body that were scanned for the end of a list.
    scanned_bytes: usize,
    /// Number of objects and arrays that are open after the scanned bytes.
    depth: usize,
    /// Whether the scanned bytes end within a string.
    in_string: bool,
    /// Whether the scanned bytes end with a backslash that escapes the next byte of a string.
    escaped: bool,
}

impl ListReader {
    /// Removes the complete lists from the front of `body`. Between two calls, bytes may only be added at the
    /// end of `body`.
    pub fn take_lists(&mut self, body: &mut BytesMut) -> Result<ParsedLists, MalformedList> {
        let complete_bytes = self.scan(body);
        let complete = &body[..complete_bytes];
        let lists: Result<Vec<_>, _> = serde_json::Deserializer::from_slice(complete).into_iter().collect();
        let lists: Vec<ListUpdate> = lists.map_err(|_| MalformedList)?;
        let any_received = !lists.is_empty() || complete.contains(&b'\n');
        body.advance(complete_bytes);
        self.scanned_bytes -= complete_bytes;
        Ok(ParsedLists { lists, any_received })
    }

    /// Scans the new bytes; returns the length of the front part that is outside any object or array that is
    /// still open.
    fn scan(&mut self, body: &[u8]) -> usize {
        let mut complete_bytes = 0;
        for (index, byte) in body.iter().enumerate().skip(self.scanned_bytes) {
            self.scan_byte(*byte);
            if self.depth == 0 {
                complete_bytes = index + 1;
            }
        }
        self.scanned_bytes = body.len();
        complete_bytes
    }

    fn scan_byte(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.in_string => self.escaped = true,
            b'"' if self.depth > 0 => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }
}

/// Returns the complete entries of a truncated list.
pub fn complete_entries(truncated: &[u8]) -> Vec<Endpoint> {
    let mut entries = Vec::new();
    let Some(mut rest) = after_entries_bracket(truncated) else { return entries };
    loop {
        let next = rest.trim_ascii_start();
        rest = next.strip_prefix(b",").unwrap_or(next);
        let mut parsed = serde_json::Deserializer::from_slice(rest).into_iter::<Endpoint>();
        let Some(Ok(entry)) = parsed.next() else { return entries };
        rest = &rest[parsed.byte_offset()..];
        entries.push(entry);
    }
}

/// Returns the part of a list after the bracket that opens its entries.
fn after_entries_bracket(list: &[u8]) -> Option<&[u8]> {
    const ENTRIES_KEY: &[u8] = b"\"endpoints\"";
    let key_start = list.windows(ENTRIES_KEY.len()).position(|part| part == ENTRIES_KEY)?;
    let value = list[key_start + ENTRIES_KEY.len()..].trim_ascii_start().strip_prefix(b":")?;
    value.trim_ascii_start().strip_prefix(b"[")
}

#[cfg(test)]
mod tests {
    use super::super::call::WATCH_IDLE_TIMEOUT;
    use super::*;

    #[test]
    fn every_complete_entry_is_returned_wherever_a_list_is_truncated() {
        let entry = |name: &str| format!(r#"{{"name":"{name}", "status":"leaving"}}"#);
        for separator in [",", " ,\n  "] {
            let entries = ["a", "b", "c"].map(entry).join(separator);
            let list = format!("{{\"index\":7, \"endpoints\" : [ {entries} ]}}");
            let entry_ends: Vec<_> = list.match_indices('}').map(|(at, _)| at).take(3).collect();
            for cut in 0..list.len() {
                let names: Vec<_> =
                    complete_entries(&list.as_bytes()[..cut]).into_iter().map(|e| e.name).collect();
                let complete = entry_ends.iter().filter(|end| **end < cut).count();
                assert_eq!(names, ["a", "b", "c"][..complete], "{}", &list[..cut]);
            }
        }
    }

    /// An indented list, with names that look like the ends of lists.
    fn indented_list(entry_count: usize) -> String {
        let entries: Vec<_> = (0..entry_count)
            .map(|number| {
                format!("    {{\n      \"name\": \"}}]\\\"{number}\",\n      \"status\": \"active\"\n    }}")
            })
            .collect();
        format!("{{\n  \"index\": 7,\n  \"endpoints\": [\n{}\n  ]\n}}", entries.join(",\n"))
    }

    #[test]
    fn lists_are_taken_in_any_pieces_as_soon_as_they_are_complete() {
        let two_lists = format!("\n{}\n\n{}\n", indented_list(2), r#"{"index":8,"endpoints":[]}"#);
        for piece_bytes in 1..=two_lists.len() {
            let (mut reader, mut body, mut indexes) = (ListReader::default(), BytesMut::new(), Vec::new());
            for piece in two_lists.as_bytes().chunks(piece_bytes) {
                body.extend_from_slice(piece);
                let parsed = reader.take_lists(&mut body).unwrap();
                indexes.extend(parsed.lists.iter().map(|list| (list.index, list.endpoints.len())));
            }
            assert_eq!(indexes, [(7, 2), (8, 0)], "in pieces of {piece_bytes} bytes");
            assert!(body.is_empty());
        }
    }

    #[test]
    fn an_empty_line_is_received_and_a_part_of_a_list_is_not() {
        let mut reader = ListReader::default();
        let mut body = BytesMut::from("\n");
        assert!(reader.take_lists(&mut body).unwrap().any_received);
        body.extend_from_slice(b"{\n\"index\":\n");
        let parsed = reader.take_lists(&mut body).unwrap();
        assert!(!parsed.any_received && parsed.lists.is_empty());
        assert_eq!(&body[..], b"{\n\"index\":\n", "the part is kept");
    }

    #[test]
    fn input_that_cannot_become_a_list_is_malformed() {
        for text in ["x", "7\n", "]", "{\"index\":]", "{}\n", "{\"endpoints\":7}", "tru"] {
            let result = ListReader::default().take_lists(&mut BytesMut::from(text));
            assert!(result.is_err(), "{text}: {result:?}");
        }
    }

    #[test]
    fn a_long_list_in_many_lines_is_read_before_its_watch_times_out() {
        // Guards against a list that is parsed anew after each read, which keeps the node from all other
        // work.
        let list = indented_list(20_000);
        let (mut reader, mut body) = (ListReader::default(), BytesMut::new());
        let started_at = std::time::Instant::now();
        let mut list_count = 0;
        for line in list.split_inclusive('\n') {
            body.extend_from_slice(line.as_bytes());
            list_count += reader.take_lists(&mut body).unwrap().lists.len();
            assert!(
                started_at.elapsed() < WATCH_IDLE_TIMEOUT,
                "after {} bytes of {}",
                body.len(),
                list.len()
            );
        }
        assert_eq!(list_count, 1);
    }

    #[test]
    fn input_that_is_not_a_list_yields_no_entries() {
        for text in [
            &b""[..],
            b"{\"endpoints\"",
            b"{\"endpoints\":7",
            b"{\"endpoints\":[,",
            b"\xff\"endpoints\":[{\"name\":1}",
        ] {
            assert!(complete_entries(text).is_empty());
        }
    }
}
