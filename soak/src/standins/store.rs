//! The platform's store of rows, and its taker of reports.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use platform::names;
use serde_json::{json as value, Value};

use super::{json, json_with_header, listen};
use crate::history::{History, Seen};
use crate::http::{Connection, Head};
use crate::plan::Mood;

/// Largest page of rows.
const PAGE: usize = 500;
/// A write that is carried out late waits so long.
const LATE: Duration = Duration::from_millis(1_700);

type Key = (String, String, String);

/// A row's text, `None` if the row is deleted, and the revision of its last write.
type StoredRow = (Option<String>, u64);

/// A write and the time at which it was applied.
struct Write {
    at: Instant,
    key: Key,
    row: StoredRow,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, StoredRow>,
    newest: u64,
    // All writes that led to `rows`, oldest first.
    log: Vec<Write>,
    // Number of restores.
    era: u64,
    // Last values written by the operator and endpoints, which a restore keeps.
    last_put: BTreeMap<Key, Option<String>>,
    forgotten: u64,
    calls: u64,
    mood: Option<Mood>,
    turned_away: BTreeSet<usize>,
    // Number of outages in progress; restores can overlap.
    outages: u32,
}

/// The store.
#[derive(Clone)]
pub(crate) struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

/// A row whose last write by the operator or an endpoint was lost in a restore.
pub(crate) struct LostRow {
    key: Key,
    /// Whether the lost write was a deletion, so that the restored row expires instead of being rewritten.
    pub is_deleted: bool,
}

/// What becomes of a call.
enum Fate {
    Answer,
    Refuse,
    /// It is done, and no answer comes on this connection any more.
    Lose,
    /// It is done later, and no answer comes on this connection any more.
    Late,
}

impl Store {
    /// An empty store.
    pub fn new() -> Self {
        Store {
            rows: Arc::default(),
            started: Instant::now(),
        }
    }

    /// A listener for one gateway.
    pub fn listen_for(&self, gateway: usize) -> std::io::Result<SocketAddr> {
        let store = self.clone();
        listen(move |connection| {
            // An error is the end of the connection; the gateway opens another.
            let _ = store.serve(gateway, connection);
        })
    }

    /// Writes a row of the platform's own.
    pub fn put(&self, table: &str, key: &str, text: Option<&str>) {
        let key = (table.to_string(), String::new(), key.to_string());
        let encoded = text.map(|text| STANDARD.encode(text));
        let mut rows = self.lock();
        rows.last_put.insert(key.clone(), encoded.clone());
        rows.write(key, encoded);
        self.rows.1.notify_all();
    }

    /// Restores the rows as of `age` ago. Later writes are lost, and their revisions are reused.
    /// Returns the rows whose last write by the operator or an endpoint was lost.
    pub fn restore(&self, age: Duration) -> Vec<LostRow> {
        let mut rows = self.lock();
        let snapshot_at = Instant::now().checked_sub(age).unwrap_or(self.started);
        rows.restore(snapshot_at);
        self.rows.1.notify_all();
        rows.lost_rows()
    }

    /// Rewrites the last value from the operator or endpoint, unless the row already has it.
    pub fn rewrite(&self, lost: &LostRow) {
        let mut rows = self.lock();
        let Some(text) = rows.last_put.get(&lost.key).cloned() else {
            return;
        };
        if rows.text(&lost.key) != text {
            rows.write(lost.key.clone(), text);
            self.rows.1.notify_all();
        }
    }

    /// Sets what is wrong with it.
    pub fn set(&self, mood: Mood) {
        self.lock().mood = Some(mood);
    }

    /// Whether the operator reaches it.
    pub fn is_down(&self) -> bool {
        let rows = self.lock();
        rows.outages > 0 || rows.mood == Some(Mood::Down)
    }

    /// Starts or ends an outage. The store refuses calls while any outage lasts.
    pub fn set_down(&self, down: bool) {
        let mut rows = self.lock();
        match down {
            true => rows.outages += 1,
            false => rows.outages -= 1,
        }
    }

    /// Turns a gateway away, or no more.
    pub fn turn_away(&self, gateway: usize, away: bool) {
        let mut rows = self.lock();
        match away {
            true => rows.turned_away.insert(gateway),
            false => rows.turned_away.remove(&gateway),
        };
    }

    /// Forgets which rows changed.
    pub fn forget(&self) {
        let mut rows = self.lock();
        rows.newest += 1;
        rows.forgotten = rows.newest;
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fate(&self, gateway: usize, writes: bool) -> Fate {
        let mut rows = self.lock();
        rows.calls += 1;
        let third = rows.calls.is_multiple_of(3);
        if rows.outages > 0 || rows.turned_away.contains(&gateway) {
            return Fate::Refuse;
        }
        match rows.mood {
            Some(Mood::Down) => Fate::Refuse,
            Some(Mood::Loses) if third => Fate::Lose,
            Some(Mood::Late) if writes && third => Fate::Late,
            Some(Mood::Slow(ms)) => {
                drop(rows);
                thread::sleep(Duration::from_millis(ms));
                Fate::Answer
            }
            _ => Fate::Answer,
        }
    }

    fn serve(&self, gateway: usize, mut connection: Connection) -> std::io::Result<()> {
        loop {
            let head = connection.head()?;
            let body = connection.bytes(head.length())?;
            let body: Value = serde_json::from_slice(&body).unwrap_or_default();
            let writes = head.word(0) == "POST";
            match self.fate(gateway, writes) {
                Fate::Answer => {
                    let (status, answer) = self.call(&head, &body);
                    connection.send(self.response(status, &answer).as_bytes())?;
                }
                Fate::Refuse => connection.send(self.response(503, &value!({})).as_bytes())?,
                Fate::Lose => {
                    self.call(&head, &body);
                    return drain(connection);
                }
                Fate::Late => {
                    let store = self.clone();
                    thread::spawn(move || {
                        thread::sleep(LATE);
                        store.call(&head, &body);
                    });
                    return drain(connection);
                }
            }
        }
    }

    fn call(&self, head: &Head, body: &Value) -> (u16, Value) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, text)| (key, unescaped(text)))
            .collect();
        match path {
            names::ROWS_GET => (200, self.get(&query)),
            names::ROWS_FEED => self.feed(&query),
            names::ROWS_TX => self.transact(body),
            _ => (404, value!({})),
        }
    }

    fn response(&self, status: u16, body: &Value) -> String {
        let era = format!("{}: {}\r\n", names::STORE_ERA, self.lock().era);
        json_with_header(status, &era, &body.to_string())
    }

    fn answer(&self, rows: Vec<Value>, more: bool, newest: u64) -> Value {
        let now_ms = self.started.elapsed().as_millis() as u64;
        value!({"rows": rows, "more": more, "ver": newest, "now_ms": now_ms})
    }

    fn get(&self, query: &BTreeMap<&str, String>) -> Value {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let limit = text("limit").parse().unwrap_or(PAGE);
        let rows = self.lock();
        let from = (text("table"), text("part"), text("source"));
        let there = rows.rows.range(from.clone()..);
        let there = there
            .take_while(|(key, _)| key.0 == from.0 && key.1 == from.1)
            .filter(|(_, (text, _))| text.is_some());
        let found: Vec<Value> = there.map(|(key, row)| row_body(key, row)).collect();
        let more = found.len() > limit;
        let page = found.into_iter().take(limit).collect();
        self.answer(page, more, rows.newest)
    }

    fn feed(&self, query: &BTreeMap<&str, String>) -> (u16, Value) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse().ok());
        let after: u64 = number("afterRevision").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
        let table = query.get("table").cloned().unwrap_or_default();
        let until = Instant::now() + wait;
        let mut rows = self.lock();
        loop {
            if after < rows.forgotten || after > rows.newest {
                return (410, value!({}));
            }
            let changed = rows.rows.iter();
            let mut changed: Vec<_> = changed
                .filter(|(key, row)| key.0 == table && row.1 > after)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort_by_key(|(_, row)| row.1);
                let found = changed.into_iter().map(|(key, row)| row_body(key, row));
                return (200, self.answer(found.collect(), false, rows.newest));
            }
            let waited = self.rows.1.wait_timeout(rows, left);
            rows = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, body: &Value) -> (u16, Value) {
        let mut rows = self.lock();
        let entries = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let expected = entries("expectedRevision");
        let holds = |entry: &Value| rows.revision(&key_of(entry)) == entry["ver"].as_u64();
        if !expected.iter().all(holds) {
            let found = expected.iter().map(key_of);
            let found = found.filter_map(|key| Some(row_body(&key, rows.there(&key)?)));
            let found = found.collect();
            return (412, self.answer(found, false, rows.newest));
        }
        for entry in entries("put") {
            let text = entry["value"].as_str().unwrap_or_default();
            rows.write(key_of(&entry), Some(text.to_string()));
        }
        for entry in entries("remove") {
            rows.write(key_of(&entry), None);
        }
        self.rows.1.notify_all();
        (200, self.answer(Vec::new(), false, rows.newest))
    }
}

impl Rows {
    fn write(&mut self, key: Key, text: Option<String>) {
        self.newest += 1;
        let row = (text, self.newest);
        self.log.push(Write {
            at: Instant::now(),
            key: key.clone(),
            row: row.clone(),
        });
        self.rows.insert(key, row);
    }

    fn restore(&mut self, snapshot_at: Instant) {
        self.log.retain(|write| write.at <= snapshot_at);
        let writes = self.log.iter();
        self.rows = writes.map(|w| (w.key.clone(), w.row.clone())).collect();
        self.newest = self.log.last().map_or(0, |write| write.row.1);
        self.forgotten = self.forgotten.min(self.newest);
        self.era += 1;
    }

    fn lost_rows(&self) -> Vec<LostRow> {
        let written = self.last_put.iter();
        let lost = written.filter(|(key, text)| self.text(key) != **text);
        let lost = lost.map(|(key, text)| LostRow {
            key: key.clone(),
            is_deleted: text.is_none(),
        });
        lost.collect()
    }

    fn text(&self, key: &Key) -> Option<String> {
        self.rows.get(key).and_then(|row| row.0.clone())
    }

    fn there(&self, key: &Key) -> Option<&StoredRow> {
        self.rows.get(key).filter(|row| row.0.is_some())
    }

    fn revision(&self, key: &Key) -> Option<u64> {
        Some(self.there(key).map_or(0, |row| row.1))
    }
}

fn key_of(entry: &Value) -> Key {
    let text = |name: &str| entry[name].as_str().unwrap_or_default().to_string();
    (text("table"), text("part"), text("privateKey"))
}

fn row_body(key: &Key, row: &StoredRow) -> Value {
    let (text, ver) = row;
    value!({
        "table": key.0, "part": key.1, "privateKey": key.2, "value": text, "ver": ver,
        "gone": text.is_none(),
    })
}

fn unescaped(text: &str) -> String {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let (code, rest) = part.split_at(part.len().min(2));
        bytes.push(u8::from_str_radix(code, 16).unwrap_or(b'?'));
        bytes.extend(rest.as_bytes());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

// Reads on and says nothing.
fn drain(mut connection: Connection) -> std::io::Result<()> {
    while connection.has_more()? {
        connection.bytes(1)?;
    }
    Ok(())
}

/// Takes reports and notes them; returns where.
pub(crate) fn take_reports(history: History) -> std::io::Result<SocketAddr> {
    listen(move |mut connection| {
        while let Ok(head) = connection.head() {
            let Ok(body) = connection.bytes(head.length()) else {
                return;
            };
            let body: Value = serde_json::from_slice(&body).unwrap_or_default();
            let fence = head.field(names::FENCING_TOKEN);
            history.note(Seen::Reported {
                holder: head.field(names::DUTY_HOLDER).unwrap_or_default().into(),
                fence: fence.and_then(|text| text.parse().ok()).unwrap_or(0),
                window: body["windowNumber"].as_i64().unwrap_or(-1),
                counts: body["counts"].to_string(),
            });
            if connection.send(json(200, "{}").as_bytes()).is_err() {
                return;
            }
        }
    })
}
