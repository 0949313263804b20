//! State of the roll-outs that were ordered.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use directory::Endpoint;
use replica::Revision;
use rollout::{Decision, Evidence, Order, Plan, Stage, Terms};
use schema::messages::{EvidenceReport, RolloutReport};
use schema::settings::GatewaySettings;
use usage::Source;

use crate::gossip;
use crate::versions::Digest;

/// Shortest pause between reports of growing evidence: a bad version must be detected within seconds.
const EVIDENCE_PAUSE: Duration = Duration::from_millis(300);
/// The gateway that carries out an order reports this every half second. After this time without a report
/// another gateway may have taken over.
const HOLDER_KNOWN_FOR: Duration = Duration::from_secs(3);

/// Stage of an order as the holder of the lease reported it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Heard {
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
pub(crate) struct Ordered {
    pub order: Order,
    /// Era of the store that its revision belongs to.
    pub era: u64,
    /// Monotonic time of the store at which the order was first seen.
    pub stamp: Duration,
    /// The latest reported stage.
    pub heard: Option<Heard>,
    /// Answers of endpoints that this gateway saw.
    own: Evidence,
    own_changed: bool,
    sent_at: Duration,
    // Answers that other gateways saw.
    others: BTreeMap<Source, Evidence>,
    /// State of the execution, if this gateway carries out the order.
    pub carried: Option<Carried>,
}

/// State of an order's execution at the gateway that carries it out.
#[derive(Debug)]
pub(crate) struct Carried {
    /// Decides the next step.
    pub plan: Plan,
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
    pub orders: BTreeMap<String, Ordered>,
}

impl Ordered {
    /// The decision, once it is known here.
    pub fn decision(&self) -> Option<Decision> {
        self.heard.and_then(|heard| heard.stage.decision())
    }

    /// Sum of the answers that all gateways saw since the order.
    pub fn evidence(&self) -> Evidence {
        let mut sum = self.own.clone();
        self.others.values().for_each(|other| sum.add(other));
        sum
    }

    /// Creates the plan for this order.
    pub fn plan(&self, settings: &GatewaySettings) -> Plan {
        let terms = Terms {
            fraction: f64::from(settings.exposure_milli) / 1000.0,
            extra: f64::from(settings.exposure_extra),
        };
        Plan::new(self.order.clone(), terms)
    }

    // Moves the order to the revision under which it was rewritten in a restored store. Evidence and stage are
    // kept.
    fn renumber(&mut self, order: Order, era: u64) -> OrderChange {
        let is_renumbered = self.order.revision != order.revision;
        self.era = era;
        self.order = order;
        self.carried = None;
        match is_renumbered {
            true => OrderChange::Renumbered,
            false => OrderChange::Unchanged,
        }
    }

    // Applies the report if it is newer than the known one; a decision is final. Returns whether the stage
    // changed.
    fn receive(&mut self, heard: Heard) -> bool {
        let is_known = self.heard.is_some_and(|known| known.at >= heard.at);
        if is_known || self.decision().is_some() {
            return false;
        }
        let is_new = self.heard.is_none_or(|known| known.stage != heard.stage);
        self.heard = Some(heard);
        is_new
    }
}

impl Rollouts {
    /// Applies an order that the store reported in `era` at its monotonic time `stamp`.
    pub fn order(&mut self, order: Order, era: u64, stamp: Duration) -> OrderChange {
        if let Some(known) = self.orders.get_mut(&order.service) {
            let is_older = known.era == era && known.order.revision >= order.revision;
            if is_older || known.era > era {
                return OrderChange::Unchanged;
            }
            if known.era < era && known.order.is_same_request(&order) {
                return known.renumber(order, era);
            }
        }
        let ordered = Ordered {
            era,
            stamp,
            heard: None,
            own: Evidence::default(),
            own_changed: false,
            sent_at: Duration::ZERO,
            others: BTreeMap::new(),
            carried: None,
            order,
        };
        self.orders.insert(ordered.order.service.clone(), ordered);
        OrderChange::New
    }

    /// Discards what was read from roll-out rows, so that the rows are read again: a restored store may lack
    /// them.
    pub fn invalidate_carried(&mut self) {
        for ordered in self.orders.values_mut() {
            ordered.carried = None;
        }
    }

    /// Applies a report of the holder. Returns whether the stage changed.
    pub fn receive(&mut self, service: &str, revision: u64, heard: Heard) -> bool {
        let ordered = self.orders.get_mut(service);
        let ordered = ordered.filter(|ordered| ordered.order.revision == revision);
        ordered.is_some_and(|ordered| ordered.receive(heard))
    }

    /// Records an answer that this gateway saw.
    pub fn note(&mut self, reported: &Digest) {
        let ordered = self.orders.get_mut(&reported.service);
        if let Some(ordered) = ordered.filter(|o| o.order.revision == reported.revision) {
            let (route, side, endpoint) = (reported.route, reported.side, reported.endpoint);
            ordered.own.note(route, side, endpoint, reported.answer);
            ordered.own_changed = true;
        }
    }

    /// Replaces another gateway's evidence: reports are cumulative since the order.
    pub fn receive_evidence(&mut self, source: &Source, reported: &EvidenceReport) {
        let ordered = self.orders.get_mut(&reported.service_name);
        let ordered = ordered.filter(|o| o.order.revision == reported.revision.max(0) as u64);
        if let Some(ordered) = ordered {
            let evidence = gossip::received_evidence(reported);
            ordered.others.insert(source.clone(), evidence);
        }
    }

    /// This gateway's evidence that is due, with the addresses to send it to.
    pub fn evidence_due(
        &mut self,
        now: Duration,
        own: SocketAddr,
    ) -> Vec<(SocketAddr, EvidenceReport)> {
        let mut due = Vec::new();
        for (service, ordered) in &mut self.orders {
            let Some(heard) = ordered.heard.filter(|h| h.stage.decision().is_none()) else {
                continue;
            };
            let is_due = ordered.own_changed && now >= ordered.sent_at + EVIDENCE_PAUSE;
            if heard.holder == own || !is_due || now >= heard.at + HOLDER_KNOWN_FOR {
                continue;
            }
            ordered.own_changed = false;
            ordered.sent_at = now;
            let reported = gossip::evidence_of(service, ordered.order.revision, &ordered.own);
            due.push((heard.holder, reported));
        }
        due
    }

    /// Reports of all orders for the other gateways.
    pub fn reported(&self, now: Duration) -> Vec<RolloutReport> {
        let heard = self.orders.iter().filter_map(|(service, ordered)| {
            let heard = ordered.heard?;
            let age = now.saturating_sub(heard.at).as_millis();
            Some(RolloutReport {
                service_name: service.clone(),
                revision: ordered.order.revision as i64,
                stage: gossip::stage_of(heard.stage),
                age_ms: age.min(i32::MAX as u128) as i32,
                holder: heard.holder.to_string(),
            })
        });
        heard.collect()
    }

    /// Whether autoscaling must leave a service's endpoints unchanged: during a roll-out both versions run, and no
    /// gateway counts them together.
    pub fn is_under_way(&self, service: &str) -> bool {
        let ordered = self.orders.get(service);
        ordered.is_some_and(|ordered| ordered.decision().is_none())
    }

    /// Whether an endpoint counts as serving. Endpoints of an ordered version count only once the roll-out is
    /// completed; the old ones are removed soon after that.
    pub fn counts(&self, endpoint: &Endpoint) -> bool {
        let Some(ordered) = self.orders.get(&endpoint.service) else {
            return true;
        };
        let is_new = endpoint.version == ordered.order.version;
        !is_new || ordered.decision() == Some(Decision::Completed)
    }
}
