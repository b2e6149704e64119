//! Tests of the fairness of reads and writes on one thread.

use std::future::Future;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream as Peer};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::*;

/// Number of transfers in a row that never wait for the socket; more than a task may make before it yields.
pub const TRANSFERS: usize = 1_000;
/// Bytes of one transfer. All transfers together fit the kernel's socket buffers.
pub const TRANSFER_BYTES: usize = 8;

/// Returns a connection that is ready for reading and writing, and its peer, which has sent enough for
/// `TRANSFERS` reads.
pub async fn ready_connection() -> (TcpStream, Peer) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let mut peer = listener.accept().unwrap().0;
    peer.write_all(&[0; TRANSFERS * TRANSFER_BYTES]).unwrap();
    stream.readable().await.unwrap();
    stream.writable().await.unwrap();
    (stream, peer)
}

/// Whether another task of the same thread runs while `transfers` run.
pub async fn other_task_runs_during(transfers: Pin<Box<dyn Future<Output = ()> + '_>>) -> bool {
    let has_run = Arc::new(AtomicBool::new(false));
    let flag = has_run.clone();
    tokio::spawn(async move { flag.store(true, Ordering::Relaxed) });
    transfers.await;
    has_run.load(Ordering::Relaxed)
}

pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(future)
}

#[test]
fn other_tasks_run_while_input_keeps_arriving() {
    // Guards against a node that answers nobody while one server sends without pause.
    block_on(async {
        let (stream, _peer) = ready_connection().await;
        let reads = Box::pin(async {
            let mut buffer = BytesMut::with_capacity(TRANSFER_BYTES);
            for _ in 0..TRANSFERS {
                assert_eq!(read(&stream, &mut buffer).await.unwrap(), TRANSFER_BYTES);
                buffer.clear();
            }
        });
        assert!(other_task_runs_during(reads).await);
    });
}

#[test]
fn other_tasks_run_while_a_peer_takes_all_output() {
    // Guards against a node that answers nobody while it writes to one peer that reads without pause.
    block_on(async {
        let (stream, mut peer) = ready_connection().await;
        let writes = Box::pin(async {
            for _ in 0..TRANSFERS {
                assert_eq!(write(&stream, &[0; TRANSFER_BYTES]).await.unwrap(), TRANSFER_BYTES);
            }
        });
        assert!(other_task_runs_during(writes).await);
        peer.read_exact(&mut [0; TRANSFERS * TRANSFER_BYTES]).unwrap();
    });
}
