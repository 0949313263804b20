//! Selects the configuration that a node has in force. Its version only increases, and a body is applied as a whole.

use std::collections::BTreeMap;
use std::time::Duration;

use schema::messages::HeadRow;

use crate::table::{head_key, Reply, TableCall};

/// Pause after a failed fetch, before the next source is tried.
const FETCH_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which a polling node reads the head row.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// A configuration version and the hash of its body.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    /// Version number from the table; 0 is the bootstrap file.
    pub number: i64,
    /// SHA-256 of the body.
    pub hash: String,
}

/// An event that a follower handles.
#[derive(Clone, Debug)]
pub enum ConfigEvent {
    /// A peer reported the version that it has in force.
    PeerReported {
        /// Name of the peer.
        peer: String,
        /// Version that the peer has in force.
        version: Version,
    },
    /// An edit published through this node was accepted as this version.
    Published(Version),
    /// The read of the head row ended.
    Replied(Reply),
    /// A fetch of a body ended. The caller has checked the body against `hash`.
    Fetched {
        /// Requested hash.
        hash: String,
        /// The body, `None` if the fetch failed.
        body: Option<String>,
    },
    /// Time passed.
    Tick {
        /// Whether this node is one of those that poll the head row.
        is_poller: bool,
    },
}

/// An action that a follower requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigAction {
    /// Read the head row.
    Call(TableCall),
    /// Fetch a body from a peer.
    FetchFromPeer {
        /// Name of the peer.
        peer: String,
        /// Hash of the body.
        hash: String,
    },
    /// Fetch a body from the object store.
    FetchFromStore {
        /// Hash of the body.
        hash: String,
    },
    /// Put this configuration in force.
    Apply {
        /// Its version.
        version: Version,
        /// Its body.
        body: String,
    },
}

/// Follows the newest configuration version for one node.
#[derive(Debug, Default)]
pub struct ConfigFollower {
    applied: Option<Version>,
    applied_at: Duration,
    wanted: Option<Version>,
    peer_versions: BTreeMap<String, i64>,
    is_fetching: bool,
    fetch_attempts: usize,
    next_fetch_at: Duration,
    next_poll_at: Duration,
    is_reading_head: bool,
    has_table_answered: bool,
}

impl ConfigFollower {
    /// The version in force and the time at which it was applied.
    pub fn applied(&self) -> Option<(&Version, Duration)> {
        self.applied.as_ref().map(|v| (v, self.applied_at))
    }

    /// Whether this node may serve: a configuration is in force, no newer version is known, and the table or a peer has
    /// reported its version.
    pub fn is_current(&self) -> bool {
        let has_report = self.has_table_answered || !self.peer_versions.is_empty();
        has_report && self.applied.is_some() && !self.has_newer_wanted()
    }

    /// Handles one event and returns the actions to carry out, in order.
    pub fn step(&mut self, now: Duration, event: ConfigEvent) -> Vec<ConfigAction> {
        match event {
            ConfigEvent::PeerReported { peer, version } => self.record_peer_version(peer, version),
            ConfigEvent::Published(version) => self.set_wanted(version),
            ConfigEvent::Replied(reply) => self.handle_head(reply),
            ConfigEvent::Fetched { hash, body } => return self.handle_body(now, &hash, body),
            ConfigEvent::Tick { is_poller } => return self.tick(now, is_poller),
        }
        self.fetch(now)
    }

    fn record_peer_version(&mut self, peer: String, version: Version) {
        self.peer_versions.insert(peer, version.number);
        self.set_wanted(version);
    }

    fn handle_head(&mut self, reply: Reply) {
        self.is_reading_head = false;
        let Reply::Row(row) = reply else {
            return;
        };
        self.has_table_answered = true;
        let head = row.and_then(|r| schema::decode::<HeadRow>(&r.value).ok());
        if let Some(head) = head {
            self.set_wanted(Version {
                number: head.version,
                hash: head.hash,
            });
        }
    }

    // Ignores versions that are not higher, as reported by a stale peer or a late read.
    fn set_wanted(&mut self, version: Version) {
        let known = self.wanted.as_ref().or(self.applied.as_ref());
        if known.is_some_and(|k| k.number >= version.number) {
            return;
        }
        self.wanted = Some(version);
        self.fetch_attempts = 0;
        self.next_fetch_at = Duration::ZERO;
    }

    fn has_newer_wanted(&self) -> bool {
        let applied = self.applied.as_ref().map(|v| v.number);
        self.wanted
            .as_ref()
            .is_some_and(|w| Some(w.number) > applied)
    }

    fn tick(&mut self, now: Duration, is_poller: bool) -> Vec<ConfigAction> {
        let mut actions = Vec::new();
        let is_starting = !self.has_table_answered && self.applied.is_none();
        if (is_poller || is_starting) && !self.is_reading_head && now >= self.next_poll_at {
            self.is_reading_head = true;
            self.next_poll_at = now + POLL_INTERVAL;
            actions.push(ConfigAction::Call(TableCall::Read(head_key())));
        }
        actions.extend(self.fetch(now));
        actions
    }

    fn fetch(&mut self, now: Duration) -> Vec<ConfigAction> {
        if self.is_fetching || !self.has_newer_wanted() || now < self.next_fetch_at {
            return Vec::new();
        }
        let Some(wanted) = self.wanted.clone() else {
            return Vec::new();
        };
        self.is_fetching = true;
        self.fetch_attempts += 1;
        match self.select_peer(wanted.number) {
            Some(peer) => vec![ConfigAction::FetchFromPeer {
                peer,
                hash: wanted.hash,
            }],
            None => vec![ConfigAction::FetchFromStore { hash: wanted.hash }],
        }
    }

    // Alternates between peers, in turn, and the object store. Fetches from peers put no load on the platform.
    fn select_peer(&self, number: i64) -> Option<String> {
        let peers = self.peer_versions.iter().filter(|(_, n)| **n >= number);
        let holders: Vec<&String> = peers.map(|(peer, _)| peer).collect();
        let from_peer = self.fetch_attempts % 2 == 1 && !holders.is_empty();
        from_peer.then(|| holders[self.fetch_attempts / 2 % holders.len()].clone())
    }

    fn handle_body(
        &mut self,
        now: Duration,
        hash: &str,
        body: Option<String>,
    ) -> Vec<ConfigAction> {
        if !std::mem::take(&mut self.is_fetching) {
            return Vec::new();
        }
        let wanted = self
            .wanted
            .clone()
            .filter(|w| w.hash == hash && self.has_newer_wanted());
        let (Some(version), Some(body)) = (wanted, body) else {
            self.next_fetch_at = now + FETCH_RETRY_PAUSE;
            return self.fetch(now);
        };
        self.applied = Some(version.clone());
        self.applied_at = now;
        vec![ConfigAction::Apply { version, body }]
    }

    /// Puts the bootstrap file in force as version 0, unless a configuration is already in force.
    pub fn bootstrap(&mut self, now: Duration, hash: String) {
        if self.applied.is_none() {
            self.applied = Some(Version { number: 0, hash });
            self.applied_at = now;
        }
    }
}
