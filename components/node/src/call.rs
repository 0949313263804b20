//! What the headers of a request say.

use std::time::Duration;

use errors::{Kind, Problem};
use routing::{Prompt, RoutingRequest};
use schema::settings::{Priority, Team};
use tiny_http::{Method, Request};

use crate::shared::Shared;
use crate::snapshot::Snapshot;

const PRIORITY: &str = "Croftpond-Priority";
const DEADLINE: &str = "Croftpond-Deadline-Ms";
const REPEATABLE: &str = "Croftpond-Repeatable";
const RESUME: &str = "Croftpond-Resume";
const IDEMPOTENCY: &str = "Idempotency-Key";
const REQUEST_ID: &str = "X-Request-Id";
const TRACEPARENT: &str = "traceparent";
/// Longest value of a header of ours, in bytes.
const MAX_VALUE: usize = 1024;

/// A request's terms, from its headers and its team's parameters.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the request, the caller's or a new one.
    pub id: String,
    /// Its team.
    pub team: Team,
    /// Class it runs in.
    pub priority: Priority,
    /// When it arrived.
    pub arrived: Duration,
    /// When it must be over.
    pub deadline: Duration,
    /// What the caller says of repeating it, if anything.
    pub repeatable: Option<bool>,
    /// Key that makes it run at most once.
    pub idempotency_key: Option<String>,
    /// Token of a stream to go on with.
    pub resume: Option<String>,
}

impl Call {
    /// What routing is asked for this request.
    pub fn ask<'a>(
        &self,
        pool: &'a str,
        prompt: &'a Prompt,
        exclude: &'a [String],
    ) -> RoutingRequest<'a> {
        RoutingRequest {
            pool,
            prompt,
            priority: self.priority,
            target: Duration::from_millis(self.team.target_ms as u64),
            latency_weight: self.team.latency_weight as u32,
            exclude,
        }
    }
}

/// The value of a header.
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let found = request
        .headers()
        .iter()
        .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|h| h.value.as_str())
}

/// The `traceparent` the request came with.
pub fn traceparent(request: &Request) -> Option<String> {
    header(request, TRACEPARENT).map(str::to_string)
}

/// The credential the request came with.
pub fn credential(request: &Request) -> &str {
    let value = header(request, "Authorization").unwrap_or_default();
    value.strip_prefix("Bearer ").unwrap_or_default()
}

/// Reads the headers of a request.
pub fn read_call(shared: &Shared, snapshot: &Snapshot, request: &Request) -> Result<Call, Problem> {
    let id = request_id(request)?;
    let team = snapshot
        .team_of(credential(request))
        .ok_or_else(|| Problem::not_run(Kind::UnknownTeam, "the credential belongs to no team"))?;
    let arrived = shared.now();
    Ok(Call {
        id,
        priority: priority(request, team)?,
        arrived,
        deadline: arrived + deadline(request, team)?,
        repeatable: repeatable(request)?,
        idempotency_key: checked(request, IDEMPOTENCY)?.map(str::to_string),
        resume: checked(request, RESUME)?.map(str::to_string),
        team: team.clone(),
    })
}

/// Whether a method is safe to repeat by its definition.
pub fn is_safe(method: &Method) -> bool {
    matches!(method, Method::Get | Method::Head | Method::Options)
}

fn bad(name: &str, why: &str) -> Problem {
    Problem::not_run(Kind::BadHeader, format!("header {name} {why}"))
}

fn checked<'a>(request: &'a Request, name: &str) -> Result<Option<&'a str>, Problem> {
    match header(request, name) {
        Some(value) if value.len() > MAX_VALUE => Err(bad(name, "is too long")),
        Some("") => Err(bad(name, "is empty")),
        value => Ok(value),
    }
}

fn request_id(request: &Request) -> Result<String, Problem> {
    match checked(request, REQUEST_ID)? {
        Some(id) => Ok(id.to_string()),
        None => Ok(format!("{:032x}", rand::random::<u128>())),
    }
}

// A caller may ask for its team's class or a lower one.
fn priority(request: &Request, team: &Team) -> Result<Priority, Problem> {
    let asked = match checked(request, PRIORITY)? {
        None => return Ok(team.priority),
        Some("interactive") => Priority::INTERACTIVE,
        Some("standard") => Priority::STANDARD,
        Some("batch") => Priority::BATCH,
        Some(_) => return Err(bad(PRIORITY, "is not interactive, standard or batch")),
    };
    if asked < team.priority {
        return Err(bad(PRIORITY, "asks for a class above the team's"));
    }
    Ok(asked)
}

fn deadline(request: &Request, team: &Team) -> Result<Duration, Problem> {
    let most = team.deadline_ms as u64;
    let Some(value) = checked(request, DEADLINE)? else {
        return Ok(Duration::from_millis(most));
    };
    match value.parse::<u64>() {
        Ok(ms) if ms > 0 => Ok(Duration::from_millis(ms.min(most))),
        _ => Err(bad(DEADLINE, "is not a number of milliseconds above 0")),
    }
}

fn repeatable(request: &Request) -> Result<Option<bool>, Problem> {
    match checked(request, REPEATABLE)? {
        None => Ok(None),
        Some("yes") => Ok(Some(true)),
        Some("no") => Ok(Some(false)),
        Some(_) => Err(bad(REPEATABLE, "is not yes or no")),
    }
}
