//! Load and slowdown of endpoints as reported in their answers. Gateways that receive answers pass
//! them on to the gateways that place requests.

use std::time::Duration;

use crate::placement::balancer::Balancer;
use crate::placement::slowdown::{Slowdown, SlowdownHistory, SlowdownModel};

/// Minimum difference between an endpoint's own request count and the expected one that is reported
/// to other gateways.
const MIN_NOTABLE_REQUESTS: u32 = 2;

/// Load and slowdown that an endpoint reported in one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sight {
    /// [`incarnation`](crate::placement::incarnation) of the endpoint.
    pub endpoint: u64,
    /// Time of the answer, on this gateway's clock.
    pub at: Duration,
    /// Requests that ran or waited there, if reported.
    pub requests: Option<u32>,
    /// Slowdown at the time, if reported.
    pub slowdown: Option<Slowdown>,
}

impl Balancer {
    /// Records what an answer reported. Returns whether it differs enough from what was expected to
    /// change the choices of other gateways that place requests. Reports on another run of the
    /// endpoint's process are ignored.
    pub fn observe(&mut self, sight: Sight) -> bool {
        let Some(id) = self.id_of(sight.endpoint) else {
            return false;
        };
        let entry = self.entry_mut(&id);
        if entry.is_none_or(|entry| entry.incarnation() != sight.endpoint) {
            return false;
        }
        let slowdown = sight.slowdown;
        let has_slowdown_changed =
            slowdown.is_some_and(|slowdown| self.record_slowdown(&id, sight.at, slowdown));
        let requests = sight.requests;
        let has_count_changed =
            requests.is_some_and(|count| self.record_request_count(&id, sight.at, count));
        has_slowdown_changed || has_count_changed
    }

    // Returns whether the reported number of requests differs notably from the expected one.
    fn record_request_count(&mut self, id: &str, at: Duration, requests: u32) -> bool {
        let Some(service) = self.index.service_of(id) else {
            return false;
        };
        let hold = Duration::from_secs_f64(self.timings_of(service).hold_ms / 1000.0);
        let Some(entry) = self.entry_mut(id) else {
            return false;
        };
        entry.record_request_count(at, requests, hold) >= MIN_NOTABLE_REQUESTS
    }

    /// Returns the expected slowdown of an endpoint relative to the mean of its service.
    pub(super) fn relative_slowdown(&self, id: &str, now: Duration) -> f64 {
        let (model, history) = self.slowdown_state(id);
        model.relative_slowdown(now, history)
    }

    /// Returns an endpoint's reported slowdowns and its service's model to predict from them.
    pub(super) fn slowdown_state(&self, id: &str) -> (SlowdownModel, Option<SlowdownHistory>) {
        let Some(service) = self.index.service_of(id) else {
            return (SlowdownModel::default(), None);
        };
        let entry = self
            .services
            .get(service)
            .and_then(|endpoints| endpoints.get(id));
        (
            self.slowdown_model(service),
            entry.and_then(|entry| entry.slowdown_history),
        )
    }

    // Returns whether the slowdown differs notably from the expected one. A report older than the
    // latest one is ignored.
    fn record_slowdown(&mut self, id: &str, at: Duration, slowdown: Slowdown) -> bool {
        let Some(service) = self.index.service_of(id) else {
            return false;
        };
        let endpoints = self.services.get_mut(service);
        let entry = endpoints.and_then(|endpoints| endpoints.get_mut(id));
        let Some(entry) = entry.filter(|entry| {
            entry
                .slowdown_history
                .is_none_or(|history| history.at() < at)
        }) else {
            return false;
        };
        let model = self.slowdown_models.entry(service.to_string()).or_default();
        let expected = model.expected(at, entry.slowdown_history);
        entry.record_slowdown(at, slowdown, model);
        slowdown.differs_from(expected)
    }

    /// Returns the slowdown model of a service.
    pub(super) fn slowdown_model(&self, service: &str) -> SlowdownModel {
        self.slowdown_models
            .get(service)
            .cloned()
            .unwrap_or_default()
    }
}
