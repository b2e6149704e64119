//! Tests of the fairness of writes to a client on one thread.

use super::*;
use crate::stream_io::tests::{
    TRANSFER_BYTES, TRANSFERS, block_on, other_task_runs_during, ready_connection,
};

#[test]
fn other_tasks_run_while_a_client_takes_all_replies() {
    // Guards against a node that answers nobody while it writes many replies to a client that reads without
    // pause.
    block_on(async {
        let (stream, _peer) = ready_connection().await;
        let socket = ClientSocket::new(stream);
        let writes = Box::pin(async {
            for _ in 0..TRANSFERS {
                assert_eq!(socket.write_available(&[0; TRANSFER_BYTES]).await.unwrap(), TRANSFER_BYTES);
            }
        });
        assert!(other_task_runs_during(writes).await);
    });
}
