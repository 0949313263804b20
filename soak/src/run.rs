//! Plays a plan: starts everything, acts in time, and hands the history to the checks.

use std::io;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rustix::process::Signal;

use crate::checks;
use crate::gateways::{hall, Around, Gateway};
use crate::history::{History, Place, Seen};
use crate::http::Connection;
use crate::link::Link;
use crate::plan::{Act, Mood, Plan, Way};
use crate::report::Report;
use crate::standins::client::{Client, Shared};
use crate::standins::endpoint::Endpoint;
use crate::standins::operator::{configuration, entry};
use crate::standins::store::{take_reports, Store};

/// Pause between looks at what is due.
const LOOK: Duration = Duration::from_millis(10);
/// Pause between questions whether a gateway is ready; the platform asks each second.
const READY_ASK: Duration = Duration::from_millis(500);
/// Longest answer to such a question.
const READY_WAIT: Duration = Duration::from_millis(400);
/// Questions without a good answer after which a gateway gets no new connections.
const READY_MISSES: u32 = 2;
/// Clients for each gateway.
const CLIENTS: usize = 3;
/// A gateway that was asked to stop is killed after that time, in ms.
const GRACE: u64 = 8_000;
/// A gateway whose process is gone is started again after that time, in ms.
const RESTART: u64 = 400;
/// An endpoint that leaves serves on for that time, in ms: its bound of 2 s and a while longer.
const SERVES_ON: u64 = 4_000;
/// An endpoint that is gone is replaced after that time, in ms.
const REPLACED: u64 = 700;
/// Pause between two lines of progress, in ms.
const PROGRESS: u64 = 5_000;

/// How a plan is played.
pub struct Options {
    /// The croftpond program.
    pub program: PathBuf,
    /// Folder for settings, logs and the history.
    pub out: PathBuf,
    /// Whether progress is printed.
    pub progress: bool,
}

/// Plays a plan and judges what was seen.
pub fn run(plan: &Plan, options: &Options) -> io::Result<Report> {
    let mut soak = Soak::start(plan, options)?;
    let mut steps = plan.steps.iter().peekable();
    let mut told = 0;
    while soak.history.now() < plan.seconds * 1000 {
        while let Some(step) = steps.next_if(|step| step.at <= soak.history.now()) {
            soak.act(&step.act)?;
        }
        soak.do_due()?;
        soak.look_at_processes()?;
        if options.progress && soak.history.now() >= told + PROGRESS {
            told = soak.history.now();
            eprintln!("{:>4} s  {} records", told / 1000, soak.history.records().len());
        }
        thread::sleep(LOOK);
    }
    let memory = soak.gateways.iter().map(Gateway::peak_memory).max();
    let records = soak.finish();
    let text = serde_json::to_vec(&records)?;
    std::fs::write(options.out.join("history.json"), text)?;
    let findings = checks::all(&records, plan.gateways);
    Ok(Report::new(plan, &records, findings, memory.unwrap_or(0)))
}

/// What is done later.
enum Later {
    Continue(usize),
    Start(usize),
    GraceOver(usize, u64),
    Mend(usize),
    MendRegion,
    MendEndpoint(usize, Link),
    MendStore,
    TakeBack(usize),
    End(usize, Endpoint),
    Replace(usize),
}

struct Soak {
    seed: u64,
    history: History,
    store: Store,
    links: Vec<Link>,
    region: Region,
    gateways: Vec<Gateway>,
    asked: Vec<Option<u64>>,
    killed: Vec<bool>,
    endpoints: Vec<Option<(Endpoint, Link)>>,
    incarnations: u64,
    version: u64,
    configures: u32,
    later: Vec<(u64, Later)>,
    shared: Arc<Shared>,
    clients: Vec<JoinHandle<()>>,
}

/// The way that all gateways of the southern region share.
struct Region {
    links: Vec<Option<Link>>,
}

impl Soak {
    fn start(plan: &Plan, options: &Options) -> io::Result<Self> {
        std::fs::create_dir_all(&options.out)?;
        let history = History::begin();
        let store = Store::new();
        let reports = take_reports(history.clone())?;
        let (mut links, mut region, mut gateways) = (Vec::new(), Vec::new(), Vec::new());
        for index in 0..plan.gateways {
            let mut target = store.listen_for(index)?;
            // The store lies in the north: southern gateways reach it over the regions' way too.
            let far = match index % 2 {
                0 => None,
                _ => Some(Link::to(target)?),
            };
            target = far.as_ref().map_or(target, |far| far.address);
            let link = Link::to(target)?;
            let around = Around {
                store: link.address,
                reports,
                gateways: plan.gateways,
            };
            gateways.push(Gateway::new(index, &options.program, &options.out, &around)?);
            links.push(link);
            region.push(far);
        }
        let shared = Arc::new(Shared {
            history: history.clone(),
            gateways: gateways.iter().map(|gateway| gateway.callers).collect(),
            ready: Mutex::new(vec![false; plan.gateways]),
            newest: AtomicU64::new(0),
            over: AtomicBool::new(false),
        });
        let mut soak = Soak {
            seed: plan.seed,
            history,
            store,
            links,
            region: Region { links: region },
            asked: vec![None; plan.gateways],
            killed: vec![false; plan.gateways],
            gateways,
            endpoints: vec![None; plan.endpoints],
            incarnations: 0,
            version: 0,
            configures: 1,
            later: Vec::new(),
            shared,
            clients: Vec::new(),
        };
        soak.begin()?;
        Ok(soak)
    }

    fn begin(&mut self) -> io::Result<()> {
        self.configure();
        for index in 0..self.endpoints.len() {
            self.start_endpoint(index)?;
        }
        for index in 0..self.gateways.len() {
            self.start_gateway(index)?;
            let ready = self.gateways[index].ready;
            let shared = Arc::clone(&self.shared);
            self.clients
                .push(thread::spawn(move || ask_ready(&shared, index, ready)));
        }
        for number in 0..CLIENTS * self.gateways.len() {
            let client = Client::new(number, self.seed, &self.shared);
            self.clients.push(thread::spawn(move || client.run()));
        }
        Ok(())
    }

    fn finish(mut self) -> Vec<crate::Record> {
        self.shared.over.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            // A client that panicked shows as requests without an outcome.
            let _ = client.join();
        }
        self.history.records()
    }

    fn after(&mut self, ms: u64, later: Later) {
        self.later.push((self.history.now() + ms, later));
    }

    fn fault(&self, place: Place, what: impl std::fmt::Debug) {
        let what = format!("{what:?}");
        self.history.note(Seen::Fault { place, what });
    }

    fn healed(&self, place: Place, what: &str) {
        let what = what.to_string();
        self.history.note(Seen::Healed { place, what });
    }

    fn act(&mut self, act: &Act) -> io::Result<()> {
        match act {
            Act::Pause { gateway, ms } => {
                self.fault(Place::Gateway(*gateway), "pause");
                self.gateways[*gateway].signal(Signal::STOP)?;
                self.after(*ms, Later::Continue(*gateway));
            }
            Act::Kill { gateway, ms } => self.kill(*gateway, *ms)?,
            Act::KillAll => {
                for gateway in 0..self.gateways.len() {
                    self.kill(gateway, RESTART)?;
                }
            }
            Act::Stop { gateway } => self.ask_to_stop(*gateway)?,
            Act::Reload { gateway } => self.gateways[*gateway].signal(Signal::HUP)?,
            Act::Link { gateway, how, ms } => {
                self.fault(Place::Gateway(*gateway), how);
                self.links[*gateway].set(*how);
                self.after(*ms, Later::Mend(*gateway));
            }
            Act::Region { how, ms } => {
                self.set_region(*how);
                self.after(*ms, Later::MendRegion);
            }
            Act::EndpointLink { endpoint, how, ms } => {
                if let Some((_, link)) = self.endpoints[*endpoint].clone() {
                    self.fault(Place::Endpoint(*endpoint), how);
                    link.set(*how);
                    self.after(*ms, Later::MendEndpoint(*endpoint, link));
                }
            }
            Act::Store { how, ms } => {
                self.fault(Place::Store, how);
                self.store.set(*how);
                self.after(*ms, Later::MendStore);
            }
            Act::Forget => {
                self.fault(Place::Store, "forget");
                self.store.forget();
                self.healed(Place::Store, "forget");
            }
            Act::TurnAway { gateway, ms } => {
                // Those that it serves find no sound store either: it is the store's fault.
                self.fault(Place::Store, "turned away");
                self.store.turn_away(*gateway, true);
                self.after(*ms, Later::TakeBack(*gateway));
            }
            Act::Configure => self.configures += 1,
            Act::Leave { endpoint } => self.leave(*endpoint),
            Act::Crash { endpoint } => self.crash(*endpoint),
        }
        Ok(())
    }

    fn do_due(&mut self) -> io::Result<()> {
        // The operator comes back while the store is down.
        if self.configures > 0 && !self.store.is_down() {
            self.configure();
        }
        let now = self.history.now();
        let (due, rest) = self.later.drain(..).partition(|(at, _)| *at <= now);
        self.later = rest;
        let due: Vec<(u64, Later)> = due;
        for (_, later) in due {
            self.do_later(later)?;
        }
        Ok(())
    }

    fn do_later(&mut self, later: Later) -> io::Result<()> {
        match later {
            Later::Continue(gateway) => {
                self.gateways[gateway].signal(Signal::CONT)?;
                self.healed(Place::Gateway(gateway), "pause");
            }
            Later::Start(gateway) => self.start_gateway(gateway)?,
            // It may have been started and asked again since.
            Later::GraceOver(gateway, at) if self.asked[gateway] == Some(at) => {
                self.gateways[gateway].signal(Signal::KILL)?;
            }
            Later::GraceOver(..) => {}
            Later::Mend(gateway) => {
                self.links[gateway].set(Way::Sound);
                self.healed(Place::Gateway(gateway), "link");
            }
            Later::MendRegion => self.set_region(Way::Sound),
            Later::MendEndpoint(endpoint, link) => {
                link.set(Way::Sound);
                self.healed(Place::Endpoint(endpoint), "link");
            }
            Later::MendStore => {
                self.store.set(Mood::Good);
                self.healed(Place::Store, "mood");
            }
            Later::TakeBack(gateway) => {
                self.store.turn_away(gateway, false);
                self.healed(Place::Store, "turned away");
            }
            Later::End(index, endpoint) => {
                endpoint.end();
                self.store.put("servers", endpoint.id(), None);
                self.after(REPLACED, Later::Replace(index));
            }
            Later::Replace(index) => self.start_endpoint(index)?,
        }
        Ok(())
    }

    fn set_region(&mut self, way: Way) {
        for (index, link) in self.region.links.iter().enumerate() {
            let Some(link) = link else {
                continue;
            };
            let place = Place::Gateway(index);
            match way {
                Way::Sound => self.healed(place, "region"),
                way => self.fault(place, way),
            }
            link.set(way);
        }
    }

    fn configure(&mut self) {
        self.configures -= 1;
        self.version += 1;
        let text = configuration(self.version);
        self.store.put("op", "config", Some(&text));
        let version = self.version;
        self.history.note(Seen::Configured { version });
        self.shared.newest.store(version, Ordering::SeqCst);
    }

    fn start_gateway(&mut self, index: usize) -> io::Result<()> {
        if self.gateways[index].is_started() {
            return Ok(());
        }
        self.asked[index] = None;
        self.killed[index] = false;
        self.gateways[index].start()?;
        self.history.note(Seen::Started { gateway: index });
        Ok(())
    }

    fn kill(&mut self, index: usize, ms: u64) -> io::Result<()> {
        if !self.gateways[index].is_started() {
            return Ok(());
        }
        self.fault(Place::Gateway(index), "kill");
        self.killed[index] = true;
        self.gateways[index].signal(Signal::KILL)?;
        self.after(ms, Later::Start(index));
        Ok(())
    }

    fn ask_to_stop(&mut self, index: usize) -> io::Result<()> {
        if self.asked[index].is_some() || !self.gateways[index].is_started() {
            return Ok(());
        }
        let now = self.history.now();
        self.asked[index] = Some(now);
        self.history.note(Seen::Asked { gateway: index });
        self.gateways[index].signal(Signal::TERM)?;
        self.after(GRACE, Later::GraceOver(index, now));
        Ok(())
    }

    fn look_at_processes(&mut self) -> io::Result<()> {
        for index in 0..self.gateways.len() {
            if self.gateways[index].ended()?.is_none() {
                continue;
            }
            let own = self.asked[index].is_none() && !self.killed[index];
            let gateway = index;
            self.history.note(Seen::Gone { gateway, own });
            if self.killed[index] {
                self.healed(Place::Gateway(index), "kill");
            }
            self.after(RESTART, Later::Start(index));
        }
        Ok(())
    }

    fn start_endpoint(&mut self, index: usize) -> io::Result<()> {
        self.incarnations += 1;
        let id = format!("e{index}-{}", self.incarnations);
        let endpoint = Endpoint::start(&id, &self.history)?;
        let link = Link::to(endpoint.address)?;
        self.record_endpoint(index, &endpoint, &link, "ready");
        self.endpoints[index] = Some((endpoint, link));
        Ok(())
    }

    fn record_endpoint(&self, index: usize, endpoint: &Endpoint, link: &Link, state: &str) {
        let service = ["a", "b"][index / 2 % 2];
        let text = entry(service, &link.address.to_string(), hall(index), state);
        self.store.put("servers", endpoint.id(), Some(&text));
    }

    fn leave(&mut self, index: usize) {
        let Some((endpoint, link)) = self.endpoints[index].take() else {
            return;
        };
        self.record_endpoint(index, &endpoint, &link, "draining");
        let id = endpoint.id().to_string();
        self.history.note(Seen::Leaving { endpoint: id });
        self.after(SERVES_ON, Later::End(index, endpoint));
    }

    fn crash(&mut self, index: usize) {
        let Some((endpoint, link)) = self.endpoints[index].take() else {
            return;
        };
        endpoint.end();
        link.set(Way::Cut);
        self.after(SERVES_ON, Later::End(index, endpoint));
    }
}

// Asks a gateway again and again whether it is ready, as the platform does.
fn ask_ready(shared: &Shared, index: usize, address: std::net::SocketAddr) {
    let mut misses = READY_MISSES;
    while !shared.over.load(Ordering::Relaxed) {
        match is_ready(address) {
            Some(true) => misses = 0,
            _ => misses += 1,
        }
        let mut ready = shared.ready.lock().unwrap_or_else(PoisonError::into_inner);
        ready[index] = misses < READY_MISSES;
        drop(ready);
        thread::sleep(READY_ASK);
    }
}

fn is_ready(address: std::net::SocketAddr) -> Option<bool> {
    let stream = TcpStream::connect_timeout(&address, READY_WAIT).ok()?;
    stream.set_read_timeout(Some(READY_WAIT)).ok()?;
    let mut connection = Connection::new(stream);
    let request = b"GET /v1/readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    connection.send(request).ok()?;
    Some(connection.head().ok()?.word(1) == "200")
}
