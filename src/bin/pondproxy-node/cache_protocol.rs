//! Encoding of requests to cache servers and decoding of their replies (RESP2).

use bytes::{Bytes, BytesMut};
use pondproxy::{CacheLookup, LoadReport, Status};

use crate::client_sessions::Command;
use crate::resp::{self, Value};
use crate::upstream_pool::{MalformedReply, ServerReply};

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
    let Some(value) = resp::take_value(buffer, max_value_bytes).map_err(|_| MalformedReply::Invalid)? else {
        return Ok(None);
    };
    let empty_reply = |status| ServerReply {
        status,
        lookup: CacheLookup::NotReported,
        load: LoadReport::default(),
        value: None,
        keep_alive: true,
    };
    Ok(Some(match value {
        Value::Array(items) => {
            let Ok([Value::Bulk(value), Value::Bulk(lookup_word), Value::Bulk(report)]) =
                <[Value; 3]>::try_from(items)
            else {
                return Err(MalformedReply::Invalid);
            };
            // A load report or lookup that cannot be parsed counts as not reported; the reply is still valid.
            let to_text = |text: &Option<Bytes>| {
                text.as_ref().and_then(|t| std::str::from_utf8(t).ok()).unwrap_or("").to_owned()
            };
            let (lookup, load) =
                (parse_lookup(&to_text(&lookup_word)), parse_load_report(&to_text(&report), load_names));
            let status = if value.is_some() { Status::Success } else { Status::Miss };
            ServerReply { lookup, load, value, ..empty_reply(status) }
        }
        Value::Error(line) => {
            let line = std::str::from_utf8(&line).map_err(|_| MalformedReply::Invalid)?;
            let status = match line.split(' ').next() {
                _ if line.chars().any(char::is_control) => return Err(MalformedReply::Invalid),
                Some("BUSY") => Status::Rejected,
                Some("ERR") => Status::Error,
                _ => return Err(MalformedReply::Invalid),
            };
            // The last word of an error may be a load report.
            let last_word = line.rsplit(' ').next().unwrap_or("");
            ServerReply { load: parse_load_report(last_word, load_names), ..empty_reply(status) }
        }
        // Not part of the protocol: no later input of this connection can be matched to a request.
        _ => return Err(MalformedReply::Invalid),
    }))
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
