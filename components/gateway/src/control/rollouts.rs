//! What is known of the roll-outs that were ordered.

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

/// Evidence is sent this often while it grows: a bad version is to be found within seconds.
const EVIDENCE_PAUSE: Duration = Duration::from_millis(300);
/// Who carries an order out says so every half second; after this time another may.
const HOLDER_KNOWN_FOR: Duration = Duration::from_secs(3);

/// What the holder of the lease said of an order.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Heard {
    /// How far it is.
    pub stage: Stage,
    /// When that was said, on the own clock.
    pub at: Duration,
    /// Where evidence is taken.
    pub holder: SocketAddr,
}

/// Effect of an order read from the store on the known order of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderChange {
    /// The order is the known one, or older.
    Unchanged,
    /// The order is a new one.
    New,
    /// The order is the known one, rewritten in a restored store under another revision.
    Renumbered,
}

/// One order.
#[derive(Debug)]
pub(crate) struct Ordered {
    /// The order.
    pub order: Order,
    /// Era of the store that its revision belongs to.
    pub era: u64,
    /// The store's steady time at which it was seen first.
    pub stamp: Duration,
    /// What was said of it.
    pub heard: Option<Heard>,
    /// What this gateway saw endpoints answer.
    own: Evidence,
    own_changed: bool,
    sent_at: Duration,
    // What others saw.
    others: BTreeMap<Source, Evidence>,
    /// What this gateway knows as the one that carries it out.
    pub carried: Option<Carried>,
}

/// What is known by whoever carries an order out.
#[derive(Debug)]
pub(crate) struct Carried {
    /// What is to be done next.
    pub plan: RolloutController,
    /// The store's steady time of the order, as the first holder wrote it.
    pub ordered_stamp: Duration,
    /// Revision of the row that keeps the decision.
    pub revision: Revision,
    /// The decision in that row.
    pub decision: Option<Decision>,
    /// Revision of the operator's row, and what stands there; `None` until it was read.
    pub status: Option<Status>,
    /// Time of the slowest of the last calls of the store.
    pub call_time: Duration,
}

/// The operator's row as it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Status {
    /// Its revision, [`Revision::ABSENT`] if there is none.
    pub revision: Revision,
    /// Its value.
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

    /// All answers since the order.
    pub fn evidence(&self) -> Evidence {
        let mut sum = self.own.clone();
        self.others.values().for_each(|other| sum.add(other));
        sum
    }

    /// The plan for this order.
    pub fn plan(&self, settings: &GatewaySettings) -> RolloutController {
        let exposure_limit = ExposureLimit {
            fraction: f64::from(settings.exposure_milli) / 1000.0,
            extra: f64::from(settings.exposure_extra),
        };
        RolloutController::new(self.order.clone(), exposure_limit)
    }

    // Moves the order to the revision under which it was rewritten in a restored store. Evidence and stage are kept.
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

    // What was said later holds; a decision stays.
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
    /// Takes an order that the store reported in an era and at a steady time of its own.
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

    /// Discards what was read of roll-out rows, so that the rows are read again: a restored store may lack them.
    pub fn invalidate_carried(&mut self) {
        for ordered in self.orders.values_mut() {
            ordered.carried = None;
        }
    }

    /// Takes what the holder said; `true` if the stage is another than before.
    pub fn receive(&mut self, service: &str, revision: u64, heard: Heard) -> bool {
        let ordered = self.orders.get_mut(service);
        let ordered = ordered.filter(|ordered| ordered.order.revision == revision);
        ordered.is_some_and(|ordered| ordered.receive(heard))
    }

    /// Notes an answer that this gateway saw.
    pub fn note(&mut self, reported: &RolloutAnswer) {
        let ordered = self.orders.get_mut(&reported.service);
        if let Some(ordered) = ordered.filter(|o| o.order.revision == reported.revision) {
            let (route, side, endpoint) = (reported.route, reported.side, reported.endpoint);
            ordered.own.record(route, side, endpoint, reported.answer);
            ordered.own_changed = true;
        }
    }

    /// Takes what another gateway saw: sums since the order, so the newest replaces what came before.
    pub fn receive_evidence(&mut self, source: &Source, reported: &EvidenceReport) {
        let ordered = self.orders.get_mut(&reported.service_name);
        let ordered = ordered.filter(|o| o.order.revision == reported.revision.max(0) as u64);
        if let Some(ordered) = ordered {
            let evidence = gossip::received_evidence(reported);
            ordered.others.insert(source.clone(), evidence);
        }
    }

    /// Own evidence that is due, and where it is taken.
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

    /// What is known of all orders, as it is reported.
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

    /// Whether a service's endpoints are to be left as they are: both versions stand, and are counted together
    /// by nobody.
    pub fn is_under_way(&self, service: &str) -> bool {
        let ordered = self.orders.get(service);
        ordered.is_some_and(|ordered| ordered.decision().is_none())
    }

    /// Whether an endpoint counts among those that serve: not one of an ordered version that is not completed. The
    /// old ones are gone soon after that.
    pub fn counts(&self, endpoint: &Endpoint) -> bool {
        let Some(ordered) = self.orders.get(&endpoint.service) else {
            return true;
        };
        let is_new = endpoint.version == ordered.order.version;
        !is_new || ordered.decision() == Some(Decision::Completed)
    }
}
