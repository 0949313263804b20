//! One attempt of a request at one endpoint.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use http::{response, HeaderMap, HeaderName, Request};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use memory::Kind;
use routing::placement::{HealthSignal, Placement};
use slog::info;
use telemetry::Counter;
use transport::{ConnectionError, FullBody};

use crate::buffers::BufferedBody;
use crate::endpoint_run::EndpointRun;
use crate::events::{Event, EventSplitter};
use crate::job::{Job, SharedJob};
use crate::ports::{AnswerHead, AttemptHead, Dialect};
use crate::sends::Grant;
use crate::traffic::Traffic;

/// Largest answer that is read as a whole, in bytes.
const MAX_WHOLE_ANSWER: usize = 8 << 20;
/// Largest body of a refusal that is read so that its connection can be kept, in bytes.
const MAX_REFUSAL: usize = 64 << 10;
/// Fields that concern one connection only.
const HOP_FIELDS: [HeaderName; 7] = [
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

/// What a stream brings next.
pub(crate) enum NextEvent {
    /// An event.
    Event(Event),
    /// Its whole end.
    End,
    /// It broke off.
    Broken,
}

impl<D> EndpointStream<D> {
    /// Waits for the next event. Cancelling loses nothing.
    pub async fn next(&mut self) -> NextEvent {
        loop {
            if let Some(event) = self.ready.pop_front() {
                self.run.record_event();
                return NextEvent::Event(event);
            }
            let frame = match self.body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return NextEvent::Broken,
                None if self.splitter.has_partial_event() => return NextEvent::Broken,
                None => return NextEvent::End,
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

    /// The stream ended whole.
    pub fn finish(mut self) {
        self.run.set_health(HealthSignal::Healthy);
        self.run.finish(self.keep_alive);
    }
}

/// What an endpoint answered.
pub(crate) enum EndpointAnswer<D> {
    /// An answer known as a whole.
    Whole {
        head: response::Parts,
        body: BufferedBody,
    },
    /// A stream whose first event has come.
    Events {
        head: response::Parts,
        first: Event,
        events: Box<EndpointStream<D>>,
    },
}

/// How an attempt came out.
pub(crate) enum AttemptOutcome<D> {
    /// An answer of the endpoint.
    Answered(EndpointAnswer<D>),
    /// An answer that says it failed.
    Failed {
        head: response::Parts,
        body: BufferedBody,
    },
    /// The endpoint says that it did not run the request.
    NotRun,
    /// Nothing was sent.
    NotSent,
    /// The request was sent and its outcome is unknown.
    Lost(&'static str),
}

/// What an attempt goes on from.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SendOptions {
    /// Last event that the caller has of this stream.
    pub last_event: Option<u64>,
    /// Whether the attempt before it met silence: then a connection that rested is not trusted. Open connections may
    /// go silent without a reset, all at once, while new ones work.
    pub after_unresponsive: bool,
    /// Whether the limit of the endpoint allows it.
    pub grant: Grant,
}

impl<D: Dialect + 'static> Traffic<D> {
    /// Sends a job to the endpoint chosen for it, and gives it up once that is known to have started again.
    pub async fn attempt_unless_restarted(
        self: &Rc<Self>,
        job: &SharedJob,
        placement: &Placement,
        options: SendOptions,
    ) -> AttemptOutcome<D> {
        let ended = tokio::select! {
            biased;
            attempted = self.attempt(job, placement, options) => return attempted,
            () = self.wait_for_restart(placement) => "the endpoint started again",
        };
        self.check_after_interruption(job, placement).await;
        AttemptOutcome::Lost(ended)
    }

    /// Sends a job to the endpoint chosen for it.
    pub async fn attempt(
        self: &Rc<Self>,
        job: &SharedJob,
        placement: &Placement,
        options: SendOptions,
    ) -> AttemptOutcome<D> {
        let mut run = EndpointRun {
            traffic: Rc::clone(self),
            ticket: self.note_sent(job, placement),
            connection: None,
            reserved: false,
            answered: false,
            health: None,
            sent_at: self.clock.now(),
            placement: placement.clone(),
            job: Rc::clone(job),
        };
        if !self.connect(job, placement, options, &mut run).await {
            return AttemptOutcome::NotSent;
        }
        // Opening a connection takes a while, in which the VM may be frozen or suspended, and the endpoint say that it wants
        // nothing more, or name a limit.
        let is_wanted = self.is_wanted(placement) && self.is_granted(placement, options.grant);
        if !self.can_still_send(job) || !is_wanted {
            run.set_health(HealthSignal::Inconclusive);
            return AttemptOutcome::NotSent;
        }
        let request = self.request_of(job, placement, options.last_event);
        self.metrics.count(Counter::Attempts);
        run.sent_at = self.clock.now();
        let Some(connection) = run.connection.as_mut() else {
            return AttemptOutcome::NotSent;
        };
        let answer = match connection.send(request).await {
            Ok(answer) => answer,
            Err(ConnectionError::Broken(error)) => {
                run.set_health(HealthSignal::Unresponsive);
                info!(self.log, "answer lost"; "id" => &job.head.id,
                    "endpoint" => &placement.endpoint, "cause" => %error);
                self.check_after_interruption(job, placement).await;
                return AttemptOutcome::Lost(
                    "the endpoint closed the connection without an answer",
                );
            }
            Err(_) => return AttemptOutcome::NotSent,
        };
        run.answered = true;
        let (head, body) = answer.into_parts();
        let read = self.dialect.read_answer(head.status, &head.headers);
        self.hear(job, placement, run.sent_at, head.status, &read);
        if read.id.as_deref() != Some(job.head.id.as_str()) {
            run.set_health(HealthSignal::Faulty);
            return AttemptOutcome::Lost("the endpoint answered another request");
        }
        if read.not_run {
            return self.declined(run, &read, body).await;
        }
        if !job.route.execution.is_repeatable() {
            // It runs, so it is not sent again, and its answer needs the memory.
            job.body.discard();
        }
        if job.route.execution.is_stream() && head.status.is_success() {
            return self.first_event(job, run, head, read, body).await;
        }
        self.whole_answer(job, run, head, read, body).await
    }

    fn request_of(
        &self,
        job: &Job,
        placement: &Placement,
        last_event: Option<u64>,
    ) -> Request<FullBody> {
        let mut fields = job.parts.headers.clone();
        strip_hop_fields(&mut fields);
        let attempt = AttemptHead {
            endpoint: placement.endpoint.clone(),
            remaining: job.expiry.saturating_sub(self.clock.now()),
            tenant: job.tenant.clone(),
            priority: job.priority,
            engine: job.engine,
            last_event: last_event.or(job.head.last_event),
        };
        self.dialect.write_attempt(&mut fields, &attempt);
        fields.remove(http::header::EXPECT);
        let has_body = !job.body.is_empty() || fields.contains_key(http::header::CONTENT_LENGTH);
        fields.remove(http::header::CONTENT_LENGTH);
        if has_body {
            fields.insert(http::header::CONTENT_LENGTH, job.body.len().into());
        }
        let mut request = Request::new(FullBody::new(job.body.bytes()));
        *request.method_mut() = job.parts.method.clone();
        *request.uri_mut() = job.parts.uri.clone();
        *request.headers_mut() = fields;
        request
    }

    async fn declined(
        &self,
        mut run: EndpointRun<D>,
        read: &AnswerHead,
        body: Incoming,
    ) -> AttemptOutcome<D> {
        run.set_health(HealthSignal::Inconclusive);
        let limited = Limited::new(body, MAX_REFUSAL);
        if limited.collect().await.is_ok() {
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
        self.note_begun(job, ran_for);
        let hold = job.caller.account.hold(Kind::Whole);
        let gathered = self.room.gather(body, hold, MAX_WHOLE_ANSWER, None).await;
        let Ok(body) = gathered else {
            run.set_health(HealthSignal::Faulty);
            self.check_after_interruption(job, &run.placement).await;
            return AttemptOutcome::Lost("the endpoint broke its answer off");
        };
        let failed = head.status.is_server_error();
        if read.altered || (head.status.is_success() && !read.signed) {
            run.set_health(HealthSignal::Faulty);
            return AttemptOutcome::Lost("the answer is not what the endpoint made");
        }
        run.record_first_token();
        run.set_health(match failed {
            true => HealthSignal::Faulty,
            false => HealthSignal::Healthy,
        });
        if !failed {
            self.record_completed(job);
        }
        run.finish(read.keep_alive);
        strip_hop_fields(&mut head.headers);
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
            NextEvent::Event(first) => {
                events.run.record_first_token();
                self.note_begun(job, Duration::ZERO);
                strip_hop_fields(&mut head.headers);
                AttemptOutcome::Answered(EndpointAnswer::Events {
                    head,
                    first,
                    events: Box::new(events),
                })
            }
            end @ (NextEvent::End | NextEvent::Broken) => {
                events.run.set_health(HealthSignal::Faulty);
                if matches!(end, NextEvent::Broken) {
                    self.check_after_interruption(job, &events.run.placement)
                        .await;
                }
                AttemptOutcome::Lost("the stream broke off before its first event")
            }
        }
    }
}

fn strip_hop_fields(fields: &mut HeaderMap) {
    let named: Vec<HeaderName> = fields
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_FIELDS) {
        fields.remove(name);
    }
    fields.remove(KEEP_ALIVE);
}
