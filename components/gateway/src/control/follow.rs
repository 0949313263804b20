//! Following the store: the configuration and the endpoints.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use telemetry::Counter;

use crate::control::Shared;
use crate::ports::{Orders, Row, Rows, Store, StoreError, Topic};
use crate::traffic::Update;

/// Part of the longest age of a confirmation for which a call about the configuration is held.
const CONFIRM_PART: f64 = 0.44;
/// Pause after changes of endpoints: those that follow soon come with one answer. It is well within
/// the time that a leaving endpoint goes on serving.
const GATHER_PAUSE: Duration = Duration::from_millis(500);
/// Longest time a call is held.
const LONGEST_WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed call.
const FAILED_PAUSE: Duration = Duration::from_millis(150);

/// What is known of a topic: up to which revision, and whether the store answered last.
struct Position {
    topic: Topic,
    revision: Option<u64>,
    answered: bool,
}

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Follows the configuration until the process ends.
    pub async fn follow_configuration(self: Rc<Self>) {
        let mut position = Position {
            topic: Topic::Configuration,
            revision: None,
            answered: true,
        };
        loop {
            let longest = self.known.borrow().settings.credential_age_ms.max(0) as u64;
            let wait = match longest {
                0 => LONGEST_WAIT,
                ms => LONGEST_WAIT.min(Duration::from_millis(ms).mul_f64(CONFIRM_PART)),
            };
            // The rows were taken before they were confirmed.
            let _ = self.next(&mut position, wait).await;
        }
    }

    /// Follows the endpoints until the process ends.
    pub async fn follow_endpoints(self: Rc<Self>) {
        let mut position = Position {
            topic: Topic::Endpoints,
            revision: None,
            answered: true,
        };
        loop {
            let Some((rows, whole)) = self.next(&mut position, LONGEST_WAIT).await else {
                continue;
            };
            if whole {
                self.drop_unlisted(&rows);
            }
            for row in &rows {
                self.take_endpoint(row);
            }
            tokio::time::sleep(GATHER_PAUSE).await;
        }
    }

    // The next rows of a topic, and whether these are all of them.
    async fn next(&self, position: &mut Position, wait: Duration) -> Option<(Vec<Row>, bool)> {
        let sent = self.clock.now();
        // After a failure the store is asked at once how things stand.
        let wait = if position.answered {
            wait
        } else {
            Duration::ZERO
        };
        self.metrics.count(Counter::TableCalls);
        let result = match position.revision {
            None => self.store.list(position.topic).await,
            Some(revision) => self.store.changes(position.topic, revision, wait).await,
        };
        match result {
            Ok(rows) => {
                let whole = position.revision.is_none();
                self.note_answer(position, sent, &rows);
                position.revision = Some(rows.revision);
                Some((rows.rows, whole))
            }
            Err(error) => {
                self.note_failure(position, &error);
                tokio::time::sleep(FAILED_PAUSE).await;
                None
            }
        }
    }

    fn note_answer(&self, position: &mut Position, sent: Duration, rows: &Rows) {
        if !position.answered {
            info!(self.log, "store answers again"; "topic" => ?position.topic);
        }
        position.answered = true;
        let received = self.clock.now();
        let made = {
            let mut known = self.known.borrow_mut();
            known.store_clock.earliest(sent, received, rows.stamp)
        };
        if position.topic == Topic::Configuration {
            // What is confirmed has to be in force first.
            rows.rows
                .iter()
                .for_each(|row| self.take_configuration(row));
            if self.known.borrow().configuration.is_some() {
                self.freshness.confirm(made);
            }
        }
    }

    fn note_failure(&self, position: &mut Position, error: &StoreError) {
        if position.answered {
            warn!(self.log, "store does not answer"; "topic" => ?position.topic,
                "cause" => %error);
        }
        self.metrics.count(Counter::PlatformUnanswered);
        position.answered = false;
        if *error == StoreError::HistoryGone {
            position.revision = None;
        }
    }

    fn take_configuration(&self, row: &Row) {
        if row.key != self.store.configuration_key() {
            return;
        }
        let Some(value) = &row.value else {
            return;
        };
        let configuration = match self.store.configuration(value) {
            Ok(configuration) => configuration,
            Err(fault) => {
                warn!(self.log, "configuration not readable; the old one stays in force";
                    "revision" => row.revision, "cause" => fault.0);
                return;
            }
        };
        let mut known = self.known.borrow_mut();
        let in_force = known.configuration.as_ref().map(|c| c.version);
        if in_force.is_some_and(|version| version >= configuration.version) {
            return;
        }
        let configuration = Arc::new(configuration);
        known.configuration = Some(Arc::clone(&configuration));
        let _ = self.updates.send(Update::Configuration(configuration));
    }

    fn take_endpoint(&self, row: &Row) {
        let Some(value) = &row.value else {
            self.drop_endpoint(&row.key);
            return;
        };
        let endpoint = match self.store.endpoint(&row.key, value) {
            Ok(endpoint) => endpoint,
            Err(fault) => {
                warn!(self.log, "endpoint not readable"; "endpoint" => &row.key,
                    "cause" => fault.0);
                return;
            }
        };
        let mut known = self.known.borrow_mut();
        if known.endpoints.get(&row.key) == Some(&endpoint) {
            return;
        }
        info!(self.log, "endpoint changed"; "endpoint" => &row.key,
            "service" => &endpoint.service, "state" => ?endpoint.state,
            "revision" => row.revision);
        known.endpoints.insert(row.key.clone(), endpoint.clone());
        let _ = self.updates.send(Update::Endpoint(endpoint));
    }

    fn drop_unlisted(&self, rows: &[Row]) {
        let listed: BTreeSet<&String> = rows.iter().map(|row| &row.key).collect();
        let known = self.known.borrow();
        let gone: Vec<String> = known.endpoints.keys().cloned().collect();
        drop(known);
        for id in gone.iter().filter(|id| !listed.contains(id)) {
            self.drop_endpoint(id);
        }
    }

    fn drop_endpoint(&self, id: &str) {
        if self.known.borrow_mut().endpoints.remove(id).is_some() {
            info!(self.log, "endpoint gone"; "endpoint" => id);
            let _ = self.updates.send(Update::EndpointGone(id.to_string()));
        }
    }
}
