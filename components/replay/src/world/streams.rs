//! Attempts in a replay: sent, started, delivering, ended or failed.

use std::time::Duration;

use routing::RoutingRequest;
use schema::settings::Priority;
use session::{Cause, Event, Failure};

use super::{part_of, Happening, Stream, World, HEDGE_TARGETS, LATE_START, LOOK_AGAIN};
use crate::engine::{PREFILL_US, SERVICE_TIME, TOKEN_INTERVAL};
use crate::request::BLOCK_TOKENS;

impl World {
    // The endpoint's slot is free again.
    pub(super) fn close(&mut self, stream: usize) {
        if std::mem::replace(&mut self.streams[stream].over, true) {
            return;
        }
        let (engine, id) = (self.streams[stream].engine, self.streams[stream].request);
        let held = self.now - self.streams[stream].sent_at;
        self.engines[engine].remove(stream);
        let node = self.requests[id].node;
        let name = self.engines[engine].spec.name.clone();
        self.nodes[node].router.ended(&name, held);
        self.begin(engine);
        self.release(node);
    }

    pub(super) fn send(&mut self, id: usize, attempt: u32, from: u64, cause: Cause) {
        if self.requests[id].outcome.is_some() {
            return;
        }
        let node = self.requests[id].node;
        if cause == Cause::Retry && !self.nodes[node].retries.try_spend() {
            return self.step(id, Event::NoEndpoint { attempt });
        }
        let Some((name, import)) = self.choose(id) else {
            if cause == Cause::First {
                return self.step(id, Event::NoEndpoint { attempt });
            }
            let cause = Cause::Move;
            let again = Happening::Send {
                request: id,
                attempt,
                from,
                cause,
            };
            return self.push(self.now + LOOK_AGAIN, again);
        };
        self.dispatch(id, attempt, from, &name, import);
        if cause == Cause::First && self.requests[id].line.class < 2 {
            let at = self.now + self.requests[id].target() * HEDGE_TARGETS;
            self.push(
                at,
                Happening::Hedge {
                    request: id,
                    attempt,
                },
            );
        }
    }

    pub(super) fn choose(&mut self, id: usize) -> Option<(String, Option<Duration>)> {
        let request = &self.requests[id];
        let node = &mut self.nodes[request.node];
        let ask = |exclude| RoutingRequest {
            pool: &request.line.pool,
            prompt: &request.prompt,
            priority: Priority(request.line.class),
            target: request.target(),
            latency_weight: request.line.weight,
            exclude,
        };
        if let Some((name, import)) = self.planned.remove(&id) {
            if node
                .router
                .state(&name)
                .is_some_and(|s| s.is_usable(self.now))
            {
                node.router.sent(&name, &ask(&[]));
                return Some((name, import));
            }
        }
        let chosen = node
            .router
            .choose(self.now, &ask(&request.excluded), &mut self.rng);
        let chosen = chosen.or_else(|| node.router.choose(self.now, &ask(&[]), &mut self.rng))?;
        let name = chosen.chosen.endpoint;
        node.router.sent(&name, &ask(&[]));
        Some((name, None))
    }

    pub(super) fn dispatch(
        &mut self,
        id: usize,
        attempt: u32,
        from: u64,
        name: &str,
        import: Option<Duration>,
    ) {
        let engine = self.by_name[name];
        let stream = self.streams.len();
        self.streams.push(Stream {
            request: id,
            attempt,
            engine,
            from,
            sent_at: self.now,
            first_at: None,
            import,
            over: false,
        });
        let request = &mut self.requests[id];
        request.attempts += 1;
        request.live.push((attempt, stream));
        if self.engines[engine].gone {
            // The connection is refused: it did not start.
            return self.fail(stream, Failure::NotStarted);
        }
        let late = |at: Duration| self.now > at + LATE_START;
        self.totals.late_starts += u64::from(self.engines[engine].noticed_at.is_some_and(late));
        self.engines[engine].enqueue(self.requests[id].line.class, stream);
        self.begin(engine);
    }

    // Starts what can be started at an endpoint.
    pub(super) fn begin(&mut self, engine: usize) {
        while let Some(stream) = self.engines[engine].next() {
            let id = self.streams[stream].request;
            self.requests[id].started += 1;
            let first = self.now + self.time_to_first(stream, engine);
            self.streams[stream].first_at = Some(first);
            self.push(first, Happening::First(stream));
            if !self.requests[id].is_service() {
                let left = u64::from(self.requests[id].line.tokens) - self.streams[stream].from;
                let end = first + TOKEN_INTERVAL * left.saturating_sub(1) as u32;
                self.push(end, Happening::End(stream));
            }
        }
    }

    pub(super) fn time_to_first(&mut self, stream: usize, engine: usize) -> Duration {
        let Stream {
            request,
            from,
            import,
            ..
        } = self.streams[stream];
        if self.requests[request].is_service() {
            return SERVICE_TIME;
        }
        let blocks = self.requests[request].blocks_with(from);
        let cached = self.engines[engine].prefill(&blocks);
        if let Some(import) = import {
            return import + TOKEN_INTERVAL;
        }
        let context = u64::from(self.requests[request].line.prompt_tokens) + from;
        let missing = context - cached as u64 * u64::from(BLOCK_TOKENS);
        let known = blocks[cached..]
            .iter()
            .filter(|b| !self.computed.insert(**b))
            .count();
        self.totals.prefilled += missing;
        self.totals.recomputed += known as u64 * u64::from(BLOCK_TOKENS);
        Duration::from_micros(missing * PREFILL_US) + TOKEN_INTERVAL
    }

    // Hands the caller all parts that the stream has made by now.
    pub(super) fn deliver(&mut self, stream: usize) {
        let Stream {
            request: id,
            attempt,
            engine,
            from,
            over,
            ..
        } = self.streams[stream];
        if over || self.is_stalled(engine) {
            return;
        }
        let Some(first) = self.streams[stream].first_at.filter(|at| *at <= self.now) else {
            return;
        };
        let made = 1 + (self.now - first).as_millis() as u64 / TOKEN_INTERVAL.as_millis() as u64;
        let total = u64::from(self.requests[id].line.tokens);
        for offset in self.requests[id].parts.max(from)..(from + made).min(total) {
            let part = part_of(id, offset);
            self.step(
                id,
                Event::Part {
                    attempt,
                    offset,
                    part,
                },
            );
        }
        if self.requests[id].is_service() {
            self.end(stream);
        }
    }

    pub(super) fn is_stalled(&self, engine: usize) -> bool {
        let since = self.stalled.get(&self.engines[engine].spec.pool);
        since.is_some_and(|at| self.now >= *at)
    }

    pub(super) fn end(&mut self, stream: usize) {
        let Stream {
            request: id,
            attempt,
            engine,
            over,
            ..
        } = self.streams[stream];
        if over {
            return;
        }
        if !self.requests[id].is_service() {
            self.deliver(stream);
        }
        let total = u64::from(self.requests[id].line.tokens);
        let blocks = self.requests[id].blocks_with(total);
        self.engines[engine].prefill(&blocks);
        self.computed.extend(blocks);
        self.step(id, Event::End { attempt, total });
    }

    pub(super) fn end_stalls(&mut self) {
        self.stalled.clear();
        let live: Vec<usize> = (0..self.streams.len())
            .filter(|s| !self.streams[*s].over)
            .collect();
        live.into_iter().for_each(|s| self.deliver(s));
    }

    pub(super) fn catch_up(&mut self, id: usize) {
        let live: Vec<usize> = self.requests[id].live.iter().map(|(_, s)| *s).collect();
        live.into_iter().for_each(|s| self.deliver(s));
    }

    pub(super) fn hedge(&mut self, id: usize, attempt: u32) {
        let request = &self.requests[id];
        let waits = request.outcome.is_none() && request.first_at.is_none();
        let same = request.live.iter().any(|(a, _)| *a == attempt);
        if waits && same && self.nodes[request.node].hedges.try_spend() {
            self.step(id, Event::Hedge);
        }
    }

    pub(super) fn fail(&mut self, stream: usize, failure: Failure) {
        let Stream {
            request: id,
            attempt,
            engine,
            ..
        } = self.streams[stream];
        let name = self.engines[engine].spec.name.clone();
        self.requests[id].live.retain(|(_, s)| *s != stream);
        self.close(stream);
        let node = self.requests[id].node;
        self.nodes[node].router.failed(self.now, &name);
        self.requests[id].excluded.push(name);
        self.step(id, Event::Failed { attempt, failure });
    }
}
