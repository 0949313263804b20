//! State of the roll-outs that were ordered.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use directory::Endpoint;
use replica::Revision;
use rollout::{Decision, Evidence, ExposureLimit, Order, RolloutController, Stage};
use schema::messages::{EvidenceReport, RolloutReport};
use schema::settings::GatewaySettings;
use usage::Source;

use crate::gossip;
use crate::versions::RolloutAnswer;

/// Shortest pause between reports of growing evidence: a bad version must be detected within seconds.
const EVIDENCE_PAUSE: Duration = Duration::from_millis(300);
/// The gateway that carries out an order reports this every half second. After this time without a report
/// another gateway may have taken over.
const STAGE_REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Stage of an order as the holder of the lease reported it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StageReport {
    /// The stage.
    pub stage: Stage,
    /// Time of the report, on this gateway's clock.
    pub at: Duration,
    /// Address to which evidence is sent.
    pub holder: SocketAddr,
}

/// Effect of an order read from the store on the known order of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderChange {
    /// The order is the known one, or older.
    Unchanged,
    /// The order is new.
    New,
    /// The order is the known one, rewritten in a restored store under another revision.
    Renumbered,
}

/// An order and its state.
#[derive(Debug)]
pub(crate) struct RolloutState {
    pub order: Order,
    /// Era of the store that its revision belongs to.
    pub era: u64,
    /// Monotonic time of the store at which the order was first seen.
    pub stamp: Duration,
    /// The latest reported stage.
    pub stage_report: Option<StageReport>,
    /// Answers of endpoints that this gateway saw.
    own_evidence: Evidence,
    has_unsent_evidence: bool,
    evidence_sent_at: Duration,
    // Answers that other gateways saw.
    peer_evidence: BTreeMap<Source, Evidence>,
    /// State of the execution, if this gateway carries out the order.
    pub execution: Option<Execution>,
}

/// State of an order's execution at the gateway that carries it out.
#[derive(Debug)]
pub(crate) struct Execution {
    /// Decides the next step.
    pub plan: RolloutController,
    /// Monotonic time of the store at the order, as the first holder wrote it.
    pub ordered_stamp: Duration,
    /// Revision of the row that holds the decision.
    pub revision: Revision,
    /// The decision in that row.
    pub decision: Option<Decision>,
    /// The operator's status row; `None` until it is read.
    pub status: Option<Status>,
    /// Decaying maximum of the time of store calls.
    pub call_time: Duration,
}

/// The operator's status row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Status {
    /// Its revision, [`Revision::ABSENT`] if the row does not exist.
    pub revision: Revision,
    pub value: Vec<u8>,
}

/// All orders, by service.
#[derive(Debug, Default)]
pub(crate) struct Rollouts {
    pub orders: BTreeMap<String, RolloutState>,
}

impl RolloutState {
    /// The decision, once it is known here.
    pub fn decision(&self) -> Option<Decision> {
        self.stage_report.and_then(|report| report.stage.decision())
    }

    /// Sum of the answers that all gateways saw since the order.
    pub fn evidence(&self) -> Evidence {
        let mut sum = self.own_evidence.clone();
        self.peer_evidence.values().for_each(|other| sum.add(other));
        sum
    }

    /// Creates the plan for this order.
    pub fn plan(&self, settings: &GatewaySettings) -> RolloutController {
        let exposure_limit = ExposureLimit {
            fraction: f64::from(settings.exposure_milli) / 1000.0,
            extra: f64::from(settings.exposure_extra),
        };
        RolloutController::new(self.order.clone(), exposure_limit)
    }

    // Moves the order to the revision under which it was rewritten in a restored store. Evidence and stage are
    // kept.
    fn renumber(&mut self, order: Order, era: u64) -> OrderChange {
        let is_renumbered = self.order.revision != order.revision;
        self.era = era;
        self.order = order;
        self.execution = None;
        match is_renumbered {
            true => OrderChange::Renumbered,
            false => OrderChange::Unchanged,
        }
    }

    // Applies the report if it is newer than the known one; a decision is final. Returns whether the stage
    // changed.
    fn receive(&mut self, report: StageReport) -> bool {
        let is_known = self.stage_report.is_some_and(|known| known.at >= report.at);
        if is_known || self.decision().is_some() {
            return false;
        }
        let is_new = self
            .stage_report
            .is_none_or(|known| known.stage != report.stage);
        self.stage_report = Some(report);
        is_new
    }
}

impl Rollouts {
    /// Applies an order that the store reported in `era` at its monotonic time `stamp`.
    pub fn apply_order(&mut self, order: Order, era: u64, stamp: Duration) -> OrderChange {
        if let Some(known) = self.orders.get_mut(&order.service) {
            let is_older = known.era == era && known.order.revision >= order.revision;
            if is_older || known.era > era {
                return OrderChange::Unchanged;
            }
            if known.era < era && known.order.is_same_request(&order) {
                return known.renumber(order, era);
            }
        }
        let rollout = RolloutState {
            era,
            stamp,
            stage_report: None,
            own_evidence: Evidence::default(),
            has_unsent_evidence: false,
            evidence_sent_at: Duration::ZERO,
            peer_evidence: BTreeMap::new(),
            execution: None,
            order,
        };
        self.orders.insert(rollout.order.service.clone(), rollout);
        OrderChange::New
    }

    /// Discards what was read from roll-out rows, so that the rows are read again: a restored store may lack
    /// them.
    pub fn discard_executions(&mut self) {
        for rollout in self.orders.values_mut() {
            rollout.execution = None;
        }
    }

    /// Applies a report of the holder. Returns whether the stage changed.
    pub fn receive_stage(&mut self, service: &str, revision: u64, report: StageReport) -> bool {
        let rollout = self.orders.get_mut(service);
        let rollout = rollout.filter(|rollout| rollout.order.revision == revision);
        rollout.is_some_and(|rollout| rollout.receive(report))
    }

    /// Records an answer that this gateway saw.
    pub fn record_answer(&mut self, reported: &RolloutAnswer) {
        let rollout = self.orders.get_mut(&reported.service);
        if let Some(rollout) = rollout.filter(|o| o.order.revision == reported.revision) {
            let (route, side, endpoint) = (reported.route, reported.side, reported.endpoint);
            rollout
                .own_evidence
                .record(route, side, endpoint, reported.answer);
            rollout.has_unsent_evidence = true;
        }
    }

    /// Replaces another gateway's evidence: reports are cumulative since the order.
    pub fn receive_evidence(&mut self, source: &Source, reported: &EvidenceReport) {
        let rollout = self.orders.get_mut(&reported.service_name);
        let rollout = rollout.filter(|o| o.order.revision == reported.revision.max(0) as u64);
        if let Some(rollout) = rollout {
            let evidence = gossip::received_evidence(reported);
            rollout.peer_evidence.insert(source.clone(), evidence);
        }
    }

    /// This gateway's evidence that is due, with the addresses to send it to.
    pub fn evidence_due(
        &mut self,
        now: Duration,
        own: SocketAddr,
    ) -> Vec<(SocketAddr, EvidenceReport)> {
        let mut due = Vec::new();
        for (service, rollout) in &mut self.orders {
            let Some(report) = rollout
                .stage_report
                .filter(|h| h.stage.decision().is_none())
            else {
                continue;
            };
            let is_due =
                rollout.has_unsent_evidence && now >= rollout.evidence_sent_at + EVIDENCE_PAUSE;
            if report.holder == own || !is_due || now >= report.at + STAGE_REPORT_LIFETIME {
                continue;
            }
            rollout.has_unsent_evidence = false;
            rollout.evidence_sent_at = now;
            let reported =
                gossip::evidence_of(service, rollout.order.revision, &rollout.own_evidence);
            due.push((report.holder, reported));
        }
        due
    }

    /// Reports of all orders for the other gateways.
    pub fn stage_reports(&self, now: Duration) -> Vec<RolloutReport> {
        let reports = self.orders.iter().filter_map(|(service, rollout)| {
            let report = rollout.stage_report?;
            let age = now.saturating_sub(report.at).as_millis();
            Some(RolloutReport {
                service_name: service.clone(),
                revision: rollout.order.revision as i64,
                stage: gossip::stage_of(report.stage),
                age_ms: age.min(i32::MAX as u128) as i32,
                holder: report.holder.to_string(),
            })
        });
        reports.collect()
    }

    /// Whether autoscaling must leave a service's endpoints unchanged: during a roll-out both versions run, and no
    /// gateway counts them together.
    pub fn has_open_order(&self, service: &str) -> bool {
        let rollout = self.orders.get(service);
        rollout.is_some_and(|rollout| rollout.decision().is_none())
    }

    /// Whether an endpoint counts as serving. Endpoints of an ordered version count only once the roll-out is
    /// completed; the old ones are removed soon after that.
    pub fn is_counted(&self, endpoint: &Endpoint) -> bool {
        let Some(rollout) = self.orders.get(&endpoint.service) else {
            return true;
        };
        let is_new = endpoint.version == rollout.order.version;
        !is_new || rollout.decision() == Some(Decision::Completed)
    }
}
