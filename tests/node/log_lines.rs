//! Tests of the log lines by which an operator finds out why requests were answered late or not at all.

use super::*;

/// Waits for a line of the node's log that contains `text`.
fn wait_for_log_line(node: &Node, text: &str) -> String {
    std::iter::from_fn(|| node.log.recv_timeout(LONG_TIMEOUT).ok())
        .find(|line| line.contains(text))
        .unwrap_or_else(|| panic!("the node logs a line with {text:?}"))
}

#[test]
fn a_held_up_event_loop_is_logged() {
    // Guards against stalls of the node that show only as requests without an answer.
    let cache = cache_server(|_| ServerAction::Answer(hit("value")));
    let (discovery, _updates, _calls) = idle_discovery();
    let node = Node::start(discovery, &list_of_one_cache(cache.address, failing_origin().address));
    // A timer of the node is due each second at the latest, so one is late by half a second or more.
    node.while_stopped(|| std::thread::sleep(Duration::from_millis(1_500)));
    let line = wait_for_log_line(&node, "event loop held up: a timer is late by ");
    let lateness = line.rsplit("late by ").next().and_then(|text| text.strip_suffix(" ms"));
    assert!(lateness.unwrap().parse::<u64>().unwrap() >= 250, "{line}");
}

#[test]
fn a_discarded_reply_is_logged_with_its_request_server_and_reason() {
    let cache = cache_server(|_| ServerAction::Answer(miss()));
    let origin = origin_server(|parts| {
        ServerAction::Answer(match parts[0].as_str() {
            "PUT /long HTTP/1.1" => b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n".to_vec(),
            "PUT /stalled HTTP/1.1" => b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart".to_vec(),
            _ => b"not HTTP\r\n\r\n".to_vec(),
        })
    });
    let (discovery, _updates, _calls) = idle_discovery();
    let node = Node::start(discovery, &list_of_one_cache(cache.address, origin.address));
    let mut client = node.connect_client();
    for (key, id, reason) in [
        ("long", "1d", "too long"),
        ("stalled", "2d", "its rest did not arrive in time"),
        ("other", "3d", "invalid"),
    ] {
        assert_eq!(client.request(&put(key, id, "v")).unwrap(), "-ERR failed");
        let expected = format!("request {id}: reply of o-1 to attempt 0 discarded: {reason}");
        wait_for_log_line(&node, &expected);
    }
}
