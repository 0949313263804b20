//! Passing a stream's events on, over as many endpoints as it takes.

use std::rc::Rc;
use std::time::Duration;

use routing::placement::Verdict;
use slog::info;
use tokio::sync::mpsc;

use crate::answer::Piece;
use crate::attempt::{Attempted, EventRun, NextEvent, Reply, Sending};
use crate::events::Event;
use crate::job::{Progress, SharedJob};
use crate::ports::Dialect;
use crate::traffic::Traffic;

/// Pieces that wait for a caller who reads slowly.
pub(crate) const PIECES_WAITING: usize = 8;
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
    pieces: mpsc::Sender<Piece>,
    last_event: Option<u64>,
    passed: u64,
    passed_at: Duration,
    longest_gap: Duration,
}

impl<D: Dialect + 'static> Relay<D> {
    pub fn new(
        traffic: &Rc<Traffic<D>>,
        job: &SharedJob,
        progress: Progress,
        pieces: mpsc::Sender<Piece>,
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
        }
    }

    /// Passes events on until the stream, the caller or the time ends.
    pub async fn run(mut self, first: Event, events: EventRun<D>) {
        let mut next = Some((first, events));
        while let Some((first, mut events)) = next.take() {
            let end = self.pass(first, &mut events).await;
            let endpoint = events.run.placement.endpoint.clone();
            let cause = match end {
                End::Whole => {
                    events.finish();
                    let _ = self.pieces.send(Piece::End).await;
                    "whole"
                }
                End::CallerLeft => "caller left",
                End::TimedOut => "out of time",
                End::Broken | End::Silent => {
                    let is_silent = matches!(end, End::Silent);
                    events.run.judge(match is_silent {
                        true => Verdict::Silent,
                        false => Verdict::Faulty,
                    });
                    drop(events);
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

    async fn pass(&mut self, first: Event, events: &mut EventRun<D>) -> End {
        if let Some(end) = self.forward(first).await {
            return end;
        }
        let expiry = self.traffic.clock.instant(self.job.expiry);
        let patience = self.patience();
        loop {
            let next = tokio::select! {
                next = events.next() => next,
                () = self.pieces.closed() => return End::CallerLeft,
                () = tokio::time::sleep_until(expiry) => return End::TimedOut,
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
        let expiry = self.traffic.clock.instant(self.job.expiry);
        let id = event.id;
        tokio::select! {
            sent = self.pieces.send(Piece::Data(event.bytes)) => {
                if sent.is_err() {
                    return Some(End::CallerLeft);
                }
            }
            () = tokio::time::sleep_until(expiry) => return Some(End::TimedOut),
        }
        let now = self.traffic.clock.now();
        let gap = now.saturating_sub(self.passed_at);
        self.longest_gap = self.longest_gap.max(gap);
        self.passed_at = now;
        self.passed += 1;
        self.last_event = id.or(self.last_event);
        None
    }

    // Another run that goes on after the last event, if the route allows one. `granted` says that the budget gave
    // a repeat for the first try.
    async fn resume(&mut self, from: &str, granted: bool) -> Option<(Event, EventRun<D>)> {
        // A repeat is granted before its time where the endpoint is silent.
        let after_silence = granted;
        let mut granted = granted;
        while self.may_resume()
            && (std::mem::take(&mut granted) || self.traffic.may_repeat(&self.job.work.service))
        {
            self.progress.tried.push(from.to_string());
            let expiry = self.traffic.clock.instant(self.job.expiry);
            let placement = self.traffic.place(&self.job, &self.progress).await?;
            self.progress.sent += 1;
            info!(self.traffic.log, "stream goes on"; "id" => &self.job.head.id, "from" => from,
                "endpoint" => &placement.endpoint, "after" => self.last_event);
            let sending = Sending {
                last_event: self.last_event,
                after_silence,
            };
            let attempt = self.traffic.attempt(&self.job, &placement, sending);
            let attempted = tokio::select! {
                attempted = tokio::time::timeout_at(expiry, attempt) => attempted.ok()?,
                () = self.pieces.closed() => return None,
            };
            if let Attempted::Answered(Reply::Events { first, events, .. }) = attempted {
                return Some((first, *events));
            }
            self.progress.tried.push(placement.endpoint);
        }
        None
    }

    fn may_resume(&self) -> bool {
        let route = &self.job.route;
        route.execution.is_repeatable() && self.progress.sent < route.max_attempts
    }

    fn patience(&self) -> Duration {
        self.job.route.gap_target.unwrap_or(DEFAULT_GAP) * PATIENCE_GAPS
    }

    fn close(&self, end: &str, endpoint: &str) {
        let held = self.traffic.clock.now().saturating_sub(self.job.arrived);
        info!(self.traffic.log, "stream ended"; "id" => &self.job.head.id, "end" => end,
            "endpoint" => endpoint, "events" => self.passed, "attempts" => self.progress.sent,
            "longest_gap_ms" => self.longest_gap.as_millis() as u64,
            "ms" => held.as_millis() as u64);
    }
}
