//! Decides whether this gateway keeps a copy of the endpoints.

use std::time::Duration;

use slog::info;

use crate::control::{ControlState, Shared};
use crate::listing::can_decide_without_list;
use crate::ports::{Orders, Store, Topic};
use crate::update::Update;

/// Time for which a gateway follows the endpoints after it last needed them, as the decider may change back and
/// forth.
const ENDPOINT_RETENTION: Duration = Duration::from_secs(10);

/// Time without decisions of live coordinators after which a gateway starts to decide itself; staggered up to
/// twice as long. The coordinators' links may be full, which passes, or carry nothing in one direction, which
/// does not.
const SLOW_COORDINATORS_TIMEOUT: Duration = Duration::from_secs(2);

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Whether this gateway follows the endpoints.
    pub fn needs_endpoints(&self) -> bool {
        self.state.borrow().endpoints_needed_at.is_some()
    }

    /// Starts to follow the endpoints when requests must be placed or endpoints ordered here, and stops some
    /// time after that.
    pub fn update_endpoint_need(&self, state: &mut ControlState, now: Duration) {
        let may_decide = state.peers.has_own_hall_list()
            || can_decide_without_list(now, state.list_refused, state.peers.has_live_peer(now));
        let decides = may_decide && state.should_report_to_all_halls(now);
        if decides || self.has_lost_coordinators(state, now) {
            if state.endpoints_needed_at.replace(now).is_none() {
                info!(self.log, "endpoints followed"; "decides" => decides);
                state.followed_mut(Topic::Endpoints).wake.notify_one();
            }
            return;
        }
        let expired = state
            .endpoints_needed_at
            .filter(|at| now >= *at + ENDPOINT_RETENTION);
        if expired.is_some() {
            state.endpoints_needed_at = None;
        }
    }

    // If the coordinators of a hall are alive but slow, a gateway far from the store that fetched the endpoints
    // over their links would slow them down further.
    fn has_lost_coordinators(&self, state: &ControlState, now: Duration) -> bool {
        let may_be_slow = state.is_far_from_store() && state.peers.has_live_own_coordinator(now);
        let min_wait = match may_be_slow {
            true => SLOW_COORDINATORS_TIMEOUT.mul_f64(1.0 + self.jitter),
            false => Duration::ZERO,
        };
        self.alone.is_lost(now) && self.alone.time_without_decision(now) >= min_wait
    }

    /// Discards the endpoints. Must be called only between two steps of following them, so that a pending
    /// answer is not taken for the whole table.
    pub fn forget_endpoints(&self) {
        let mut state = self.state.borrow_mut();
        let followed = state.followed_mut(Topic::Endpoints);
        if followed.table.known_to().is_none() {
            // A later need starts a new wait for other gateways' reads.
            followed.follower.read_store_directly();
            return;
        }
        state.endpoints.clear();
        state.reset_topic(Topic::Endpoints);
        info!(self.log, "endpoints forgotten, coordinators decide");
        let _ = self.updates.send(Update::EndpointsForgotten);
    }
}
