//! Contents that are suspected of ending endpoints, and contents that are held back.

use std::collections::BTreeMap;
use std::time::Duration;

use lru::LruCache;

use crate::completions::RecentCompletions;
use crate::holds::{hold_duration, NEW_HOLD_PERIOD};
use crate::part_holds::PartQuarantine;
use crate::Fingerprint;

/// Number of endpoints that have to end while running a content before it is held back. With two, a single retry by the
/// caller would be enough at times when endpoints end for other reasons.
const MIN_ENDS_TO_HOLD: usize = 3;
/// Number of ended endpoints from which gateways do not retry a content that was cut off, but leave that to the caller: a
/// retry would end the next endpoint at once, with everything that runs there.
const MIN_ENDS_TO_STOP_RETRIES: usize = 2;
/// How long after the last ended endpoint a suspicion expires.
const SUSPICION_TTL: Duration = Duration::from_secs(600);
/// Maximum number of suspects; the least recently reported one is evicted. Enough for all requests of 100 endpoints that
/// run 20 each. About 100 bytes each.
const MAX_SUSPECTS: usize = 2048;
/// Maximum number of holds; the one that expires first is evicted.
const MAX_HOLDS: usize = 256;
/// What one gateway observed of a request and reports to the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// An endpoint ended while it ran the request.
    Ended(EndedRun),
    /// The content ran to completion.
    Completed(Fingerprint),
    /// An endpoint went on after it had begun to write an answer on these prompt parts.
    Begun(Vec<Fingerprint>),
}

/// A run whose endpoint ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndedRun {
    /// Content of the request.
    pub content: Fingerprint,
    /// Hash that identifies the endpoint and its start.
    pub endpoint: u64,
    /// Prompt parts on which the endpoint could just have begun to write an answer.
    pub parts: Vec<Fingerprint>,
    /// Time from the send of the request to the end.
    pub ran_for: Duration,
    /// Whether the request was sent as a trial of parts that are held back.
    pub is_trial: bool,
}

/// The hold of a content, as gateways report it and the store keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// The content.
    pub content: Fingerprint,
    /// Time until the hold ends; zero if it has ended.
    pub remaining: Duration,
    /// How often the content was held back so far, 1 or more.
    pub hold_count: u32,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    // Hashes of the endpoints that ended, without duplicates.
    ended: Vec<u64>,
    last_end: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    until: Duration,
    hold_count: u32,
    changed_at: Duration,
}

/// What one gateway knows of contents that end endpoints: suspects, holds and recent completions.
#[derive(Debug)]
pub struct Quarantine {
    suspects: LruCache<Fingerprint, Suspect>,
    holds: BTreeMap<Fingerprint, Hold>,
    completions: RecentCompletions,
    /// The same of prompt parts.
    pub parts: PartQuarantine,
}

impl Default for Quarantine {
    fn default() -> Self {
        Quarantine {
            suspects: LruCache::unbounded(),
            holds: BTreeMap::new(),
            completions: RecentCompletions::default(),
            parts: PartQuarantine::default(),
        }
    }
}

impl Quarantine {
    /// A quarantine of a gateway whose turns to try prompt parts follow from this number.
    pub fn with_turn(turn: u64) -> Self {
        Quarantine {
            parts: PartQuarantine::with_turn(turn),
            ..Quarantine::default()
        }
    }

    /// Records what this or another gateway observed. Returns whether it was news; duplicates count once.
    pub fn record(&mut self, now: Duration, observation: &Observation) -> bool {
        match observation {
            Observation::Ended(run) => {
                let EndedRun {
                    endpoint,
                    ran_for,
                    parts,
                    ..
                } = run;
                let of_parts = self
                    .parts
                    .record_end(now, *endpoint, *ran_for, parts, run.is_trial);
                self.record_end(now, run.content, *endpoint) || of_parts
            }
            Observation::Completed(content) => self.record_completion(now, *content),
            Observation::Begun(parts) => self.parts.record_begun(now, parts),
        }
    }

    fn record_end(&mut self, now: Duration, content: Fingerprint, endpoint: u64) -> bool {
        if self.completions.contains(now, content) || self.remaining_hold(now, content).is_some() {
            return false;
        }
        let suspect = self.suspects.get_or_insert_mut(content, Suspect::default);
        if now >= suspect.last_end + SUSPICION_TTL {
            suspect.ended.clear();
        }
        if suspect.ended.contains(&endpoint) {
            return false;
        }
        suspect.ended.push(endpoint);
        suspect.last_end = now;
        let ended = suspect.ended.len();
        let hold_count = self.holds.get(&content).map_or(0, |hold| hold.hold_count);
        // A content that was held back before is held back again at its next ended endpoint.
        if ended >= MIN_ENDS_TO_HOLD || hold_count > 0 {
            self.start_hold(now, content, hold_count + 1);
        } else if self.suspects.len() > MAX_SUSPECTS {
            self.suspects.pop_lru();
        }
        true
    }

    fn start_hold(&mut self, now: Duration, content: Fingerprint, hold_count: u32) {
        self.suspects.pop(&content);
        let hold = Hold {
            until: now + hold_duration(hold_count),
            hold_count,
            changed_at: now,
        };
        self.holds.insert(content, hold);
        self.evict_excess_hold();
    }

    fn evict_excess_hold(&mut self) {
        if self.holds.len() > MAX_HOLDS {
            let first = self.holds.iter().min_by_key(|(_, hold)| hold.until);
            if let Some(content) = first.map(|(content, _)| *content) {
                self.holds.remove(&content);
            }
        }
    }

    // A completion is news only for a content that was suspected or held back here: the other gateways suspect and hold back
    // the same contents.
    fn record_completion(&mut self, now: Duration, content: Fingerprint) -> bool {
        self.completions.record(now, content);
        let was_suspected = self.suspects.pop(&content).is_some();
        let held = self.holds.get_mut(&content);
        let was_held = held.is_some_and(|hold| {
            let is_held = now < hold.until;
            if is_held {
                hold.until = now;
                hold.changed_at = now;
            }
            is_held
        });
        was_suspected || was_held
    }

    /// Merges a hold that another gateway reported or the store keeps. Returns whether the content
    /// began or ceased to be held back here.
    pub fn merge_held(&mut self, now: Duration, reported: Held) -> bool {
        let was_held = self.remaining_hold(now, reported.content).is_some();
        let remaining = reported.remaining.min(hold_duration(reported.hold_count));
        let until = now + remaining;
        let known = self.holds.get_mut(&reported.content);
        match known {
            Some(hold) if hold.hold_count > reported.hold_count => return false,
            // Of two remaining times of the same hold, the shorter one is right: reports are delayed on their way, or the
            // hold was ended early.
            Some(hold) if hold.hold_count == reported.hold_count => {
                hold.until = hold.until.min(until)
            }
            _ => {
                let hold = Hold {
                    until,
                    hold_count: reported.hold_count.max(1),
                    changed_at: now,
                };
                self.holds.insert(reported.content, hold);
                self.evict_excess_hold();
            }
        }
        let is_held = self.remaining_hold(now, reported.content).is_some();
        if is_held {
            self.suspects.pop(&reported.content);
        }
        is_held != was_held
    }

    /// Time until the hold of a content ends, if it is held back.
    pub fn remaining_hold(&self, now: Duration, content: Fingerprint) -> Option<Duration> {
        let hold = self.holds.get(&content)?;
        let remaining = hold.until.saturating_sub(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Whether the gateway itself may retry a request that was cut off.
    pub fn can_retry(&self, now: Duration, content: Fingerprint) -> bool {
        let ended = self.suspects.peek(&content).map_or(0, |s| s.ended.len());
        ended < MIN_ENDS_TO_STOP_RETRIES && self.remaining_hold(now, content).is_none()
    }

    /// All holds, also those that have ended, as the store keeps them.
    pub fn all_held(&self, now: Duration) -> impl Iterator<Item = Held> + '_ {
        let holds = self.holds.iter();
        holds.map(move |(content, hold)| held_of(now, *content, hold))
    }

    /// At most `max_count` holds to report to other gateways: the new ones, then the rest, from a different position at each
    /// `turn`.
    pub fn held_to_report(&self, now: Duration, turn: usize, max_count: usize) -> Vec<Held> {
        let is_new = |hold: &Hold| now < hold.changed_at + NEW_HOLD_PERIOD;
        let new = self.holds.iter().filter(|(_, hold)| is_new(hold));
        let rest: Vec<_> = self.holds.iter().filter(|(_, h)| !is_new(h)).collect();
        let offset = (turn * max_count)
            .checked_rem(rest.len())
            .unwrap_or_default();
        let rest = rest.iter().cycle().skip(offset).take(rest.len()).copied();
        let all = new.chain(rest).take(max_count);
        all.map(|(content, hold)| held_of(now, *content, hold))
            .collect()
    }
}

fn held_of(now: Duration, content: Fingerprint, hold: &Hold) -> Held {
    Held {
        content,
        remaining: hold.until.saturating_sub(now),
        hold_count: hold.hold_count,
    }
}
