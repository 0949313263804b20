//! Whether this gateway keeps the endpoints.

use std::time::Duration;

use slog::info;

use crate::control::{Known, Shared};
use crate::listing::can_decide_without_list;
use crate::ports::{Orders, Store, Topic};
use crate::update::Update;

/// A gateway that needs the endpoints no more follows them for so long: whoever decides may change to and fro.
const KEPT_FOR: Duration = Duration::from_secs(10);

/// Coordinators that are heard may leave requests undecided for so long, and up to twice as long at some gateways, before
/// these decide themselves: their links may be full, which passes, or carry nothing one way, which does not.
const SLOW_COORDINATORS_TIME: Duration = Duration::from_secs(2);

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Whether the endpoints are followed here.
    pub fn needs_endpoints(&self) -> bool {
        self.known.borrow().endpoints_needed_at.is_some()
    }

    /// Follows the endpoints where requests are placed or endpoints ordered, and forgets them elsewhere.
    pub fn check_need(&self, known: &mut Known, now: Duration) {
        let may_decide = known.peers.knows_own_hall()
            || can_decide_without_list(now, known.list_refused, known.peers.hears_any(now));
        let decides = may_decide && known.speaks_for_others(now);
        if decides || self.has_lost_coordinators(known, now) {
            if known.endpoints_needed_at.replace(now).is_none() {
                info!(self.log, "endpoints followed"; "decides" => decides);
                known.followed_mut(Topic::Endpoints).wake.notify_one();
            }
            return;
        }
        let over = known.endpoints_needed_at.filter(|at| now >= *at + KEPT_FOR);
        if over.is_some() {
            known.endpoints_needed_at = None;
        }
    }

    // Where a hall's coordinators are heard and only slow, a gateway behind the link that took the endpoints through their
    // links would slow them down further.
    fn has_lost_coordinators(&self, known: &Known, now: Duration) -> bool {
        let may_be_slow = known.is_far_from_store() && known.peers.is_led(now);
        let waits = match may_be_slow {
            true => SLOW_COORDINATORS_TIME.mul_f64(1.0 + self.spread),
            false => Duration::ZERO,
        };
        self.alone.is_lost(now) && self.alone.time_without_decision(now) >= waits
    }

    /// Forgets the endpoints. Between two steps of following them only, so that no answer that is on its way is taken
    /// for the whole table.
    pub fn forget_endpoints(&self) {
        let mut known = self.known.borrow_mut();
        let followed = known.followed_mut(Topic::Endpoints);
        if followed.table.known_to().is_none() {
            // Whoever needs them later waits for others from then on.
            followed.follower.read_store_directly();
            return;
        }
        known.endpoints.clear();
        known.forget_rows(Topic::Endpoints);
        info!(self.log, "endpoints forgotten, coordinators decide");
        let _ = self.updates.send(Update::EndpointsForgotten);
    }
}
