//! What a cold server is sent, the part of `policy.rs` that keeps one from being pushed over.

use super::HOT;
use crate::interface::Key;
use crate::state::*;

/// A cold server gets this multiple of a warm server's attempts, scaled by its present part of capacity.
const COLD_RATE: f64 = 1.5;

impl Policy {
    /// Part of its capacity that a server has at the least, some time after its start.
    fn warmth(&self, s: &Server) -> f64 {
        let age =
            self.now.saturating_sub(s.entry.started_at) as f64 / self.settings.warm_up_time.max(1) as f64;
        let share = self.settings.initial_capacity_share;
        if s.entry.started_at == 0 { 1.0 } else { (share + (1.0 - share) * age).min(1.0) }
    }

    /// Against pushing a cold server over: it gets a part of its keys that grows as it warms, the same
    /// keys from every balancer, and from each no more than a part of a warm server's requests.
    pub(super) fn warm_enough(&self, key: Key, s: &Server) -> bool {
        let warmth = self.warmth(s);
        let room = |(level, depth)| level < depth;
        // A hot key would come from all balancers at once, from each within its bucket.
        let hot = || self.recent_requests.iter().take(HOT).filter(|(recent, _)| *recent == key).count() > 1;
        warmth >= 1.0 || (unit_hash(key, s.entry.id, 1) < warmth && room(self.cold_bucket(s)) && !hot())
    }

    /// Level and depth of the bucket of attempts at a server, as cold as it is. Of many balancers the part of
    /// each is less than one attempt: it begins with a random part of one owed, else the first attempts of
    /// all would come at once and push the server over.
    pub(super) fn cold_bucket(&self, s: &Server) -> (f64, f64) {
        let rate = COLD_RATE * self.warmth(s) * self.share() * self.weight(s) / self.total_weight / 1e6;
        let level = s.slow_start_bucket.level - rate * (self.now - s.slow_start_bucket.at) as f64;
        (level.max(0.0), 1.0 + rate * self.settings.crash_load_time as f64 / 2.0)
    }
}
