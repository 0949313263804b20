//! Endpoints that a request does not go to.

use std::time::Duration;

use notices::{Notices, Standing};

use crate::placement::balancer::Balancer;
use crate::placement::service::ServiceSlots;
use crate::placement::slot::Slot;

/// Endpoints that a request is not to go to, beside those that are not ready or leave.
#[derive(Clone, Copy, Debug, Default)]
pub struct Exclusion<'a> {
    /// Ids of those that it was tried at.
    pub tried: &'a [String],
    /// Ids of those that want nothing from the gateway that sends it, if that is another one.
    pub closed: &'a [String],
    /// Whether this gateway sends it, so that endpoints bind it by the pauses that they asked for.
    pub sent_here: bool,
}

impl Exclusion<'_> {
    /// Whether a request may go to an endpoint as far as it goes by this and by what endpoints said.
    pub(crate) fn allows(&self, now: Duration, slot: &Slot, notices: &Notices) -> bool {
        let id = &slot.spec.id;
        if self.tried.contains(id) || self.closed.contains(id) {
            return false;
        }
        match standing(now, slot, notices) {
            Standing::Open => true,
            Standing::Leaving | Standing::Spent(_) => false,
            Standing::Paused(_) => !self.sent_here,
        }
    }
}

/// What an endpoint wants of this gateway.
pub(crate) fn standing(now: Duration, slot: &Slot, notices: &Notices) -> Standing {
    match notices.is_empty() {
        true => Standing::Open,
        false => notices.standing(now, slot.incarnation()),
    }
}

impl Balancer {
    /// What endpoints said to this gateway. It outlives their records here.
    pub fn notices(&self) -> &Notices {
        &self.notices
    }

    /// The same, to take what one says.
    pub fn notices_mut(&mut self) -> &mut Notices {
        &mut self.notices
    }

    /// Time until an endpoint takes a request, as far as pauses and limits go: zero if one does now, `None` if none is there.
    pub fn time_until_open(&self, now: Duration, service: &str) -> Option<Duration> {
        let slots = self.services.get(service).into_iter();
        let ready = slots.flat_map(ServiceSlots::iter);
        let ready = ready.filter(|slot| slot.spec.is_ready());
        let times = ready.filter_map(|slot| match standing(now, slot, &self.notices) {
            Standing::Open => Some(Duration::ZERO),
            Standing::Paused(left) | Standing::Spent(left) => Some(left),
            Standing::Leaving => None,
        });
        times.min()
    }
}
