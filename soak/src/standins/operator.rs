//! The operator's configurations. Version N has the routes `/nN/` and `/n(N-1)/` and the keys
//! `rN` and `r(N-1)` beside those that stay, so what is served tells which version is in force.

use platform::names::{API_KEYS, STREAM_RESUMPTION};
use serde_json::{json, Value};

/// The key that every version holds.
pub(crate) const STEADY_KEY: &str = "steady";
/// The team without a limit, and one with a low one and its key.
const TEAM: &str = "t";
const LIMITED_TEAM: &str = "f";
pub(crate) const LIMITED_KEY: &str = "few";
/// Its limit, in requests a second, and what it may ask for at once.
const LIMIT: f64 = 5.0;
const BURST: f64 = 5.0;
/// Host of all routes.
pub(crate) const HOST: &str = "h";

/// The configuration of a version.
pub(crate) fn configuration(version: u64) -> String {
    let mut routes = vec![
        route("/once/", "non_idempotent", "a"),
        route("/rep/", "idempotent", "a"),
        route("/str/", "streaming", "b"),
        route("/res/", "streaming", "b"),
    ];
    routes[3][STREAM_RESUMPTION] = json!(true);
    let mut keys = vec![STEADY_KEY.to_string()];
    for version in [version - 1, version] {
        routes.push(route(&format!("/n{version}/"), "idempotent", "a"));
        keys.push(format!("r{version}"));
    }
    json!({
        "version": version,
        "routes": routes,
        "services": [{"name": "a"}, {"name": "b"}],
        "tenants": [
            {"name": TEAM, API_KEYS: keys},
            {"name": LIMITED_TEAM, API_KEYS: [LIMITED_KEY], "ratePerS": LIMIT, "burst": BURST},
        ],
    })
    .to_string()
}

fn route(prefix: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": prefix, "host": HOST, "pathPrefix": prefix, "routeKind": kind,
        "timeoutMs": 5000, "targetLatencyMs": 1000, "service": service, "maxAttempts": 2,
    })
}

/// An endpoint's entry.
pub(crate) fn entry(
    service: &str,
    address: &str,
    hall: &str,
    state: &str,
    software: &str,
    born: Option<u64>,
) -> String {
    let mut entry = json!({
        "service": service, "address": address, "zone": hall, "slots": 8, "state": state,
        "version": software, "coldRemainingMs": 0, "sequence": 1,
    });
    if let Some(born) = born {
        entry["born"] = json!(born);
    }
    entry.to_string()
}
