//! Whether an endpoint ended when an answer of it was cut off.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use quarantine::Fingerprint;
use routing::placement::Placement;
use slog::info;
use telemetry::Counter;
use tokio::task::JoinHandle;
use transport::Connection;

use crate::job::SharedJob;
use crate::ports::Dialect;
use crate::traffic::Traffic;

/// Longest time that a connection to the endpoint may take; whoever closed connections and then takes none is gone.
const LOOK_TIME: Duration = Duration::from_millis(400);
/// What is sent on waits this long for the look: an ended endpoint's VM refuses within a way there and back.
const LOOK_WAIT: Duration = Duration::from_millis(100);
/// How long the endpoint is taken to keep a connection on which nothing was sent: long enough for the next request, short
/// enough that it isn't closed under one.
const LOOK_KEEP: Duration = Duration::from_secs(1);
/// A record that says that an endpoint started again comes within this time of its end: some seconds until it runs, and the
/// way through the store.
const RECORD_TIME: Duration = Duration::from_secs(10);
/// Cut answers remembered for that long; the oldest give way.
const MOST_CUTS: usize = 512;

/// What ran where when it was cut off by an endpoint that took connections again.
#[derive(Debug, Default)]
pub(crate) struct InterruptedRuns {
    cuts: VecDeque<Cut>,
}

#[derive(Debug)]
struct Cut {
    content: Fingerprint,
    incarnation: u64,
    at: Duration,
}

impl InterruptedRuns {
    fn note(&mut self, now: Duration, content: Fingerprint, incarnation: u64) {
        self.cuts.retain(|cut| now < cut.at + RECORD_TIME);
        if self.cuts.len() >= MOST_CUTS {
            self.cuts.pop_front();
        }
        self.cuts.push_back(Cut {
            content,
            incarnation,
            at: now,
        });
    }

    // Contents that a process ran which has ended.
    fn take(&mut self, now: Duration, incarnation: u64) -> Vec<Fingerprint> {
        let of_process = |cut: &Cut| cut.incarnation == incarnation && now < cut.at + RECORD_TIME;
        let found = self.cuts.iter().filter(|cut| of_process(cut));
        let contents = found.map(|cut| cut.content).collect();
        self.cuts.retain(|cut| cut.incarnation != incarnation);
        contents
    }
}

impl<D> Traffic<D> {
    /// An endpoint's record says that this start of it has ended.
    pub fn record_restart(&self, now: Duration, incarnation: u64) {
        self.metrics.count(Counter::Restarts);
        self.endpoint_restarted.notify_waiters();
        let contents = self.state.borrow_mut().cuts.take(now, incarnation);
        for content in contents {
            self.record_endpoint_end(content, incarnation);
        }
    }

    /// Waits until it is known that the endpoint of a request started again: what ran there is lost, also where its
    /// connection is silent.
    pub async fn wait_for_restart(&self, placement: &Placement) {
        loop {
            let changed = self.endpoint_restarted.notified();
            if self.is_over(placement) {
                return;
            }
            changed.await;
        }
    }

    fn is_over(&self, placement: &Placement) -> bool {
        self.state.borrow().board.has_restarted_since(placement)
    }
}

impl<D: Dialect + 'static> Traffic<D> {
    /// An endpoint cut an answer off. Looks whether it ended, also if the caller leaves meanwhile; what is sent on next waits
    /// a moment for that.
    pub async fn check_after_interruption(self: &Rc<Self>, job: &SharedJob, placement: &Placement) {
        let look = self.look(job, placement);
        // Slower looks end on their own.
        let _ = tokio::time::timeout(LOOK_WAIT, look).await;
    }

    fn look(self: &Rc<Self>, job: &SharedJob, placement: &Placement) -> JoinHandle<()> {
        let (traffic, job, placement) = (Rc::clone(self), Rc::clone(job), placement.clone());
        tokio::task::spawn_local(async move {
            if traffic.was_to_leave(&placement) {
                return;
            }
            let has_ended = match traffic.is_over(&placement) {
                true => Some(true),
                false => traffic.takes_no_connection(&job, &placement).await,
            };
            info!(traffic.log, "endpoint cut an answer off"; "id" => &job.head.id, "content" => %job.content,
                "endpoint" => &placement.endpoint, "endpoint_ended" => has_ended);
            if has_ended == Some(true) {
                return traffic.record_endpoint_end(job.content, placement.incarnation);
            }
            // It may have started again already.
            let now = traffic.clock.now();
            let mut state = traffic.state.borrow_mut();
            state.cuts.note(now, job.content, placement.incarnation);
        })
    }

    // Whether no connection can be made any more; `None` if none may be opened.
    async fn takes_no_connection(&self, job: &SharedJob, placement: &Placement) -> Option<bool> {
        let most = self.most_connections(job);
        let endpoint = &placement.endpoint;
        let reserved = self.state.borrow_mut().pool.reserve(endpoint, most);
        reserved.ok()?;
        let opened = Connection::open(placement.address, LOOK_TIME).await;
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        match opened {
            Ok(connection) => {
                state
                    .pool
                    .put_idle(now, endpoint, connection, Some(LOOK_KEEP));
                Some(false)
            }
            Err(_) => {
                state.pool.record_closed(endpoint);
                Some(true)
            }
        }
    }

    // Whether the endpoint said that it leaves, in an answer or in its record, or its record is gone: its end says nothing of
    // what it ran. Where endpoints aren't followed the record is not known.
    fn was_to_leave(&self, placement: &Placement) -> bool {
        if self.said_it_leaves(placement) {
            return true;
        }
        let state = self.state.borrow();
        let known = state.board.endpoint(&placement.endpoint);
        state.endpoints_known && !known.is_some_and(|known| known.is_ready())
    }
}
