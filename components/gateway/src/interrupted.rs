//! Finds out whether an endpoint ended when it interrupted an answer.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quarantine::EndedRun;
use routing::placement::Placement;
use slog::info;
use telemetry::Counter;
use tokio::task::JoinHandle;
use transport::BodyEnd;

use crate::connection_pool::ReserveError;
use crate::endpoint_run::ReceivedAnswer;
use crate::job::SharedJob;
use crate::ports::Dialect;
use crate::traffic::Traffic;

/// Time that the next attempt waits for the check. The VM of an ended endpoint refuses a connection within one round trip.
const CHECK_WAIT: Duration = Duration::from_millis(100);
/// Keep-alive time assumed for the connection of a check, on which nothing was sent: long enough for the next request,
/// short enough that the endpoint doesn't close it during one.
const CHECK_KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Time after an endpoint's end within which its record shows the restart: some seconds until it runs, and the delay of the
/// store.
const RESTART_RECORD_TIME: Duration = Duration::from_secs(10);
/// Maximum number of interrupted runs kept; the oldest are dropped first.
const MAX_RUNS: usize = 512;

/// Runs that were interrupted by an endpoint that still accepted connections, for as long as its restart may be reported.
#[derive(Debug, Default)]
pub(crate) struct InterruptedRuns {
    runs: VecDeque<InterruptedRun>,
}

/// What a check of an endpoint that closed a connection shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndCheck {
    /// It refuses connections, or its record shows that it started again.
    Ended,
    /// It accepts connections.
    Accepts,
    /// The pool allows no connection now, or this gateway has lost its paths to the endpoints.
    Unknown,
}

impl EndCheck {
    fn has_ended(self) -> Option<bool> {
        match self {
            EndCheck::Ended => Some(true),
            EndCheck::Accepts => Some(false),
            EndCheck::Unknown => None,
        }
    }
}

#[derive(Debug)]
struct InterruptedRun {
    run: EndedRun,
    at: Duration,
}

impl InterruptedRuns {
    fn add(&mut self, now: Duration, run: EndedRun) {
        self.runs.retain(|run| now < run.at + RESTART_RECORD_TIME);
        if self.runs.len() >= MAX_RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back(InterruptedRun { run, at: now });
    }

    // Removes and returns the runs of an ended process.
    fn remove(&mut self, now: Duration, incarnation: u64) -> Vec<EndedRun> {
        let is_current = |run: &&InterruptedRun| {
            run.run.endpoint == incarnation && now < run.at + RESTART_RECORD_TIME
        };
        let found = self.runs.iter().filter(is_current);
        let ended = found.map(|run| run.run.clone()).collect();
        self.runs.retain(|run| run.run.endpoint != incarnation);
        ended
    }
}

impl<D> Traffic<D> {
    /// Records that an endpoint's process with this incarnation has ended, as its record shows.
    pub fn record_restart(&self, now: Duration, incarnation: u64) {
        self.metrics.count(Counter::EndpointRestarts);
        self.endpoint_restarted.notify_waiters();
        let runs = self.state.borrow_mut().cuts.remove(now, incarnation);
        for run in runs {
            self.record_endpoint_end(run);
        }
    }

    /// Waits until the endpoint of a placement is known to have restarted. Its runs are lost then, even if the connection
    /// reports nothing.
    pub async fn wait_for_restart(&self, placement: &Placement) {
        loop {
            let changed = self.endpoint_restarted.notified();
            if self.has_restarted(placement) {
                return;
            }
            changed.await;
        }
    }

    fn has_restarted(&self, placement: &Placement) -> bool {
        self.state.borrow().balancer.has_restarted_since(placement)
    }
}

impl<D: Dialect + 'static> Traffic<D> {
    /// Checks whether an endpoint that interrupted an answer has ended. The check runs on if the caller disconnects; the
    /// next attempt waits up to `CHECK_WAIT` for it.
    pub async fn check_after_interruption(
        self: &Rc<Self>,
        job: &SharedJob,
        placement: &Placement,
        received: ReceivedAnswer,
    ) {
        let check = self.spawn_check(job, placement, received);
        // A slower check goes on in the background.
        let _ = tokio::time::timeout(CHECK_WAIT, check).await;
    }

    fn spawn_check(
        self: &Rc<Self>,
        job: &SharedJob,
        placement: &Placement,
        received: ReceivedAnswer,
    ) -> JoinHandle<()> {
        let (traffic, job, placement) = (Rc::clone(self), Rc::clone(job), placement.clone());
        tokio::task::spawn_local(async move {
            if traffic.was_leaving(&placement) {
                return;
            }
            let check = traffic.check_end(&job, &placement).await;
            let has_ended = check.has_ended();
            info!(traffic.log, "endpoint cut an answer off"; "id" => &job.head.id, "content" => %job.content,
                "parts" => job.logged_parts(), "events" => received.events, "marked_by" => received.body_end.map(BodyEnd::as_str),
                "endpoint" => &placement.endpoint, "endpoint_ended" => has_ended);
            let now = traffic.clock.now();
            let run = EndedRun {
                content: job.content,
                endpoint: placement.incarnation,
                parts: match received.has_begun() {
                    true => Vec::new(),
                    false => job.shared_parts.clone(),
                },
                ran_for: now.saturating_sub(received.sent_at),
                is_trial: job.is_trial.get(),
            };
            if has_ended == Some(true) {
                return traffic.record_endpoint_end(run);
            }
            // The endpoint may already have restarted.
            traffic.state.borrow_mut().cuts.add(now, run);
        })
    }

    /// Whether an answer whose body has ended is whole. The close of its connection shows that only if the endpoint, and the
    /// gateway through which the connection went, still run: the end of either closes it as well.
    pub async fn is_whole(
        self: &Rc<Self>,
        job: &SharedJob,
        placement: &Placement,
        received: ReceivedAnswer,
    ) -> bool {
        if received.body_end != Some(BodyEnd::Close) {
            return true;
        }
        let check = match received.relay {
            Some(relay) => self.check_through(relay, placement).await,
            None => {
                let (traffic, job, placement) =
                    (Rc::clone(self), Rc::clone(job), placement.clone());
                // A task, since the check counts a connection that it opens, also if the caller leaves meanwhile.
                let check =
                    tokio::task::spawn_local(
                        async move { traffic.check_end(&job, &placement).await },
                    );
                check.await.unwrap_or(EndCheck::Unknown)
            }
        };
        let is_whole = check == EndCheck::Accepts;
        if !is_whole {
            self.check_after_interruption(job, placement, received)
                .await;
        }
        is_whole
    }

    async fn check_end(&self, job: &SharedJob, placement: &Placement) -> EndCheck {
        match self.has_restarted(placement) {
            true => EndCheck::Ended,
            false => self.try_connection(job, placement).await,
        }
    }

    // Whether a gateway still opens connections to an endpoint for this one.
    async fn check_through(&self, relay: SocketAddr, placement: &Placement) -> EndCheck {
        if self.has_restarted(placement) {
            return EndCheck::Ended;
        }
        match self.try_tunnel(relay, placement.address).await {
            true => EndCheck::Accepts,
            false => EndCheck::Unknown,
        }
    }

    async fn try_connection(&self, job: &SharedJob, placement: &Placement) -> EndCheck {
        let max = self.max_endpoint_connections(job);
        let endpoint = &placement.endpoint;
        let reserved = self.state.borrow_mut().pool.reserve(endpoint, max);
        // The endpoint has closed a connection that the pool may still count.
        let is_counted = match reserved {
            Ok(_) => true,
            Err(ReserveError::Full) => false,
            Err(ReserveError::NoMemory) => return EndCheck::Unknown,
        };
        let opened = self.open_connection(&job.head.id, placement).await;
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        match opened {
            Ok(opened) => {
                let keep_alive = Some(CHECK_KEEP_ALIVE);
                if is_counted {
                    state.pool.put_idle(now, endpoint, opened, keep_alive);
                }
                EndCheck::Accepts
            }
            Err(unreachable) => {
                if is_counted {
                    state.pool.record_closed(endpoint);
                }
                match unreachable.is_endpoint_fault {
                    true => EndCheck::Ended,
                    false => EndCheck::Unknown,
                }
            }
        }
    }

    // Whether the endpoint announced that it leaves, in an answer or in its record, or its record is gone: then its end isn't
    // caused by what it ran. A gateway that doesn't follow endpoints doesn't know the record.
    fn was_leaving(&self, placement: &Placement) -> bool {
        if self.has_announced_leaving(placement) {
            return true;
        }
        let state = self.state.borrow();
        let known = state.balancer.endpoint(&placement.endpoint);
        state.endpoints_known && !known.is_some_and(|known| known.is_ready())
    }
}
