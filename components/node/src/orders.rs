//! Orders of the lease holder: which endpoint should serve which model. An order states what
//! should be, so that giving it twice is harmless.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use schema::settings::{Configuration, Endpoint, PoolKind};

/// Orders given at once; loading weights must stay within the weight store's rate.
const ORDERS_AT_ONCE: usize = 4;
/// Pause after a failed order.
const PAUSE: Duration = Duration::from_secs(2);

/// One order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Endpoint.
    pub endpoint: String,
    /// Its address.
    pub address: String,
    /// Model it should serve.
    pub model: String,
    /// Fence.
    pub epoch: i64,
}

#[derive(Debug)]
enum Progress {
    Sent,
    Failed,
    Done { epoch: i64, model: String },
}

/// What was ordered so far.
#[derive(Debug, Default)]
pub struct Orders {
    progress: BTreeMap<String, (Progress, String)>,
    next_at: Duration,
}

impl Orders {
    /// Orders to send now under this epoch, for the endpoints of a region.
    pub fn due(
        &mut self,
        now: Duration,
        epoch: i64,
        configuration: &Configuration,
        region: &str,
    ) -> Vec<Order> {
        if now < self.next_at {
            return Vec::new();
        }
        let sent = self
            .progress
            .values()
            .filter(|(p, _)| matches!(p, Progress::Sent))
            .count();
        let free = ORDERS_AT_ONCE.saturating_sub(sent);
        let open = wanted(configuration, region)
            .filter(|(endpoint, model)| self.is_open(&endpoint.name, model, epoch));
        let wanted: Vec<Order> = open
            .take(free)
            .map(|(endpoint, model)| Order {
                endpoint: endpoint.name.clone(),
                address: endpoint.address.clone(),
                model: model.to_string(),
                epoch,
            })
            .collect();
        for order in &wanted {
            let progress = (Progress::Sent, order.model.clone());
            self.progress.insert(order.endpoint.clone(), progress);
        }
        wanted
    }

    /// Notes how an order ended.
    pub fn ended(&mut self, now: Duration, endpoint: &str, epoch: i64, done: bool) {
        if let Some((progress, model)) = self.progress.get_mut(endpoint) {
            *progress = match done {
                true => Progress::Done {
                    epoch,
                    model: model.clone(),
                },
                false => Progress::Failed,
            };
        }
        if !done {
            self.next_at = now + PAUSE;
        }
    }

    /// Forgets an endpoint whose VM was replaced: it must be ordered again.
    pub fn forget(&mut self, endpoint: &str) {
        self.progress.remove(endpoint);
    }

    fn is_open(&self, endpoint: &str, model: &str, epoch: i64) -> bool {
        match self.progress.get(endpoint) {
            Some((Progress::Sent, _)) => false,
            Some((
                Progress::Done {
                    epoch: done,
                    model: served,
                },
                _,
            )) => *done != epoch || served != model,
            Some((Progress::Failed, _)) | None => true,
        }
    }
}

// The model endpoints of a region's halls, each with the model that it should serve. This is asked
// with every tick of the lease holder, so nothing is copied.
fn wanted<'a>(
    configuration: &'a Configuration,
    region: &str,
) -> impl Iterator<Item = (&'a Endpoint, &'a str)> {
    let halls = configuration.halls.iter().filter(|h| h.region == region);
    let halls: BTreeSet<&str> = halls.map(|h| h.name.as_str()).collect();
    let pools = configuration
        .pools
        .iter()
        .filter(|p| p.kind == PoolKind::MODEL);
    let models: BTreeMap<&str, &str> = pools.map(|p| (p.name.as_str(), p.route.as_str())).collect();
    let endpoints = configuration.endpoints.iter();
    let here = endpoints.filter(move |e| halls.contains(e.hall.as_str()));
    here.filter_map(move |e| Some((e, *models.get(e.pool.as_str())?)))
}
