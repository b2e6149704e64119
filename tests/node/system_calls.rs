//! Tests of a node whose system calls are interrupted or transfer less than requested: no request and no
//! answer may be lost or damaged.

use std::time::Duration;

use crate::stand_ins::*;
use crate::{failing_origin, idle_discovery, list_of_one_cache};

// The node took an interrupted read or write for the end of a connection, and a short read for all
// available data. With a tenth of the reads and writes interrupted and another tenth shortened, 30 of 55
// requests had no answer, as each of 20 clients lost its connection. The same error delayed drains when it
// hit the watch on discovery, which `drain.rs` tests.
#[test]
fn requests_and_answers_are_complete_despite_interrupted_and_short_system_calls() {
    for seed in 1..=3 {
        let long_value = "v".repeat(3_000);
        let (origin_value, cached_value) = (long_value.clone(), long_value.clone());
        let cache = cache_server(move |parts| {
            ServerAction::Answer(if parts[1] == "aa" { hit(&cached_value) } else { miss() })
        });
        let origin = origin_server(move |_| ServerAction::Answer(http_response(200, "", &origin_value)));
        let (discovery, _updates, _calls) = idle_discovery();
        let shell_prefix = faulty_system_calls(seed);
        let known_list = list_of_one_cache(cache.address, origin.address);
        let node =
            Node::start_with_settings(discovery, &known_list, (256, 16), &shell_prefix, default_settings());
        for client_index in 0..10 {
            let mut client = node.connect_client();
            for (request_index, key) in ["aa", "bb", "aa", "aa", "cc", "aa"].into_iter().enumerate() {
                let answer = client.request(&get(key, &format!("{client_index}-{request_index}")));
                assert_eq!(
                    answer.as_ref(),
                    Some(&long_value),
                    "request {request_index} of client {client_index}, seed {seed}"
                );
            }
        }
    }
}

#[test]
fn pipelined_writes_are_complete_despite_interrupted_and_short_system_calls() {
    for seed in 1..=3 {
        let origin =
            origin_server(|parts| ServerAction::Answer(http_response(200, "", parts.last().unwrap())));
        let (discovery, _updates, _calls) = idle_discovery();
        let shell_prefix = faulty_system_calls(seed);
        let known_list = list_of_one_cache(failing_origin().address, origin.address);
        let node =
            Node::start_with_settings(discovery, &known_list, (256, 16), &shell_prefix, default_settings());
        let mut client = node.connect_client();
        client.stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        let value = |id: usize| format!("{id}{}", "v".repeat(2_000));
        let writes: Vec<_> = (0..8).map(|id| put("bb", &id.to_string(), &value(id))).collect();
        client.send(&writes.concat());
        for id in 0..8 {
            assert_eq!(client.read_answer(), Some(value(id)), "write {id}, seed {seed}");
        }
    }
}
