//! State of one other gateway.

use std::net::SocketAddr;
use std::time::Duration;

use crate::peers::HallCount;

/// Time without a message after which a gateway counts as silent.
pub(super) const SILENT_AFTER: Duration = Duration::from_millis(1500);
/// Time for which a listed gateway that was never heard may be running, and for which messages are sent to its
/// address.
pub(super) const ADDRESS_LIFETIME: Duration = Duration::from_secs(20);
/// Time for which a gateway whose due message did not arrive counts as down.
const DOWN_TIME: Duration = Duration::from_secs(5);

/// A gateway in the store's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedGateway {
    pub name: String,
    /// Address for gossip and rows.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: String,
    /// CPU capacity of its VM, in thousandths of a core.
    pub cores_milli: i32,
    /// Address for placement queries, used if it is a coordinator.
    pub decisions: Option<SocketAddr>,
}

/// Status of a gateway, as its messages contain it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    pub name: String,
    /// Source address of the message.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: String,
    /// CPU capacity of its VM, in thousandths of a core.
    pub cores_milli: i32,
    /// Start of its process; a restarted process has a higher value unless the wall clock was set back.
    pub incarnation: i64,
    /// Sequence number of the message.
    pub sequence: i64,
    /// Whether the store answered its last call.
    pub reaches_store: bool,
    /// Whether it is a coordinator of its hall.
    pub is_coordinator: bool,
    /// Address for placement queries.
    pub decisions: Option<SocketAddr>,
    /// Counts of the gateways of its hall, as it knows them.
    pub hall_count: Option<HallCount>,
    /// Count of the gateways of all halls, as it knows them.
    pub gateways: Option<usize>,
    /// Coordinator that it asks first.
    pub preferred_coordinator: Option<String>,
    /// Whether it keeps accounts of endpoints with a named limit, if it is a coordinator.
    pub keeps_accounts: bool,
    /// Whether it has lost its own paths to the endpoints.
    pub has_lost_paths: bool,
    /// Gateways that connect to endpoints for others, as a coordinator reports them.
    pub relays: Vec<SocketAddr>,
}

#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub address: SocketAddr,
    pub hall: String,
    pub cores_milli: i32,
    /// Address for placement queries, used if it is a coordinator.
    pub decisions: Option<SocketAddr>,
    pub listed_at: Duration,
    // Status in the newest message, and when that arrived.
    pub last_status: Option<(PeerStatus, Duration)>,
    // Since when a message of this gateway is due, if none has arrived.
    due_since: Option<Duration>,
}

impl Peer {
    pub fn from_list(now: Duration, listed: ListedGateway) -> Self {
        Peer {
            address: listed.address,
            hall: listed.hall,
            cores_milli: listed.cores_milli,
            decisions: listed.decisions,
            listed_at: now,
            last_status: None,
            due_since: None,
        }
    }

    pub fn receive(&mut self, now: Duration, status: PeerStatus) {
        self.address = status.address;
        self.hall = status.hall.clone();
        self.cores_milli = status.cores_milli;
        self.decisions = status.decisions.or(self.decisions);
        self.last_status = Some((status, now));
        self.due_since = None;
    }

    /// The newest status, if it is recent.
    pub fn recent_status(&self, now: Duration) -> Option<&PeerStatus> {
        let (status, at) = self.last_status.as_ref()?;
        (now < *at + SILENT_AFTER).then_some(status)
    }

    pub fn is_alive(&self, now: Duration) -> bool {
        self.recent_status(now).is_some()
    }

    /// Whether it is alive and a coordinator.
    pub fn is_coordinator(&self, now: Duration) -> bool {
        self.recent_status(now)
            .is_some_and(|status| status.is_coordinator)
    }

    /// Whether it may be running although no recent message came from it.
    pub fn is_silent(&self, now: Duration) -> bool {
        match self.last_status {
            Some(_) => !self.is_alive(now),
            None => now < self.listed_at + ADDRESS_LIFETIME,
        }
    }

    /// Records that a message is due from now on.
    pub fn expect_message(&mut self, now: Duration) {
        let overdue = |since: Duration| now >= since + SILENT_AFTER + DOWN_TIME;
        if !self.is_alive(now) && self.due_since.is_none_or(overdue) {
            self.due_since = Some(now);
        }
    }

    /// Whether it is considered down: it fell silent, or it was never heard although a message was due.
    pub fn is_down(&self, now: Duration) -> bool {
        if self.last_status.is_some() {
            return !self.is_alive(now);
        }
        let overdue = |since: Duration| now >= since + SILENT_AFTER;
        self.due_since.is_some_and(overdue)
    }

    /// Whether a message is older than the known state. The wall clock may have been set back, so the successor
    /// of a silent process may seem to have started earlier.
    pub fn is_outdated(&self, now: Duration, status: &PeerStatus) -> bool {
        let Some((known, _)) = &self.last_status else {
            return false;
        };
        if !self.is_alive(now) && status.incarnation != known.incarnation {
            return false;
        }
        (status.incarnation, status.sequence) <= (known.incarnation, known.sequence)
    }
}
