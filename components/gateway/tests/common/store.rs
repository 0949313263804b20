//! A fake store in memory whose calls can fail, hang or take long, and fake orders that only record what they get.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use directory::{Configuration, Endpoint};
use fleet::ScalingOrder;
use gateway::ports::{
    DutyHolder, OrderReply, Orders, Page, PageQuery, ReadRow, Row, RowFault, Rows, StatusRow,
    Store, StoreEra, StoreError, Topic,
};
use replica::Revision;
use rollout::{Decision, Order};
use schema::messages::{GatewayRow, LeaseRow};
use usage::Report;

/// Key prefix of roll-out orders.
const ROLLOUT_PREFIX: &str = "rollout/";
/// Interval at which a waiting call checks whether it can return.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Default)]
struct State {
    rows: BTreeMap<(Topic, String), Row>,
    revision: u64,
    configurations: Vec<Configuration>,
    endpoints: Vec<Endpoint>,
    compacted_before: u64,
    // Incremented by each restore.
    era: u64,
    snapshot: Option<Snapshot>,
    // Whether the lease is renewed by another gateway before each call for its row.
    is_lease_renewed_by_other: bool,
    lease_calls: u64,
}

// State that a restore reinstates.
#[derive(Clone)]
struct Snapshot {
    rows: BTreeMap<(Topic, String), Row>,
    revision: u64,
}

/// The store as one gateway sees it: gateways share the rows, and each has faults and counts of its own.
#[derive(Clone)]
pub struct FakeStore {
    state: Arc<Mutex<State>>,
    is_refusing: Arc<AtomicBool>,
    is_unresponsive: Arc<AtomicBool>,
    holds_answers: Arc<AtomicBool>,
    answers_held: Arc<AtomicUsize>,
    call_ms: Arc<AtomicU64>,
    call_counts: Arc<Mutex<BTreeMap<Topic, u64>>>,
    reported_era: Arc<Mutex<StoreEra>>,
    started: Instant,
}

impl Default for FakeStore {
    fn default() -> Self {
        FakeStore {
            state: Arc::default(),
            is_refusing: Arc::default(),
            is_unresponsive: Arc::default(),
            holds_answers: Arc::default(),
            answers_held: Arc::default(),
            call_ms: Arc::default(),
            call_counts: Arc::default(),
            reported_era: Arc::default(),
            started: Instant::now(),
        }
    }
}

impl FakeStore {
    pub fn put_configuration(&self, configuration: Configuration) {
        let mut state = self.state.lock().unwrap();
        let index = state.configurations.len() as u64;
        state.configurations.push(configuration);
        write_index(&mut state, Topic::Configuration, "newest", Some(index));
    }

    /// Writes a configuration in a row padded to at least `bytes` with repetitive text, which compresses well.
    pub fn put_long_configuration(&self, configuration: Configuration, bytes: usize) {
        let mut state = self.state.lock().unwrap();
        let index = state.configurations.len();
        state.configurations.push(configuration);
        let mut value = (index as u64).to_le_bytes().to_vec();
        let mut number = 0_u32;
        while value.len() < bytes {
            number += 1;
            let route = format!("{{\"path\":\"/{number}/\",\"timeout\":800,\"kind\":\"once\"}},");
            value.extend(route.into_bytes());
        }
        write_row(&mut state, Topic::Configuration, "newest", Some(value));
    }

    pub fn put_endpoint(&self, endpoint: Endpoint) {
        let mut state = self.state.lock().unwrap();
        let index = state.endpoints.len() as u64;
        let id = endpoint.id.clone();
        state.endpoints.push(endpoint);
        write_index(&mut state, Topic::Endpoints, &id, Some(index));
    }

    /// Orders the roll-out of a version of the service `s` within a time.
    pub fn put_order(&self, version: &str, time: Duration) {
        let mut state = self.state.lock().unwrap();
        let value = format!("{version} {}", time.as_millis());
        let key = format!("{ROLLOUT_PREFIX}s");
        write_row(
            &mut state,
            Topic::Configuration,
            &key,
            Some(value.into_bytes()),
        );
    }

    /// Status row of the roll-out of the service `s`, as the operator reads it.
    pub fn rollout_status(&self) -> Option<String> {
        let row = self.row(Topic::RolloutStatus, "s")?;
        String::from_utf8(row.value?).ok()
    }

    pub fn delete_endpoint(&self, id: &str) {
        write_index(&mut self.state.lock().unwrap(), Topic::Endpoints, id, None);
    }

    /// The same store for another gateway, without any of the faults of this one.
    pub fn for_other_gateway(&self) -> Self {
        FakeStore {
            is_refusing: Arc::default(),
            is_unresponsive: Arc::default(),
            holds_answers: Arc::default(),
            answers_held: Arc::default(),
            call_ms: Arc::default(),
            call_counts: Arc::default(),
            reported_era: Arc::default(),
            ..self.clone()
        }
    }

    /// Sets whether calls of this gateway are refused.
    pub fn refuse(&self, is_refusing: bool) {
        self.is_refusing.store(is_refusing, Ordering::Relaxed);
    }

    /// From now on, calls of this gateway for pages or changes never return.
    pub fn stop_responding(&self) {
        self.is_unresponsive.store(true, Ordering::Relaxed);
    }

    /// Sets whether answers with changes are made but not delivered to this gateway.
    pub fn hold_answers(&self, holds: bool) {
        self.holds_answers.store(holds, Ordering::Relaxed);
    }

    /// Number of answers that were held back so far.
    pub fn answers_held(&self) -> usize {
        self.answers_held.load(Ordering::Relaxed)
    }

    async fn wait_while_held(&self) {
        if self.holds_answers.load(Ordering::Relaxed) {
            self.answers_held.fetch_add(1, Ordering::Relaxed);
        }
        while self.holds_answers.load(Ordering::Relaxed) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sets the duration of calls of this gateway for pages and changes, as for a store that is slow or in another region.
    pub fn set_call_time(&self, time: Duration) {
        let ms = time.as_millis() as u64;
        self.call_ms.store(ms, Ordering::Relaxed);
    }

    async fn delay_or_hang(&self) {
        let call_time = Duration::from_millis(self.call_ms.load(Ordering::Relaxed));
        if call_time > Duration::ZERO {
            tokio::time::sleep(call_time).await;
        }
        if self.is_unresponsive.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }

    /// Compacts the history of changes made so far; the rows stay.
    pub fn compact_history(&self) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.compacted_before = state.revision;
    }

    /// Takes a snapshot of the rows and the revision, replacing any earlier one.
    pub fn take_snapshot(&self) {
        let mut state = self.state.lock().unwrap();
        state.snapshot = Some(Snapshot {
            rows: state.rows.clone(),
            revision: state.revision,
        });
    }

    /// Restores the snapshot: later writes are lost, and their revisions are assigned again.
    pub fn restore_snapshot(&self) {
        let mut state = self.state.lock().unwrap();
        let Snapshot { rows, revision } = state.snapshot.clone().expect("no snapshot taken");
        (state.rows, state.revision) = (rows, revision);
        state.era += 1;
    }

    /// Advances the revision by writing a row of a topic that gateways don't read.
    pub fn advance_revision(&self, count: u64) {
        let mut state = self.state.lock().unwrap();
        for _ in 0..count {
            write_index(&mut state, Topic::RolloutStatus, "other", Some(0));
        }
    }

    pub fn row(&self, topic: Topic, key: &str) -> Option<Row> {
        let state = self.state.lock().unwrap();
        state.rows.get(&(topic, key.to_string())).cloned()
    }

    /// From now on, another gateway renews the lease before each call for its row.
    pub fn renew_lease_for_other_gateway(&self) {
        self.state.lock().unwrap().is_lease_renewed_by_other = true;
    }

    /// Number of reads and writes of the lease so far.
    pub fn lease_calls(&self) -> u64 {
        self.state.lock().unwrap().lease_calls
    }

    /// Number of calls of this gateway that read rows of a topic.
    pub fn call_count(&self, topic: Topic) -> u64 {
        let call_counts = self.call_counts.lock().unwrap();
        call_counts.get(&topic).copied().unwrap_or_default()
    }

    /// Writes the row of a gateway that is not running.
    pub fn put_gateway(&self, name: &str, row: &GatewayRow) {
        let mut state = self.state.lock().unwrap();
        let value = schema::encode(row).unwrap();
        write_row(&mut state, Topic::Gateways, name, Some(value));
    }

    /// Writes a row with this value, valid or not.
    pub fn put_row(&self, topic: Topic, key: &str, value: Vec<u8>) {
        write_row(&mut self.state.lock().unwrap(), topic, key, Some(value));
    }

    fn count_call(&self, topic: Topic) {
        *self.call_counts.lock().unwrap().entry(topic).or_default() += 1;
    }

    fn lock_state(&self) -> Result<std::sync::MutexGuard<'_, State>, StoreError> {
        let state = self.state.lock().unwrap();
        self.reported_era.lock().unwrap().newest = Some(state.era);
        match self.is_refusing.load(Ordering::Relaxed) {
            true => Err(StoreError::Refused),
            false => Ok(state),
        }
    }

    fn rows(&self, state: &State, topic: Topic, after: u64, with_tombstones: bool) -> Rows {
        let era = state.era;
        let of_topic = state.rows.iter().filter(|((t, _), _)| *t == topic);
        let rows = of_topic.map(|(_, row)| with_era(row, era));
        Rows {
            rows: rows
                .filter(|r| r.revision.number > after && (with_tombstones || r.value.is_some()))
                .collect(),
            revision: Revision::new(era, state.revision),
            stamp: self.started.elapsed(),
            bytes: 0,
        }
    }
}

fn write_index(state: &mut State, topic: Topic, key: &str, index: Option<u64>) {
    let value = index.map(|index| index.to_le_bytes().to_vec());
    write_row(state, topic, key, value);
}

fn write_row(state: &mut State, topic: Topic, key: &str, value: Option<Vec<u8>>) -> u64 {
    state.revision += 1;
    let row = Row {
        key: key.to_string(),
        value,
        revision: Revision::new(state.era, state.revision),
    };
    state.rows.insert((topic, key.to_string()), row);
    state.revision
}

// Answers give rows the current era, not the one in which they were written.
fn with_era(row: &Row, era: u64) -> Row {
    Row {
        revision: Revision::new(era, row.revision.number),
        ..row.clone()
    }
}

fn renew_lease(state: &mut State, topic: Topic, key: &str) {
    if topic != Topic::Lease {
        return;
    }
    state.lease_calls += 1;
    if state.is_lease_renewed_by_other {
        let row = LeaseRow {
            holder: "another".into(),
            epoch: 100,
            write: state.lease_calls.to_string(),
        };
        let value = schema::encode(&row).unwrap();
        write_row(state, topic, key, Some(value));
    }
}

fn is_of_hall(row: &Row, hall: &str) -> bool {
    let value = row.value.as_deref().unwrap_or_default();
    schema::decode::<GatewayRow>(value).is_ok_and(|row| row.hall.as_deref() == Some(hall))
}

fn decode_index(value: &[u8]) -> Result<usize, RowFault> {
    let bytes = value
        .try_into()
        .map_err(|_| RowFault("index is not 8 bytes".into()))?;
    Ok(u64::from_le_bytes(bytes) as usize)
}

impl Store for FakeStore {
    async fn page(&self, query: PageQuery<'_>) -> Result<Page, StoreError> {
        self.count_call(query.topic);
        self.delay_or_hang().await;
        let state = self.lock_state()?;
        let mut rows = self.rows(&state, query.topic, 0, false);
        rows.rows
            .retain(|row| query.hall.is_none_or(|hall| is_of_hall(row, hall)));
        rows.rows
            .retain(|row| query.after.is_none_or(|after| row.key.as_str() > after));
        let more = rows.rows.len() > query.limit;
        rows.rows.truncate(query.limit);
        Ok(Page { rows, more })
    }

    async fn read(&self, topic: Topic, key: &str) -> Result<ReadRow, StoreError> {
        self.count_call(topic);
        let mut state = self.lock_state()?;
        renew_lease(&mut state, topic, key);
        let row = state.rows.get(&(topic, key.to_string()));
        Ok(ReadRow {
            row: row.map(|row| with_era(row, state.era)),
            revision: Revision::new(state.era, state.revision),
        })
    }

    async fn changes(
        &self,
        topic: Topic,
        after: Revision,
        wait: Duration,
        _: Duration,
    ) -> Result<Rows, StoreError> {
        self.count_call(topic);
        let after = after.number;
        let began = Instant::now();
        loop {
            self.delay_or_hang().await;
            let rows = {
                let state = self.lock_state()?;
                if after < state.compacted_before || after > state.revision {
                    return Err(StoreError::HistoryGone);
                }
                self.rows(&state, topic, after, true)
            };
            if !rows.rows.is_empty() || began.elapsed() >= wait {
                self.wait_while_held().await;
                return Ok(rows);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn write(
        &self,
        topic: Topic,
        key: &str,
        value: Vec<u8>,
        expected: Option<Revision>,
    ) -> Result<Revision, StoreError> {
        let mut state = self.lock_state()?;
        renew_lease(&mut state, topic, key);
        let found = state.rows.get(&(topic, key.to_string()));
        let number = found.map_or(0, |row| row.revision.number);
        if expected.is_some_and(|expected| expected.number != number) {
            return Err(StoreError::Conflict(
                found.map(|row| with_era(row, state.era)),
            ));
        }
        let number = write_row(&mut state, topic, key, Some(value));
        Ok(Revision::new(state.era, number))
    }

    async fn announce(
        &self,
        _: Option<&str>,
        gateway: &str,
        value: Vec<u8>,
    ) -> Result<Revision, StoreError> {
        self.write(Topic::Gateways, gateway, value, None).await
    }

    fn era(&self) -> StoreEra {
        *self.reported_era.lock().unwrap()
    }

    fn configuration(&self, value: &[u8]) -> Result<Configuration, RowFault> {
        // The bytes after the index are padding.
        let index = value.get(..8).unwrap_or_default();
        let index = decode_index(index)?;
        Ok(self.state.lock().unwrap().configurations[index].clone())
    }

    fn endpoint(&self, _: &str, value: &[u8]) -> Result<Endpoint, RowFault> {
        let index = decode_index(value)?;
        Ok(self.state.lock().unwrap().endpoints[index].clone())
    }

    fn configuration_key(&self) -> &'static str {
        "newest"
    }

    fn rollout_service(&self, key: &str) -> Option<String> {
        key.strip_prefix(ROLLOUT_PREFIX).map(str::to_string)
    }

    fn rollout_order(&self, value: &[u8], revision: u64) -> Result<Order, RowFault> {
        let fault = || RowFault("invalid order".into());
        let text = std::str::from_utf8(value).map_err(|_| fault())?;
        let (version, ms) = text.split_once(' ').ok_or_else(fault)?;
        Ok(Order {
            service: "s".into(),
            version: version.into(),
            revision,
            time_limit: Duration::from_millis(ms.parse().map_err(|_| fault())?),
        })
    }

    fn rollout_status(&self, order: &Order, decision: Option<Decision>) -> StatusRow {
        StatusRow {
            key: order.service.clone(),
            value: format!("{} {decision:?}", order.version).into_bytes(),
        }
    }
}

/// Records the orders and reports it receives.
#[derive(Clone, Default)]
pub struct FakeOrders {
    pub reports: Arc<Mutex<Vec<(DutyHolder, Report)>>>,
    pub orders: Arc<Mutex<Vec<(DutyHolder, ScalingOrder)>>>,
    /// Replies to the next reports, the last one first; `Done` once there are none.
    pub replies: Arc<Mutex<Vec<OrderReply>>>,
}

impl Orders for FakeOrders {
    async fn report(&self, holder: &DutyHolder, report: &Report) -> OrderReply {
        let mut reports = self.reports.lock().unwrap();
        reports.push((holder.clone(), report.clone()));
        let reply = self.replies.lock().unwrap().pop();
        reply.unwrap_or(OrderReply::Done)
    }

    async fn scale(&self, holder: &DutyHolder, _: &str, order: &ScalingOrder) -> OrderReply {
        let mut orders = self.orders.lock().unwrap();
        orders.push((holder.clone(), order.clone()));
        OrderReply::Done
    }
}
