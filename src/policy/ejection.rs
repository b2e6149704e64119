//! Ejection of servers and zones that fail or are silent: when it begins and how long it lasts. Must not know
//! how requests are spread over the servers that are left.
#![deny(clippy::too_many_lines, clippy::cognitive_complexity)]

use crate::interface::*;
use crate::state::*;

/// Number of failures after which a server is ejected; each answer between them reduces the count by one.
/// Also the number of unanswered attempts after which a zone is ejected; an answer from the zone resets
/// that count.
const EJECTION_FAILURE_THRESHOLD: u32 = 3;
/// Shortest ejection as a multiple of the longest latency target. Each further ejection without an answer in
/// between takes twice as long as the one before.
const MIN_EJECTION_MULTIPLE_OF_LATENCY_TARGET: u64 = 1;
/// Longest ejection as a multiple of the longest latency target.
const MAX_EJECTION_MULTIPLE_OF_LATENCY_TARGET: u64 = 8;

impl Policy {
    /// Counts an attempt that could not connect or was not answered for a long time, if no server of its
    /// zone has answered since the attempt was sent. Ejects the whole zone after several such attempts.
    /// Without this, a balancer that sends each server few requests would detect the failure of the zone
    /// one server at a time. Has no effect if no other zone has a server that is not ejected.
    pub(super) fn record_zone_failure(
        &mut self,
        server_id: ServerId,
        sent_at: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(zone) = self.servers.get(&server_id).map(|server| server.entry.zone) else { return };
        if !self.ready_servers(false).any(|server| server.entry.zone != zone && server.ejection.until == 0) {
            return; // No other zone is available.
        }
        let ejection_time = self.min_ejection_time();
        let zone_state = self.zones.entry(zone).or_default();
        zone_state.unanswered += u32::from(zone_state.last_answer_at < sent_at);
        if zone_state.unanswered < EJECTION_FAILURE_THRESHOLD {
            return;
        }
        if zone_state.unanswered == EJECTION_FAILURE_THRESHOLD {
            actions.push(Action::Log(format!("zone {zone} is silent: ejected")));
            // Checks all reads in flight now, so that those in the zone are retried at once.
            let pending_reads = self.attempts.iter().filter(|(_, attempt)| attempt.purpose == Purpose::Read);
            pending_reads.for_each(|(&(request_id, attempt_number), _)| {
                self.timers.schedule(self.now, TimerTask::MissingAnswer(request_id, attempt_number))
            });
        }
        for server in
            self.servers.values_mut().filter(|server| server.entry.zone == zone && !server.is_origin)
        {
            server.ejection.until = server.ejection.until.max(self.now + ejection_time);
            server.ejection.duration = server.ejection.duration.max(ejection_time);
        }
    }

    /// Whether an attempt was sent to a zone that has been ejected as silent and has not answered since the
    /// attempt was sent.
    pub(super) fn in_silent_zone(&self, attempt: &Attempt) -> bool {
        let zone_state = self
            .servers
            .get(&attempt.server)
            .filter(|server| !server.is_origin)
            .and_then(|server| self.zones.get(&server.entry.zone));
        zone_state.is_some_and(|zone_state| {
            zone_state.unanswered >= EJECTION_FAILURE_THRESHOLD && zone_state.last_answer_at < attempt.sent_at
        })
    }

    /// Returns the shortest ejection of a server.
    pub(super) fn min_ejection_time(&self) -> Micros {
        (self.latency_target * MIN_EJECTION_MULTIPLE_OF_LATENCY_TARGET)
            .max(self.per_server_request_interval() as Micros)
            .min(self.latency_target * MAX_EJECTION_MULTIPLE_OF_LATENCY_TARGET)
    }

    /// Counts a failure of a server. Ejects the server when the failure count, which each answer reduces by
    /// one, reaches a threshold. A failure after an ejection has ended, with no answer since, is a failed
    /// trial and ejects the server again at once. Prevents further attempts at a server that is down.
    pub(super) fn record_server_failure(&mut self, server_id: ServerId, actions: &mut Vec<Action>) {
        let (request_interval, min_ejection_time) =
            (self.per_server_request_interval(), self.min_ejection_time());
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        server.failure_count += 1;
        let trial_failed = server.ejection.until != 0 && self.now >= server.ejection.until;
        // A balancer that sends a server less than one request per latency target ejects it at the first
        // failed connection or error: it would meet the same failure again and again, and loses little by
        // doing without the server for a while. A single slow request is not such a failure.
        let definite_failure = server.connect_failed || server.returned_error;
        let threshold = if definite_failure {
            (self.latency_target as f64 / request_interval.max(1.0)).ceil() as u32
        } else {
            EJECTION_FAILURE_THRESHOLD
        };
        if trial_failed
            || (server.ejection.until == 0
                && server.failure_count >= threshold.clamp(1, EJECTION_FAILURE_THRESHOLD))
        {
            let duration = (server.ejection.duration * 2)
                .clamp(min_ejection_time, self.latency_target * MAX_EJECTION_MULTIPLE_OF_LATENCY_TARGET);
            server.ejection = Ejection { until: self.now + duration, duration };
            actions.push(Action::Log(format!("server {server_id} fails or is silent: ejected")));
        }
    }
}
