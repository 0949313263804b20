//! What goes into a session and what comes out.

use std::time::Duration;

/// Something that happened to the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<P> {
    /// The request may start.
    Start,
    /// An attempt delivered the part of the answer at `offset`.
    Part {
        /// Attempt that delivered it.
        attempt: u32,
        /// Place in the answer, from 0.
        offset: u64,
        /// The part itself: a token, or the whole response of a service.
        part: P,
    },
    /// An attempt says that the answer has `total` parts.
    End {
        /// Attempt that ended.
        attempt: u32,
        /// Number of parts of the whole answer.
        total: u64,
    },
    /// An attempt failed.
    Failed {
        /// Attempt that failed.
        attempt: u32,
        /// How it failed.
        failure: Failure,
    },
    /// The endpoint of the attempt leaves: continue on another one.
    Move {
        /// Attempt to move.
        attempt: u32,
    },
    /// The first part is late: try a second endpoint beside the first.
    Hedge,
    /// No endpoint could be given to the attempt asked for last.
    NoEndpoint {
        /// Attempt that got no endpoint.
        attempt: u32,
    },
    /// Time passed.
    Tick,
    /// The caller hung up.
    CallerGone,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The endpoint proved that it did not start, or was never reached.
    NotStarted,
    /// The endpoint may have started.
    Unknown,
}

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The first attempt of the request.
    First,
    /// The one before failed; drawn from the retry budget.
    Retry,
    /// The endpoint before is leaving; never refused for lack of budget.
    Move,
    /// The first part is late; drawn from the hedge budget.
    Hedge,
}

/// What the session asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<P> {
    /// Make an attempt that continues at an offset.
    Dispatch {
        /// Number of the attempt.
        attempt: u32,
        /// First part that the attempt should deliver.
        from: u64,
        /// Earliest time of the dispatch.
        not_before: Duration,
        /// Why it is made.
        cause: Cause,
    },
    /// Give a part to the caller; parts come at offsets 0, 1, 2 and so on.
    Emit {
        /// Attempt the part came from.
        attempt: u32,
        /// Place in the answer.
        offset: u64,
        /// The part.
        part: P,
    },
    /// Cancel an attempt at its endpoint.
    Cancel {
        /// Number of the attempt.
        attempt: u32,
    },
    /// The request is over; nothing follows.
    Finish(Outcome),
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller has the whole answer.
    Done {
        /// Number of parts.
        total: u64,
    },
    /// It did not run.
    Refused(Reason),
    /// It may have run.
    Failed(Reason),
    /// The caller hung up.
    Abandoned,
}

/// Why a request ended without its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The deadline passed.
    Deadline,
    /// No endpoint was left to try.
    NoEndpoint,
    /// The attempts allowed are used up.
    Attempts,
    /// The endpoint failed and the request must not be repeated.
    NotRepeatable,
}
