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

use crate::control::rollouts::{Carried, Heard, Status};
use crate::control::{Known, Shared};
use crate::gossip;
use crate::ports::{Orders, ReadRow, Row, Store, StoreError, Topic};
use crate::update::Update;
use crate::versions::{is_lost_when_cut, route_hash};

/// Pause between checks of the orders.
const ROLLOUT_LOOK: Duration = Duration::from_millis(100);
/// Pause after a failed call of the store.
const FAILED_PAUSE: Duration = Duration::from_millis(500);
/// Factor by which the recorded time of the slowest store call decays at each further call.
const CALL_TIME_KEPT: f64 = 0.7;

enum Work {
    // Read the rows.
    Load,
    Step(Step),
    // Write the operator's status row.
    Status(Option<Decision>),
}

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Carries out orders until the process ends, whenever this gateway holds the lease.
    pub async fn keep_rollouts(self: Rc<Self>) {
        loop {
            tokio::time::sleep(ROLLOUT_LOOK).await;
            let services: Vec<String> = {
                let known = self.known.borrow();
                known.rollouts.orders.keys().cloned().collect()
            };
            for service in services {
                self.carry(&service).await;
            }
        }
    }

    async fn carry(&self, service: &str) {
        if self.holder().is_none() {
            let mut known = self.known.borrow_mut();
            if let Some(ordered) = known.rollouts.orders.get_mut(service) {
                ordered.carried = None;
            }
            return;
        }
        match self.next_work(service) {
            None => {}
            Some(Work::Load) => self.load(service).await,
            Some(Work::Status(decision)) => self.write_status(service, decision).await,
            Some(Work::Step(Step::Tell(stage))) => self.set_stage(service, stage),
            Some(Work::Step(Step::Decide(decision, judgement))) => {
                self.decide_rollout(service, decision, judgement).await;
            }
        }
    }

    fn next_work(&self, service: &str) -> Option<Work> {
        let now = self.clock.now();
        let known = &mut *self.known.borrow_mut();
        let ordered = known.rollouts.orders.get(service)?;
        let Some(carried) = &ordered.carried else {
            return Some(Work::Load);
        };
        let Some(status) = &carried.status else {
            return Some(Work::Load);
        };
        let wanted = self.store.rollout_status(&ordered.order, carried.decision);
        if status.value != wanted.value {
            return Some(Work::Status(carried.decision));
        }
        if let Some(decision) = carried.decision {
            // A decision takes effect only once it is reported.
            let is_reported = ordered.decision().is_some();
            let report = Work::Step(Step::Tell(Stage::Decided(decision)));
            return (!is_reported).then_some(report);
        }
        let ordered_at = known.store_clock.moment(carried.ordered_stamp, now);
        let ordered_at = ordered_at.unwrap_or(now);
        let (runs, slots) = known.running_and_new_slots(&ordered.order);
        let evidence = ordered.evidence();
        let long = known.answers_lost_when_cut(&evidence) as f64;
        let elapsed = now.saturating_sub(ordered_at).as_secs_f64();
        let progress = Progress {
            ordered_at,
            long_per_s: long / elapsed.max(1.0),
            call_time: carried.call_time,
            can_carry: slots > 0 && slots >= runs,
        };
        let ordered = known.rollouts.orders.get_mut(service)?;
        let plan = &mut ordered.carried.as_mut()?.plan;
        Some(Work::Step(plan.step(now, &evidence, progress)))
    }

    fn set_stage(&self, service: &str, stage: Stage) {
        let now = self.clock.now();
        let mut known = self.known.borrow_mut();
        let Some(ordered) = known.rollouts.orders.get(service) else {
            return;
        };
        let revision = ordered.order.revision;
        let heard = Heard {
            stage,
            at: now,
            holder: self.peer_address,
        };
        let is_new = known.rollouts.receive(service, revision, heard);
        drop(known);
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
                warn!(self.log, "roll-out of another gateway not readable; its version is newer than this one";
                    "service" => &reported.service_name);
                continue;
            };
            let age = Duration::from_millis(reported.age_ms.max(0) as u64);
            let at = now.saturating_sub(age);
            let heard = Heard { stage, at, holder };
            let revision = reported.revision.max(0) as u64;
            let mut known = self.known.borrow_mut();
            let is_new = known
                .rollouts
                .receive(&reported.service_name, revision, heard);
            let ordered = known.rollouts.orders.get(&reported.service_name);
            let newest = ordered.and_then(|ordered| ordered.heard);
            drop(known);
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
            warn!(self.log, "the traffic thread is gone");
        }
    }

    // Reads what earlier holders wrote, and writes the first row of the order if there is none.
    async fn load(&self, service: &str) {
        let Some((order, stamp)) = self.order_of(service) else {
            return;
        };
        let status_key = self.store.rollout_status(&order, None).key;
        let row = self
            .timed(service, self.store.read(Topic::Rollouts, service))
            .await;
        let status = self
            .timed(service, self.store.read(Topic::RolloutStatus, &status_key))
            .await;
        let (Ok(read), Ok(status)) = (row, status) else {
            info!(self.log, "roll-out not read, the store does not answer"; "service" => service);
            tokio::time::sleep(FAILED_PAUSE).await;
            return;
        };
        let kept = read.row.as_ref().and_then(read_row);
        let is_of_order = |kept: &RolloutRow| {
            kept.revision == order.revision as i64 && kept.version == order.version
        };
        let kept = kept.filter(is_of_order);
        let expected = expected_revision(&read);
        // A restored store may lack a decision that already took effect; it must not be made again.
        let known_decision = self.decision_of(service);
        let (kept, revision) = match kept {
            Some(kept) if kept.decision.is_some() || known_decision.is_none() => (kept, expected),
            kept => {
                let stamp_ms = stamp.as_millis() as i64;
                let first = RolloutRow {
                    revision: order.revision as i64,
                    version: order.version.clone(),
                    ordered_ms: kept.map_or(stamp_ms, |kept| kept.ordered_ms),
                    decision: known_decision.map(|d| gossip::stage_of(Stage::Decided(d))),
                };
                match self.write_row(service, &first, expected).await {
                    Ok(revision) => (first, revision),
                    Err(error) => {
                        info!(self.log, "roll-out not begun"; "service" => service, "cause" => %error);
                        tokio::time::sleep(FAILED_PAUSE).await;
                        return;
                    }
                }
            }
        };
        let decision = kept
            .decision
            .and_then(gossip::received_stage)
            .and_then(Stage::decision);
        let mut known = self.known.borrow_mut();
        let settings = known.settings.clone();
        // The store was restored while the rows were read.
        let is_outdated = Some(revision.era) < known.newest_era;
        let Some(ordered) = known.rollouts.orders.get_mut(service) else {
            return;
        };
        if ordered.order.revision != order.revision || is_outdated {
            return;
        }
        info!(self.log, "roll-out carried out here"; "service" => service, "version" => &order.version,
            "revision" => order.revision, "decided" => ?decision, "time_ms" => order.time.as_millis() as u64);
        ordered.carried = Some(Carried {
            plan: ordered.plan(&settings),
            ordered_stamp: Duration::from_millis(kept.ordered_ms.max(0) as u64),
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
        if self.note_decision(service, decision, written) {
            self.set_stage(service, Stage::Decided(decision));
            self.write_status(service, Some(decision)).await;
        }
    }

    // Records the result of a write. Returns whether the decision is written.
    fn note_decision(
        &self,
        service: &str,
        decision: Decision,
        written: Result<Revision, StoreError>,
    ) -> bool {
        let mut known = self.known.borrow_mut();
        let Some(ordered) = known.rollouts.orders.get_mut(service) else {
            return false;
        };
        match (written, &mut ordered.carried) {
            (Ok(revision), Some(carried)) => {
                carried.revision = revision;
                carried.decision = Some(decision);
                true
            }
            (written, _) => {
                // The rows are read again, as the write may have succeeded or another holder may have written.
                warn!(self.log, "decision of a roll-out not written"; "service" => service,
                    "written" => ?written);
                ordered.carried = None;
                false
            }
        }
    }

    // Name of the route on which the decision is based.
    fn route_name(&self, hash: Option<u64>) -> Option<String> {
        let known = self.known.borrow();
        let mut routes = known.configuration.as_ref()?.routes.iter();
        let route = routes.find(|route| Some(route_hash(&route.name)) == hash)?;
        Some(route.name.clone())
    }

    fn decided_row(
        &self,
        service: &str,
        decision: Decision,
    ) -> Option<(Order, RolloutRow, Revision)> {
        let known = self.known.borrow();
        let ordered = known.rollouts.orders.get(service)?;
        let carried = ordered.carried.as_ref()?;
        let row = RolloutRow {
            revision: ordered.order.revision as i64,
            version: ordered.order.version.clone(),
            ordered_ms: carried.ordered_stamp.as_millis() as i64,
            decision: Some(gossip::stage_of(Stage::Decided(decision))),
        };
        Some((ordered.order.clone(), row, carried.revision))
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
        self.timed(service, call).await
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
        let written = self.timed(service, call).await;
        info!(self.log, "roll-out status written"; "service" => service, "decision" => ?decision,
            "written" => written.is_ok());
        if written.is_err() {
            tokio::time::sleep(FAILED_PAUSE).await;
        }
        let mut known = self.known.borrow_mut();
        let ordered = known.rollouts.orders.get_mut(service);
        let Some(carried) = ordered.and_then(|ordered| ordered.carried.as_mut()) else {
            return;
        };
        carried.status = match written {
            Ok(revision) => Some(Status {
                revision,
                value: wanted.value,
            }),
            Err(StoreError::Conflict(row)) => Some(status_of(row)),
            // The store refused the write, so the row is unchanged.
            Err(StoreError::Refused) => carried.status.take(),
            Err(_) => None,
        };
    }

    // Revision of the operator's status row, if this gateway carries out the order and has read the row.
    fn status_revision(&self, service: &str) -> Option<Revision> {
        let known = self.known.borrow();
        let ordered = known.rollouts.orders.get(service)?;
        let status = ordered.carried.as_ref()?.status.as_ref()?;
        Some(status.revision)
    }

    fn decision_of(&self, service: &str) -> Option<Decision> {
        let known = self.known.borrow();
        known.rollouts.orders.get(service)?.decision()
    }

    fn order_of(&self, service: &str) -> Option<(Order, Duration)> {
        let known = self.known.borrow();
        let ordered = known.rollouts.orders.get(service)?;
        Some((ordered.order.clone(), ordered.stamp))
    }

    // Awaits a call of the store and records how long it took.
    async fn timed<T>(&self, service: &str, call: impl std::future::Future<Output = T>) -> T {
        let began = self.clock.now();
        let result = call.await;
        let took = self.clock.now().saturating_sub(began);
        let mut known = self.known.borrow_mut();
        let ordered = known.rollouts.orders.get_mut(service);
        if let Some(carried) = ordered.and_then(|ordered| ordered.carried.as_mut()) {
            carried.call_time = took.max(carried.call_time.mul_f64(CALL_TIME_KEPT));
        }
        result
    }
}

impl Known {
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

fn read_row(row: &Row) -> Option<RolloutRow> {
    schema::decode(row.value.as_deref()?).ok()
}

fn status_of(row: Option<Row>) -> Status {
    let revision = row.as_ref().map_or(Revision::ABSENT, |row| row.revision);
    Status {
        revision,
        value: row.and_then(|row| row.value).unwrap_or_default(),
    }
}
