//! Endpoints that a request must not go to.

use std::time::Duration;

use notices::{Availability, Notices};

use crate::placement::balancer::Balancer;
use crate::placement::entry::EndpointEntry;
use crate::placement::service::ServiceEndpoints;

/// Endpoints that a request must not go to, in addition to those that are not ready or are leaving.
#[derive(Clone, Copy, Debug, Default)]
pub struct Exclusion<'a> {
    /// Ids of endpoints at which the request was already tried.
    pub tried: &'a [String],
    /// Ids of endpoints that accept nothing from the gateway that sends the request, if that is not
    /// this one.
    pub closed: &'a [String],
    /// Whether this gateway sends the request itself and therefore has to respect the pauses that
    /// endpoints asked it for.
    pub sent_here: bool,
    /// Software versions that must not run it.
    pub versions: &'a [String],
}

impl Exclusion<'_> {
    /// Whether this exclusion and the endpoint's notices permit sending the request there.
    pub(crate) fn allows(&self, now: Duration, entry: &EndpointEntry, notices: &Notices) -> bool {
        let id = &entry.spec.id;
        let has_excluded_version = self.versions.contains(&entry.spec.version);
        if self.tried.contains(id) || self.closed.contains(id) || has_excluded_version {
            return false;
        }
        match standing(now, entry, notices) {
            Availability::Open => true,
            Availability::Leaving | Availability::LimitExhausted(_) | Availability::Full(_) => {
                false
            }
            Availability::Paused(_) => !self.sent_here,
        }
    }
}

/// Returns whether an endpoint accepts requests of this gateway, by the notices it sent.
pub(crate) fn standing(now: Duration, entry: &EndpointEntry, notices: &Notices) -> Availability {
    match notices.is_empty() {
        true => Availability::Open,
        false => notices.availability(now, entry.incarnation()),
    }
}

impl Balancer {
    /// Notices that endpoints sent to this gateway. They are kept when an endpoint's record is
    /// dropped.
    pub fn notices(&self) -> &Notices {
        &self.notices
    }

    /// Mutable access to the notices, to record new ones.
    pub fn notices_mut(&mut self) -> &mut Notices {
        &mut self.notices
    }

    /// Returns the time until some ready endpoint of the service accepts a request, given pauses
    /// and limits: zero if one does now, `None` if all of them are leaving or there is none.
    pub fn time_until_open(&self, now: Duration, service: &str) -> Option<Duration> {
        let endpoints = self.services.get(service).into_iter();
        let ready = endpoints.flat_map(ServiceEndpoints::iter);
        let ready = ready.filter(|entry| entry.spec.is_ready());
        let times = ready.filter_map(|entry| match standing(now, entry, &self.notices) {
            Availability::Open => Some(Duration::ZERO),
            Availability::Paused(left)
            | Availability::LimitExhausted(left)
            | Availability::Full(left) => Some(left),
            Availability::Leaving => None,
        });
        times.min()
    }
}
