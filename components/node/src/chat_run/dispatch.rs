//! Sending an attempt: waiting for its time, choosing an endpoint, and noting it as live.

use std::sync::Arc;
use std::time::Duration;

use fleet::Move;
use limits::{AdmissionDecision, Waiter};
use routing::{Decision, RoutingRequest};
use schema::settings::Priority;
use session::{Cause, Event};
use telemetry::{Counter, RequestSpan, Timer};
use transport::GenerateRequest;

use super::{ChatRun, Pending, Planned, DEFAULT_TOKENS, HEDGE_TARGETS, LOOK_AGAIN};
use crate::admission::record_choice;
use crate::attempt::{Attempt, RunEvent};
use crate::traffic::Live;

impl ChatRun<'_> {
    pub(super) fn send_due(&mut self, hop: &RequestSpan, now: Duration) {
        let due = |p: &Pending| p.not_before <= now;
        while let Some(at) = self.pending.iter().position(due) {
            let pending = self.pending.remove(at);
            self.send(hop, pending);
            if self.outcome.is_some() {
                return;
            }
        }
    }

    pub(super) fn send(&mut self, hop: &RequestSpan, pending: Pending) {
        let now = self.shared.now();
        if pending.cause == Cause::Retry && !self.shared.traffic().may_retry() {
            self.shared.metrics.count(Counter::RetryBudgetExhausted);
            let attempt = pending.attempt;
            return self.step(hop, Event::NoEndpoint { attempt });
        }
        if self.must_wait(now) {
            let not_before = self.call.deadline;
            self.pending.push(Pending {
                not_before,
                ..pending
            });
            return;
        }
        let _route = hop.child("route");
        match self.choose(now) {
            Some((endpoint, address)) => self.dispatch(hop, &pending, endpoint, address),
            None => self.without_endpoint(hop, pending, now),
        }
    }

    // A batch stream that made room queues at the gate before it goes on.
    pub(super) fn must_wait(&mut self, now: Duration) -> bool {
        if !self.yielding {
            return false;
        }
        let waiter = Waiter {
            priority: self.call.priority,
            deadline: self.call.deadline,
            id: self.id,
        };
        let verdict = self
            .shared
            .traffic()
            .enter(now, &self.pool.name, waiter, &self.sender);
        self.yielding = verdict == AdmissionDecision::Wait;
        self.yielding
    }

    pub(super) fn choose(&mut self, now: Duration) -> Option<(String, String)> {
        let mut traffic = self.shared.traffic();
        if let Some(planned) = &self.planned {
            let state = traffic.router.state(&planned.endpoint);
            let state = state.filter(|s| s.is_usable(now));
            let found = state.map(|s| (s.spec.name.clone(), s.spec.address.clone()));
            if let Some((endpoint, address)) = found {
                let ask = self.ask(&[]);
                traffic.router.sent(&endpoint, &ask);
                return Some((endpoint, address));
            }
            drop(traffic);
            self.planned = None;
            return self.choose(now);
        }
        let started = self.shared.now();
        let decision = traffic.route(now, &self.ask(&self.excluded));
        // Better an endpoint that failed before than none.
        let (decision, address) = decision.or_else(|| traffic.route(now, &self.ask(&[])))?;
        drop(traffic);
        self.shared
            .metrics
            .record_duration(Timer::Decision, self.shared.now() - started);
        self.note(&decision);
        Some((decision.chosen.endpoint, address))
    }

    pub(super) fn ask<'b>(&'b self, exclude: &'b [String]) -> RoutingRequest<'b> {
        self.call.ask(&self.pool.name, &self.prompt, exclude)
    }

    pub(super) fn note(&self, decision: &Decision) {
        let chosen = &decision.chosen;
        let e = chosen.estimate;
        let reason = format!(
            "score {:.1} (wait {:.1} ms, prefill {:.1} ms, cached {} of {} tokens); {} weighed, {} passed over",
            e.score, e.wait_ms, e.prefill_ms, e.cached_tokens, self.prompt.tokens,
            decision.weighed, decision.passed_over,
        );
        let next = decision.runner_up.as_ref();
        let next = next.map(|c| format!("{} score {:.1}", c.endpoint, c.estimate.score));
        let choice = (chosen.endpoint.as_str(), next.as_deref().unwrap_or(""));
        record_choice(self.shared, &self.call, "route", choice, reason);
    }

    pub(super) fn dispatch(
        &mut self,
        hop: &RequestSpan,
        pending: &Pending,
        endpoint: String,
        address: String,
    ) {
        let now = self.shared.now();
        let planned = self.planned.take();
        self.count(pending, planned.as_ref());
        let attempt = Attempt::new(endpoint.clone(), address, now, hop);
        let request = self.generate(pending, planned);
        self.enlist(pending, &endpoint, now);
        attempt.generate(self.shared, pending.attempt, request, self.sender.clone());
        self.attempts.insert(pending.attempt, attempt);
        if pending.cause == Cause::First && self.call.priority < Priority::BATCH {
            let target = Duration::from_millis(self.call.team.target_ms as u64);
            self.hedge_at = Some(now + target * HEDGE_TARGETS);
        }
    }

    pub(super) fn count(&self, pending: &Pending, planned: Option<&Planned>) {
        let metrics = &self.shared.metrics;
        metrics.count(Counter::Attempts);
        match pending.cause {
            Cause::Retry => metrics.count(Counter::Retries),
            Cause::Hedge => metrics.count(Counter::Hedges),
            Cause::First | Cause::Move => {}
        }
        let kept = planned.is_some_and(|p| p.kv.is_some() || p.resume.is_some());
        let again = pending.attempt > 1 || pending.from > 0;
        if again && !kept && pending.cause != Cause::Hedge {
            metrics.add(
                Counter::Recomputed,
                u64::from(self.prompt.tokens) + pending.from,
            );
        }
    }

    pub(super) fn generate(&self, pending: &Pending, planned: Option<Planned>) -> GenerateRequest {
        let (kv, resume) = planned.map_or((None, None), |p| (p.kv, p.resume));
        let (kv_address, kv_stream) = kv.unzip();
        GenerateRequest {
            request: self.call.id.clone(),
            attempt: pending.attempt,
            model: self.chat.model.clone(),
            prompt: self.texts.clone(),
            max_tokens: self.max_tokens(),
            priority: self.call.priority.0,
            received: self.received.clone(),
            from: pending.from,
            resume,
            kv_address,
            kv_stream,
        }
    }

    pub(super) fn max_tokens(&self) -> u32 {
        self.chat.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }

    pub(super) fn enlist(&self, pending: &Pending, endpoint: &str, now: Duration) {
        let live = Live {
            endpoint: endpoint.to_string(),
            stream: None,
            pool: self.pool.name.clone(),
            attempt: pending.attempt,
            priority: self.call.priority,
            deadline: self.call.deadline,
            started: now,
            prompt_tokens: u64::from(self.prompt.tokens),
            given: Arc::clone(&self.given),
            max_tokens: u64::from(self.max_tokens()),
            repeatable: self.call.repeatable.unwrap_or(true),
            streams: true,
            events: self.sender.clone(),
        };
        let mut traffic = self.shared.traffic();
        traffic.live.insert(self.id, live);
        // A leave that came between the choice and this line has not seen the request.
        let state = traffic.router.state(endpoint);
        if state.is_some_and(|s| s.leaving_at.is_some()) {
            let event = RunEvent::Leaving {
                attempt: pending.attempt,
                plan: Move::Requeue,
            };
            let _ = self.sender.send(event);
        }
    }

    // A request that was accepted and has begun looks again until its deadline; one that has not
    // begun is refused at once.
    pub(super) fn without_endpoint(&mut self, hop: &RequestSpan, pending: Pending, now: Duration) {
        if pending.cause == Cause::First {
            let attempt = pending.attempt;
            return self.step(hop, Event::NoEndpoint { attempt });
        }
        let cause = Cause::Move;
        self.pending.push(Pending {
            not_before: now + LOOK_AGAIN,
            cause,
            ..pending
        });
    }
}
