//! The duties of the lease's holder: usage reports and orders of endpoints.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use directory::{Configuration, Endpoint, Scaling};
use fleet::{Fleet, Load, Offer, Scaler, ScalingOrder};
use routing::placement::endpoint_hash;
use schema::messages::UsageRow;
use slog::{info, warn};
use state::{LeaseAction, LeaseEvent, Reply, TableCall};
use usage::{Report, Step};

use crate::control::{Known, Shared};
use crate::ports::{DutyHolder, OrderReply, Orders, Store, StoreError, Topic};

/// Pause between looks at what is due.
const DUTY_PAUSE: Duration = Duration::from_millis(250);
/// Pause between plans of endpoints.
const PLAN_PAUSE: Duration = Duration::from_millis(500);
/// Plans in a row that are carried out at most: one for each zone that turns out to be closed, and some.
const MOST_PLANS: usize = 6;
/// Others look at the lease only if its holder was not heard for this long.
const HOLDER_SILENCE: Duration = Duration::from_millis(2500);
/// A holder whose last renewal is older than this gives the lease up if the store answers others: one
/// renewal and one more try, by the pause between renewals (1 s) and the time of a call.
const UNRENEWED: Duration = Duration::from_millis(1700);
/// An order without an answer may be carried out for this long.
const LATE_ORDER: Duration = Duration::from_secs(5);
/// Gateways that look first at a lease that was given up, and for how long, so that not all write at once.
const FIRST_FOLLOWERS: usize = 2;
const FIRST_FOLLOWERS_TIME: Duration = Duration::from_secs(1);
/// Span over which prompts are counted.
const DEMAND_SPAN: Duration = Duration::from_secs(5);
/// Shortest span over which they are averaged.
const SHORTEST_SPAN: Duration = Duration::from_secs(1);
/// Requests of one second that are kept at most for the count.
const MOST_SAMPLES: usize = 20_000;

/// Prompt tokens sent to endpoints by all gateways, of the last seconds.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    samples: VecDeque<(Duration, u64, u32)>,
    // First sample after a time without any.
    since: Option<Duration>,
}

impl Demand {
    /// Notes a request.
    pub fn add(&mut self, at: Duration, endpoint: u64, unread_tokens: u32) {
        if self.samples.is_empty() {
            self.since = Some(at);
        }
        self.samples.push_back((at, endpoint, unread_tokens));
        if self.samples.len() > MOST_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Tokens a second, by endpoint hash.
    fn tokens_per_s(&mut self, now: Duration) -> HashMap<u64, f64> {
        let from = now.saturating_sub(DEMAND_SPAN);
        self.samples.retain(|(at, ..)| *at >= from);
        let mut sums: HashMap<u64, f64> = HashMap::new();
        for (_, endpoint, tokens) in &self.samples {
            *sums.entry(*endpoint).or_default() += f64::from(*tokens);
        }
        // A load that has just begun was not there for the whole span.
        let lasted = now.saturating_sub(self.since.unwrap_or(from));
        let span = lasted.clamp(SHORTEST_SPAN, DEMAND_SPAN).as_secs_f64();
        sums.values_mut().for_each(|sum| *sum /= span);
        sums
    }
}

/// Orders of this gateway that may not have ended yet.
#[derive(Debug, Default)]
pub(crate) struct OrdersUnderWay {
    count: u32,
    unanswered_at: Option<Duration>,
}

impl OrdersUnderWay {
    fn sent(&mut self) {
        self.count += 1;
    }

    fn ended(&mut self, now: Duration, answered: bool) {
        self.count = self.count.saturating_sub(1);
        if !answered {
            self.unanswered_at = Some(now);
        }
    }

    // Whether none is under way, nor one without an answer that may yet be carried out.
    fn are_settled(&self, now: Duration) -> bool {
        let late = self.unanswered_at;
        self.count == 0 && late.is_none_or(|at| now >= at + LATE_ORDER)
    }
}

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// One step of the lease.
    pub fn tick_lease(self: &Rc<Self>, now: Duration) {
        let mut known = self.known.borrow_mut();
        let settings = &known.settings;
        let has_duties = settings.reports_usage || settings.orders_endpoints;
        if !has_duties {
            return;
        }
        if self.is_to_give_up(now, &known) {
            let actions = known.lease.step(now, LeaseEvent::GiveUp);
            drop(known);
            info!(self.log, "lease given up"; "stopping" => self.freshness.is_stopping());
            self.act(actions);
            self.urgent.notify_one();
            return;
        }
        let holds = known.lease.may_order(now).is_some();
        if self.freshness.is_stopping() || (!holds && !self.is_candidate(now, &known)) {
            return;
        }
        let write = format!("{}-{}", self.source.incarnation, now.as_micros());
        let event = LeaseEvent::Tick {
            write,
            candidate: true,
        };
        let actions = known.lease.step(now, event);
        drop(known);
        self.act(actions);
    }

    // Whether another gateway should hold the lease: this one stops, or the store answers others and not
    // this one. Never while an order may still be on its way.
    fn is_to_give_up(&self, now: Duration, known: &Known) -> bool {
        let Some(unrenewed) = known.lease.unrenewed_for(now) else {
            return false;
        };
        let turned_away = unrenewed >= UNRENEWED && known.peers.others_reach_store(now);
        (self.freshness.is_stopping() || turned_away) && known.orders.are_settled(now)
    }

    // Others look at the lease once its holder is silent. Where it was given up, two of them look first.
    fn is_candidate(&self, now: Duration, known: &Known) -> bool {
        let peers = &known.peers;
        let waits = peers.given_up_within(now, FIRST_FOLLOWERS_TIME)
            && !peers.is_among_first(&self.source.gateway, now, FIRST_FOLLOWERS);
        !waits && !peers.holder_heard(now, HOLDER_SILENCE)
    }

    pub fn act(self: &Rc<Self>, actions: Vec<LeaseAction>) {
        for action in actions {
            match action {
                LeaseAction::Gained(epoch) => {
                    info!(self.log, "lease gained"; "epoch" => epoch);
                    let mut known = self.known.borrow_mut();
                    known.scalers.values_mut().for_each(Scaler::forget_orders);
                }
                LeaseAction::Lost => info!(self.log, "lease lost"),
                LeaseAction::Call { call, table } => {
                    let shared = Rc::clone(self);
                    tokio::task::spawn_local(async move {
                        let reply = shared.call_table(&table).await;
                        let now = shared.clock.now();
                        let event = LeaseEvent::Replied { call, reply };
                        let actions = shared.known.borrow_mut().lease.step(now, event);
                        shared.act(actions);
                    });
                }
            }
        }
    }

    async fn call_table(&self, call: &TableCall) -> Reply {
        match call {
            TableCall::Read(key) => match self.store.read(Topic::Lease, key).await {
                Ok(row) => Reply::Row(row.and_then(|row| {
                    Some(state::Row {
                        version: row.revision,
                        value: row.value?,
                    })
                })),
                Err(StoreError::Refused) => Reply::Refused,
                Err(_) => Reply::Unanswered,
            },
            TableCall::Transact(writes) => {
                let Some(write) = writes.first() else {
                    return Reply::Refused;
                };
                let value = write.value.clone();
                let written = self
                    .store
                    .write(Topic::Lease, &write.key, value, Some(write.expect))
                    .await;
                match written {
                    Ok(version) => Reply::Committed { version },
                    Err(StoreError::Conflict(_)) => Reply::Conflict,
                    Err(StoreError::Refused) => Reply::Refused,
                    Err(_) => Reply::Unanswered,
                }
            }
        }
    }

    /// Reports usage and orders endpoints whenever this gateway holds the lease.
    pub async fn carry_out_duties(self: Rc<Self>) {
        let planning = Rc::clone(&self);
        tokio::task::spawn_local(async move {
            loop {
                let lost = planning.endpoint_lost.notified();
                let _ = tokio::time::timeout(PLAN_PAUSE, lost).await;
                planning.order_endpoints().await;
            }
        });
        loop {
            tokio::time::sleep(DUTY_PAUSE).await;
            self.report_usage().await;
        }
    }

    // The holder as it is named on an order sent now, if this gateway may give one.
    fn holder(&self) -> Option<DutyHolder> {
        let known = self.known.borrow();
        let fence = known.lease.may_order(self.clock.now())?;
        Some(DutyHolder {
            gateway: self.source.gateway.clone(),
            fence,
        })
    }

    async fn report_usage(&self) {
        if self.holder().is_none() || !self.known.borrow().settings.reports_usage {
            return;
        }
        let wall = self.clock.wall();
        let step = {
            let mut known = self.known.borrow_mut();
            let oldest = known.reporter.oldest(wall);
            known.ledger.forget_before(oldest - 1);
            let Known {
                reporter, ledger, ..
            } = &*known;
            reporter.next(wall, ledger)
        };
        match step {
            None => {}
            Some(Step::Settle(report)) if self.predates_process(&report) => {
                self.known.borrow_mut().reporter.finished(report.window);
            }
            Some(Step::Settle(report)) => self.settle(report).await,
            Some(Step::Send(report)) => self.send_report(&report, wall).await,
        }
    }

    // Nothing is known here of a window before this process, unless others told of it.
    fn predates_process(&self, report: &Report) -> bool {
        let first = self.known.borrow().reporter.window_at(self.started_wall);
        report.counts.is_empty() && report.window < first
    }

    async fn settle(&self, report: Report) {
        let row = UsageRow {
            begun: report.counts.clone(),
        };
        let value = schema::encode(&row).unwrap_or_default();
        let key = format!("{:012}", report.window);
        let written = self.store.write(Topic::Usage, &key, value, Some(0)).await;
        let settled = match written {
            Ok(_) => Some(report),
            Err(StoreError::Conflict(Some(row))) => {
                let value = row.value.unwrap_or_default();
                let read = schema::decode::<UsageRow>(&value).ok();
                read.map(|row| Report {
                    window: report.window,
                    counts: row.begun,
                })
            }
            Err(_) => None,
        };
        if let Some(report) = settled {
            self.known.borrow_mut().reporter.settled(report);
        }
    }

    async fn send_report(&self, report: &Report, wall: Duration) {
        let Some(holder) = self.holder() else {
            return;
        };
        self.known.borrow_mut().orders.sent();
        let reply = self.orders.report(&holder, report).await;
        self.note_order_end(reply);
        info!(self.log, "usage reported"; "window" => report.window, "fence" => holder.fence,
            "reply" => ?reply);
        let mut known = self.known.borrow_mut();
        let overdue = report.window < known.reporter.oldest(wall);
        let over = matches!(reply, OrderReply::Done | OrderReply::Rejected(_));
        if over || overdue {
            known.reporter.finished(report.window);
        }
    }

    fn note_order_end(&self, reply: OrderReply) {
        let now = self.clock.now();
        let answered = reply != OrderReply::Unanswered;
        self.known.borrow_mut().orders.ended(now, answered);
    }

    async fn order_endpoints(&self) {
        if !self.known.borrow().settings.orders_endpoints {
            return;
        }
        self.observe_load();
        // A zone that turns out to be closed changes the plan for the others.
        for _ in 0..MOST_PLANS {
            if self.holder().is_none() || !self.carry_out_plan().await {
                return;
            }
        }
    }

    // Returns whether a zone that was open refused an order.
    async fn carry_out_plan(&self) -> bool {
        let mut zone_closed = false;
        for (service, orders) in self.plan() {
            for order in orders {
                let Some(holder) = self.holder() else {
                    return false;
                };
                self.known.borrow_mut().orders.sent();
                let reply = self.orders.scale(&holder, &service, &order).await;
                self.note_order_end(reply);
                info!(self.log, "endpoints ordered"; "service" => &service,
                    "zone" => &order.zone, "reclaimable" => order.reclaimable,
                    "count" => order.count, "fence" => holder.fence, "reply" => ?reply);
                zone_closed |= self.note_reply(&service, &order, reply);
            }
        }
        zone_closed
    }

    fn note_reply(&self, service: &str, order: &ScalingOrder, reply: OrderReply) -> bool {
        let now = self.clock.now();
        let mut known = self.known.borrow_mut();
        let Some(scaler) = known.scalers.get_mut(service) else {
            return false;
        };
        match reply {
            OrderReply::Done => scaler.accepted(order),
            OrderReply::Unavailable => return scaler.refused(now, order),
            OrderReply::Busy | OrderReply::Unanswered => scaler.unanswered(order),
            OrderReply::Rejected(status) => {
                warn!(self.log, "order rejected"; "service" => service, "status" => status);
                return scaler.refused(now, order);
            }
        }
        false
    }

    fn observe_load(&self) {
        let now = self.clock.now();
        let mut known = self.known.borrow_mut();
        let Some(configuration) = known.configuration.clone() else {
            return;
        };
        let tokens = known.demand.tokens_per_s(now);
        for (service, _) in scaled(&configuration) {
            let load = load_of(&known, service, &tokens).endpoints();
            let held = held_by(known.endpoints.values(), service);
            let scaler = known.scalers.entry(service.clone()).or_default();
            scaler.observe(now, &held, load);
        }
    }

    fn plan(&self) -> Vec<(String, Vec<ScalingOrder>)> {
        let now = self.clock.now();
        let mut known = self.known.borrow_mut();
        let Some(configuration) = known.configuration.clone() else {
            return Vec::new();
        };
        let mut plans = Vec::new();
        for (service, scaling) in scaled(&configuration) {
            let rate = known.loads.get(service).and_then(|load| load.rate);
            let Some(scaler) = known.scalers.get_mut(service) else {
                continue;
            };
            let orders = scaler.plan(now, &offer_of(scaling));
            if !orders.is_empty() {
                info!(self.log, "endpoints planned"; "service" => service,
                    "load_milli" => (scaler.newest_load() * 1000.0) as u64,
                    "held" => ?scaler.held(), "rate" => rate.map(|rate| rate as u64));
                plans.push((service.clone(), orders));
            }
        }
        plans
    }
}

fn scaled(configuration: &Configuration) -> impl Iterator<Item = (&String, &Scaling)> {
    let services = configuration.services.iter();
    services.filter_map(|(name, service)| Some((name, service.scaling.as_ref()?)))
}

fn offer_of(scaling: &Scaling) -> Offer {
    Offer {
        least: scaling.least,
        most: scaling.most,
        boot: scaling.boot,
        reclaimable_price: scaling.reclaimable_price,
        zone_prices: scaling.zone_prices.clone(),
    }
}

fn held_by<'a>(endpoints: impl Iterator<Item = &'a Endpoint>, service: &str) -> Fleet {
    let mut held = Fleet::new();
    for endpoint in endpoints.filter(|e| e.service == service && e.is_ready()) {
        let zone = held.entry(endpoint.zone.clone()).or_default();
        match endpoint.reclaimable {
            true => zone.reclaimable += 1,
            false => zone.firm += 1,
        }
    }
    held
}

fn load_of(known: &Known, service: &str, tokens: &HashMap<u64, f64>) -> Load {
    let load = known.loads.get(service).copied().unwrap_or_default();
    let of_service = || known.endpoints.values().filter(|e| e.service == service);
    let read = of_service().filter_map(|e| tokens.get(&endpoint_hash(&e.id)));
    Load {
        tokens_per_s: read.sum(),
        rate: load.rate,
        requests: load.requests,
        slots: of_service().next().map_or(1, |e| e.slots),
    }
}
