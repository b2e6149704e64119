//! Reads the configuration again at each SIGHUP. Does not interpret its contents.

use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::config::NodeConfig;
use crate::event_loop::NodeEvent;
use crate::log;

/// Interval between reads of an unusable configuration: the file may be about to be replaced, or there may
/// have been no free descriptor to read it with.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of reads after a SIGHUP. They take 2 s in all, and so end well before the node counts as
/// notified of a move of discovery, which is after 4 s.
const MAX_READS: u32 = 20;

/// Sends each new configuration to the event loop. The old one stays in force until a usable one has been
/// read.
pub async fn reload_on_sighup(mut signals: Signal, event_sender: mpsc::Sender<NodeEvent>) {
    while signals.recv().await.is_some() {
        if let Some(config) = read_until_usable(&mut signals).await {
            let _ = event_sender.send(NodeEvent::Reload(Box::new(config))).await;
        }
    }
}

/// Reads the configuration until it is usable or `MAX_READS` is reached. A further signal restarts the count.
async fn read_until_usable(signals: &mut Signal) -> Option<NodeConfig> {
    let mut read_count = 0;
    while read_count < MAX_READS {
        match NodeConfig::reload() {
            Ok(config) => return Some(config),
            Err(e) if read_count == 0 => log(&format!("reload: {e}; the old configuration stays in force")),
            Err(_) => {}
        }
        read_count += 1;
        if let Ok(Some(())) = timeout(READ_RETRY_INTERVAL, signals.recv()).await {
            read_count = 0;
        }
    }
    log("reload: configuration still unusable, not read again until the next SIGHUP");
    None
}
