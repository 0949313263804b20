//! Notices that endpoints give in their answers (that they leave, want a pause, or have a rate limit), and
//! their effect on requests.

use std::time::Duration;

use http::StatusCode;
use notices::{Availability, LimitNotice};
use rand::RngExt;
use routing::placement::Placement;
use slog::{info, warn};
use telemetry::Counter;

use crate::job::{Job, Progress};
use crate::placing::NoPlacement;
use crate::ports::{AnswerHead, ReportedLimit};
use crate::traffic::Traffic;

/// Largest random delay that is added to a pause, as a fraction of the pause: without it all callers would
/// return at its end.
const JITTER_FRACTION: f64 = 0.25;
/// Upper limit of that delay.
const MAX_JITTER: Duration = Duration::from_secs(2);

impl<D> Traffic<D> {
    /// Applies the notices in the head of an endpoint's answer. They are stored under the incarnation of the
    /// addressed endpoint, independent of its record in the store. Without this, a gateway that had been told
    /// that an endpoint leaves sent it ten more requests in six seconds, while the store was unreachable.
    pub fn apply_answer_head(
        &self,
        job: &Job,
        placement: &Placement,
        asked_at: Duration,
        status: StatusCode,
        read: &AnswerHead,
    ) {
        self.record_load_report(&job.head.id, placement, read);
        let (id, endpoint) = (&job.head.id, &placement.endpoint);
        if read.not_run {
            info!(self.log, "endpoint turned a request away"; "id" => id, "endpoint" => endpoint,
                "status" => status.as_u16());
        }
        if read.leaving {
            self.apply_leaving(job, placement);
        }
        match &read.pause {
            None => {}
            Some(Ok(pause)) => self.apply_pause(job, placement, *pause),
            Some(Err(fault)) => {
                warn!(self.log, "pause passed over; the endpoint has to name seconds"; "id" => id,
                    "endpoint" => endpoint, "cause" => fault.0);
            }
        }
        let is_answer = read.id.as_deref() == Some(id.as_str());
        if is_answer && read.limit != ReportedLimit::OtherProcess {
            self.apply_fragility(job, placement, read);
        }
        match read.limit {
            // An answer to another request is older than this request, and a limit may have been stated since.
            ReportedLimit::NoLimit if !is_answer => {}
            reported => self.apply_limit(job, placement, asked_at, reported),
        }
    }

    /// Whether an endpoint accepts requests of this gateway. Checked right before a send: the coordinator that
    /// chose the endpoint may not know its notices, and opening a connection takes a while.
    pub fn is_accepting_requests(&self, placement: &Placement) -> bool {
        self.standing(placement) == Availability::Open
    }

    /// Whether an endpoint told this gateway that it leaves.
    pub fn has_announced_leaving(&self, placement: &Placement) -> bool {
        self.standing(placement) == Availability::Leaving
    }

    /// Time until the first endpoint of a job's service accepts requests, if all are paused or their limits
    /// are used up.
    pub fn remaining_pause(&self, job: &Job, progress: &Progress) -> Option<Duration> {
        let now = self.clock.now();
        let state = self.state.borrow();
        let service = &job.work.service;
        let left = match state.endpoints_known {
            true => state.balancer.time_until_open(now, service),
            // A coordinator found no endpoint, so all that it knows are closed to this gateway.
            false if progress.tried.is_empty() => {
                state.balancer.notices().min_time_until_open(now, service)
            }
            // The endpoints that the job was tried on may be open.
            false => None,
        };
        left.filter(|left| !left.is_zero())
    }

    /// Refusal of a request while all endpoints of its service are paused or their limits are used up.
    pub fn pause_refusal(&self, service: &str, left: Duration) -> NoPlacement {
        let jitter = left.mul_f64(JITTER_FRACTION).min(MAX_JITTER);
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let part = state.rng.random::<f64>();
        let notices = state.balancer.notices();
        let is_fragile = notices.max_refusals_per_s(now, service).is_some();
        NoPlacement {
            cause: match state.balancer.notices().has_exhausted_limit(now, service) {
                true => "the limits that the endpoints named are used up",
                false if is_fragile => "the endpoints have no room",
                false => "the endpoints asked for a pause",
            },
            wait: left.saturating_add(jitter.mul_f64(part)),
        }
    }

    fn standing(&self, placement: &Placement) -> Availability {
        let state = self.state.borrow();
        let notices = state.balancer.notices();
        notices.availability(self.clock.now(), placement.incarnation)
    }

    fn apply_leaving(&self, job: &Job, placement: &Placement) {
        self.metrics.count(Counter::LeavingAnnounced);
        let mut state = self.state.borrow_mut();
        state.pool.drop_idle(&placement.endpoint);
        let notices = state.balancer.notices_mut();
        if notices.record_leaving(placement.incarnation, &job.work.service) {
            info!(self.log, "endpoint says that it leaves"; "id" => &job.head.id,
                "endpoint" => &placement.endpoint);
        }
    }

    fn apply_limit(
        &self,
        job: &Job,
        placement: &Placement,
        asked_at: Duration,
        reported: ReportedLimit,
    ) {
        let (id, endpoint) = (&job.head.id, &placement.endpoint);
        let rate = match reported {
            ReportedLimit::OtherProcess => return,
            ReportedLimit::NoLimit => None,
            ReportedLimit::Limit(rate) => {
                self.metrics.count(Counter::LimitReported);
                info!(self.log, "endpoint names a limit"; "id" => id, "endpoint" => endpoint,
                    "per_s" => rate.per_s());
                Some(rate)
            }
            ReportedLimit::Fault(fault) => {
                warn!(self.log, "limit passed over; the endpoint has to name requests a second"; "id" => id,
                    "endpoint" => endpoint, "cause" => fault.0);
                return;
            }
        };
        let limit = LimitNotice {
            start: placement.incarnation,
            service: job.work.service.clone(),
            rate,
            asked_at,
        };
        if !self.record_limit(&limit) {
            return;
        }
        if rate.is_none() {
            info!(self.log, "endpoint names no limit any more"; "id" => id, "endpoint" => endpoint);
        }
        self.report_limit(limit);
    }

    fn apply_fragility(&self, job: &Job, placement: &Placement, read: &AnswerHead) {
        let (id, endpoint, service) = (&job.head.id, &placement.endpoint, &job.work.service);
        let stated = match read.max_refusals_per_s {
            None => None,
            Some(Ok(max_refusals)) => Some(max_refusals),
            Some(Err(fault)) => {
                warn!(self.log, "fragility passed over; the endpoint has to name requests"; "id" => id,
                    "endpoint" => endpoint, "cause" => fault.0);
                return;
            }
        };
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let gateways = state.equal_share.gateways().max(state.fleet.gateways);
        let notices = state.balancer.notices_mut();
        if notices.record_fragility(now, service, stated) {
            info!(self.log, "endpoints state how many requests they can turn away"; "id" => id,
                "endpoint" => endpoint, "service" => service, "per_s" => stated);
        }
        if !read.not_run {
            return;
        }
        let pause = notices.record_refusal(now, placement.incarnation, service, gateways);
        if !pause.is_zero() {
            info!(self.log, "fragile endpoint has no room"; "id" => id, "endpoint" => endpoint,
                "gateways" => gateways, "pause_ms" => pause.as_millis() as u64);
        }
    }

    fn apply_pause(&self, job: &Job, placement: &Placement, pause: Duration) {
        self.metrics.count(Counter::PauseRequested);
        info!(self.log, "endpoint asks for a pause"; "id" => &job.head.id,
            "endpoint" => &placement.endpoint, "pause_ms" => pause.as_millis() as u64);
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let notices = state.balancer.notices_mut();
        notices.record_pause(now, placement.incarnation, &job.work.service, pause);
    }
}
