//! Placement of requests, by a coordinator or by this gateway, and its log lines.

use std::time::Duration;

use routing::placement::{link_bytes, Exclusion, Placement, Versions, Work};
use slog::info;
use telemetry::Counter;
use topology::Distance;

use crate::decisions::Outcome;
use crate::job::{Job, Progress};
use crate::sends::Grant;
use crate::traffic::Traffic;
use crate::versions::RequestTraits;

/// A request waits for an endpoint to appear for its latency target divided by this.
const ENDPOINT_WAIT_DIVISOR: u32 = 6;
/// Longest time between two attempts to find an endpoint.
const ENDPOINT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a caller should retry when no endpoint accepts work.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Time after which a caller should retry when no endpoint of the required version accepts work: an endpoint that ended is
/// replaced within some seconds, if at all.
const NO_VERSION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reason why a request was placed on no endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoPlacement {
    /// Message for the caller and the log.
    pub cause: &'static str,
    /// Time after which the caller should retry.
    pub wait: Duration,
}

impl NoPlacement {
    /// No endpoint is ready, or the ready ones have been tried.
    pub const NO_ENDPOINT: NoPlacement = NoPlacement {
        cause: "no endpoint takes work",
        wait: NO_ENDPOINT_RETRY_AFTER,
    };

    /// The coordinators do not know the endpoints yet.
    pub const STARTING: NoPlacement = NoPlacement {
        cause: "the coordinators have just begun",
        wait: NO_ENDPOINT_RETRY_AFTER,
    };

    /// No endpoint of the version that began the stream takes work.
    pub const VERSION_GONE: NoPlacement = NoPlacement {
        cause: "no endpoint of the software version that began the stream takes work",
        wait: NO_VERSION_RETRY_AFTER,
    };

    fn link_full(wait: Duration) -> Self {
        NoPlacement {
            cause: "no endpoint of this region takes work, and the link to others is full",
            wait,
        }
    }
}

impl<D> Traffic<D> {
    /// Places a request, by a coordinator if possible, and obtains a grant to send it; `None` if it cannot be
    /// placed. Waits for a limited time for an endpoint to appear.
    pub async fn place_with_grant(
        &self,
        job: &Job,
        progress: &mut Progress,
    ) -> Option<(Placement, Grant)> {
        loop {
            let placement = self.find_endpoint(job, progress).await.ok()?;
            if let Some(grant) = self.obtain_grant(job, progress, &placement).await {
                return Some((placement, grant));
            }
        }
    }

    /// Finds an endpoint, or the reason why there is none. Returns early if the link to other regions is full,
    /// or if all endpoints are paused until after the deadline.
    pub async fn find_endpoint(
        &self,
        job: &Job,
        progress: &Progress,
    ) -> Result<Placement, NoPlacement> {
        let wait_deadline = self.endpoint_wait_deadline(job);
        loop {
            // Boxed, so that a running request holds no memory for this future.
            let asked = Box::pin(self.request_decision_until_ready(job, progress, true)).await;
            let was_decided = asked.is_some();
            if let Some(decided) = asked {
                match decided.outcome {
                    Outcome::Placed(placement) if progress.allows_version_of(&placement) => {
                        return Ok(placement)
                    }
                    Outcome::LinkFull(wait) => return Err(NoPlacement::link_full(wait)),
                    Outcome::Starting => return Err(NoPlacement::STARTING),
                    Outcome::Placed(_)
                    | Outcome::NoEndpoint
                    | Outcome::OverLimit(_)
                    | Outcome::Outdated(_) => {}
                }
            }
            if self.is_version_gone(job, progress, was_decided) {
                return Err(NoPlacement::VERSION_GONE);
            }
            let now = self.clock.now();
            let (placement, link_wait) = {
                let mut state = self.state.borrow_mut();
                let exclusion = Exclusion {
                    tried: &progress.tried,
                    sent_here: true,
                    ..Exclusion::default()
                };
                let traits = RequestTraits {
                    required_version: progress.required_version.as_deref(),
                    ..job.request_traits()
                };
                let placement = state.choose(now, &job.work, exclusion, traits);
                (placement, state.balancer.link_wait(now, &job.work))
            };
            if let Some(placement) = placement {
                self.record_region_departure(&job.head.id, &job.work, &placement);
                return Ok(placement);
            }
            if let Some(wait) = link_wait {
                return Err(NoPlacement::link_full(wait));
            }
            let pause = self.remaining_pause(job, progress);
            if let Some(left) = pause.filter(|left| now.saturating_add(*left) > wait_deadline) {
                return Err(self.pause_refusal(&job.work.service, left));
            }
            let is_too_late = self.is_too_late_before_stop(job, progress);
            if now >= wait_deadline || now >= job.expiry || is_too_late {
                return Err(NoPlacement::NO_ENDPOINT);
            }
            let changed = self.endpoints_changed.notified();
            let _ = tokio::time::timeout(ENDPOINT_POLL_INTERVAL, changed).await;
        }
    }

    // Whether no endpoint of the required version is known to take work. Gateways that do not hold the endpoints rely on the
    // decision of a coordinator.
    fn is_version_gone(&self, job: &Job, progress: &Progress, was_decided: bool) -> bool {
        let Some(version) = &progress.required_version else {
            return false;
        };
        let state = self.state.borrow();
        let (now, only) = (self.clock.now(), Versions::Only(version));
        let ready = state.balancer.ready_count(now, &job.work.service, only);
        ready == 0 && (was_decided || state.endpoints_known)
    }

    /// Time until which a request waits for an endpoint to appear.
    pub fn endpoint_wait_deadline(&self, job: &Job) -> Duration {
        job.arrived + job.route.target / ENDPOINT_WAIT_DIVISOR
    }

    pub fn log_placed(&self, job: &Job, placement: &Placement) {
        info!(self.log, "placed"; "id" => &job.head.id, "content" => %job.content, "parts" => job.logged_parts(), "route" => &job.route.name,
            "endpoint" => &placement.endpoint, "unread" => placement.unread_tokens,
            "expected_ms" => placement.expected_ms as u64, "weighed" => placement.weighed,
            "slowdown" => placement.slowdown.percent(), "by_coordinator" => placement.is_placed_by_peer, "version" => job.version,
            "software" => &placement.version,
            "hall" => &placement.hall, "distance" => self.distance(&placement.hall),
            "home_ms" => placement.home_ms.map(|ms| ms as u64),
            "usable_ms" => self.ms_until(placement.usable_until));
    }

    fn ms_until(&self, at: Option<Duration>) -> Option<u64> {
        at.map(|at| at.saturating_sub(self.clock.now()).as_millis() as u64)
    }

    /// Logs that a placed request did not leave this gateway, so no endpoint received it.
    pub fn log_not_sent(&self, job: &Job, placement: &Placement) {
        info!(self.log, "not sent"; "id" => &job.head.id, "endpoint" => &placement.endpoint);
    }

    /// Counts and logs a placement in another region, and one kept in this region because the link was full.
    pub fn record_region_departure(&self, id: &str, work: &Work, placement: &Placement) {
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
        let round_trip_ms = {
            let state = self.state.borrow();
            state
                .balancer
                .network_costs()
                .round_trip_ms(&placement.hall)
        };
        info!(self.log, "leaves region"; "id" => id, "service" => &work.service,
            "hall" => &placement.hall, "bytes" => placement.link_bytes, "way_ms" => round_trip_ms as u64,
            "expected_ms" => placement.expected_ms as u64,
            "home_ms" => placement.home_ms.map(|ms| ms as u64));
    }

    // Distance of a hall, for the log.
    fn distance(&self, hall: &str) -> &'static str {
        let state = self.state.borrow();
        match state.balancer.network_costs().topology().distance(hall) {
            Distance::SameHall => "hall",
            Distance::SameRegion => "region",
            Distance::OtherRegion => "other region",
        }
    }
}
