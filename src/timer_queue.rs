//! A queue of timers that are not cancelled one by one. A timer whose purpose is gone, such as the deadline
//! of an answered request, stays in the queue at first. Without [`TimerQueue::compact`] it would stay until
//! its time comes, and the queue would grow with the rate of requests times their deadline.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::Micros;

/// Number of timers up to which a queue is never compacted.
const MIN_COMPACTION_LENGTH: usize = 4096;

/// Timers ordered by their times.
pub struct TimerQueue<T> {
    timers: BinaryHeap<Reverse<(Micros, T)>>,
    /// Number of timers from which on the queue is compacted.
    compaction_length: usize,
}

impl<T: Ord> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue { timers: BinaryHeap::new(), compaction_length: MIN_COMPACTION_LENGTH }
    }
}

impl<T: Ord> TimerQueue<T> {
    /// Schedules a timer.
    pub fn schedule(&mut self, time: Micros, timer: T) {
        self.timers.push(Reverse((time, timer)));
    }

    /// Returns the time of the first timer.
    pub fn next_time(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse((time, _))| *time)
    }

    /// Removes and returns the first timer if its time has come.
    pub fn pop_due(&mut self, now: Micros) -> Option<T> {
        self.next_time().filter(|time| *time <= now)?;
        self.timers.pop().map(|Reverse((_, timer))| timer)
    }

    /// Removes the timers that are no longer needed, if the queue has at least doubled since it was last
    /// compacted. The work is thus a constant for each scheduled timer on average.
    pub fn compact(&mut self, is_needed: impl Fn(&T) -> bool) {
        if self.timers.len() < self.compaction_length {
            return;
        }
        self.timers.retain(|Reverse((_, timer))| is_needed(timer));
        self.compaction_length = (2 * self.timers.len()).max(MIN_COMPACTION_LENGTH);
    }

    /// Returns the number of timers in the queue.
    pub fn len(&self) -> usize {
        self.timers.len()
    }

    /// Whether the queue has no timers.
    pub fn is_empty(&self) -> bool {
        self.timers.is_empty()
    }
}
