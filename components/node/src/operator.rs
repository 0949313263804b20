//! Calls of operators, authenticated by the operator key of the settings.

use std::sync::Arc;

use errors::{Kind, Problem};
use serde_json::{json, Value};
use subtle::ConstantTimeEq;
use tiny_http::{Method, Request};

use crate::call::{credential, header};
use crate::configure::{get, history, put, Put};
use crate::reply::{send_json, send_problem};
use crate::shared::Shared;
use crate::status::status;

const PREFIX: &str = "/operator/";
const AUTHOR: &str = "Croftpond-Author";
const NOTE: &str = "Croftpond-Note";

/// Whether a path belongs to operators.
pub fn is_operator_path(url: &str) -> bool {
    url.starts_with(PREFIX)
}

/// Serves one operator call.
pub fn serve_operator(shared: &Arc<Shared>, request: Request, body: Vec<u8>) {
    let key = shared.settings.operator_key.as_bytes();
    if !bool::from(credential(&request).as_bytes().ct_eq(key)) {
        let problem = Problem::not_run(Kind::NotOperator, "the operator credential is wrong");
        return send_problem(request, &problem);
    }
    match answer(shared, &request, body) {
        Ok(value) => send_json(request, 200, value.to_string()),
        Err(problem) => send_problem(request, &problem),
    }
}

fn answer(shared: &Arc<Shared>, request: &Request, body: Vec<u8>) -> Result<Value, Problem> {
    let path = &request.url()[PREFIX.len()..];
    let parts: Vec<&str> = path.split('/').collect();
    match (request.method(), parts.as_slice()) {
        (Method::Get, ["status"]) => Ok(status(shared)),
        (Method::Get, ["explain", id]) => Ok(explain(shared, id)),
        (Method::Get, ["config"]) => get(shared, None),
        (Method::Get, ["config", version]) => get(shared, Some(number(version)?)),
        (Method::Get, ["history"]) => history(shared),
        (Method::Post, ["config", based_on]) => put(shared, read_put(request, based_on, body)?),
        _ => Err(Problem::not_run(Kind::NotFound, "no such operator call")),
    }
}

fn number(text: &str) -> Result<i64, Problem> {
    let bad = |_| Problem::not_run(Kind::NotFound, format!("`{text}` is no version"));
    text.parse().map_err(bad)
}

fn read_put(request: &Request, based_on: &str, body: Vec<u8>) -> Result<Put, Problem> {
    let body = String::from_utf8(body)
        .map_err(|_| Problem::not_run(Kind::MalformedBody, "the configuration is not UTF-8"))?;
    Ok(Put {
        based_on: number(based_on)?,
        author: header(request, AUTHOR).unwrap_or("unnamed").to_string(),
        note: header(request, NOTE).unwrap_or_default().to_string(),
        body,
    })
}

fn explain(shared: &Shared, id: &str) -> Value {
    let records = shared.records.lock().map(|r| r.of(id)).unwrap_or_default();
    json!({ "request": id, "node": shared.settings.name, "records": records })
}
