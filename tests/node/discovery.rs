//! Tests of failed calls to discovery: how each kind of failure is logged, how soon the next call is made,
//! and that a later call delivers the list.

use std::net::TcpListener;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use crate::connection_pressure::reserve_discovery_address;
use crate::scripted_discovery::*;
use crate::stand_ins::*;
use crate::{failing_origin, list_of_one_cache};

/// Waits for the next line of a node's log that states the delay before the next call to discovery.
fn next_retry_line(log: &Receiver<String>) -> String {
    let mut lines = std::iter::from_fn(|| log.recv_timeout(LONG_TIMEOUT).ok());
    lines.find(|line| line.contains("asking again")).expect("the node logs its next call")
}

#[test]
fn failed_discovery_calls_are_logged_and_retried_until_a_list_arrives() {
    let cache = cache_server(|parts| ServerAction::Answer(hit(&parts[1])));
    let origin = failing_origin().address;
    let list = server_list(
        7,
        true,
        &[
            server_entry("cache", cache.address, "std", "active"),
            server_entry("origin", origin, "origin", "active"),
        ],
    );
    let truncated = [chunked_response_head(), chunk(&list[..list.len() / 2])].concat();
    let invalid = [chunked_response_head(), chunk("{\"index\":\"seven\",\"endpoints\":[{}]}\n")].concat();
    let failed_answers =
        vec![b"HTTP/1.1 503 Busy\r\n\r\n".to_vec(), b"HTTP/1.1 20".to_vec(), Vec::new(), truncated, invalid];
    let failure_count = failed_answers.len();
    let answers =
        failed_answers.into_iter().chain([[chunked_response_head(), chunk(&list)].concat()]).collect();
    let (discovery, _updates, calls) = discovery_server(answers);
    let node = Node::start(discovery, r#"{"index":0,"snapshot":true,"endpoints":[]}"#);
    for _ in 0..failure_count {
        let line = next_retry_line(&node.log);
        assert!(line.contains("turned a call away, or the watch broke"), "{line}");
    }
    assert_eq!(
        calls.iter().take(failure_count + 1).count(),
        failure_count + 1,
        "all failed calls and the answered one"
    );
    let is_list_in_force = || node.connect_client().request(&get("aa", "1")).unwrap() == "aa";
    assert!(
        std::iter::repeat_with(is_list_in_force).take(100_000).any(|in_force| in_force),
        "the list is in force"
    );
}

#[test]
fn discovery_that_accepts_but_never_answers_is_logged_as_silent_and_called_again() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::start(
        listener.local_addr().unwrap(),
        &list_of_one_cache(failing_origin().address, failing_origin().address),
    );
    let _open_connection = listener.accept().unwrap();
    let line = next_retry_line(&node.log);
    assert!(line.contains("is silent"), "{line}");
    listener.accept().unwrap();
}

// Guards against a late call after an interrupted watch. The failures before a watch that was answered without
// a change still counted, so that its reset led to a backoff, though changes may have been lost with it.
#[test]
fn watch_answered_without_changes_is_reopened_at_once_after_a_reset_despite_earlier_failures() {
    let failed_calls = (0..3).map(|_| vec![refuse_call(), Step::Close]);
    let answer = [chunked_response_head(), chunk("\n")].concat();
    let reset_watch = vec![Step::Send(answer), Step::Sleep(Duration::from_millis(200)), Step::Reset];
    let (discovery, _calls) = scripted_discovery(failed_calls.chain([reset_watch]).collect());
    let node = Node::start(discovery, &list_of_one_cache(failing_origin().address, failing_origin().address));
    let lines: Vec<_> = (0..4).map(|_| next_retry_line(&node.log)).collect();
    assert!(lines[3].ends_with("asking again in 0 ms"), "a single balancer need not wait: {lines:?}");
}

#[test]
fn refused_connections_do_not_lengthen_the_delay_before_the_next_discovery_call() {
    // The socket is bound but does not listen yet, so connections are refused.
    let (socket, address) = reserve_discovery_address();
    let settings = default_settings().replace(r#""askWithinUs":1000000"#, r#""askWithinUs":4000000"#);
    let node = Node::start_with_settings(
        address,
        &list_of_one_cache(failing_origin().address, failing_origin().address),
        (256, 16),
        "",
        &settings,
    );
    for _ in 0..8 {
        let line = next_retry_line(&node.log);
        assert!(line.contains("can't be reached"), "{line}");
        let delay_ms: u64 =
            line.rsplit(' ').nth(1).and_then(|ms| ms.parse().ok()).expect("the line states a delay in ms");
        // A refused connection costs discovery nothing, so it is no reason for a longer delay, and a short
        // one lets the node find discovery soon after its return. The first delay is drawn from 0.5 to 1.5
        // sixteenths of `askWithinUs`; later ones must not exceed that.
        assert!(delay_ms <= 4_000 / 16 * 3 / 2, "refused connections must not lengthen the delay: {line}");
    }
    socket.listen(8).unwrap();
    socket.accept().unwrap();
}
