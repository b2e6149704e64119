//! Calls to discovery that come to nothing: what is made of each, and that the next one brings the list.

use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::Receiver;

use socket2::{Domain, Socket, Type};

use crate::stand_ins::*;
use crate::{no_origin, pair};

/// The next line of a node's log that says when discovery is asked again.
fn asking_again(log: &Receiver<String>) -> String {
    let mut lines = std::iter::from_fn(|| log.recv_timeout(LONG).ok());
    lines.find(|line| line.contains("asking again")).expect("a line that says so")
}

#[test]
fn a_call_that_discovery_took_and_failed_is_one_line_in_the_log_and_is_made_again() {
    let cache = cache(|words| Act::Say(hit(&words[1])));
    let origin = no_origin().address;
    let list = listing(
        7,
        true,
        &[entry("cache", cache.address, "std", "active"), entry("origin", origin, "origin", "active")],
    );
    let cut = [watch_head(), chunk(&list[..list.len() / 2])].concat();
    let broken = [watch_head(), chunk("{\"index\":\"seven\",\"endpoints\":[{}]}\n")].concat();
    let failures =
        vec![b"HTTP/1.1 503 Busy\r\n\r\n".to_vec(), b"HTTP/1.1 20".to_vec(), Vec::new(), cut, broken];
    let count = failures.len();
    let scripts = failures.into_iter().chain([[watch_head(), chunk(&list)].concat()]).collect();
    let (discovery, _say, calls) = discovery(scripts);
    let node = Node::start(discovery, r#"{"index":0,"snapshot":true,"endpoints":[]}"#);
    for _ in 0..count {
        let line = asking_again(&node.log);
        assert!(line.contains("turned a call away, or the watch broke"), "{line}");
    }
    assert_eq!(calls.iter().take(count + 1).count(), count + 1, "all calls, and the one that is served");
    let ready = || node.client().ask(&get("aa", "1")).unwrap() == "aa";
    assert!(std::iter::repeat_with(ready).take(100_000).any(|ready| ready), "it has the list");
}

#[test]
fn a_discovery_that_accepts_and_says_nothing_is_silent_and_called_again() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::start(listener.local_addr().unwrap(), &pair(no_origin().address, no_origin().address));
    let _held = listener.accept().unwrap();
    let line = asking_again(&node.log);
    assert!(line.contains("is silent"), "{line}");
    listener.accept().unwrap();
}

#[test]
fn a_call_that_discovery_never_took_costs_it_nothing_and_so_it_is_found_soon_after_its_return() {
    // Its address is taken and nobody listens there: connections are refused.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let patient = settings().replace(r#""askWithinUs":1000000"#, r#""askWithinUs":4000000"#);
    let node =
        Node::start_in(address, &pair(no_origin().address, no_origin().address), (256, 16), "", &patient);
    for _ in 0..8 {
        let line = asking_again(&node.log);
        assert!(line.contains("can't be reached"), "{line}");
        let after: u64 = line.rsplit(' ').nth(1).and_then(|ms| ms.parse().ok()).expect("a time");
        assert!(after <= 4_000 / 16 * 3 / 2, "however often it was refused: {line}");
    }
    socket.listen(8).unwrap();
    socket.accept().unwrap();
}
