//! Sends to endpoints that name a limit for all gateways together.
//!
//! One coordinator keeps the account of such an endpoint, and every send is granted by it: what gateways count for themselves
//! adds up to more than the limit. Whoever cannot reach the keeper sends nothing there.

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

use crate::decisions::{placed_of, FAR_REPLY_TIME, REPLY_TIME};
use crate::job::{Job, Progress};
use crate::limit_reports::{received_limit, report_of_limit};
use crate::pending_replies::PendingReplies;
use crate::state::State;
use crate::traffic::Traffic;

/// A granted send that did not leave by then is lost: later it would count where others were granted the same time.
const GRANT_LIFE: Duration = Duration::from_millis(250);
/// Sends that were not granted, after which a request comes to no endpoint a second time that refuses it.
const MOST_UNGRANTED: usize = 3;
/// An endpoint whose keeper does not reply, or is not known, is passed over for so long.
const KEEPER_PAUSE: Duration = Duration::from_millis(250);

/// Queries that keepers have not replied to yet, and the keepers that coordinators named.
#[derive(Debug)]
pub(crate) struct SendsAsked {
    pub replies: PendingReplies<SendReply>,
    // By the hash of the endpoint's start; as many as there may be accounts.
    keepers: RefCell<LruCache<u64, SocketAddr>>,
}

impl Default for SendsAsked {
    fn default() -> Self {
        SendsAsked {
            replies: PendingReplies::default(),
            keepers: RefCell::new(LruCache::unbounded()),
        }
    }
}

impl SendsAsked {
    /// A coordinator says who keeps the account of an endpoint's limit, or that nobody does.
    pub fn note_keeper(&self, start: u64, keeper: Option<SocketAddr>) {
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

/// Who keeps the account of an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Keeper {
    /// This gateway.
    Own(SocketAddr),
    /// Another coordinator, and where it is asked.
    Other(SocketAddr),
}

/// Whether a request may be sent to an endpoint as far as the endpoint's limit goes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Grant {
    /// The endpoint named no limit.
    #[default]
    Unlimited,
    /// One send was granted at this time.
    Granted(Duration),
    /// None was granted.
    Refused,
}

impl Keeper {
    /// Where it is asked.
    pub fn address(self) -> SocketAddr {
        match self {
            Keeper::Own(address) | Keeper::Other(address) => address,
        }
    }
}

impl State {
    /// Who keeps the account of an endpoint of a data hall, as far as this gateway knows: a coordinator of that hall that is
    /// heard, or of any hall if none is.
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

    /// Charges a send to the account that is kept here, or says when to ask again.
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
    // Has a send granted, if the endpoint named a limit.
    async fn ask_to_send(&self, job: &Job, placement: &Placement) -> Grant {
        let now = self.clock.now();
        let start = placement.incarnation;
        let (limit, keeper) = {
            let state = self.state.borrow();
            let keeper = match state.fleet.decides {
                true => state.keeper(start, &placement.hall),
                false => self.sends_asked.keeper(start).map(Keeper::Other),
            };
            (state.board.notices().limit_notice(start), keeper)
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
                self.tell_limit(limit);
                Err(KEEPER_PAUSE)
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
        state.board.notices_mut().note_spent(now, start, wait);
        Grant::Refused
    }

    /// Has a send of a job granted; `None` if it is to go elsewhere.
    pub async fn grant(
        &self,
        job: &Job,
        progress: &mut Progress,
        placement: &Placement,
    ) -> Option<Grant> {
        if !self.is_limited(placement) {
            return Some(Grant::Unlimited);
        }
        // Boxed, so that it takes memory only where there is a limit.
        let grant = Box::pin(self.ask_to_send(job, placement)).await;
        if grant != Grant::Refused {
            return Some(grant);
        }
        progress.ungranted += 1;
        if progress.ungranted >= MOST_UNGRANTED {
            progress.tried.push(placement.endpoint.clone());
        }
        None
    }

    /// Whether a send is still granted. Looked at last: the endpoint may have named its limit meanwhile, and a process that
    /// stood still holds a grant of another time.
    pub fn is_granted(&self, placement: &Placement, grant: Grant) -> bool {
        match grant {
            Grant::Refused => false,
            Grant::Granted(at) => self.clock.now() < at + GRANT_LIFE,
            Grant::Unlimited => !self.is_limited(placement),
        }
    }

    fn is_limited(&self, placement: &Placement) -> bool {
        let state = self.state.borrow();
        state.board.notices().limit(placement.incarnation).is_some()
    }

    async fn ask_keeper(
        &self,
        keeper: SocketAddr,
        job: &Job,
        placement: &Placement,
        limit: &LimitNotice,
    ) -> Result<(), Duration> {
        let replies = &self.sends_asked.replies;
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
        let reply_time = match self.is_beyond_region(&placement.hall) {
            true => FAR_REPLY_TIME,
            false => REPLY_TIME,
        };
        let Some(reply) = replies.wait(reply_time, number, reply).await else {
            return Err(KEEPER_PAUSE);
        };
        let now = self.clock.now();
        if let Some(known) = received_limit(now, &reply.limit) {
            self.take_limit(&known);
        }
        match reply.retry_ms {
            None => Ok(()),
            Some(ms) => Err(Duration::from_millis(ms.max(0) as u64)),
        }
    }

    /// Takes what an endpoint said of its limit, here or to another gateway. Says whether it is news.
    pub fn take_limit(&self, limit: &LimitNotice) -> bool {
        let mut state = self.state.borrow_mut();
        state.board.notices_mut().note_limit(limit)
    }

    /// Tells those who place requests of a limit.
    pub fn tell_limit(&self, limit: LimitNotice) {
        let mut state = self.state.borrow_mut();
        match state.fleet.decides {
            true => state.tally.limits.push(limit),
            false => self.untold_limits.borrow_mut().push(limit),
        }
    }

    fn is_beyond_region(&self, hall: &str) -> bool {
        let state = self.state.borrow();
        let topology = state.board.network_costs().topology();
        topology.distance(hall) == Distance::OtherRegion
    }

    /// Answers a gateway that asks to send to an endpoint whose account is kept here.
    pub fn answer_send(&self, query: &SendQuery) -> Option<SendReply> {
        let now = self.clock.now();
        let asked = received_limit(now, &query.limit)?;
        let start = asked.start;
        self.take_limit(&asked);
        let mut state = self.state.borrow_mut();
        if !state.fleet.decides {
            return None;
        }
        let known = state.board.notices().limit_notice(start).unwrap_or(asked);
        let keeps = matches!(state.keeper(start, &query.hall), Some(Keeper::Own(_)));
        let granted = match known.rate {
            None => Ok(()),
            Some(_) if !keeps => Err(KEEPER_PAUSE),
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

    /// Takes what a coordinator says of the limit of the endpoint that it placed a request on, and who keeps its account.
    pub fn take_placed_limit(&self, reply: &DecisionReply) {
        let placed = reply.placed.as_ref();
        let Some(report) = placed.and_then(|placed| placed.limit.as_ref()) else {
            return;
        };
        let Some(limit) = received_limit(self.clock.now(), report) else {
            return;
        };
        let keeper = placed.and_then(|placed| placed.keeper.as_ref());
        let keeper = keeper.and_then(|keeper| keeper.parse().ok());
        self.sends_asked.note_keeper(limit.start, keeper);
        self.take_limit(&limit);
    }

    /// A placement as it is reported, with the limit of its endpoint and who grants the send.
    pub fn placed_with_limit(&self, now: Duration, placement: &Placement) -> PlacedAt {
        let state = self.state.borrow();
        let start = placement.incarnation;
        let Some(limit) = state.board.notices().limit_notice(start) else {
            return placed_of(placement);
        };
        let keeper = limit
            .rate
            .and_then(|_| state.keeper(start, &placement.hall));
        PlacedAt {
            limit: Some(report_of_limit(now, &limit)),
            keeper: keeper.map(|keeper| keeper.address().to_string()),
            ..placed_of(placement)
        }
    }
}
