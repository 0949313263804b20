//! What endpoints say of themselves in their answers.

use http::StatusCode;
use routing::placement::Placement;
use slog::{info, warn};
use telemetry::Counter;

use crate::job::Job;
use crate::ports::AnswerHead;
use crate::traffic::Traffic;

impl<D> Traffic<D> {
    /// Takes what an endpoint says of itself in an answer.
    pub fn hear(&self, job: &Job, placement: &Placement, status: StatusCode, read: &AnswerHead) {
        let (id, endpoint) = (&job.head.id, &placement.endpoint);
        if read.not_run {
            info!(self.log, "endpoint turned a request away"; "id" => id, "endpoint" => endpoint,
                "status" => status.as_u16());
        }
        if read.leaving {
            self.metrics.count(Counter::LeavingSaid);
            info!(self.log, "endpoint says that it leaves"; "id" => id, "endpoint" => endpoint);
        }
        match &read.pause {
            None => {}
            Some(Ok(pause)) => {
                self.metrics.count(Counter::PauseAsked);
                info!(self.log, "endpoint asks for a pause"; "id" => id, "endpoint" => endpoint,
                    "pause_ms" => pause.as_millis() as u64);
            }
            Some(Err(fault)) => {
                warn!(self.log, "pause passed over; the endpoint has to name seconds"; "id" => id,
                    "endpoint" => endpoint, "cause" => fault.0);
            }
        }
    }
}
