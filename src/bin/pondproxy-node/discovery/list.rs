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

/// Removes the complete lists from the front of `body`. A list may span several lines, so it ends where its
/// JSON value ends and not at a line end.
pub fn take_lists(body: &mut BytesMut) -> Result<ParsedLists, MalformedList> {
    let mut parsed = serde_json::Deserializer::from_slice(body).into_iter::<ListUpdate>();
    let (mut lists, mut consumed) = (Vec::new(), 0);
    while let Some(list) = parsed.next() {
        match list {
            Ok(list) => {
                lists.push(list);
                consumed = parsed.byte_offset();
            }
            Err(e) if e.is_eof() => break,
            Err(_) => return Err(MalformedList),
        }
    }
    let rest = &body[consumed..];
    let leading_blank_bytes = rest.len() - rest.trim_ascii_start().len();
    let any_received = consumed > 0 || rest[..leading_blank_bytes].contains(&b'\n');
    body.advance(consumed + leading_blank_bytes);
    Ok(ParsedLists { lists, any_received })
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
