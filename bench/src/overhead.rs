//! What a node adds to a request and to each token, over calling the engine directly, and what the
//! load of one node at the design size costs it.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use argh::FromArgs;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standins::{EngineOptions, Fleet, FleetOptions, CREDENTIAL};

const TOKENS: u32 = 317;
const REQUESTS_A_SECOND: f64 = 12.4;
const ENGINES: usize = 3;
/// One request in this many goes to an engine directly.
const DIRECT_ONE_IN: u32 = 5;

/// load one node as at the design size, and compare with calling the engines directly
#[derive(FromArgs)]
#[argh(subcommand, name = "overhead")]
pub struct Overhead {
    /// folder for the node's settings; the node's address and process id are read from there
    #[argh(option)]
    folder: PathBuf,
    /// seconds of load
    #[argh(option, default = "40")]
    secs: u64,
}

#[derive(Default)]
struct Samples {
    first_us: Vec<u64>,
    gap_us: Vec<u64>,
    whole: u64,
    broken: u64,
}

type Shared = Arc<Mutex<Samples>>;

/// Runs the command.
pub fn run(args: &Overhead) {
    let engine = EngineOptions {
        slots: 256,
        token_interval: Duration::from_millis(30),
        ..EngineOptions::default()
    };
    let options = FleetOptions {
        nodes: 0,
        engines: vec![engine; ENGINES],
        desk: "budget = 100000/h\n".into(),
        ..FleetOptions::default()
    };
    let fleet = match Fleet::start(&options, &telemetry::discard()) {
        Ok(fleet) => fleet,
        Err(error) => return eprintln!("{error:?}"),
    };
    let configuration = args.folder.join("configuration.ini");
    let text = fleet.node_settings(0, &options, &configuration.display().to_string(), &[]);
    let written = std::fs::write(&configuration, &fleet.configuration)
        .and_then(|()| std::fs::write(args.folder.join("node.ini"), text));
    if let Err(error) = written {
        return eprintln!("{error}");
    }
    let address = wait_for(&args.folder.join("address"));
    let pid = wait_for(&args.folder.join("pid"));
    thread::sleep(Duration::from_secs(2));
    load(args.secs, &address, &fleet, &pid);
}

fn wait_for(path: &PathBuf) -> String {
    loop {
        match std::fs::read_to_string(path) {
            Ok(text) if text.ends_with('\n') => return text.trim().to_string(),
            _ => thread::sleep(Duration::from_millis(50)),
        }
    }
}

fn load(secs: u64, address: &str, fleet: &Fleet, pid: &str) {
    let (through, direct) = (Shared::default(), Shared::default());
    let engines: Vec<String> = fleet
        .engines
        .iter()
        .map(|e| e.address().to_string())
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut threads = Vec::new();
    let started = Instant::now();
    let mut next = started;
    let half = Duration::from_secs(secs / 2);
    let mut at_half = None;
    let mut n = 0;
    while started.elapsed() < Duration::from_secs(secs) {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        let pause = -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / REQUESTS_A_SECOND;
        next += Duration::from_secs_f64(pause);
        if at_half.is_none() && started.elapsed() > half {
            at_half = Some((Instant::now(), process_time(pid)));
        }
        n += 1;
        let (address, through) = (address.to_string(), Arc::clone(&through));
        threads.push(thread::spawn(move || chat(&address, n, &through)));
        if rng.random_ratio(1, DIRECT_ONE_IN) {
            let (engine, direct) = (engines[n as usize % ENGINES].clone(), Arc::clone(&direct));
            threads.push(thread::spawn(move || generate(&engine, n, &direct)));
        }
    }
    if let Some((at, before)) = at_half {
        let used = process_time(pid) - before;
        let share = used / at.elapsed().as_secs_f64();
        let running: usize = fleet.engines.iter().map(|e| e.running()).sum();
        println!("{n} requests through the node, about {running} streams open at the end");
        println!(
            "node: {:.1}% of a core, {} MB resident",
            share * 100.0,
            resident_mb(pid)
        );
    }
    threads.into_iter().for_each(|t| drop(t.join()));
    print("through the node", &through);
    print("direct", &direct);
}

fn chat(address: &str, n: u64, samples: &Shared) {
    let body = standins::chat_body(&format!("request {n}"), TOKENS, true);
    let request = minreq::post(format!("http://{address}/v1/chat/completions"))
        .with_header("Authorization", format!("Bearer {CREDENTIAL}"))
        .with_body(body);
    read(
        request,
        samples,
        |line| line.contains("\"offset\""),
        |line| line.contains("[DONE]"),
    );
}

fn generate(address: &str, n: u64, samples: &Shared) {
    let body = format!(
        "{{\"request\":\"d{n}\",\"attempt\":1,\"model\":\"story\",\"prompt\":[\"request {n}\"],\
         \"max_tokens\":{TOKENS},\"priority\":0,\"received\":[],\"from\":0}}"
    );
    let request = minreq::post(format!("http://{address}/generate")).with_body(body);
    read(
        request,
        samples,
        |line| line.contains("\"token\""),
        |line| line.contains("\"end\""),
    );
}

fn read(
    request: minreq::Request,
    samples: &Shared,
    is_token: impl Fn(&str) -> bool,
    is_end: impl Fn(&str) -> bool,
) {
    let sent = Instant::now();
    let mut last = None;
    let mut ended = false;
    let (mut first_us, mut gap_us) = (Vec::new(), Vec::new());
    if let Ok(response) = request.send_lazy() {
        for line in BufReader::new(response).lines().map_while(Result::ok) {
            if is_token(&line) {
                let now = Instant::now();
                match last.replace(now) {
                    None => first_us.push((now - sent).as_micros() as u64),
                    Some(before) => gap_us.push((now - before).as_micros() as u64),
                }
            }
            ended = is_end(&line);
            if ended {
                break;
            }
        }
    }
    let mut samples = samples.lock().unwrap_or_else(PoisonError::into_inner);
    samples.first_us.extend(first_us);
    samples.gap_us.extend(gap_us);
    samples.whole += u64::from(ended);
    samples.broken += u64::from(!ended);
}

fn print(what: &str, samples: &Shared) {
    let mut s = samples.lock().unwrap_or_else(PoisonError::into_inner);
    let (first, gap) = (percentiles(&mut s.first_us), percentiles(&mut s.gap_us));
    println!(
        "{what}: {} whole, {} broken; first token p50 {} p95 {} us; between tokens p50 {} p95 {} us",
        s.whole, s.broken, first.0, first.1, gap.0, gap.1
    );
}

fn percentiles(samples: &mut [u64]) -> (u64, u64) {
    samples.sort_unstable();
    let at = |share: usize| {
        samples
            .get(samples.len() * share / 100)
            .copied()
            .unwrap_or(0)
    };
    (at(50), at(95))
}

// Processor time of a process in seconds; the system counts it in hundredths.
fn process_time(pid: &str) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let field = |n: usize| {
        after_name
            .split_whitespace()
            .nth(n)
            .and_then(|t| t.parse().ok())
    };
    let ticks: f64 = field(11).unwrap_or(0.0) + field(12).unwrap_or(0.0);
    ticks / 100.0
}

fn resident_mb(pid: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok())
        .unwrap_or(0)
        / 1024
}
