//! Applies rows of the store.

use std::sync::Arc;
use std::time::Duration;

use directory::Endpoint;
use replica::Change;
use rollout::Order;
use slog::{info, warn};
use telemetry::Counter;

use crate::control::rollouts::OrderChange;
use crate::control::Shared;
use crate::ports::{Orders, Store, Topic};
use crate::update::Update;

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Applies a row that the operator wrote.
    /// `predates_process` says whether the row was there when this process started.
    pub fn apply_operator_row(&self, change: &Change, stamp: Duration, predates_process: bool) {
        if change.key == self.store.configuration_key() {
            self.apply_configuration(change);
        } else if let Some(service) = self.store.rollout_service(&change.key) {
            self.apply_rollout_order(&service, change, stamp, predates_process);
        }
    }

    /// Applies a row that the operator wrote, from the first list of a restored store. A row that lacks the
    /// known order of its service, or holds another one, is deferred, as the operator may rewrite the order.
    pub fn apply_restored_operator_row(&self, change: &Change, stamp: Duration) {
        let now = self.clock.now();
        let service = self.store.rollout_service(&change.key);
        let mut state = self.state.borrow_mut();
        let known_order = service.and_then(|service| state.rollouts.orders.get(&service));
        let is_different =
            known_order.is_some_and(|known| !self.matches_order(change, &known.order));
        if is_different {
            state
                .departures
                .defer_row(now, Topic::Configuration, &change.key);
            return;
        }
        drop(state);
        self.apply_operator_row(change, stamp, false);
    }

    // Whether a row holds the same request as a known order.
    fn matches_order(&self, change: &Change, known: &Order) -> bool {
        let value = change.value.as_ref();
        let read = value.and_then(|value| self.store.rollout_order(value, known.revision).ok());
        read.is_some_and(|read| read.is_same_request(known))
    }

    fn apply_rollout_order(
        &self,
        service: &str,
        change: &Change,
        stamp: Duration,
        predates_process: bool,
    ) {
        let Some(value) = &change.value else {
            self.state.borrow_mut().rollouts.orders.remove(service);
            info!(self.log, "roll-out withdrawn"; "service" => service, "revision" => change.revision.number);
            let _ = self
                .updates
                .send(Update::RolloutWithdrawn(service.to_string()));
            return;
        };
        match self.store.rollout_order(value, change.revision.number) {
            Ok(order) => {
                let era = change.revision.era;
                let mut state = self.state.borrow_mut();
                let order_change = state.rollouts.apply_order(order.clone(), era, stamp);
                drop(state);
                if order_change == OrderChange::Unchanged {
                    return;
                }
                if order_change == OrderChange::Renumbered {
                    info!(self.log, "roll-out order rewritten"; "service" => service,
                        "era" => era, "revision" => order.revision);
                    self.update(Update::RolloutRenumbered {
                        service: order.service,
                        revision: order.revision,
                    });
                    return;
                }
                info!(self.log, "roll-out ordered"; "service" => service, "version" => &order.version,
                    "era" => era, "revision" => order.revision, "time_ms" => order.time_limit.as_millis() as u64,
                    "predates_process" => predates_process);
                self.update(Update::RolloutOrdered {
                    order,
                    predates_process,
                });
            }
            Err(fault) => {
                warn!(self.log, "roll-out order not readable; it is not carried out";
                "service" => service, "revision" => change.revision.number, "cause" => fault.0)
            }
        }
    }

    fn apply_configuration(&self, change: &Change) {
        let mut state = self.state.borrow_mut();
        state.is_configuration_current = false;
        let Some(value) = &change.value else {
            return;
        };
        let configuration = match self.store.configuration(value) {
            Ok(configuration) => configuration,
            Err(fault) => {
                warn!(self.log, "configuration not readable; the previous one stays in force and is not confirmed";
                    "revision" => change.revision.number, "cause" => fault.0);
                return;
            }
        };
        let in_force = state.configuration.as_ref().map(|c| c.version);
        if in_force.is_some_and(|version| version > configuration.version) {
            info!(self.log, "configuration older than the one in force; ignored and not confirmed";
                "version" => configuration.version, "in_force" => in_force,
                "era" => change.revision.era, "revision" => change.revision.number);
            return;
        }
        state.is_configuration_current = true;
        if in_force == Some(configuration.version) {
            return;
        }
        let configuration = Arc::new(configuration);
        state.configuration = Some(Arc::clone(&configuration));
        let _ = self.updates.send(Update::Configuration(configuration));
    }

    /// Applies the row of an endpoint.
    pub fn apply_endpoint(&self, change: &Change) {
        self.apply_endpoint_row(change, false);
    }

    /// Applies the row of an endpoint from the first list of a restored store. The row may be outdated, or
    /// missing while the endpoint is running.
    pub fn apply_restored_endpoint(&self, change: &Change) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let is_ready = state
            .endpoints
            .get(&change.key)
            .is_some_and(Endpoint::is_ready);
        if change.value.is_none() && is_ready {
            state
                .departures
                .defer_row(now, Topic::Endpoints, &change.key);
            return;
        }
        drop(state);
        self.apply_endpoint_row(change, true);
    }

    fn apply_endpoint_row(&self, change: &Change, is_from_restored_list: bool) {
        let era = change.revision.era;
        let Some(value) = &change.value else {
            self.drop_endpoint(&change.key, era);
            return;
        };
        let endpoint = match self.store.endpoint(&change.key, value) {
            Ok(endpoint) => endpoint,
            Err(fault) => {
                // Another writer may have written the row. It describes no endpoint, so the one that it
                // described before is dropped too.
                self.metrics.count(Counter::EntriesSkipped);
                warn!(self.log, "entry passed over"; "endpoint" => &change.key,
                    "revision" => change.revision.number, "cause" => fault.0);
                self.drop_endpoint(&change.key, era);
                return;
            }
        };
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if !endpoint.is_ready() {
            state.departures.record_draining(now, &endpoint, era);
        }
        let endpoint = state
            .departures
            .apply_departure(now, endpoint, era, is_from_restored_list);
        if state.endpoints.get(&change.key) == Some(&endpoint) {
            return;
        }
        let known_start = state.endpoints.get(&change.key);
        let is_new_start = known_start.is_some_and(|known| !known.is_same_start(&endpoint));
        info!(self.log, "endpoint changed"; "endpoint" => &change.key,
            "service" => &endpoint.service, "state" => ?endpoint.state, "born_ms" => endpoint.born_ms,
            "started_again" => is_new_start, "era" => era, "revision" => change.revision.number);
        if !endpoint.is_ready() {
            self.endpoint_lost.notify_one();
        }
        state.endpoints.insert(change.key.clone(), endpoint.clone());
        let _ = self.updates.send(Update::Endpoint(endpoint));
    }

    fn drop_endpoint(&self, id: &str, era: u64) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if let Some(endpoint) = state.endpoints.remove(id) {
            state.departures.record_dropped(now, &endpoint, era);
            info!(self.log, "endpoint gone"; "endpoint" => id);
            self.endpoint_lost.notify_one();
            let _ = self.updates.send(Update::EndpointGone(id.to_string()));
        }
    }
}
