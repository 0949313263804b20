//! What the surroundings of the gateways saw, in the order in which they wrote it down.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use serde::{Deserialize, Serialize};

/// How often a request may run, and how its answer comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// At most once.
    Once,
    /// More than once.
    Repeatable,
    /// A stream that runs at most once.
    Stream,
    /// A stream that may be resumed.
    Resumable,
}

impl Kind {
    /// Whether a request runs at most once.
    pub fn runs_once(self) -> bool {
        matches!(self, Kind::Once | Kind::Stream)
    }
}

/// What a client got as a body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The marked end came; `right` if it is the body that the endpoint makes for this request.
    Whole { right: bool },
    /// The body ended before its marked end.
    Cut,
    /// A stream: numbers of its events, whether all were of this request, how many its endpoint
    /// makes, and whether its marked end came.
    Events {
        numbers: Vec<u64>,
        own: bool,
        total: u64,
        ended: bool,
    },
}

/// Why a client has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lack {
    /// The connection ended before a head came.
    Closed,
    /// The client waited past its deadline.
    TimedOut,
    /// The client left on purpose.
    Left,
}

/// Where a fault is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Place {
    /// At one gateway or its way to the store.
    Gateway(usize),
    /// At the store.
    Store,
    /// At one endpoint or the way to it.
    Endpoint(usize),
}

/// One thing seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Seen {
    /// A client is about to send a request.
    Sent {
        id: String,
        kind: Kind,
        path: String,
        key: String,
        gateway: usize,
    },
    /// A client got an answer. `of` is the id that it carries; `signed` says it is an endpoint's.
    Answered {
        id: String,
        status: u16,
        of: Option<String>,
        signed: bool,
        body: Body,
    },
    /// A client got none.
    Unanswered { id: String, why: Lack },
    /// A client is about to continue a stream after an event; `first` is the request that brought its first event.
    Continues {
        id: String,
        first: String,
        after: u64,
    },
    /// A client closed its connection in the middle of a stream.
    LostConnection { id: String },
    /// Most new connections of clients go to one gateway from now on; `None` if to any.
    Concentrated { gateway: Option<usize> },
    /// Software versions in the events that a client got in an answer.
    EventVersions { id: String, versions: Vec<String> },
    /// An endpoint of a service begins or ends to serve with a software version.
    Software {
        endpoint: String,
        service: String,
        version: String,
        serves: bool,
    },
    /// Bytes came to a client where no answer was due.
    Stray { gateway: usize },
    /// An endpoint begins to run a request.
    Began {
        id: String,
        endpoint: String,
        path: String,
        team: Option<String>,
        key_shown: bool,
    },
    /// An endpoint turns a request away without running it.
    TurnedAway { id: String, endpoint: String },
    /// An endpoint started, maybe again under its id: what it said before holds no more.
    EndpointStarted { endpoint: String },
    /// An endpoint is about to say in its answer to a request that it leaves.
    SaidLeaving { id: String, endpoint: String },
    /// An endpoint is about to turn a request away and to ask its gateway for a pause of some ms.
    AskedPause {
        id: String,
        endpoint: String,
        ms: u64,
    },
    /// An endpoint is about to name a limit, in thousandths of a request a second, as it does until a time in ms.
    NamedLimit {
        id: String,
        endpoint: String,
        milli: u64,
        until: u64,
    },
    /// An endpoint ends a request badly on purpose.
    BrokeOff { id: String },
    /// The store took the word that an endpoint leaves.
    Leaving { endpoint: String },
    /// The store took a configuration.
    Configured { version: u64 },
    /// The taker of reports got one and took it.
    Reported {
        holder: String,
        fence: u64,
        window: i64,
        counts: String,
    },
    /// A fault begins.
    Fault { place: Place, what: String },
    /// A fault is over.
    Healed { place: Place, what: String },
    /// A gateway was started.
    Started { gateway: usize },
    /// A gateway that was just started is of the older build.
    RunsOlder { gateway: usize },
    /// A gateway was asked to stop.
    Asked { gateway: usize },
    /// A gateway's process is gone; `own` if nobody asked or ended it.
    Gone { gateway: usize, own: bool },
}

/// One thing seen, and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Milliseconds since the start of the run.
    pub at: u64,
    /// What was seen.
    pub seen: Seen,
}

/// A history that many write.
#[derive(Clone, Debug)]
pub struct History {
    started: Instant,
    records: Arc<Mutex<Vec<Record>>>,
}

impl History {
    /// An empty history that begins now.
    pub fn begin() -> Self {
        History {
            started: Instant::now(),
            records: Arc::default(),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes down what is seen now.
    pub fn note(&self, seen: Seen) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.push(Record {
            at: self.now(),
            seen,
        });
    }

    /// All so far.
    pub fn records(&self) -> Vec<Record> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.clone()
    }
}
