//! Reads a caller's body into reserved memory.

use std::time::Duration;

use directory::Lookup;
use errors::Kind;
use http::request;
use hyper::body::Incoming;
use slog::warn;
use telemetry::Counter;

use crate::admission::{look_up, rank, LEAST_URGENT_RANK};
use crate::answer::Refusal;
use crate::buffers::BufferedBody;
use crate::caller::Caller;
use crate::gather::GatherError;
use crate::handler::UNROUTED_TIMEOUT;
use crate::ports::{CallerHead, Dialect};
use crate::traffic::Traffic;

impl<D: Dialect + 'static> Traffic<D> {
    /// Reads a complete body until the deadline `read_by`.
    pub async fn read_body(
        &self,
        parts: &request::Parts,
        head: &CallerHead,
        body: Incoming,
        read_by: Duration,
        caller: &Caller,
    ) -> Result<BufferedBody, Refusal> {
        let reservation = caller.account.reservation(memory::Kind::BodyRead);
        let memory_timeout = |bytes| self.body_memory_timeout(parts, head, bytes);
        let reading = self.room.gather(
            body,
            reservation,
            self.max_body_bytes(),
            Some(&memory_timeout),
        );
        match self.clock.timeout_at(read_by, reading).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(GatherError::TooLarge)) => Err(Refusal::not_run(
                Kind::BodyTooLarge,
                "the body is too large",
            )
            .closing_connection()),
            Ok(Err(GatherError::Broken)) => {
                Err(Refusal::not_run(Kind::MalformedBody, "the body broke off")
                    .closing_connection())
            }
            Ok(Err(GatherError::NoRoom(bytes))) => Err(self.memory_refusal(head, bytes)),
            Err(_) => {
                Err(Refusal::not_run(Kind::SlowSender, "the body is late").closing_connection())
            }
        }
    }

    // How long a body waits for memory. The route is looked up only here, since most bodies get memory at once.
    fn body_memory_timeout(
        &self,
        parts: &request::Parts,
        head: &CallerHead,
        bytes: u64,
    ) -> Duration {
        let state = self.state.borrow();
        let (rank, target) = match state.directory.as_ref().map(|d| look_up(d, parts, head)) {
            Some(Lookup::Allowed { route, tenant }) => (rank(route, tenant), route.target),
            _ => (LEAST_URGENT_RANK, UNROUTED_TIMEOUT),
        };
        memory::max_body_wait(rank, bytes, target)
    }

    fn memory_refusal(&self, head: &CallerHead, bytes: u64) -> Refusal {
        let ledger = self.room.ledger();
        let retry_after = self.room.retry_after(bytes);
        self.metrics.count(Counter::MemoryRefused);
        warn!(self.log, "body refused for want of memory"; "id" => &head.id, "lacks" => bytes,
            "held_in_all" => ledger.total(), "budget" => ledger.budget().max_bytes,
            "share" => ledger.share(), "retry_after_ms" => retry_after.as_millis() as u64);
        Refusal::not_run(
            Kind::TooManyRequests,
            "the gateway has no memory for the body",
        )
        .with_retry_after(retry_after)
        .closing_connection()
    }

    fn max_body_bytes(&self) -> usize {
        let state = self.state.borrow();
        let directory = state.directory.as_ref();
        directory.map_or(1 << 20, |d| d.configuration().bounds.max_body_bytes)
    }
}
