//! Checks of streams where endpoints of several software versions serve one service.

use std::collections::{BTreeMap, BTreeSet};

use super::view::View;
use super::Verdicts;
use crate::history::{Body, Kind, Seen};

/// At most so many streams may hold events of two versions.
const MAX_MIXED: usize = 2;
/// The share of streams that go on is judged from so many on.
const MIN_CONTINUED: usize = 12;
/// So many endpoints of a stream's version have to serve.
const MIN_ENDPOINTS: usize = 2;
/// Service of the resumable streams.
const SERVICE: &str = "b";

/// At most two streams hold events of two versions, over all tries of their clients.
pub(super) fn mixed(view: &View<'_>, verdicts: &mut Verdicts) {
    let mut first_of = BTreeMap::new();
    let mut seen: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    let mut mixed = Vec::new();
    for record in view.records {
        match &record.seen {
            Seen::Continues { id, first, .. } => {
                first_of.insert(id.as_str(), first.as_str());
            }
            Seen::EventVersions { id, versions } => {
                let first = first_of.get(id.as_str()).copied().unwrap_or(id);
                let known = seen.entry(first).or_default();
                let was_mixed = known.len() > 1;
                known.extend(versions.iter().map(String::as_str));
                if known.len() > 1 && !was_mixed {
                    mixed.push((record.at, first));
                }
            }
            _ => {}
        }
    }
    let is_good = mixed.len() <= MAX_MIXED;
    for (at, first) in &mixed {
        verdicts.judge("one version", is_good, *at, || {
            format!("{first}: {seen:?}", seen = seen[first])
        });
    }
    for _ in mixed.len()..seen.len() {
        verdicts.judge("one version", true, 0, String::new);
    }
}

/// Of the streams that clients continue at gateways in touch, while two endpoints of their version serve, the share that goes on
/// is at least half of the share of new streams that begin.
pub(super) fn going_on(view: &View<'_>, verdicts: &mut Verdicts) {
    let mut serving: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    let mut version_of = BTreeMap::new();
    let mut continued = BTreeMap::new();
    // Requests sent and streams that had events, of new and of continued streams.
    let (mut new, mut old) = ([0; 2], [0; 2]);
    let with_events = events_by_request(view);
    for record in view.records {
        match &record.seen {
            Seen::Software {
                endpoint,
                service,
                version,
                serves,
            } if service == SERVICE => {
                let endpoints = serving.entry(version).or_default();
                match serves {
                    true => endpoints.insert(endpoint),
                    false => endpoints.remove(endpoint.as_str()),
                };
            }
            Seen::EventVersions { id, versions } => {
                if let Some(version) = versions.first() {
                    version_of.entry(id.as_str()).or_insert(version.as_str());
                }
            }
            Seen::Continues { id, first, .. } => {
                continued.insert(id.as_str(), first.as_str());
            }
            Seen::Sent {
                id,
                kind: Kind::Resumable,
                gateway,
                ..
            } => {
                if !view.is_in_touch(*gateway, record.at, record.at) {
                    continue;
                }
                let has_events = usize::from(with_events.contains(id.as_str()));
                let Some(first) = continued.get(id.as_str()) else {
                    new = [new[0] + 1, new[1] + has_events];
                    continue;
                };
                let version = version_of.get(first);
                let endpoints = version.and_then(|version| serving.get(version));
                if endpoints.is_some_and(|endpoints| endpoints.len() >= MIN_ENDPOINTS) {
                    old = [old[0] + 1, old[1] + has_events];
                }
            }
            _ => {}
        }
    }
    if old[0] < MIN_CONTINUED {
        return;
    }
    // old[1] / old[0] >= new[1] / new[0] / 2
    let is_good = old[1] * new[0] * 2 >= new[1] * old[0];
    verdicts.judge("streams go on", is_good, view.end, || {
        format!(
            "{} of {} went on, {} of {} began",
            old[1], old[0], new[1], new[0]
        )
    });
}

fn events_by_request<'a>(view: &View<'a>) -> BTreeSet<&'a str> {
    let answered = view.records.iter().filter_map(|record| match &record.seen {
        Seen::Answered {
            id,
            body: Body::Events { numbers, .. },
            ..
        } if !numbers.is_empty() => Some(id.as_str()),
        _ => None,
    });
    answered.collect()
}
