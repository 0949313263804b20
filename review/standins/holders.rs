//! The settings name a longer `leaseMs` while the gateways run; then the gateway that holds the duties is cut off from the
//! store, one after the other.

#[path = "lib.rs"]
mod lib;

use lib::*;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// `leaseMs` as the deployments state it, and as the changed settings do.
const LEASE_BEFORE_MS: u64 = 3_000;
const LEASE_MS: u64 = 20_000;
/// How long a gateway is cut off from the store, at most 5.5 s by the site file.
const CUT: Duration = Duration::from_millis(5_000);
const MAX_CUTS: usize = 4;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-release","host":"ficu95.example","pathPrefix":"/cufi504/","routeKind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"wuno96b","maxAttempts":2,"public":false}],"services":[{"name":"wuno96b","healthPath":"/health","maxConnections":110,"protocol":"h1","tlsEnabled":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["i9n73hh2b9wu3fexd9dn"],"priority":1}]}"#;

fn main() -> ExitCode {
    match run() {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

// Three calls A, B, A within the lease, if there are any after `from`.
fn find_turns(calls: &[ApiCall], from: f64) -> Option<[ApiCall; 3]> {
    let calls: Vec<&ApiCall> = calls.iter().filter(|call| call.at >= from).collect();
    for (i, first) in calls.iter().enumerate() {
        for (j, second) in calls.iter().enumerate().skip(i + 1) {
            let back = calls.iter().skip(j + 1).find(|third| third.holder == first.holder);
            let Some(third) = back.filter(|_| second.holder != first.holder) else {
                continue;
            };
            if third.at - first.at < LEASE_MS as f64 / 1000.0 {
                return Some([(*first).clone(), (*second).clone(), (*third).clone()]);
            }
        }
    }
    None
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
    let calls = ApiCalls::default();
    let api = start_recorded_api(&format!("{net}.201"), &log, &calls)?;
    store.put("op", "config", Some(CONFIG));
    let work = Work::Whole(Duration::from_millis(20));
    let _worker = Worker::start("i-00000001", "wuno96b", "intl-north", &format!("{net}.100"), work, &store, &log)?;
    let seeds: Vec<String> = (1..=3).map(|i| format!("{net}.{i}:8229")).collect();
    let bounds = |lease_ms| Bounds { lease_ms, ..Bounds::default() };
    let before = bounds(if trouble { LEASE_BEFORE_MS } else { LEASE_MS });
    let zones = ["intl-north", "intl-south", "dom-hall"];
    let mut gateways = Vec::new();
    let mut links = Vec::new();
    let mut deployments = Vec::new();
    for (i, zone) in zones.into_iter().enumerate() {
        let link = Link::start(&format!("{net}.{}", 150 + i), store.address)?;
        let deployment = Deployment {
            seeds: seeds.clone(),
            store: link.address,
            api,
            halls: "intl-north:akl,intl-south:akl,dom-hall:akl,".into(),
        };
        let name = format!("frontend-{zone}-1");
        let mut gateway = Gateway::new(&name, &format!("{net}.{}", i + 1), &folder.0);
        gateway.fill(zone, &deployment, &before)?;
        gateway.start(Path::new(&program))?;
        gateways.push(gateway);
        links.push(link);
        deployments.push(deployment);
    }
    if !wait_ready(&gateways, Duration::from_secs(20)) {
        log.line("the gateways did not become ready");
        return Ok(2);
    }
    log.line(&format!("the gateways are ready; leaseMs in their settings: {}", before.lease_ms));
    thread::sleep(Duration::from_secs(5));
    if trouble {
        for ((gateway, zone), deployment) in gateways.iter().zip(zones).zip(&deployments) {
            gateway.fill(zone, deployment, &bounds(LEASE_MS))?;
            gateway.signal("HUP");
        }
        log.line(&format!("the settings files changed: leaseMs {LEASE_MS}; SIGHUP sent to all gateways"));
        thread::sleep(Duration::from_secs(4));
        let reloaded = gateways.iter().filter(|g| g.logged("settings reloaded") > 0).count();
        log.line(&format!("{reloaded} of {} gateways logged that they read the settings again", gateways.len()));
    }
    let from = log.now();
    let until = Instant::now() + Duration::from_secs(60);
    let mut cuts = 0;
    let mut cut_until = Instant::now();
    let mut seen = calls.lock().unwrap().len();
    while Instant::now() < until && cuts < MAX_CUTS {
        thread::sleep(Duration::from_millis(20));
        // One gateway at a time is cut off.
        if Instant::now() < cut_until {
            seen = calls.lock().unwrap().len();
            continue;
        }
        let newest = calls.lock().unwrap().get(seen).cloned();
        let Some(call) = newest else { continue };
        seen += 1;
        if find_turns(&calls.lock().unwrap(), from).is_some() {
            break;
        }
        let Some(at) = gateways.iter().position(|g| g.name == call.holder) else { continue };
        cuts += 1;
        cut_until = Instant::now() + CUT + Duration::from_millis(500);
        log.line(&format!("{} is cut off from the store for {} s", call.holder, CUT.as_secs_f64()));
        links[at].cut(true);
        let link = Arc::clone(&links[at]);
        let shared = Arc::clone(&log);
        thread::spawn(move || {
            thread::sleep(CUT);
            link.cut(false);
            shared.line(&format!("{} reaches the store again", call.holder));
        });
    }
    thread::sleep(Duration::from_secs(7));
    let turns = find_turns(&calls.lock().unwrap(), from);
    match &turns {
        Some([a, b, c]) => log.line(&format!(
            "ONE: {} acted with fence {}, {:.2} s later {} with {}, and {:.2} s after the first {} again with {}; leaseMs is {LEASE_MS}",
            a.holder, a.fence, b.at - a.at, b.holder, b.fence, c.at - a.at, c.holder, c.fence
        )),
        None => log.line("no holder acted again within leaseMs after another had"),
    }
    Ok(u8::from(turns.is_some()))
}
