//! The servers that discovery lists: where each is, what is spoken with it, and whether it takes new work. Owns
//! the translation of discovery's entries into the lines of the decision module. Knows nothing of connections,
//! nor of the calls that brought the entries.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use pondproxy::settings::Deployment;
use pondproxy::{ListKind, Micros, ServerEntry, ServerId, ServerState};
use xxhash_rust::xxh3::xxh3_64;

use crate::discovery::{Endpoint, ListUpdate};
use crate::upstream_pool::Protocol;

/// A line of the log names so many servers at most.
const NAMED_IN_LOG: usize = 8;

/// A listed server.
pub struct Server {
    name: Box<str>,
    /// Where it is.
    pub address: SocketAddr,
    /// What is spoken with it.
    pub protocol: Protocol,
    /// How the decision module knows it.
    line: ServerEntry,
    /// When it last answered anything.
    pub last_answer_at: Micros,
}

/// What a list has changed.
#[derive(Default)]
pub struct ListChanges {
    /// The list for the decision module.
    pub entries: Vec<ServerEntry>,
    /// Servers to which no idle connection is of use any more.
    pub close_idle: Vec<ServerId>,
    /// What became of servers, by name.
    transitions: Vec<(Box<str>, ServerTransition)>,
}

/// What became of a server.
enum ServerTransition {
    /// It is in another condition than before.
    StateChanged(ServerState),
    /// It is at another address than before.
    Moved(SocketAddr),
}

impl std::fmt::Display for ServerTransition {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ServerTransition::StateChanged(ServerState::Ready) => write!(f, "ready"),
            ServerTransition::StateChanged(ServerState::Draining) => write!(f, "draining"),
            ServerTransition::StateChanged(ServerState::Removed) => write!(f, "gone"),
            ServerTransition::Moved(address) => write!(f, "moved to {address}"),
        }
    }
}

impl ListChanges {
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
    pub fn record_answer(&mut self, id: ServerId, now: Micros) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.last_answer_at = now;
        }
    }

    /// Takes over a list or a change of it.
    pub fn apply(&mut self, kind: ListKind, entries: &[Endpoint], now: Micros) -> ListChanges {
        let mut changes = ListChanges::default();
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
    pub fn apply_withdrawals(&mut self, listing: &ListUpdate, now: Micros) -> ListChanges {
        let mut changes = ListChanges::default();
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

    fn remove_gone(&mut self, changes: &ListChanges) {
        for line in changes.entries.iter().filter(|line| line.state == ServerState::Removed) {
            self.servers.remove(&line.id);
        }
    }

    fn apply_entry(&mut self, entry: &Endpoint, now: Micros, changes: &mut ListChanges) {
        let id = server_id(entry);
        let before = self.servers.get(&id);
        // An address that can't be read must not keep the rest of the entry from taking effect.
        let Some(address) = entry.address.parse().ok().or(before.map(|server| server.address)) else {
            return;
        };
        let line = self.line(id, entry, now);
        let protocol = match self.deployment.settings.origin_machine_type == Some(line.machine_type) {
            true => Protocol::Http,
            false => Protocol::Resp,
        };
        let name = Box::from(entry.name.as_str());
        if before.map(|server| server.line.state) != Some(line.state) {
            changes.transitions.push((Box::clone(&name), ServerTransition::StateChanged(line.state)));
        }
        let moved = before.is_some_and(|server| server.address != address);
        if moved {
            changes.transitions.push((Box::clone(&name), ServerTransition::Moved(address)));
        }
        if line.state != ServerState::Ready || moved {
            changes.close_idle.push(id);
        }
        let last_answer_at = before.map_or(0, |server| server.last_answer_at);
        changes.entries.push(line.clone());
        self.servers.insert(id, Server { name, address, protocol, line, last_answer_at });
    }

    fn line(&self, id: ServerId, entry: &Endpoint, now: Micros) -> ServerEntry {
        let place = |names: &[String], name: &String| names.iter().position(|known| known == name);
        ServerEntry {
            id,
            zone: place(&self.deployment.zones, &entry.zone).unwrap_or(255) as u8,
            cell: entry.group,
            machine_type: place(&self.deployment.machine_types, &entry.machine_type)
                .unwrap_or(usize::from(u16::MAX)) as u16,
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
    fn remove_unlisted(&mut self, entries: &[Endpoint], changes: &mut ListChanges) {
        let listed: HashSet<_> = entries.iter().map(server_id).collect();
        for (id, server) in self.servers.iter_mut().filter(|(id, _)| !listed.contains(*id)) {
            changes.close_idle.push(*id);
            changes.transitions.push((
                std::mem::take(&mut server.name),
                ServerTransition::StateChanged(ServerState::Removed),
            ));
            changes.entries.push(ServerEntry { state: ServerState::Removed, ..server.line.clone() });
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
