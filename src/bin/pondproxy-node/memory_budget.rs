//! A budget for the memory that clients and servers can make a node hold: commands, their values, and answers
//! in transit.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Memory for the program itself, its tables, the runtime and the connections; not part of the budget.
const BASELINE_MB: usize = 12;
/// Bytes of real memory that a reserved byte may cost: buffers grow by doubling, and the heap fragments.
const BUFFER_OVERHEAD_FACTOR: usize = 2;
/// Unit in which the budget is counted.
const UNIT_BYTES: usize = 1024;
/// Buffered commands that wait for earlier commands of their connection may use at most the budget divided by
/// this; the rest is left to accepted requests.
const PIPELINED_DIVISOR: usize = 4;
/// Replies that become longer than expected may together use at most the budget divided by this; the rest is
/// left to accepted requests.
const REPLY_GROWTH_DIVISOR: usize = 2;

/// A memory budget; its clones share it.
#[derive(Clone)]
pub struct MemoryBudget {
    available: Arc<Semaphore>,
    /// The part of the budget that pipelined input may still reserve.
    pipelined_available: Arc<Semaphore>,
    /// The part of the budget that replies longer than expected may still reserve.
    reply_growth_available: Arc<Semaphore>,
    total_units: u32,
}

/// A reserved part of the budget, released when dropped.
#[derive(Debug)]
#[expect(dead_code, reason = "held for its drop")]
pub struct MemoryReservation(OwnedSemaphorePermit, Option<OwnedSemaphorePermit>);

impl MemoryBudget {
    /// Returns the budget of a node whose whole process may use `memory_mb` megabytes.
    pub fn new(memory_mb: usize) -> MemoryBudget {
        let total_units = (memory_mb.saturating_sub(BASELINE_MB).max(4) * 1024 * 1024
            / BUFFER_OVERHEAD_FACTOR
            / UNIT_BYTES)
            .min(1 << 28);
        let part = |divisor| Arc::new(Semaphore::new(total_units / divisor));
        MemoryBudget {
            available: part(1),
            pipelined_available: part(PIPELINED_DIVISOR),
            reply_growth_available: part(REPLY_GROWTH_DIVISOR),
            total_units: total_units as u32,
        }
    }

    /// Returns the size of the whole budget in bytes.
    pub fn total_bytes(&self) -> usize {
        self.total_units as usize * UNIT_BYTES
    }

    fn units_for(&self, bytes: usize) -> u32 {
        // Capped at the whole budget: a larger reservation would never be granted.
        bytes.div_ceil(UNIT_BYTES).min(self.total_units as usize) as u32
    }

    /// Reserves `bytes` if they are available.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let available = self.available.clone().try_acquire_many_owned(self.units_for(bytes)).ok()?;
        Some(MemoryReservation(available, None))
    }

    /// Reserves `bytes` for pipelined input if they are available.
    pub fn try_reserve_pipelined(&self, bytes: usize) -> Option<MemoryReservation> {
        self.try_reserve_from_part(&self.pipelined_available, bytes)
    }

    /// Reserves `bytes` for a reply that has become longer than expected if they are available.
    pub fn try_reserve_reply_growth(&self, bytes: usize) -> Option<MemoryReservation> {
        self.try_reserve_from_part(&self.reply_growth_available, bytes)
    }

    fn try_reserve_from_part(&self, part: &Arc<Semaphore>, bytes: usize) -> Option<MemoryReservation> {
        let part_permit = part.clone().try_acquire_many_owned(self.units_for(bytes)).ok()?;
        Some(MemoryReservation(self.try_reserve(bytes)?.0, Some(part_permit)))
    }

    /// Reserves `bytes`, waiting until they are available.
    pub async fn reserve(&self, bytes: usize) -> MemoryReservation {
        match self.available.clone().acquire_many_owned(self.units_for(bytes)).await {
            Ok(permit) => MemoryReservation(permit, None),
            Err(_) => std::future::pending().await, // The semaphore is never closed.
        }
    }
}
