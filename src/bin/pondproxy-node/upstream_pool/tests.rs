//! Tests of a connection while a request is handed to it, and of the reuse of connections.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream as Peer};
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

use super::*;
use crate::client_socket::ClientSocket;

/// Hands a request to a connection right after its server or its client acts, and returns the connection's
/// event and the bytes that the server received. The runtime does not poll the sockets between the action and
/// the hand-over.
fn hand_over_during(peer_action: fn(&mut Peer, &mut Peer)) -> (ConnEvent, Vec<u8>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let mut client = Peer::connect(address).unwrap();
        let accepted = listener.accept().unwrap().0;
        accepted.set_nonblocking(true).unwrap();
        let socket = ClientSocket::new(TcpStream::from_std(accepted).unwrap());
        let (event_sender, mut event_receiver) = mpsc::channel(8);
        let (request_sender, request_receiver) = mpsc::channel(1);
        let deployment = Arc::new(pondproxy::settings::parse(b"{}").unwrap());
        let memory = MemoryBudget::new(64);
        let mut conn_task =
            ConnTask { id: 1, protocol: Protocol::Resp, deployment, memory, request_receiver, event_sender };
        let mut task = tokio::spawn(async move { conn_task.run(address).await });
        assert!(matches!(event_receiver.recv().await, Some(NodeEvent::Connection(1, ConnEvent::Connected))));
        let mut server = listener.accept().unwrap().0;
        // Runs the connection's task until it only waits.
        for _ in 0..10 {
            tokio::task::yield_now().await;
        }
        peer_action(&mut server, &mut client);
        let conn_request = ConnRequest { request: Bytes::from_static(b"request"), client: socket.liveness() };
        request_sender.try_send(conn_request).map_err(drop).unwrap();
        let event = tokio::select! {
            ended = &mut task => ended.unwrap(),
            Some(NodeEvent::Connection(1, event)) = event_receiver.recv() => event,
        };
        task.abort();
        while !task.is_finished() {
            tokio::task::yield_now().await;
        }
        let mut received = Vec::new();
        let _ = server.read_to_end(&mut received);
        (event, received)
    })
}

#[test]
fn request_handed_over_while_the_server_closes_is_reported_as_not_written() {
    let (event, received) = hand_over_during(|server, _| server.shutdown(Shutdown::Write).unwrap());
    assert!(matches!(event, ConnEvent::Failed { written: false }), "{event:?}");
    assert_eq!(received, b"");
}

#[test]
fn reply_that_arrives_during_the_hand_over_is_not_matched_to_the_new_request() {
    let (event, received) =
        hand_over_during(|server, _| server.write_all(b"*3\r\n$5\r\nstale\r\n$-1\r\n$-1\r\n").unwrap());
    assert!(matches!(event, ConnEvent::Failed { written: false }), "{event:?}");
    assert_eq!(received, b"");
}

#[test]
fn nothing_is_written_for_a_client_that_disconnects_during_the_hand_over_even_behind_unread_input() {
    let disconnects: [fn(&mut Peer, &mut Peer); 3] = [
        |_, client| client.shutdown(Shutdown::Write).unwrap(),
        |_, client| {
            client.write_all(&[0; 9000]).unwrap();
            client.shutdown(Shutdown::Write).unwrap();
        },
        |_, client| {
            client.write_all(&[0; 9000]).unwrap();
            SockRef::from(&*client).set_linger(Some(Duration::ZERO)).unwrap();
            *client = Peer::connect(client.peer_addr().unwrap()).unwrap();
        },
    ];
    for (case, disconnect) in disconnects.into_iter().enumerate() {
        let (event, received) = hand_over_during(disconnect);
        assert!(matches!(event, ConnEvent::NotSent { client_disconnected: true }), "{case}: {event:?}");
        assert_eq!(received, b"", "{case}");
    }
}

#[test]
fn connection_is_not_reused_until_a_late_duplicate_reply_would_have_arrived() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (event_sender, mut event_receiver) = mpsc::channel(8);
        let deployment = Arc::new(pondproxy::settings::parse(b"{}").unwrap());
        let mut pool =
            UpstreamPool::new(ConnectionSlots::new(256), deployment, MemoryBudget::new(64), event_sender);
        let id = pool.connect(7, address, Protocol::Resp, (1, 0)).unwrap();
        assert!(matches!(event_receiver.recv().await, Some(NodeEvent::Connection(_, ConnEvent::Connected))));
        for answered_at in [1_000_000, 2_000_000] {
            pool.release(id, Some(address), answered_at);
            assert_eq!(
                pool.reuse(7, (2, 0), answered_at + 14_999),
                None,
                "a late duplicate reply may still arrive"
            );
            assert_eq!(pool.reuse(7, (2, 0), answered_at + 15_000), Some(id));
        }
    });
}
