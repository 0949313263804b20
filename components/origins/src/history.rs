//! The software versions that served a service lately.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// New streams begin at a further version this much later than the maximum age of a confirmed table, so that no gateway still
/// takes the earlier version for the only one when such a stream is continued.
const SETTLING_MARGIN: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct Seen {
    first_seen: Duration,
    // Number of endpoints in the table.
    endpoints: usize,
    // When the last endpoint was removed from the table, if there is none.
    last_seen: Duration,
}

impl Seen {
    fn may_have_streams(&self, now: Duration, lifetime: Duration) -> bool {
        self.endpoints > 0 || now < self.last_seen + lifetime
    }

    fn is_settled(&self, now: Duration, max_table_age: Duration) -> bool {
        now >= self.first_seen + max_table_age + SETTLING_MARGIN
    }
}

/// The software versions of each service, as seen in the table of endpoints.
#[derive(Debug, Default)]
pub struct VersionHistory {
    // A table that was confirmed longer ago may lack a version that other gateways already use.
    max_table_age: Duration,
    // Since when the table is complete.
    complete_since: Option<Duration>,
    confirmed_at: Option<Duration>,
    services: BTreeMap<String, BTreeMap<String, Seen>>,
}

impl VersionHistory {
    /// Sets the time within which changes of the table have to be known at all gateways; the same at all of them.
    pub fn set_max_table_age(&mut self, max_table_age: Duration) {
        self.max_table_age = max_table_age;
    }

    /// Records that the table holds all endpoints from now on.
    pub fn table_completed(&mut self, now: Duration) {
        self.complete_since.get_or_insert(now);
    }

    /// Forgets everything; the table is no longer kept.
    pub fn table_forgotten(&mut self) {
        *self = VersionHistory {
            max_table_age: self.max_table_age,
            ..VersionHistory::default()
        };
    }

    /// Records that the table was the newest at this time.
    pub fn table_confirmed(&mut self, at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Whether the table was the newest lately.
    pub fn is_confirmed(&self, now: Duration) -> bool {
        self.confirmed_at
            .is_some_and(|at| now < at + self.max_table_age)
    }

    /// Records an endpoint that was added to the table.
    pub fn endpoint_added(&mut self, now: Duration, service: &str, version: &str) {
        let versions = self.services.entry(service.to_string()).or_default();
        let seen = versions.entry(version.to_string()).or_insert(Seen {
            first_seen: now,
            endpoints: 0,
            last_seen: now,
        });
        seen.endpoints += 1;
    }

    /// Records an endpoint that was removed from the table.
    pub fn endpoint_removed(&mut self, now: Duration, service: &str, version: &str) {
        let versions = self.services.get_mut(service);
        if let Some(seen) = versions.and_then(|versions| versions.get_mut(version)) {
            seen.endpoints = seen.endpoints.saturating_sub(1);
            seen.last_seen = now;
        }
    }

    /// Forgets versions that were removed from the table more than `lifetime` ago.
    pub fn forget_before(&mut self, now: Duration, service: &str, lifetime: Duration) {
        if let Some(versions) = self.services.get_mut(service) {
            versions.retain(|_, seen| seen.may_have_streams(now, lifetime));
        }
    }

    /// The only version that can have begun a stream of the service, if the table has been kept for the longest time that a
    /// stream lasts (`lifetime`) and is confirmed.
    pub fn only_version(&self, now: Duration, service: &str, lifetime: Duration) -> Option<&str> {
        let is_long_enough = now >= self.complete_since? + lifetime;
        if !is_long_enough || !self.is_confirmed(now) {
            return None;
        }
        let versions = self.services.get(service)?;
        let mut alive = versions
            .iter()
            .filter(|(_, seen)| seen.may_have_streams(now, lifetime));
        let (version, _) = alive.next()?;
        alive.next().is_none().then_some(version.as_str())
    }

    /// Versions at which no stream should begin yet, since another gateway may not know of them while it takes the version
    /// before them for the only one.
    pub fn unsettled_versions(
        &self,
        now: Duration,
        service: &str,
        lifetime: Duration,
    ) -> Vec<String> {
        let Some(versions) = self.services.get(service).filter(|all| all.len() > 1) else {
            return Vec::new();
        };
        let alive = || {
            versions
                .iter()
                .filter(|(_, seen)| seen.may_have_streams(now, lifetime))
        };
        let is_settled = |seen: &Seen| seen.is_settled(now, self.max_table_age);
        let settled = alive().filter(|(_, seen)| is_settled(seen)).count();
        let first = match settled {
            0 => alive().min_by_key(|(_, seen)| (seen.first_seen, Reverse(seen.endpoints))),
            1 => None,
            // No gateway takes one of them for the only one.
            _ => return Vec::new(),
        };
        let first = first.map(|(version, _)| version);
        let unsettled =
            alive().filter(|(version, seen)| !is_settled(seen) && Some(*version) != first);
        unsettled.map(|(version, _)| version.clone()).collect()
    }
}
