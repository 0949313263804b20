//! Decisions about requests, asked of a coordinator and made for others.
//!
//! A query is one datagram, as is its reply. Nothing depends on either: whoever gets no reply in time asks the next
//! coordinator and at last decides itself, with its own small part of the limits.

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

use crate::job::Job;
use crate::limit_reports::received_limits;
use crate::peers::GatewayFleet;
use crate::replies::Replies;
use crate::sights::slowdown_of;
use crate::traffic::Traffic;
use crate::versions::Asked;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 8192;
/// A reply is waited for this long: some hundred times the way within a hall (0.4 ms there and back), so that a
/// slow processor is not taken for a lost datagram, and an eighth of the shortest target on the sheets (100 ms) is
/// left for the next coordinator.
pub(crate) const REPLY_TIME: Duration = Duration::from_millis(40);
/// The same for a coordinator of another region: twice the first guess of the way there and back (60 ms) beside it.
pub(crate) const FAR_REPLY_TIME: Duration = Duration::from_millis(160);
/// A coordinator that did not reply is asked last for this long: as long as it would be heard if it died.
const PASSED_OVER_FOR: Duration = Duration::from_millis(1500);
/// Pause before coordinators that have just begun are asked again.
const STARTING_LOOK: Duration = Duration::from_millis(50);
/// Endpoints that want nothing from the asking gateway, as one query names them: 10 bytes each, so that it stays one small
/// datagram. The gateway looks again before it sends.
const MOST_CLOSED: usize = 48;
/// Coordinators asked about one request: the three of the own hall and two of others.
const MOST_ASKED: usize = 5;

/// What was asked for and not answered yet.
#[derive(Debug, Default)]
pub(crate) struct Asking {
    socket: RefCell<Option<Rc<UdpSocket>>>,
    replies: Replies<DecisionReply>,
    passed_over: RefCell<BTreeMap<SocketAddr, Duration>>,
}

/// What a coordinator decided.
#[derive(Clone, Debug)]
pub(crate) struct Decided {
    /// The coordinator.
    pub by: SocketAddr,
    /// Where the request goes, or why it goes nowhere.
    pub outcome: Outcome,
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    /// To an endpoint.
    Placed(Placement),
    /// No endpoint takes work.
    Nowhere,
    /// Only another region could take it, and the link there has no room for so long.
    LinkFull(Duration),
    /// The team's limit is used up for so long.
    OverLimit(Duration),
    /// The coordinators have just begun, and know too little yet.
    Starting,
}

impl Asking {
    // The coordinators in the order in which they are asked: those that did not reply come last.
    fn order(&self, now: Duration, fleet: &GatewayFleet) -> Vec<SocketAddr> {
        let mut passed_over = self.passed_over.borrow_mut();
        passed_over.retain(|_, until| now < *until);
        let mut order = [fleet.coordinators.as_slice(), &fleet.fallback_deciders].concat();
        order.sort_by_key(|address| passed_over.contains_key(address));
        order.truncate(MOST_ASKED);
        order
    }

    fn pass_over(&self, now: Duration, coordinator: SocketAddr) {
        let mut passed_over = self.passed_over.borrow_mut();
        passed_over.insert(coordinator, now + PASSED_OVER_FOR);
    }
}

impl<D> Traffic<D> {
    /// Asks a coordinator about a request; `None` if there is none or none replies. `charged` says whether its
    /// team was charged for it before.
    pub async fn ask(&self, job: &Job, tried: &[String], charged: bool) -> Option<Decided> {
        let order = {
            let state = self.state.borrow();
            if state.fleet.decides {
                return None;
            }
            self.asking.order(self.clock.now(), &state.fleet)
        };
        let mut starting = None;
        for by in order {
            let query = self.query(job, tried, charged);
            if let Some(reply) = self.send_query(by, query).await {
                // One that has just begun is there, and is no reason to read all endpoints here.
                self.alone.decided(self.clock.now());
                self.take_placed_limit(&reply);
                match outcome_of(&reply)? {
                    Outcome::Starting => starting = Some(by),
                    outcome => return Some(Decided { by, outcome }),
                }
                continue;
            }
            self.asking.pass_over(self.clock.now(), by);
            self.metrics.count(Counter::PacketsDropped);
            info!(self.log, "no decision"; "id" => &job.head.id, "coordinator" => %by);
        }
        if let Some(by) = starting {
            let outcome = Outcome::Starting;
            return Some(Decided { by, outcome });
        }
        self.alone.undecided(self.clock.now());
        None
    }

    /// The same, once a coordinator knows enough; they are asked again until then, for as long as a request waits for an
    /// endpoint.
    pub async fn ask_patiently(
        &self,
        job: &Job,
        tried: &[String],
        charged: bool,
    ) -> Option<Decided> {
        loop {
            let decided = self.ask(job, tried, charged).await;
            let starts = decided
                .as_ref()
                .is_some_and(|d| matches!(d.outcome, Outcome::Starting));
            if !starts || self.clock.now() + STARTING_LOOK >= self.waits_until(job) {
                return decided;
            }
            tokio::time::sleep(STARTING_LOOK).await;
        }
    }

    /// Gives units back that a coordinator charged and that were not used.
    pub async fn give_back_to(&self, by: SocketAddr, team: &str, units: u64) {
        let give_back = GiveBack {
            team: team.to_string(),
            units: units as i64,
        };
        let message = Decision {
            give_back: Some(give_back),
            ..Decision::default()
        };
        self.send_decision(&message, by).await;
    }

    /// Answers queries of others and takes replies.
    pub async fn decide_for_others(self: Rc<Self>, socket: UdpSocket) {
        let socket = Rc::new(socket);
        *self.asking.socket.borrow_mut() = Some(Rc::clone(&socket));
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(REPLY_TIME).await;
                continue;
            };
            let Ok(message) = schema::decode::<Decision>(&buffer[..length]) else {
                self.metrics.count(Counter::PacketsDropped);
                continue;
            };
            if let Some(reply) = message.reply {
                self.asking.replies.take(reply.number, reply);
            }
            if let Some(give_back) = message.give_back {
                self.take_back(&give_back);
            }
            self.take_told(message.sights.as_ref());
            if let Some(reply) = message.send_reply {
                self.sends_asked.replies.take(reply.number, reply);
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

    fn query(&self, job: &Job, tried: &[String], charged: bool) -> DecisionQuery {
        let parts = job.work.parts.iter();
        let excluded = tried.iter().map(|id| endpoint_hash(id) as i64);
        let asked = job.asked();
        DecisionQuery {
            number: self.asking.replies.next_number(),
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
            route: Some(asked.route as i64),
            is_lost_when_cut: Some(asked.is_lost_when_cut),
            hall: self.hall_to_tell(),
            body_bytes: Some(job.body.len().min(i32::MAX as usize) as i32),
            closed: self.closed_to_tell(&job.work.service),
            sights: self.sights.take(self.clock.now()),
            limits: self.untold_limits.borrow_mut().take(self.clock.now()),
        }
    }

    // Endpoints that told this gateway that they leave or want a pause.
    fn closed_to_tell(&self, service: &str) -> Option<Vec<i64>> {
        let now = self.clock.now();
        let state = self.state.borrow();
        let closed = state.board.notices().closed(now, service, MOST_CLOSED);
        let hashes = closed.iter().map(|start| *start as i64);
        (!closed.is_empty()).then(|| hashes.collect())
    }

    // Only where there are several regions.
    fn hall_to_tell(&self) -> Option<String> {
        let state = self.state.borrow();
        let topology = state.board.network_costs().topology();
        let hall = topology.hall().to_string();
        topology.has_several_regions().then_some(hall)
    }

    async fn send_query(&self, by: SocketAddr, query: DecisionQuery) -> Option<DecisionReply> {
        let is_far = self.state.borrow().fleet.far_deciders.contains(&by);
        let reply_time = match is_far {
            true => FAR_REPLY_TIME,
            false => REPLY_TIME,
        };
        let number = query.number;
        let reply = self.asking.replies.expect(number);
        let message = Decision {
            query: Some(query),
            ..Decision::default()
        };
        self.send_decision(&message, by).await;
        let replies = &self.asking.replies;
        replies.within(reply_time, number, reply).await
    }

    /// Sends one datagram; what is lost is asked for again.
    pub async fn send_decision(&self, message: &Decision, to: SocketAddr) {
        let socket = self.asking.socket.borrow().clone();
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

    fn take_back(&self, give_back: &GiveBack) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.give_back(now, &give_back.team, give_back.units.max(0) as u64);
    }

    // A gateway that does not coordinate cannot decide for others, nor can one that has no configuration or endpoints yet:
    // it says so, since it will soon.
    fn decide(&self, query: &DecisionQuery) -> Option<DecisionReply> {
        self.take_told(query.sights.as_ref());
        let now = self.clock.now();
        for limit in received_limits(now, query.limits.as_ref()) {
            if self.take_limit(&limit) {
                self.tell_limit(limit);
            }
        }
        let mut state = self.state.borrow_mut();
        if !state.fleet.decides {
            return None;
        }
        let mut reply = DecisionReply::new(query.number, None, None, None, None);
        if state.directory.is_none() || !state.endpoints_known {
            reply.starting = Some(true);
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
        let topology = state.board.network_costs().topology();
        let asked = Asked {
            route: query.route.unwrap_or_default() as u64,
            is_lost_when_cut: query.is_lost_when_cut.unwrap_or_default(),
            home_region: query
                .hall
                .as_deref()
                .map_or(0, |hall| topology.region_index_of(hall)),
        };
        let work = work_of(query);
        let closed = query.closed.as_deref().unwrap_or_default();
        let placed = state.place_for_other(now, &work, &query.excluded, closed, asked);
        let link_wait = match placed {
            Some(_) => None,
            None => state.board.link_wait(now, &work),
        };
        reply.link_wait_ms = link_wait.map(|wait| wait.as_millis() as i64 + 1);
        drop(state);
        let unread_tokens = placed.as_ref().map_or(0, |placed| placed.unread_tokens);
        let is_long = self.is_long(unread_tokens);
        if let Some(placement) = &placed {
            self.note_departure(&query.request, &work, placement);
        }
        reply.placed = placed
            .as_ref()
            .map(|placed| self.placed_with_limit(now, placed));
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

/// A placement as it is reported.
pub(crate) fn placed_of(placement: &Placement) -> PlacedAt {
    PlacedAt {
        endpoint: placement.endpoint.clone(),
        address: placement.address.to_string(),
        unread_tokens: placement.unread_tokens.min(i32::MAX as u32) as i32,
        shared_prompt: placement.shared_prompt as i64,
        expected_ms: placement.expected_ms as i32,
        hold_ms: placement.hold.as_millis().min(i32::MAX as u128) as i32,
        weighed: placement.weighed as i32,
        version: placement.version.clone().filter(|_| !placement.is_cold),
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
    }
}

// `None` if the reply names no address.
fn outcome_of(reply: &DecisionReply) -> Option<Outcome> {
    if let Some(ms) = reply.retry_ms {
        let wait = Duration::from_millis(ms.max(0) as u64);
        return Some(Outcome::OverLimit(wait));
    }
    if reply.starting == Some(true) {
        return Some(Outcome::Starting);
    }
    if let Some(ms) = reply.link_wait_ms {
        let wait = Duration::from_millis(ms.max(0) as u64);
        return Some(Outcome::LinkFull(wait));
    }
    let Some(placed) = &reply.placed else {
        return Some(Outcome::Nowhere);
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
        version: placed.version.clone(),
        is_cold: false,
        hall: placed.hall.clone().unwrap_or_default(),
        home_ms: placed.home_ms.map(f64::from),
        link_bytes: 0,
        is_link_limited: false,
        slowdown: slowdown_of(placed.slowdown_percent).unwrap_or(Slowdown::NONE),
    }))
}
