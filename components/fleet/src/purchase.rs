//! Carries out a holding plan without buying a VM twice or losing track of one.
//!
//! Every purchase is written to the region's intents row before the cloud is called, under a name
//! that is used only once. A call without a reply is repeated under the same name, which the cloud
//! accepts at most once. A new lease holder reads the row and continues. A VM counts as held as
//! soon as its intent is written, even if the platform's list lags and does not show it yet.

use std::collections::BTreeMap;
use std::time::Duration;

use schema::messages::{Intent, IntentsRow};
use state::{Reply, Row, TableCall, Write, ABSENT};

use crate::holding::{HallOffer, Holding, HoldingChange, HoldingPlanner, PoolNeed, VmClass};

/// Maximum number of intents in the row, including VMs that the list has not shown for long enough.
const MAX_INTENTS: usize = 32;
/// How long the list must show a VM before its intent is dropped.
const SETTLE_AFTER: Duration = Duration::from_secs(60);
/// Maximum time for which the list may omit a running VM.
const MAX_LIST_LAG: Duration = Duration::from_secs(300);
/// Delay before the cloud is called again for the same VM.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// A VM on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// Name of the VM.
    pub name: String,
    /// Hall and price class.
    pub class: VmClass,
    /// Whether the VM is leaving.
    pub leaving: bool,
}

/// Input of [`Purchases::step`].
#[derive(Clone, Debug)]
pub enum PurchaseEvent {
    /// Periodic tick while the lease is held.
    Tick {
        /// Epoch of the lease.
        epoch: i64,
        /// The current list; `None` if it has not changed since the last tick.
        listed: Option<Vec<ListedVm>>,
    },
    /// Reply to a table call. Only the reply to the latest call is used.
    Table {
        /// Number of the call.
        call: u32,
        /// Reply of the table.
        reply: Reply,
    },
    /// Result of buying the named VM: whether it was started; `None` without a reply.
    Bought(String, Option<bool>),
    /// Result of giving the named VM back: whether the cloud confirmed it.
    Returned(String, bool),
    /// The lease is lost; nothing more may be done.
    LeaseLost,
}

/// Output of [`Purchases::step`]. Cloud calls may be made only while the lease is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PurchaseAction {
    /// Make a table call and pass its reply to [`Purchases::step`].
    Call {
        /// Number of the call.
        call: u32,
        /// The call.
        table: TableCall,
    },
    /// Buy this VM.
    Buy(Intent),
    /// Give the named VM back.
    GiveBack(String),
}

/// Purchases of one pool, made by the holder of the region's lease.
#[derive(Debug)]
pub struct Purchases {
    key: String,
    pool: String,
    need: PoolNeed,
    offers: Vec<HallOffer>,
    planner: HoldingPlanner,
    row: Option<(u64, IntentsRow)>,
    // Contents of the row once the write in flight is confirmed.
    pending_row: Option<IntentsRow>,
    is_call_in_flight: bool,
    listed: Option<Vec<ListedVm>>,
    called_at: BTreeMap<String, Duration>,
    // Whether the list shows the VM of an intent, and since when.
    list_status: BTreeMap<String, (bool, Duration)>,
    call: u32,
}

impl Purchases {
    /// Creates the purchases of a pool, with intents stored in the row `key`.
    pub fn new(key: &str, pool: &str, need: PoolNeed, offers: Vec<HallOffer>) -> Self {
        Purchases {
            key: key.to_string(),
            pool: pool.to_string(),
            need,
            offers,
            planner: HoldingPlanner::default(),
            row: None,
            pending_row: None,
            is_call_in_flight: false,
            listed: None,
            called_at: BTreeMap::new(),
            list_status: BTreeMap::new(),
            call: 0,
        }
    }

    /// Replaces the need, prices and reclaim rates.
    pub fn update(&mut self, need: PoolNeed, offers: Vec<HallOffer>) {
        self.need = need;
        self.offers = offers;
    }

    /// Handles one event and returns the actions to take, in order.
    pub fn step(&mut self, now: Duration, event: PurchaseEvent) -> Vec<PurchaseAction> {
        match event {
            PurchaseEvent::Tick { epoch, listed } => self.tick(now, epoch, listed),
            PurchaseEvent::Table { call, .. } if call != self.call => Vec::new(),
            PurchaseEvent::Table { reply, .. } => self.handle_reply(reply),
            PurchaseEvent::Bought(vm, answer) => self.record_bought(now, &vm, answer),
            PurchaseEvent::Returned(vm, done) => self.record_returned(&vm, done),
            PurchaseEvent::LeaseLost => self.reset(),
        }
    }

    // Another holder may change the row, so a new term starts by reading it.
    fn reset(&mut self) -> Vec<PurchaseAction> {
        self.row = None;
        self.pending_row = None;
        self.is_call_in_flight = false;
        self.listed = None;
        self.called_at.clear();
        self.list_status.clear();
        // Ignore replies to calls of the previous term.
        self.call += 1;
        Vec::new()
    }

    fn tick(
        &mut self,
        now: Duration,
        epoch: i64,
        listed: Option<Vec<ListedVm>>,
    ) -> Vec<PurchaseAction> {
        self.listed = listed.or(self.listed.take());
        if self.is_call_in_flight {
            return Vec::new();
        }
        let Some((_, row)) = self.row.clone() else {
            return self.read();
        };
        if row.epoch > epoch {
            return Vec::new();
        }
        let remaining = self.without_completed(now, &row);
        if remaining != row {
            return self.write(IntentsRow { epoch, ..remaining });
        }
        let actions = self.due_calls(now, &row);
        match actions.is_empty() {
            true => self.plan(now, epoch, row),
            false => actions,
        }
    }

    fn read(&mut self) -> Vec<PurchaseAction> {
        self.is_call_in_flight = true;
        self.numbered_call(TableCall::Read(self.key.clone()))
    }

    fn write(&mut self, row: IntentsRow) -> Vec<PurchaseAction> {
        let expect = self.row.as_ref().map_or(ABSENT, |(version, _)| *version);
        let value = schema::encode(&row).unwrap_or_default();
        self.pending_row = Some(row);
        self.is_call_in_flight = true;
        let write = Write {
            key: self.key.clone(),
            expect,
            value,
        };
        self.numbered_call(TableCall::Transact(vec![write]))
    }

    fn numbered_call(&mut self, table: TableCall) -> Vec<PurchaseAction> {
        self.call += 1;
        vec![PurchaseAction::Call {
            call: self.call,
            table,
        }]
    }

    fn handle_reply(&mut self, reply: Reply) -> Vec<PurchaseAction> {
        if !std::mem::take(&mut self.is_call_in_flight) {
            return Vec::new();
        }
        match (reply, self.pending_row.take()) {
            (Reply::Row(row), _) => self.set_row(row),
            (Reply::Committed { .. }, Some(written)) => {
                let version = self.row.as_ref().map_or(ABSENT, |(version, _)| *version) + 1;
                self.row = Some((version, written));
            }
            // Whether the write was applied is found out by reading the row. No cloud call was made
            // on the basis of it.
            _ => self.row = None,
        }
        Vec::new()
    }

    fn set_row(&mut self, row: Option<Row>) {
        let version = row.as_ref().map_or(ABSENT, |r| r.version);
        let empty = IntentsRow {
            epoch: 0,
            counter: 0,
            intents: Vec::new(),
            returning: Vec::new(),
        };
        let decoded = row.and_then(|r| schema::decode::<IntentsRow>(&r.value).ok());
        self.row = Some((version, decoded.unwrap_or(empty)));
    }

    // Drops completed intents and returns. An intent is complete when the list has shown its VM for
    // a while, since the list of the next holder may lag further, or has omitted it for longer than
    // the list can lag, which means that the VM is gone. A return is complete when the list no
    // longer shows the VM.
    fn without_completed(&mut self, now: Duration, row: &IntentsRow) -> IntentsRow {
        let mut remaining = row.clone();
        let Some(listed) = &self.listed else {
            return remaining;
        };
        let shows = |name: &String| listed.iter().any(|vm| vm.name == *name);
        for intent in row.intents.iter().filter(|i| i.started) {
            let status = self
                .list_status
                .entry(intent.vm.clone())
                .or_insert((shows(&intent.vm), now));
            if status.0 != shows(&intent.vm) {
                *status = (shows(&intent.vm), now);
            }
        }
        let is_complete = |vm: &String| match self.list_status.get(vm) {
            Some((true, since)) => now >= *since + SETTLE_AFTER,
            Some((false, since)) => now >= *since + MAX_LIST_LAG,
            None => false,
        };
        remaining
            .intents
            .retain(|i| !(i.started && is_complete(&i.vm)));
        remaining.returning.retain(&shows);
        remaining
    }

    // Cloud calls that are due for unconfirmed intents and for VMs being given back.
    fn due_calls(&mut self, now: Duration, row: &IntentsRow) -> Vec<PurchaseAction> {
        let mut actions = Vec::new();
        for intent in row.intents.iter().filter(|i| !i.started) {
            if self.take_due_call(now, &intent.vm) {
                actions.push(PurchaseAction::Buy(intent.clone()));
            }
        }
        for vm in &row.returning {
            if self.take_due_call(now, vm) {
                actions.push(PurchaseAction::GiveBack(vm.clone()));
            }
        }
        actions
    }

    fn take_due_call(&mut self, now: Duration, vm: &str) -> bool {
        let is_due = self
            .called_at
            .get(vm)
            .is_none_or(|at| now >= *at + RETRY_DELAY);
        if is_due {
            self.called_at.insert(vm.to_string(), now);
        }
        is_due
    }

    fn plan(&mut self, now: Duration, epoch: i64, row: IntentsRow) -> Vec<PurchaseAction> {
        let is_busy = !row.returning.is_empty() || row.intents.len() >= MAX_INTENTS;
        let (false, Some(listed)) = (is_busy, self.listed.clone()) else {
            return Vec::new();
        };
        let held = held_vms(&listed, &row);
        let changes = self.planner.changes(now, self.need, &self.offers, &held);
        let mut next = IntentsRow { epoch, ..row };
        for change in changes {
            match change {
                HoldingChange::Buy(class) if next.intents.len() < MAX_INTENTS => {
                    self.add_intent(&mut next, class)
                }
                HoldingChange::Buy(_) => {}
                HoldingChange::GiveBack(class) => {
                    let returned = listed.iter().find(|vm| vm.class == class && !vm.leaving);
                    if let Some(vm) = returned {
                        next.intents.retain(|i| i.vm != vm.name);
                        next.returning.push(vm.name.clone());
                    }
                }
            }
        }
        let before = self
            .row
            .as_ref()
            .map(|(_, r)| (r.intents.len(), r.returning.len()));
        match before == Some((next.intents.len(), next.returning.len())) {
            true => Vec::new(),
            false => self.write(next),
        }
    }

    fn add_intent(&self, row: &mut IntentsRow, class: VmClass) {
        row.counter += 1;
        row.intents.push(Intent {
            vm: format!("{}-{}-{}", self.pool, class.hall, row.counter),
            hall: class.hall,
            pool: self.pool.clone(),
            on_demand: class.on_demand,
            started: false,
        });
    }

    fn record_bought(
        &mut self,
        now: Duration,
        vm: &str,
        answer: Option<bool>,
    ) -> Vec<PurchaseAction> {
        let (Some((_, row)), Some(started), false) = (&self.row, answer, self.is_call_in_flight)
        else {
            return Vec::new();
        };
        let mut next = row.clone();
        let Some(intent) = next.intents.iter_mut().find(|i| i.vm == vm) else {
            return Vec::new();
        };
        let class = VmClass {
            hall: intent.hall.clone(),
            on_demand: intent.on_demand,
        };
        if started {
            intent.started = true;
            self.planner.started(&class);
        } else {
            next.intents.retain(|i| i.vm != vm);
            self.planner.refused(now, &class);
        }
        self.write(next)
    }

    fn record_returned(&mut self, vm: &str, done: bool) -> Vec<PurchaseAction> {
        if done {
            // Delay the next call: the list will soon omit the VM. A repeated call is harmless.
            self.called_at
                .entry(vm.to_string())
                .and_modify(|at| *at += RETRY_DELAY * 4);
        }
        Vec::new()
    }
}

// Held VMs: listed ones that stay, and intended ones that are not listed yet.
fn held_vms(listed: &[ListedVm], row: &IntentsRow) -> Holding {
    let mut held = Holding::new();
    let is_staying = |vm: &&ListedVm| !vm.leaving && !row.returning.contains(&vm.name);
    for vm in listed.iter().filter(is_staying) {
        *held.entry(vm.class.clone()).or_default() += 1;
    }
    for intent in &row.intents {
        if !listed.iter().any(|vm| vm.name == intent.vm) {
            let class = VmClass {
                hall: intent.hall.clone(),
                on_demand: intent.on_demand,
            };
            *held.entry(class).or_default() += 1;
        }
    }
    held
}
