//! Settings of one gateway.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use schema::settings::GatewaySettings;

use crate::reader::{Reader, Unit};
use crate::validation_error::ValidationErrors;

const MILLIS: Unit = Unit::of("ms", 1, 0, 3_600_000);
/// Without a least time the store would be asked without a pause.
const CHANGE_TIME: Unit = Unit::of("ms", 1, 100, 3_600_000);
/// Times that the file gives in seconds, kept in milliseconds.
const SECONDS: Unit = Unit::of("s", 1000, 0, 3_600_000);
const DESCRIPTORS: Unit = Unit::count(64, 1 << 20);
/// Shares such as 0.2, kept in thousandths.
const SHARE: Unit = Unit::of("", 1000, 0, 1000);
/// Cores such as 0.25, kept in thousandths.
const CORES: Unit = Unit::of("", 1000, 1, 1_024_000);
const COUNT: Unit = Unit::count(0, i32::MAX as i64);
/// Memory of a VM.
const MEMORY: Unit = Unit::of("MiB", 1, 0, 1 << 24);
/// Rates such as 60, kept in kilobits a second.
const RATE: Unit = Unit::of("Mbit/s", 1000, 0, 1_000_000_000);
const UNITS: Unit = Unit::count(0, i64::MAX);
/// Names of duties in the list `duties`.
const USAGE_DUTY: &str = "usage_reporting";
const SCALING_DUTY: &str = "autoscaling";

/// Reads and checks the settings of a gateway. `file` names the text in faults.
pub fn read_gateway(file: &str, text: &str) -> Result<GatewaySettings, ValidationErrors> {
    let mut r = Reader::new(file, text)?;
    let address = r.text("gateway", "address", None);
    let ports = r.list("gateway", "peer_ports", None);
    let port = ports.first().cloned().unwrap_or_default();
    let peers = format!("{address}:{port}");
    if !address.is_empty() && peers.parse::<SocketAddr>().is_err() {
        let message = format!("`{peers}` is no address");
        r.fault("gateway", "peer_ports", &message, "write FIRST,LAST");
    }
    let decisions = decisions_address(&ports, &address);
    let zone = r.text("gateway", "zone", None);
    let region = r.text("gateway", "region", Some(""));
    let halls = halls(&mut r, &zone, &region);
    let duties = r.list("orders", "duties", Some(""));
    let settings = GatewaySettings {
        name: r.text("gateway", "name", None),
        region,
        zone,
        callers: r.address("gateway", "callers", None),
        readiness: r.address("gateway", "readiness", None),
        peers,
        metrics: metrics_address(&mut r, &address),
        seeds: seeds(&mut r, &port),
        store: r.address("store", "address", None),
        orders: r.address("orders", "address", Some("")),
        reports_usage: has(&duties, USAGE_DUTY),
        orders_endpoints: has(&duties, SCALING_DUTY),
        descriptors: r.number(("bounds", "descriptors"), Some("1024"), DESCRIPTORS) as i32,
        credential_age_ms: r.number(("bounds", "credential_age"), Some("0ms"), MILLIS),
        stop_grace_ms: r.number(("bounds", "stop_grace"), Some("8s"), SECONDS),
        repeats_milli: r.number(("bounds", "repeats"), Some("0.2"), SHARE) as i32,
        repeats_extra: r.number(("bounds", "repeats_extra"), Some("10"), COUNT) as i32,
        repeats_window_ms: r.number(("bounds", "repeats_window"), Some("10s"), SECONDS),
        quota_slack: r.number(("bounds", "quota_slack"), Some("0"), UNITS),
        lease_ms: r.number(("bounds", "lease"), Some("3000ms"), MILLIS),
        usage_window_ms: r.number(("bounds", "usage_window"), Some("5s"), SECONDS),
        usage_due_ms: r.number(("bounds", "usage_due"), Some("10s"), SECONDS),
        change_due_ms: r.number(("bounds", "change_due"), Some("2000ms"), CHANGE_TIME),
        cores_milli: r.number(("gateway", "cores"), Some("1"), CORES) as i32,
        decisions,
        exposure_milli: r.number(("bounds", "exposure"), Some("0.1"), SHARE) as i32,
        exposure_extra: r.number(("bounds", "exposure_extra"), Some("0"), COUNT) as i32,
        halls,
        memory_mib: r.number(("bounds", "memory"), Some("0MiB"), MEMORY) as i32,
        region_link_kbit: r.number(("bounds", "region_link"), Some("0Mbit/s"), RATE),
    };
    r.finish(settings)
}

// Pairs of hall and region; the own hall must be among them if there are any.
fn halls(r: &mut Reader<'_>, own: &str, own_region: &str) -> BTreeMap<String, String> {
    let list = r.list("gateway", "halls", Some(""));
    let mut halls = BTreeMap::new();
    for pair in list {
        match pair.split_once(':') {
            Some((hall, region)) if !hall.is_empty() && !region.is_empty() => {
                halls.insert(hall.to_string(), region.to_string());
            }
            _ => {
                let message = format!("`{pair}` names no hall and region");
                r.fault(
                    "gateway",
                    "halls",
                    &message,
                    "write HALL:REGION,HALL:REGION",
                );
            }
        }
    }
    if !halls.is_empty() && halls.get(own).map(String::as_str) != Some(own_region) {
        let message = format!("the own hall `{own}` is not listed in region `{own_region}`");
        let remedy = "list every hall, the own one with the region of this gateway";
        r.fault("gateway", "halls", &message, remedy);
    }
    halls
}

// The second of the peer ports; any free one where there is no second.
fn decisions_address(ports: &[String], address: &str) -> String {
    let port = |i: usize| ports.get(i).and_then(|port| port.parse::<u16>().ok());
    let second = match (port(0), port(1)) {
        (Some(first), Some(last)) if first < last => first + 1,
        _ => 0,
    };
    format!("{address}:{second}")
}

fn has(duties: &[String], name: &str) -> bool {
    duties.iter().any(|duty| duty == name)
}

fn metrics_address(r: &mut Reader<'_>, address: &str) -> String {
    let port = r.text("gateway", "metrics_port", Some(""));
    match port.is_empty() {
        true => String::new(),
        false => format!("{address}:{port}"),
    }
}

// Seeds are named by another of their ports; gateways use the same peer port everywhere.
fn seeds(r: &mut Reader<'_>, port: &str) -> Vec<String> {
    let seeds = r.list("gateway", "seeds", Some(""));
    let ips = seeds.iter().filter_map(|seed| seed.split(':').next());
    ips.map(|ip| format!("{ip}:{port}")).collect()
}
