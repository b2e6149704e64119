//! The servers that discovery lists: where each is, what is spoken with it, and whether it takes new work. Owns
//! the translation of discovery's entries into the lines of the decision module. Knows nothing of connections,
//! nor of the calls that brought the entries.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use pondproxy::settings::Deployment;
use pondproxy::{ListKind, Micros, ServerEntry, ServerId, ServerState};
use xxhash_rust::xxh3::xxh3_64;

use crate::discovery::{Endpoint, Listing};
use crate::upstream_pool::Speech;

/// A line of the log names so many servers at most.
const NAMED_IN_LOG: usize = 8;

/// A listed server.
pub struct Server {
    name: Box<str>,
    /// Where it is.
    pub address: SocketAddr,
    /// What is spoken with it.
    pub speech: Speech,
    /// How the decision module knows it.
    line: ServerEntry,
    /// When it last answered anything.
    pub heard: Micros,
}

/// What a list has changed.
#[derive(Default)]
pub struct Changes {
    /// The list for the decision module.
    pub lines: Vec<ServerEntry>,
    /// Servers to which no idle connection is of use any more.
    pub disconnected: Vec<ServerId>,
    /// What became of servers, by name.
    transitions: Vec<(Box<str>, Transition)>,
}

/// What became of a server.
enum Transition {
    /// It is in another condition than before.
    Turned(ServerState),
    /// It is at another address than before.
    Moved(SocketAddr),
}

impl std::fmt::Display for Transition {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Transition::Turned(ServerState::Ready) => write!(f, "ready"),
            Transition::Turned(ServerState::Draining) => write!(f, "draining"),
            Transition::Turned(ServerState::Removed) => write!(f, "gone"),
            Transition::Moved(address) => write!(f, "moved to {address}"),
        }
    }
}

impl Changes {
    /// What became of servers in words, for the log; nothing where nothing did.
    pub fn summary(&self) -> String {
        let named = self.transitions.iter().take(NAMED_IN_LOG);
        let mut words: Vec<_> = named.map(|(name, transition)| format!("{name} {transition}")).collect();
        match self.transitions.len().saturating_sub(NAMED_IN_LOG) {
            0 => {}
            more => words.push(format!("and {more} more")),
        }
        words.join(", ")
    }
}

/// All servers of the list in force.
pub struct ServerTable {
    deployment: Arc<Deployment>,
    servers: HashMap<ServerId, Server>,
}

impl ServerTable {
    /// A table that knows no server yet.
    pub fn new(deployment: Arc<Deployment>) -> Self {
        ServerTable { deployment, servers: HashMap::new() }
    }

    /// A server, if it is listed.
    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// A server that takes new work.
    pub fn ready(&self, id: ServerId) -> Option<&Server> {
        self.get(id).filter(|server| server.line.state == ServerState::Ready)
    }

    /// Whether any server takes new work.
    pub fn any_ready(&self) -> bool {
        self.servers.values().any(|server| server.line.state == ServerState::Ready)
    }

    /// A server has answered something.
    pub fn heard_from(&mut self, id: ServerId, now: Micros) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.heard = now;
        }
    }

    /// Takes over a list or a change of it.
    pub fn apply(&mut self, kind: ListKind, entries: &[Endpoint], now: Micros) -> Changes {
        let mut changes = Changes::default();
        for entry in entries {
            self.apply_entry(entry, now, &mut changes);
        }
        if kind != ListKind::Delta {
            self.remove_unlisted(entries, &mut changes);
        }
        self.remove_gone(&changes);
        changes
    }

    /// Takes over only which of the servers take no new work any more, by a list or a change of it.
    pub fn withdraw(&mut self, listing: &Listing, now: Micros) -> Changes {
        let mut changes = Changes::default();
        for entry in &listing.endpoints {
            if self.withdraws(entry, now) {
                self.apply_entry(entry, now, &mut changes);
            }
        }
        if listing.snapshot {
            self.remove_unlisted(&listing.endpoints, &mut changes);
        }
        self.remove_gone(&changes);
        changes
    }

    /// Whether an entry tells of a ready server that it takes no new work, and not of an earlier process of it.
    fn withdraws(&self, entry: &Endpoint, now: Micros) -> bool {
        let id = server_id(entry);
        let line = self.line(id, entry, now);
        let older = |server: &Server| line.started_at != 0 && line.started_at < server.line.started_at;
        line.state != ServerState::Ready && self.ready(id).is_some_and(|server| !older(server))
    }

    fn remove_gone(&mut self, changes: &Changes) {
        for line in changes.lines.iter().filter(|line| line.state == ServerState::Removed) {
            self.servers.remove(&line.id);
        }
    }

    fn apply_entry(&mut self, entry: &Endpoint, now: Micros, changes: &mut Changes) {
        let id = server_id(entry);
        let before = self.servers.get(&id);
        // An address that can't be read must not keep the rest of the entry from taking effect.
        let Some(address) = entry.address.parse().ok().or(before.map(|server| server.address)) else {
            return;
        };
        let line = self.line(id, entry, now);
        let speech = match self.deployment.settings.origin_machine_type == Some(line.machine_type) {
            true => Speech::Http,
            false => Speech::Resp,
        };
        let name = Box::from(entry.name.as_str());
        if before.map(|server| server.line.state) != Some(line.state) {
            changes.transitions.push((Box::clone(&name), Transition::Turned(line.state)));
        }
        let moved = before.is_some_and(|server| server.address != address);
        if moved {
            changes.transitions.push((Box::clone(&name), Transition::Moved(address)));
        }
        if line.state != ServerState::Ready || moved {
            changes.disconnected.push(id);
        }
        let heard = before.map_or(0, |server| server.heard);
        changes.lines.push(line.clone());
        self.servers.insert(id, Server { name, address, speech, line, heard });
    }

    fn line(&self, id: ServerId, entry: &Endpoint, now: Micros) -> ServerEntry {
        let place = |names: &[String], name: &String| names.iter().position(|known| known == name);
        ServerEntry {
            id,
            zone: place(&self.deployment.zones, &entry.zone).unwrap_or(255) as u8,
            cell: entry.group,
            machine_type: place(&self.deployment.machine_types, &entry.kind).unwrap_or(usize::from(u16::MAX))
                as u16,
            weight: entry.weight,
            // In the module's clock, which is Unix time here; 0 stays 0, and nothing starts in the future.
            started_at: match entry.since_ms {
                0 => 0,
                since_ms => since_ms.saturating_mul(1_000).min(now),
            },
            state: condition(entry),
        }
    }

    /// A server that a whole list does not name has been removed.
    fn remove_unlisted(&mut self, entries: &[Endpoint], changes: &mut Changes) {
        let listed: HashSet<_> = entries.iter().map(server_id).collect();
        for (id, server) in self.servers.iter_mut().filter(|(id, _)| !listed.contains(*id)) {
            changes.disconnected.push(*id);
            changes
                .transitions
                .push((std::mem::take(&mut server.name), Transition::Turned(ServerState::Removed)));
            changes.lines.push(ServerEntry { state: ServerState::Removed, ..server.line.clone() });
        }
    }
}

fn server_id(entry: &Endpoint) -> ServerId {
    xxh3_64(entry.name.as_bytes()) as ServerId
}

fn condition(entry: &Endpoint) -> ServerState {
    match entry.status.as_str() {
        "active" => ServerState::Ready,
        "left" => ServerState::Removed,
        _ => ServerState::Draining,
    }
}
