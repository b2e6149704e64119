//! Slow start: limits the attempts sent to a server that has just started and has a cold cache, so that it
//! does not crash under load. Owns the rate and the depth of a server's slow-start bucket; must not know how
//! a server is selected among those that it allows.
#![deny(clippy::too_many_lines, clippy::cognitive_complexity)]

use super::HOT_KEY_WINDOW_REQUESTS;
use crate::interface::Key;
use crate::state::*;

/// Rate of attempts that a cold server is allowed, as a multiple of the rate at a warmed-up server times the
/// cold server's present fraction of its full capacity.
const SLOW_START_RATE_MULTIPLE: f64 = 1.5;

impl Policy {
    /// Returns the least fraction of its full capacity that a server has at this time after its start.
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

    /// Whether slow start allows a request for a key at a server. A cold server gets a fraction of its keys,
    /// the same keys from every balancer; the fraction grows while the server warms up. Each balancer also
    /// sends it only a fraction of the requests of a warmed-up server, and none for hot keys. Prevents an
    /// overload from crashing the cold server.
    pub(super) fn slow_start_allows(&self, key: Key, server: &Server) -> bool {
        let capacity_fraction = self.capacity_fraction(server);
        let below_depth = |(level, depth)| level < depth;
        // Requests for a hot key would arrive from all balancers at once, although each balancer stays within
        // the limit of its bucket.
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

    /// Returns the level and the depth of a server's slow-start bucket, which limits attempts in proportion
    /// to the server's present capacity. The depth is one attempt more than this balancer's part of the
    /// allowed attempts in half of `Settings::crash_load_time`. With many balancers, the part of each is
    /// less than one attempt, so the bucket of a new process starts at one attempt and a random fraction of
    /// another. Without this, the first attempts of all balancers would arrive at once and overload the
    /// server.
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
