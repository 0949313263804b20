//! Who carries out the duties: the lease, and how it is given up and followed.

use std::rc::Rc;
use std::time::Duration;

use fleet::Scaler;
use replica::Revision;
use slog::info;
use state::{LeaseAction, LeaseEvent, Reply, TableCall};

use crate::control::{Known, Shared};
use crate::listing::can_decide_without_list;
use crate::ports::{DutyHolder, OrderReply, Orders, ReadRow, Store, StoreError, Topic};

/// Others look at the lease only if its holder was not heard for this long.
const HOLDER_SILENCE: Duration = Duration::from_millis(2500);
/// A holder whose last renewal is older than this gives the lease up if the store answers others: one
/// renewal and one more try, by the pause between renewals (1 s) and the time of a call.
const UNRENEWED: Duration = Duration::from_millis(1700);
/// An order without an answer may be carried out for this long: the pages say "seconds" and give no figure.
const LATE_ORDER: Duration = Duration::from_secs(5);
/// For how long only those that read the store look at a lease that was given up, or whose holder is silent.
const FIRST_FOLLOWERS_TIME: Duration = Duration::from_secs(1);

/// Orders of this gateway that may not have ended yet.
#[derive(Debug, Default)]
pub(crate) struct OrdersUnderWay {
    count: u32,
    unanswered_at: Option<Duration>,
}

impl OrdersUnderWay {
    pub fn sent(&mut self) {
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
        let has_rollouts = !known.rollouts.orders.is_empty();
        let has_duties = settings.reports_usage || settings.orders_endpoints || has_rollouts;
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
        let holds = known.lease.order_epoch(now).is_some();
        if self.freshness.is_stopping() || (!holds && !self.is_candidate(now, &known)) {
            return;
        }
        let write_id = format!("{}-{}", self.source.incarnation, now.as_micros());
        let event = LeaseEvent::Tick {
            write_id,
            is_candidate: true,
        };
        let actions = known.lease.step(now, event);
        drop(known);
        self.act(actions);
    }

    // Whether another gateway should hold the lease: this one stops, or the store answers others and not
    // this one. Never while an order may still be on its way.
    fn is_to_give_up(&self, now: Duration, known: &Known) -> bool {
        let Some(unrenewed) = known.lease.time_since_renewal(now) else {
            return false;
        };
        let turned_away = unrenewed >= UNRENEWED && known.peers.others_reach_store(now);
        (self.freshness.is_stopping() || turned_away) && known.orders.are_settled(now)
    }

    // Those that read the store look at the lease once its holder is silent, the other coordinators a little later, so that
    // not all write at once; gateways that do not coordinate only if there is no coordinator.
    fn is_candidate(&self, now: Duration, known: &Known) -> bool {
        let peers = &known.peers;
        let may_lead = match peers.coordinates(now) {
            // Until it has read who else runs, each of a fleet that starts at once takes itself for a coordinator.
            true => {
                peers.knows_own_hall() || can_decide_without_list(now, known.list_refused, true)
            }
            false => !peers.has_live_coordinator(now),
        };
        let is_first = known.watches_store(now);
        let waits = peers.given_up_within(now, FIRST_FOLLOWERS_TIME)
            || peers.holder_alive(now, HOLDER_SILENCE + FIRST_FOLLOWERS_TIME)
            || !peers.has_waited_for_coordinators(now);
        may_lead && (is_first || !waits) && !peers.holder_alive(now, HOLDER_SILENCE)
    }

    pub fn act(self: &Rc<Self>, actions: Vec<LeaseAction>) {
        for action in actions {
            match action {
                LeaseAction::Gained(epoch) => {
                    info!(self.log, "lease gained"; "epoch" => epoch);
                    let mut known = self.known.borrow_mut();
                    known.lease_held_since = Some(self.clock.wall_time());
                    known.scalers.values_mut().for_each(Scaler::forget_orders);
                }
                LeaseAction::Lost => {
                    info!(self.log, "lease lost");
                    self.known.borrow_mut().lease_held_since = None;
                }
                LeaseAction::Call { call, table } => {
                    let shared = Rc::clone(self);
                    tokio::task::spawn_local(async move {
                        let (era, reply) = shared.call_table(&table).await;
                        let now = shared.clock.now();
                        let event = LeaseEvent::Replied { call, era, reply };
                        let actions = shared.known.borrow_mut().lease.step(now, event);
                        shared.act(actions);
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
                // The store compares only numbers; `Lease` expects only versions of the era that it knows.
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

    // The holder as it is named on an order sent now, if this gateway may give one.
    pub fn holder(&self) -> Option<DutyHolder> {
        let known = self.known.borrow();
        let fence = known.lease.order_epoch(self.clock.now())?;
        Some(DutyHolder {
            gateway: self.source.gateway.clone(),
            fence,
        })
    }

    pub fn note_order_end(&self, reply: OrderReply) {
        let now = self.clock.now();
        let answered = reply != OrderReply::Unanswered;
        self.known.borrow_mut().orders.ended(now, answered);
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
