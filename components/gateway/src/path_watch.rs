//! Notices while an attempt waits for its answer that the path to the endpoint is lost.

use std::net::SocketAddr;
use std::time::Duration;

use routing::placement::Placement;
use slog::info;
use transport::WatchedConnection;

use crate::job::Job;
use crate::ports::Dialect;
use crate::traffic::Traffic;

/// A request that the endpoint's kernel has not acknowledged after this time, and twice the round trip to its region,
/// makes the gateway try the path. A lost packet is sent again within that time.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(250);
/// Keep-alive time assumed for a connection that was opened to try the path.
const TRIED_KEEP_ALIVE: Duration = Duration::from_secs(1);

impl<D: Dialect + 'static> Traffic<D> {
    /// Returns once a request that may be repeated was sent over a lost path: the kernel waits for an acknowledgement,
    /// and a new connection to the endpoint can only be opened another way. Otherwise it never returns: an endpoint that
    /// is silent but acknowledges what it receives is waited for.
    pub async fn wait_for_lost_path(
        &self,
        job: &Job,
        placement: &Placement,
        relay: Option<SocketAddr>,
        watched: WatchedConnection,
    ) {
        // Boxed, so that a request that is acknowledged holds no memory for the check.
        while let Some(is_lost) =
            Box::pin(self.check_acknowledgement(job, placement, relay, &watched)).await
        {
            match is_lost {
                true if job.route.execution.is_repeatable() => return,
                // It may have run: the endpoint's answer, or the kernel's verdict, is waited for.
                true => break,
                false => {}
            }
        }
        drop(watched);
        std::future::pending().await
    }

    // Returns whether the path is lost, or `None` if the request is acknowledged.
    async fn check_acknowledgement(
        &self,
        job: &Job,
        placement: &Placement,
        relay: Option<SocketAddr>,
        watched: &WatchedConnection,
    ) -> Option<bool> {
        let timeout = ACKNOWLEDGEMENT_TIMEOUT + 2 * self.region_round_trip(placement);
        tokio::time::sleep(timeout).await;
        let status = watched.tcp_status();
        if !status.is_some_and(|status| status.has_unacknowledged) {
            return None;
        }
        if let Some(relay) = relay {
            let now = self.clock.now();
            self.state.borrow_mut().relays.record_failed(now, relay);
        }
        let is_lost = self.try_path(job, placement, relay).await;
        info!(self.log, "not acknowledged"; "id" => &job.head.id, "endpoint" => &placement.endpoint,
            "relay" => relay.map(|relay| relay.to_string()), "is_path_lost" => is_lost);
        Some(is_lost)
    }

    // Opens a connection and keeps it for the next request. Returns whether it goes another way than `relay`.
    async fn try_path(&self, job: &Job, placement: &Placement, relay: Option<SocketAddr>) -> bool {
        let max = self.max_endpoint_connections(job);
        let endpoint = &placement.endpoint;
        let reserved = self.state.borrow_mut().pool.reserve(endpoint, max);
        if reserved.is_err() {
            return false;
        }
        let opened = self.open_connection(&job.head.id, placement).await;
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        match opened {
            Ok(opened) => {
                let is_other_way = opened.relay != relay;
                let keep_alive = Some(TRIED_KEEP_ALIVE);
                state.pool.put_idle(now, endpoint, opened, keep_alive);
                is_other_way
            }
            Err(_) => {
                state.pool.record_closed(endpoint);
                false
            }
        }
    }
}
