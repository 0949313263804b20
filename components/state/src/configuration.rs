//! Which configuration a node has in force: whole or not at all, and only ever upward.

use std::collections::BTreeMap;
use std::time::Duration;

use schema::messages::HeadRow;

use crate::table::{head_key, Reply, TableCall};

/// Pause after a fetch that brought nothing, before the next source is tried.
const FETCH_PAUSE: Duration = Duration::from_millis(500);
/// Pause between reads of the head row by a node that is_poller it.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// A version and the hash of its body.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    /// Counter from the table; 0 is the bootstrap file.
    pub number: i64,
    /// SHA-256 of the body.
    pub hash: String,
}

/// What a follower receives.
#[derive(Clone, Debug)]
pub enum ConfigEvent {
    /// A peer has this version.
    PeerReported {
        /// Name of the peer.
        peer: String,
        /// What it has in force.
        version: Version,
    },
    /// This node has just had this version accepted.
    Published(Version),
    /// The read of the head row came back.
    Replied(Reply),
    /// A fetch of a body ended; the bytes were checked against `hash` by whoever fetched them.
    Fetched {
        /// Hash that was asked for.
        hash: String,
        /// The body, if it was got.
        body: Option<String>,
    },
    /// Time passed; `is_poller` says whether this node is one of those that read the table.
    Tick {
        /// Whether to read the head row when it is due.
        is_poller: bool,
    },
}

/// What a follower asks for.
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

/// The configuration of one node.
#[derive(Debug, Default)]
pub struct ConfigFollower {
    applied: Option<Version>,
    applied_at: Duration,
    wanted: Option<Version>,
    holders: BTreeMap<String, i64>,
    fetching: bool,
    tries: usize,
    next_fetch: Duration,
    next_poll: Duration,
    reading: bool,
    table_answered: bool,
}

impl ConfigFollower {
    /// What is in force, and since when.
    pub fn applied(&self) -> Option<(&Version, Duration)> {
        self.applied.as_ref().map(|v| (v, self.applied_at))
    }

    /// Whether this node may serve: something is in force, nothing newer is known, and the table
    /// or a peer was heard.
    pub fn is_current(&self) -> bool {
        let known = self.table_answered || !self.holders.is_empty();
        known && self.applied.is_some() && !self.wants_more()
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn step(&mut self, now: Duration, event: ConfigEvent) -> Vec<ConfigAction> {
        match event {
            ConfigEvent::PeerReported { peer, version } => self.receive(peer, version),
            ConfigEvent::Published(version) => self.want(version),
            ConfigEvent::Replied(reply) => self.take_head(reply),
            ConfigEvent::Fetched { hash, body } => return self.take_body(now, &hash, body),
            ConfigEvent::Tick { is_poller } => return self.tick(now, is_poller),
        }
        self.fetch(now)
    }

    fn receive(&mut self, peer: String, version: Version) {
        self.holders.insert(peer, version.number);
        self.want(version);
    }

    fn take_head(&mut self, reply: Reply) {
        self.reading = false;
        let Reply::Row(row) = reply else {
            return;
        };
        self.table_answered = true;
        let head = row.and_then(|r| schema::decode::<HeadRow>(&r.value).ok());
        if let Some(head) = head {
            self.want(Version {
                number: head.version,
                hash: head.hash,
            });
        }
    }

    // Only a higher number is ever wanted: a stale peer or a late read changes nothing.
    fn want(&mut self, version: Version) {
        let known = self.wanted.as_ref().or(self.applied.as_ref());
        if known.is_some_and(|k| k.number >= version.number) {
            return;
        }
        self.wanted = Some(version);
        self.tries = 0;
        self.next_fetch = Duration::ZERO;
    }

    fn wants_more(&self) -> bool {
        let applied = self.applied.as_ref().map(|v| v.number);
        self.wanted
            .as_ref()
            .is_some_and(|w| Some(w.number) > applied)
    }

    fn tick(&mut self, now: Duration, is_poller: bool) -> Vec<ConfigAction> {
        let mut actions = Vec::new();
        let starting = !self.table_answered && self.applied.is_none();
        if (is_poller || starting) && !self.reading && now >= self.next_poll {
            self.reading = true;
            self.next_poll = now + POLL_INTERVAL;
            actions.push(ConfigAction::Call(TableCall::Read(head_key())));
        }
        actions.extend(self.fetch(now));
        actions
    }

    fn fetch(&mut self, now: Duration) -> Vec<ConfigAction> {
        if self.fetching || !self.wants_more() || now < self.next_fetch {
            return Vec::new();
        }
        let Some(wanted) = self.wanted.clone() else {
            return Vec::new();
        };
        self.fetching = true;
        self.tries += 1;
        match self.source(wanted.number) {
            Some(peer) => vec![ConfigAction::FetchFromPeer {
                peer,
                hash: wanted.hash,
            }],
            None => vec![ConfigAction::FetchFromStore { hash: wanted.hash }],
        }
    }

    // Peers in turn, and the object store after each: a peer costs the platform nothing.
    fn source(&self, number: i64) -> Option<String> {
        let having = self.holders.iter().filter(|(_, n)| **n >= number);
        let holders: Vec<&String> = having.map(|(peer, _)| peer).collect();
        let from_peer = self.tries % 2 == 1 && !holders.is_empty();
        from_peer.then(|| holders[self.tries / 2 % holders.len()].clone())
    }

    fn take_body(&mut self, now: Duration, hash: &str, body: Option<String>) -> Vec<ConfigAction> {
        if !std::mem::take(&mut self.fetching) {
            return Vec::new();
        }
        let wanted = self
            .wanted
            .clone()
            .filter(|w| w.hash == hash && self.wants_more());
        let (Some(version), Some(body)) = (wanted, body) else {
            self.next_fetch = now + FETCH_PAUSE;
            return self.fetch(now);
        };
        self.applied = Some(version.clone());
        self.applied_at = now;
        vec![ConfigAction::Apply { version, body }]
    }

    /// Puts the bootstrap file in force, as version 0, on a node that has nothing yet.
    pub fn bootstrap(&mut self, now: Duration, hash: String) {
        if self.applied.is_none() {
            self.applied = Some(Version { number: 0, hash });
            self.applied_at = now;
        }
    }
}
