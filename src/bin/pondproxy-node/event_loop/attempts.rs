//! The part of the event loop that handles attempts: from the decision module's wish to send a request to a
//! server, by way of a connection, to the outcome that the module gets.

use pondproxy::{CacheLookup, Event, LoadReport, Micros, Outcome, RequestId, ServerId, Status};

use super::answer::Answer;
use super::{Attempt, Node, NodeTimer};
use crate::connection_slots::ClientId;
use crate::upstream_pool::{AttemptId, ConnEvent, ConnId, MalformedReply, Protocol, ServerReply};
use crate::{cache_protocol, log, origin_protocol};

impl Node {
    pub(super) fn start_attempt(&mut self, id: RequestId, server: ServerId, timeout: Micros) {
        let now = self.clock.now();
        let Some(open_request) = self.open_requests.get_mut(&id) else { return };
        let attempt_id = (id, open_request.attempts_sent);
        (open_request.attempts_sent, open_request.attempts_in_flight) =
            (open_request.attempts_sent + 1, open_request.attempts_in_flight + 1);
        let may_send = !open_request.finished
            && u32::from(attempt_id.1) < self.deployment.settings.max_attempts
            && now < open_request.deadline;
        let timeout_at =
            if timeout == 0 { open_request.deadline } else { open_request.deadline.min(now + timeout) };
        let target = self.servers.get(server).filter(|_| may_send);
        let Some((address, protocol)) = target.map(|server| (server.address, server.protocol)) else {
            self.attempts.insert(attempt_id, Attempt { server, sent_at: now, conn_id: 0 });
            return self.end_attempt(attempt_id, Status::NotSent);
        };
        let connection = match self.pool.reuse(server, attempt_id, now) {
            Some(conn_id) => Some((conn_id, true)),
            // A new connection costs its server work, so none is opened for a disconnected client.
            None if open_request.liveness.disconnected() => {
                let client = open_request.client;
                self.attempts.insert(attempt_id, Attempt { server, sent_at: now, conn_id: 0 });
                return self.abort_unsent_attempt(attempt_id, client);
            }
            None => self.pool.connect(server, address, protocol, attempt_id).map(|conn_id| (conn_id, false)),
        };
        let Some((conn_id, already_connected)) = connection else {
            // Limit on sockets: no connection slot is free for this attempt.
            self.attempts.insert(attempt_id, Attempt { server, sent_at: now, conn_id: 0 });
            return self.end_attempt(attempt_id, Status::NotSent);
        };
        self.attempts.insert(attempt_id, Attempt { server, sent_at: now, conn_id });
        self.timers.schedule(timeout_at, NodeTimer::AttemptTimeout(id, attempt_id.1));
        if already_connected {
            self.write_attempt(attempt_id, conn_id);
        }
    }

    /// Passes the request of an attempt to its established connection.
    fn write_attempt(&mut self, attempt_id: AttemptId, conn_id: ConnId) {
        let now = self.clock.now();
        let Some(attempt) = self.attempts.get(&attempt_id) else { return };
        // The attempt may have waited for its connection since the decision to send it. Without this check,
        // it could be sent to a server that has begun to drain or was removed from the list, by a list that
        // may no longer be used, or for a request that has ended meanwhile: answered, past its deadline, or
        // with a disconnected client.
        let list_is_usable = self.policy.list_is_usable(now);
        let server = self.servers.ready(attempt.server).filter(|_| list_is_usable);
        let open_request = self
            .open_requests
            .get(&attempt_id.0)
            .filter(|open_request| !open_request.finished && now < open_request.deadline);
        let (Some(server), Some(open_request)) = (server, open_request) else {
            if server.is_none()
                && let Some(open_request) = open_request
            {
                let id = String::from_utf8_lossy(&open_request.command.id);
                let reason = match list_is_usable {
                    true => "its server no longer accepts requests",
                    false => "discovery has not confirmed the server list in time",
                };
                log(&format!("request {id}: attempt {} not sent, {reason}", attempt_id.1));
            }
            let address = self.servers.get(attempt.server).map(|server| server.address);
            self.pool.release(conn_id, address, now);
            return self.end_attempt(attempt_id, Status::NotSent);
        };
        // The address of the server may have changed in the list while the connection was being established.
        if self.pool.address(conn_id) != Some(server.address) {
            if !self.reconnect(attempt_id, conn_id) {
                self.end_attempt(attempt_id, Status::ConnectFailed);
            }
            return;
        }
        let time_left_ms = (open_request.deadline - now).div_ceil(1_000);
        let bytes = match server.protocol {
            Protocol::Resp => cache_protocol::encode(&open_request.command, time_left_ms),
            Protocol::Http => {
                origin_protocol::encode(&open_request.command, time_left_ms, &server.address.to_string())
            }
        };
        if !self.pool.send_request(conn_id, bytes, open_request.liveness.clone()) {
            self.handle_connection_loss(attempt_id, conn_id, false);
        }
    }

    pub(super) fn handle_connection_event(&mut self, conn_id: ConnId, event: ConnEvent) {
        // A connection that is idle or was closed has no attempt. Events of a closed one arrive late and have
        // no effect; an idle one that fails is removed from the pool.
        let attempt_id = self.pool.attempt(conn_id);
        match (event, attempt_id) {
            (ConnEvent::Connected, Some(attempt_id)) => self.write_attempt(attempt_id, conn_id),
            (ConnEvent::NotSent { client_disconnected }, Some(attempt_id)) => {
                let server =
                    self.attempts.get(&attempt_id).and_then(|attempt| self.servers.get(attempt.server));
                self.pool.release(conn_id, server.map(|server| server.address), self.clock.now());
                let open_request = self.open_requests.get(&attempt_id.0);
                match open_request.map(|open_request| open_request.client) {
                    Some(client) if client_disconnected => self.abort_unsent_attempt(attempt_id, client),
                    _ => self.end_attempt(attempt_id, Status::NotSent),
                }
            }
            (ConnEvent::Reply(reply), Some(attempt_id)) => {
                let now = self.clock.now();
                self.record_server_answer(attempt_id);
                let attempt = self.attempts.get(&attempt_id);
                let address = attempt.and_then(|attempt| Some(self.servers.get(attempt.server)?.address));
                match reply.keep_alive {
                    true => self.pool.release(conn_id, address, now),
                    false => self.pool.close(conn_id),
                }
                self.end_attempt_with_reply(attempt_id, reply);
            }
            (ConnEvent::Malformed(reason), Some(attempt_id)) => {
                self.log_malformed_reply(attempt_id, reason);
                self.record_server_answer(attempt_id);
                self.pool.close(conn_id);
                self.end_attempt(attempt_id, Status::Malformed);
            }
            (ConnEvent::Failed { written }, Some(attempt_id)) => {
                self.handle_connection_loss(attempt_id, conn_id, written)
            }
            (ConnEvent::Failed { .. } | ConnEvent::Malformed(_), None) => self.pool.close(conn_id),
            (_, None) => {}
        }
        self.process_queued_events();
    }

    fn log_malformed_reply(&self, attempt_id: AttemptId, reason: MalformedReply) {
        let open_request = self.open_requests.get(&attempt_id.0);
        let id =
            open_request.map_or("".into(), |open_request| String::from_utf8_lossy(&open_request.command.id));
        let server = self.attempts.get(&attempt_id).and_then(|attempt| self.servers.get(attempt.server));
        let name = server.map_or("", |server| &server.name);
        log(&format!("request {id}: reply of {name} to attempt {} discarded: {reason}", attempt_id.1));
    }

    /// Records that the server of an attempt has answered, whatever the answer.
    fn record_server_answer(&mut self, attempt_id: AttemptId) {
        if let Some(attempt) = self.attempts.get(&attempt_id) {
            self.servers.record_answer(attempt.server, self.clock.now());
        }
    }

    /// Ends an attempt that was not sent because its client has disconnected.
    fn abort_unsent_attempt(&mut self, attempt_id: AttemptId, client: ClientId) {
        self.finish_request(attempt_id.0);
        self.end_attempt(attempt_id, Status::NotSent);
        self.finish_client_requests(client);
    }

    /// Handles the loss of a connection that carried an attempt or was being opened for it. `written` is
    /// whether the last byte of the request may have been written.
    fn handle_connection_loss(&mut self, attempt_id: AttemptId, conn_id: ConnId, written: bool) {
        let reused_unwritten = !written && self.pool.request_count(conn_id) > 1;
        if written {
            self.pool.close(conn_id);
            return self.end_attempt(attempt_id, Status::Reset);
        }
        // The server may have closed a reused connection unnoticed. The last byte of the request was not
        // written, so it was not executed, and the attempt may use a new connection. This happens only once,
        // because the new connection has not carried any earlier request.
        if !(reused_unwritten && self.reconnect(attempt_id, conn_id)) {
            self.pool.close(conn_id);
            self.end_attempt(attempt_id, Status::ConnectFailed);
        }
    }

    /// Closes a connection on which the request of its attempt was not completely written, and opens a new
    /// one for the attempt; returns `false` if none can be opened.
    fn reconnect(&mut self, attempt_id: AttemptId, conn_id: ConnId) -> bool {
        self.pool.close(conn_id);
        let Some(attempt) = self.attempts.get_mut(&attempt_id) else { return false };
        let Some(server) = self.servers.get(attempt.server) else { return false };
        let Some(conn_id) = self.pool.connect(attempt.server, server.address, server.protocol, attempt_id)
        else {
            return false;
        };
        attempt.conn_id = conn_id;
        true
    }

    /// Stops waiting for an attempt and closes its connection.
    pub(super) fn abandon_attempt(&mut self, attempt_id: AttemptId, status: Status) {
        let Some(attempt) = self.attempts.get(&attempt_id) else { return };
        self.pool.close(attempt.conn_id);
        // If the server has not answered anything since this attempt was sent, its machine may be down. In
        // that case its idle connections stay open without ever answering, and each would cost a request its
        // whole time-out. A new connection reveals the failure within the connect time-out.
        if self.servers.get(attempt.server).is_some_and(|server| server.last_answer_at < attempt.sent_at) {
            self.pool.close_idle(attempt.server);
        }
        self.end_attempt(attempt_id, status);
    }

    fn end_attempt(&mut self, attempt_id: AttemptId, status: Status) {
        self.end_attempt_with_reply(
            attempt_id,
            ServerReply {
                status,
                lookup: CacheLookup::NotReported,
                load: LoadReport::default(),
                value: None,
                keep_alive: false,
            },
        );
    }

    /// Ends an attempt with its outcome: the first success answers the client, and an event for the decision
    /// module is queued.
    fn end_attempt_with_reply(&mut self, attempt_id: AttemptId, reply: ServerReply) {
        let Some(attempt) = self.attempts.remove(&attempt_id) else { return };
        let Some(open_request) = self.open_requests.get_mut(&attempt_id.0) else { return };
        open_request.attempts_in_flight -= 1;
        let finished = open_request.finished || reply.status == Status::Success;
        if let Some(value) = reply.value {
            self.send_answer(attempt_id.0, Answer::Served(value));
        }
        if finished {
            self.finish_request(attempt_id.0);
        }
        self.queued_events.push_back(Event::Outcome(Outcome {
            request: attempt_id.0,
            attempt: attempt_id.1,
            server: attempt.server,
            status: reply.status,
            request_finished: finished,
            lookup: reply.lookup,
            elapsed: self.clock.now() - attempt.sent_at,
            load: reply.load,
        }));
    }
}
