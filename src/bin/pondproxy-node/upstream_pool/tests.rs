//! A connection to a server in the very moment in which a request is handed to it.

use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream as Peer};

use super::*;
use crate::client_socket::ClientSocket;

/// What becomes of a request that is handed to a connection in the very moment in which its server or its client
/// does something, and what the server had of it: the runtime does not look at the sockets between the two.
fn crossed(does: fn(&mut Peer, &mut Peer)) -> (ConnEvent, Vec<u8>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let mut client = Peer::connect(address).unwrap();
        let accepted = listener.accept().unwrap().0;
        accepted.set_nonblocking(true).unwrap();
        let socket = ClientSocket::new(TcpStream::from_std(accepted).unwrap());
        let (event_sender, mut event_receiver) = mpsc::channel(8);
        let (say, jobs) = mpsc::channel(1);
        let deployment = Arc::new(pondproxy::settings::parse(b"{}").unwrap());
        let memory = MemoryBudget::new(64);
        let mut conn_task =
            ConnTask { id: 1, protocol: Protocol::Resp, deployment, memory, jobs, event_sender };
        let mut task = tokio::spawn(async move { conn_task.run(address).await });
        assert!(matches!(event_receiver.recv().await, Some(NodeEvent::Connection(1, ConnEvent::Connected))));
        let mut server = listener.accept().unwrap().0;
        // Until the task has nothing to do but wait.
        for _ in 0..10 {
            tokio::task::yield_now().await;
        }
        does(&mut server, &mut client);
        let job = ConnRequest { request: Bytes::from_static(b"request"), client: socket.liveness() };
        say.try_send(job).map_err(drop).unwrap();
        let news = tokio::select! {
            ended = &mut task => ended.unwrap(),
            Some(NodeEvent::Connection(1, news)) = event_receiver.recv() => news,
        };
        task.abort();
        while !task.is_finished() {
            tokio::task::yield_now().await;
        }
        let mut had = Vec::new();
        let _ = server.read_to_end(&mut had);
        (news, had)
    })
}

#[test]
fn a_request_handed_over_as_its_server_ends_the_connection_was_surely_never_sent() {
    let (news, had) = crossed(|server, _| server.shutdown(Shutdown::Write).unwrap());
    assert!(matches!(news, ConnEvent::Failed { written: false }), "{news:?}");
    assert_eq!(had, b"");
}

#[test]
fn an_answer_that_comes_as_a_request_is_handed_over_is_not_taken_for_its_answer() {
    let (news, had) = crossed(|server, _| server.write_all(b"*3\r\n$5\r\nstale\r\n$-1\r\n$-1\r\n").unwrap());
    assert!(matches!(news, ConnEvent::Failed { written: false }), "{news:?}");
    assert_eq!(had, b"");
}

#[test]
fn nothing_is_written_for_a_client_that_leaves_as_its_request_is_handed_over_also_behind_unread_input() {
    let leaves: [fn(&mut Peer, &mut Peer); 3] = [
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
    for (at, leave) in leaves.into_iter().enumerate() {
        let (news, had) = crossed(leave);
        assert!(matches!(news, ConnEvent::NotSent), "{at}: {news:?}");
        assert_eq!(had, b"", "{at}");
    }
}

#[test]
fn a_connection_rests_after_an_answer_until_what_may_come_a_moment_behind_it_has_come() {
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
        for answered in [1_000_000, 2_000_000] {
            pool.release(id, Some(address), answered);
            assert_eq!(pool.reuse(7, (2, 0), answered + 14_999), None, "some milliseconds later it may come");
            assert_eq!(pool.reuse(7, (2, 0), answered + 15_000), Some(id));
        }
    });
}
