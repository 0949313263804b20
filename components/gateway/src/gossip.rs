//! Encoding and decoding of the messages between gateways.

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
use crate::tally::SentRequest;

/// Maximum number of dispatches in one message, so that it fits into one datagram.
pub(crate) const MAX_DISPATCHES: usize = 30;

/// Maximum number of processes whose usage is forwarded in one message, so that it fits into one datagram:
/// some 200 bytes each.
pub(crate) const MAX_FORWARDED: usize = 25;

/// Maximum number of answer counts in one message, so that it fits into one datagram: some 60 bytes each.
const MAX_COUNTS: usize = 100;

/// Maximum expected run time of a request that is reported, in milliseconds.
const MAX_HOLD_MS: u128 = 60_000;

/// Encodes a dispatch for a message.
pub(crate) fn dispatch_of(now: Duration, sent: &SentRequest) -> Dispatch {
    Dispatch {
        endpoint: sent.endpoint as i64,
        unread_tokens: sent.unread_tokens.min(i32::MAX as u32) as i32,
        shared_prompt: sent.shared_prompt as i64,
        age_ms: now.saturating_sub(sent.at).as_millis().min(60_000) as i32,
        hold_ms: sent.hold.as_millis().min(MAX_HOLD_MS) as i32,
    }
}

/// Decodes a dispatch.
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

/// Decodes the totals by tenant.
pub(crate) fn received_totals(gossip: &Gossip) -> BTreeMap<String, u64> {
    let totals = gossip.taken.iter();
    totals
        .map(|(tenant, total)| (tenant.clone(), (*total).max(0) as u64))
        .collect()
}

/// Decodes what a message says of its sender, whose address is `from`.
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
        has_lost_paths: gossip.has_lost_paths.unwrap_or_default(),
        relays: parse_addresses(gossip.relays.iter().flatten()),
    }
}

fn decisions_address(port: Option<i32>, gateway: SocketAddr) -> Option<SocketAddr> {
    let port = u16::try_from(port?).ok()?;
    Some(SocketAddr::new(gateway.ip(), port))
}

/// Decodes the row of a gateway in the store.
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

/// Encodes the usage of another process to forward it.
pub(crate) fn forwarded_of(window: i64, source: &Source, counts: &usage::Counts) -> SourceUsage {
    SourceUsage {
        gateway: source.gateway.clone(),
        incarnation: source.incarnation,
        usage: usage_of(window, counts.clone()),
    }
}

/// Decodes forwarded usage: window, process and counts.
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

/// Encodes the row of the lease for a message.
pub(crate) fn lease_of(head: &LeaseHead) -> LeaseReport {
    LeaseReport {
        version: head.version as i64,
        epoch: head.epoch,
        era: reported_era(head.era),
    }
}

/// Decodes the row of the lease that the sender holds.
pub(crate) fn received_lease(gossip: &Gossip) -> Option<LeaseHead> {
    let reported = gossip.lease.as_ref()?;
    Some(LeaseHead {
        version: reported.version.max(0) as u64,
        holder: gossip.gateway.clone(),
        epoch: reported.epoch,
        era: received_era(reported.era),
    })
}

/// Uptime of the sender.
pub(crate) fn uptime(gossip: &Gossip) -> Duration {
    Duration::from_millis(gossip.uptime_ms.unwrap_or(i64::MAX).max(0) as u64)
}

/// Encodes up to where a topic is known; `None` for topics that are not passed between gateways.
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

/// Decodes up to where the sender knows its topics.
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

/// Encodes usage for a message.
pub(crate) fn usage_of(window: i64, begun: BTreeMap<String, i64>) -> WindowUsage {
    WindowUsage { window, begun }
}

/// Decodes addresses; invalid ones are skipped.
pub(crate) fn received_addresses(gossip: &Gossip) -> Vec<SocketAddr> {
    parse_addresses(gossip.peers.iter())
}

fn parse_addresses<'a>(texts: impl Iterator<Item = &'a String>) -> Vec<SocketAddr> {
    texts.filter_map(|text| text.parse().ok()).collect()
}

/// Encodes a stage for a message.
pub(crate) fn stage_of(stage: Stage) -> RolloutStage {
    match stage {
        Stage::Sample => RolloutStage::SAMPLE,
        Stage::SwitchLong => RolloutStage::SWITCH_LONG,
        Stage::SwitchAll => RolloutStage::SWITCH_ALL,
        Stage::Decided(Decision::Completed) => RolloutStage::COMPLETED,
        Stage::Decided(Decision::Reverted) => RolloutStage::REVERTED,
    }
}

/// Decodes a stage; `None` for one that this version does not know.
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

/// Encodes evidence for a message.
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
        answers: answers.take(MAX_COUNTS).collect(),
    }
}

fn counts_of(route: u64, endpoint: u64, counts: &Counts) -> AnswerCounts {
    let whole = counts.complete.buckets();
    AnswerCounts {
        route: route as i64,
        endpoint: endpoint as i64,
        failed: counts.failed as i64,
        whole: whole.map(|(b, n)| (i32::from(b), n as i64)).collect(),
    }
}

/// Decodes evidence.
pub(crate) fn received_evidence(reported: &EvidenceReport) -> Evidence {
    let mut evidence = Evidence::default();
    for counts in &reported.answers {
        let buckets = counts.whole.iter();
        let buckets =
            buckets.filter_map(|(b, n)| Some((u8::try_from(*b).ok()?, (*n).max(0) as u64)));
        let received = Counts {
            failed: counts.failed.max(0) as u64,
            complete: Histogram::from_buckets(buckets),
        };
        let route = evidence.routes.entry(counts.route as u64).or_default();
        match counts.endpoint {
            0 => route.old.add(&received),
            endpoint => route.new.entry(endpoint as u64).or_default().add(&received),
        }
    }
    evidence
}

/// The sender's vote for the wall clock, as an offset from this gateway's clock in microseconds. The network
/// delay lowers it by a few milliseconds.
pub(crate) fn received_day(now: Duration, gossip: &Gossip) -> Option<i64> {
    let day_us = gossip.day_ms?.saturating_mul(1000);
    Some(day_us.saturating_sub(now.as_micros() as i64))
}
