//! Autoscaling of endpoints: measures the demand, plans the endpoints and orders them.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use directory::{Configuration, Scaling};
use fleet::{Bearing, Fleet, Load, Scaler, ScalingOrder, ScalingSpec};
use rollout::Order;
use routing::placement::incarnation;
use slog::{info, warn};
use telemetry::Counter;
use topology::Topology;

use crate::control::{ControlState, Shared};
use crate::ports::{OrderReply, Orders, Store, Topic};
use crate::tally::ServiceLoad;

/// Pause between plans.
const PLAN_PAUSE: Duration = Duration::from_millis(500);
/// Upper limit of consecutive plans: one for each hall that turns out to have no capacity, and a few more.
const MAX_PLANS: usize = 6;
/// Time window over which prompt tokens are counted.
const DEMAND_SPAN: Duration = Duration::from_secs(5);
/// Shortest time window over which they are averaged.
const MIN_SPAN: Duration = Duration::from_secs(1);
/// Share of streams whose limits on pauses and duration must hold under the planned load.
const IN_TIME_SHARE: f64 = 0.95;
/// Upper limit of samples that are kept for the count: the requests of one second.
const MAX_SAMPLES: usize = 20_000;

/// Prompt tokens that all gateways sent to endpoints within the demand window.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    samples: VecDeque<(Duration, u64, u32)>,
    // Time of the first sample after a time without any.
    load_began_at: Option<Duration>,
}

impl Demand {
    /// Records a request.
    pub fn add(&mut self, at: Duration, endpoint: u64, unread_tokens: u32) {
        if self.samples.is_empty() {
            self.load_began_at = Some(at);
        }
        self.samples.push_back((at, endpoint, unread_tokens));
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Prompt tokens per second, by endpoint hash.
    fn tokens_per_s(&mut self, now: Duration) -> HashMap<u64, f64> {
        let from = now.saturating_sub(DEMAND_SPAN);
        self.samples.retain(|(at, ..)| *at >= from);
        let mut sums: HashMap<u64, f64> = HashMap::new();
        for (_, endpoint, tokens) in &self.samples {
            *sums.entry(*endpoint).or_default() += f64::from(*tokens);
        }
        // A load that has just begun does not cover the whole window.
        let elapsed = now.saturating_sub(self.load_began_at.unwrap_or(from));
        let span = elapsed.clamp(MIN_SPAN, DEMAND_SPAN).as_secs_f64();
        sums.values_mut().for_each(|sum| *sum /= span);
        sums
    }
}

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Plans and orders endpoints until the process ends, whenever this gateway holds the lease.
    pub async fn run_autoscaling(&self) {
        loop {
            let lost = self.endpoint_lost.notified();
            let _ = tokio::time::timeout(PLAN_PAUSE, lost).await;
            self.order_endpoints().await;
        }
    }

    async fn order_endpoints(&self) {
        if !self.state.borrow().settings.orders_endpoints {
            return;
        }
        let region_loads = self.observe_load();
        // A hall that turns out to have no capacity changes the plan for the others.
        for _ in 0..MAX_PLANS {
            if self.holder().is_none() || !self.carry_out_plan(&region_loads).await {
                return;
            }
        }
    }

    // Returns whether a hall refused an order that was thought to have capacity.
    async fn carry_out_plan(&self, region_loads: &[RegionLoad]) -> bool {
        let mut hall_closed = false;
        for (service, orders) in self.plan(region_loads) {
            for order in orders {
                let Some(holder) = self.holder() else {
                    return false;
                };
                self.state.borrow_mut().orders.sent();
                let reply = self.orders.scale(&holder, &service, &order).await;
                self.record_order_end(reply);
                info!(self.log, "endpoints ordered"; "service" => &service,
                    "hall" => &order.hall, "reclaimable" => order.reclaimable,
                    "count" => order.count, "fence" => holder.fence, "reply" => ?reply);
                hall_closed |= self.apply_reply(&service, &order, reply);
            }
        }
        hall_closed
    }

    fn apply_reply(&self, service: &str, order: &ScalingOrder, reply: OrderReply) -> bool {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let region = state.topology.region_of(&order.hall).to_string();
        let Some(scaler) = state.scalers.get_mut(&(service.to_string(), region)) else {
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

    fn observe_load(&self) -> Vec<RegionLoad> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let followed = state.followed.get(&Topic::Endpoints);
        let confirmed = followed.and_then(|followed| followed.follower.confirmed_at());
        let as_of = confirmed.unwrap_or_default();
        let loads = state.region_loads(now);
        for region_load in &loads {
            let scaler = state.scalers.entry(region_load.key.clone());
            let scaler = scaler.or_insert_with(|| Scaler::for_regions(region_load.regions));
            match region_load.load.endpoints_needed() {
                Some(needed) => scaler.observe_as_of(now, as_of, &region_load.held, needed),
                None => {
                    self.metrics.count(Counter::PlansUnknownCapacity);
                    scaler.observe_unknown_load(as_of, &region_load.held);
                }
            }
        }
        loads
    }

    fn plan(&self, region_loads: &[RegionLoad]) -> Vec<(String, Vec<ScalingOrder>)> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let region_loads = region_loads.iter();
        region_loads
            .filter_map(|region_load| self.plan_region(now, &mut state, region_load))
            .collect()
    }

    fn plan_region(
        &self,
        now: Duration,
        state: &mut ControlState,
        region_load: &RegionLoad,
    ) -> Option<(String, Vec<ScalingOrder>)> {
        let (service, region) = &region_load.key;
        if state.rollouts.has_open_order(service) {
            return None;
        }
        let scaler = state.scalers.get_mut(&region_load.key)?;
        let block_reason = scaler.scale_down_block_reason(now);
        let orders = scaler.plan(now, &region_load.spec);
        if orders.is_empty() {
            return None;
        }
        let scale_downs = orders.iter().filter(|order| scaler.is_scale_down(order));
        self.metrics
            .add(Counter::GivenBack, scale_downs.count() as u64);
        let parts = region_load.load.parts().unwrap_or_default();
        info!(self.log, "endpoints planned"; "service" => service, "region" => region,
            "load_milli" => milli(scaler.latest_load()),
            "highest_milli" => milli(scaler.peak_load(now, &region_load.spec)),
            "reading_milli" => milli(parts.prefill), "making_milli" => milli(parts.decode),
            "limited_milli" => milli(region_load.load.limited_endpoints), "most_running" => parts.max_running, "running" => region_load.load.requests,
            "bearing" => ?region_load.load.bearing, "held" => ?scaler.held(),
            "keeps" => block_reason.unwrap_or("nothing"));
        Some((service.clone(), orders))
    }
}

impl ControlState {
    /// Requests that run at a service's endpoints, and the slots of its ready endpoints that run the ordered
    /// version.
    pub fn running_and_new_slots(&self, order: &Order) -> (u32, u32) {
        let of_service = self
            .endpoints
            .values()
            .filter(|e| e.service == order.service);
        let new = of_service.filter(|e| e.version == order.version && e.is_ready());
        let load = self.loads.get(&order.service);
        let requests = load.map_or(0, ServiceLoad::requests);
        (requests, new.map(|endpoint| endpoint.slots).sum())
    }

    // Load of each autoscaled service by region. Requests stay in their region, so each region is planned
    // separately over its own halls.
    fn region_loads(&mut self, now: Duration) -> Vec<RegionLoad> {
        let Some(configuration) = self.configuration.clone() else {
            return Vec::new();
        };
        let topology = self.topology.clone();
        let tokens = self.demand.tokens_per_s(now);
        let mut region_loads = Vec::new();
        for (service, scaling) in autoscaled_services(&configuration) {
            let bearing = self.bearing_of(service);
            let regions = regions_of(&topology, scaling);
            let count = regions.len();
            for region in regions {
                let halls = RegionHalls {
                    topology: &topology,
                    region: &region,
                };
                region_loads.push(RegionLoad {
                    load: load_of(self, service, halls, &tokens, bearing),
                    held: held_by(self, service, halls),
                    spec: scaling_spec_of(scaling, halls),
                    key: (service.clone(), region),
                    regions: count,
                });
            }
        }
        region_loads
    }

    // What an endpoint of the service can sustain, from the engine statistics of all gateways.
    fn bearing_of(&self, service: &str) -> Bearing {
        if !self.loads.get(service).is_some_and(|load| load.has_engines) {
            return Bearing::Slots;
        }
        let stats = self.engine_stats_of(service);
        let pace_ms = stats.allowed_paces.max_pace_ms(IN_TIME_SHARE);
        match (stats.estimate().confident_law(), pace_ms) {
            (Some(law), Some(pace_ms)) => Bearing::Engine { law, pace_ms },
            _ => Bearing::Unknown,
        }
    }
}

// Load of a service in one region, and the endpoints that are held and can be ordered there.
struct RegionLoad {
    // Service and region.
    key: (String, String),
    // Count of regions in which the service has endpoints.
    regions: usize,
    load: Load,
    held: Fleet,
    spec: ScalingSpec,
}

// The data halls of one region.
#[derive(Clone, Copy)]
struct RegionHalls<'a> {
    topology: &'a Topology,
    region: &'a str,
}

impl RegionHalls<'_> {
    fn has(&self, hall: &str) -> bool {
        self.topology.region_of(hall) == self.region
    }
}

fn regions_of(topology: &Topology, scaling: &Scaling) -> BTreeSet<String> {
    let halls = scaling.zone_prices.keys();
    halls
        .map(|hall| topology.region_of(hall).to_string())
        .collect()
}

fn milli(value: f64) -> u64 {
    (value * 1000.0) as u64
}

fn autoscaled_services(configuration: &Configuration) -> impl Iterator<Item = (&String, &Scaling)> {
    let services = configuration.services.iter();
    services.filter_map(|(name, service)| Some((name, service.scaling.as_ref()?)))
}

fn scaling_spec_of(scaling: &Scaling, halls: RegionHalls) -> ScalingSpec {
    let prices = scaling.zone_prices.iter();
    let prices = prices.filter(|(hall, _)| halls.has(hall));
    ScalingSpec {
        min_per_hall: scaling.min_per_zone,
        max_per_hall: scaling.max_per_zone,
        boot_time: scaling.boot_time,
        relative_reclaimable_price: scaling.relative_reclaimable_price,
        hall_prices: prices.map(|(hall, price)| (hall.clone(), *price)).collect(),
    }
}

fn held_by(state: &ControlState, service: &str, halls: RegionHalls) -> Fleet {
    let mut held = Fleet::new();
    let counted = state
        .endpoints
        .values()
        .filter(|e| state.rollouts.is_counted(e));
    for endpoint in counted.filter(|e| e.service == service && e.is_ready() && halls.has(&e.zone)) {
        let hall = held.entry(endpoint.zone.clone()).or_default();
        match endpoint.reclaimable {
            true => hall.reclaimable += 1,
            false => hall.firm += 1,
        }
    }
    held
}

fn load_of(
    state: &ControlState,
    service: &str,
    halls: RegionHalls,
    tokens: &HashMap<u64, f64>,
    bearing: Bearing,
) -> Load {
    let mut load = Load {
        bearing,
        ..Load::default()
    };
    let occupied = state.loads.get(service).into_iter().flat_map(|l| &l.halls);
    for (_, hall) in occupied.filter(|(hall, _)| halls.has(hall)) {
        load.requests += hall.requests;
        load.endpoints += hall.endpoints;
        load.slots = hall.slots / hall.endpoints.max(1);
        load.limited_endpoints += f64::from(hall.limited_milli) / 1000.0;
    }
    let of_service = state.endpoints.values().filter(|e| e.service == service);
    let read = of_service.filter(|e| halls.has(&e.zone));
    let read = read.filter_map(|e| tokens.get(&incarnation(&e.id, e.born_ms)));
    load.prompt_tokens_per_s = read.sum();
    load
}
