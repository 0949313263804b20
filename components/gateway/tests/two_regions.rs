//! Gateways of two regions that follow the store, which is in region `a`. In region `b` a few gateways read the store, and
//! the others get the rows from them.

mod common;

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use common::{
    configuration, endpoint, route, settings, tenant, wait_until, FakeEndpoint, FakeStore, Setup,
};
use directory::Execution;
use gateway::ports::Topic;
use schema::settings::GatewaySettings;

const CHANGE_DUE: Duration = Duration::from_secs(4);
const CREDENTIAL_AGE: Duration = Duration::from_secs(5);
const GATEWAYS_PER_HALL: usize = 3;
const HALLS: [&str; 4] = ["a1", "a2", "b1", "b2"];
const READERS: usize = 2;
/// Round-trip time to a store in another region.
const REMOTE_CALL_TIME: Duration = Duration::from_millis(60);
/// Time of a call to a slow store, as behind a full link.
const SLOW_CALL_TIME: Duration = Duration::from_millis(900);

fn named(hall: &str, index: usize, seeds: Vec<String>) -> GatewaySettings {
    let region = |hall: &&str| (hall.to_string(), hall[..1].to_string());
    GatewaySettings {
        name: format!("{hall}-{index}"),
        zone: hall.into(),
        region: hall[..1].into(),
        halls: HALLS.iter().map(region).collect::<BTreeMap<_, _>>(),
        seeds,
        credential_age_ms: CREDENTIAL_AGE.as_millis() as i64,
        change_due_ms: CHANGE_DUE.as_millis() as i64,
        ..settings()
    }
}

// A fixture has up to twelve gateways, and the time limits assume that no other fixture uses the processors.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

struct Fixture {
    store: FakeStore,
    gateways: Vec<(&'static str, Setup)>,
    _guard: MutexGuard<'static, ()>,
}

impl Fixture {
    /// Starts all gateways of these halls at once.
    fn start(store: &FakeStore, halls: &[&'static str]) -> Self {
        Self::start_with(store, halls, |settings| settings, |_, _| {})
    }

    /// Starts gateways with changed settings. `prepare` gets the hall and the store of each gateway before its start.
    fn start_with(
        store: &FakeStore,
        halls: &[&'static str],
        changed: impl Fn(GatewaySettings) -> GatewaySettings,
        prepare: impl Fn(&str, &FakeStore),
    ) -> Self {
        // A test that failed while it held the lock does not affect this one.
        let guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let mut gateways: Vec<(&'static str, Setup)> = Vec::new();
        for hall in halls {
            for index in 0..GATEWAYS_PER_HALL {
                let first = gateways.first();
                let seeds = first.map(|(_, setup)| setup.gateway.peer_address().to_string());
                let own = store.for_other_gateway();
                if hall.starts_with('b') {
                    own.set_call_time(REMOTE_CALL_TIME);
                }
                prepare(hall, &own);
                let settings = changed(named(hall, index, seeds.into_iter().collect()));
                gateways.push((hall, Setup::start(settings, own)));
            }
        }
        Fixture {
            store: store.clone(),
            gateways,
            _guard: guard,
        }
    }

    fn in_region<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a Setup> {
        let own = self.gateways.iter();
        let own = own.filter(move |(hall, _)| hall.starts_with(region));
        own.map(|(_, setup)| setup)
    }

    fn count_reading(&self, region: &str, topic: Topic) -> usize {
        let reading = self
            .in_region(region)
            .filter(|setup| setup.store.call_count(topic) > 0);
        reading.count()
    }

    fn wait_for_status(&self, region: &str, path: &str, status: u16) {
        for setup in self.in_region(region) {
            wait_until("the status", || {
                setup.call(path, &["x-key: k"]).status == status
            });
        }
    }
}

fn put_route(store: &FakeStore, version: u64, prefix: &str) {
    let mut configuration = configuration(version, vec![route(prefix, Execution::Repeatable)]);
    configuration.tenants = vec![tenant("t", "k")];
    store.put_configuration(configuration);
}

fn store_with_endpoints(fake: &FakeEndpoint, count: usize) -> FakeStore {
    let store = FakeStore::default();
    put_route(&store, 1, "/old/");
    for i in 0..count {
        store.put_endpoint(endpoint(&format!("e{i}"), fake.address));
    }
    store
}

#[test]
fn after_a_simultaneous_start_at_most_two_gateways_of_a_remote_region_read_the_store_and_all_serve()
{
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    // The list takes three pages when gateways forward it.
    let store = store_with_endpoints(&fake, 6_000);
    let fixture = Fixture::start(&store, &HALLS);
    fixture.wait_for_status("a", "/old/1", 200);
    fixture.wait_for_status("b", "/old/1", 200);
    for topic in [Topic::Configuration, Topic::Endpoints] {
        let reading = fixture.count_reading("b", topic);
        assert!(reading <= READERS, "{reading} read {topic:?}");
    }
}

#[test]
fn after_a_simultaneous_start_at_most_two_gateways_of_a_region_read_a_slow_store() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with_endpoints(&fake, 3);
    let fixture = Fixture::start_with(
        &store,
        &["b1", "b2"],
        |settings| settings,
        |_, own| own.set_call_time(SLOW_CALL_TIME),
    );
    fixture.wait_for_status("b", "/old/1", 200);
    for topic in [Topic::Configuration, Topic::Endpoints] {
        let reading = fixture.count_reading("b", topic);
        assert!(reading <= READERS, "{reading} read {topic:?}");
    }
}

#[test]
fn in_the_region_of_the_store_all_gateways_read_a_large_change_from_it() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with_endpoints(&fake, 3);
    let fixture = Fixture::start(&store, &["a1", "a2"]);
    fixture.wait_for_status("a", "/old/1", 200);
    let calls: Vec<u64> = fixture
        .in_region("a")
        .map(|setup| setup.store.call_count(Topic::Endpoints))
        .collect();
    for i in 0..6_000 {
        store.put_endpoint(endpoint(&format!("later{i}"), fake.address));
    }
    for (setup, before) in fixture.in_region("a").zip(calls) {
        wait_until("a call to the store", || {
            setup.store.call_count(Topic::Endpoints) > before
        });
    }
}

#[test]
fn a_change_reaches_all_gateways_of_both_regions_with_at_most_two_readers_in_the_remote_one() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with_endpoints(&fake, 3);
    let fixture = Fixture::start(&store, &HALLS);
    for region in ["a", "b"] {
        fixture.wait_for_status(region, "/old/1", 200);
    }
    let changed_at = Instant::now();
    put_route(&store, 2, "/new/");
    for region in ["a", "b"] {
        fixture.wait_for_status(region, "/new/1", 200);
        fixture.wait_for_status(region, "/old/1", 404);
    }
    assert!(changed_at.elapsed() < CHANGE_DUE, "the change is late");
    let reading = fixture.count_reading("b", Topic::Configuration);
    assert!(reading <= READERS, "{reading}");
}

#[test]
fn after_history_compaction_at_most_two_gateways_of_a_remote_region_read_the_store() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with_endpoints(&fake, 3);
    let fixture = Fixture::start(&store, &HALLS);
    fixture.wait_for_status("b", "/old/1", 200);
    store.compact_history();
    put_route(&store, 2, "/new/");
    fixture.wait_for_status("b", "/new/1", 200);
    let reading = fixture.count_reading("b", Topic::Configuration);
    assert!(reading <= READERS, "{reading}");
}

#[test]
fn a_region_refused_by_the_store_gets_changes_and_key_confirmations_from_the_other_region() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with_endpoints(&fake, 3);
    let fixture = Fixture::start(&store, &HALLS);
    for region in ["a", "b"] {
        fixture.wait_for_status(region, "/old/1", 200);
    }
    fixture
        .in_region("b")
        .for_each(|setup| setup.store.refuse(true));
    put_route(&fixture.store, 2, "/new/");
    fixture.wait_for_status("b", "/new/1", 200);
    // The other region keeps confirming the keys.
    let started = Instant::now();
    while started.elapsed() < CREDENTIAL_AGE {
        for setup in fixture.in_region("b") {
            assert_eq!(setup.call("/new/1", &["x-key: k"]).status, 200);
        }
    }
}

#[test]
fn an_isolated_region_refuses_keys_only_after_their_confirmation_expires() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with_endpoints(&fake, 3);
    let fixture = Fixture::start(&store, &["b1", "b2"]);
    fixture.wait_for_status("b", "/old/1", 200);
    let cut_at = Instant::now();
    fixture
        .in_region("b")
        .for_each(|setup| setup.store.refuse(true));
    fixture.wait_for_status("b", "/old/1", 503);
    assert!(cut_at.elapsed() >= CREDENTIAL_AGE / 2);
    fixture
        .in_region("b")
        .for_each(|setup| setup.store.refuse(false));
    fixture.wait_for_status("b", "/old/1", 200);
}

#[test]
fn without_key_expiry_a_region_that_starts_without_the_store_serves_by_rows_of_the_other_region() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with_endpoints(&fake, 3);
    let without_key_expiry = |settings| GatewaySettings {
        credential_age_ms: 0,
        ..settings
    };
    let fixture = Fixture::start_with(&store, &HALLS, without_key_expiry, |hall, own| {
        if hall.starts_with('b') {
            own.refuse(true);
        }
    });
    fixture.wait_for_status("a", "/old/1", 200);
    fixture.wait_for_status("b", "/old/1", 200);
}

#[test]
fn a_region_whose_readers_stop_together_gets_the_next_change_in_time() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with_endpoints(&fake, 3);
    let mut fixture = Fixture::start(&store, &["b1", "b2"]);
    fixture.wait_for_status("b", "/old/1", 200);
    // Readers are the gateways that call again. On a busy machine another gateway may have called once at its start.
    let call_count = |setup: &Setup| setup.store.call_count(Topic::Configuration);
    let before: Vec<u64> = fixture
        .gateways
        .iter()
        .map(|(_, setup)| call_count(setup))
        .collect();
    let count_repeated = |fixture: &Fixture| {
        let now = fixture.gateways.iter().zip(&before);
        now.filter(|((_, setup), before)| call_count(setup) > **before)
            .count()
    };
    wait_until("the readers to call again", || {
        count_repeated(&fixture) >= READERS
    });
    let (readers, others): (Vec<_>, Vec<_>) = fixture
        .gateways
        .drain(..)
        .zip(before)
        .partition(|((_, setup), before)| call_count(setup) > *before);
    fixture.gateways = others.into_iter().map(|(other, _)| other).collect();
    let readers: Vec<(&str, Setup)> = readers.into_iter().map(|(reader, _)| reader).collect();
    assert_eq!(readers.len(), READERS);
    readers
        .iter()
        .for_each(|(_, setup)| setup.store.stop_responding());
    drop(readers);
    put_route(&store, 2, "/new/");
    let changed_at = Instant::now();
    fixture.wait_for_status("b", "/new/1", 200);
    assert!(changed_at.elapsed() < CHANGE_DUE, "the change is late");
}
