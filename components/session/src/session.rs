//! The state machine itself.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::event::{Action, Cause, Event, Failure, Outcome, Reason};

/// Most parts held back while an earlier one is missing.
const MAX_HELD_PARTS: usize = 256;
/// First delay before a retry; it doubles with each one.
const FIRST_BACKOFF: Duration = Duration::from_millis(10);
/// Longest delay before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(640);

/// What the caller and the team's parameters say of a request.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Whether a second run does no harm.
    pub repeatable: bool,
    /// Time at which the request must be over.
    pub deadline: Duration,
    /// Most attempts after a failure, the first included; moves are not counted.
    pub max_attempts: u32,
    /// Jitter of the backoff in thousandths, drawn once by the owner of the randomness.
    pub jitter_milli: u32,
    /// Offset at which a resumed request starts.
    pub from: u64,
}

/// One request.
#[derive(Debug)]
pub struct Session<P> {
    terms: Terms,
    attempts: u32,
    failures: u32,
    next: u64,
    // Attempts that may still deliver; before the first part there can be two (a hedge).
    live: BTreeSet<u32>,
    // The one attempt whose parts are taken.
    current: Option<u32>,
    // Attempts asked for and not proven never to have started.
    unproven: u32,
    held: BTreeMap<u64, P>,
    total: Option<u64>,
    over: bool,
}

impl<P> Session<P> {
    /// A request that waits for [`Event::Start`].
    pub fn new(terms: Terms) -> Self {
        Session {
            next: terms.from,
            terms,
            attempts: 0,
            failures: 0,
            live: BTreeSet::new(),
            current: None,
            unproven: 0,
            held: BTreeMap::new(),
            total: None,
            over: false,
        }
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn step(&mut self, now: Duration, event: Event<P>) -> Vec<Action<P>> {
        if self.over {
            return Vec::new();
        }
        if now >= self.terms.deadline {
            return self.give_up(Reason::Deadline);
        }
        match event {
            Event::Start => self.dispatch(now, Cause::First),
            Event::Part {
                attempt,
                offset,
                part,
            } => self.take_part(now, attempt, offset, part),
            Event::End { attempt, total } => self.take_end(now, attempt, total),
            Event::Failed { attempt, failure } => self.take_failure(now, attempt, failure),
            Event::Move { attempt } => self.relocate(now, attempt),
            Event::Hedge => self.hedge(now),
            Event::NoEndpoint { attempt } => self.take_no_endpoint(attempt),
            Event::Tick => Vec::new(),
            Event::CallerGone => self.finish(Outcome::Abandoned),
        }
    }

    /// Offset of the next part the caller lacks.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Whether the request is over.
    pub fn is_over(&self) -> bool {
        self.over
    }

    fn dispatch(&mut self, now: Duration, cause: Cause) -> Vec<Action<P>> {
        self.attempts += 1;
        let attempt = self.attempts;
        self.live.insert(attempt);
        self.unproven += 1;
        vec![Action::Dispatch {
            attempt,
            from: self.next,
            not_before: self.dispatch_time(now, cause),
            cause,
        }]
    }

    fn dispatch_time(&self, now: Duration, cause: Cause) -> Duration {
        if cause != Cause::Retry {
            return now;
        }
        let doublings = self.failures.saturating_sub(1).min(16);
        let backoff = (FIRST_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
        now + backoff * (500 + self.terms.jitter_milli.min(1000)) / 1000
    }

    fn take_part(&mut self, now: Duration, attempt: u32, offset: u64, part: P) -> Vec<Action<P>> {
        if !self.live.contains(&attempt) || offset < self.next {
            return Vec::new();
        }
        let mut actions = self.choose(attempt);
        if offset > self.next && self.held.len() >= MAX_HELD_PARTS {
            actions.extend(self.take_failure(now, attempt, Failure::Unknown));
            return actions;
        }
        self.held.entry(offset).or_insert(part);
        self.release(attempt, &mut actions);
        actions.extend(self.finish_if_whole());
        actions
    }

    // The first attempt to deliver wins; the others are cancelled.
    fn choose(&mut self, attempt: u32) -> Vec<Action<P>> {
        if self.current == Some(attempt) {
            return Vec::new();
        }
        self.current = Some(attempt);
        let losers: Vec<u32> = self
            .live
            .iter()
            .copied()
            .filter(|a| *a != attempt)
            .collect();
        self.live.retain(|a| *a == attempt);
        losers
            .into_iter()
            .map(|attempt| Action::Cancel { attempt })
            .collect()
    }

    fn release(&mut self, attempt: u32, actions: &mut Vec<Action<P>>) {
        while let Some(part) = self.held.remove(&self.next) {
            let offset = self.next;
            self.next += 1;
            actions.push(Action::Emit {
                attempt,
                offset,
                part,
            });
        }
    }

    fn take_end(&mut self, now: Duration, attempt: u32, total: u64) -> Vec<Action<P>> {
        if !self.live.contains(&attempt) {
            return Vec::new();
        }
        if total < self.next {
            return self.take_failure(now, attempt, Failure::Unknown);
        }
        let mut actions = self.choose(attempt);
        self.total = Some(total);
        actions.extend(self.finish_if_whole());
        actions
    }

    fn finish_if_whole(&mut self) -> Vec<Action<P>> {
        match self.total {
            Some(total) if total == self.next => {
                self.live.clear();
                self.finish(Outcome::Done { total })
            }
            _ => Vec::new(),
        }
    }

    fn take_failure(&mut self, now: Duration, attempt: u32, failure: Failure) -> Vec<Action<P>> {
        if !self.live.remove(&attempt) {
            return Vec::new();
        }
        if failure == Failure::NotStarted {
            self.unproven -= 1;
        }
        if self.current == Some(attempt) {
            self.forget_current();
        }
        if !self.live.is_empty() {
            return Vec::new();
        }
        self.failures += 1;
        if failure == Failure::Unknown && !self.terms.repeatable {
            return self.finish(Outcome::Failed(Reason::NotRepeatable));
        }
        if self.failures >= self.terms.max_attempts {
            return self.give_up(Reason::Attempts);
        }
        self.dispatch(now, Cause::Retry)
    }

    fn forget_current(&mut self) {
        self.current = None;
        self.held.clear();
        self.total = None;
    }

    fn relocate(&mut self, now: Duration, attempt: u32) -> Vec<Action<P>> {
        if !self.terms.repeatable || !self.live.remove(&attempt) {
            return Vec::new();
        }
        let mut actions = vec![Action::Cancel { attempt }];
        self.forget_current();
        if self.live.is_empty() {
            actions.extend(self.dispatch(now, Cause::Move));
        }
        actions
    }

    fn hedge(&mut self, now: Duration) -> Vec<Action<P>> {
        let waits = self.current.is_none() && self.live.len() == 1;
        if !waits || !self.terms.repeatable {
            return Vec::new();
        }
        self.dispatch(now, Cause::Hedge)
    }

    fn take_no_endpoint(&mut self, attempt: u32) -> Vec<Action<P>> {
        if !self.live.remove(&attempt) {
            return Vec::new();
        }
        self.unproven -= 1;
        if !self.live.is_empty() {
            return Vec::new();
        }
        self.give_up(Reason::NoEndpoint)
    }

    fn give_up(&mut self, reason: Reason) -> Vec<Action<P>> {
        let outcome = match self.unproven {
            0 => Outcome::Refused(reason),
            _ => Outcome::Failed(reason),
        };
        self.finish(outcome)
    }

    fn finish(&mut self, outcome: Outcome) -> Vec<Action<P>> {
        self.over = true;
        let live = std::mem::take(&mut self.live);
        let mut actions: Vec<Action<P>> = live
            .into_iter()
            .map(|attempt| Action::Cancel { attempt })
            .collect();
        actions.push(Action::Finish(outcome));
        actions
    }
}
