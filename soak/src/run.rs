//! Plays a plan: starts everything, acts in time, and hands the history to the checks.

mod acts;
mod ready;

use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::flag;

use crate::checks;
use crate::gateways::{Around, Gateway, Programs};
use crate::history::History;
use crate::link::Link;
use crate::plan::Plan;
use crate::report::Report;
use crate::standins::client::{Client, Shared, NO_GATEWAY};
use crate::standins::deadly::{ask_deadly, ask_deadly_part};
use crate::standins::endpoint::{Endpoint, NamedLimit};
use crate::standins::store::{take_reports, Store};
use acts::Later;
use ready::ask_ready;

/// Pause between looks at what is due.
const LOOK: Duration = Duration::from_millis(10);
/// Clients for each gateway.
const CLIENTS: usize = 3;
/// Pause between two lines of progress, in ms.
const PROGRESS: u64 = 5_000;

/// How a plan is played.
pub struct Options {
    /// The croftpond programs.
    pub programs: Programs,
    /// Folder in which each run makes one of its own.
    pub out: PathBuf,
    /// Whether progress is printed.
    pub progress: bool,
}

/// Plays a plan and judges what was seen. Settings, logs and the history go to a folder of this run.
pub fn run(plan: &Plan, options: &Options) -> io::Result<Report> {
    // Runs side by side would start each other's gateways from one folder.
    let folder = format!("{}-{}", plan.seed, std::process::id());
    let out = options.out.join(folder);
    std::fs::create_dir_all(&out)?;
    if options.progress {
        eprintln!("in {}", out.display());
    }
    let mut soak = Soak::start(plan, options, &out)?;
    let mut steps = plan.steps.iter().peekable();
    let mut told = 0;
    let stopped = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        flag::register(signal, Arc::clone(&stopped))?;
    }
    while soak.history.now() < plan.seconds * 1000 {
        if stopped.load(Ordering::Relaxed) {
            // The gateways end with `soak`.
            return Err(io::ErrorKind::Interrupted.into());
        }
        while let Some(step) = steps.next_if(|step| step.at <= soak.history.now()) {
            soak.act(&step.act)?;
        }
        soak.do_due()?;
        soak.look_at_processes()?;
        soak.look_at_endpoints();
        if options.progress && soak.history.now() >= told + PROGRESS {
            told = soak.history.now();
            eprintln!(
                "{:>4} s  {} records",
                told / 1000,
                soak.history.records().len()
            );
        }
        thread::sleep(LOOK);
    }
    let memory = soak.gateways.iter().map(Gateway::peak_memory).max();
    let records = soak.finish();
    let text = serde_json::to_vec(&records)?;
    std::fs::write(out.join("history.json"), text)?;
    let verdicts = checks::all(&records, plan.gateways);
    Ok(Report::new(plan, &records, verdicts, memory.unwrap_or(0)))
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
    limits: Vec<Option<NamedLimit>>,
    incarnations: u64,
    version: u64,
    // Starts of endpoints so far.
    endpoint_starts: usize,
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
    fn start(plan: &Plan, options: &Options, out: &Path) -> io::Result<Self> {
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
            gateways.push(Gateway::new(index, &options.programs, out, &around)?);
            links.push(link);
            region.push(far);
        }
        let shared = Arc::new(Shared {
            history: history.clone(),
            gateways: gateways.iter().map(|gateway| gateway.callers).collect(),
            ready: Mutex::new(vec![false; plan.gateways]),
            newest: AtomicU64::new(0),
            most_reached: AtomicUsize::new(NO_GATEWAY),
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
            limits: vec![None; plan.endpoints],
            incarnations: 0,
            version: 0,
            endpoint_starts: 0,
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
        let (shared, seed) = (Arc::clone(&self.shared), self.seed);
        self.clients
            .push(thread::spawn(move || ask_deadly(&shared, seed)));
        let shared = Arc::clone(&self.shared);
        self.clients
            .push(thread::spawn(move || ask_deadly_part(&shared, seed)));
        for number in 0..CLIENTS * self.gateways.len() {
            // One client stays with each gateway, so that each is asked until the end.
            let only = (number % CLIENTS == 0).then_some(number / CLIENTS);
            let client = Client::new(number, only, self.seed, &self.shared);
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
}
