//! Attempts: each runs on a thread of its own and reports the request's thread what comes.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use fleet::Move;
use flume::Sender;
use state::Reply;
use telemetry::RequestSpan;
use transport::{
    call_service, AttemptEnd, GenerateRequest, GenerationEvent, ServiceCall, ServiceReply,
};

use crate::shared::Shared;

/// Stack of an attempt's thread, in bytes: it holds little more than a line of the answer.
const STACK_BYTES: usize = 128 * 1024;

/// What a request's thread receives.
#[derive(Debug)]
pub enum RunEvent {
    /// The gate lets the request in.
    Admitted,
    /// A piece of an engine's answer.
    Piece {
        /// Attempt it came from.
        attempt: u32,
        /// The piece.
        piece: GenerationEvent,
    },
    /// A service answered whole.
    Answered {
        /// Attempt it came from.
        attempt: u32,
        /// The answer.
        reply: ServiceReply,
    },
    /// An attempt is over.
    Ended {
        /// Its number.
        attempt: u32,
        /// How it ended.
        end: AttemptEnd,
    },
    /// The endpoint leaves; the plan says how to go on.
    Leaving {
        /// Attempt that runs there.
        attempt: u32,
        /// How to go on.
        plan: Move,
    },
    /// A more urgent request needs the slot.
    Yield {
        /// Attempt that should make room.
        attempt: u32,
    },
    /// A table call of the request's claim came back.
    Table {
        /// Number of the call.
        call: u32,
        /// Its reply.
        reply: Reply,
    },
}

/// An attempt under way.
#[derive(Debug)]
pub struct Attempt {
    /// Endpoint it runs on.
    pub endpoint: String,
    /// Address of the endpoint.
    pub address: String,
    /// Stream there, once it is known.
    pub stream: Option<String>,
    /// When it was sent.
    pub sent: Duration,
    /// When something came last.
    pub heard: Duration,
    cancelled: Arc<AtomicBool>,
    // Ends with the attempt.
    span: RequestSpan,
}

impl Attempt {
    /// An attempt that is about to be sent, as a hop of its request.
    pub fn new(endpoint: String, address: String, now: Duration, hop: &RequestSpan) -> Self {
        let span = hop.child("attempt");
        span.set_attribute("endpoint", endpoint.clone());
        Attempt {
            endpoint,
            address,
            stream: None,
            sent: now,
            heard: now,
            cancelled: Arc::new(AtomicBool::new(false)),
            span,
        }
    }

    /// Starts a generation; its pieces go to `events`.
    pub fn generate(
        &self,
        shared: &Arc<Shared>,
        number: u32,
        request: GenerateRequest,
        events: Sender<RunEvent>,
    ) {
        let (shared, address) = (Arc::clone(shared), self.address.clone());
        let cancelled = Arc::clone(&self.cancelled);
        let traceparent = self.span.traceparent();
        spawn(move || {
            let mut receive = |piece| {
                let gone = cancelled.load(Ordering::Acquire);
                !gone
                    && events
                        .send(RunEvent::Piece {
                            attempt: number,
                            piece,
                        })
                        .is_ok()
            };
            let traceparent = traceparent.as_deref();
            let end = shared
                .engine
                .generate(&address, &request, traceparent, &mut receive);
            let _ = events.send(RunEvent::Ended {
                attempt: number,
                end,
            });
        });
    }

    /// Starts a call of a service; its answer goes to `events`.
    pub fn call(&self, number: u32, mut call: ServiceCall, events: Sender<RunEvent>) {
        let address = self.address.clone();
        let traceparent = self.span.traceparent();
        call.headers
            .extend(traceparent.map(|value| ("traceparent".to_string(), value)));
        spawn(move || {
            let event = match call_service(&address, &call) {
                Ok(reply) => RunEvent::Answered {
                    attempt: number,
                    reply,
                },
                Err(end) => RunEvent::Ended {
                    attempt: number,
                    end,
                },
            };
            let _ = events.send(event);
        });
    }

    /// Cancels the attempt here and at its endpoint, without waiting for either.
    pub fn cancel(&self, shared: &Arc<Shared>) {
        self.cancelled.store(true, Ordering::Release);
        let Some(stream) = self.stream.clone() else {
            return;
        };
        let (shared, address) = (Arc::clone(shared), self.address.clone());
        spawn(move || {
            let _ = shared.engine.cancel(&address, &stream);
        });
    }
}

/// Starts a thread with a small stack. When none can be had the work is dropped, and the request
/// ends at its deadline.
pub fn spawn(work: impl FnOnce() + Send + 'static) {
    let _ = thread::Builder::new().stack_size(STACK_BYTES).spawn(work);
}
