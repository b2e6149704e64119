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
const MAX_SERVERS_PER_LOG_LINE: usize = 8;

/// A listed server.
pub struct Server {
    name: Box<str>,
    /// Where it is.
    pub address: SocketAddr,
    /// What is spoken with it.
    pub protocol: Protocol,
    /// How the decision module knows it.
    entry: ServerEntry,
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
        let named = self.transitions.iter().take(MAX_SERVERS_PER_LOG_LINE);
        let mut parts: Vec<_> = named.map(|(name, transition)| format!("{name} {transition}")).collect();
        match self.transitions.len().saturating_sub(MAX_SERVERS_PER_LOG_LINE) {
            0 => {}
            omitted => parts.push(format!("and {omitted} more")),
        }
        parts.join(", ")
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
        self.get(id).filter(|server| server.entry.state == ServerState::Ready)
    }

    /// Whether any server takes new work.
    pub fn any_ready(&self) -> bool {
        self.servers.values().any(|server| server.entry.state == ServerState::Ready)
    }

    /// A server has answered something.
    pub fn record_answer(&mut self, id: ServerId, now: Micros) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.last_answer_at = now;
        }
    }

    /// Takes over a list or a change of it.
    pub fn apply(&mut self, kind: ListKind, endpoints: &[Endpoint], now: Micros) -> ListChanges {
        let mut changes = ListChanges::default();
        for endpoint in endpoints {
            self.apply_endpoint(endpoint, now, &mut changes);
        }
        if kind != ListKind::Delta {
            self.remove_unlisted(endpoints, &mut changes);
        }
        self.forget_removed_servers(&changes);
        changes
    }

    /// Takes over only which of the servers take no new work any more, by a list or a change of it.
    pub fn apply_withdrawals(&mut self, update: &ListUpdate, now: Micros) -> ListChanges {
        let mut changes = ListChanges::default();
        for endpoint in &update.endpoints {
            if self.withdraws_server(endpoint, now) {
                self.apply_endpoint(endpoint, now, &mut changes);
            }
        }
        if update.snapshot {
            self.remove_unlisted(&update.endpoints, &mut changes);
        }
        self.forget_removed_servers(&changes);
        changes
    }

    /// Whether an entry tells of a ready server that it takes no new work, and not of an earlier process of it.
    fn withdraws_server(&self, endpoint: &Endpoint, now: Micros) -> bool {
        let id = server_id(endpoint);
        let entry = self.server_entry(id, endpoint, now);
        let is_earlier_process =
            |server: &Server| entry.started_at != 0 && entry.started_at < server.entry.started_at;
        entry.state != ServerState::Ready && self.ready(id).is_some_and(|server| !is_earlier_process(server))
    }

    fn forget_removed_servers(&mut self, changes: &ListChanges) {
        for entry in changes.entries.iter().filter(|entry| entry.state == ServerState::Removed) {
            self.servers.remove(&entry.id);
        }
    }

    fn apply_endpoint(&mut self, endpoint: &Endpoint, now: Micros, changes: &mut ListChanges) {
        let id = server_id(endpoint);
        let previous = self.servers.get(&id);
        // An address that can't be read must not keep the rest of the entry from taking effect.
        let Some(address) = endpoint.address.parse().ok().or(previous.map(|server| server.address)) else {
            return;
        };
        let entry = self.server_entry(id, endpoint, now);
        let protocol = match self.deployment.settings.origin_machine_type == Some(entry.machine_type) {
            true => Protocol::Http,
            false => Protocol::Resp,
        };
        let name = Box::from(endpoint.name.as_str());
        if previous.map(|server| server.entry.state) != Some(entry.state) {
            changes.transitions.push((Box::clone(&name), ServerTransition::StateChanged(entry.state)));
        }
        let moved = previous.is_some_and(|server| server.address != address);
        if moved {
            changes.transitions.push((Box::clone(&name), ServerTransition::Moved(address)));
        }
        if entry.state != ServerState::Ready || moved {
            changes.close_idle.push(id);
        }
        let last_answer_at = previous.map_or(0, |server| server.last_answer_at);
        changes.entries.push(entry.clone());
        self.servers.insert(id, Server { name, address, protocol, entry, last_answer_at });
    }

    fn server_entry(&self, id: ServerId, endpoint: &Endpoint, now: Micros) -> ServerEntry {
        let index_of = |names: &[String], name: &String| names.iter().position(|candidate| candidate == name);
        ServerEntry {
            id,
            zone: index_of(&self.deployment.zones, &endpoint.zone).unwrap_or(255) as u8,
            cell: endpoint.group,
            machine_type: index_of(&self.deployment.machine_types, &endpoint.machine_type)
                .unwrap_or(usize::from(u16::MAX)) as u16,
            weight: endpoint.weight,
            // In the module's clock, which is Unix time here; 0 stays 0, and nothing starts in the future.
            started_at: match endpoint.since_ms {
                0 => 0,
                since_ms => since_ms.saturating_mul(1_000).min(now),
            },
            state: server_state(endpoint),
        }
    }

    /// A server that a whole list does not name has been removed.
    fn remove_unlisted(&mut self, endpoints: &[Endpoint], changes: &mut ListChanges) {
        let listed: HashSet<_> = endpoints.iter().map(server_id).collect();
        for (id, server) in self.servers.iter_mut().filter(|(id, _)| !listed.contains(*id)) {
            changes.close_idle.push(*id);
            changes.transitions.push((
                std::mem::take(&mut server.name),
                ServerTransition::StateChanged(ServerState::Removed),
            ));
            changes.entries.push(ServerEntry { state: ServerState::Removed, ..server.entry.clone() });
        }
    }
}

fn server_id(endpoint: &Endpoint) -> ServerId {
    xxh3_64(endpoint.name.as_bytes()) as ServerId
}

fn server_state(endpoint: &Endpoint) -> ServerState {
    match endpoint.status.as_str() {
        "active" => ServerState::Ready,
        "left" => ServerState::Removed,
        _ => ServerState::Draining,
    }
}
