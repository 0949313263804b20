//! The lease of the duties (usage reports, endpoint orders, roll-outs): how it is acquired, renewed and
//! released.

use std::rc::Rc;
use std::time::Duration;

use fleet::Scaler;
use replica::Revision;
use slog::info;
use state::{LeaseAction, LeaseEvent, Reply, TableCall};

use crate::control::{ControlState, Shared};
use crate::listing::can_decide_without_list;
use crate::ports::{DutyHolder, OrderReply, Orders, ReadRow, Store, StoreError, Topic};

/// Time without a message of the holder after which other gateways try to acquire the lease.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Age of the last renewal after which the holder releases the lease if the store answers other gateways: the
/// pause between renewals (1 s), one retry and the time of a call.
const MAX_RENEWAL_AGE: Duration = Duration::from_millis(1700);
/// Time for which an unanswered order may still be carried out. The platform documentation says "seconds" and
/// gives no figure.
const UNANSWERED_ORDER_LIFETIME: Duration = Duration::from_secs(5);
/// Time after a release, or after the holder falls silent, in which only the gateways that read the store try
/// to acquire the lease.
const STORE_READERS_HEAD_START: Duration = Duration::from_secs(1);

/// Orders of this gateway that may still take effect.
#[derive(Debug, Default)]
pub(crate) struct OrdersInFlight {
    count: u32,
    unanswered_at: Option<Duration>,
}

impl OrdersInFlight {
    pub fn sent(&mut self) {
        self.count += 1;
    }

    fn ended(&mut self, now: Duration, answered: bool) {
        self.count = self.count.saturating_sub(1);
        if !answered {
            self.unanswered_at = Some(now);
        }
    }

    // Whether no order is in flight and no unanswered order can still be carried out.
    fn is_settled(&self, now: Duration) -> bool {
        let unanswered_at = self.unanswered_at;
        self.count == 0 && unanswered_at.is_none_or(|at| now >= at + UNANSWERED_ORDER_LIFETIME)
    }
}

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Renews, acquires or releases the lease as needed.
    pub fn tick_lease(self: &Rc<Self>, now: Duration) {
        let mut state = self.state.borrow_mut();
        let settings = &state.settings;
        let has_rollouts = !state.rollouts.orders.is_empty();
        let has_duties = settings.reports_usage || settings.orders_endpoints || has_rollouts;
        if !has_duties {
            return;
        }
        if self.should_release_lease(now, &state) {
            let actions = state.lease.step(now, LeaseEvent::GiveUp);
            drop(state);
            info!(self.log, "lease given up"; "stopping" => self.freshness.is_stopping());
            self.perform_lease_actions(actions);
            self.urgent.notify_one();
            return;
        }
        let holds = state.lease.order_epoch(now).is_some();
        if self.freshness.is_stopping() || (!holds && !self.is_candidate(now, &state)) {
            return;
        }
        let write_id = format!("{}-{}", self.source.incarnation, now.as_micros());
        let event = LeaseEvent::Tick {
            write_id,
            is_candidate: true,
        };
        let actions = state.lease.step(now, event);
        drop(state);
        self.perform_lease_actions(actions);
    }

    // Whether another gateway should hold the lease: this one stops, or the store answers others but not this
    // one. Never while an order may still take effect.
    fn should_release_lease(&self, now: Duration, state: &ControlState) -> bool {
        let Some(renewal_age) = state.lease.time_since_renewal(now) else {
            return false;
        };
        let is_cut_off = renewal_age >= MAX_RENEWAL_AGE && state.peers.can_others_reach_store(now);
        (self.freshness.is_stopping() || is_cut_off) && state.orders.is_settled(now)
    }

    // The gateways that read the store try to acquire the lease once its holder is silent. The other
    // coordinators wait longer, so that not all write at once. Gateways that are not coordinators try only if
    // no coordinator is alive.
    fn is_candidate(&self, now: Duration, state: &ControlState) -> bool {
        let peers = &state.peers;
        let is_eligible = match peers.is_coordinator(now) {
            // When all gateways start at once, each regards itself as a coordinator until it has read the list.
            true => {
                peers.has_own_hall_list() || can_decide_without_list(now, state.list_refused, true)
            }
            false => !peers.has_live_coordinator(now),
        };
        let reads_store = state.is_store_reader(now);
        let must_wait = peers.was_given_up_within(now, STORE_READERS_HEAD_START)
            || peers.is_holder_alive(now, HOLDER_TIMEOUT + STORE_READERS_HEAD_START)
            || !peers.has_waited_for_coordinators(now);
        is_eligible && (reads_store || !must_wait) && !peers.is_holder_alive(now, HOLDER_TIMEOUT)
    }

    pub fn perform_lease_actions(self: &Rc<Self>, actions: Vec<LeaseAction>) {
        for action in actions {
            match action {
                LeaseAction::Gained(epoch) => {
                    info!(self.log, "lease gained"; "epoch" => epoch);
                    let mut state = self.state.borrow_mut();
                    state.lease_held_since = Some(self.clock.wall_time());
                    state.scalers.values_mut().for_each(Scaler::forget_orders);
                }
                LeaseAction::Lost => {
                    info!(self.log, "lease lost");
                    self.state.borrow_mut().lease_held_since = None;
                }
                LeaseAction::Call { call, table } => {
                    let shared = Rc::clone(self);
                    tokio::task::spawn_local(async move {
                        let (era, reply) = shared.call_table(&table).await;
                        let now = shared.clock.now();
                        let event = LeaseEvent::Replied { call, era, reply };
                        let actions = shared.state.borrow_mut().lease.step(now, event);
                        shared.perform_lease_actions(actions);
                    });
                }
            }
        }
    }

    // Returns the reply and the era of the store that sent it, if known.
    async fn call_table(&self, call: &TableCall) -> (Option<u64>, Reply) {
        match call {
            TableCall::Read(key) => match self.store.read(Topic::Lease, key).await {
                Ok(read) => (Some(read.revision.era), Reply::Row(lease_row(read))),
                Err(error) => (None, error_reply(&error)),
            },
            TableCall::Transact(writes) => {
                let Some(write) = writes.first() else {
                    return (None, Reply::Refused);
                };
                // The store compares only the numbers of revisions. `Lease` expects only versions of the era
                // that it knows.
                let expected = Revision::new(0, write.expect);
                let written = self
                    .store
                    .write(
                        Topic::Lease,
                        &write.key,
                        write.value.clone(),
                        Some(expected),
                    )
                    .await;
                match written {
                    Ok(Revision { era, number }) => {
                        (Some(era), Reply::Committed { version: number })
                    }
                    Err(error) => (None, error_reply(&error)),
                }
            }
        }
    }

    // The holder with the fencing token for an order sent now, if this gateway may send one.
    pub fn holder(&self) -> Option<DutyHolder> {
        let state = self.state.borrow();
        let fence = state.lease.order_epoch(self.clock.now())?;
        Some(DutyHolder {
            gateway: self.source.gateway.clone(),
            fence,
        })
    }

    pub fn record_order_end(&self, reply: OrderReply) {
        let now = self.clock.now();
        let answered = reply != OrderReply::Unanswered;
        self.state.borrow_mut().orders.ended(now, answered);
    }
}

fn lease_row(read: ReadRow) -> Option<state::Row> {
    let row = read.row?;
    Some(state::Row {
        version: row.revision.number,
        value: row.value?,
    })
}

fn error_reply(error: &StoreError) -> Reply {
    match error {
        StoreError::Conflict(_) => Reply::Conflict,
        StoreError::Refused => Reply::Refused,
        _ => Reply::Unanswered,
    }
}
