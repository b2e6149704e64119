//! The servers that discovery lists: the address and protocol of each, and whether it accepts new requests.
//! Owns the conversion of discovery's entries to server entries of the decision module. Knows nothing of
//! connections, nor of the calls that received the entries.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use pondproxy::settings::Deployment;
use pondproxy::{ListKind, Micros, ServerEntry, ServerId, ServerState};
use xxhash_rust::xxh3::xxh3_64;

use crate::discovery::{Endpoint, ListUpdate};
use crate::upstream_pool::Protocol;

/// Maximum number of servers that a log line names; the others are only counted.
const MAX_SERVERS_PER_LOG_LINE: usize = 8;

/// A listed server.
pub struct Server {
    pub name: Box<str>,
    pub address: SocketAddr,
    pub protocol: Protocol,
    /// The latest entry that was passed to the decision module.
    entry: ServerEntry,
    /// Time of the last answer of any kind; 0 if there was none.
    pub last_answer_at: Micros,
}

/// Changes that a list has made.
#[derive(Default)]
pub struct ListChanges {
    /// Entries for the decision module.
    pub entries: Vec<ServerEntry>,
    /// Servers whose idle connections are no longer of use.
    pub close_idle: Vec<ServerId>,
    /// Names of the servers that changed, with what changed.
    transitions: Vec<(Box<str>, ServerTransition)>,
}

/// A change of a server.
enum ServerTransition {
    StateChanged(ServerState),
    /// The address changed.
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
    /// Describes the changes of servers for the log; empty if there are none.
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

/// The servers of the list in force.
pub struct ServerTable {
    deployment: Arc<Deployment>,
    servers: HashMap<ServerId, Server>,
}

impl ServerTable {
    /// Returns an empty table.
    pub fn new(deployment: Arc<Deployment>) -> Self {
        ServerTable { deployment, servers: HashMap::new() }
    }

    /// Returns a server if it is listed.
    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// Returns a server if it accepts new requests.
    pub fn ready(&self, id: ServerId) -> Option<&Server> {
        self.get(id).filter(|server| server.entry.state == ServerState::Ready)
    }

    /// Whether any server accepts new requests.
    pub fn any_ready(&self) -> bool {
        self.servers.values().any(|server| server.entry.state == ServerState::Ready)
    }

    /// Records that a server has answered.
    pub fn record_answer(&mut self, id: ServerId, now: Micros) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.last_answer_at = now;
        }
    }

    /// Applies a list or a change of the list.
    pub fn apply(&mut self, kind: ListKind, endpoints: &[Endpoint], now: Micros) -> ListChanges {
        let mut changes = ListChanges::default();
        for endpoint in endpoints {
            self.apply_endpoint(endpoint, now, &mut changes);
        }
        if kind != ListKind::Delta {
            self.record_unlisted_as_removed(endpoints, &mut changes);
        }
        self.delete_removed_servers(&changes);
        changes
    }

    /// Applies only withdrawals: entries that state that a ready server no longer accepts requests, and the
    /// removal of servers that a complete list does not contain.
    pub fn apply_withdrawals(&mut self, update: &ListUpdate, now: Micros) -> ListChanges {
        let mut changes = ListChanges::default();
        for endpoint in &update.endpoints {
            if self.withdraws_server(endpoint, now) {
                self.apply_endpoint(endpoint, now, &mut changes);
            }
        }
        if update.snapshot {
            self.record_unlisted_as_removed(&update.endpoints, &mut changes);
        }
        self.delete_removed_servers(&changes);
        changes
    }

    /// Whether an entry states that a ready server no longer accepts requests, and is not about an earlier
    /// process of that server.
    fn withdraws_server(&self, endpoint: &Endpoint, now: Micros) -> bool {
        let id = server_id(endpoint);
        let entry = self.server_entry(id, endpoint, now);
        let is_earlier_process =
            |server: &Server| entry.started_at != 0 && entry.started_at < server.entry.started_at;
        entry.state != ServerState::Ready && self.ready(id).is_some_and(|server| !is_earlier_process(server))
    }

    /// Deletes from the table the servers that `changes` states as removed.
    fn delete_removed_servers(&mut self, changes: &ListChanges) {
        for entry in changes.entries.iter().filter(|entry| entry.state == ServerState::Removed) {
            self.servers.remove(&entry.id);
        }
    }

    fn apply_endpoint(&mut self, endpoint: &Endpoint, now: Micros, changes: &mut ListChanges) {
        let id = server_id(endpoint);
        let previous = self.servers.get(&id);
        // If the address cannot be parsed, the previous one is kept and the rest of the entry still takes
        // effect. Without a previous one the entry is skipped.
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
        // A zone or machine type that the settings do not name gets the highest index.
        let index_of = |names: &[String], name: &String| names.iter().position(|candidate| candidate == name);
        ServerEntry {
            id,
            zone: index_of(&self.deployment.zones, &endpoint.zone).unwrap_or(255) as u8,
            cell: endpoint.group,
            machine_type: index_of(&self.deployment.machine_types, &endpoint.machine_type)
                .unwrap_or(usize::from(u16::MAX)) as u16,
            weight: endpoint.weight,
            // In microseconds of the node's clock, which shows Unix time. 0 stays 0; a time in the future
            // becomes now.
            started_at: match endpoint.since_ms {
                0 => 0,
                since_ms => since_ms.saturating_mul(1_000).min(now),
            },
            state: server_state(endpoint),
        }
    }

    /// Adds the removal of each server that a complete list does not contain to `changes`; the server itself
    /// stays in the table.
    fn record_unlisted_as_removed(&mut self, endpoints: &[Endpoint], changes: &mut ListChanges) {
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
