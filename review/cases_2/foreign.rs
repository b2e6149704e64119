//! Some cache boxes stand still for a moment, every few seconds, while cache servers now and then give a second
//! answer some milliseconds late. No caller may get a value that was made for another request.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::stage::*;

/// Cache boxes, and how many of them stand still now and then (BRIEF: up to 45%).
const BOXES: usize = 5;
const STILL_BOXES: usize = 2;
/// A box stands still for this many milliseconds (BRIEF: 75 to 180 ms).
const STILL_MS: (u64, u64) = (75, 180);
/// Milliseconds from the end of one of these moments to the next (the site: seconds between pauses 2.9 to 1.1).
const STILL_GAP_MS: (u64, u64) = (1_100, 1_500);
/// Time for which the disruption lasts (the site: 11 to 33 s).
const PLAY_TIME: Duration = Duration::from_secs(33);
/// One of so many answers is followed by a second one (STANDING, join+mass: some spoilt answers).
const SPOILT_ONE_IN: u64 = 10;
/// Milliseconds by which the second answer is late (STANDING: some milliseconds).
const SECOND_ANSWER_MS: (u64, u64) = (3, 8);
/// Time of a box for a read, in milliseconds.
const WORK_MS: (u64, u64) = (60, 100);
/// Clients, each on one connection with one request at a time, and the pause after each answer. Together
/// they send about 290 requests a second (BRIEF).
const CLIENTS: u64 = 40;
const CLIENT_PAUSE_MS: (u64, u64) = (30, 80);
/// Time for which the clients wait, in milliseconds.
const CLIENT_WAIT_MS: u64 = 1_800;
/// Time for which a run goes on after the first foreign value, in milliseconds.
const AFTER_FIRST_FOREIGN_MS: u64 = 3_000;
/// Number of keys.
const KEYS: u64 = 20_000;

fn between(random: &mut Random, (from, to): (u64, u64)) -> u64 {
    from + random.below(to - from + 1)
}

/// A box: until when it stands still.
struct CacheBox {
    name: String,
    still_until: Mutex<Instant>,
}

impl CacheBox {
    /// Waits while the box stands still.
    fn wait_while_still(&self) {
        loop {
            let until = *self.still_until.lock().unwrap();
            match until.checked_duration_since(Instant::now()) {
                Some(rest) if !rest.is_zero() => std::thread::sleep(rest),
                _ => return,
            }
        }
    }

    /// Answers commands with the values of their keys, in order.
    fn serve(&self, stream: TcpStream, seed: u64) -> Option<()> {
        let mut random = Random::new(seed);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let words = read_command(&mut reader)?;
            self.wait_while_still();
            std::thread::sleep(Duration::from_millis(between(&mut random, WORK_MS)));
            self.wait_while_still();
            let answer = hit(&format!("value-of-{}", words.get(1)?));
            writer.write_all(&answer).ok()?;
            note(&format!("{} answers {} for key {}", self.name, words.get(2)?, words.get(1)?));
            if trouble() && random.below(SPOILT_ONE_IN) == 0 {
                std::thread::sleep(Duration::from_millis(between(&mut random, SECOND_ANSWER_MS)));
                self.wait_while_still();
                writer.write_all(&answer).ok()?;
                note(&format!("{} answers {} a second time", self.name, words.get(2)?));
            }
        }
    }
}

fn start_box(number: usize, seed: u64) -> (Arc<CacheBox>, SocketAddr) {
    let (listener, address) = listener();
    let cache_box =
        Arc::new(CacheBox { name: format!("s-{number}"), still_until: Mutex::new(Instant::now()) });
    let (served, next_seed) = (cache_box.clone(), AtomicU64::new(seed));
    serve(listener, move |stream| {
        let _ = served.serve(stream, next_seed.fetch_add(1, Ordering::SeqCst));
    });
    (cache_box, address)
}

/// What the clients saw.
#[derive(Default)]
struct Tally {
    served: AtomicU64,
    not_served: AtomicU64,
    foreign: AtomicU64,
    /// When the first foreign value was seen, in milliseconds; 0 before that.
    first_foreign_ms: AtomicU64,
}

impl Tally {
    /// Whether the run has shown enough.
    fn ends(&self) -> bool {
        let first_ms = self.first_foreign_ms.load(Ordering::SeqCst);
        first_ms > 0 && now_ms() > first_ms + AFTER_FIRST_FOREIGN_MS
    }
}

/// Plays the case; returns whether the rule held.
pub fn play() -> bool {
    let seed = seed();
    let boxes: Vec<_> = (0..BOXES).map(|number| start_box(number, seed + 1_000 * number as u64)).collect();
    let named = boxes.iter().map(|(cache_box, address)| Entry::active(&cache_box.name, *address, "std"));
    // The origin is listed, as in every deployment, but every key is cached, so nobody calls it.
    let (_origin, origin_address) = listener();
    let entries = named.chain([Entry::active("o-1", origin_address, "origin")]).collect();
    let discovery = Discovery::start(entries);
    let mut node = Node::start(&discovery);
    let until = Instant::now() + PLAY_TIME;
    if trouble() {
        for (number, (cache_box, _)) in boxes.iter().take(STILL_BOXES).enumerate() {
            let (cache_box, mut random) = (cache_box.clone(), Random::new(seed + 77 + number as u64));
            std::thread::spawn(move || {
                loop {
                    std::thread::sleep(Duration::from_millis(between(&mut random, STILL_GAP_MS)));
                    let still_ms = between(&mut random, STILL_MS);
                    if Instant::now() + Duration::from_millis(still_ms) >= until {
                        return;
                    }
                    note(&format!("{} stands still for {still_ms} ms", cache_box.name));
                    *cache_box.still_until.lock().unwrap() = Instant::now() + Duration::from_millis(still_ms);
                }
            });
        }
    }
    let tally = Arc::new(Tally::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (tally, address) = (tally.clone(), node.address);
            std::thread::spawn(move || run_client(client, address, seed, until, &tally))
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    tell(&format!(
        "served {}, of these with a foreign value {}; refused or failed {}; node runs: {}",
        count(&tally.served),
        count(&tally.foreign),
        count(&tally.not_served),
        node.runs()
    ));
    assert!(count(&tally.served) > 0, "the node serves requests");
    count(&tally.foreign) == 0
}

fn run_client(client: u64, address: SocketAddr, seed: u64, until: Instant, tally: &Tally) {
    let mut random = Random::new(seed + 5_000 + client);
    let mut connection: Option<(TcpStream, BufReader<TcpStream>)> = None;
    let mut number = 0;
    while Instant::now() < until && !tally.ends() {
        number += 1;
        let (key, id) = (format!("{:016x}", random.below(KEYS)), format!("{:016x}", (client << 32) + number));
        let (writer, reader) = connection.get_or_insert_with(|| {
            let stream = TcpStream::connect(address).expect("the node accepts");
            let _ = stream.set_nodelay(true);
            (stream.try_clone().expect("a second handle"), BufReader::new(stream))
        });
        let facts = format!("c=read,t=acme,d={CLIENT_WAIT_MS},h=90000,size=480");
        let sent = writer.write_all(&command(&["OBJ.GET", &key, &id, &facts]));
        let answer = sent.ok().and_then(|()| read_answer(reader));
        match &answer {
            Some(text) if text.starts_with('$') => {
                tally.served.fetch_add(1, Ordering::SeqCst);
                if *text != format!("$value-of-{key}") {
                    tally.foreign.fetch_add(1, Ordering::SeqCst);
                    let _ = tally.first_foreign_ms.compare_exchange(
                        0,
                        now_ms(),
                        Ordering::SeqCst,
                        Ordering::SeqCst,
                    );
                    tell(&format!("FOREIGN: {id} asked for key {key} and got {text}"));
                }
            }
            _ => drop(tally.not_served.fetch_add(1, Ordering::SeqCst)),
        }
        note(&format!("{id} for key {key} gets {answer:?}"));
        if answer.is_none() {
            connection = None;
        }
        std::thread::sleep(Duration::from_millis(between(&mut random, CLIENT_PAUSE_MS)));
    }
}
