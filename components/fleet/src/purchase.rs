//! Carrying out a holding plan: no VM is bought twice, and none is forgotten.
//!
//! Every purchase stands in the region's intents row before the cloud is called, under a name that
//! is used once. A call without an answer is made again under the same name, which the cloud takes
//! at most once; a new lease holder reads the row and goes on. A VM counts as held from the moment
//! its intent stands, whether or not the platform's lagging list shows it yet.

use std::collections::BTreeMap;
use std::time::Duration;

use schema::messages::{Intent, IntentsRow};
use state::{Reply, Row, TableCall, Write, ABSENT};

use crate::holding::{Bid, Change, HallOffer, Holding, HoldingPlanner, PoolNeed};

/// Purchases under way at once, those that the list has not shown for long included.
const MAX_INTENTS: usize = 32;
/// How long the list must show a VM before its intent is dropped.
const SETTLE_AFTER: Duration = Duration::from_secs(60);
/// Longest time for which the list may not show a VM that runs.
const LONGEST_LAG: Duration = Duration::from_secs(300);
/// Pause before the cloud is asked again about the same VM.
const ASK_AGAIN: Duration = Duration::from_secs(2);

/// A VM on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Name.
    pub name: String,
    /// Where and how it runs.
    pub bid: Bid,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What happens to the purchases.
#[derive(Clone, Debug)]
pub enum PurchaseEvent {
    /// Time passed under a lease of this epoch.
    Tick {
        /// The epoch.
        epoch: i64,
        /// The newest list, or `None` if there is none newer than the last.
        listed: Option<Vec<Listed>>,
    },
    /// A table call came back; only the one asked for last counts.
    Table {
        /// Number of the call.
        call: u32,
        /// Its reply.
        reply: Reply,
    },
    /// The cloud answered: started, refused, or no answer.
    Bought(String, Option<bool>),
    /// The cloud took a VM back, or did not answer.
    Returned(String, bool),
    /// The lease is gone: stop.
    Lost,
}

/// What the purchases ask for. Cloud calls are orders: they go out only while the lease holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PurchaseAction {
    /// Make a table call and hand in its reply.
    Call {
        /// Number of the call.
        call: u32,
        /// The call.
        table: TableCall,
    },
    /// Buy this VM.
    Buy(Intent),
    /// Give this VM back.
    GiveBack(String),
}

/// The purchases of one pool by the holder of a region's lease.
#[derive(Debug)]
pub struct Purchases {
    key: String,
    pool: String,
    need: PoolNeed,
    offers: Vec<HallOffer>,
    planner: HoldingPlanner,
    row: Option<(u64, IntentsRow)>,
    // The row as it will stand once the write under way is confirmed.
    writing: Option<IntentsRow>,
    waiting: bool,
    listed: Option<Vec<Listed>>,
    asked: BTreeMap<String, Duration>,
    // Whether the list shows the VM of an intent, and since when.
    seen: BTreeMap<String, (bool, Duration)>,
    call: u32,
}

impl Purchases {
    /// Purchases for a pool that keep their intents in this row.
    pub fn new(key: &str, pool: &str, need: PoolNeed, offers: Vec<HallOffer>) -> Self {
        Purchases {
            key: key.to_string(),
            pool: pool.to_string(),
            need,
            offers,
            planner: HoldingPlanner::default(),
            row: None,
            writing: None,
            waiting: false,
            listed: None,
            asked: BTreeMap::new(),
            seen: BTreeMap::new(),
            call: 0,
        }
    }

    /// Takes new prices, reclaim rates and needs.
    pub fn update(&mut self, need: PoolNeed, offers: Vec<HallOffer>) {
        self.need = need;
        self.offers = offers;
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn step(&mut self, now: Duration, event: PurchaseEvent) -> Vec<PurchaseAction> {
        match event {
            PurchaseEvent::Tick { epoch, listed } => self.tick(now, epoch, listed),
            PurchaseEvent::Table { call, .. } if call != self.call => Vec::new(),
            PurchaseEvent::Table { reply, .. } => self.take_reply(reply),
            PurchaseEvent::Bought(vm, answer) => self.bought(now, &vm, answer),
            PurchaseEvent::Returned(vm, done) => self.returned(&vm, done),
            PurchaseEvent::Lost => self.forget(),
        }
    }

    // Another holder may change the row: a new term starts by reading it.
    fn forget(&mut self) -> Vec<PurchaseAction> {
        self.row = None;
        self.writing = None;
        self.waiting = false;
        self.listed = None;
        self.asked.clear();
        self.seen.clear();
        // A reply to a call of the former term is not taken for one of the next.
        self.call += 1;
        Vec::new()
    }

    fn tick(
        &mut self,
        now: Duration,
        epoch: i64,
        listed: Option<Vec<Listed>>,
    ) -> Vec<PurchaseAction> {
        self.listed = listed.or(self.listed.take());
        if self.waiting {
            return Vec::new();
        }
        let Some((_, row)) = self.row.clone() else {
            return self.read();
        };
        if row.epoch > epoch {
            return Vec::new();
        }
        let settled = self.settled(now, &row);
        if settled != row {
            return self.write(IntentsRow { epoch, ..settled });
        }
        let actions = self.ask(now, &row);
        match actions.is_empty() {
            true => self.plan(now, epoch, row),
            false => actions,
        }
    }

    fn read(&mut self) -> Vec<PurchaseAction> {
        self.waiting = true;
        self.number(TableCall::Read(self.key.clone()))
    }

    fn write(&mut self, row: IntentsRow) -> Vec<PurchaseAction> {
        let expect = self.row.as_ref().map_or(ABSENT, |(version, _)| *version);
        let value = schema::encode(&row).unwrap_or_default();
        self.writing = Some(row);
        self.waiting = true;
        let write = Write {
            key: self.key.clone(),
            expect,
            value,
        };
        self.number(TableCall::Transact(vec![write]))
    }

    fn number(&mut self, table: TableCall) -> Vec<PurchaseAction> {
        self.call += 1;
        vec![PurchaseAction::Call {
            call: self.call,
            table,
        }]
    }

    fn take_reply(&mut self, reply: Reply) -> Vec<PurchaseAction> {
        if !std::mem::take(&mut self.waiting) {
            return Vec::new();
        }
        match (reply, self.writing.take()) {
            (Reply::Row(row), _) => self.take_row(row),
            (Reply::Committed { .. }, Some(written)) => {
                let version = self.row.as_ref().map_or(ABSENT, |(version, _)| *version) + 1;
                self.row = Some((version, written));
            }
            // Whether the write stands is seen by reading; nothing was called on its strength.
            _ => self.row = None,
        }
        Vec::new()
    }

    fn take_row(&mut self, row: Option<Row>) {
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

    // Intents whose VM the list has shown for long are done: the list of the next holder may lag
    // further. So are those whose VM it has not shown for longer than it lags: the VM is gone.
    // Returns are done when the list shows the VM no more.
    fn settled(&mut self, now: Duration, row: &IntentsRow) -> IntentsRow {
        let mut settled = row.clone();
        let Some(listed) = &self.listed else {
            return settled;
        };
        let shows = |name: &String| listed.iter().any(|vm| vm.name == *name);
        for intent in row.intents.iter().filter(|i| i.started) {
            let seen = self
                .seen
                .entry(intent.vm.clone())
                .or_insert((shows(&intent.vm), now));
            if seen.0 != shows(&intent.vm) {
                *seen = (shows(&intent.vm), now);
            }
        }
        let done = |vm: &String| match self.seen.get(vm) {
            Some((true, since)) => now >= *since + SETTLE_AFTER,
            Some((false, since)) => now >= *since + LONGEST_LAG,
            None => false,
        };
        settled.intents.retain(|i| !(i.started && done(&i.vm)));
        settled.returning.retain(&shows);
        settled
    }

    // Calls about intents that are not confirmed, and VMs that are being given back.
    fn ask(&mut self, now: Duration, row: &IntentsRow) -> Vec<PurchaseAction> {
        let mut actions = Vec::new();
        for intent in row.intents.iter().filter(|i| !i.started) {
            if self.may_ask(now, &intent.vm) {
                actions.push(PurchaseAction::Buy(intent.clone()));
            }
        }
        for vm in &row.returning {
            if self.may_ask(now, vm) {
                actions.push(PurchaseAction::GiveBack(vm.clone()));
            }
        }
        actions
    }

    fn may_ask(&mut self, now: Duration, vm: &str) -> bool {
        let due = self.asked.get(vm).is_none_or(|at| now >= *at + ASK_AGAIN);
        if due {
            self.asked.insert(vm.to_string(), now);
        }
        due
    }

    fn plan(&mut self, now: Duration, epoch: i64, row: IntentsRow) -> Vec<PurchaseAction> {
        let busy = !row.returning.is_empty() || row.intents.len() >= MAX_INTENTS;
        let (false, Some(listed)) = (busy, self.listed.clone()) else {
            return Vec::new();
        };
        let held = held(&listed, &row);
        let changes = self.planner.changes(now, self.need, &self.offers, &held);
        let mut next = IntentsRow { epoch, ..row };
        for change in changes {
            match change {
                Change::Buy(bid) if next.intents.len() < MAX_INTENTS => self.intend(&mut next, bid),
                Change::Buy(_) => {}
                Change::GiveBack(bid) => {
                    let gone = listed.iter().find(|vm| vm.bid == bid && !vm.leaving);
                    if let Some(vm) = gone {
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

    fn intend(&self, row: &mut IntentsRow, bid: Bid) {
        row.counter += 1;
        row.intents.push(Intent {
            vm: format!("{}-{}-{}", self.pool, bid.hall, row.counter),
            hall: bid.hall,
            pool: self.pool.clone(),
            on_demand: bid.on_demand,
            started: false,
        });
    }

    fn bought(&mut self, now: Duration, vm: &str, answer: Option<bool>) -> Vec<PurchaseAction> {
        let (Some((_, row)), Some(started), false) = (&self.row, answer, self.waiting) else {
            return Vec::new();
        };
        let mut next = row.clone();
        let Some(intent) = next.intents.iter_mut().find(|i| i.vm == vm) else {
            return Vec::new();
        };
        let bid = Bid {
            hall: intent.hall.clone(),
            on_demand: intent.on_demand,
        };
        if started {
            intent.started = true;
            self.planner.started(&bid);
        } else {
            next.intents.retain(|i| i.vm != vm);
            self.planner.refused(now, &bid);
        }
        self.write(next)
    }

    fn returned(&mut self, vm: &str, done: bool) -> Vec<PurchaseAction> {
        if done {
            // The list will show it no more; until then it is asked about again, which is harmless.
            self.asked
                .entry(vm.to_string())
                .and_modify(|at| *at += ASK_AGAIN * 4);
        }
        Vec::new()
    }
}

// What counts as held: what is listed and stays, and what is intended and not listed yet.
fn held(listed: &[Listed], row: &IntentsRow) -> Holding {
    let mut held = Holding::new();
    let stays = |vm: &&Listed| !vm.leaving && !row.returning.contains(&vm.name);
    for vm in listed.iter().filter(stays) {
        *held.entry(vm.bid.clone()).or_default() += 1;
    }
    for intent in &row.intents {
        if !listed.iter().any(|vm| vm.name == intent.vm) {
            let bid = Bid {
                hall: intent.hall.clone(),
                on_demand: intent.on_demand,
            };
            *held.entry(bid).or_default() += 1;
        }
    }
    held
}
