//! Word of contents that end their endpoints: heard, passed on, and kept in the store.
//!
//! Gateways that coordinate tell each other each end; all others hear what is held back. One row of the store keeps that
//! for gateways that start when no other is left.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use quarantine::{Fingerprint, Held, Word};
use schema::messages::{ContentReport, Gossip, HeldContent, KeptContent, QuarantineRow};
use slog::{info, warn};

use crate::control::follow::WATCHERS;
use crate::control::{Known, Shared};
use crate::ports::{Orders, PageQuery, Row, Store, StoreError, Topic};
use crate::update::Update;

/// Messages in which each word is sent, so that a lost one is made good.
const SENDS: u8 = 3;
/// Words in one message, so that it fits into one datagram: some 20 bytes each.
const MOST_WORDS: usize = 60;
/// Words that wait to be sent; those that were sent before give way. 100 endpoints that end at once leave some 2,000.
const MOST_WAITING: usize = 2048;
/// Contents held back that one message names: some 30 bytes each.
const MOST_HELD: usize = 16;
/// Key of the row that keeps them.
const ROW_KEY: &str = "held";
/// Pause between looks at whether the row is to be read or written.
const LOOK: Duration = Duration::from_millis(100);
/// While gateways are silent the row is read again this often: those behind a cut write there what they hold back. Well
/// within the shortest time after which a gateway in touch is to know (3 s).
const READ_AGAIN: Duration = Duration::from_secs(1);
/// Longest time without anything of the row.
const READ_TIME: Duration = Duration::from_millis(1500);
/// Pause after a call of the store without a result.
const FAILED_PAUSE: Duration = Duration::from_millis(500);

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

/// The row as it is known here.
#[derive(Debug)]
pub(crate) struct KeptRow {
    revision: u64,
    read_at: Duration,
    // How often each content was held back, and whether it is now.
    kept: BTreeMap<Fingerprint, (u32, bool)>,
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

    fn tell_traffic(&self, words: Vec<Word>, held: Vec<Held>) {
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

    /// Keeps the row until the process ends, while this gateway is among the first that reach the store.
    pub async fn keep_quarantine(self: Rc<Self>) {
        // Whoever starts may be asked for what is held back before it hears of it from another: after a start of all, two
        // to four more endpoints ended within 0.3 s (three runs of the soak).
        let mut row = self.read_kept().await;
        loop {
            tokio::time::sleep(LOOK).await;
            let now = self.clock.now();
            let is_first = {
                let known = self.known.borrow();
                known.peers.is_listed() && known.peers.is_among_first(now, WATCHERS)
            };
            row = match row {
                _ if !is_first => None,
                Some(row) if !self.is_stale(&row, now) => self.write_kept(row).await,
                _ => self.read_kept().await,
            };
        }
    }

    // Whether others may have written the row that can't tell this gateway.
    fn is_stale(&self, row: &KeptRow, now: Duration) -> bool {
        let known = self.known.borrow();
        let others = known.peers.count(now);
        let is_cut_off = others.silent > 0 || others.heard == 0;
        is_cut_off && now >= row.read_at + READ_AGAIN
    }

    async fn read_kept(&self) -> Option<KeptRow> {
        let sent = self.clock.now();
        let query = PageQuery {
            topic: Topic::Quarantine,
            hall: None,
            after: None,
            limit: 1,
            patience: READ_TIME,
        };
        match self.store.page(query).await {
            Ok(page) => {
                let mut rows = page.rows.rows.into_iter();
                let row = rows.find(|row| row.key == ROW_KEY);
                Some(self.take_row(row, page.rows.stamp))
            }
            Err(error) => {
                info!(self.log, "quarantine not read"; "cause" => %error,
                    "ms" => self.clock.now().saturating_sub(sent).as_millis() as u64);
                tokio::time::sleep(FAILED_PAUSE).await;
                None
            }
        }
    }

    // Takes what earlier gateways kept, as it stood at a time of the store.
    fn take_row(&self, row: Option<Row>, store_now: Duration) -> KeptRow {
        let now = self.clock.now();
        let revision = row.as_ref().map_or(0, |row| row.revision);
        let kept = row.as_ref().map_or_else(Vec::new, |row| self.read_row(row));
        let mut known = self.known.borrow_mut();
        let held: Vec<Held> = kept.iter().map(|k| kept_held(k, store_now)).collect();
        let changed: Vec<Held> = held
            .iter()
            .copied()
            .filter(|held| known.quarantine.take_held(now, *held))
            .collect();
        drop(known);
        if !changed.is_empty() {
            info!(self.log, "quarantine taken from the store"; "contents" => changed.len());
            self.urgent.notify_one();
        }
        self.tell_traffic(Vec::new(), changed);
        KeptRow {
            revision,
            read_at: now,
            kept: held.iter().map(summary_of).collect(),
        }
    }

    fn read_row(&self, row: &Row) -> Vec<KeptContent> {
        let value = row.value.as_deref().unwrap_or_default();
        match schema::decode::<QuarantineRow>(value) {
            Ok(read) => read.held,
            Err(error) => {
                warn!(self.log, "quarantine not readable, it is written anew"; "cause" => ?error,
                    "revision" => row.revision);
                Vec::new()
            }
        }
    }

    // Writes what the row lacks.
    async fn write_kept(&self, row: KeptRow) -> Option<KeptRow> {
        let now = self.clock.now();
        let (held, store_now) = {
            let known = self.known.borrow();
            let held: Vec<Held> = known.quarantine.all(now).collect();
            (held, known.store_clock.time_at(now))
        };
        let kept: BTreeMap<_, _> = held.iter().map(summary_of).collect();
        let Some(store_now) = store_now.filter(|_| kept != row.kept) else {
            return Some(row);
        };
        let value = QuarantineRow {
            held: held.iter().map(|h| kept_of(h, store_now)).collect(),
        };
        let value = schema::encode(&value).unwrap_or_default();
        let expected = Some(row.revision);
        let written = self
            .store
            .write(Topic::Quarantine, ROW_KEY, value, expected)
            .await;
        info!(self.log, "quarantine written"; "contents" => held.len(), "written" => written.is_ok());
        match written {
            Ok(revision) => Some(KeptRow {
                revision,
                kept,
                ..row
            }),
            Err(StoreError::Conflict(row)) => Some(self.take_row(row, store_now)),
            Err(_) => {
                tokio::time::sleep(FAILED_PAUSE).await;
                None
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

fn kept_of(held: &Held, store_now: Duration) -> KeptContent {
    let until = store_now.saturating_add(held.left);
    let until_ms = until.as_millis().min(i64::MAX as u128) as i64;
    KeptContent::new(held.content.0 as i64, until_ms, times_of(held))
}

fn kept_held(kept: &KeptContent, store_now: Duration) -> Held {
    let until = Duration::from_millis(kept.until_ms.max(0) as u64);
    Held {
        content: Fingerprint(kept.content as u64),
        left: until.saturating_sub(store_now),
        times: kept.times.max(1) as u32,
    }
}

fn times_of(held: &Held) -> i32 {
    held.times.min(i32::MAX as u32) as i32
}

fn summary_of(held: &Held) -> (Fingerprint, (u32, bool)) {
    (held.content, (held.times, !held.left.is_zero()))
}
