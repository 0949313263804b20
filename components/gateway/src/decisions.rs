//! Placement decisions: requesting them from a coordinator and making them for other gateways.
//!
//! A query is one datagram, and so is its reply. No request depends on either: a gateway that gets no reply in
//! time asks the next coordinator and finally decides itself, within its own small part of the limits.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use routing::placement::{endpoint_hash, Placement, PromptPart, Slowdown, Work};
use schema::messages::{self, Decision, DecisionQuery, DecisionReply, GiveBack, PlacedAt};
use slog::info;
use telemetry::Counter;
use tokio::net::UdpSocket;

use crate::freshness::MaxAges;
use crate::job::{Job, Progress};
use crate::limit_reports::received_limits;
use crate::peers::GatewayFleet;
use crate::pending_replies::PendingReplies;
use crate::sights::slowdown_of;
use crate::traffic::Traffic;
use crate::turns::Turn;
use crate::versions::RequestTraits;

/// Largest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 8192;
/// Reply timeout: about a hundred times the round trip within a hall (0.4 ms), so that a slow processor is not
/// taken for a lost datagram. It leaves an eighth of the shortest latency target in use (100 ms) for the next
/// coordinator.
pub(crate) const REPLY_TIMEOUT: Duration = Duration::from_millis(40);
/// Reply timeout for a coordinator of another region: adds twice the initial estimate of the round trip
/// between regions (60 ms).
pub(crate) const OTHER_REGION_REPLY_TIMEOUT: Duration = Duration::from_millis(160);
/// A coordinator that did not reply is asked last for this time, which is how long a gateway that died still
/// counts as alive.
const UNRESPONSIVE_TIME: Duration = Duration::from_millis(1500);
/// Delay before coordinators that have just started are asked again.
const STARTING_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of endpoints per query that are reported as closed to this gateway. They take 10 bytes each,
/// so the query stays one small datagram. The gateway checks them again before it sends.
const MAX_CLOSED: usize = 48;
/// Maximum number of coordinators asked about one request: the three of the own hall and two of other halls.
const MAX_COORDINATORS_ASKED: usize = 5;
/// Maximum number of coordinators that a coordinator with outdated records asks about one request.
const MAX_COORDINATORS_ASKED_BY_COORDINATOR: usize = 2;

/// Decision queries without a reply yet, and the coordinators that did not reply to earlier ones.
#[derive(Debug, Default)]
pub(crate) struct DecisionQueries {
    socket: RefCell<Option<Rc<UdpSocket>>>,
    replies: PendingReplies<DecisionReply>,
    unresponsive_until: RefCell<BTreeMap<SocketAddr, Duration>>,
}

/// Decision of a coordinator about one request.
#[derive(Clone, Debug)]
pub(crate) struct CoordinatorDecision {
    /// Address of the coordinator.
    pub coordinator: SocketAddr,
    /// Where the request goes, or why it was not placed.
    pub outcome: Outcome,
}

/// Result of placing a request.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    /// Placed on an endpoint.
    Placed(Placement),
    /// No endpoint accepts work.
    NoEndpoint,
    /// Only another region could accept it, and the link to it has no room for this time.
    LinkFull(Duration),
    /// The team's limit is used up for this time.
    OverLimit(Duration),
    /// The coordinator has just started and does not know the configuration or the endpoints yet.
    Starting,
    /// The coordinator's endpoint records are older than asked for; their age, if it was reported.
    Outdated(Option<Duration>),
}

// Coordinators that were asked about one request and did not decide.
#[derive(Debug, Default)]
struct Undecided {
    starting: Option<SocketAddr>,
    // With the age of its records.
    least_outdated: Option<(SocketAddr, Duration)>,
}

impl Undecided {
    fn record_outdated(&mut self, coordinator: SocketAddr, age: Option<Duration>) {
        let age = age.unwrap_or(Duration::MAX);
        if self.least_outdated.is_none_or(|(_, known)| age < known) {
            self.least_outdated = Some((coordinator, age));
        }
    }
}

impl DecisionQueries {
    // The coordinators in the order in which they are asked; those that did not reply recently come last.
    fn query_order(&self, now: Duration, fleet: &GatewayFleet) -> Vec<SocketAddr> {
        let mut unresponsive_until = self.unresponsive_until.borrow_mut();
        unresponsive_until.retain(|_, until| now < *until);
        let mut query_order = [fleet.coordinators.as_slice(), &fleet.fallback_deciders].concat();
        query_order.sort_by_key(|address| unresponsive_until.contains_key(address));
        query_order.truncate(MAX_COORDINATORS_ASKED);
        query_order
    }

    // Those of the coordinators that replied recently or were not asked.
    fn responsive(
        &self,
        now: Duration,
        coordinators: impl Iterator<Item = SocketAddr>,
    ) -> impl Iterator<Item = SocketAddr> {
        let unresponsive_until = self.unresponsive_until.borrow().clone();
        coordinators.filter(move |address| {
            let until = unresponsive_until.get(address);
            until.is_none_or(|until| now >= *until)
        })
    }

    fn mark_unresponsive(&self, now: Duration, coordinator: SocketAddr) {
        let mut unresponsive_until = self.unresponsive_until.borrow_mut();
        unresponsive_until.insert(coordinator, now + UNRESPONSIVE_TIME);
    }
}

impl<D> Traffic<D> {
    /// Requests a decision from the coordinators, one after the other. Returns `None` if this gateway decides
    /// itself or no coordinator replies. `charged` says whether the team has been charged for the request
    /// already.
    pub async fn request_decision(
        &self,
        job: &Job,
        progress: &Progress,
        charged: bool,
    ) -> Option<CoordinatorDecision> {
        let decides = self.state.borrow().fleet.decides;
        let max_age = self.max_record_age();
        if decides && !self.has_outdated_records(max_age) {
            return None;
        }
        let mut undecided = Undecided::default();
        for coordinator in self.query_order() {
            let query = self.query(job, progress, charged, max_age);
            let Some(outcome) = self.ask(coordinator, job, query).await else {
                continue;
            };
            match outcome {
                Outcome::Starting => undecided.starting = Some(coordinator),
                Outcome::Outdated(age) => {
                    self.record_outdated(job, coordinator, age);
                    undecided.record_outdated(coordinator, age);
                }
                outcome => {
                    return Some(CoordinatorDecision {
                        coordinator,
                        outcome,
                    })
                }
            }
        }
        if decides {
            return None;
        }
        if let Some((coordinator, _)) = undecided.least_outdated {
            // No gateway that was asked knows newer records.
            let query = self.query(job, progress, charged, None);
            if let Some(outcome) = self.ask(coordinator, job, query).await {
                return Some(CoordinatorDecision {
                    coordinator,
                    outcome,
                });
            }
        }
        if let Some(coordinator) = undecided.starting {
            let outcome = Outcome::Starting;
            return Some(CoordinatorDecision {
                coordinator,
                outcome,
            });
        }
        self.alone.record_no_decision(self.clock.now());
        None
    }

    // The coordinators in the order in which they are asked. One that decides itself asks those of all halls.
    fn query_order(&self) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let fleet = &state.fleet;
        if !fleet.decides {
            return self.decision_queries.query_order(self.clock.now(), fleet);
        }
        let others = fleet
            .keepers
            .iter()
            .filter(|keeper| keeper.name != state.settings.name);
        let addresses = others.map(|keeper| keeper.address);
        self.decision_queries
            .responsive(self.clock.now(), addresses)
            .take(MAX_COORDINATORS_ASKED_BY_COORDINATOR)
            .collect()
    }

    // Maximum age of the records that a request may be placed from. Any age will do while this gateway is cut off from the store
    // and from all that reach it: it would find no newer records.
    fn max_record_age(&self) -> Option<Duration> {
        let max_age = MaxAges::of(&self.state.borrow().settings).endpoints;
        let is_in_contact = self.freshness.is_confirmed(self.clock.now(), max_age);
        is_in_contact.then_some(max_age)
    }

    fn has_outdated_records(&self, max_age: Option<Duration>) -> bool {
        let now = self.clock.now();
        let record_age = self.state.borrow().record_age;
        max_age.is_some_and(|max_age| record_age.is_outdated(now, max_age))
    }

    // Sends a query to a coordinator; `None` if there is no valid reply.
    async fn ask(
        &self,
        coordinator: SocketAddr,
        job: &Job,
        query: DecisionQuery,
    ) -> Option<Outcome> {
        let asked_at = self.clock.now();
        let max_age = query.max_age_ms.map(received_ms);
        let Some(reply) = self.send_query(coordinator, query).await else {
            self.decision_queries
                .mark_unresponsive(self.clock.now(), coordinator);
            self.metrics.count(Counter::PacketsDropped);
            info!(self.log, "no decision"; "id" => &job.head.id, "coordinator" => %coordinator);
            return None;
        };
        // A coordinator that has just started is alive, so this gateway need not follow all endpoints itself.
        self.alone.record_decision(self.clock.now());
        self.record_placed_limit(&reply);
        self.record_several_versions(&job.work.service, &reply);
        let usable_for = max_age.zip(record_age_of(&reply));
        let usable_for = usable_for.map(|(max_age, age)| max_age.saturating_sub(age));
        match outcome_of(&reply)? {
            Outcome::Placed(placement) => Some(Outcome::Placed(Placement {
                usable_until: usable_for.map(|time| asked_at + time),
                ..placement
            })),
            outcome => Some(outcome),
        }
    }

    fn record_outdated(&self, job: &Job, coordinator: SocketAddr, age: Option<Duration>) {
        self.metrics.count(Counter::OutdatedDecisions);
        info!(self.log, "coordinator has outdated records"; "id" => &job.head.id, "coordinator" => %coordinator,
            "records_ms_ago" => age.map(|age| age.as_millis() as u64));
    }

    /// Whether the records that a request was placed from have become too old to send it. Checked right before a send.
    pub fn is_outdated(&self, placement: &Placement) -> bool {
        let now = self.clock.now();
        placement.usable_until.is_some_and(|until| now >= until)
    }

    /// Requests a decision, and repeats that while the coordinators are starting, until the deadline for an
    /// endpoint to appear.
    pub async fn request_decision_until_ready(
        &self,
        job: &Job,
        progress: &Progress,
        charged: bool,
    ) -> Option<CoordinatorDecision> {
        loop {
            let decided = self.request_decision(job, progress, charged).await;
            let is_starting = decided
                .as_ref()
                .is_some_and(|d| matches!(d.outcome, Outcome::Starting));
            if !is_starting
                || self.clock.now() + STARTING_RETRY_DELAY >= self.endpoint_wait_deadline(job)
            {
                return decided;
            }
            tokio::time::sleep(STARTING_RETRY_DELAY).await;
        }
    }

    /// Returns units that a coordinator charged and that were not used.
    pub async fn give_back_to(&self, coordinator: SocketAddr, team: &str, units: u64) {
        let give_back = GiveBack {
            team: team.to_string(),
            units: units as i64,
        };
        let message = Decision {
            give_back: Some(give_back),
            ..Decision::default()
        };
        self.send_decision(&message, coordinator).await;
    }

    /// Handles the datagrams of the decision port: queries of other gateways, and replies to queries of this
    /// one.
    pub async fn serve_decisions(self: Rc<Self>, socket: UdpSocket)
    where
        D: 'static,
    {
        let socket = Rc::new(socket);
        *self.decision_queries.socket.borrow_mut() = Some(Rc::clone(&socket));
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut turn = Turn::default();
        loop {
            turn.step().await;
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(REPLY_TIMEOUT).await;
                continue;
            };
            let Ok(message) = schema::decode::<Decision>(&buffer[..length]) else {
                self.metrics.count(Counter::PacketsDropped);
                continue;
            };
            if let Some(reply) = message.reply {
                self.decision_queries.replies.deliver(reply.number, reply);
            }
            if let Some(give_back) = message.give_back {
                self.apply_give_back(&give_back);
            }
            self.apply_reported_sights(message.sights.as_ref());
            if let Some(report) = &message.stream_report {
                self.receive_stream_report(report, from).await;
            }
            if let Some(query) = message.stream_query {
                tokio::task::spawn_local(Rc::clone(&self).answer_stream_query(query, from));
            }
            if let Some(reply) = message.stream_reply {
                self.stream_origins.deliver(reply);
            }
            if let Some(reply) = message.send_reply {
                self.send_queries.replies.deliver(reply.number, reply);
            }
            let send_query = message.send_query.as_ref();
            if let Some(reply) = send_query.and_then(|query| self.answer_send(query)) {
                let message = Decision {
                    send_reply: Some(reply),
                    ..Decision::default()
                };
                self.send_decision(&message, from).await;
            }
            if let Some(reply) = message.query.and_then(|query| self.decide(&query)) {
                let message = Decision {
                    reply: Some(reply),
                    ..Decision::default()
                };
                self.send_decision(&message, from).await;
            }
        }
    }

    fn query(
        &self,
        job: &Job,
        progress: &Progress,
        charged: bool,
        max_age: Option<Duration>,
    ) -> DecisionQuery {
        let parts = job.work.parts.iter();
        let excluded = progress.tried.iter().map(|id| endpoint_hash(id) as i64);
        let traits = job.request_traits();
        DecisionQuery {
            number: self.decision_queries.replies.next_number(),
            service_name: job.work.service.clone(),
            team: job.tenant.clone().filter(|_| !charged),
            cost: job.cost as i64,
            urgent: job.is_urgent(),
            prompt_tokens: job.work.prompt_tokens as i32,
            answer_tokens: job.work.answer_tokens as i32,
            parts: parts
                .map(|part| messages::PromptPart {
                    id: part.id as i64,
                    tokens: part.tokens as i32,
                })
                .collect(),
            excluded: excluded.collect(),
            request: job.head.id.clone(),
            route: Some(traits.route as i64),
            is_lost_when_cut: Some(traits.is_lost_when_cut),
            hall: self.reported_hall(),
            body_bytes: Some(job.body.len().min(i32::MAX as usize) as i32),
            closed: self.reported_closed(&job.work.service),
            sights: self.pending_sights.take(self.clock.now()),
            limits: self.pending_limits.borrow_mut().take(self.clock.now()),
            software_version: progress.required_version.clone(),
            can_continue: Some(job.can_continue()),
            max_age_ms: max_age.map(reported_ms),
        }
    }

    // Hashes of the endpoints that told this gateway that they leave or want a pause.
    fn reported_closed(&self, service: &str) -> Option<Vec<i64>> {
        let now = self.clock.now();
        let state = self.state.borrow();
        let closed = state
            .balancer
            .notices()
            .unavailable(now, service, MAX_CLOSED);
        let hashes = closed.iter().map(|start| *start as i64);
        (!closed.is_empty()).then(|| hashes.collect())
    }

    // Hall of this gateway, needed by coordinators only if there are several regions.
    fn reported_hall(&self) -> Option<String> {
        let state = self.state.borrow();
        let topology = state.balancer.network_costs().topology();
        let hall = topology.hall().to_string();
        topology.has_several_regions().then_some(hall)
    }

    async fn send_query(
        &self,
        coordinator: SocketAddr,
        query: DecisionQuery,
    ) -> Option<DecisionReply> {
        let is_in_other_region = self
            .state
            .borrow()
            .fleet
            .far_deciders
            .contains(&coordinator);
        let reply_timeout = match is_in_other_region {
            true => OTHER_REGION_REPLY_TIMEOUT,
            false => REPLY_TIMEOUT,
        };
        let number = query.number;
        let reply = self.decision_queries.replies.register(number);
        let message = Decision {
            query: Some(query),
            ..Decision::default()
        };
        self.send_decision(&message, coordinator).await;
        let replies = &self.decision_queries.replies;
        replies.wait(reply_timeout, number, reply).await
    }

    /// Sends one datagram. There is no retransmission: a query without a reply goes to the next coordinator.
    pub async fn send_decision(&self, message: &Decision, to: SocketAddr) {
        let socket = self.decision_queries.socket.borrow().clone();
        let (Some(socket), Ok(bytes)) = (socket, schema::encode(message)) else {
            self.metrics.count(Counter::PacketsDropped);
            return;
        };
        match socket.send_to(&bytes, to).await {
            Ok(_) => {
                self.metrics.count(Counter::PacketsSent);
                self.metrics.add(Counter::BytesSent, bytes.len() as u64);
            }
            Err(_) => self.metrics.count(Counter::PacketsDropped),
        }
    }

    fn apply_give_back(&self, give_back: &GiveBack) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.give_back(now, &give_back.team, give_back.units.max(0) as u64);
    }

    // Decides about a request of another gateway. Returns `None` on a gateway that is not a coordinator. A
    // coordinator without a configuration or endpoints replies that it is starting, since it will know them
    // soon.
    fn decide(&self, query: &DecisionQuery) -> Option<DecisionReply> {
        self.apply_reported_sights(query.sights.as_ref());
        let now = self.clock.now();
        for limit in received_limits(now, query.limits.as_ref()) {
            if self.record_limit(&limit) {
                self.report_limit(limit);
            }
        }
        let mut state = self.state.borrow_mut();
        if !state.fleet.decides {
            return None;
        }
        let mut reply = DecisionReply {
            number: query.number,
            retry_ms: None,
            placed: None,
            link_wait_ms: None,
            starting: None,
            age_ms: state.record_age.age(now).map(reported_ms),
            outdated: None,
        };
        if state.directory.is_none() || !state.endpoints_known {
            reply.starting = Some(true);
            return Some(reply);
        }
        let max_age = query.max_age_ms.map(received_ms);
        if max_age.is_some_and(|max_age| state.record_age.is_outdated(now, max_age)) {
            reply.outdated = Some(true);
            return Some(reply);
        }
        let cost = query.cost.max(0) as u64;
        let quota = query.team.as_ref().and_then(|t| state.quotas.get_mut(t));
        if let Some(Err(wait)) = quota.map(|quota| quota.take(now, cost, query.urgent)) {
            let team = query.team.as_deref().unwrap_or_default();
            let quota = state.quotas[team].state();
            self.log_limit(now, &query.request, team, cost, &quota);
            reply.retry_ms = Some(wait.as_millis().min(i64::MAX as u128) as i64);
            return Some(reply);
        }
        let topology = state.balancer.network_costs().topology();
        let traits = RequestTraits {
            route: query.route.unwrap_or_default() as u64,
            is_lost_when_cut: query.is_lost_when_cut.unwrap_or_default(),
            home_region: query
                .hall
                .as_deref()
                .map_or(0, |hall| topology.region_index_of(hall)),
            required_version: query.software_version.as_deref(),
            can_continue: query.can_continue.unwrap_or_default(),
        };
        let work = work_of(query);
        let closed = query.closed.as_deref().unwrap_or_default();
        let placed = state.place_for_peer(now, &work, &query.excluded, closed, traits);
        let link_wait = match placed {
            Some(_) => None,
            None => state.balancer.link_wait(now, &work),
        };
        reply.link_wait_ms = link_wait.map(|wait| wait.as_millis() as i64 + 1);
        drop(state);
        let unread_tokens = placed.as_ref().map_or(0, |placed| placed.unread_tokens);
        let is_long = self.is_long(unread_tokens);
        if let Some(placement) = &placed {
            self.record_region_departure(&query.request, &work, placement);
        }
        reply.placed = placed
            .as_ref()
            .map(|placed| self.placed_with_limit(now, &work.service, placed));
        if is_long {
            self.send_tally();
        }
        Some(reply)
    }
}

fn work_of(query: &DecisionQuery) -> Work {
    let parts = query.parts.iter().map(|part| PromptPart {
        id: part.id as u64,
        tokens: part.tokens.max(0) as u32,
    });
    Work {
        service: query.service_name.clone(),
        parts: parts.collect(),
        prompt_tokens: query.prompt_tokens.max(0) as u32,
        answer_tokens: query.answer_tokens.max(0) as u32,
        body_bytes: query.body_bytes.unwrap_or_default().max(0) as u32,
    }
}

fn reported_ms(time: Duration) -> i32 {
    time.as_millis().min(i32::MAX as u128) as i32
}

fn received_ms(ms: i32) -> Duration {
    Duration::from_millis(ms.max(0) as u64)
}

// Age of the endpoint records that a coordinator decided from.
fn record_age_of(reply: &DecisionReply) -> Option<Duration> {
    reply.age_ms.map(received_ms)
}

/// Encodes a placement for a message. `is_evidence` says whether its answer counts as evidence in a roll-out.
pub(crate) fn placed_of(placement: &Placement, is_evidence: bool) -> PlacedAt {
    PlacedAt {
        endpoint: placement.endpoint.clone(),
        address: placement.address.to_string(),
        unread_tokens: placement.unread_tokens.min(i32::MAX as u32) as i32,
        shared_prompt: placement.shared_prompt as i64,
        expected_ms: placement.expected_ms as i32,
        hold_ms: placement.hold.as_millis().min(i32::MAX as u128) as i32,
        weighed: placement.weighed as i32,
        version: placement.version.clone().filter(|_| is_evidence),
        incarnation: Some(placement.incarnation as i64),
        hall: Some(placement.hall.clone()),
        home_ms: placement
            .home_ms
            .map(|ms| ms.min(f64::from(i32::MAX)) as i32),
        slowdown_percent: match placement.slowdown {
            Slowdown::NONE => None,
            slowdown => Some(slowdown.percent() as i32),
        },
        limit: None,
        keeper: None,
        software_version: None,
        has_several_versions: None,
    }
}

// Decodes the result of a reply; `None` if the endpoint's address cannot be parsed.
fn outcome_of(reply: &DecisionReply) -> Option<Outcome> {
    if let Some(ms) = reply.retry_ms {
        let wait = Duration::from_millis(ms.max(0) as u64);
        return Some(Outcome::OverLimit(wait));
    }
    if reply.starting == Some(true) {
        return Some(Outcome::Starting);
    }
    if reply.outdated == Some(true) {
        return Some(Outcome::Outdated(record_age_of(reply)));
    }
    if let Some(ms) = reply.link_wait_ms {
        let wait = Duration::from_millis(ms.max(0) as u64);
        return Some(Outcome::LinkFull(wait));
    }
    let Some(placed) = &reply.placed else {
        return Some(Outcome::NoEndpoint);
    };
    Some(Outcome::Placed(Placement {
        endpoint: placed.endpoint.clone(),
        incarnation: match placed.incarnation {
            Some(incarnation) => incarnation as u64,
            None => endpoint_hash(&placed.endpoint),
        },
        address: placed.address.parse().ok()?,
        unread_tokens: placed.unread_tokens.max(0) as u32,
        shared_prompt: placed.shared_prompt as u64,
        expected_ms: f64::from(placed.expected_ms),
        hold: Duration::from_millis(placed.hold_ms.max(0) as u64),
        weighed: placed.weighed.max(0) as usize,
        is_placed_by_peer: true,
        version: placed.software_version.clone().or(placed.version.clone()),
        // Set if its answer is no evidence in a roll-out.
        is_cold: placed.version.is_none(),
        hall: placed.hall.clone().unwrap_or_default(),
        usable_until: None,
        home_ms: placed.home_ms.map(f64::from),
        link_bytes: 0,
        is_link_limited: false,
        slowdown: slowdown_of(placed.slowdown_percent).unwrap_or(Slowdown::NONE),
    }))
}
