//! One budget of memory for all that clients and servers can make a node hold: commands, their values, and
//! answers on their way.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The program itself, its tables and what the runtime and each connection take.
const BASELINE_MB: usize = 12;
/// A byte that is accounted for may cost this many: buffers grow by doubling and leave gaps behind.
const BUFFER_OVERHEAD_FACTOR: usize = 2;
/// The unit of the account.
const UNIT_BYTES: usize = 1024;
/// What clients send ahead may take this part: the rest is left to requests that are taken.
const PIPELINED_DIVISOR: usize = 4;

/// The budget.
#[derive(Clone)]
pub struct MemoryBudget {
    available: Arc<Semaphore>,
    /// What of it may still go to what was sent ahead.
    pipelined_available: Arc<Semaphore>,
    total_units: u32,
}

/// A part of the budget, given back when dropped.
#[derive(Debug)]
#[expect(dead_code, reason = "held for its drop")]
pub struct MemoryReservation(OwnedSemaphorePermit, Option<OwnedSemaphorePermit>);

impl MemoryBudget {
    /// The budget of a node that may have so many megabytes in all.
    pub fn new(memory_mb: usize) -> MemoryBudget {
        let total_units = (memory_mb.saturating_sub(BASELINE_MB).max(4) * 1024 * 1024
            / BUFFER_OVERHEAD_FACTOR
            / UNIT_BYTES)
            .min(1 << 28);
        let (available, pipelined_available) = (
            Arc::new(Semaphore::new(total_units)),
            Arc::new(Semaphore::new(total_units / PIPELINED_DIVISOR)),
        );
        MemoryBudget { available, pipelined_available, total_units: total_units as u32 }
    }

    /// The whole of it, in bytes.
    pub fn total_bytes(&self) -> usize {
        self.total_units as usize * UNIT_BYTES
    }

    fn units_for(&self, bytes: usize) -> u32 {
        // More than all there is would be waited for in vain.
        bytes.div_ceil(UNIT_BYTES).min(self.total_units as usize) as u32
    }

    /// A part for some bytes, if it is free.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let available = self.available.clone().try_acquire_many_owned(self.units_for(bytes)).ok()?;
        Some(MemoryReservation(available, None))
    }

    /// A part for some bytes that were sent ahead, if it is free.
    pub fn try_reserve_pipelined(&self, bytes: usize) -> Option<MemoryReservation> {
        let pipelined_available =
            self.pipelined_available.clone().try_acquire_many_owned(self.units_for(bytes)).ok()?;
        Some(MemoryReservation(self.try_reserve(bytes)?.0, Some(pipelined_available)))
    }

    /// A part for some bytes, once it is free.
    pub async fn reserve(&self, bytes: usize) -> MemoryReservation {
        match self.available.clone().acquire_many_owned(self.units_for(bytes)).await {
            Ok(permit) => MemoryReservation(permit, None),
            Err(_) => std::future::pending().await, // It is never closed.
        }
    }
}
