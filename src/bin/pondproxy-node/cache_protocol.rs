//! Encoding of requests to cache servers and decoding of their replies (RESP2).

use bytes::{Bytes, BytesMut};
use pondproxy::{CacheLookup, LoadReport, Status};

use crate::client_command::Command;
use crate::resp::{self, Reply};
use crate::upstream_pool::{MalformedReply, ServerReply};

/// Maximum length of a server's word for the result of a lookup.
const MAX_LOOKUP_BYTES: usize = 256;
/// Maximum length of a load report.
const MAX_LOAD_REPORT_BYTES: usize = 4096;

/// Returns the client's facts as they are forwarded: unchanged except for `d`, the time left now.
pub fn forwarded_facts(command: &Command, left_ms: u64) -> String {
    let facts = command.facts.split(',').map(|fact| match fact.split_once('=') {
        Some(("d", _)) => format!("d={left_ms}"),
        _ => fact.into(),
    });
    facts.collect::<Vec<_>>().join(",")
}

/// Encodes a client's command for a cache server.
pub fn encode(command: &Command, left_ms: u64) -> Bytes {
    let facts = forwarded_facts(command, left_ms);
    let name: &[u8] = if command.write { b"OBJ.SET" } else { b"OBJ.GET" };
    match &command.value {
        Some(value) => resp::encode_command(&[name, &command.key, &command.id, facts.as_bytes(), value]),
        None => resp::encode_command(&[name, &command.key, &command.id, facts.as_bytes()]),
    }
}

/// Removes a complete reply from the front of a connection's input; `None` while it is incomplete. Every
/// deviation from the protocol is an error, so that no malformed reply is passed on to a client; only the
/// lookup and the load report may be unreadable.
pub fn decode(
    buffer: &mut BytesMut,
    load_names: &[String],
    max_value_bytes: usize,
) -> Result<Option<ServerReply>, MalformedReply> {
    let max_element_bytes = [max_value_bytes, MAX_LOOKUP_BYTES, MAX_LOAD_REPORT_BYTES];
    let reply = resp::take_reply(buffer, max_element_bytes).map_err(|_| MalformedReply::Invalid)?;
    Ok(match reply {
        None => None,
        Some(Reply::Array([value, lookup_word, report])) => {
            // A load report or lookup that cannot be parsed counts as not reported; the reply is still valid.
            let lookup = parse_lookup(to_text(&lookup_word));
            let load = parse_load_report(to_text(&report), load_names);
            let status = if value.is_some() { Status::Success } else { Status::Miss };
            Some(ServerReply { lookup, load, value, ..empty_reply(status) })
        }
        Some(Reply::Error(line)) => Some(decode_error(&line, load_names)?),
    })
}

/// Decodes an error, whose last word may be a load report.
fn decode_error(line: &[u8], load_names: &[String]) -> Result<ServerReply, MalformedReply> {
    let line = std::str::from_utf8(line).map_err(|_| MalformedReply::Invalid)?;
    let status = match line.split(' ').next() {
        _ if line.chars().any(char::is_control) => return Err(MalformedReply::Invalid),
        Some("BUSY") => Status::Rejected,
        Some("ERR") => Status::Error,
        _ => return Err(MalformedReply::Invalid),
    };
    let last_word = line.rsplit(' ').next().unwrap_or("");
    Ok(ServerReply { load: parse_load_report(last_word, load_names), ..empty_reply(status) })
}

/// Returns a reply that carries nothing but its status.
fn empty_reply(status: Status) -> ServerReply {
    ServerReply {
        status,
        lookup: CacheLookup::NotReported,
        load: LoadReport::default(),
        value: None,
        keep_alive: true,
    }
}

/// Returns the text of an element; empty if it is null or no text.
fn to_text(element: &Option<Bytes>) -> &str {
    element.as_deref().and_then(|bytes| std::str::from_utf8(bytes).ok()).unwrap_or("")
}

/// Parses a server's word for the result of a lookup.
pub fn parse_lookup(word: &str) -> CacheLookup {
    match word {
        "hit" => CacheLookup::Hit,
        "miss" => CacheLookup::Miss,
        "pending" => CacheLookup::MissPending,
        _ => CacheLookup::NotReported,
    }
}

/// Parses a load report of `name=value` pairs. The result has the values in the order of `field_names`.
pub fn parse_load_report(text: &str, field_names: &[String]) -> LoadReport {
    let mut load = LoadReport::default();
    for (index, name) in field_names.iter().take(load.values.len()).enumerate() {
        let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(key, _)| key == name).find_map(|(_, value)| value.parse::<f32>().ok());
        // A value that is missing, not a number, infinite or negative makes the whole report unusable.
        let Some(value) = value.filter(|value| value.is_finite() && *value >= 0.0) else {
            return LoadReport::default();
        };
        load.values[index] = value;
        load.count += 1;
    }
    load
}
