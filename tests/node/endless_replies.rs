//! Tests of the node with servers whose replies never end: requests that have nothing to do with them are
//! served, and those that get such a reply are answered in time.

use std::time::Instant;

use super::*;

/// Number of clients whose requests get replies that never end.
const AFFECTED_CLIENTS: u32 = 8;
/// Time for which all clients send requests.
const SENDING_TIME: Duration = Duration::from_secs(4);
/// Time that clients leave for an answer (`d`).
const DEADLINE_MS: u64 = 2_000;
/// The platform's terms for nodes: an answer may come this much later; after that, the request is lost.
const LATE_ANSWER_ALLOWANCE: Duration = Duration::from_millis(550);
/// Pause of a client between an answer and its next request.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);
/// Memory limits of the node: one with which it accepts the longest replies, and a small one.
const MEMORY_MB: usize = 64;
const SMALL_MEMORY_MB: usize = 32;

/// First letter of the keys whose replies never end.
const ENDLESS_KEY_PREFIX: char = 'e';

/// A reply of the origin whose chunked body never ends.
fn endless_chunked_response() -> ServerAction {
    ServerAction::AnswerWithoutEnd(chunked_response_head(), chunk(&"x".repeat(8 * 1024)))
}

/// A reply of a cache server with more and more long elements.
fn endless_array() -> ServerAction {
    let element = format!("$1048576\r\n{}\r\n", "x".repeat(1024 * 1024));
    ServerAction::AnswerWithoutEnd(b"*16\r\n".to_vec(), element.into_bytes())
}

/// Sends reads of new keys one after the other for `SENDING_TIME`; returns the answers. Panics if one is not
/// answered in time.
fn send_reads(mut client: Client, key_prefix: String) -> Vec<String> {
    let time_limit = Duration::from_millis(DEADLINE_MS) + LATE_ANSWER_ALLOWANCE;
    let started_at = Instant::now();
    let mut answers = Vec::new();
    while started_at.elapsed() < SENDING_TIME {
        let id = format!("{key_prefix}-{}", answers.len());
        let sent_at = Instant::now();
        let facts = format!("c=read,t=acme,d={DEADLINE_MS}");
        let answer = client.request(&command(&["OBJ.GET", &id, &id, &facts]));
        let elapsed = sent_at.elapsed();
        assert!(elapsed <= time_limit, "request {id} was answered after {elapsed:?}: {answer:?}");
        answers.push(answer.expect("the connection stays open"));
        std::thread::sleep(REQUEST_PAUSE);
    }
    answers
}

/// Sends reads that get replies without an end, and reads of other keys beside them. The latter must all be
/// served, each request must be answered in time, and the node must stay within its memory limit.
fn assert_all_reads_are_answered_in_time(server_list: &str, memory_mb: usize) {
    let (discovery, _updates, _calls) = idle_discovery();
    let node = Node::start_with_settings(discovery, server_list, (256, memory_mb), "", default_settings());
    // A node may refuse requests of a burst that comes before its first reply; that is not judged here.
    let mut client = node.connect_client();
    assert_eq!(client.request(&get("first", "first")).unwrap(), "value");
    let affected: Vec<_> = (0..AFFECTED_CLIENTS)
        .map(|number| {
            let client = node.connect_client();
            std::thread::spawn(move || send_reads(client, format!("{ENDLESS_KEY_PREFIX}{number}")))
        })
        .collect();
    let answers = send_reads(client, "stored".into());
    assert!(answers.iter().all(|answer| answer == "value"), "{answers:?}");
    for client in affected {
        client.join().expect("each request is answered in time");
    }
    let peak_kib = node.peak_resident_kib();
    assert!(peak_kib <= memory_mb * 1024, "{peak_kib} KiB of {memory_mb} MiB");
}

/// Starts a cache server that has all keys but those whose replies never end, and an origin that answers
/// these without an end.
fn start_servers_with_endless_origin() -> [StandIn; 2] {
    let cache = cache_server(|parts| {
        ServerAction::Answer(if parts[1].starts_with(ENDLESS_KEY_PREFIX) { miss() } else { hit("value") })
    });
    [cache, origin_server(|_| endless_chunked_response())]
}

#[test]
fn responses_of_the_origin_that_never_end_delay_no_other_request() {
    // Guards against a node that spends its only thread on a chunked body that never ends.
    let [cache, origin] = start_servers_with_endless_origin();
    assert_all_reads_are_answered_in_time(&list_of_one_cache(cache.address, origin.address), MEMORY_MB);
}

#[test]
fn responses_of_the_origin_that_never_end_stay_within_a_small_memory_limit() {
    // Guards against a node that is killed because it reserves little for a body and then holds megabytes.
    let [cache, origin] = start_servers_with_endless_origin();
    let list = list_of_one_cache(cache.address, origin.address);
    assert_all_reads_are_answered_in_time(&list, SMALL_MEMORY_MB);
}

#[test]
fn replies_of_a_cache_server_that_never_end_delay_no_other_request() {
    // Guards against a node that copies the complete elements of an incomplete array after each read.
    let endless_cache = cache_server(|parts| match parts[1].starts_with(ENDLESS_KEY_PREFIX) {
        true => endless_array(),
        false => ServerAction::Answer(hit("value")),
    });
    let sound_cache = cache_server(|_| ServerAction::Answer(hit("value")));
    let caches = [endless_cache.address, sound_cache.address];
    let list = list_of_two_caches(caches, failing_origin().address);
    assert_all_reads_are_answered_in_time(&list, MEMORY_MB);
}
