//! What is said to cache servers and what their answers mean.

use bytes::{Bytes, BytesMut};
use pondproxy::{CacheLookup, LoadReport, Status};

use crate::client_sessions::Command;
use crate::resp::{self, Value};
use crate::upstream_pool::{MalformedReply, ServerReply};

/// What a client said of its request as it goes on to a server: all unchanged but `d`, the time left now.
pub fn forwarded_facts(command: &Command, left_ms: u64) -> String {
    let facts = command.facts.split(',').map(|fact| match fact.split_once('=') {
        Some(("d", _)) => format!("d={left_ms}"),
        _ => fact.into(),
    });
    facts.collect::<Vec<_>>().join(",")
}

/// The command of a client as it goes on to a cache server.
pub fn encode(command: &Command, left_ms: u64) -> Bytes {
    let facts = forwarded_facts(command, left_ms);
    let name: &[u8] = if command.write { b"OBJ.SET" } else { b"OBJ.GET" };
    match &command.value {
        Some(value) => resp::encode_command(&[name, &command.key, &command.id, facts.as_bytes(), value]),
        None => resp::encode_command(&[name, &command.key, &command.id, facts.as_bytes()]),
    }
}

/// Takes an answer off the front of what a connection brought; `None` while it is not all there. Against
/// spoilt answers passed on: whatever is not just as the protocol has it is broken.
pub fn decode(
    buffer: &mut BytesMut,
    load_names: &[String],
    max_value_bytes: usize,
) -> Result<Option<ServerReply>, MalformedReply> {
    let Some(value) = resp::take_value(buffer, max_value_bytes).map_err(|_| MalformedReply)? else {
        return Ok(None);
    };
    let reply = |status| ServerReply {
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
                return Err(MalformedReply);
            };
            // A report or a word that can't be read tells nothing, and the answer is good all the same.
            let text = |text: &Option<Bytes>| {
                text.as_ref().and_then(|t| std::str::from_utf8(t).ok()).unwrap_or("").to_owned()
            };
            let (lookup, load) =
                (parse_lookup(&text(&lookup_word)), parse_load_report(&text(&report), load_names));
            let status = if value.is_some() { Status::Success } else { Status::Miss };
            ServerReply { lookup, load, value, ..reply(status) }
        }
        Value::Error(line) => {
            let line = std::str::from_utf8(&line).map_err(|_| MalformedReply)?;
            let status = match line.split(' ').next() {
                _ if line.chars().any(char::is_control) => return Err(MalformedReply),
                Some("BUSY") => Status::Rejected,
                Some("ERR") => Status::Error,
                _ => return Err(MalformedReply),
            };
            let last_word = line.rsplit(' ').next().unwrap_or("");
            ServerReply { load: parse_load_report(last_word, load_names), ..reply(status) }
        }
        // Nothing of the protocol: what this connection brings next can't be matched to anything.
        _ => return Err(MalformedReply),
    }))
}

/// How a read went, in a server's words.
pub fn parse_lookup(word: &str) -> CacheLookup {
    match word {
        "hit" => CacheLookup::Hit,
        "miss" => CacheLookup::Miss,
        "pending" => CacheLookup::MissPending,
        _ => CacheLookup::NotReported,
    }
}

/// A load report in a server's words: names and values, put in the order that the settings name them.
pub fn parse_load_report(text: &str, field_names: &[String]) -> LoadReport {
    let mut load = LoadReport::default();
    for (slot, name) in field_names.iter().take(load.values.len()).enumerate() {
        let pair = text.split(',').filter_map(|pair| pair.split_once('='));
        let value = pair.filter(|(key, _)| key == name).find_map(|(_, value)| value.parse::<f32>().ok());
        // Against reports that parse and tell nothing: not a number, endless or negative.
        let Some(value) = value.filter(|value| value.is_finite() && *value >= 0.0) else {
            return LoadReport::default();
        };
        load.values[slot] = value;
        load.count += 1;
    }
    load
}
