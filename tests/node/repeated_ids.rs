//! Tests of request ids that come again, and of clients that leave with much unread: no request that may have
//! side effects is sent to the origin twice, and nothing is sent for a client that has left.

use std::time::Instant;

use socket2::SockRef;

use super::*;

/// How the first client of an id leaves.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Close,
    HalfClose,
    Reset,
}

const DEPARTURES: [Departure; 3] = [Departure::Close, Departure::HalfClose, Departure::Reset];

/// Time for which the id comes again and again after the first client has left.
const REPEAT_TIME: Duration = Duration::from_millis(500);

fn leave(client: Client, departure: Departure) -> Option<Client> {
    match departure {
        Departure::Close => drop(client),
        Departure::HalfClose => {
            client.stream.shutdown(std::net::Shutdown::Write).unwrap();
            return Some(client);
        }
        Departure::Reset => {
            SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).unwrap();
            drop(client);
        }
    }
    None
}

/// Sends a request on new connections for `REPEAT_TIME`, and returns the replies.
fn send_repeatedly(node: &Node, request: &[u8]) -> Vec<String> {
    let started_at = Instant::now();
    let mut replies = Vec::new();
    while started_at.elapsed() < REPEAT_TIME {
        let mut client = node.connect_client();
        client.stream.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
        client.send(request);
        replies.extend(client.try_read_answer().ok().flatten());
    }
    replies
}

/// Number of requests with an id that a server has received.
fn count_requests(server: &StandIn, id: &str) -> usize {
    let header = format!("X-Correlation-Id: {id}");
    server.events.try_iter().filter(|event| event.parts.contains(&header)).count()
}

#[test]
fn write_whose_id_comes_again_after_its_client_left_is_sent_once() {
    // Guards against an unsafe write that runs twice because its id was free as soon as its client had left.
    for departure in DEPARTURES {
        let origin = origin_server(|parts| match parts[0].as_str() {
            "PUT /hang HTTP/1.1" => ServerAction::Hang,
            _ => ServerAction::Answer(http_response(200, "", "made")),
        });
        let cache = cache_server(|parts| ServerAction::Answer(hit(&parts[1])));
        let (discovery, _updates, _calls) = idle_discovery();
        let node = Node::start(discovery, &list_of_one_cache(cache.address, origin.address));
        let mut client = node.connect_client();
        let request = put("hang", "again", "value");
        client.send(&request);
        assert_eq!(origin.next_request().parts[0], "PUT /hang HTTP/1.1");
        let _half_closed = leave(client, departure);
        let replies = send_repeatedly(&node, &request);
        assert!(replies.iter().all(|reply| reply.starts_with("-ERR")), "{departure:?}: {replies:?}");
        assert_eq!(count_requests(&origin, "again"), 0, "{departure:?}: sent a second time");
        assert_eq!(node.connect_client().request(&put("new", "new", "value")).unwrap(), "made");
    }
}

#[test]
fn write_whose_id_comes_again_after_its_client_left_with_the_reply_unread_is_sent_once() {
    // Guards against a write that runs twice because its client left before it had read the reply.
    for departure in DEPARTURES {
        let origin = origin_server(|_| ServerAction::Answer(http_response(200, "", "made")));
        let cache = cache_server(|parts| ServerAction::Answer(hit(&parts[1])));
        let (discovery, _updates, _calls) = idle_discovery();
        let node = Node::start(discovery, &list_of_one_cache(cache.address, origin.address));
        let mut client = node.connect_client();
        let request = put("aa", "again", "value");
        client.send(&request);
        origin.next_request();
        let _half_closed = leave(client, departure);
        let replies = send_repeatedly(&node, &request);
        assert!(replies.iter().all(|reply| reply.starts_with("-ERR")), "{departure:?}: {replies:?}");
        assert_eq!(count_requests(&origin, "again"), 0, "{departure:?}: sent a second time");
    }
}

#[test]
fn id_of_a_refused_write_is_free_again() {
    let origin = origin_server(|_| ServerAction::Answer(http_response(503, "X-Unprocessed: 1\r\n", "")));
    let cache = cache_server(|parts| ServerAction::Answer(hit(&parts[1])));
    let (discovery, _updates, _calls) = idle_discovery();
    let node = Node::start(discovery, &list_of_one_cache(cache.address, origin.address));
    let mut client = node.connect_client();
    for _ in 0..2 {
        let reply = client.request(&put("aa", "again", "value")).unwrap();
        assert!(reply.starts_with("-BUSY"), "a write that never ran is refused: {reply}");
    }
}
