//! The row of the store that holds the quarantine, for gateways that start when no other gateway is left or
//! reachable.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use quarantine::{Fingerprint, Held, HeldParts};
use replica::Revision;
use schema::messages::{KeptContent, KeptParts, QuarantineRow};
use slog::{info, warn};

use crate::control::follow::STORE_READERS;
use crate::control::quarantine::{
    received_fingerprints, reported_count, reported_fingerprints, reported_hold_count,
};
use crate::control::Shared;
use crate::ports::{Orders, PageQuery, Row, Store, StoreError, Topic};

/// Key of the row.
const ROW_KEY: &str = "held";
/// Pause between checks of whether the row must be read or written.
const CHECK_PAUSE: Duration = Duration::from_millis(100);
/// Interval of reads of the row while gateways are silent: gateways behind a network partition write what they
/// quarantine to it. It is well within the shortest time (3 s) after which a connected gateway must know of a
/// quarantined content.
const REREAD_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a read without any data.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after a failed store call.
const FAILED_PAUSE: Duration = Duration::from_millis(500);

/// The row as last read or written by this gateway.
#[derive(Debug)]
pub(crate) struct StoredQuarantine {
    revision: Revision,
    read_at: Duration,
    kept: Kept,
}

/// What decides whether the row has to be written.
#[derive(Debug, PartialEq, Eq)]
struct Kept {
    // How often each content was quarantined, and whether it is now.
    contents: BTreeMap<Fingerprint, (u32, bool)>,
    // The same of prompt parts, and the failed trials.
    parts: BTreeMap<Vec<Fingerprint>, (u32, bool, u32)>,
}

impl Kept {
    fn of(held: &[Held], held_parts: &[HeldParts]) -> Self {
        let parts = held_parts.iter();
        Kept {
            contents: held.iter().map(summary_of).collect(),
            parts: parts
                .map(|held| (held.parts.clone(), held.summary()))
                .collect(),
        }
    }
}

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Keeps the row up to date until the process ends, while this gateway is among the first coordinators that
    /// reach the store.
    pub async fn run_quarantine_row(self: Rc<Self>) {
        let mut row = Some(self.read_until_answered().await);
        loop {
            tokio::time::sleep(CHECK_PAUSE).await;
            let now = self.clock.now();
            let is_first = {
                let state = self.state.borrow();
                state.peers.has_complete_list()
                    && state.peers.is_among_first_coordinators(now, STORE_READERS)
            };
            row = match row {
                _ if !is_first => None,
                Some(row) if !self.is_stale(&row, now) => self.write_if_changed(row).await,
                _ => self.read_stored().await,
            };
            if is_first && row.is_none() {
                tokio::time::sleep(FAILED_PAUSE).await;
            }
        }
    }

    // A gateway that starts may receive a quarantined content before another gateway reports it: after all
    // gateways had started at once, two to five more endpoints ended until the row was read late (five runs of
    // the soak test). If the store does not answer yet, the row is read when the configuration is.
    async fn read_until_answered(&self) -> StoredQuarantine {
        loop {
            let answers = self.store_answers.notified();
            if let Some(row) = self.read_stored().await {
                return row;
            }
            let _ = tokio::time::timeout(FAILED_PAUSE, answers).await;
        }
    }

    // Whether other gateways that cannot reach this one may have written the row.
    fn is_stale(&self, row: &StoredQuarantine, now: Duration) -> bool {
        let state = self.state.borrow();
        let others = state.peers.count(now);
        let is_cut_off = others.silent > 0 || others.alive == 0;
        // A store restored from an older copy may lack the latest write.
        let is_restored = Some(row.revision.era) < state.newest_era;
        (is_restored || is_cut_off) && now >= row.read_at + REREAD_INTERVAL
    }

    async fn read_stored(&self) -> Option<StoredQuarantine> {
        let sent = self.clock.now();
        let query = PageQuery {
            topic: Topic::Quarantine,
            hall: None,
            after: None,
            limit: 1,
            response_timeout: READ_TIMEOUT,
        };
        match self.store.page(query).await {
            Ok(page) => {
                let mut rows = page.rows.rows.into_iter();
                let row = rows.find(|row| row.key == ROW_KEY);
                Some(self.merge_row(row, page.rows.revision, page.rows.stamp))
            }
            Err(error) => {
                info!(self.log, "quarantine not read"; "cause" => %error,
                    "ms" => self.clock.now().saturating_sub(sent).as_millis() as u64);
                None
            }
        }
    }

    // Merges what earlier gateways wrote, as of a revision and a time of the store.
    fn merge_row(
        &self,
        row: Option<Row>,
        store_revision: Revision,
        store_now: Duration,
    ) -> StoredQuarantine {
        let now = self.clock.now();
        let number = row.as_ref().map_or(0, |row| row.revision.number);
        let revision = Revision::new(store_revision.era, number);
        let kept = row.as_ref().and_then(|row| self.decode_row(row));
        let mut state = self.state.borrow_mut();
        let contents = kept.iter().flat_map(|row| &row.held);
        let held: Vec<Held> = contents.map(|k| held_content(k, store_now)).collect();
        let parts = kept.iter().flat_map(|row| row.parts.iter().flatten());
        let held_parts: Vec<HeldParts> = parts.map(|k| held_parts_of(k, store_now)).collect();
        let changed: Vec<Held> = held
            .iter()
            .copied()
            .filter(|held| state.quarantine.merge_held(now, *held))
            .collect();
        let changed_parts = state.merge_held_parts(now, held_parts.iter().cloned());
        drop(state);
        if !changed.is_empty() || !changed_parts.is_empty() {
            info!(self.log, "quarantine taken from the store"; "contents" => changed.len(), "parts" => changed_parts.len());
            self.urgent.notify_one();
        }
        self.send_to_traffic(Vec::new(), changed, changed_parts);
        StoredQuarantine {
            revision,
            read_at: now,
            kept: Kept::of(&held, &held_parts),
        }
    }

    fn decode_row(&self, row: &Row) -> Option<QuarantineRow> {
        let value = row.value.as_deref().unwrap_or_default();
        match schema::decode::<QuarantineRow>(value) {
            Ok(read) => Some(read),
            Err(error) => {
                warn!(self.log, "quarantine row not readable; it will be overwritten"; "cause" => ?error,
                    "revision" => row.revision.number);
                None
            }
        }
    }

    // Writes the quarantine if the row differs from it.
    async fn write_if_changed(&self, row: StoredQuarantine) -> Option<StoredQuarantine> {
        let now = self.clock.now();
        let (held, held_parts, store_now) = {
            let state = self.state.borrow();
            let held: Vec<Held> = state.quarantine.all_held(now).collect();
            let held_parts: Vec<HeldParts> = state.quarantine.parts.all_held(now).collect();
            (held, held_parts, state.store_clock.time_at(now))
        };
        let kept = Kept::of(&held, &held_parts);
        let Some(store_now) = store_now.filter(|_| kept != row.kept) else {
            return Some(row);
        };
        let value = QuarantineRow {
            held: held.iter().map(|h| stored_content(h, store_now)).collect(),
            parts: (!held_parts.is_empty()).then(|| {
                let parts = held_parts.iter();
                parts.map(|held| stored_parts(held, store_now)).collect()
            }),
        };
        let value = schema::encode(&value).unwrap_or_default();
        let expected = Some(row.revision);
        let written = self
            .store
            .write(Topic::Quarantine, ROW_KEY, value, expected)
            .await;
        info!(self.log, "quarantine written"; "contents" => held.len(), "parts" => held_parts.len(), "written" => written.is_ok());
        match written {
            Ok(revision) => Some(StoredQuarantine {
                revision,
                kept,
                ..row
            }),
            Err(StoreError::Conflict(found)) => {
                let store_revision = found.as_ref().map_or(row.revision, |found| found.revision);
                Some(self.merge_row(found, store_revision, store_now))
            }
            Err(_) => None,
        }
    }
}

fn stored_until(remaining: Duration, store_now: Duration) -> i64 {
    let until = store_now.saturating_add(remaining);
    until.as_millis().min(i64::MAX as u128) as i64
}

fn stored_content(held: &Held, store_now: Duration) -> KeptContent {
    let until_ms = stored_until(held.remaining, store_now);
    KeptContent::new(held.content.0 as i64, until_ms, reported_hold_count(held))
}

fn stored_parts(held: &HeldParts, store_now: Duration) -> KeptParts {
    KeptParts {
        parts: reported_fingerprints(&held.parts),
        until_ms: stored_until(held.remaining, store_now),
        times: reported_count(held.hold_count),
        failed_trials: reported_count(held.failed_trials),
    }
}

fn held_parts_of(kept: &KeptParts, store_now: Duration) -> HeldParts {
    let until = Duration::from_millis(kept.until_ms.max(0) as u64);
    HeldParts {
        parts: received_fingerprints(&kept.parts),
        remaining: until.saturating_sub(store_now),
        hold_count: kept.times.max(1) as u32,
        failed_trials: kept.failed_trials.max(0) as u32,
    }
}

fn held_content(kept: &KeptContent, store_now: Duration) -> Held {
    let until = Duration::from_millis(kept.until_ms.max(0) as u64);
    Held {
        content: Fingerprint(kept.content as u64),
        remaining: until.saturating_sub(store_now),
        hold_count: kept.times.max(1) as u32,
    }
}

fn summary_of(held: &Held) -> (Fingerprint, (u32, bool)) {
    (held.content, (held.hold_count, !held.remaining.is_zero()))
}
