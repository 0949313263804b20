//! A new configuration raises `maxHeaderBytes` while clients keep their connections; then they send longer heads.

#[path = "lib.rs"]
mod lib;

use lib::*;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 24;
/// Length of the long field that a client adds, within `maxHeaderBytes` of the configuration in force.
const FIELD_BEFORE: usize = 10_000;
const FIELD_AFTER: usize = 20_000;
const LIMIT_BEFORE: usize = 16_384;
const LIMIT_AFTER: usize = 32_768;
/// `configApplyMs`, and how much later the long heads are sent.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const LATER: Duration = Duration::from_millis(3_000);

fn config(version: u64, max_header_bytes: usize) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-release","host":"ficu95.example","pathPrefix":"/cufi504/","routeKind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"wuno96b","maxAttempts":2,"public":false,"stickySessions":false,"streamResumption":false}}],"services":[{{"name":"wuno96b","healthPath":"/health","maxConnections":110,"protocol":"h1","tlsEnabled":false}}],"limits":{{"maxHeaderBytes":{max_header_bytes},"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["i9n73hh2b9wu3fexd9dn"],"priority":1}}]}}"#
    )
}

fn request(id: &str, long: usize) -> String {
    format!(
        "GET /cufi504/fi50/2f HTTP/1.1\r\nHost: ficu95.example\r\nCroftpond-Attempt-Id: {id}\r\n\
         Croftpond-Deadline-Ms: 1500\r\nCroftpond-Credential: i9n73hh2b9wu3fexd9dn\r\nCookie: {}\r\n\r\n",
        "c".repeat(long)
    )
}

fn main() -> ExitCode {
    match run() {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> std::io::Result<u8> {
    let mut args = std::env::args().skip(1);
    let program = PathBuf::from(args.next().unwrap_or_else(|| "target/release/croftpond".into()));
    let record = PathBuf::from(args.next().unwrap_or_else(|| "record.txt".into()));
    let log = Log::new(&record)?;
    let folder = Folder::new()?;
    let net = net();
    let trouble = trouble();
    log.line(&format!("trouble: {trouble}"));

    let store = Store::start(&format!("{net}.200"))?;
    let api = start_api(&format!("{net}.201"), &log)?;
    store.put("op", "config", Some(&config(7, LIMIT_BEFORE)));
    let work = Work::Whole(Duration::from_millis(20));
    let mut workers = Vec::new();
    for (i, zone) in ["intl-north", "intl-south"].into_iter().enumerate() {
        let ip = format!("{net}.{}", 100 + i);
        workers.push(Worker::start(&format!("i-{i:08x}"), "wuno96b", zone, &ip, work, &store, &log)?);
    }
    let deployment = Deployment {
        seeds: (1..=3).map(|i| format!("{net}.{i}:8229")).collect(),
        store: store.address,
        api,
        halls: "intl-north:akl,intl-south:akl,dom-hall:akl,".into(),
    };
    let mut gateways = Vec::new();
    for (i, zone) in ["intl-north", "intl-south", "dom-hall"].into_iter().enumerate() {
        let name = format!("frontend-{zone}-1");
        let mut gateway = Gateway::new(&name, &format!("{net}.{}", i + 1), &folder.0);
        gateway.fill(zone, &deployment, &Bounds::default())?;
        gateway.start(Path::new(&program))?;
        gateways.push(gateway);
    }
    if !wait_ready(&gateways, Duration::from_secs(20)) {
        log.line("the gateways did not become ready");
        return Ok(2);
    }
    thread::sleep(Duration::from_secs(1));

    let mut clients = Vec::new();
    for i in 0..CLIENTS {
        clients.push(Client::connect(gateways[i % gateways.len()].callers(), &log)?);
    }
    let mut all = 0;
    let mut denied = 0;
    let mut round = |clients: &mut Vec<Client>, long: usize, counts: bool| {
        for client in clients.iter_mut() {
            let id = new_id();
            let got = client.send(&request(&id, long), &id, Duration::from_secs(3));
            all += 1;
            // DENIED: a 3xx or 4xx of the system's own, but 408, 421 and 429.
            if counts && (300..500).contains(&got.status) && ![408, 421, 429].contains(&got.status) {
                denied += 1;
            }
        }
    };
    for _ in 0..2 {
        round(&mut clients, FIELD_BEFORE, true);
        thread::sleep(Duration::from_secs(1));
    }
    let mut long = FIELD_BEFORE;
    if trouble {
        store.put("op", "config", Some(&config(9, LIMIT_AFTER)));
        log.line(&format!("the store has taken version 9: maxHeaderBytes {LIMIT_AFTER} instead of {LIMIT_BEFORE}"));
        long = FIELD_AFTER;
    }
    let acknowledged = Instant::now();
    round(&mut clients, FIELD_BEFORE, true);
    thread::sleep((CONFIG_APPLY + LATER).saturating_sub(acknowledged.elapsed()));
    let in_force = gateways.iter().filter(|g| g.logged("\"version\":9") > 0).count();
    log.line(&format!("{in_force} of {} gateways log that version 9 is in force", gateways.len()));
    log.line(&format!("the clients send heads of some {long} bytes on the connections that they kept"));
    round(&mut clients, long, true);
    log.line("the clients send the same on new connections");
    let mut fresh = Vec::new();
    for i in 0..CLIENTS {
        fresh.push(Client::connect(gateways[i % gateways.len()].callers(), &log)?);
    }
    round(&mut fresh, long, true);
    let bound = 5.0 + all as f64 / 500.0;
    log.line(&format!("{denied} of {all} requests ended with a 3xx or 4xx of the system's own; allowed {bound:.1}"));
    Ok(u8::from(f64::from(denied) > bound))
}
