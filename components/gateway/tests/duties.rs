//! Duties of the gateway that holds the lease: usage reports and orders of endpoints.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{configuration, endpoint, route, settings, tenant, wait_until, FakeEndpoint, Setup};
use directory::{Endpoint, Execution, Scaling};
use fleet::ScalingOrder;
use gateway::ports::{OrderReply, Topic};
use schema::messages::UsageRow;

fn start_reporting() -> Setup {
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, ""));
    let mut with_tenant = configuration(1, vec![route("/a/", Execution::Once)]);
    with_tenant.tenants = vec![tenant("t", "k")];
    let mut settings = settings();
    settings.reports_usage = true;
    let one = endpoint("e0", fake.address);
    Setup::serving_with(settings, with_tenant, vec![one])
}

#[test]
fn every_report_of_a_window_has_the_counts_of_its_stored_row() {
    let setup = start_reporting();
    *setup.orders.replies.lock().unwrap() = vec![OrderReply::Unanswered; 3];
    assert_eq!(setup.call("/a/", &["x-key: k"]).status, 200);
    let has_count = |setup: &Setup| {
        let reports = setup.orders.reports.lock().unwrap();
        reports
            .iter()
            .any(|(_, report)| report.counts.get("t") == Some(&1))
    };
    wait_until("the report", || has_count(&setup));
    let mut reported: BTreeMap<i64, BTreeMap<String, i64>> = BTreeMap::new();
    for (holder, report) in setup.orders.reports.lock().unwrap().iter() {
        assert!(holder.fence > 0);
        let first = reported
            .entry(report.window)
            .or_insert(report.counts.clone());
        assert_eq!(*first, report.counts);
        let row = setup
            .store
            .row(Topic::Usage, &format!("{:012}", report.window));
        let row: UsageRow = schema::decode(&row.unwrap().value.unwrap()).unwrap();
        assert_eq!(row.begun, report.counts);
    }
}

#[test]
fn nothing_is_reported_while_another_gateway_renews_the_lease() {
    let setup = start_reporting();
    setup.store.renew_lease_for_other_gateway();
    let before = setup.store.lease_calls();
    wait_until("calls for the lease", || {
        setup.store.lease_calls() > before + 3
    });
    let reported = setup.orders.reports.lock().unwrap().len();
    let calls = setup.store.lease_calls();
    wait_until("more calls for the lease", || {
        setup.store.lease_calls() > calls + 2
    });
    assert_eq!(setup.orders.reports.lock().unwrap().len(), reported);
}

/// Starts a gateway that orders endpoints in two data halls. The first hall, which is more expensive, has four endpoints.
fn start_ordering(regions: [&str; 2]) -> Setup {
    let fake = FakeEndpoint::start(|_, exchange| exchange.answer(200, ""));
    let mut scaled = configuration(1, vec![route("/a/", Execution::Once)]);
    scaled.services.get_mut("s").unwrap().scaling = Some(Scaling {
        min_per_zone: 1,
        max_per_zone: 10,
        boot_time: Duration::from_secs(4),
        relative_reclaimable_price: None,
        zone_prices: BTreeMap::from([("z1".to_string(), 1.0), ("z2".to_string(), 0.5)]),
    });
    let mut settings = settings();
    settings.orders_endpoints = true;
    let halls = ["z1", "z2"].into_iter().zip(regions);
    settings.halls = halls.map(|(h, r)| (h.to_string(), r.to_string())).collect();
    let endpoints = (0..4).map(|i| Endpoint {
        slots: 8,
        ..endpoint(&format!("e{i}"), fake.address)
    });
    Setup::serving_with(settings, scaled, endpoints.collect())
}

fn orders_until_second_hall_has_one(setup: &Setup) -> Vec<ScalingOrder> {
    let orders = || -> Vec<ScalingOrder> {
        let orders = setup.orders.orders.lock().unwrap();
        orders.iter().map(|(_, order)| order.clone()).collect()
    };
    wait_until("an order in the second hall", || {
        orders().iter().any(|order| order.hall == "z2")
    });
    orders()
}

#[test]
fn endpoints_of_one_region_are_not_released_for_cheaper_ones_of_another_region() {
    let same_region = orders_until_second_hall_has_one(&start_ordering(["r", "r"]));
    assert!(
        same_region.iter().any(|o| o.hall == "z1" && o.count < 4),
        "{same_region:?}"
    );
    let two_regions = orders_until_second_hall_has_one(&start_ordering(["r", "q"]));
    assert!(
        two_regions.iter().all(|o| o.hall == "z2"),
        "{two_regions:?}"
    );
}
