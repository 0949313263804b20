//! One attempt of a request at one endpoint.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::{response, HeaderMap, HeaderName, Method, Request, Version};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use memory::Kind;
use routing::placement::{HealthSignal, Placement};
use slog::info;
use telemetry::Counter;
use transport::{Answer, Connection, ConnectionError, FullBody};

use crate::buffers::BufferedBody;
use crate::connecting::CONNECT_TIMEOUT;
use crate::endpoint_run::{EndpointRun, ReceivedAnswer};
use crate::events::{Event, EventSplitter};
use crate::job::{Job, SharedJob};
use crate::ports::{AnswerHead, AttemptHead, Dialect};
use crate::retry_permit::RetryPermit;
use crate::sends::Grant;
use crate::traffic::Traffic;

/// Maximum size of a buffered answer, in bytes.
const MAX_WHOLE_ANSWER_BYTES: usize = 8 << 20;
/// Maximum size of a refusal's body, in bytes, that is read so that the connection can be reused.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// Hop-by-hop headers, which aren't forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    http::header::CONNECTION,
    http::header::PROXY_AUTHENTICATE,
    http::header::PROXY_AUTHORIZATION,
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
];
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The events of a stream from one endpoint.
pub(crate) struct EndpointStream<D> {
    pub run: EndpointRun<D>,
    pub keep_alive: Option<Duration>,
    body: Incoming,
    splitter: EventSplitter,
    ready: VecDeque<Event>,
}

/// Next item of a stream.
pub(crate) enum NextEvent {
    /// An event.
    Event(Event),
    /// The complete end of the stream.
    End,
    /// The stream ended without its complete end.
    Broken,
}

impl<D: Dialect + 'static> EndpointStream<D> {
    /// Waits for the next event. Cancel safe.
    pub async fn next(&mut self) -> NextEvent {
        loop {
            if let Some(event) = self.ready.pop_front() {
                self.run.record_event();
                return NextEvent::Event(event);
            }
            let frame = match self.body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return NextEvent::Broken,
                None => return self.end().await,
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            if self.splitter.push(&bytes).is_err() {
                return NextEvent::Broken;
            }
            while let Some(event) = self.splitter.next_event() {
                self.ready.push_back(event);
            }
        }
    }

    async fn end(&self) -> NextEvent {
        let run = &self.run;
        let is_whole = !self.splitter.has_partial_event()
            && !run.has_wrong_length()
            && run
                .traffic
                .is_whole(&run.job, &run.placement, run.received())
                .await;
        match is_whole {
            true => NextEvent::End,
            false => NextEvent::Broken,
        }
    }

    /// Records the complete end of the stream and returns its connection to the pool.
    pub fn finish(mut self) {
        self.run.set_health(HealthSignal::Healthy);
        self.run.finish(self.keep_alive);
    }
}

/// An answer of an endpoint.
pub(crate) enum EndpointAnswer<D> {
    /// A buffered answer.
    Whole {
        head: response::Parts,
        body: BufferedBody,
    },
    /// A stream whose first event was received.
    Events {
        head: response::Parts,
        first: Event,
        events: Box<EndpointStream<D>>,
    },
}

/// Outcome of an attempt.
pub(crate) enum AttemptOutcome<D> {
    /// An answer of the endpoint.
    Answered(EndpointAnswer<D>),
    /// An answer with a server error.
    Failed {
        head: response::Parts,
        body: BufferedBody,
    },
    /// The endpoint reported that it did not run the request.
    NotRun,
    /// Nothing was sent.
    NotSent,
    /// The request was sent and its outcome is unknown.
    Lost(&'static str),
}

/// Options of one attempt.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendOptions {
    /// Id of the last event that was forwarded to the caller; the attempt resumes the stream after it.
    pub last_event: Option<u64>,
    /// Whether the previous attempt got no response. Then idle connections aren't reused: all open connections may stop
    /// responding at once, without a reset, while new ones work.
    pub after_unresponsive: bool,
    /// Whether the endpoint's limit allows the send.
    pub grant: Grant,
    /// The retry of the budget that this attempt uses; none for a first attempt.
    pub permit: Option<Rc<RetryPermit>>,
}

impl<D: Dialect + 'static> Traffic<D> {
    /// Sends a job to its chosen endpoint and aborts the attempt when the endpoint is known to have restarted.
    pub async fn attempt_unless_restarted(
        self: &Rc<Self>,
        job: &SharedJob,
        placement: &Placement,
        options: SendOptions,
    ) -> AttemptOutcome<D> {
        let received = ReceivedAnswer {
            sent_at: self.clock.now(),
            ..ReceivedAnswer::default()
        };
        let cause = tokio::select! {
            biased;
            outcome = self.attempt(job, placement, options) => return outcome,
            () = self.wait_for_restart(placement) => "the endpoint started again",
        };
        self.check_after_interruption(job, placement, received)
            .await;
        AttemptOutcome::Lost(cause)
    }

    /// Sends a job to its chosen endpoint.
    pub async fn attempt(
        self: &Rc<Self>,
        job: &SharedJob,
        placement: &Placement,
        options: SendOptions,
    ) -> AttemptOutcome<D> {
        let mut run = EndpointRun {
            traffic: Rc::clone(self),
            ticket: self.record_sent(job, placement),
            connection: None,
            idle_time: None,
            relay: None,
            borrowed: None,
            is_counted: false,
            has_answer_head: false,
            has_whole_answer: false,
            events: 0,
            body_end: None,
            health: None,
            sent_at: self.clock.now(),
            placement: placement.clone(),
            job: Rc::clone(job),
        };
        if !self.connect(job, placement, &options, &mut run).await {
            return AttemptOutcome::NotSent;
        }
        // While the connection was opened the VM may have been frozen or suspended, and the endpoint may have announced that
        // it takes no more requests, or a limit.
        let can_send = self.is_accepting_requests(placement)
            && self.is_granted(placement, options.grant)
            && !self.is_outdated(placement);
        if !self.can_still_send(job) || !can_send {
            run.set_health(HealthSignal::Inconclusive);
            return AttemptOutcome::NotSent;
        }
        self.metrics.count(Counter::Attempts);
        run.sent_at = self.clock.now();
        let permit = options.permit.as_ref();
        let Some(connection) = run.connection.as_mut() else {
            return AttemptOutcome::NotSent;
        };
        permit.inspect(|permit| permit.record_sent());
        let last_event = options.last_event;
        let sent = self
            .send_request(job, placement, last_event, run.relay, connection)
            .await;
        let Some(sent) = sent else {
            run.set_health(HealthSignal::Inconclusive);
            return AttemptOutcome::Lost("the path to the endpoint was lost");
        };
        let answer = match sent {
            Ok(answer) => answer,
            Err(ConnectionError::Broken(error)) => {
                run.set_health(HealthSignal::Unresponsive);
                info!(self.log, "answer lost"; "id" => &job.head.id,
                    "endpoint" => &placement.endpoint, "cause" => %error);
                self.check_after_interruption(job, placement, run.received())
                    .await;
                return AttemptOutcome::Lost(
                    "the endpoint closed the connection without an answer",
                );
            }
            Err(ConnectionError::Invalid(fault)) => {
                permit.inspect(|permit| permit.record_arrived());
                run.has_answer_head = true;
                run.set_health(HealthSignal::Faulty);
                info!(self.log, "answer invalid"; "id" => &job.head.id,
                    "endpoint" => &placement.endpoint, "cause" => %fault);
                return AttemptOutcome::Lost("the endpoint's answer is invalid");
            }
            Err(_) => {
                permit.inspect(|permit| permit.record_not_sent());
                return AttemptOutcome::NotSent;
            }
        };
        permit.inspect(|permit| permit.record_arrived());
        run.has_answer_head = true;
        run.record_received();
        let Answer {
            head,
            body,
            body_end,
        } = answer;
        run.body_end = Some(body_end);
        let read = self.dialect.read_answer(head.status, &head.headers);
        self.apply_answer_head(job, placement, run.sent_at, head.status, &read);
        if read.id.as_deref() != Some(job.head.id.as_str()) {
            run.set_health(HealthSignal::Faulty);
            return AttemptOutcome::Lost("the endpoint answered another request");
        }
        if read.not_run {
            return self.not_run_answer(run, &read, body).await;
        }
        if !job.route.execution.is_repeatable() {
            // The request runs and isn't sent again; its answer needs the memory.
            job.body.discard();
        }
        // Boxed, so that a running request holds no memory for these futures.
        if job.route.execution.is_stream() && head.status.is_success() {
            return Box::pin(self.first_event(job, run, head, read, body)).await;
        }
        Box::pin(self.whole_answer(job, run, head, read, body)).await
    }

    // Sends the request of a job. Returns `None` if the path to the endpoint is lost and the job can be repeated.
    async fn send_request(
        &self,
        job: &Job,
        placement: &Placement,
        last_event: Option<u64>,
        relay: Option<SocketAddr>,
        connection: &mut Connection,
    ) -> Option<Result<Answer, ConnectionError>> {
        // Pinned in place, since `select` would hold moved futures twice.
        let watched = connection.watch();
        let mut lost_path = pin!(self.wait_for_lost_path(job, placement, relay, watched));
        let mut sending = pin!(connection.send(self.build_request(job, placement, last_event)));
        tokio::select! {
            biased;
            sent = &mut sending => Some(sent),
            () = &mut lost_path => None,
        }
    }

    fn build_request(
        &self,
        job: &Job,
        placement: &Placement,
        last_event: Option<u64>,
    ) -> Request<FullBody> {
        let mut headers = job.parts.headers.clone();
        strip_hop_by_hop_headers(&mut headers);
        let attempt = AttemptHead {
            endpoint: placement.endpoint.clone(),
            remaining: job.expiry.saturating_sub(self.clock.now()),
            tenant: job.tenant.clone(),
            priority: job.priority,
            engine: job.is_engine,
            last_event: last_event.or(job.head.last_event),
        };
        self.dialect.write_attempt(&mut headers, &attempt);
        headers.remove(http::header::EXPECT);
        let has_body = !job.body.is_empty() || headers.contains_key(http::header::CONTENT_LENGTH);
        headers.remove(http::header::CONTENT_LENGTH);
        if has_body {
            headers.insert(http::header::CONTENT_LENGTH, job.body.len().into());
        }
        let mut request = Request::new(FullBody::new(job.body.bytes()));
        *request.method_mut() = job.parts.method.clone();
        *request.uri_mut() = job.parts.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    async fn not_run_answer(
        &self,
        mut run: EndpointRun<D>,
        read: &AnswerHead,
        body: Incoming,
    ) -> AttemptOutcome<D> {
        run.set_health(HealthSignal::Inconclusive);
        let limited = Limited::new(body, MAX_REFUSAL_BYTES).collect();
        // The request waits no longer for the connection to be free than opening another one may take.
        let collected = tokio::time::timeout(CONNECT_TIMEOUT, limited).await;
        if matches!(collected, Ok(Ok(_))) {
            run.finish(read.keep_alive);
        }
        AttemptOutcome::NotRun
    }

    async fn whole_answer(
        self: &Rc<Self>,
        job: &SharedJob,
        mut run: EndpointRun<D>,
        mut head: response::Parts,
        read: AnswerHead,
        body: Incoming,
    ) -> AttemptOutcome<D> {
        let ran_for = self.clock.now().saturating_sub(run.sent_at);
        self.record_begun(job, ran_for);
        let reservation = job.caller.account.reservation(Kind::WholeAnswer);
        let gathered = self
            .room
            .gather(body, reservation, MAX_WHOLE_ANSWER_BYTES, None)
            .await;
        let Ok(body) = gathered else {
            run.set_health(HealthSignal::Faulty);
            self.check_after_interruption(job, &run.placement, run.received())
                .await;
            return AttemptOutcome::Lost("the endpoint broke its answer off");
        };
        if !self.is_whole(job, &run.placement, run.received()).await {
            run.set_health(HealthSignal::Faulty);
            return AttemptOutcome::Lost("nothing shows that the answer is whole");
        }
        if run.has_wrong_length() || run.has_unannounced_chunks(&body.bytes) {
            run.set_health(HealthSignal::Faulty);
            return AttemptOutcome::Lost("the endpoint's answer has a wrong length");
        }
        let failed = head.status.is_server_error();
        if read.altered || (head.status.is_success() && !read.signed) {
            run.set_health(HealthSignal::Faulty);
            return AttemptOutcome::Lost("the answer is not what the endpoint made");
        }
        run.record_first_token();
        run.has_whole_answer = true;
        run.set_health(match failed {
            true => HealthSignal::Faulty,
            false => HealthSignal::Healthy,
        });
        if !failed {
            self.record_completed(job);
        }
        run.finish(read.keep_alive);
        replace_framing(&mut head, &job.parts.method);
        match failed {
            true => AttemptOutcome::Failed { head, body },
            false => AttemptOutcome::Answered(EndpointAnswer::Whole { head, body }),
        }
    }

    async fn first_event(
        self: &Rc<Self>,
        job: &SharedJob,
        run: EndpointRun<D>,
        mut head: response::Parts,
        read: AnswerHead,
        body: Incoming,
    ) -> AttemptOutcome<D> {
        let mut events = EndpointStream {
            run,
            keep_alive: read.keep_alive,
            body,
            splitter: EventSplitter::default(),
            ready: VecDeque::new(),
        };
        if read.altered || !read.signed {
            events.run.set_health(HealthSignal::Faulty);
            return AttemptOutcome::Lost("the answer is not what the endpoint made");
        }
        match events.next().await {
            NextEvent::Event(first) if events.run.streams_unannounced_chunks(&first.bytes) => {
                events.run.set_health(HealthSignal::Faulty);
                AttemptOutcome::Lost("the endpoint's answer has a wrong length")
            }
            NextEvent::Event(first) => {
                events.run.record_first_token();
                self.record_begun(job, Duration::ZERO);
                replace_framing(&mut head, &job.parts.method);
                AttemptOutcome::Answered(EndpointAnswer::Events {
                    head,
                    first,
                    events: Box::new(events),
                })
            }
            end @ (NextEvent::End | NextEvent::Broken) => {
                events.run.set_health(HealthSignal::Faulty);
                if matches!(end, NextEvent::Broken) {
                    let (placement, received) = (&events.run.placement, events.run.received());
                    self.check_after_interruption(job, placement, received)
                        .await;
                }
                AttemptOutcome::Lost("the stream broke off before its first event")
            }
        }
    }
}

// Removes what the head says of the connection to the endpoint: the answer is framed anew for the caller, and a stream may
// go on at another endpoint.
fn replace_framing(head: &mut response::Parts, method: &Method) {
    strip_hop_by_hop_headers(&mut head.headers);
    if method != Method::HEAD {
        head.headers.remove(http::header::CONTENT_LENGTH);
    }
    head.version = Version::HTTP_11;
}

fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
}
