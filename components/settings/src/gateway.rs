//! Settings of one gateway.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use schema::settings::GatewaySettings;

use crate::reader::{IniReader, NumberFormat};
use crate::validation_error::ValidationErrors;

const MILLIS: NumberFormat = NumberFormat::scaled("ms", 1, 0, 3_600_000);
/// Has a minimum because the store would otherwise be polled without a pause.
const CHANGE_DUE: NumberFormat = NumberFormat::scaled("ms", 1, 100, 3_600_000);
/// Durations in seconds, stored in milliseconds.
const SECONDS: NumberFormat = NumberFormat::scaled("s", 1000, 0, 3_600_000);
const DESCRIPTORS: NumberFormat = NumberFormat::unscaled(64, 1 << 20);
/// Shares such as 0.2, stored in thousandths.
const SHARE: NumberFormat = NumberFormat::scaled("", 1000, 0, 1000);
/// Cores such as 0.25, stored in thousandths.
const CORES: NumberFormat = NumberFormat::scaled("", 1000, 1, 1_024_000);
const COUNT: NumberFormat = NumberFormat::unscaled(0, i32::MAX as i64);
/// Memory of the VM, stored in MiB.
const MEMORY: NumberFormat = NumberFormat::scaled("MiB", 1, 0, 1 << 24);
/// Link rates such as 60, stored in kbit/s.
const LINK_RATE: NumberFormat = NumberFormat::scaled("Mbit/s", 1000, 0, 1_000_000_000);
const QUOTA_SLACK: NumberFormat = NumberFormat::unscaled(0, i64::MAX);
/// Values in the list `duties`.
const USAGE_DUTY: &str = "usage_reporting";
const SCALING_DUTY: &str = "autoscaling";

/// Parses and validates the settings of a gateway; `file` is the file name that errors show.
pub fn read_gateway(file: &str, text: &str) -> Result<GatewaySettings, ValidationErrors> {
    let mut r = IniReader::new(file, text)?;
    let address = r.text("gateway", "address", None);
    let ports = r.list("gateway", "peer_ports", None);
    let port = ports.first().cloned().unwrap_or_default();
    let peers = format!("{address}:{port}");
    if !address.is_empty() && peers.parse::<SocketAddr>().is_err() {
        let message = format!("`{peers}` is no address");
        r.add_error("gateway", "peer_ports", &message, "write FIRST,LAST");
    }
    let decisions = decisions_address(&ports, &address);
    let zone = r.text("gateway", "zone", None);
    let region = r.text("gateway", "region", Some(""));
    let halls = read_halls(&mut r, &zone, &region);
    let duties = r.list("orders", "duties", Some(""));
    let settings = GatewaySettings {
        name: r.text("gateway", "name", None),
        region,
        zone,
        callers: r.socket_address("gateway", "callers", None),
        readiness: r.socket_address("gateway", "readiness", None),
        peers,
        metrics: metrics_address(&mut r, &address),
        seeds: read_seeds(&mut r, &port),
        store: r.socket_address("store", "address", None),
        orders: r.socket_address("orders", "address", Some("")),
        reports_usage: has_duty(&duties, USAGE_DUTY),
        orders_endpoints: has_duty(&duties, SCALING_DUTY),
        descriptors: r.number(("bounds", "descriptors"), Some("1024"), DESCRIPTORS) as i32,
        credential_age_ms: r.number(("bounds", "credential_age"), Some("0ms"), MILLIS),
        stop_grace_ms: r.number(("bounds", "stop_grace"), Some("8s"), SECONDS),
        repeats_milli: r.number(("bounds", "repeats"), Some("0.2"), SHARE) as i32,
        repeats_extra: r.number(("bounds", "repeats_extra"), Some("10"), COUNT) as i32,
        repeats_window_ms: r.number(("bounds", "repeats_window"), Some("10s"), SECONDS),
        quota_slack: r.number(("bounds", "quota_slack"), Some("0"), QUOTA_SLACK),
        lease_ms: r.number(("bounds", "lease"), Some("3000ms"), MILLIS),
        usage_window_ms: r.number(("bounds", "usage_window"), Some("5s"), SECONDS),
        usage_due_ms: r.number(("bounds", "usage_due"), Some("10s"), SECONDS),
        change_due_ms: r.number(("bounds", "change_due"), Some("2000ms"), CHANGE_DUE),
        cores_milli: r.number(("gateway", "cores"), Some("1"), CORES) as i32,
        decisions,
        exposure_milli: r.number(("bounds", "exposure"), Some("0.1"), SHARE) as i32,
        exposure_extra: r.number(("bounds", "exposure_extra"), Some("0"), COUNT) as i32,
        halls,
        memory_mib: r.number(("bounds", "memory"), Some("0MiB"), MEMORY) as i32,
        region_link_kbit: r.number(("bounds", "region_link"), Some("0Mbit/s"), LINK_RATE),
    };
    r.finish(settings)
}

// Reads the map of halls to regions. Unless it is empty, it must hold the gateway's own hall.
fn read_halls(r: &mut IniReader<'_>, own_hall: &str, own_region: &str) -> BTreeMap<String, String> {
    let list = r.list("gateway", "halls", Some(""));
    let mut halls = BTreeMap::new();
    for pair in list {
        match pair.split_once(':') {
            Some((hall, region)) if !hall.is_empty() && !region.is_empty() => {
                halls.insert(hall.to_string(), region.to_string());
            }
            _ => {
                let message = format!("`{pair}` is not a HALL:REGION pair");
                r.add_error(
                    "gateway",
                    "halls",
                    &message,
                    "write HALL:REGION,HALL:REGION",
                );
            }
        }
    }
    if !halls.is_empty() && halls.get(own_hall).map(String::as_str) != Some(own_region) {
        let message = format!(
            "the gateway's own hall `{own_hall}` is not listed with its region `{own_region}`"
        );
        let remedy = "list every hall, and this gateway's hall with its region";
        r.add_error("gateway", "halls", &message, remedy);
    }
    halls
}

// Address for decisions: the port after the first peer port, or port 0 (any free port) if the
// range of peer ports has only one.
fn decisions_address(ports: &[String], address: &str) -> String {
    let port = |i: usize| ports.get(i).and_then(|port| port.parse::<u16>().ok());
    let decisions_port = match (port(0), port(1)) {
        (Some(first), Some(last)) if first < last => first + 1,
        _ => 0,
    };
    format!("{address}:{decisions_port}")
}

fn has_duty(duties: &[String], name: &str) -> bool {
    duties.iter().any(|duty| duty == name)
}

fn metrics_address(r: &mut IniReader<'_>, address: &str) -> String {
    let port = r.text("gateway", "metrics_port", Some(""));
    match port.is_empty() {
        true => String::new(),
        false => format!("{address}:{port}"),
    }
}

// The file gives seeds with another port. It is replaced by the peer port, which is the same on
// every gateway.
fn read_seeds(r: &mut IniReader<'_>, port: &str) -> Vec<String> {
    let seeds = r.list("gateway", "seeds", Some(""));
    let ips = seeds.iter().filter_map(|seed| seed.split(':').next());
    ips.map(|ip| format!("{ip}:{port}")).collect()
}
