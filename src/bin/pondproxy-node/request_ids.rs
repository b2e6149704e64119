//! The ids of open requests, and of recent ones that may have had side effects. A request whose id is in the
//! table is not forwarded: a client that leaves before it has its reply, and comes again with the same id,
//! would otherwise have its write executed twice.

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_128;

/// Maximum number of remembered ids. The oldest one is forgotten for a new one.
const MAX_REMEMBERED_IDS: usize = 16 * 1024;

/// Why an id cannot be used.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum IdConflict {
    /// A request with this id is open.
    Open,
    /// A request with this id was forwarded, and may have had side effects.
    MayHaveRun,
}

/// The table of ids, shared by all client connections.
#[derive(Default)]
pub struct RequestIds(Mutex<IdTable>);

#[derive(Default)]
struct IdTable {
    open: HashSet<Bytes>,
    /// Hashes of the remembered ids.
    remembered: HashSet<u128>,
    /// The same hashes, the oldest first.
    oldest_first: VecDeque<u128>,
}

impl IdTable {
    fn remember(&mut self, hash: u128) {
        if !self.remembered.insert(hash) {
            return;
        }
        self.oldest_first.push_back(hash);
        if self.oldest_first.len() > MAX_REMEMBERED_IDS
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.remembered.remove(&oldest);
        }
    }
}

impl RequestIds {
    fn lock(&self) -> MutexGuard<'_, IdTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Claims an id for a request that is about to be forwarded. `has_side_effects` is whether executing the
    /// request twice does harm.
    pub fn claim(self: &Arc<Self>, id: &Bytes, has_side_effects: bool) -> Result<ClaimedId, IdConflict> {
        let mut table = self.lock();
        if table.remembered.contains(&xxh3_128(id)) {
            return Err(IdConflict::MayHaveRun);
        }
        match table.open.insert(id.clone()) {
            true => Ok(ClaimedId { id: id.clone(), remember: has_side_effects, ids: self.clone() }),
            false => Err(IdConflict::Open),
        }
    }
}

/// The id of an open request. When it is dropped, the id is free again, or remembered if the request may have
/// had side effects.
pub struct ClaimedId {
    id: Bytes,
    remember: bool,
    ids: Arc<RequestIds>,
}

impl ClaimedId {
    /// Records that the request was refused and never executed, so that its id may be used again.
    pub fn set_never_executed(&mut self) {
        self.remember = false;
    }
}

impl Drop for ClaimedId {
    fn drop(&mut self) {
        let mut table = self.ids.lock();
        table.open.remove(&self.id);
        if self.remember {
            table.remember(xxh3_128(&self.id));
        }
    }
}

#[cfg(test)]
mod tests;
