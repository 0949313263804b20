//! A request in flight at an endpoint, and the health signal that its end gives.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use memory::Reservation;
use rollout::Answer;
use routing::placement::{signal_without_answer, HealthSignal, Placement, Ticket};
use slog::info;
use transport::{begins_with_chunk, begins_with_chunk_length, BodyEnd, Connection};

use crate::connecting::OpenedConnection;
use crate::job::SharedJob;
use crate::traffic::Traffic;

/// Lower limit of the answer times that a roll-out compares, in seconds. Below it, network and processor load make up the
/// time. A new version gets few requests, so its connections are idle in between and its quick answers take some ms
/// longer. Without this limit, good versions of a service that answers within 1 ms were reverted in 4 of 8 runs under load.
const MIN_COMPARED_TIME_S: f64 = 0.02;

/// Number of events from which an endpoint has gone on after it began to write the answer.
const EVENTS_OF_BEGUN_ANSWER: u32 = 2;

/// How much of an answer was received, and how.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReceivedAnswer {
    /// When the request was sent.
    pub sent_at: Duration,
    /// Gateway through which the connection goes; `None` for the gateway's own path.
    pub relay: Option<SocketAddr>,
    /// Number of complete events.
    pub events: u32,
    /// What marks the end of the body; `None` before the head.
    pub body_end: Option<BodyEnd>,
}

impl ReceivedAnswer {
    /// Whether the endpoint went on after it had begun to write the answer.
    pub fn has_begun(&self) -> bool {
        self.events >= EVENTS_OF_BEGUN_ANSWER
    }
}

/// A request in flight at an endpoint. Dropping it without [`finish`](Self::finish) closes the connection.
pub(crate) struct EndpointRun<D> {
    pub traffic: Rc<Traffic<D>>,
    pub ticket: Ticket,
    pub connection: Option<Connection>,
    /// How long the connection was idle before; `None` for a new one.
    pub idle_time: Option<Duration>,
    /// Gateway through which the connection goes; `None` for the gateway's own path.
    pub relay: Option<SocketAddr>,
    /// Memory of a connection that counts at the gateway that lent it, not in the pool.
    pub borrowed: Option<Reservation>,
    /// Whether the connection pool counts a connection for it.
    pub is_counted: bool,
    /// Whether the head of an answer was received.
    pub has_answer_head: bool,
    /// Whether a whole answer was received.
    pub has_whole_answer: bool,
    /// Number of complete events that were received.
    pub events: u32,
    /// What marks the end of the answer's body; `None` before its head.
    pub body_end: Option<BodyEnd>,
    pub health: Option<HealthSignal>,
    pub sent_at: Duration,
    pub placement: Placement,
    pub job: SharedJob,
}

impl<D> EndpointRun<D> {
    /// Sets the health signal that the run reports when it is dropped.
    pub fn set_health(&mut self, health: HealthSignal) {
        self.health = Some(health);
    }

    /// Returns the connection to the pool after the whole answer was read.
    pub fn finish(mut self, keep_alive: Option<Duration>) {
        if self.borrowed.is_some() || self.traffic.has_announced_leaving(&self.placement) {
            // The drop closes the connection.
            return;
        }
        let now = self.traffic.clock.now();
        if let Some(connection) = self.connection.take() {
            self.is_counted = false;
            let relay = self.relay;
            let opened = OpenedConnection { connection, relay };
            let mut state = self.traffic.state.borrow_mut();
            state
                .pool
                .put_idle(now, &self.placement.endpoint, opened, keep_alive);
        }
    }

    /// How much of the answer was received.
    pub fn received(&self) -> ReceivedAnswer {
        ReceivedAnswer {
            sent_at: self.sent_at,
            relay: self.relay,
            events: self.events,
            body_end: self.body_end,
        }
    }

    /// Whether the length of the body, which has been read, seems too small: bytes that are no other answer follow it.
    pub fn has_wrong_length(&self) -> bool {
        let connection = self.connection.as_ref();
        self.body_end == Some(BodyEnd::Length)
            && connection.is_some_and(Connection::has_stray_bytes)
    }

    /// Whether a whole body that ends with its connection consists of chunks that the head doesn't announce.
    pub fn has_unannounced_chunks(&self, body: &[u8]) -> bool {
        self.body_end == Some(BodyEnd::Close) && begins_with_chunk(body)
    }

    /// Whether a stream that ends with its connection consists of such chunks, as its first event shows.
    pub fn streams_unannounced_chunks(&self, first_event: &[u8]) -> bool {
        self.body_end == Some(BodyEnd::Close) && begins_with_chunk_length(first_event)
    }

    /// Records that bytes of the endpoint arrived, which proves the path.
    pub fn record_received(&self) {
        if self.relay.is_none() {
            let now = self.traffic.clock.now();
            let mut state = self.traffic.state.borrow_mut();
            state.paths.record_received(now, &self.placement.hall);
        }
    }

    /// Records that the first token, or the whole answer, was received.
    pub fn record_first_token(&mut self) {
        let now = self.traffic.clock.now();
        let mut state = self.traffic.state.borrow_mut();
        state.balancer.first_token(now, &mut self.ticket);
    }

    /// Records that an event of the stream was received.
    pub fn record_event(&mut self) {
        self.events += 1;
        if self.events == EVENTS_OF_BEGUN_ANSWER {
            self.traffic.record_answer_begun(&self.job);
        }
        self.record_received();
        let now = self.traffic.clock.now();
        let mut state = self.traffic.state.borrow_mut();
        state.balancer.event(now, &mut self.ticket);
    }

    // Evidence of this run about its endpoint's version, for a roll-out under way. An engine's answer time is given relative
    // to the expected time, since an endpoint of a new version has no prompts in its cache yet. `round_trip` is the round-trip
    // time to the endpoint's region.
    fn evidence(
        &self,
        now: Duration,
        round_trip: Duration,
        health: HealthSignal,
    ) -> Option<Answer> {
        let elapsed_s = now.saturating_sub(self.sent_at + round_trip).as_secs_f64();
        match health {
            HealthSignal::Inconclusive => None,
            HealthSignal::Faulty | HealthSignal::Unresponsive => Some(Answer::Failed),
            HealthSignal::Healthy if self.job.is_engine => {
                let expected = self.placement.hold.as_secs_f64().max(MIN_COMPARED_TIME_S);
                Some(Answer::Complete(elapsed_s / expected * 1000.0))
            }
            HealthSignal::Healthy => Some(Answer::Complete(
                elapsed_s.max(MIN_COMPARED_TIME_S) * 1000.0,
            )),
        }
    }

    // Logs an attempt that was sent and got no answer, with what is known of its connection.
    fn log_without_answer(&self, now: Duration) {
        let Some(connection) = self.connection.as_ref().filter(|_| !self.has_answer_head) else {
            return;
        };
        let status = connection.tcp_status();
        let acknowledged = status.map(|status| status.acknowledged_ago.as_millis() as u64);
        let ms = |time: Duration| time.as_millis() as u64;
        info!(self.traffic.log, "no answer"; "id" => &self.job.head.id, "endpoint" => &self.placement.endpoint,
            "ms" => ms(now.saturating_sub(self.sent_at)), "idle_ms" => self.idle_time.map(ms),
            "acknowledged_ms_ago" => acknowledged,
            "unacknowledged" => status.map(|status| status.has_unacknowledged));
    }

    // Whether the attempt may have failed because of the path to the endpoint. Then it says nothing about the endpoint's
    // version.
    fn has_path_fault(&self, now: Duration) -> bool {
        let connection = self.connection.as_ref();
        let status = connection.and_then(Connection::tcp_status);
        let is_unacknowledged = status.is_some_and(|status| status.has_unacknowledged);
        let state = self.traffic.state.borrow();
        let is_doubted = state.paths.is_doubted(now, self.placement.address);
        !self.has_whole_answer && (self.relay.is_some() || is_unacknowledged || is_doubted)
    }

    fn health_at_drop(&self, now: Duration) -> HealthSignal {
        let waited = now.saturating_sub(self.sent_at);
        let timeout = self.job.expiry.saturating_sub(self.sent_at);
        let expected = Duration::from_secs_f64(self.placement.expected_ms / 1000.0);
        match (self.health, self.has_answer_head) {
            (Some(health), _) => health,
            (None, true) if now >= self.job.expiry => HealthSignal::Faulty,
            (None, true) => HealthSignal::Inconclusive,
            (None, false) => signal_without_answer(waited, expected, timeout),
        }
    }
}

impl<D> Drop for EndpointRun<D> {
    fn drop(&mut self) {
        let now = self.traffic.clock.now();
        self.log_without_answer(now);
        let health = self.health_at_drop(now);
        let has_path_fault = self.has_path_fault(now);
        let mut state = self.traffic.state.borrow_mut();
        if self.job.is_engine {
            let route = &self.job.route;
            let max_duration = route.timeout.saturating_sub(route.target);
            state
                .balancer
                .stream_ended(now, &self.ticket, route.gap_target, max_duration);
        }
        state.balancer.ended(now, &self.ticket, health);
        if health == HealthSignal::Unresponsive {
            // The endpoint's other open connections may not respond either.
            state.pool.drop_idle(&self.placement.endpoint);
        }
        // The round trip to another region is not caused by the version.
        let round_trip_ms = state
            .balancer
            .network_costs()
            .region_round_trip_ms(&self.placement.hall);
        let round_trip = Duration::from_secs_f64(round_trip_ms / 1000.0);
        let evidence = self.evidence(now, round_trip, health);
        if let Some(answer) =
            evidence.filter(|_| health == HealthSignal::Healthy || !has_path_fault)
        {
            let (service, route) = (&self.job.work.service, self.job.request_traits().route);
            let reported = state
                .gates
                .answer_report(&self.placement, service, route, answer);
            state.tally.rollout_answers.extend(reported);
        }
        if self.is_counted {
            state.pool.record_closed(&self.placement.endpoint);
        }
    }
}
