//! Operators' calls about the configuration: put, get and history.

use std::sync::Arc;
use std::time::Duration;

use control::Event;
use errors::{Kind, Problem};
use provider::body_hash;
use schema::messages::HeadRow;
use serde_json::{json, Value};
use state::{
    head_key, history_key, Publish, PublishAction, PublishEvent, PublishOutcome, PublishRequest,
    Reply, TableCall, Version,
};

use crate::control::ControlEvent;
use crate::shared::Shared;

/// Time in which a put is answered.
const PUT_DEADLINE: Duration = Duration::from_secs(10);
/// Versions that the history shows.
const HISTORY_LENGTH: i64 = 20;

/// A put as it came.
pub struct Put {
    /// Version that the operator edited.
    pub based_on: i64,
    /// Who edits.
    pub author: String,
    /// What for.
    pub note: String,
    /// The new configuration.
    pub body: String,
}

/// Checks a configuration and publishes it.
pub fn put(shared: &Arc<Shared>, put: Put) -> Result<Value, Problem> {
    if let Err(faults) = settings::read_configuration("configuration", &put.body) {
        return Err(Problem::not_run(Kind::BadConfiguration, faults.to_string()));
    }
    let hash = body_hash(&put.body);
    if !shared.objects.put(&hash, &put.body) {
        let message = "the object store did not confirm the body";
        return Err(Problem::not_run(Kind::PlatformUnavailable, message));
    }
    let request = PublishRequest {
        based_on: put.based_on,
        hash,
        put_id: format!("{:032x}", rand::random::<u128>()),
        author: put.author,
        note: put.note,
        deadline: shared.now() + PUT_DEADLINE,
    };
    let hash = request.hash.clone();
    let published = publish(shared, request);
    if let PublishOutcome::Accepted(number) = published {
        let event = Event::Published(Version { number, hash });
        let _ = shared.control.send(ControlEvent::Core(event));
    }
    answer(published)
}

fn answer(published: PublishOutcome) -> Result<Value, Problem> {
    match published {
        PublishOutcome::Accepted(version) => Ok(json!({ "version": version })),
        PublishOutcome::Conflict {
            version,
            author,
            note,
        } => Err(Problem::not_run(
            Kind::Conflict,
            format!("version {version} by {author} came first: {note}"),
        )),
        PublishOutcome::Undetermined => Err(Problem::maybe_run(
            Kind::PlatformUnavailable,
            "the table did not settle the put; `croftpond config history` shows whether it stands",
        )),
    }
}

fn publish(shared: &Shared, request: PublishRequest) -> PublishOutcome {
    let (mut publish, mut actions) = Publish::start(request);
    loop {
        let mut next = Vec::new();
        for action in actions {
            match action {
                PublishAction::Answer(published) => return published,
                PublishAction::Call(call) => {
                    let reply = shared.table.call(&call);
                    next.extend(publish.step(shared.now(), PublishEvent::Replied(reply)));
                }
                PublishAction::WakeAt(at) => {
                    std::thread::sleep(at.saturating_sub(shared.now()));
                    next.extend(publish.step(shared.now(), PublishEvent::Tick));
                }
            }
        }
        actions = next;
    }
}

/// The configuration in force here, or an older version from the history.
pub fn get(shared: &Shared, version: Option<i64>) -> Result<Value, Problem> {
    let Some(version) = version else {
        let snapshot = shared.snapshot.load();
        return Ok(json!({ "version": snapshot.version.number, "body": snapshot.body }));
    };
    let row = read_row(shared, history_key(version))?.ok_or_else(|| {
        Problem::not_run(
            Kind::NotFound,
            format!("the history has no version {version}"),
        )
    })?;
    let body = shared.objects.get(&row.hash).ok_or_else(|| {
        Problem::not_run(
            Kind::PlatformUnavailable,
            "the object store did not give the body",
        )
    })?;
    Ok(json!({ "version": version, "body": body }))
}

/// The newest versions, the newest first.
pub fn history(shared: &Shared) -> Result<Value, Problem> {
    let head = read_row(shared, head_key())?;
    let newest = head.map_or(0, |h| h.version);
    let oldest = (newest - HISTORY_LENGTH).max(0) + 1;
    let mut versions = Vec::new();
    for version in (oldest..=newest).rev() {
        if let Some(row) = read_row(shared, history_key(version))? {
            versions.push(json!({
                "version": row.version,
                "author": row.author,
                "note": row.note,
                "hash": row.hash,
            }));
        }
    }
    Ok(json!({ "versions": versions }))
}

fn read_row(shared: &Shared, key: String) -> Result<Option<HeadRow>, Problem> {
    let unavailable = || Problem::not_run(Kind::PlatformUnavailable, "the table did not answer");
    match shared.table.call(&TableCall::Read(key)) {
        Reply::Row(row) => Ok(row.and_then(|r| schema::decode(&r.value).ok())),
        _ => Err(unavailable()),
    }
}
