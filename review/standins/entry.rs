//! Another writer overwrites the entries of workers, and leaves out a field, while a gateway is stopped as planned.

#[path = "lib.rs"]
mod lib;

use lib::*;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// `gracePeriodS` as the deployments state it.
const GRACE_S: u64 = 8;
/// Streams that are in flight when the stop begins, and how long each takes its worker: 6 s.
const STREAMS: usize = 6;
const EVENTS: u64 = 24;
const PAUSE: Duration = Duration::from_millis(250);
/// When the workers started, in ms since 1970.
const BORN_MS: u64 = 1_793_000_000_000;
/// `timeoutMs` of the route and the clients' deadline.
const TIMEOUT_MS: u64 = 15_000;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-review","host":"ficu95.example","pathPrefix":"/lohu930/","routeKind":"streaming","timeoutMs":15000,"targetLatencyMs":1200,"priority":1,"service":"huvo11a","maxAttempts":1,"public":false,"stickySessions":true,"streamResumption":false,"gapAimMs":500}],"services":[{"name":"huvo11a","healthPath":"/health","maxConnections":370,"protocol":"h1","tlsEnabled":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["i9n73hh2b9wu3fexd9dn"],"priority":1}]}"#;

fn request(id: &str) -> String {
    format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nCroftpond-Attempt-Id: {id}\r\nCroftpond-Model: m\r\n\
         Croftpond-Deadline-Ms: {TIMEOUT_MS}\r\nCroftpond-Credential: i9n73hh2b9wu3fexd9dn\r\nContent-Length: 2\r\n\r\nhi"
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
    store.put("op", "config", Some(CONFIG));
    let work = Work::Stream { events: EVENTS, pause: PAUSE };
    let mut workers = Vec::new();
    for (i, zone) in ["intl-north", "intl-south"].into_iter().enumerate() {
        let ip = format!("{net}.{}", 100 + i);
        let worker = Worker::start(&format!("i-{i:08x}"), "huvo11a", zone, &ip, work, &store, &log)?;
        store.put("servers", &worker.id, Some(&worker.entry_with_born(zone, BORN_MS + i as u64)));
        workers.push(worker);
    }
    let deployment = Deployment {
        seeds: (1..=3).map(|i| format!("{net}.{i}:8229")).collect(),
        store: store.address,
        api,
        halls: "intl-north:akl,intl-south:akl,dom-hall:akl,".into(),
    };
    let zones = ["intl-north", "intl-south", "dom-hall"];
    let mut gateways = Vec::new();
    for (i, zone) in zones.into_iter().enumerate() {
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
    log.line("the gateways are ready");
    thread::sleep(Duration::from_secs(2));

    let to = gateways[0].callers();
    let clients: Vec<_> = (0..STREAMS)
        .map(|_| {
            let log = Arc::clone(&log);
            thread::spawn(move || {
                let id = new_id();
                let got = Client::connect(to, &log).map(|mut client| {
                    log.line(&format!("client: {id} sent to {to}"));
                    client.send(&request(&id), &id, Duration::from_secs(20))
                });
                (id, got)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1000));
    let stop_at = log.now();
    gateways[0].signal("TERM");
    log.line(&format!("SIGTERM to {}", gateways[0].name));
    if trouble {
        thread::sleep(Duration::from_millis(1000));
        for (worker, zone) in workers.iter().zip(["intl-north", "intl-south"]) {
            store.put("servers", &worker.id, Some(&worker.entry(zone, "ready")));
        }
        log.line("another writer overwrote the entries of the workers: the field `born` is missing");
        thread::sleep(Duration::from_millis(1200));
        for (i, (worker, zone)) in workers.iter().zip(["intl-north", "intl-south"]).enumerate() {
            store.put("servers", &worker.id, Some(&worker.entry_with_born(zone, BORN_MS + i as u64)));
        }
        log.line("the workers wrote their entries again");
    }
    let until = Instant::now() + Duration::from_secs(GRACE_S);
    while Instant::now() < until && !gateways[0].has_ended() {
        thread::sleep(Duration::from_millis(20));
    }
    match gateways[0].has_ended() {
        true => log.line(&format!("the process ended {:.2} s after SIGTERM", log.now() - stop_at)),
        false => {
            log.line(&format!("SIGKILL after gracePeriodS ({GRACE_S} s)"));
            gateways[0].kill();
        }
    }

    // LOST, as written: a request that was read whole and passed on to a worker, whose connection closes without a complete
    // answer, from the SIGTERM until 1 s after gracePeriodS. Not counted: the worker broke off; the deadline or the route's
    // timeout was reached; the worker was still at work in the last sixth of gracePeriodS.
    let last_sixth = stop_at + GRACE_S as f64 * 5.0 / 6.0;
    let mut lost = 0;
    let mut whole = 0;
    for client in clients {
        let (id, got) = client.join().map_err(|_| std::io::Error::other("a client failed"))?;
        let got = got?;
        if got.is_whole {
            whole += 1;
            continue;
        }
        // A worker sees at its next event that its connection was closed.
        thread::sleep(2 * PAUSE);
        let run = workers.iter().find_map(|worker| {
            let runs = worker.runs.lock().unwrap();
            runs.iter().find(|run| run.id == id).cloned()
        });
        let Some(run) = run else { continue };
        let out_of_time = got.ended - got.sent >= TIMEOUT_MS as f64 / 1000.0;
        let in_last_sixth = run.ended.unwrap_or(log.now()) >= last_sixth;
        let in_window = got.ended <= stop_at + GRACE_S as f64 + 1.0;
        if !out_of_time && !in_last_sixth && in_window {
            lost += 1;
            log.line(&format!(
                "LOST: {id} was cut {:.2} s after SIGTERM; gracePeriodS is {GRACE_S}",
                got.ended - stop_at
            ));
        }
    }
    log.line(&format!("{whole} of {STREAMS} answers were whole, {lost} were lost"));
    Ok(u8::from(lost > 0))
}
