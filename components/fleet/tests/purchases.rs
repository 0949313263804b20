//! Tests purchases with lost replies, refused starts, a lagging list and changes of the lease
//! holder.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use fakes::{check, FakeTable, Faults, CALM, ROUGH};
use fleet::{HallOffer, ListedVm, PoolNeed, PurchaseAction, PurchaseEvent, Purchases, VmClass};
use rand::RngExt;
use schema::messages::{Intent, IntentsRow};

const KEY: &str = "intents/home/chat";
const STEP_TIME: Duration = Duration::from_millis(100);
const HOLDERS: usize = 2;
/// The list shows the state of the cloud this many steps ago.
const LIST_LAG_STEPS: usize = 100;

struct Simulation {
    table: FakeTable,
    purchases: Vec<Purchases>,
    holder: usize,
    epoch: i64,
    vms: BTreeMap<String, VmClass>,
    // Number of starts by VM name, to detect a VM that is bought twice.
    starts: BTreeMap<String, u32>,
    vm_history: VecDeque<BTreeMap<String, VmClass>>,
    is_refusing: bool,
    max_held: usize,
}

fn offers() -> Vec<HallOffer> {
    (0..3)
        .map(|n| HallOffer {
            hall: format!("h{n}"),
            reclaimable_milli: 900 + n * 50,
            on_demand_milli: 2200,
            reclaims_milli: 10,
        })
        .collect()
}

fn need(after_loss: u64, all: u64) -> PoolNeed {
    PoolNeed {
        after_loss,
        all,
        reclaim_cost_milli: 100,
    }
}

impl Simulation {
    fn new(seed: u64, faults: Faults) -> Self {
        let purchases = || Purchases::new(KEY, "chat", need(6, 8), offers());
        Simulation {
            table: FakeTable::new(seed, faults),
            purchases: (0..HOLDERS).map(|_| purchases()).collect(),
            holder: 0,
            epoch: 1,
            vms: BTreeMap::new(),
            starts: BTreeMap::new(),
            vm_history: VecDeque::new(),
            is_refusing: false,
            max_held: 0,
        }
    }

    fn listed(&self) -> Vec<ListedVm> {
        let vms = self.vm_history.front().into_iter().flatten();
        vms.map(|(name, class)| ListedVm {
            name: name.clone(),
            class: class.clone(),
            leaving: false,
        })
        .collect()
    }

    fn handle_event(&mut self, now: Duration, n: usize, event: PurchaseEvent) {
        for action in self.purchases[n].step(now, event) {
            match action {
                PurchaseAction::Call { call, table } => self.table.call(now, n, call, table),
                PurchaseAction::Buy(intent) => self.buy(now, n, intent),
                PurchaseAction::GiveBack(vm) => {
                    self.vms.remove(&vm);
                    let answered = !self.table.rng.random_ratio(1, 4);
                    self.handle_event(now, n, PurchaseEvent::Returned(vm, answered));
                }
            }
        }
    }

    // A start may be refused, lost, or carried out without a reply. Each name is started at most
    // once.
    fn buy(&mut self, now: Duration, n: usize, intent: Intent) {
        let has_faults = self.table.faults.lost > 0;
        let is_lost = has_faults && self.table.rng.random_ratio(1, 6);
        if is_lost {
            return self.handle_event(now, n, PurchaseEvent::Bought(intent.vm, None));
        }
        let exists = self.starts.contains_key(&intent.vm);
        let refused = !exists && self.is_refusing;
        if !exists && !refused {
            self.starts.insert(intent.vm.clone(), 1);
            let class = VmClass {
                hall: intent.hall.clone(),
                on_demand: intent.on_demand,
            };
            self.vms.insert(intent.vm.clone(), class);
        }
        let unanswered = has_faults && self.table.rng.random_ratio(1, 4);
        let answer = (!unanswered).then_some(!refused);
        self.handle_event(now, n, PurchaseEvent::Bought(intent.vm, answer));
    }

    fn step(&mut self, now: Duration) {
        for (n, call, reply) in self.table.advance(now) {
            self.handle_event(now, n, PurchaseEvent::Table { call, reply });
        }
        self.vm_history.push_back(self.vms.clone());
        if self.vm_history.len() > LIST_LAG_STEPS {
            self.vm_history.pop_front();
        }
        let listed = Some(self.listed()).filter(|_| self.vm_history.len() == LIST_LAG_STEPS);
        let epoch = self.epoch;
        self.handle_event(now, self.holder, PurchaseEvent::Tick { epoch, listed });
        self.max_held = self.max_held.max(self.vms.len());
    }

    // The holder loses its lease, possibly in the middle of a purchase.
    fn change_holder(&mut self, now: Duration) {
        self.handle_event(now, self.holder, PurchaseEvent::LeaseLost);
        self.holder = 1 - self.holder;
        self.epoch += 1;
    }

    fn row(&self) -> Option<IntentsRow> {
        self.table
            .rows
            .get(KEY)
            .and_then(|r| schema::decode(&r.value).ok())
    }
}

// Runs with faults for the first 400 s, then for more than ten minutes without.
fn run(seed: u64, refusals: bool) -> Simulation {
    let mut simulation = Simulation::new(seed, ROUGH);
    for step in 0..12_000 {
        let now = STEP_TIME * step;
        if step < 4000 && simulation.table.rng.random_ratio(1, 150) {
            simulation.change_holder(now);
        }
        if refusals && step < 4000 && simulation.table.rng.random_ratio(1, 200) {
            simulation.is_refusing = !simulation.is_refusing;
        }
        if step == 4000 {
            simulation.is_refusing = false;
            simulation.table.faults = CALM;
        }
        simulation.step(now);
    }
    simulation
}

// Six VMs must be left after the loss of one of three halls, which takes nine.
const PLANNED_VMS: usize = 9;

#[test]
fn the_wanted_vms_are_held_once_the_faults_stop() {
    // One excess VM may stay: giving it back saves less than the minimum saving for an exchange.
    let held = |seed| run(seed, true).vms.len();
    assert!((0..12)
        .map(held)
        .all(|vms| vms == PLANNED_VMS || vms == PLANNED_VMS + 1));
}

// Runs without refusals, because the other halls hold more VMs while one refuses. The faults are
// lost replies and changes of the holder.
#[test]
fn no_vm_is_bought_twice_for_one_need() {
    check(12, |seed| run(seed, false).max_held == PLANNED_VMS);
}

#[test]
fn every_vm_is_listed_and_no_intent_is_left() {
    check(12, |seed| {
        let simulation = run(seed, true);
        // The list shows every VM, and the row has no intents left.
        let listed = simulation.listed().len();
        listed == simulation.vms.len() && simulation.row().is_some_and(|r| r.intents.is_empty())
    });
}

#[test]
fn a_start_that_is_refused_everywhere_does_not_cause_a_busy_loop() {
    let mut simulation = Simulation::new(1, CALM);
    simulation.is_refusing = true;
    (0..6000).for_each(|step| simulation.step(STEP_TIME * step));
    assert!(simulation.vms.is_empty());
    assert!(
        simulation.table.calls < 600,
        "{} table calls in ten minutes",
        simulation.table.calls
    );
}

#[test]
fn vms_that_are_not_needed_are_given_back_after_a_while() {
    let mut simulation = Simulation::new(1, CALM);
    (0..3000).for_each(|step| simulation.step(STEP_TIME * step));
    assert_eq!(simulation.vms.len(), PLANNED_VMS);
    for purchases in &mut simulation.purchases {
        purchases.update(need(2, 3), offers());
    }
    (3000..30_000).for_each(|step| simulation.step(STEP_TIME * step));
    assert_eq!(simulation.vms.len(), 3);
}
