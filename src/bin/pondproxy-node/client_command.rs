//! The commands by which clients read and write values, and the parsing of their facts. No I/O.

use bytes::Bytes;
use pondproxy::settings::Deployment;
use pondproxy::{Idempotency, Key, Micros};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum length of each of a command's key, id and list of facts.
const MAX_WORD_BYTES: usize = 512;
/// Maximum time left (`d`) that a client may state, unless its class has a longer deadline.
const MAX_TIME_LEFT_MS: f64 = 60_000.0;

/// A parsed `OBJ.GET` or `OBJ.SET` command of a client, with the facts that the node uses.
#[derive(Debug, Clone, Default)]
pub struct Command {
    pub write: bool,
    pub key: Bytes,
    pub id: Bytes,
    /// All facts as the client sent them.
    pub facts: String,
    pub value: Option<Bytes>,
    /// Index of the class in the settings.
    pub class: usize,
    /// Index of the tenant in the settings; 0 if there are none.
    pub tenant: usize,
    /// Time left when the command was received, limited by the deadline of the class.
    pub time_left: Micros,
    pub client_retry: bool,
    pub expected_work: Option<Micros>,
    pub value_bytes: f32,
}

impl Command {
    /// Returns the key for the decision module: the value of a key of 16 hexadecimal digits, and the hash of
    /// any other. It is the same on every node, and never 0, which means that a request has no key.
    pub fn hashed_key(&self) -> Key {
        let text = std::str::from_utf8(&self.key).ok();
        let hex = text.filter(|t| t.len() == 16).and_then(|t| u64::from_str_radix(t, 16).ok());
        hex.unwrap_or_else(|| xxh3_64(&self.key)).max(1)
    }
}

/// Parses the words of a command. Each fact may occur only once, and the known facts must be valid. This
/// rejects requests without a meaning, and those that the node and a server could read differently.
pub fn parse_command(words: &[Bytes], write: bool, deployment: &Deployment) -> Result<Command, &'static str> {
    if words.len() != if write { 5 } else { 4 } {
        return Err("wrong number of arguments");
    }
    // These words are forwarded to servers and must not break the framing there.
    let is_valid_word = |word: &Bytes| {
        !word.is_empty() && word.len() <= MAX_WORD_BYTES && word.iter().all(u8::is_ascii_graphic)
    };
    if !words[1..4].iter().all(is_valid_word) {
        return Err("invalid key, id or facts");
    }
    let facts = String::from_utf8_lossy(&words[3]).into_owned();
    let (mut class, mut tenant, mut time_left_ms, mut has_dedup_key) = (None, None, None, false);
    let mut command = Command { write, key: words[1].clone(), id: words[2].clone(), ..Command::default() };
    let mut seen_names: Vec<&str> = Vec::new();
    for fact in facts.split(',') {
        let (name, value) = fact.split_once('=').ok_or("invalid facts")?;
        if name.is_empty() || seen_names.contains(&name) {
            return Err("a fact without a name or given twice");
        }
        seen_names.push(name);
        let index_of = |names: &[String]| names.iter().position(|known| known == value);
        match name {
            "c" => class = Some(index_of(&deployment.classes).ok_or("unknown class")?),
            "t" if !deployment.tenants.is_empty() => {
                tenant = Some(index_of(&deployment.tenants).ok_or("unknown tenant")?)
            }
            "d" => time_left_ms = Some(parse_decimal(value).ok_or("invalid d")?),
            "k" => has_dedup_key = !value.is_empty(),
            "r" => {
                command.client_retry =
                    matches!(value, "0" | "1").then_some(value == "1").ok_or("invalid r")?
            }
            "h" => command.expected_work = Some(parse_decimal(value).ok_or("invalid h")? as Micros),
            "size" => command.value_bytes = parse_decimal(value).ok_or("invalid size")? as f32,
            _ => {}
        }
    }
    command.class = class.ok_or("no class")?;
    if tenant.is_none() && !deployment.tenants.is_empty() {
        return Err("no tenant");
    }
    command.tenant = tenant.unwrap_or(0);
    let class = &deployment.settings.classes[command.class];
    if write && matches!(class.idempotency, Idempotency::Deduplicated { .. }) && !has_dedup_key {
        return Err("no k for a keyed write");
    }
    let time_left_ms = time_left_ms.ok_or("no d")?;
    if time_left_ms > MAX_TIME_LEFT_MS.max(class.deadline as f64 / 1e3) {
        return Err("invalid d");
    }
    // The deadline of the class limits the time left, whatever the client states.
    command.time_left = ((time_left_ms * 1e3) as Micros).min(class.deadline);
    command.value = words.get(4).cloned();
    command.facts = facts;
    Ok(command)
}

/// Parses a plain decimal number: no sign, no exponent, no word such as `nan`.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|number: &f64| is_plain && text.len() <= 16 && number.is_finite())
}
