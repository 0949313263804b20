//! Who is suspected, and what is held back.

use std::collections::BTreeMap;
use std::time::Duration;

use lru::LruCache;

use crate::completions::WholeRuns;
use crate::Fingerprint;

/// Endpoints that end under one content before it is held back. With two, a caller's own second try in a time when endpoints
/// end for other reasons would do.
const ENDS_TO_HOLD: usize = 3;
/// From so many on, what is cut off is left to its caller: sending it on would end the next endpoint at once, with all that
/// runs there.
const ENDS_TO_STOP_REPEATS: usize = 2;
/// A suspicion is forgotten so long after the last end.
const SUSPECTED_FOR: Duration = Duration::from_secs(600);
/// Time for which a content is held back first. Long beside the minutes in which callers try again, short enough that an
/// engine which was mended meanwhile gets to show it.
const FIRST_HOLD: Duration = Duration::from_secs(900);
/// Each further time is so many times longer.
const HOLD_GROWTH: u32 = 8;
/// Longest time for which a content is held back.
const LONGEST_HOLD: Duration = Duration::from_secs(24 * 3600);
/// Suspects remembered, the newest ones: all that ran on 100 endpoints of 20 requests each. Some 100 bytes each.
const MOST_SUSPECTS: usize = 2048;
/// Contents held back at once; the one that would be let go first gives way.
const MOST_HELD: usize = 256;
/// What was held back within this time is reported before the rest.
const NEW_FOR: Duration = Duration::from_secs(3);

/// What one gateway saw of a content, as the others hear it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// An endpoint, by its hash, ended while it ran it.
    Ended {
        /// The content.
        content: Fingerprint,
        /// Hash of the endpoint.
        endpoint: u64,
    },
    /// It ran to its end.
    Completed(Fingerprint),
}

/// A content that is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// The content.
    pub content: Fingerprint,
    /// Time left; zero if it was let go.
    pub remaining: Duration,
    /// How often it was held back so far, 1 or more.
    pub hold_count: u32,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    // Hashes of endpoints, each once.
    ended: Vec<u64>,
    last: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    until: Duration,
    hold_count: u32,
    since: Duration,
}

/// What one gateway knows of contents that end endpoints.
#[derive(Debug)]
pub struct Quarantine {
    suspects: LruCache<Fingerprint, Suspect>,
    holds: BTreeMap<Fingerprint, Hold>,
    whole: WholeRuns,
}

impl Default for Quarantine {
    fn default() -> Self {
        Quarantine {
            suspects: LruCache::unbounded(),
            holds: BTreeMap::new(),
            whole: WholeRuns::default(),
        }
    }
}

impl Quarantine {
    /// Takes what this or another gateway saw. Returns whether it was news; what comes twice counts once.
    pub fn record(&mut self, now: Duration, observation: Observation) -> bool {
        match observation {
            Observation::Ended { content, endpoint } => self.note_end(now, content, endpoint),
            Observation::Completed(content) => self.note_whole(now, content),
        }
    }

    fn note_end(&mut self, now: Duration, content: Fingerprint, endpoint: u64) -> bool {
        if self.whole.has(now, content) || self.remaining_hold(now, content).is_some() {
            return false;
        }
        let suspect = self.suspects.get_or_insert_mut(content, Suspect::default);
        if now >= suspect.last + SUSPECTED_FOR {
            suspect.ended.clear();
        }
        if suspect.ended.contains(&endpoint) {
            return false;
        }
        suspect.ended.push(endpoint);
        suspect.last = now;
        let ended = suspect.ended.len();
        let hold_count = self.holds.get(&content).map_or(0, |hold| hold.hold_count);
        // What was held back before has shown what it does.
        if ended >= ENDS_TO_HOLD || hold_count > 0 {
            self.hold(now, content, hold_count + 1);
        } else if self.suspects.len() > MOST_SUSPECTS {
            self.suspects.pop_lru();
        }
        true
    }

    fn hold(&mut self, now: Duration, content: Fingerprint, hold_count: u32) {
        self.suspects.pop(&content);
        let hold = Hold {
            until: now + hold_time(hold_count),
            hold_count,
            since: now,
        };
        self.holds.insert(content, hold);
        self.make_room();
    }

    fn make_room(&mut self) {
        if self.holds.len() > MOST_HELD {
            let first = self.holds.iter().min_by_key(|(_, hold)| hold.until);
            if let Some(content) = first.map(|(content, _)| *content) {
                self.holds.remove(&content);
            }
        }
    }

    // News only where it was suspected or held back; other gateways know no more of it than this one.
    fn note_whole(&mut self, now: Duration, content: Fingerprint) -> bool {
        self.whole.note(now, content);
        let was_suspected = self.suspects.pop(&content).is_some();
        let held = self.holds.get_mut(&content);
        let was_held = held.is_some_and(|hold| {
            let is_held = now < hold.until;
            if is_held {
                hold.until = now;
                hold.since = now;
            }
            is_held
        });
        was_suspected || was_held
    }

    /// Takes what another gateway holds back, or the store keeps. Returns whether it changed what is held back here.
    pub fn merge_held(&mut self, now: Duration, heard: Held) -> bool {
        let was_held = self.remaining_hold(now, heard.content).is_some();
        let left = heard.remaining.min(hold_time(heard.hold_count));
        let until = now + left;
        let known = self.holds.get_mut(&heard.content);
        match known {
            Some(hold) if hold.hold_count > heard.hold_count => return false,
            // The shorter time is the nearer one to when it was held back, or says that it was let go.
            Some(hold) if hold.hold_count == heard.hold_count => hold.until = hold.until.min(until),
            _ => {
                let hold = Hold {
                    until,
                    hold_count: heard.hold_count.max(1),
                    since: now,
                };
                self.holds.insert(heard.content, hold);
                self.make_room();
            }
        }
        let is_held = self.remaining_hold(now, heard.content).is_some();
        if is_held {
            self.suspects.pop(&heard.content);
        }
        is_held != was_held
    }

    /// How much longer a content is held back, if it is.
    pub fn remaining_hold(&self, now: Duration, content: Fingerprint) -> Option<Duration> {
        let hold = self.holds.get(&content)?;
        let left = hold.until.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether a request that was cut off may be sent on by the gateway itself.
    pub fn can_retry(&self, now: Duration, content: Fingerprint) -> bool {
        let ended = self.suspects.peek(&content).map_or(0, |s| s.ended.len());
        ended < ENDS_TO_STOP_REPEATS && self.remaining_hold(now, content).is_none()
    }

    /// Everything that is or was held back, as the store keeps it.
    pub fn all_held(&self, now: Duration) -> impl Iterator<Item = Held> + '_ {
        let holds = self.holds.iter();
        holds.map(move |(content, hold)| held_of(now, *content, hold))
    }

    /// At most `most` of that for other gateways: what is new, and of the rest another part each `turn`.
    pub fn held_to_report(&self, now: Duration, turn: usize, most: usize) -> Vec<Held> {
        let is_new = |hold: &Hold| now < hold.since + NEW_FOR;
        let new = self.holds.iter().filter(|(_, hold)| is_new(hold));
        let rest: Vec<_> = self.holds.iter().filter(|(_, h)| !is_new(h)).collect();
        let from = (turn * most).checked_rem(rest.len()).unwrap_or_default();
        let rest = rest.iter().cycle().skip(from).take(rest.len()).copied();
        let all = new.chain(rest).take(most);
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

// The first time, and each further time longer.
fn hold_time(hold_count: u32) -> Duration {
    let growth = HOLD_GROWTH.saturating_pow(hold_count.saturating_sub(1));
    FIRST_HOLD.saturating_mul(growth).min(LONGEST_HOLD)
}
