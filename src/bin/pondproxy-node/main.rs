//! The node: accepts requests of clients, sends them to cache servers and the origin as the decision module
//! directs, and obtains the server list from discovery.

mod cache_protocol;
mod client_command;
mod client_sessions;
mod client_socket;
mod command_buffer;
mod config;
mod connection_slots;
mod discovery;
mod event_loop;
mod http;
mod memory_budget;
mod origin_protocol;
mod reload;
mod request_ids;
mod resp;
mod server_table;
mod stream_io;
mod upstream_pool;

use std::io::Write;
use std::process::ExitCode;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, watch};

use client_sessions::{Phase, SessionContext};
use config::NodeConfig;
use connection_slots::ConnectionSlots;
use event_loop::{Clock, Node, NodeEvent};
use memory_budget::MemoryBudget;

/// Capacity of the channel on which connections, calls to discovery and signal handlers send events to the
/// event loop.
const EVENT_QUEUE_LENGTH: usize = 1024;
/// Maximum number of accepted requests that are not answered yet; the settings may set a lower one.
const MAX_OPEN_REQUESTS: usize = 1024;

/// Writes a line to standard error. A failed write is ignored, because it is no reason to stop the node.
pub fn log(line: &str) {
    let _ = writeln!(std::io::stderr(), "pondproxy-node: {line}");
}

async fn run(config: NodeConfig) -> std::io::Result<()> {
    let (event_sender, event_receiver) = mpsc::channel(EVENT_QUEUE_LENGTH);
    let (phase_sender, phase) = watch::channel(Phase::Starting);
    let clock = Clock::start();
    let connection_slots = ConnectionSlots::new(config.sockets);
    let mut terminate_signals = [signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?];
    let hangup_signals = signal(SignalKind::hangup())?;
    let listener = TcpListener::bind(config.listen).await?;
    log(&format!("listening on {}", listener.local_addr()?));
    let deployment = Arc::new(config.deployment.clone());
    let settings = &deployment.settings;
    log(&format!(
        "{} balancers, counts as notified of server changes after {} ms, drain grace time {} ms",
        settings.balancer_count,
        settings.notified_after / 1_000,
        settings.drain_grace_time / 1_000,
    ));
    let request_permits = Arc::new(Semaphore::new(deployment.max_open_requests.min(MAX_OPEN_REQUESTS)));
    let memory = MemoryBudget::new(config.memory_mb);
    let context = SessionContext {
        deployment: deployment.clone(),
        clock,
        event_sender: event_sender.clone(),
        phase,
        connection_slots: connection_slots.clone(),
        request_permits,
        memory: memory.clone(),
        request_ids: Arc::default(),
    };
    connection_slots.set_accepting(true);
    tokio::spawn(client_sessions::listen(listener, Arc::new(context)));
    let signal_event_sender = event_sender.clone();
    tokio::spawn(async move {
        let [terminate, interrupt] = &mut terminate_signals;
        tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} }
        let _ = signal_event_sender.send(NodeEvent::Terminate).await;
    });
    tokio::spawn(reload::reload_on_sighup(hangup_signals, event_sender.clone()));
    Node::new(config, deployment, clock, event_sender, connection_slots, memory, phase_sender)
        .run(event_receiver)
        .await;
    Ok(())
}

fn main() -> ExitCode {
    let config = match NodeConfig::from_env() {
        Ok(config) => config,
        Err(e) => {
            log(&e.to_string());
            return ExitCode::from(2);
        }
    };
    let listen = config.listen;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime.and_then(|runtime| runtime.block_on(run(config))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log(&format!("cannot start with listen address {listen}: {e}"));
            ExitCode::from(2)
        }
    }
}
