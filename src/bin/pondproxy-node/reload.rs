//! Reads the configuration again at each SIGHUP. Knows nothing of what it says.

use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::config::NodeConfig;
use crate::event_loop::NodeEvent;
use crate::log;

/// A configuration that can't be used is read again after this long: it may be about to be replaced, or there may have
/// been no descriptor to read it with.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// It is read so many times at the most, which is well within the 4 s after which a move of discovery counts.
const MAX_READS: u32 = 20;

/// Passes each new configuration on, for as long as there are signals. An old one stays in force until then.
pub async fn reload_on_sighup(mut signals: Signal, event_sender: mpsc::Sender<NodeEvent>) {
    while signals.recv().await.is_some() {
        if let Some(config) = read_until_usable(&mut signals).await {
            let _ = event_sender.send(NodeEvent::Reload(Box::new(config))).await;
        }
    }
}

/// Reads the configuration until it can be used. A further signal begins the count anew.
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
    log("reload: given up");
    None
}
