//! Properties of several gateways before endpoints whose software versions change, under callers that continue broken streams.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::{
    configuration, endpoint_with_version, request_text, route, send, settings, wait_until, Answer,
    FakeEndpoint, FakeStore, Setup,
};
use directory::{Endpoint, Execution};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schema::settings::GatewaySettings;

/// Three of them are coordinators, which the fourth asks.
const GATEWAYS: usize = 4;
const ENDPOINTS: usize = 6;
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
const CALLERS: usize = 6;
const EVENTS: u64 = 6;
/// A caller continues a stream at most this often.
const MAX_TRIES: usize = 3;
/// Changes in one run; the next one is made after this many more answers.
const CHANGES: usize = 30;
const ANSWERS_BETWEEN_CHANGES: usize = 8;
/// At most this many streams may hold events of several versions.
const MAX_MIXED: usize = 2;
/// Seeds of a run in CI; `VERSION_SEEDS=FIRST..END` runs others.
const SEEDS: std::ops::Range<u64> = 8100..8103;

/// One start of an endpoint.
struct Process {
    id: String,
    has_ended: Arc<AtomicBool>,
}

/// Events of a stream as its caller received them over its tries: ids and versions.
type Stream = Vec<(u64, String)>;

struct Fleet {
    store: FakeStore,
    gateways: Vec<Setup>,
    addresses: Arc<Vec<Mutex<SocketAddr>>>,
    endpoints: Vec<Process>,
    starts: u64,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn start(seed: u64) -> Self {
        let store = FakeStore::default();
        let resumable = Execution::Stream { resumable: true };
        store.put_configuration(configuration(1, vec![route("/a/", resumable)]));
        let mut fleet = Fleet {
            store,
            gateways: Vec::new(),
            addresses: Arc::default(),
            endpoints: Vec::new(),
            starts: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for number in 0..ENDPOINTS {
            let process = fleet.start_endpoint(format!("e{number}"));
            fleet.endpoints.push(process);
        }
        for number in 0..GATEWAYS {
            let gateway = fleet.start_gateway(number);
            fleet.gateways.push(gateway);
        }
        let addresses = fleet
            .gateways
            .iter()
            .map(|setup| Mutex::new(setup.address()));
        fleet.addresses = Arc::new(addresses.collect());
        fleet
    }

    fn start_gateway(&self, number: usize) -> Setup {
        let others = self.gateways.iter();
        let settings = GatewaySettings {
            name: format!("g{number}"),
            seeds: others
                .map(|setup| setup.gateway.peer_address().to_string())
                .collect(),
            ..settings()
        };
        let setup = Setup::start(settings, self.store.for_other_gateway());
        wait_until("readiness", || setup.is_ready());
        setup
    }

    fn start_endpoint(&mut self, id: String) -> Process {
        self.starts += 1;
        let version = VERSIONS[self.rng.random_range(0..VERSIONS.len())];
        let has_ended = Arc::new(AtomicBool::new(false));
        let fake = unreliable_endpoint(version, self.starts, &has_ended);
        self.store.put_endpoint(Endpoint {
            born_ms: Some(self.starts),
            ..endpoint_with_version(version, &id, fake.address)
        });
        Process { id, has_ended }
    }

    fn change(&mut self) {
        match self.rng.random_range(0..10) {
            0..5 => self.replace_endpoint(),
            5..7 => self.restart_gateway(),
            _ => {
                let gateway = self.rng.random_range(0..GATEWAYS);
                let refuses = self.rng.random();
                self.gateways[gateway].store.refuse(refuses);
            }
        }
    }

    // Ends an endpoint and starts another one, under a new id or the same.
    fn replace_endpoint(&mut self) {
        let position = self.rng.random_range(0..ENDPOINTS);
        let ended = &self.endpoints[position];
        ended.has_ended.store(true, Ordering::SeqCst);
        let id = match self.rng.random() {
            true => ended.id.clone(),
            false => {
                self.store.delete_endpoint(&ended.id);
                format!("e{position}-{}", self.starts)
            }
        };
        self.endpoints[position] = self.start_endpoint(id);
    }

    fn restart_gateway(&mut self) {
        let number = self.rng.random_range(0..GATEWAYS);
        let gateway = self.start_gateway(number);
        *self.addresses[number].lock().unwrap() = gateway.address();
        // The old process stops when it is dropped.
        self.gateways[number] = gateway;
    }
}

/// An endpoint whose events contain its version, and which breaks about half of its streams off.
fn unreliable_endpoint(
    version: &'static str,
    seed: u64,
    has_ended: &Arc<AtomicBool>,
) -> FakeEndpoint {
    let has_ended = Arc::clone(has_ended);
    FakeEndpoint::start(move |number, exchange| {
        let last_event = exchange.header("x-last-event");
        let after: u64 = last_event
            .and_then(|id| id.parse().ok())
            .unwrap_or_default();
        let mut rng = ChaCha8Rng::seed_from_u64(seed << 32 | number as u64);
        let breaks_at = rng.random_range(after + 1..=2 * EVENTS);
        if has_ended.load(Ordering::SeqCst) {
            return exchange.close();
        }
        exchange.begin_stream();
        for id in after + 1..=EVENTS {
            if id == breaks_at || has_ended.load(Ordering::SeqCst) {
                return exchange.close();
            }
            exchange.chunk(&format!("id: {id}\ndata: {version}\n\n"));
        }
        exchange.end_stream();
    })
}

fn events_of(answer: &Answer) -> Stream {
    let mut lines = answer.body.lines();
    let mut events = Stream::new();
    while let Some(id) = lines.find_map(|line| line.strip_prefix("id: ")) {
        let data = lines.next().and_then(|line| line.strip_prefix("data: "));
        if let (Ok(id), Some(version)) = (id.parse(), data) {
            events.push((id, version.to_string()));
        }
    }
    events
}

/// Asks for one stream and continues it, at a random gateway each time, while it breaks off.
fn ask(id: &str, addresses: &[Mutex<SocketAddr>], rng: &mut ChaCha8Rng) -> Stream {
    let mut events = Stream::new();
    for number in 0..MAX_TRIES {
        let gateway = *addresses[rng.random_range(0..addresses.len())]
            .lock()
            .unwrap();
        let mut headers = vec![format!("x-id: {id}-{number}")];
        if let Some((last, _)) = events.last() {
            headers.push(format!("x-resumes: {id}-0"));
            headers.push(format!("x-last-event: {last}"));
        }
        let headers: Vec<&str> = headers.iter().map(String::as_str).collect();
        let answer = send(gateway, &request_text("/a/", &headers));
        events.extend(events_of(&answer));
        // A stream without an event is begun anew by its caller, with a new id.
        if answer.status == 200 && answer.is_complete || events.is_empty() {
            break;
        }
    }
    events
}

fn run(seed: u64) {
    let mut fleet = Fleet::start(seed);
    let is_over = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (is_over, answers) = (Arc::clone(&is_over), Arc::clone(&answers));
            let addresses = Arc::clone(&fleet.addresses);
            let mut rng = ChaCha8Rng::seed_from_u64(seed << 8 | caller as u64);
            thread::spawn(move || {
                let mut streams = BTreeMap::new();
                while !is_over.load(Ordering::Relaxed) {
                    let id = format!("c{caller}-{}", streams.len());
                    let events = ask(&id, &addresses, &mut rng);
                    streams.insert(id, events);
                    answers.fetch_add(1, Ordering::Relaxed);
                }
                streams
            })
        })
        .collect();
    for _ in 0..CHANGES {
        fleet.change();
        let next = answers.load(Ordering::Relaxed) + ANSWERS_BETWEEN_CHANGES;
        wait_until("further answers", || {
            answers.load(Ordering::Relaxed) >= next
        });
    }
    is_over.store(true, Ordering::Relaxed);
    let streams = callers.into_iter().flat_map(|c| c.join().unwrap());
    let streams: BTreeMap<String, Stream> = streams.collect();
    for (id, events) in &streams {
        let numbers = events.iter().map(|(number, _)| *number);
        assert!(
            numbers.eq(1..=events.len() as u64),
            "seed {seed}: {id} {events:?}"
        );
    }
    let mixed: Vec<_> = streams
        .iter()
        .filter(|(_, events)| events.iter().any(|(_, version)| *version != events[0].1))
        .collect();
    assert!(
        mixed.len() <= MAX_MIXED,
        "seed {seed}: {} of {}: {mixed:?}",
        mixed.len(),
        streams.len()
    );
}

fn seeds() -> std::ops::Range<u64> {
    let range = std::env::var("VERSION_SEEDS").ok();
    let range = range.as_deref().and_then(|range| range.split_once(".."));
    range.map_or(SEEDS, |(first, end)| {
        first.parse().unwrap()..end.parse().unwrap()
    })
}

// Guards against streams with events of several versions, missing or repeated events, while endpoints change their versions,
// gateways restart and the store turns gateways away.
#[test]
fn streams_hold_events_of_one_version_while_endpoints_change_theirs_and_gateways_restart() {
    for seed in seeds() {
        run(seed);
    }
}
