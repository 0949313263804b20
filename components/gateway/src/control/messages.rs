//! Contents, timing and recipients of gossip messages.
//!
//! A coordinator reports its decisions to the coordinators of all halls, and the state of the store to the
//! gateways of its own hall. Any other gateway reports its counts to the coordinators of its hall.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use routing::placement::Sight;
use schema::messages::{self, Dispatch, Echo, Gossip, HallCount, TopicHead, WindowUsage};

use crate::control::{ControlState, Shared};
use crate::gossip;
use crate::ports::{Orders, Store};
use crate::sights::{sight_of, MAX_SIGHTS_PER_MESSAGE};

/// Upper limit of datagrams per second that a coordinator sends when nothing is urgent.
const DATAGRAMS_PER_S: f64 = 100.0;
/// Upper limit of datagrams per second with requests that are reported at once.
const URGENT_DATAGRAMS_PER_S: f64 = 500.0;
/// Shortest pause between messages to coordinators.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between messages to coordinators, and the pause between all other messages: a third of the
/// time after which a gateway counts as silent.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// One in this many messages to coordinators holds usage.
const USAGE_EVERY: i64 = 3;
/// Upper limit of peer addresses in one message.
const MAX_ADDRESSES: usize = 3;
/// Upper limit of relays in one message.
const MAX_RELAYS: usize = 3;
/// Count of the newest usage windows that are reported.
const REPORTED_WINDOWS: i64 = 3;
/// Count of messages in which every total is sent at least once, so that lost messages are compensated.
const TOTALS_ROUNDS: usize = 5;

/// Times and counters of the messages that were sent.
#[derive(Debug, Default)]
pub(crate) struct SendState {
    sequence: i64,
    // Last full message and last message with requests to coordinators.
    full_at: Duration,
    requests_at: Duration,
    // Last message to the gateways for which this one decides, or to the coordinators of its hall.
    digest_at: Duration,
    totals: BTreeMap<String, u64>,
    totals_turn: usize,
    usage_turn: i64,
}

impl SendState {
    /// Increases with each message.
    pub fn turn(&self) -> usize {
        self.sequence.max(0) as usize
    }
}

/// Kind of a message, which selects its contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Content {
    /// Requests and totals, for coordinators.
    Requests,
    /// Everything, for coordinators.
    Full,
    /// The state of the store, for gateways that this one decides for.
    Digest,
    /// This gateway's counts and its own decisions, for the coordinators of its hall.
    Report,
    /// Forwarded usage, for the holder of the lease.
    Usage,
}

impl Content {
    // Whether it holds requests and totals; each of these is sent once.
    fn has_requests(self) -> bool {
        matches!(self, Content::Requests | Content::Full | Content::Report)
    }

    // Whether it holds the state of the store and addresses.
    fn has_state(self) -> bool {
        matches!(self, Content::Full | Content::Digest | Content::Report)
    }
}

/// Messages that are due, with their recipients.
pub(crate) type Due = Vec<(Content, BTreeSet<SocketAddr>)>;

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Messages to send now. `changed` is set if the state of the store or the lease changed.
    pub fn due(&self, now: Duration, changed: bool, long_prompt: bool) -> Due {
        let mut state = self.state.borrow_mut();
        // A stopping gateway sends its last counts as often as it can.
        let changed = changed || self.freshness.is_stopping();
        let has_observations = state.observations.take_has_new();
        match state.should_report_to_all_halls(now) {
            true => state.due_of_coordinator(now, changed, long_prompt || has_observations),
            false => state.due_of_member(now, changed || has_observations),
        }
    }

    /// Builds and encodes a message.
    pub fn encoded_message(&self, now: Duration, content: Content) -> Vec<u8> {
        let mut state = self.state.borrow_mut();
        let message = self.build_message(&mut state, now, content);
        schema::encode(&message).unwrap_or_default()
    }

    /// Builds a message.
    pub fn build_message(
        &self,
        state: &mut ControlState,
        now: Duration,
        content: Content,
    ) -> Gossip {
        state.sending.sequence += 1;
        let has_state = content.has_state();
        let coordinates = state.should_report_to_all_halls(now);
        let count = state.peers.hall_count(now);
        let reported_count = HallCount {
            alive: count.alive as i32,
            silent: count.silent as i32,
        };
        Gossip {
            gateway: self.source.gateway.clone(),
            incarnation: self.source.incarnation,
            sequence: state.sending.sequence,
            dispatches: state.dispatches(now, content),
            usage: self.usage_to_send(state, content),
            taken: state.totals_to_send(content),
            lease_epoch: state.lease.order_epoch(now).unwrap_or(0),
            peers: match has_state {
                true => state.addresses_to_send(now),
                false => Vec::new(),
            },
            stopping: self.freshness.is_stopping(),
            heads: has_state.then(|| heads_of(state)),
            reaches_store: Some(state.reaches_store()),
            uptime_ms: Some(now.as_millis() as i64),
            lease: state.lease.head().map(|head| gossip::lease_of(&head)),
            lease_given_up: state.lease.given_up(),
            hall: Some(state.settings.zone.clone()),
            cores_milli: Some(state.settings.cores_milli),
            coordinates: Some(coordinates),
            decisions_port: Some(i32::from(self.decisions_port)),
            hall_count: coordinates.then(|| Box::new(reported_count)),
            // A count that is partly assumed would make members keep to parts that are too small.
            gateways: (coordinates && state.peers.has_counted(now))
                .then(|| state.peers.count(now).gateways() as i32),
            asks: state.peers.preferred_coordinator(now).map(str::to_string),
            forwarded: None,
            rollouts: has_state.then(|| {
                state
                    .rollouts
                    .stage_reports(now)
                    .into_iter()
                    .map(Box::new)
                    .collect()
            }),
            evidence: None,
            echo: state.echo_to_send(now, content),
            engines: match content {
                Content::Full => boxed(state.engine_reports()),
                _ => None,
            },
            contents: match content.has_requests() {
                true => boxed(state.observations.next()),
                false => None,
            },
            held: match has_state {
                true => boxed(state.held_to_send(now)),
                false => None,
            },
            held_parts: match has_state {
                true => boxed(state.held_parts_to_send(now)),
                false => None,
            },
            suspect_parts: match content {
                Content::Digest => state.suspect_parts_to_send(),
                _ => None,
            },
            sights: state.sights_to_send(now, content),
            limits: match content.has_requests() {
                true => state.limits.take(now),
                false => None,
            },
            keeps_accounts: Some(true),
            has_lost_paths: state.has_lost_paths.then_some(true),
            relays: (has_state && coordinates).then(|| state.relays_to_send(now)),
            day_ms: has_state.then(|| (now.as_micros() as i64 + state.day.vote_us()) / 1000),
        }
    }

    // This gateway's usage in the newest windows.
    fn usage_to_send(&self, state: &mut ControlState, content: Content) -> Vec<WindowUsage> {
        let is_turn = match content {
            Content::Report => true,
            Content::Full => {
                state.sending.usage_turn += 1;
                state.sending.usage_turn % USAGE_EVERY == 0
            }
            Content::Requests | Content::Digest | Content::Usage => false,
        };
        if !is_turn && !self.freshness.is_stopping() {
            return Vec::new();
        }
        let newest = state.reporter.window_at(self.clock.wall_time());
        let windows = newest - REPORTED_WINDOWS + 1..=newest;
        let usage = windows.map(|w| gossip::usage_of(w, state.ledger.counts_of(w, &self.source)));
        usage
            .filter(|reported| !reported.begun.is_empty())
            .collect()
    }
}

impl ControlState {
    /// Whether the coordinators of all halls must know what this gateway does.
    pub fn should_report_to_all_halls(&self, now: Duration) -> bool {
        self.peers.is_coordinator(now) || self.lease.order_epoch(now).is_some()
    }

    /// Whether addresses that other gateways report are contacted. Where the list is read by halls, a gateway
    /// that hears a coordinator of its hall needs no others.
    pub fn should_contact_addresses(&self, now: Duration) -> bool {
        let is_coordinated =
            || self.peers.has_live_own_coordinator(now) && !self.should_report_to_all_halls(now);
        !self.topology.has_several_halls() || !is_coordinated()
    }

    fn due_of_member(&mut self, now: Duration, changed: bool) -> Due {
        if !changed && now < self.sending.digest_at + MAX_PAUSE {
            return Due::new();
        }
        self.sending.digest_at = now;
        let coordinators = self.peers.own_coordinators(now);
        self.peers.expect_messages(now, &coordinators);
        let mut due = vec![(Content::Report, coordinators)];
        let unconfirmed = self.peers.unconfirmed_addresses();
        if !unconfirmed.is_empty() {
            due.push((Content::Digest, unconfirmed));
        }
        due
    }

    fn due_of_coordinator(&mut self, now: Duration, changed: bool, long_prompt: bool) -> Due {
        let mut due = Due::new();
        let coordinators = self.peers.coordinators(now);
        let unconfirmed = self.peers.unconfirmed_addresses();
        let targets = coordinators.len() + unconfirmed.len();
        if changed || now >= self.sending.full_at + pause(targets, DATAGRAMS_PER_S) {
            self.sending.full_at = now;
            self.sending.requests_at = now;
            self.peers.expect_messages(now, &coordinators);
            due.push((Content::Full, coordinators));
        } else if long_prompt && now >= self.sending.requests_at + urgent_pause(targets) {
            self.sending.requests_at = now;
            due.push((Content::Requests, coordinators));
        }
        if changed || now >= self.sending.digest_at + MAX_PAUSE {
            self.sending.digest_at = now;
            let members = self.peers.members(now);
            due.push((
                Content::Digest,
                members.union(&unconfirmed).copied().collect(),
            ));
        }
        due
    }

    fn dispatches(&mut self, now: Duration, content: Content) -> Vec<Dispatch> {
        if !content.has_requests() {
            return Vec::new();
        }
        let count = self.unsent_requests.len().min(gossip::MAX_DISPATCHES);
        let dispatches = self.unsent_requests.drain(..count);
        dispatches.map(|s| gossip::dispatch_of(now, &s)).collect()
    }

    /// Queues observations for the next message. Only the newest are kept if none is sent for long.
    pub fn queue_sights(&mut self, sights: Vec<Sight>) {
        self.sights.extend(sights);
        let older = self.sights.len().saturating_sub(MAX_SIGHTS_PER_MESSAGE);
        self.sights.drain(..older);
    }

    // All queued observations, newest first. Each is sent in one message only.
    fn sights_to_send(&mut self, now: Duration, content: Content) -> Option<Vec<messages::Sight>> {
        if !content.has_requests() || self.sights.is_empty() {
            return None;
        }
        let sights = std::mem::take(&mut self.sights);
        let newest = sights.iter().rev();
        Some(newest.map(|s| sight_of(now, s)).collect())
    }

    // Totals that changed, and a part of the others in turn.
    fn totals_to_send(&mut self, content: Content) -> BTreeMap<String, i64> {
        if !content.has_requests() {
            return BTreeMap::new();
        }
        let in_turn = self.sending.totals_turn % TOTALS_ROUNDS;
        if content != Content::Requests {
            self.sending.totals_turn += 1;
        }
        let mut reported = BTreeMap::new();
        for (i, (team, total)) in self.team_totals.iter().enumerate() {
            let is_turn = content != Content::Requests && i % TOTALS_ROUNDS == in_turn;
            if is_turn || self.sending.totals.get(team) != Some(total) {
                reported.insert(team.clone(), *total as i64);
                self.sending.totals.insert(team.clone(), *total);
            }
        }
        reported
    }

    // Messages between coordinators carry echoes, from which the round-trip time between halls is measured.
    fn echo_to_send(&mut self, now: Duration, content: Content) -> Option<Box<Echo>> {
        let echoes = self.echoes.as_mut()?;
        match content {
            Content::Full => echoes.next(now).map(Box::new),
            _ => None,
        }
    }

    // A part of the relays in turn, so that the gateways of a hall without paths don't all ask the same ones.
    fn relays_to_send(&self, now: Duration) -> Vec<String> {
        let turn = self.sending.turn();
        let relays = self.peers.relays_to_report(now, turn, MAX_RELAYS);
        relays.iter().map(SocketAddr::to_string).collect()
    }

    fn addresses_to_send(&self, now: Duration) -> Vec<String> {
        let turn = self.sending.sequence as usize;
        let addresses = self.peers.coordinator_addresses(now, turn, MAX_ADDRESSES);
        addresses.iter().map(SocketAddr::to_string).collect()
    }
}

// The pause grows with the number of targets, so that the rate of datagrams stays constant.
fn pause(targets: usize, per_s: f64) -> Duration {
    let pause = Duration::from_secs_f64(targets as f64 / per_s);
    pause.clamp(MIN_PAUSE, MAX_PAUSE)
}

// Shortest time between messages that report requests at once.
fn urgent_pause(targets: usize) -> Duration {
    Duration::from_secs_f64(targets as f64 / URGENT_DATAGRAMS_PER_S)
}

fn heads_of(state: &ControlState) -> Vec<TopicHead> {
    let followed = state.followed.iter();
    followed
        .filter_map(|(topic, followed)| gossip::head_of(*topic, followed.reported()?))
        .collect()
}

// Boxes the elements, as the schema requires.
fn boxed<T>(list: Option<Vec<T>>) -> Option<Vec<Box<T>>> {
    Some(list?.into_iter().map(Box::new).collect())
}
