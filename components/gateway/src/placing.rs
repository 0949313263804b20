//! Where a request goes: asked of a coordinator or decided here, and what is said of it.

use std::time::Duration;

use routing::placement::{link_bytes, Exclusion, Placement, Work};
use slog::info;
use telemetry::Counter;
use topology::Distance;

use crate::decisions::Outcome;
use crate::job::{Job, Progress};
use crate::sends::Grant;
use crate::traffic::Traffic;

/// Part of a request's target for which it waits for an endpoint to appear.
const ENDPOINT_WAIT_PART: u32 = 6;
/// Pause between looks for an endpoint.
const ENDPOINT_LOOK: Duration = Duration::from_millis(20);
/// Time to come back when no endpoint takes work.
const NO_ENDPOINT_RETRY: Duration = Duration::from_millis(400);

/// Why a request goes to no endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Nowhere {
    /// Shown to the caller and logged.
    pub cause: &'static str,
    /// Time to come back.
    pub wait: Duration,
}

impl Nowhere {
    /// None is ready, or those that are were tried.
    pub const NO_ENDPOINT: Nowhere = Nowhere {
        cause: "no endpoint takes work",
        wait: NO_ENDPOINT_RETRY,
    };

    /// Those who place requests do not know the endpoints yet.
    pub const STARTING: Nowhere = Nowhere {
        cause: "the coordinators have just begun",
        wait: NO_ENDPOINT_RETRY,
    };

    fn link_full(wait: Duration) -> Self {
        Nowhere {
            cause: "no endpoint of this region takes work, and the link to others is full",
            wait,
        }
    }
}

impl<D> Traffic<D> {
    /// Chooses an endpoint that the request may be sent to, or has a coordinator do so; waits a little for one to appear.
    pub async fn place_granted(
        &self,
        job: &Job,
        progress: &mut Progress,
    ) -> Option<(Placement, Grant)> {
        loop {
            let placement = self.find(job, progress).await.ok()?;
            if let Some(grant) = self.grant(job, progress, &placement).await {
                return Some((placement, grant));
            }
        }
    }

    /// The endpoint, or why there is none. Neither the link nor the end of a pause that comes too late is waited for.
    pub async fn find(&self, job: &Job, progress: &Progress) -> Result<Placement, Nowhere> {
        let patience = self.waits_until(job);
        loop {
            // Boxed, so that a request that runs holds no memory for it.
            let asked = Box::pin(self.ask_patiently(job, &progress.tried, true)).await;
            if let Some(decided) = asked {
                match decided.outcome {
                    Outcome::Placed(placement) => return Ok(placement),
                    Outcome::LinkFull(wait) => return Err(Nowhere::link_full(wait)),
                    Outcome::Starting => return Err(Nowhere::STARTING),
                    Outcome::Nowhere | Outcome::OverLimit(_) => {}
                }
            }
            let now = self.clock.now();
            let (placement, link_wait) = {
                let mut state = self.state.borrow_mut();
                let exclusion = Exclusion {
                    tried: &progress.tried,
                    sent_here: true,
                    ..Exclusion::default()
                };
                let placement = state.choose(now, &job.work, exclusion, job.request_traits());
                (placement, state.board.link_wait(now, &job.work))
            };
            if let Some(placement) = placement {
                self.note_departure(&job.head.id, &job.work, &placement);
                return Ok(placement);
            }
            if let Some(wait) = link_wait {
                return Err(Nowhere::link_full(wait));
            }
            let pause = self.pause_left(job, progress);
            if let Some(left) = pause.filter(|left| now.saturating_add(*left) > patience) {
                return Err(self.paused_for(&job.work.service, left));
            }
            if now >= patience || now >= job.expiry {
                return Err(Nowhere::NO_ENDPOINT);
            }
            let changed = self.endpoints_changed.notified();
            let _ = tokio::time::timeout(ENDPOINT_LOOK, changed).await;
        }
    }

    /// Until when a request waits for an endpoint to appear.
    pub fn waits_until(&self, job: &Job) -> Duration {
        job.arrived + job.route.target / ENDPOINT_WAIT_PART
    }

    /// Logs where a request goes.
    pub fn log_placed(&self, job: &Job, placement: &Placement) {
        info!(self.log, "placed"; "id" => &job.head.id, "content" => %job.content, "route" => &job.route.name,
            "endpoint" => &placement.endpoint, "unread" => placement.unread_tokens,
            "expected_ms" => placement.expected_ms as u64, "weighed" => placement.weighed,
            "slowdown" => placement.slowdown.percent(), "by_coordinator" => placement.is_placed_by_peer, "version" => job.version,
            "hall" => &placement.hall, "distance" => self.distance(&placement.hall),
            "home_ms" => placement.home_ms.map(|ms| ms as u64));
    }

    /// Counts and logs what was decided about leaving the region.
    pub fn note_departure(&self, id: &str, work: &Work, placement: &Placement) {
        if placement.is_link_limited {
            self.metrics.count(Counter::RegionDeclined);
            info!(self.log, "kept in region, the link has no room"; "id" => id, "service" => &work.service,
                "bytes" => link_bytes(work), "expected_ms" => placement.expected_ms as u64);
        }
        if placement.link_bytes == 0 {
            return;
        }
        self.metrics.count(Counter::RegionSent);
        self.metrics.add(Counter::RegionBytes, placement.link_bytes);
        let way_ms = {
            let state = self.state.borrow();
            state.board.network_costs().round_trip_ms(&placement.hall)
        };
        info!(self.log, "leaves region"; "id" => id, "service" => &work.service,
            "hall" => &placement.hall, "bytes" => placement.link_bytes, "way_ms" => way_ms as u64,
            "expected_ms" => placement.expected_ms as u64,
            "home_ms" => placement.home_ms.map(|ms| ms as u64));
    }

    // How far a hall is, as it is logged.
    fn distance(&self, hall: &str) -> &'static str {
        let state = self.state.borrow();
        match state.board.network_costs().topology().distance(hall) {
            Distance::SameHall => "hall",
            Distance::SameRegion => "region",
            Distance::OtherRegion => "other region",
        }
    }
}
