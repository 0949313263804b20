//! Sends to endpoints that state a rate limit for all gateways together.
//!
//! One coordinator keeps the account of such an endpoint, and grants every send to it: limits that each
//! gateway counts by itself would add up to more than the endpoint's limit. A gateway that cannot reach the
//! keeper of the account sends nothing to that endpoint.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use limits::{SendRate, SendTerms, MAX_SEND_ACCOUNTS};
use lru::LruCache;
use notices::LimitNotice;
use routing::placement::Placement;
use schema::messages::{Decision, DecisionReply, PlacedAt, SendQuery, SendReply};
use slog::info;
use telemetry::Counter;
use topology::Distance;

use crate::decisions::{placed_of, OTHER_REGION_REPLY_TIMEOUT, REPLY_TIMEOUT};
use crate::job::{Job, Progress};
use crate::limit_reports::{received_limit, report_of_limit};
use crate::pending_replies::PendingReplies;
use crate::state::State;
use crate::traffic::Traffic;

/// A grant that is not used within this time is lost: a later send would add to the sends granted to others
/// for that time.
const GRANT_LIFETIME: Duration = Duration::from_millis(250);
/// After this many refused grants, a request excludes each endpoint that refuses it.
const MAX_REFUSED_GRANTS: usize = 3;
/// Time for which an endpoint is skipped whose keeper does not reply or is not known.
const KEEPER_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Send queries without a reply yet, and the keepers that coordinators reported.
#[derive(Debug)]
pub(crate) struct SendQueries {
    pub replies: PendingReplies<SendReply>,
    // By the endpoint's incarnation hash. At most as many as there can be accounts.
    keepers: RefCell<LruCache<u64, SocketAddr>>,
}

impl Default for SendQueries {
    fn default() -> Self {
        SendQueries {
            replies: PendingReplies::default(),
            keepers: RefCell::new(LruCache::unbounded()),
        }
    }
}

impl SendQueries {
    /// Sets the keeper of the account of an endpoint's limit, as reported by a coordinator.
    pub fn set_keeper(&self, start: u64, keeper: Option<SocketAddr>) {
        let mut keepers = self.keepers.borrow_mut();
        match keeper {
            Some(keeper) => keepers.put(start, keeper),
            None => keepers.pop(&start),
        };
        if keepers.len() > MAX_SEND_ACCOUNTS {
            keepers.pop_lru();
        }
    }

    fn keeper(&self, start: u64) -> Option<SocketAddr> {
        self.keepers.borrow_mut().get(&start).copied()
    }
}

/// Gateway that keeps the account of an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Keeper {
    /// This gateway, with its own address.
    Own(SocketAddr),
    /// Another coordinator, with the address for queries.
    Other(SocketAddr),
}

/// Result of asking whether a request may be sent under the endpoint's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Grant {
    /// The endpoint stated no limit.
    #[default]
    Unlimited,
    /// One send was granted, at this time.
    Granted(Duration),
    /// No send was granted.
    Refused,
}

impl Keeper {
    /// Address for queries.
    pub fn address(self) -> SocketAddr {
        match self {
            Keeper::Own(address) | Keeper::Other(address) => address,
        }
    }
}

impl State {
    /// The keeper of the account of an endpoint in a data hall, as far as this gateway knows: a live
    /// coordinator of that hall, chosen by rendezvous hashing, or one of any hall if there is none.
    pub fn keeper(&self, start: u64, hall: &str) -> Option<Keeper> {
        let all = &self.fleet.keepers;
        let near = all.iter().filter(|keeper| keeper.hall == hall);
        let names = near.map(|keeper| keeper.name.as_str());
        let first = routing::rank(start, names, 1).pop().or_else(|| {
            let names = all.iter().map(|keeper| keeper.name.as_str());
            routing::rank(start, names, 1).pop()
        })?;
        let chosen = all.iter().find(|keeper| keeper.name == first)?;
        Some(match chosen.name == self.settings.name {
            true => Keeper::Own(chosen.address),
            false => Keeper::Other(chosen.address),
        })
    }

    /// Charges a send to an account that this gateway keeps. The error is the time after which to ask again.
    fn grant(
        &mut self,
        now: Duration,
        start: u64,
        rate: SendRate,
        urgent: bool,
    ) -> Result<(), Duration> {
        let terms = SendTerms {
            rate,
            part: self.fleet.part,
            urgent,
        };
        self.accounts.take(now, start, terms)
    }
}

impl<D> Traffic<D> {
    // Requests a grant for one send, if the endpoint stated a limit.
    async fn request_grant(&self, job: &Job, placement: &Placement) -> Grant {
        let now = self.clock.now();
        let start = placement.incarnation;
        let (limit, keeper) = {
            let state = self.state.borrow();
            let keeper = match state.fleet.decides {
                true => state.keeper(start, &placement.hall),
                false => self.send_queries.keeper(start).map(Keeper::Other),
            };
            (state.balancer.notices().limit_notice(start), keeper)
        };
        let Some((rate, limit)) = limit.and_then(|limit| Some((limit.rate?, limit))) else {
            return Grant::Unlimited;
        };
        let granted = match keeper {
            Some(Keeper::Own(_)) => {
                let mut state = self.state.borrow_mut();
                state.grant(now, start, rate, job.is_urgent())
            }
            Some(Keeper::Other(address)) => self.ask_keeper(address, job, placement, &limit).await,
            None => {
                self.report_limit(limit);
                Err(KEEPER_RETRY_DELAY)
            }
        };
        info!(self.log, "send asked for"; "id" => &job.head.id, "endpoint" => &placement.endpoint,
            "per_s" => rate.per_s(), "keeper" => ?keeper, "granted" => granted.is_ok(),
            "wait_ms" => granted.err().map(|wait| wait.as_millis() as u64),
            "ms" => self.clock.now().saturating_sub(now).as_millis() as u64);
        let Err(wait) = granted else {
            self.metrics.count(Counter::SendsGranted);
            return Grant::Granted(now);
        };
        self.metrics.count(Counter::SendsRefused);
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state
            .balancer
            .notices_mut()
            .record_limit_exhausted(now, start, wait);
        Grant::Refused
    }

    /// Obtains a grant to send a job to an endpoint; `None` if the job has to be placed again.
    pub async fn obtain_grant(
        &self,
        job: &Job,
        progress: &mut Progress,
        placement: &Placement,
    ) -> Option<Grant> {
        if !self.is_limited(placement) {
            return Some(Grant::Unlimited);
        }
        // Boxed, so that it takes memory only for endpoints with a limit.
        let grant = Box::pin(self.request_grant(job, placement)).await;
        if grant != Grant::Refused {
            return Some(grant);
        }
        progress.ungranted += 1;
        if progress.ungranted >= MAX_REFUSED_GRANTS {
            progress.tried.push(placement.endpoint.clone());
        }
        None
    }

    /// Whether a grant is still valid. Checked right before a send: the endpoint may have stated a limit in
    /// the meantime, and a process that was suspended may hold an expired grant.
    pub fn is_granted(&self, placement: &Placement, grant: Grant) -> bool {
        match grant {
            Grant::Refused => false,
            Grant::Granted(at) => self.clock.now() < at + GRANT_LIFETIME,
            Grant::Unlimited => !self.is_limited(placement),
        }
    }

    fn is_limited(&self, placement: &Placement) -> bool {
        let state = self.state.borrow();
        state
            .balancer
            .notices()
            .limit(placement.incarnation)
            .is_some()
    }

    async fn ask_keeper(
        &self,
        keeper: SocketAddr,
        job: &Job,
        placement: &Placement,
        limit: &LimitNotice,
    ) -> Result<(), Duration> {
        let replies = &self.send_queries.replies;
        let number = replies.next_number();
        let query = SendQuery {
            number,
            limit: report_of_limit(self.clock.now(), limit),
            hall: placement.hall.clone(),
            urgent: job.is_urgent(),
            request: job.head.id.clone(),
        };
        let message = Decision {
            send_query: Some(query),
            ..Decision::default()
        };
        let reply = replies.register(number);
        self.send_decision(&message, keeper).await;
        let reply_timeout = match self.is_in_other_region(&placement.hall) {
            true => OTHER_REGION_REPLY_TIMEOUT,
            false => REPLY_TIMEOUT,
        };
        let Some(reply) = replies.wait(reply_timeout, number, reply).await else {
            return Err(KEEPER_RETRY_DELAY);
        };
        let now = self.clock.now();
        if let Some(known) = received_limit(now, &reply.limit) {
            self.record_limit(&known);
        }
        match reply.retry_ms {
            None => Ok(()),
            Some(ms) => Err(Duration::from_millis(ms.max(0) as u64)),
        }
    }

    /// Records a limit that an endpoint stated to this or another gateway. Returns whether it was news.
    pub fn record_limit(&self, limit: &LimitNotice) -> bool {
        let mut state = self.state.borrow_mut();
        state.balancer.notices_mut().record_limit(limit)
    }

    /// Queues a limit for the coordinators: in the next tally on a coordinator, in the next query on other
    /// gateways.
    pub fn report_limit(&self, limit: LimitNotice) {
        let mut state = self.state.borrow_mut();
        match state.fleet.decides {
            true => state.tally.limits.push(limit),
            false => self.pending_limits.borrow_mut().push(limit),
        }
    }

    fn is_in_other_region(&self, hall: &str) -> bool {
        let state = self.state.borrow();
        let topology = state.balancer.network_costs().topology();
        topology.distance(hall) == Distance::OtherRegion
    }

    /// Answers a send query about an endpoint whose account this gateway keeps. A gateway that is not the
    /// keeper refuses the send for now. Returns `None` on a gateway that is not a coordinator, or if the
    /// reported limit is invalid.
    pub fn answer_send(&self, query: &SendQuery) -> Option<SendReply> {
        let now = self.clock.now();
        let asked = received_limit(now, &query.limit)?;
        let start = asked.start;
        self.record_limit(&asked);
        let mut state = self.state.borrow_mut();
        if !state.fleet.decides {
            return None;
        }
        let known = state
            .balancer
            .notices()
            .limit_notice(start)
            .unwrap_or(asked);
        let keeps = matches!(state.keeper(start, &query.hall), Some(Keeper::Own(_)));
        let granted = match known.rate {
            None => Ok(()),
            Some(_) if !keeps => Err(KEEPER_RETRY_DELAY),
            Some(rate) => state.grant(now, start, rate, query.urgent),
        };
        drop(state);
        info!(self.log, "send decided"; "id" => &query.request, "start" => start, "keeps" => keeps,
            "per_s" => known.rate.map(SendRate::per_s), "granted" => granted.is_ok(),
            "wait_ms" => granted.err().map(|wait| wait.as_millis() as u64));
        Some(SendReply {
            number: query.number,
            retry_ms: granted.err().map(|wait| wait.as_millis() as i64 + 1),
            limit: report_of_limit(now, &known),
        })
    }

    /// Records the limit of the endpoint that a coordinator placed a request on, and the keeper of its
    /// account.
    pub fn record_placed_limit(&self, reply: &DecisionReply) {
        let placed = reply.placed.as_ref();
        let Some(report) = placed.and_then(|placed| placed.limit.as_ref()) else {
            return;
        };
        let Some(limit) = received_limit(self.clock.now(), report) else {
            return;
        };
        let keeper = placed.and_then(|placed| placed.keeper.as_ref());
        let keeper = keeper.and_then(|keeper| keeper.parse().ok());
        self.send_queries.set_keeper(limit.start, keeper);
        self.record_limit(&limit);
    }

    /// Encodes a placement for a message, with the limit of its endpoint and the keeper that grants sends.
    pub fn placed_with_limit(
        &self,
        now: Duration,
        service: &str,
        placement: &Placement,
    ) -> PlacedAt {
        let state = self.state.borrow();
        let is_evidence = state.gates.under_way(service).is_some() && !placement.is_cold;
        let placed = PlacedAt {
            software_version: state.version_of(now, placement),
            has_several_versions: Some(state.only_version(now, service).is_none()),
            ..placed_of(placement, is_evidence)
        };
        let start = placement.incarnation;
        let Some(limit) = state.balancer.notices().limit_notice(start) else {
            return placed;
        };
        let keeper = limit
            .rate
            .and_then(|_| state.keeper(start, &placement.hall));
        PlacedAt {
            limit: Some(report_of_limit(now, &limit)),
            keeper: keeper.map(|keeper| keeper.address().to_string()),
            ..placed
        }
    }
}
