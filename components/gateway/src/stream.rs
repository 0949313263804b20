//! Passing a stream's events on, over as many endpoints as it takes.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use memory::{Hold, Kind};
use routing::placement::HealthSignal;
use slog::info;
use telemetry::Counter;
use tokio::sync::mpsc;

use crate::answer::BodyPart;
use crate::attempt::{AttemptOutcome, EndpointAnswer, EndpointStream, NextEvent, SendOptions};
use crate::buffers::HeldBytes;
use crate::events::Event;
use crate::job::{Progress, SharedJob};
use crate::ports::Dialect;
use crate::traffic::Traffic;

/// What an event takes beside its bytes while it waits, in bytes, measured by an allocator that counts.
const EVENT_OVERHEAD: u64 = 128;
/// A resumable stream that pauses longer than this many times its aim goes on elsewhere.
const PATIENCE_GAPS: u32 = 2;
/// Pause that is in time where the route names none.
const DEFAULT_GAP: Duration = Duration::from_millis(500);

enum End {
    Whole,
    CallerLeft,
    TimedOut,
    Broken,
    // A repeat was taken from the budget; until then a silent endpoint is waited for.
    Silent,
}

pub(crate) struct Relay<D> {
    traffic: Rc<Traffic<D>>,
    job: SharedJob,
    progress: Progress,
    pieces: mpsc::UnboundedSender<BodyPart>,
    last_event: Option<u64>,
    passed: u64,
    passed_at: Duration,
    longest_gap: Duration,
    // Longest time that the endpoint was not read for want of memory.
    unread: Duration,
}

impl<D: Dialect + 'static> Relay<D> {
    pub fn new(
        traffic: &Rc<Traffic<D>>,
        job: &SharedJob,
        progress: Progress,
        pieces: mpsc::UnboundedSender<BodyPart>,
    ) -> Self {
        Relay {
            traffic: Rc::clone(traffic),
            job: Rc::clone(job),
            progress,
            pieces,
            last_event: job.head.last_event,
            passed: 0,
            passed_at: traffic.clock.now(),
            longest_gap: Duration::ZERO,
            unread: Duration::ZERO,
        }
    }

    /// Passes events on until the stream, the caller or the time ends.
    pub async fn run(mut self, first: Event, events: EndpointStream<D>) {
        let mut next = Some((first, events));
        while let Some((first, mut events)) = next.take() {
            let end = self.pass(first, &mut events).await;
            let endpoint = events.run.placement.endpoint.clone();
            let cause = match end {
                End::Whole => {
                    events.finish();
                    self.traffic.record_completed(&self.job);
                    // The caller may have left meanwhile.
                    let _ = self.pieces.send(BodyPart::End);
                    "whole"
                }
                End::CallerLeft => "caller left",
                End::TimedOut => "out of time",
                End::Broken | End::Silent => {
                    let is_silent = matches!(end, End::Silent);
                    if !is_silent {
                        self.record_unread_interruption();
                    }
                    let placement = events.run.placement.clone();
                    events.run.set_health(match is_silent {
                        true => HealthSignal::Unresponsive,
                        false => HealthSignal::Faulty,
                    });
                    drop(events);
                    if !is_silent {
                        self.traffic
                            .check_after_interruption(&self.job, &placement)
                            .await;
                    }
                    next = self.resume(&endpoint, is_silent).await;
                    if next.is_some() {
                        continue;
                    }
                    "broken off"
                }
            };
            self.close(cause, &endpoint);
        }
    }

    async fn pass(&mut self, first: Event, events: &mut EndpointStream<D>) -> End {
        if let Some(end) = self.forward(first).await {
            return end;
        }
        let (clock, expiry) = (self.traffic.clock, self.job.expiry);
        let patience = self.patience();
        let placement = events.run.placement.clone();
        loop {
            let next = tokio::select! {
                next = events.next() => next,
                () = self.pieces.closed() => return End::CallerLeft,
                () = self.traffic.wait_for_restart(&placement) => return End::Broken,
                () = clock.sleep_until(expiry) => return End::TimedOut,
                () = tokio::time::sleep(patience), if self.may_resume() => {
                    if self.traffic.may_repeat(&self.job.work.service) {
                        return End::Silent;
                    }
                    continue;
                }
            };
            let end = match next {
                NextEvent::Event(event) => self.forward(event).await,
                NextEvent::End => Some(End::Whole),
                NextEvent::Broken => Some(End::Broken),
            };
            if let Some(end) = end {
                return end;
            }
        }
    }

    async fn forward(&mut self, event: Event) -> Option<End> {
        if event.id.is_some() && event.id <= self.last_event {
            return None;
        }
        let id = event.id;
        let hold = match self.hold(event.bytes.len()).await {
            Ok(hold) => hold,
            Err(end) => return Some(end),
        };
        // The splitter's buffer holds other events as well; a copy is counted exactly.
        let bytes = Bytes::copy_from_slice(&event.bytes);
        let bytes = HeldBytes::counted(bytes, hold, &self.job.caller);
        if self.pieces.send(BodyPart::Data(bytes)).is_err() {
            return Some(End::CallerLeft);
        }
        let now = self.traffic.clock.now();
        let gap = now.saturating_sub(self.passed_at);
        self.longest_gap = self.longest_gap.max(gap);
        self.passed_at = now;
        self.passed += 1;
        self.last_event = id.or(self.last_event);
        None
    }

    // Reserves memory for an event. While there is none the endpoint is not read.
    async fn hold(&mut self, length: usize) -> Result<Hold, End> {
        let needed = length as u64 + EVENT_OVERHEAD;
        let caller = Rc::clone(&self.job.caller);
        let room = &self.traffic.room;
        let mut hold = caller.account.hold(Kind::ReadAhead);
        if room.try_reserve_read_ahead(&caller, &mut hold, needed) {
            return Ok(hold);
        }
        let (clock, expiry) = (self.traffic.clock, self.job.expiry);
        self.traffic.metrics.count(Counter::MemoryWaits);
        caller.set_reading(false);
        let end = tokio::select! {
            () = room.reserve_read_ahead(&caller, &mut hold, needed) => None,
            () = self.pieces.closed() => Some(End::CallerLeft),
            () = clock.sleep_until(expiry) => Some(End::TimedOut),
        };
        let unread = caller.set_reading(true);
        self.unread = self.unread.max(unread);
        end.map_or(Ok(hold), Err)
    }

    // An endpoint that was not read for long and broke off did so for that.
    fn record_unread_interruption(&self) {
        if let Some(unread) = self.traffic.room.record_unread_interruption(self.unread) {
            info!(self.traffic.log, "endpoints end what is not read"; "id" => &self.job.head.id,
                "after_ms" => unread.as_millis() as u64);
        }
    }

    // Another run that goes on after the last event, if the route allows one. `granted` says that the budget gave
    // a repeat for the first try.
    async fn resume(&mut self, from: &str, granted: bool) -> Option<(Event, EndpointStream<D>)> {
        // A repeat is granted before its time where the endpoint is silent.
        let after_unresponsive = granted;
        let mut granted = granted;
        while self.may_resume()
            && (std::mem::take(&mut granted) || self.traffic.may_repeat(&self.job.work.service))
        {
            self.progress.tried.push(from.to_string());
            let (clock, expiry) = (self.traffic.clock, self.job.expiry);
            let (placement, grant) = self
                .traffic
                .place_granted(&self.job, &mut self.progress)
                .await?;
            self.progress.sent += 1;
            info!(self.traffic.log, "stream goes on"; "id" => &self.job.head.id, "content" => %self.job.content, "from" => from,
                "endpoint" => &placement.endpoint, "after" => self.last_event);
            let options = SendOptions {
                last_event: self.last_event,
                after_unresponsive,
                grant,
            };
            let attempt = self
                .traffic
                .attempt_unless_restarted(&self.job, &placement, options);
            let attempted = tokio::select! {
                attempted = clock.timeout_at(expiry, attempt) => attempted.ok()?,
                () = self.pieces.closed() => return None,
            };
            if let AttemptOutcome::Answered(EndpointAnswer::Events { first, events, .. }) =
                attempted
            {
                return Some((first, *events));
            }
            self.progress.tried.push(placement.endpoint);
        }
        None
    }

    fn may_resume(&self) -> bool {
        let route = &self.job.route;
        let repeatable = route.execution.is_repeatable() && self.job.body.is_kept();
        repeatable
            && self.progress.sent < route.max_attempts
            && self.traffic.quarantine_allows_retry(&self.job)
    }

    fn patience(&self) -> Duration {
        self.job.route.gap_target.unwrap_or(DEFAULT_GAP) * PATIENCE_GAPS
    }

    fn close(&self, end: &str, endpoint: &str) {
        let held = self.traffic.clock.now().saturating_sub(self.job.arrived);
        info!(self.traffic.log, "stream ended"; "id" => &self.job.head.id, "content" => %self.job.content, "end" => end,
            "endpoint" => endpoint, "events" => self.passed, "attempts" => self.progress.sent,
            "unread_ms" => self.unread.as_millis() as u64,
            "longest_gap_ms" => self.longest_gap.as_millis() as u64,
            "ms" => held.as_millis() as u64);
    }
}
