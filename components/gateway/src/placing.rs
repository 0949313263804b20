//! Where a request goes: asked of a coordinator or decided here, and what is said of it.

use std::time::Duration;

use routing::placement::{bytes_across, Placement, Work};
use slog::info;
use telemetry::Counter;
use topology::Distance;

use crate::decisions::Outcome;
use crate::job::{Job, Progress};
use crate::traffic::Traffic;

/// Part of a request's target for which it waits for an endpoint to appear.
const ENDPOINT_WAIT_PART: u32 = 6;
/// Pause between looks for an endpoint.
const ENDPOINT_LOOK: Duration = Duration::from_millis(20);
/// Time to come back when no endpoint takes work.
pub(crate) const NO_ENDPOINT_RETRY: Duration = Duration::from_millis(400);

impl<D> Traffic<D> {
    /// Chooses an endpoint, or has a coordinator do so; waits a little for one to appear.
    pub async fn place(&self, job: &Job, progress: &Progress) -> Option<Placement> {
        self.find(job, progress).await.ok()
    }

    /// The endpoint, or the time after which it is worth to come back. The link is not waited for.
    pub async fn find(&self, job: &Job, progress: &Progress) -> Result<Placement, Duration> {
        let patience = job.arrived + job.route.target / ENDPOINT_WAIT_PART;
        loop {
            if let Some(decided) = self.ask(job, &progress.tried, true).await {
                match decided.outcome {
                    Outcome::Placed(placement) => return Ok(placement),
                    Outcome::LinkFull(wait) => return Err(wait),
                    Outcome::Nowhere | Outcome::OverLimit(_) => {}
                }
            }
            let now = self.clock.now();
            let (placement, link_wait) = {
                let mut state = self.state.borrow_mut();
                let placement = state.choose(now, &job.work, &progress.tried, job.asked());
                (placement, state.board.link_wait(now, &job.work))
            };
            if let Some(placement) = placement {
                self.note_departure(&job.head.id, &job.work, &placement);
                return Ok(placement);
            }
            if let Some(wait) = link_wait {
                return Err(wait);
            }
            if now >= patience || now >= job.expiry {
                return Err(NO_ENDPOINT_RETRY);
            }
            let changed = self.endpoints_changed.notified();
            let _ = tokio::time::timeout(ENDPOINT_LOOK, changed).await;
        }
    }

    /// Logs where a request goes.
    pub fn log_placed(&self, job: &Job, placement: &Placement) {
        info!(self.log, "placed"; "id" => &job.head.id, "content" => %job.content, "route" => &job.route.name,
            "endpoint" => &placement.endpoint, "unread" => placement.unread_tokens,
            "expected_ms" => placement.expected_ms as u64, "weighed" => placement.weighed,
            "by_coordinator" => placement.counted, "version" => job.version,
            "hall" => &placement.hall, "distance" => self.distance(&placement.hall),
            "home_ms" => placement.home_ms.map(|ms| ms as u64));
    }

    /// Counts and logs what was decided about leaving the region.
    pub fn note_departure(&self, id: &str, work: &Work, placement: &Placement) {
        if placement.kept_for_link {
            self.metrics.count(Counter::RegionDeclined);
            info!(self.log, "kept in region, the link has no room"; "id" => id, "service" => &work.service,
                "bytes" => bytes_across(work), "expected_ms" => placement.expected_ms as u64);
        }
        if placement.bytes_across == 0 {
            return;
        }
        self.metrics.count(Counter::RegionSent);
        self.metrics
            .add(Counter::RegionBytes, placement.bytes_across);
        let way_ms = {
            let state = self.state.borrow();
            state.board.ways().round_trip_ms(&placement.hall)
        };
        info!(self.log, "leaves region"; "id" => id, "service" => &work.service,
            "hall" => &placement.hall, "bytes" => placement.bytes_across, "way_ms" => way_ms as u64,
            "expected_ms" => placement.expected_ms as u64,
            "home_ms" => placement.home_ms.map(|ms| ms as u64));
    }

    // How far a hall is, as it is logged.
    fn distance(&self, hall: &str) -> &'static str {
        let state = self.state.borrow();
        match state.board.ways().topology().distance(hall) {
            Distance::SameHall => "hall",
            Distance::SameRegion => "region",
            Distance::OtherRegion => "other region",
        }
    }
}
