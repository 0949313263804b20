//! A request under way at an endpoint, and what its end says.

use std::rc::Rc;
use std::time::Duration;

use rollout::Answer;
use routing::placement::{signal_without_answer, HealthSignal, Placement, Ticket};
use transport::Connection;

use crate::job::SharedJob;
use crate::traffic::Traffic;

/// Shortest time that answers are compared by in a roll-out, in seconds: below it the time is that of the way there and of
/// busy processors. A new version gets a small part of the requests, so its connections rest between them and its quick
/// answers come some ms later; without this, good versions of a service that answers within 1 ms were reverted in 4 of 8
/// runs beside load.
const SHORTEST_TIME_S: f64 = 0.02;

/// A request under way at an endpoint. Dropping it closes the connection, unless it was finished.
pub(crate) struct EndpointRun<D> {
    pub traffic: Rc<Traffic<D>>,
    pub ticket: Ticket,
    pub connection: Option<Connection>,
    /// Whether a connection is counted for it.
    pub reserved: bool,
    /// Whether the head of an answer came.
    pub answered: bool,
    pub health: Option<HealthSignal>,
    pub sent_at: Duration,
    pub placement: Placement,
    pub job: SharedJob,
}

impl<D> EndpointRun<D> {
    /// Says how the endpoint did.
    pub fn set_health(&mut self, health: HealthSignal) {
        self.health = Some(health);
    }

    /// The whole answer was read: the connection rests.
    pub fn finish(mut self, keep_alive: Option<Duration>) {
        if self.traffic.said_it_leaves(&self.placement) {
            // Dropped, the connection closes.
            return;
        }
        let now = self.traffic.clock.now();
        if let Some(connection) = self.connection.take() {
            self.reserved = false;
            let mut state = self.traffic.state.borrow_mut();
            state
                .pool
                .put_idle(now, &self.placement.endpoint, connection, keep_alive);
        }
    }

    /// Its first token, or its whole answer, came.
    pub fn record_first_token(&mut self) {
        let now = self.traffic.clock.now();
        let mut state = self.traffic.state.borrow_mut();
        state.board.first_token(now, &mut self.ticket);
    }

    /// An event of its stream came.
    pub fn record_event(&mut self) {
        let now = self.traffic.clock.now();
        let mut state = self.traffic.state.borrow_mut();
        state.board.event(now, &mut self.ticket);
    }

    // What this run says of its endpoint's version, if a roll-out is under way. The time of an engine's answer is
    // reported in parts of the time expected, since an endpoint of a new version has read no prompts yet.
    fn evidence(&self, now: Duration, way: Duration, health: HealthSignal) -> Option<Answer> {
        let took = now.saturating_sub(self.sent_at + way).as_secs_f64();
        match health {
            HealthSignal::Inconclusive => None,
            HealthSignal::Faulty | HealthSignal::Unresponsive => Some(Answer::Failed),
            HealthSignal::Healthy if self.job.engine => {
                let expected = self.placement.hold.as_secs_f64().max(SHORTEST_TIME_S);
                Some(Answer::Whole(took / expected * 1000.0))
            }
            HealthSignal::Healthy => Some(Answer::Whole(took.max(SHORTEST_TIME_S) * 1000.0)),
        }
    }

    fn health_at_drop(&self, now: Duration) -> HealthSignal {
        let waited = now.saturating_sub(self.sent_at);
        let given = self.job.expiry.saturating_sub(self.sent_at);
        let expected = Duration::from_secs_f64(self.placement.expected_ms / 1000.0);
        match (self.health, self.answered) {
            (Some(health), _) => health,
            (None, true) if now >= self.job.expiry => HealthSignal::Faulty,
            (None, true) => HealthSignal::Inconclusive,
            (None, false) => signal_without_answer(waited, expected, given),
        }
    }
}

impl<D> Drop for EndpointRun<D> {
    fn drop(&mut self) {
        let now = self.traffic.clock.now();
        let health = self.health_at_drop(now);
        let mut state = self.traffic.state.borrow_mut();
        if self.job.engine {
            let route = &self.job.route;
            let whole = route.timeout.saturating_sub(route.target);
            state
                .board
                .stream_ended(now, &self.ticket, route.gap_target, whole);
        }
        state.board.ended(now, &self.ticket, health);
        if health == HealthSignal::Unresponsive {
            // Its other open connections may say nothing either.
            state.pool.drop_idle(&self.placement.endpoint);
        }
        // The way to another region is none of the version's doing.
        let way_ms = state
            .board
            .network_costs()
            .region_round_trip_ms(&self.placement.hall);
        let way = Duration::from_secs_f64(way_ms / 1000.0);
        if let Some(answer) = self.evidence(now, way, health) {
            let (service, route) = (&self.job.work.service, self.job.asked().route);
            let reported = state
                .gates
                .reported(&self.placement, service, route, answer);
            state.tally.reported.extend(reported);
        }
        if self.reserved {
            state.pool.record_closed(&self.placement.endpoint);
        }
    }
}
