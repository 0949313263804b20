//! One other gateway.

use std::net::SocketAddr;
use std::time::Duration;

use crate::peers::HallCount;

/// A gateway not heard for this long is silent.
pub(super) const SILENT_AFTER: Duration = Duration::from_millis(1500);
/// A gateway that was listed and never heard may be running for this long; its address is tried as long.
pub(super) const TRY_ADDRESS_FOR: Duration = Duration::from_secs(20);
/// A gateway that gave no sign of life when one was due is passed over for this long.
const PASSED_OVER_FOR: Duration = Duration::from_secs(5);

/// A gateway as the store's list names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: String,
    /// Processor of its VM, in thousandths of a core.
    pub cores_milli: i32,
    /// Where it decides for others, if it coordinates.
    pub decisions: Option<SocketAddr>,
}

/// What a message says of the gateway that sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Greeting {
    /// Its name.
    pub name: String,
    /// Where the message came from.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: String,
    /// Processor of its VM, in thousandths of a core.
    pub cores_milli: i32,
    /// Start of its process.
    pub incarnation: i64,
    /// Counter of its messages.
    pub sequence: i64,
    /// Whether the store answered its last call.
    pub reaches_store: bool,
    /// Whether it decides for others of its hall.
    pub coordinates: bool,
    /// Where it does so.
    pub decisions: Option<SocketAddr>,
    /// Gateways of its hall, as it knows them.
    pub hall_count: Option<HallCount>,
    /// Gateways of all halls, as it knows them.
    pub gateways: Option<usize>,
    /// Coordinator that it asks first.
    pub asks: Option<String>,
    /// Whether it keeps accounts of endpoints that name limits, if it coordinates.
    pub keeps_accounts: bool,
}

#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub address: SocketAddr,
    pub hall: String,
    pub cores_milli: i32,
    /// Where it decides for others, if it coordinates.
    pub decisions: Option<SocketAddr>,
    pub listed_at: Duration,
    // The newest message, and when it came.
    pub heard: Option<(Greeting, Duration)>,
    // Since when a message of it is due and none came.
    due_since: Option<Duration>,
}

impl Peer {
    pub fn listed(now: Duration, listed: Listed) -> Self {
        Peer {
            address: listed.address,
            hall: listed.hall,
            cores_milli: listed.cores_milli,
            decisions: listed.decisions,
            listed_at: now,
            heard: None,
            due_since: None,
        }
    }

    pub fn receive(&mut self, now: Duration, greeting: Greeting) {
        self.address = greeting.address;
        self.hall = greeting.hall.clone();
        self.cores_milli = greeting.cores_milli;
        self.decisions = greeting.decisions.or(self.decisions);
        self.heard = Some((greeting, now));
        self.due_since = None;
    }

    /// The newest message, if it is recent.
    pub fn recent(&self, now: Duration) -> Option<&Greeting> {
        let (greeting, at) = self.heard.as_ref()?;
        (now < *at + SILENT_AFTER).then_some(greeting)
    }

    pub fn is_alive(&self, now: Duration) -> bool {
        self.recent(now).is_some()
    }

    /// Whether it is heard and decides for others.
    pub fn coordinates(&self, now: Duration) -> bool {
        self.recent(now)
            .is_some_and(|greeting| greeting.coordinates)
    }

    /// Whether it may be running without being heard.
    pub fn is_silent(&self, now: Duration) -> bool {
        match self.heard {
            Some(_) => !self.is_alive(now),
            None => now < self.listed_at + TRY_ADDRESS_FOR,
        }
    }

    /// A message of it is due from now on.
    pub fn expect(&mut self, now: Duration) {
        let overdue = |since: Duration| now >= since + SILENT_AFTER + PASSED_OVER_FOR;
        if !self.is_alive(now) && self.due_since.is_none_or(overdue) {
            self.due_since = Some(now);
        }
    }

    /// Whether it gave no sign of life when one was due.
    pub fn is_down(&self, now: Duration) -> bool {
        if self.heard.is_some() {
            return !self.is_alive(now);
        }
        let overdue = |since: Duration| now >= since + SILENT_AFTER;
        self.due_since.is_some_and(overdue)
    }

    /// Whether a message is older than what is known. The time of day may have been set back, so a
    /// silent process may be followed by one that seems to have started earlier.
    pub fn is_past(&self, now: Duration, greeting: &Greeting) -> bool {
        let Some((known, _)) = &self.heard else {
            return false;
        };
        if !self.is_alive(now) && greeting.incarnation != known.incarnation {
            return false;
        }
        (greeting.incarnation, greeting.sequence) <= (known.incarnation, known.sequence)
    }
}
