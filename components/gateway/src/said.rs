//! What endpoints say of themselves in their answers, and what follows for requests.

use std::time::Duration;

use http::StatusCode;
use notices::{LimitNotice, Standing};
use rand::RngExt;
use routing::placement::Placement;
use slog::{info, warn};
use telemetry::Counter;

use crate::job::{Job, Progress};
use crate::placing::Nowhere;
use crate::ports::{AnswerHead, LimitSaid};
use crate::traffic::Traffic;

/// Part of a pause by which those who are to come back after it are spread, at random: they would all come at its end.
const SPREAD_PART: f64 = 0.25;
/// Most of that.
const MOST_SPREAD: Duration = Duration::from_secs(2);

impl<D> Traffic<D> {
    /// Takes what an endpoint says of itself in an answer. It is kept by the start of the endpoint that was meant, whatever
    /// its record says later: without that, ten requests in six seconds went on through the gateway that had been told, to an
    /// endpoint that left while the store was silent, as the logs of a day of faults showed.
    pub fn hear(
        &self,
        job: &Job,
        placement: &Placement,
        asked_at: Duration,
        status: StatusCode,
        read: &AnswerHead,
    ) {
        self.see_load(&job.head.id, placement, read);
        let (id, endpoint) = (&job.head.id, &placement.endpoint);
        if read.not_run {
            info!(self.log, "endpoint turned a request away"; "id" => id, "endpoint" => endpoint,
                "status" => status.as_u16());
        }
        if read.leaving {
            self.hear_leaving(job, placement);
        }
        match &read.pause {
            None => {}
            Some(Ok(pause)) => self.hear_pause(job, placement, *pause),
            Some(Err(fault)) => {
                warn!(self.log, "pause passed over; the endpoint has to name seconds"; "id" => id,
                    "endpoint" => endpoint, "cause" => fault.0);
            }
        }
        let is_answer = read.id.as_deref() == Some(id.as_str());
        match read.limit {
            // A surplus answer was asked for earlier.
            LimitSaid::NoLimit if !is_answer => {}
            said => self.hear_limit(job, placement, asked_at, said),
        }
    }

    /// Whether an endpoint wants requests of this gateway. Looked at last before one is sent: a coordinator that chose it
    /// need not know, and a connection takes a while to open.
    pub fn is_wanted(&self, placement: &Placement) -> bool {
        self.standing(placement) == Standing::Open
    }

    /// Whether an endpoint told this gateway that it leaves.
    pub fn said_it_leaves(&self, placement: &Placement) -> bool {
        self.standing(placement) == Standing::Leaving
    }

    /// Time until the first endpoint of a job's service wants requests, if all of them paused or their limits are used up.
    pub fn pause_left(&self, job: &Job, progress: &Progress) -> Option<Duration> {
        let now = self.clock.now();
        let state = self.state.borrow();
        let service = &job.work.service;
        let left = match state.endpoints_known {
            true => state.board.time_until_open(now, service),
            // A coordinator found none, so all that it knows are closed to this gateway.
            false if progress.tried.is_empty() => state.board.notices().least_pause(now, service),
            // Those that the job was tried at may be open.
            false => None,
        };
        left.filter(|left| !left.is_zero())
    }

    /// Why a request of a service is refused while all its endpoints are paused, or their limits used up.
    pub fn paused_for(&self, service: &str, left: Duration) -> Nowhere {
        let spread = left.mul_f64(SPREAD_PART).min(MOST_SPREAD);
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let part = state.rng.random::<f64>();
        Nowhere {
            cause: match state.board.notices().is_any_spent(now, service) {
                true => "the limits that the endpoints named are used up",
                false => "the endpoints asked for a pause",
            },
            wait: left.saturating_add(spread.mul_f64(part)),
        }
    }

    fn standing(&self, placement: &Placement) -> Standing {
        let state = self.state.borrow();
        let notices = state.board.notices();
        notices.standing(self.clock.now(), placement.incarnation)
    }

    fn hear_leaving(&self, job: &Job, placement: &Placement) {
        self.metrics.count(Counter::LeavingSaid);
        let mut state = self.state.borrow_mut();
        state.pool.drop_idle(&placement.endpoint);
        let notices = state.board.notices_mut();
        if notices.note_leaving(placement.incarnation, &job.work.service) {
            info!(self.log, "endpoint says that it leaves"; "id" => &job.head.id,
                "endpoint" => &placement.endpoint);
        }
    }

    fn hear_limit(&self, job: &Job, placement: &Placement, asked_at: Duration, said: LimitSaid) {
        let (id, endpoint) = (&job.head.id, &placement.endpoint);
        let rate = match said {
            LimitSaid::OtherProcess => return,
            LimitSaid::NoLimit => None,
            LimitSaid::Limit(rate) => {
                self.metrics.count(Counter::LimitNamed);
                info!(self.log, "endpoint names a limit"; "id" => id, "endpoint" => endpoint,
                    "per_s" => rate.per_s());
                Some(rate)
            }
            LimitSaid::Fault(fault) => {
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
        if !self.take_limit(&limit) {
            return;
        }
        if rate.is_none() {
            info!(self.log, "endpoint names no limit any more"; "id" => id, "endpoint" => endpoint);
        }
        self.tell_limit(limit);
    }

    fn hear_pause(&self, job: &Job, placement: &Placement, pause: Duration) {
        self.metrics.count(Counter::PauseAsked);
        info!(self.log, "endpoint asks for a pause"; "id" => &job.head.id,
            "endpoint" => &placement.endpoint, "pause_ms" => pause.as_millis() as u64);
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let notices = state.board.notices_mut();
        notices.note_pause(now, placement.incarnation, &job.work.service, pause);
    }
}
