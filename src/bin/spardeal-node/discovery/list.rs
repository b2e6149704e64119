//! Discovery's lists of servers: their form, and how they are taken out of what a call brings. No sockets.

use bytes::{Buf, BytesMut};
use serde::Deserialize;

/// A list of servers, or a change of it.
#[derive(Deserialize, Default, Debug)]
pub struct Listing {
    /// Its version.
    #[serde(default)]
    pub index: u64,
    /// Whether it is whole.
    #[serde(default)]
    pub snapshot: bool,
    /// Its entries.
    pub endpoints: Vec<Endpoint>,
}

/// A server of the list.
#[derive(Deserialize, Debug)]
pub struct Endpoint {
    /// Its name, the same at every node.
    pub name: String,
    /// Where it is.
    #[serde(default)]
    pub address: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its machine kind.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// Its group of servers.
    #[serde(default)]
    pub group: u16,
    /// Whether it runs, leaves or has left.
    pub status: String,
    /// Its weight.
    #[serde(default = "one")]
    pub weight: f32,
    /// When it last started, in milliseconds of Unix time; 0 for long ago.
    #[serde(default)]
    pub since_ms: u64,
}

fn one() -> f32 {
    1.0
}

/// What came is no list.
#[derive(Debug, PartialEq, Clone, Copy)]
pub struct Malformed;

/// What was taken off the front of a call's answer.
#[derive(Debug, Default)]
pub struct Taken {
    /// The lists that were whole.
    pub lists: Vec<Listing>,
    /// Whether there was a list, or the empty line that stands for no change.
    pub heard: bool,
}

/// Takes the lists that are whole off the front of what came. They may be indented: what ends one is its end, not
/// that of a line.
pub fn take(body: &mut BytesMut) -> Result<Taken, Malformed> {
    let mut parsed = serde_json::Deserializer::from_slice(body).into_iter::<Listing>();
    let (mut lists, mut used) = (Vec::new(), 0);
    while let Some(list) = parsed.next() {
        match list {
            Ok(list) => {
                lists.push(list);
                used = parsed.byte_offset();
            }
            Err(e) if e.is_eof() => break,
            Err(_) => return Err(Malformed),
        }
    }
    let rest = &body[used..];
    let blank = rest.len() - rest.trim_ascii_start().len();
    let heard = used > 0 || rest[..blank].contains(&b'\n');
    body.advance(used + blank);
    Ok(Taken { lists, heard })
}
