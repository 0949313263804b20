//! Execution of roll-outs by the holder of the lease.
//!
//! The decision is written with compare-and-set to a row of the gateways before it takes effect, so a later
//! holder continues with it and never decides twice. The operator's status row is written afterwards.

use std::rc::Rc;
use std::time::Duration;

use replica::Revision;
use rollout::{Decision, Evidence, Judgement, Order, Progress, Stage, Step};
use schema::messages::{Gossip, RolloutRow};
use slog::{info, warn};

use crate::control::rollouts::{Execution, StageReport, Status};
use crate::control::{ControlState, Shared};
use crate::gossip;
use crate::ports::{Orders, ReadRow, Row, Store, StoreError, Topic};
use crate::update::Update;
use crate::versions::{is_lost_when_cut, route_hash};

/// Pause between checks of the orders.
const ROLLOUT_CHECK_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a failed call of the store.
const FAILED_PAUSE: Duration = Duration::from_millis(500);
/// Factor by which the recorded time of the slowest store call decays at each further call.
const CALL_TIME_DECAY: f64 = 0.7;

enum Work {
    // Read the rows.
    Load,
    Step(Step),
    // Write the operator's status row.
    Status(Option<Decision>),
}

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Carries out orders until the process ends, whenever this gateway holds the lease.
    pub async fn run_rollouts(self: Rc<Self>) {
        loop {
            tokio::time::sleep(ROLLOUT_CHECK_PAUSE).await;
            let services: Vec<String> = {
                let state = self.state.borrow();
                state.rollouts.orders.keys().cloned().collect()
            };
            for service in services {
                self.execute(&service).await;
            }
        }
    }

    async fn execute(&self, service: &str) {
        if self.holder().is_none() {
            let mut state = self.state.borrow_mut();
            if let Some(rollout) = state.rollouts.orders.get_mut(service) {
                rollout.execution = None;
            }
            return;
        }
        match self.next_work(service) {
            None => {}
            Some(Work::Load) => self.load(service).await,
            Some(Work::Status(decision)) => self.write_status(service, decision).await,
            Some(Work::Step(Step::Announce(stage))) => self.set_stage(service, stage),
            Some(Work::Step(Step::Decide(decision, judgement))) => {
                self.decide_rollout(service, decision, judgement).await;
            }
        }
    }

    fn next_work(&self, service: &str) -> Option<Work> {
        let now = self.clock.now();
        let state = &mut *self.state.borrow_mut();
        let rollout = state.rollouts.orders.get(service)?;
        let Some(execution) = &rollout.execution else {
            return Some(Work::Load);
        };
        let Some(status) = &execution.status else {
            return Some(Work::Load);
        };
        let wanted = self
            .store
            .rollout_status(&rollout.order, execution.decision);
        if status.value != wanted.value {
            return Some(Work::Status(execution.decision));
        }
        if let Some(decision) = execution.decision {
            // A decision takes effect only once it is reported.
            let is_reported = rollout.decision().is_some();
            let report = Work::Step(Step::Announce(Stage::Decided(decision)));
            return (!is_reported).then_some(report);
        }
        let ordered_at = state.store_clock.moment(execution.ordered_stamp, now);
        let ordered_at = ordered_at.unwrap_or(now);
        let (runs, slots) = state.running_and_new_slots(&rollout.order);
        let evidence = rollout.evidence();
        let answers_at_risk = state.answers_lost_when_cut(&evidence) as f64;
        let elapsed = now.saturating_sub(ordered_at).as_secs_f64();
        let progress = Progress {
            ordered_at,
            long_requests_per_s: answers_at_risk / elapsed.max(1.0),
            store_call_time: execution.call_time,
            has_capacity: slots > 0 && slots >= runs,
        };
        let rollout = state.rollouts.orders.get_mut(service)?;
        let plan = &mut rollout.execution.as_mut()?.plan;
        Some(Work::Step(plan.step(now, &evidence, progress)))
    }

    fn set_stage(&self, service: &str, stage: Stage) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(rollout) = state.rollouts.orders.get(service) else {
            return;
        };
        let revision = rollout.order.revision;
        let stage_report = StageReport {
            stage,
            at: now,
            holder: self.peer_address,
        };
        let is_new = state
            .rollouts
            .receive_stage(service, revision, stage_report);
        drop(state);
        self.update_traffic(service, revision, stage, now);
        if is_new {
            info!(self.log, "roll-out stage"; "service" => service, "revision" => revision, "stage" => %stage);
            self.urgent.notify_one();
        }
    }

    /// Applies the roll-out stages that another gateway reported.
    pub fn receive_rollouts(&self, gossip: &Gossip) {
        let now = self.clock.now();
        for reported in gossip.rollouts.iter().flatten() {
            let stage = gossip::received_stage(reported.stage);
            let (Some(stage), Ok(holder)) = (stage, reported.holder.parse()) else {
                warn!(self.log, "roll-out report of another gateway not readable; it runs a newer version";
                    "service" => &reported.service_name);
                continue;
            };
            let age = Duration::from_millis(reported.age_ms.max(0) as u64);
            let at = now.saturating_sub(age);
            let stage_report = StageReport { stage, at, holder };
            let revision = reported.revision.max(0) as u64;
            let mut state = self.state.borrow_mut();
            let is_new =
                state
                    .rollouts
                    .receive_stage(&reported.service_name, revision, stage_report);
            let rollout = state.rollouts.orders.get(&reported.service_name);
            let newest = rollout.and_then(|rollout| rollout.stage_report);
            drop(state);
            if newest.is_some_and(|newest| newest.at == at) {
                self.update_traffic(&reported.service_name, revision, stage, at);
            }
            if is_new {
                info!(self.log, "roll-out stage"; "service" => &reported.service_name, "revision" => revision,
                    "stage" => %stage, "holder" => %holder, "age_ms" => reported.age_ms);
            }
        }
    }

    fn update_traffic(&self, service: &str, revision: u64, stage: Stage, at: Duration) {
        let update = Update::RolloutStage {
            service: service.to_string(),
            revision,
            stage,
            at,
        };
        if self.updates.send(update).is_err() {
            warn!(
                self.log,
                "update not delivered; the traffic thread has ended"
            );
        }
    }

    // Reads what earlier holders wrote, and writes the first row of the order if there is none.
    async fn load(&self, service: &str) {
        let Some((order, stamp)) = self.order_of(service) else {
            return;
        };
        let status_key = self.store.rollout_status(&order, None).key;
        let row = self
            .measure_call(service, self.store.read(Topic::Rollouts, service))
            .await;
        let status = self
            .measure_call(service, self.store.read(Topic::RolloutStatus, &status_key))
            .await;
        let (Ok(read), Ok(status)) = (row, status) else {
            info!(self.log, "rows of a roll-out not read; the store does not answer"; "service" => service);
            tokio::time::sleep(FAILED_PAUSE).await;
            return;
        };
        let stored = read.row.as_ref().and_then(decode_row);
        let is_of_order = |stored: &RolloutRow| {
            stored.revision == order.revision as i64 && stored.version == order.version
        };
        let stored = stored.filter(is_of_order);
        let expected = expected_revision(&read);
        // A restored store may lack a decision that already took effect; it must not be made again.
        let known_decision = self.decision_of(service);
        let (stored, revision) = match stored {
            Some(stored) if stored.decision.is_some() || known_decision.is_none() => {
                (stored, expected)
            }
            stored => {
                let stamp_ms = stamp.as_millis() as i64;
                let first_row = RolloutRow {
                    revision: order.revision as i64,
                    version: order.version.clone(),
                    ordered_ms: stored.map_or(stamp_ms, |stored| stored.ordered_ms),
                    decision: known_decision.map(|d| gossip::stage_of(Stage::Decided(d))),
                };
                match self.write_row(service, &first_row, expected).await {
                    Ok(revision) => (first_row, revision),
                    Err(error) => {
                        info!(self.log, "first row of a roll-out not written"; "service" => service, "cause" => %error);
                        tokio::time::sleep(FAILED_PAUSE).await;
                        return;
                    }
                }
            }
        };
        let decision = stored
            .decision
            .and_then(gossip::received_stage)
            .and_then(Stage::decision);
        let mut state = self.state.borrow_mut();
        let settings = state.settings.clone();
        // The store was restored while the rows were read.
        let is_outdated = Some(revision.era) < state.newest_era;
        let Some(rollout) = state.rollouts.orders.get_mut(service) else {
            return;
        };
        if rollout.order.revision != order.revision || is_outdated {
            return;
        }
        info!(self.log, "roll-out carried out here"; "service" => service, "version" => &order.version,
            "revision" => order.revision, "decided" => ?decision, "time_ms" => order.time_limit.as_millis() as u64);
        rollout.execution = Some(Execution {
            plan: rollout.plan(&settings),
            ordered_stamp: Duration::from_millis(stored.ordered_ms.max(0) as u64),
            revision,
            decision,
            status: Some(status_of(status.row)),
            call_time: Duration::ZERO,
        });
    }

    async fn decide_rollout(&self, service: &str, decision: Decision, judgement: Judgement) {
        let Some((order, row, expected)) = self.decided_row(service, decision) else {
            return;
        };
        info!(self.log, "roll-out judged"; "service" => service, "version" => &order.version,
            "decision" => ?decision, "finding" => ?judgement.finding,
            "route" => self.route_name(judgement.route),
            "new" => judgement.new.0, "new_bad" => judgement.new.1,
            "old" => judgement.old.0, "old_bad" => judgement.old.1);
        let written = self.write_row(service, &row, expected).await;
        if self.record_decision_write(service, decision, written) {
            self.set_stage(service, Stage::Decided(decision));
            self.write_status(service, Some(decision)).await;
        }
    }

    // Records the result of a write. Returns whether the decision is written.
    fn record_decision_write(
        &self,
        service: &str,
        decision: Decision,
        written: Result<Revision, StoreError>,
    ) -> bool {
        let mut state = self.state.borrow_mut();
        let Some(rollout) = state.rollouts.orders.get_mut(service) else {
            return false;
        };
        match (written, &mut rollout.execution) {
            (Ok(revision), Some(execution)) => {
                execution.revision = revision;
                execution.decision = Some(decision);
                true
            }
            (written, _) => {
                // The rows are read again, as the write may have succeeded or another holder may have written.
                warn!(self.log, "decision of a roll-out not written"; "service" => service,
                    "written" => ?written);
                rollout.execution = None;
                false
            }
        }
    }

    // Name of the route on which the decision is based.
    fn route_name(&self, hash: Option<u64>) -> Option<String> {
        let state = self.state.borrow();
        let mut routes = state.configuration.as_ref()?.routes.iter();
        let route = routes.find(|route| Some(route_hash(&route.name)) == hash)?;
        Some(route.name.clone())
    }

    fn decided_row(
        &self,
        service: &str,
        decision: Decision,
    ) -> Option<(Order, RolloutRow, Revision)> {
        let state = self.state.borrow();
        let rollout = state.rollouts.orders.get(service)?;
        let execution = rollout.execution.as_ref()?;
        let row = RolloutRow {
            revision: rollout.order.revision as i64,
            version: rollout.order.version.clone(),
            ordered_ms: execution.ordered_stamp.as_millis() as i64,
            decision: Some(gossip::stage_of(Stage::Decided(decision))),
        };
        Some((rollout.order.clone(), row, execution.revision))
    }

    async fn write_row(
        &self,
        service: &str,
        row: &RolloutRow,
        expected: Revision,
    ) -> Result<Revision, StoreError> {
        let value = schema::encode(row).unwrap_or_default();
        let call = self
            .store
            .write(Topic::Rollouts, service, value, Some(expected));
        self.measure_call(service, call).await
    }

    async fn write_status(&self, service: &str, decision: Option<Decision>) {
        let Some((order, _)) = self.order_of(service) else {
            return;
        };
        let Some(expected) = self.status_revision(service) else {
            return;
        };
        let wanted = self.store.rollout_status(&order, decision);
        let call = self.store.write(
            Topic::RolloutStatus,
            &wanted.key,
            wanted.value.clone(),
            Some(expected),
        );
        let written = self.measure_call(service, call).await;
        info!(self.log, "roll-out status written"; "service" => service, "decision" => ?decision,
            "written" => written.is_ok());
        if written.is_err() {
            tokio::time::sleep(FAILED_PAUSE).await;
        }
        let mut state = self.state.borrow_mut();
        let rollout = state.rollouts.orders.get_mut(service);
        let Some(execution) = rollout.and_then(|rollout| rollout.execution.as_mut()) else {
            return;
        };
        execution.status = match written {
            Ok(revision) => Some(Status {
                revision,
                value: wanted.value,
            }),
            Err(StoreError::Conflict(row)) => Some(status_of(row)),
            // The store refused the write, so the row is unchanged.
            Err(StoreError::Refused) => execution.status.take(),
            Err(_) => None,
        };
    }

    // Revision of the operator's status row, if this gateway carries out the order and has read the row.
    fn status_revision(&self, service: &str) -> Option<Revision> {
        let state = self.state.borrow();
        let rollout = state.rollouts.orders.get(service)?;
        let status = rollout.execution.as_ref()?.status.as_ref()?;
        Some(status.revision)
    }

    fn decision_of(&self, service: &str) -> Option<Decision> {
        let state = self.state.borrow();
        state.rollouts.orders.get(service)?.decision()
    }

    fn order_of(&self, service: &str) -> Option<(Order, Duration)> {
        let state = self.state.borrow();
        let rollout = state.rollouts.orders.get(service)?;
        Some((rollout.order.clone(), rollout.stamp))
    }

    // Awaits a call of the store and records how long it took.
    async fn measure_call<T>(
        &self,
        service: &str,
        call: impl std::future::Future<Output = T>,
    ) -> T {
        let began = self.clock.now();
        let result = call.await;
        let took = self.clock.now().saturating_sub(began);
        let mut state = self.state.borrow_mut();
        let rollout = state.rollouts.orders.get_mut(service);
        if let Some(execution) = rollout.and_then(|rollout| rollout.execution.as_mut()) {
            execution.call_time = took.max(execution.call_time.mul_f64(CALL_TIME_DECAY));
        }
        result
    }
}

impl ControlState {
    // Count of answers on routes whose requests are lost when their endpoint ends.
    fn answers_lost_when_cut(&self, evidence: &Evidence) -> u64 {
        let configuration = self.configuration.iter();
        let routes = configuration.flat_map(|configuration| &configuration.routes);
        let lost = routes.filter(|route| is_lost_when_cut(route));
        let evidence = lost.filter_map(|route| evidence.routes.get(&route_hash(&route.name)));
        evidence
            .map(|route| route.old.all() + route.new_answers())
            .sum()
    }
}

// Revision that the next write of the row expects.
fn expected_revision(read: &ReadRow) -> Revision {
    let row = read.row.as_ref();
    row.map_or(Revision::ABSENT, |row| row.revision)
}

fn decode_row(row: &Row) -> Option<RolloutRow> {
    schema::decode(row.value.as_deref()?).ok()
}

fn status_of(row: Option<Row>) -> Status {
    let revision = row.as_ref().map_or(Revision::ABSENT, |row| row.revision);
    Status {
        revision,
        value: row.and_then(|row| row.value).unwrap_or_default(),
    }
}
