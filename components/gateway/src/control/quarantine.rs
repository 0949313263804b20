//! Word of contents that end their endpoints: heard and passed on.
//!
//! Gateways that coordinate tell each other each end; all others hear what is held back.

use std::collections::VecDeque;
use std::time::Duration;

use quarantine::{Fingerprint, Held, Word};
use schema::messages::{ContentReport, Gossip, HeldContent};
use slog::warn;

use crate::control::{Known, Shared};
use crate::ports::{Orders, Store};
use crate::update::Update;

/// Messages in which each word is sent, so that a lost one is made good.
const SENDS: u8 = 3;
/// Words in one message, so that it fits into one datagram: some 20 bytes each.
const MOST_WORDS: usize = 60;
/// Words that wait to be sent; those that were sent before give way. 100 endpoints that end at once leave some 2,000.
const MOST_WAITING: usize = 2048;
/// Contents held back that one message names: some 30 bytes each.
const MOST_HELD: usize = 16;

/// Words on their way to the other gateways.
#[derive(Debug, Default)]
pub(crate) struct Words {
    waiting: VecDeque<(Word, u8)>,
    has_new: bool,
}

impl Words {
    /// Adds a word that is to be sent.
    pub fn add(&mut self, word: Word) {
        if self.waiting.len() >= MOST_WAITING {
            self.waiting.pop_back();
        }
        // New ones go first: behind thousands of old ones they would come after the time within which all are to know.
        self.waiting.push_front((word, SENDS));
        self.has_new = true;
    }

    /// Whether some were added since the last look.
    pub fn take_new(&mut self) -> bool {
        std::mem::take(&mut self.has_new)
    }

    /// The words of the next message.
    pub fn next(&mut self) -> Option<Vec<ContentReport>> {
        let count = self.waiting.len().min(MOST_WORDS);
        let sent: Vec<_> = self.waiting.drain(..count).collect();
        let again = sent.iter().filter(|(_, left)| *left > 1);
        self.waiting
            .extend(again.map(|(word, left)| (*word, left - 1)));
        let reports = sent.iter().map(|(word, _)| report_of(*word));
        (count > 0).then(|| reports.collect())
    }
}

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Takes what the traffic thread saw.
    pub fn take_own_words(&self, known: &mut Known, words: Vec<Word>) {
        let now = self.clock.now();
        for word in words {
            if known.take_word(now, word).changes_hold {
                self.urgent.notify_one();
            }
            known.words.add(word);
        }
    }

    /// Takes what another gateway saw and holds back.
    pub fn receive_contents(&self, gossip: &Gossip) {
        let now = self.clock.now();
        let mut known = self.known.borrow_mut();
        // Those that coordinate tell all others themselves.
        let passes_on = gossip.coordinates == Some(false);
        let mut news = Vec::new();
        let mut is_urgent = false;
        for word in gossip.contents.iter().flatten().map(|r| word_of(r)) {
            let taken = known.take_word(now, word);
            is_urgent |= taken.changes_hold;
            if taken.is_news {
                news.push(word);
                if passes_on {
                    known.words.add(word);
                }
            }
        }
        let held = gossip.held.iter().flatten().map(|held| received_held(held));
        let changed: Vec<Held> = held
            .filter(|held| known.quarantine.take_held(now, *held))
            .collect();
        drop(known);
        if is_urgent || !changed.is_empty() {
            self.urgent.notify_one();
        }
        self.tell_traffic(news, changed);
    }

    pub(super) fn tell_traffic(&self, words: Vec<Word>, held: Vec<Held>) {
        let updates = [
            (!words.is_empty()).then_some(Update::Words(words)),
            (!held.is_empty()).then_some(Update::Held(held)),
        ];
        for update in updates.into_iter().flatten() {
            if self.updates.send(update).is_err() {
                warn!(self.log, "the traffic thread is gone");
            }
        }
    }
}

// What a word changed.
struct Taken {
    is_news: bool,
    // Whether its content is held back since then, or let go.
    changes_hold: bool,
}

impl Known {
    fn take_word(&mut self, now: Duration, word: Word) -> Taken {
        let (Word::Ended { content, .. } | Word::Whole(content)) = word;
        let was_held = self.quarantine.held_for(now, content).is_some();
        let is_news = self.quarantine.take(now, word);
        let is_held = self.quarantine.held_for(now, content).is_some();
        Taken {
            is_news,
            changes_hold: is_held != was_held,
        }
    }

    /// What is held back, as it is reported.
    pub fn held_to_send(&self, now: Duration) -> Option<Vec<HeldContent>> {
        let turn = self.sending.turn();
        let held = self.quarantine.reported(now, turn, MOST_HELD);
        let reports = held.iter().map(held_report);
        (!held.is_empty()).then(|| reports.collect())
    }
}

fn report_of(word: Word) -> ContentReport {
    match word {
        Word::Ended { content, endpoint } => {
            ContentReport::new(content.0 as i64, Some(endpoint as i64))
        }
        Word::Whole(content) => ContentReport::new(content.0 as i64, None),
    }
}

fn word_of(reported: &ContentReport) -> Word {
    let content = Fingerprint(reported.content as u64);
    match reported.ended {
        Some(endpoint) => Word::Ended {
            content,
            endpoint: endpoint as u64,
        },
        None => Word::Whole(content),
    }
}

fn held_report(held: &Held) -> HeldContent {
    let left_ms = held.left.as_millis().min(i64::MAX as u128) as i64;
    HeldContent::new(held.content.0 as i64, left_ms, times_of(held))
}

fn received_held(reported: &HeldContent) -> Held {
    Held {
        content: Fingerprint(reported.content as u64),
        left: Duration::from_millis(reported.left_ms.max(0) as u64),
        times: reported.times.max(1) as u32,
    }
}

/// How often a content was held back, as it is reported.
pub(super) fn times_of(held: &Held) -> i32 {
    held.times.min(i32::MAX as u32) as i32
}
