//! Calls of operators, authenticated by the operator key of the settings.

use std::sync::Arc;

use errors::{Kind, Problem};
use serde_json::json;
use subtle::ConstantTimeEq;
use tiny_http::{Method, Request};

use crate::call::credential;
use crate::reply::{send_json, send_problem};
use crate::shared::Shared;

const PREFIX: &str = "/operator/";

/// Whether a path belongs to operators.
pub fn is_operator_path(url: &str) -> bool {
    url.starts_with(PREFIX)
}

/// Serves one operator call.
pub fn serve_operator(shared: &Arc<Shared>, request: Request, _body: &[u8]) {
    let key = shared.settings.operator_key.as_bytes();
    if !bool::from(credential(&request).as_bytes().ct_eq(key)) {
        let problem = Problem::not_run(Kind::NotOperator, "the operator credential is wrong");
        return send_problem(request, &problem);
    }
    let path = request.url()[PREFIX.len()..].to_string();
    match (request.method().clone(), path.as_str()) {
        (Method::Get, "status") => send_json(request, 200, status(shared).to_string()),
        (Method::Get, path) if path.starts_with("explain/") => {
            let id = &path["explain/".len()..];
            send_json(request, 200, explain(shared, id).to_string());
        }
        _ => send_problem(
            request,
            &Problem::not_run(Kind::NotFound, "no such operator call"),
        ),
    }
}

fn explain(shared: &Shared, id: &str) -> serde_json::Value {
    let records = shared.records.lock().map(|r| r.of(id)).unwrap_or_default();
    json!({ "request": id, "node": shared.settings.name, "records": records })
}

fn status(shared: &Shared) -> serde_json::Value {
    let snapshot = shared.snapshot.load();
    let now = shared.now();
    let traffic = shared.traffic();
    let endpoints: Vec<serde_json::Value> = traffic
        .router
        .states()
        .iter()
        .map(|s| {
            json!({
                "name": s.spec.name,
                "pool": s.spec.pool,
                "hall": s.spec.hall,
                "load": s.load(),
                "slots": s.spec.slots,
                "leaving": s.leaving_at.is_some(),
                "usable": s.is_usable(now),
            })
        })
        .collect();
    let in_flight = traffic.in_flight();
    drop(traffic);
    json!({
        "node": shared.settings.name,
        "hall": shared.settings.hall,
        "ready": shared.is_ready(),
        "stopping": shared.is_stopping(),
        "config_version": snapshot.version.number,
        "in_flight": in_flight,
        "endpoints": endpoints,
        "counters": shared.metrics.all(),
        "control": shared.control_status(),
    })
}
