//! What a cold server is sent, the part of `policy.rs` that keeps one from being pushed over.

use super::HOT_KEY_WINDOW_REQUESTS;
use crate::interface::Key;
use crate::state::*;

/// A cold server gets this multiple of a warm server's attempts, scaled by its present part of capacity.
const SLOW_START_RATE_MULTIPLE: f64 = 1.5;

impl Policy {
    /// Part of its capacity that a server has at the least, some time after its start.
    fn capacity_fraction(&self, server: &Server) -> f64 {
        let warmed_up_fraction = self.now.saturating_sub(server.entry.started_at) as f64
            / self.settings.warm_up_time.max(1) as f64;
        let initial_fraction = self.settings.initial_capacity_share;
        if server.entry.started_at == 0 {
            1.0
        } else {
            (initial_fraction + (1.0 - initial_fraction) * warmed_up_fraction).min(1.0)
        }
    }

    /// Against pushing a cold server over: it gets a part of its keys that grows as it warms, the same
    /// keys from every balancer, and from each no more than a part of a warm server's requests.
    pub(super) fn slow_start_allows(&self, key: Key, server: &Server) -> bool {
        let capacity_fraction = self.capacity_fraction(server);
        let below_depth = |(level, depth)| level < depth;
        // A hot key would come from all balancers at once, from each within its bucket.
        let is_hot = || {
            self.recent_requests
                .iter()
                .take(HOT_KEY_WINDOW_REQUESTS)
                .filter(|(recent, _)| *recent == key)
                .count()
                > 1
        };
        capacity_fraction >= 1.0
            || (unit_hash(key, server.entry.id, 1) < capacity_fraction
                && below_depth(self.slow_start_level_and_depth(server))
                && !is_hot())
    }

    /// Level and depth of the bucket of attempts at a server, as cold as it is. Of many balancers the part of
    /// each is less than one attempt: it begins with a random part of one owed, else the first attempts of
    /// all would come at once and push the server over.
    pub(super) fn slow_start_level_and_depth(&self, server: &Server) -> (f64, f64) {
        let rate = SLOW_START_RATE_MULTIPLE
            * self.capacity_fraction(server)
            * self.expected_request_rate()
            * self.server_weight(server)
            / self.total_weight
            / 1e6;
        let level = server.slow_start_bucket.level - rate * (self.now - server.slow_start_bucket.at) as f64;
        (level.max(0.0), 1.0 + rate * self.settings.crash_load_time as f64 / 2.0)
    }
}
