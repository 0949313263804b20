//! Forwards a stream's events to the caller and resumes the stream at other endpoints.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use memory::{Kind, Reservation};
use routing::placement::HealthSignal;
use slog::info;
use telemetry::Counter;
use tokio::sync::mpsc;
use transport::BodyEnd;

use crate::answer::BodyPart;
use crate::attempt::{AttemptOutcome, EndpointAnswer, EndpointStream, NextEvent, SendOptions};
use crate::buffers::HeldBytes;
use crate::events::Event;
use crate::job::{Progress, SharedJob};
use crate::ports::Dialect;
use crate::retry_permit::RetryPermit;
use crate::traffic::Traffic;

/// Memory of a queued event besides its payload, in bytes, measured with a counting allocator.
const EVENT_OVERHEAD_BYTES: u64 = 128;
/// A resumable stream moves to another endpoint after a gap of this many times its gap target.
const STALL_GAPS: u32 = 2;
/// Shortest such gap: a sound endpoint may be silent for about a second, and its run is worth more than a new one.
const MIN_STALL: Duration = Duration::from_millis(1500);
/// Gap target of a route that sets none.
const DEFAULT_GAP_TARGET: Duration = Duration::from_millis(500);

enum StreamEnd {
    Whole,
    CallerLeft,
    TimedOut,
    Broken,
    // The endpoint is known to have restarted.
    Restarted,
    // No event came in time, and a retry was taken from the retry budget; without one the endpoint is waited for.
    Stalled(Rc<RetryPermit>),
}

/// Forwards one stream to its caller.
pub(crate) struct Relay<D> {
    traffic: Rc<Traffic<D>>,
    job: SharedJob,
    progress: Progress,
    body_parts: mpsc::UnboundedSender<BodyPart>,
    last_event: Option<u64>,
    forwarded: u64,
    forwarded_at: Duration,
    longest_gap: Duration,
    // Longest time that the endpoint was not read because memory was short.
    longest_unread: Duration,
}

impl<D: Dialect + 'static> Relay<D> {
    pub fn new(
        traffic: &Rc<Traffic<D>>,
        job: &SharedJob,
        progress: Progress,
        body_parts: mpsc::UnboundedSender<BodyPart>,
    ) -> Self {
        Relay {
            traffic: Rc::clone(traffic),
            job: Rc::clone(job),
            progress,
            body_parts,
            last_event: job.head.last_event,
            forwarded: 0,
            forwarded_at: traffic.clock.now(),
            longest_gap: Duration::ZERO,
            longest_unread: Duration::ZERO,
        }
    }

    /// Forwards events until the stream ends, the caller disconnects or the deadline passes.
    pub async fn run(mut self, first: Event, events: EndpointStream<D>) {
        let placement = &events.run.placement;
        if self.progress.required_version.is_none() {
            let now = self.traffic.clock.now();
            let state = self.traffic.state.borrow();
            self.progress.required_version = state.version_of(now, placement);
        }
        self.traffic
            .record_origin(&self.job, self.progress.required_version.clone());
        let mut next = Some((first, events));
        while let Some((first, mut events)) = next.take() {
            let end = self.forward_events(first, &mut events).await;
            let endpoint = events.run.placement.endpoint.clone();
            let body_end = events.run.body_end;
            let cause = match end {
                StreamEnd::Whole => {
                    events.finish();
                    self.traffic.record_completed(&self.job);
                    // The caller may have disconnected.
                    let _ = self.body_parts.send(BodyPart::End);
                    "whole"
                }
                StreamEnd::CallerLeft => "caller left",
                StreamEnd::TimedOut => "out of time",
                StreamEnd::Broken | StreamEnd::Restarted | StreamEnd::Stalled(_) => {
                    if matches!(end, StreamEnd::Restarted)
                        && !self
                            .traffic
                            .is_origin_certain(&self.job, &events.run.placement)
                    {
                        self.progress.required_version = None;
                    }
                    let permit = match end {
                        StreamEnd::Stalled(permit) => Some(permit),
                        _ => None,
                    };
                    let is_stalled = permit.is_some();
                    if !is_stalled {
                        self.learn_unread_timeout();
                    }
                    let placement = events.run.placement.clone();
                    let received = events.run.received();
                    events.run.set_health(match is_stalled {
                        true => HealthSignal::Unresponsive,
                        false => HealthSignal::Faulty,
                    });
                    drop(events);
                    if !is_stalled {
                        self.traffic
                            .check_after_interruption(&self.job, &placement, received)
                            .await;
                    }
                    let caller_connection = self.body_parts.clone();
                    next = tokio::select! {
                        biased;
                        () = caller_connection.closed() => None,
                        resumed = self.resume(&endpoint, permit) => resumed,
                    };
                    if next.is_some() {
                        continue;
                    }
                    match caller_connection.is_closed() {
                        true => "caller left",
                        false => "broken off",
                    }
                }
            };
            self.log_end(cause, &endpoint, body_end);
        }
    }

    async fn forward_events(&mut self, first: Event, events: &mut EndpointStream<D>) -> StreamEnd {
        if let Some(end) = self.forward(first).await {
            return end;
        }
        let (clock, expiry) = (self.traffic.clock, self.job.expiry);
        let stall_timeout = self.stall_timeout();
        let placement = events.run.placement.clone();
        loop {
            let next = tokio::select! {
                next = events.next() => next,
                () = self.body_parts.closed() => return StreamEnd::CallerLeft,
                () = self.traffic.wait_for_restart(&placement) => return StreamEnd::Restarted,
                () = clock.sleep_until(expiry) => return StreamEnd::TimedOut,
                () = tokio::time::sleep(stall_timeout), if self.can_resume() => {
                    if let Some(permit) = self.traffic.take_retry(&self.job) {
                        return StreamEnd::Stalled(permit);
                    }
                    continue;
                }
            };
            let end = match next {
                NextEvent::Event(event) => self.forward(event).await,
                NextEvent::End => Some(StreamEnd::Whole),
                NextEvent::Broken => Some(StreamEnd::Broken),
            };
            if let Some(end) = end {
                return end;
            }
        }
    }

    async fn forward(&mut self, event: Event) -> Option<StreamEnd> {
        if event.id.is_some() && event.id <= self.last_event {
            return None;
        }
        let id = event.id;
        let reservation = match self.reserve(event.bytes.len()).await {
            Ok(reservation) => reservation,
            Err(end) => return Some(end),
        };
        // The splitter's buffer is shared with other events; a copy has exactly the size that is accounted for.
        let bytes = Bytes::copy_from_slice(&event.bytes);
        let bytes = HeldBytes::counted(bytes, reservation, &self.job.caller);
        if self.body_parts.send(BodyPart::Data(bytes)).is_err() {
            return Some(StreamEnd::CallerLeft);
        }
        let now = self.traffic.clock.now();
        let gap = now.saturating_sub(self.forwarded_at);
        self.longest_gap = self.longest_gap.max(gap);
        self.forwarded_at = now;
        self.forwarded += 1;
        self.last_event = id.or(self.last_event);
        None
    }

    // Reserves memory for an event. The endpoint is not read until there is some (backpressure).
    async fn reserve(&mut self, length: usize) -> Result<Reservation, StreamEnd> {
        let needed = length as u64 + EVENT_OVERHEAD_BYTES;
        let caller = Rc::clone(&self.job.caller);
        let memory_manager = &self.traffic.room;
        let mut reservation = caller.account.reservation(Kind::ReadAhead);
        if memory_manager.try_reserve_read_ahead(&caller, &mut reservation, needed) {
            return Ok(reservation);
        }
        let (clock, expiry) = (self.traffic.clock, self.job.expiry);
        self.traffic.metrics.count(Counter::MemoryWaits);
        caller.set_reading(false);
        let end = tokio::select! {
            () = memory_manager.reserve_read_ahead(&caller, &mut reservation, needed) => None,
            () = self.body_parts.closed() => Some(StreamEnd::CallerLeft),
            () = clock.sleep_until(expiry) => Some(StreamEnd::TimedOut),
        };
        let unread = caller.set_reading(true);
        self.longest_unread = self.longest_unread.max(unread);
        end.map_or(Ok(reservation), Err)
    }

    // Attributes an interruption to an earlier pause in reading, if the pause was long enough.
    fn learn_unread_timeout(&self) {
        if let Some(unread) = self
            .traffic
            .room
            .record_unread_interruption(self.longest_unread)
        {
            info!(self.traffic.log, "endpoints end what is not read"; "id" => &self.job.head.id,
                "after_ms" => unread.as_millis() as u64);
        }
    }

    // Resumes the stream after the last event at another endpoint, if the route allows it. `stall_permit` is the retry that
    // was already taken from the budget if the endpoint stalled.
    async fn resume(
        &mut self,
        from: &str,
        mut stall_permit: Option<Rc<RetryPermit>>,
    ) -> Option<(Event, EndpointStream<D>)> {
        let after_unresponsive = stall_permit.is_some();
        while self.can_resume() {
            let taken = stall_permit.take();
            let permit = taken.or_else(|| self.traffic.take_retry(&self.job))?;
            self.progress.tried.push(from.to_string());
            let (clock, expiry) = (self.traffic.clock, self.job.expiry);
            let (placement, grant) = self
                .traffic
                .place_with_grant(&self.job, &mut self.progress)
                .await?;
            self.progress.sent += 1;
            info!(self.traffic.log, "stream goes on"; "id" => &self.job.head.id, "content" => %self.job.content, "from" => from,
                "from_software" => &self.progress.required_version, "endpoint" => &placement.endpoint, "software" => &placement.version,
                "after" => self.last_event);
            let options = SendOptions {
                last_event: self.last_event,
                after_unresponsive,
                grant,
                permit: Some(permit),
            };
            let attempt = self
                .traffic
                .attempt_unless_restarted(&self.job, &placement, options);
            let outcome = clock.timeout_at(expiry, attempt).await.ok()?;
            if let AttemptOutcome::Answered(EndpointAnswer::Events { first, events, .. }) = outcome
            {
                return Some((first, *events));
            }
            if matches!(outcome, AttemptOutcome::NotSent) {
                self.traffic.log_not_sent(&self.job, &placement);
            }
            self.progress.tried.push(placement.endpoint);
        }
        None
    }

    fn can_resume(&self) -> bool {
        let route = &self.job.route;
        let is_repeatable = route.execution.is_repeatable() && self.job.body.is_kept();
        is_repeatable
            && self.progress.required_version.is_some()
            && self.progress.sent < route.max_attempts
            && self.traffic.quarantine_allows_retry(&self.job)
    }

    fn stall_timeout(&self) -> Duration {
        let gap_target = self.job.route.gap_target.unwrap_or(DEFAULT_GAP_TARGET);
        MIN_STALL.max(gap_target * STALL_GAPS)
    }

    fn log_end(&self, end: &str, endpoint: &str, body_end: Option<BodyEnd>) {
        let elapsed = self.traffic.clock.now().saturating_sub(self.job.arrived);
        info!(self.traffic.log, "stream ended"; "id" => &self.job.head.id, "content" => %self.job.content, "end" => end, "marked_by" => body_end.map(BodyEnd::as_str),
            "endpoint" => endpoint, "software" => &self.progress.required_version, "events" => self.forwarded, "attempts" => self.progress.sent,
            "unread_ms" => self.longest_unread.as_millis() as u64,
            "longest_gap_ms" => self.longest_gap.as_millis() as u64,
            "ms" => elapsed.as_millis() as u64);
    }
}
