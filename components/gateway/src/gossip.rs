//! Messages between gateways.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use replica::{Digest, Revision};
use rollout::{Counts, Decision, Evidence, Histogram, Stage};
use routing::placement::PeerDispatch;
use schema::messages::{
    AnswerCounts, Dispatch, EvidenceReport, GatewayRow, Gossip, LeaseReport, RolloutStage,
    SourceUsage, TopicHead, WindowUsage,
};
use state::LeaseHead;
use usage::Source;

use crate::control::{topic_by_name, topic_name};
use crate::peers::{HallCount, ListedGateway, PeerStatus};
use crate::ports::Topic;
use crate::tally::Sent;

/// Dispatches reported in one message, so that it fits into one datagram.
pub(crate) const MOST_DISPATCHES: usize = 30;

/// Processes whose usage is passed on in one message, so that it fits into one datagram: some 200 bytes each.
pub(crate) const MOST_FORWARDED: usize = 25;

/// Counts of answers reported in one message, so that it fits into one datagram: some 60 bytes each.
const MOST_COUNTS: usize = 100;

/// Longest time that a request is reported to run, in milliseconds.
const MOST_HOLD_MS: u128 = 60_000;

/// A dispatch as it is reported.
pub(crate) fn dispatch_of(now: Duration, sent: &Sent) -> Dispatch {
    Dispatch {
        endpoint: sent.endpoint as i64,
        unread_tokens: sent.unread_tokens.min(i32::MAX as u32) as i32,
        shared_prompt: sent.shared_prompt as i64,
        age_ms: now.saturating_sub(sent.at).as_millis().min(60_000) as i32,
        hold_ms: sent.hold.as_millis().min(MOST_HOLD_MS) as i32,
    }
}

/// A dispatch as it was heard.
pub(crate) fn received_dispatch(now: Duration, reported: &Dispatch) -> PeerDispatch {
    let age = Duration::from_millis(reported.age_ms.max(0) as u64);
    PeerDispatch {
        endpoint: reported.endpoint as u64,
        unread_tokens: reported.unread_tokens.max(0) as u32,
        shared_prompt: reported.shared_prompt as u64,
        sent_at: now.saturating_sub(age),
        hold: Duration::from_millis(reported.hold_ms.max(0) as u64),
    }
}

/// Totals by tenant as they were heard.
pub(crate) fn received_totals(gossip: &Gossip) -> BTreeMap<String, u64> {
    let totals = gossip.taken.iter();
    totals
        .map(|(tenant, total)| (tenant.clone(), (*total).max(0) as u64))
        .collect()
}

/// The sender of gossip that came from an address.
pub(crate) fn greeting(gossip: &Gossip, from: SocketAddr) -> PeerStatus {
    PeerStatus {
        name: gossip.gateway.clone(),
        address: from,
        incarnation: gossip.incarnation,
        sequence: gossip.sequence,
        reaches_store: gossip.reaches_store.unwrap_or(true),
        hall: gossip.hall.clone().unwrap_or_default(),
        cores_milli: gossip.cores_milli.unwrap_or_default(),
        is_coordinator: gossip.coordinates.unwrap_or_default(),
        decisions: decisions_address(gossip.decisions_port, from),
        hall_count: gossip.hall_count.as_ref().map(|count| HallCount {
            alive: count.alive.max(0) as usize,
            silent: count.silent.max(0) as usize,
        }),
        gateways: gossip.gateways.map(|gateways| gateways.max(0) as usize),
        preferred_coordinator: gossip.asks.clone(),
        keeps_accounts: gossip.keeps_accounts.unwrap_or_default(),
    }
}

fn decisions_address(port: Option<i32>, gateway: SocketAddr) -> Option<SocketAddr> {
    let port = u16::try_from(port?).ok()?;
    Some(SocketAddr::new(gateway.ip(), port))
}

/// A gateway as its row in the store names it.
pub(crate) fn listed_of(name: &str, row: &[u8]) -> Option<ListedGateway> {
    let row = schema::decode::<GatewayRow>(row).ok()?;
    let address: SocketAddr = row.address.parse().ok()?;
    Some(ListedGateway {
        name: name.to_string(),
        address,
        decisions: decisions_address(row.decisions_port, address),
        hall: row.hall.unwrap_or_default(),
        cores_milli: row.cores_milli.unwrap_or_default(),
    })
}

/// Usage of another process as it is passed on.
pub(crate) fn forwarded_of(window: i64, source: &Source, counts: &usage::Counts) -> SourceUsage {
    SourceUsage {
        gateway: source.gateway.clone(),
        incarnation: source.incarnation,
        usage: usage_of(window, counts.clone()),
    }
}

/// Usage that was passed on: window, process and counts.
pub(crate) fn received_forwarded(
    gossip: &Gossip,
) -> impl Iterator<Item = (i64, Source, &usage::Counts)> {
    let forwarded = gossip.forwarded.iter().flatten();
    forwarded.map(|reported| {
        let source = Source {
            gateway: reported.gateway.clone(),
            incarnation: reported.incarnation,
        };
        (reported.usage.window, source, &reported.usage.begun)
    })
}

/// The row of a lease as it is reported.
pub(crate) fn lease_of(head: &LeaseHead) -> LeaseReport {
    LeaseReport {
        version: head.version as i64,
        epoch: head.epoch,
        era: reported_era(head.era),
    }
}

/// The row of the lease that the sender holds, as it was heard.
pub(crate) fn received_lease(gossip: &Gossip) -> Option<LeaseHead> {
    let reported = gossip.lease.as_ref()?;
    Some(LeaseHead {
        version: reported.version.max(0) as u64,
        holder: gossip.gateway.clone(),
        epoch: reported.epoch,
        era: received_era(reported.era),
    })
}

/// How long the sender has run.
pub(crate) fn uptime(gossip: &Gossip) -> Duration {
    Duration::from_millis(gossip.uptime_ms.unwrap_or(i64::MAX).max(0) as u64)
}

/// How far a topic is known, as it is reported; `None` for topics that are not passed on.
pub(crate) fn head_of(topic: Topic, reported: Digest) -> Option<TopicHead> {
    Some(TopicHead {
        topic: topic_name(topic)?,
        changed_at: reported.changed_at.number as i64,
        confirmed_us: reported.confirmed.as_micros() as i64,
        known_to: reported.known_to.number as i64,
        era: reported_era(reported.known_to.era),
    })
}

/// Encodes an era for a message. Era 0 is left unset, as by builds and stores without eras.
pub(crate) fn reported_era(era: u64) -> Option<i64> {
    (era > 0).then_some(era as i64)
}

fn received_era(reported: Option<i64>) -> u64 {
    reported.unwrap_or_default().max(0) as u64
}

/// Decodes a revision from a message.
pub(crate) fn received_revision(number: i64, era: Option<i64>) -> Revision {
    Revision::new(received_era(era), number.max(0) as u64)
}

/// How far topics are known, as it was heard.
pub(crate) fn received_heads(gossip: &Gossip) -> Vec<(Topic, Digest)> {
    let heads = gossip.heads.iter().flatten();
    heads
        .filter_map(|head| {
            let revision = |number| received_revision(number, head.era);
            let reported = Digest {
                changed_at: revision(head.changed_at),
                known_to: revision(head.known_to),
                confirmed: Duration::from_micros(head.confirmed_us.max(0) as u64),
            };
            Some((topic_by_name(head.topic)?, reported))
        })
        .collect()
}

/// Usage as it is reported.
pub(crate) fn usage_of(window: i64, begun: BTreeMap<String, i64>) -> WindowUsage {
    WindowUsage { window, begun }
}

/// Addresses as they were heard; what is none is passed over.
pub(crate) fn received_addresses(gossip: &Gossip) -> Vec<SocketAddr> {
    let addresses = gossip.peers.iter();
    addresses.filter_map(|text| text.parse().ok()).collect()
}

/// A stage as it is reported.
pub(crate) fn stage_of(stage: Stage) -> RolloutStage {
    match stage {
        Stage::Sample => RolloutStage::SAMPLE,
        Stage::SwitchLong => RolloutStage::SWITCH_LONG,
        Stage::SwitchAll => RolloutStage::SWITCH_ALL,
        Stage::Decided(Decision::Completed) => RolloutStage::COMPLETED,
        Stage::Decided(Decision::Reverted) => RolloutStage::REVERTED,
    }
}

/// A stage as it was heard; `None` for one that this version does not know.
pub(crate) fn received_stage(reported: RolloutStage) -> Option<Stage> {
    match reported {
        RolloutStage::SAMPLE => Some(Stage::Sample),
        RolloutStage::SWITCH_LONG => Some(Stage::SwitchLong),
        RolloutStage::SWITCH_ALL => Some(Stage::SwitchAll),
        RolloutStage::COMPLETED => Some(Stage::Decided(Decision::Completed)),
        RolloutStage::REVERTED => Some(Stage::Decided(Decision::Reverted)),
        _ => None,
    }
}

/// Evidence as it is reported.
pub(crate) fn evidence_of(service: &str, revision: u64, evidence: &Evidence) -> EvidenceReport {
    let routes = evidence.routes.iter();
    let answers = routes.flat_map(|(route, of_route)| {
        let old = counts_of(*route, 0, &of_route.old);
        let new = of_route.new.iter();
        new.map(|(endpoint, counts)| counts_of(*route, *endpoint, counts))
            .chain([old])
    });
    EvidenceReport {
        service_name: service.to_string(),
        revision: revision as i64,
        answers: answers.take(MOST_COUNTS).collect(),
    }
}

fn counts_of(route: u64, endpoint: u64, counts: &Counts) -> AnswerCounts {
    let whole = counts.whole.buckets();
    AnswerCounts {
        route: route as i64,
        endpoint: endpoint as i64,
        failed: counts.failed as i64,
        whole: whole.map(|(b, n)| (i32::from(b), n as i64)).collect(),
    }
}

/// Evidence as it was heard.
pub(crate) fn received_evidence(reported: &EvidenceReport) -> Evidence {
    let mut evidence = Evidence::default();
    for counts in &reported.answers {
        let buckets = counts.whole.iter();
        let buckets =
            buckets.filter_map(|(b, n)| Some((u8::try_from(*b).ok()?, (*n).max(0) as u64)));
        let heard = Counts {
            failed: counts.failed.max(0) as u64,
            whole: Histogram::of(buckets),
        };
        let route = evidence.routes.entry(counts.route as u64).or_default();
        match counts.endpoint {
            0 => route.old.add(&heard),
            endpoint => route.new.entry(endpoint as u64).or_default().add(&heard),
        }
    }
    evidence
}

/// The sender's vote on the time of day, as an offset from this gateway's clock in microseconds. The way there makes it lower
/// by some milliseconds.
pub(crate) fn received_day(now: Duration, gossip: &Gossip) -> Option<i64> {
    let day_us = gossip.day_ms?.saturating_mul(1000);
    Some(day_us.saturating_sub(now.as_micros() as i64))
}
