//! Gateways of two regions that follow the store, which stands in region `a`: few of region `b` read it, the others
//! take rows from them.

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
const IN_HALL: usize = 3;
const HALLS: [&str; 4] = ["a1", "a2", "b1", "b2"];
const READERS: usize = 2;
/// Way to a store in another region and back.
const FAR_TIME: Duration = Duration::from_millis(60);
/// A store that is slow, behind a full link.
const SLOW_TIME: Duration = Duration::from_millis(900);

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

// Each world has up to twelve gateways, and its bounds are those of a fleet that has processors of its own.
static ONE_WORLD: Mutex<()> = Mutex::new(());

struct World {
    store: FakeStore,
    gateways: Vec<(&'static str, Setup)>,
    _alone: MutexGuard<'static, ()>,
}

impl World {
    /// All gateways of these halls, started at once.
    fn start(store: &FakeStore, halls: &[&'static str]) -> Self {
        Self::start_with(store, halls, |settings| settings, |_, _| {})
    }

    /// The same with other settings; `prepare` sees the store of each before.
    fn start_with(
        store: &FakeStore,
        halls: &[&'static str],
        changed: impl Fn(GatewaySettings) -> GatewaySettings,
        prepare: impl Fn(&str, &FakeStore),
    ) -> Self {
        // A test that failed before says nothing of this one.
        let alone = ONE_WORLD.lock().unwrap_or_else(PoisonError::into_inner);
        let mut gateways: Vec<(&'static str, Setup)> = Vec::new();
        for hall in halls {
            for index in 0..IN_HALL {
                let first = gateways.first();
                let seeds = first.map(|(_, setup)| setup.gateway.peer_address().to_string());
                let own = store.for_other_gateway();
                if hall.starts_with('b') {
                    own.set_call_time(FAR_TIME);
                }
                prepare(hall, &own);
                let settings = changed(named(hall, index, seeds.into_iter().collect()));
                gateways.push((hall, Setup::start(settings, own)));
            }
        }
        World {
            store: store.clone(),
            gateways,
            _alone: alone,
        }
    }

    fn of<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a Setup> {
        let own = self.gateways.iter();
        let own = own.filter(move |(hall, _)| hall.starts_with(region));
        own.map(|(_, setup)| setup)
    }

    fn asking(&self, region: &str, topic: Topic) -> usize {
        let asking = self
            .of(region)
            .filter(|setup| setup.store.call_count(topic) > 0);
        asking.count()
    }

    fn all_answer(&self, region: &str, path: &str, status: u16) {
        for setup in self.of(region) {
            wait_until("the answer", || {
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
fn when_all_start_at_once_two_gateways_of_a_region_read_the_store_and_all_serve() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    // Three pages between gateways.
    let store = store_with_endpoints(&fake, 6_000);
    let world = World::start(&store, &HALLS);
    world.all_answer("a", "/old/1", 200);
    world.all_answer("b", "/old/1", 200);
    for topic in [Topic::Configuration, Topic::Endpoints] {
        let asking = world.asking("b", topic);
        assert!(asking <= READERS, "{asking} read {topic:?}");
    }
}

#[test]
fn when_all_start_at_once_over_a_slow_link_no_more_gateways_read_the_store() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with_endpoints(&fake, 3);
    let world = World::start_with(
        &store,
        &["b1", "b2"],
        |settings| settings,
        |_, own| own.set_call_time(SLOW_TIME),
    );
    world.all_answer("b", "/old/1", 200);
    for topic in [Topic::Configuration, Topic::Endpoints] {
        let asking = world.asking("b", topic);
        assert!(asking <= READERS, "{asking} read {topic:?}");
    }
}

#[test]
fn near_the_store_a_large_change_comes_from_it_and_not_through_links_of_gateways() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with_endpoints(&fake, 3);
    let world = World::start(&store, &["a1", "a2"]);
    world.all_answer("a", "/old/1", 200);
    let asks: Vec<u64> = world
        .of("a")
        .map(|setup| setup.store.call_count(Topic::Endpoints))
        .collect();
    for i in 0..6_000 {
        store.put_endpoint(endpoint(&format!("later{i}"), fake.address));
    }
    for (setup, before) in world.of("a").zip(asks) {
        wait_until("the store to be asked", || {
            setup.store.call_count(Topic::Endpoints) > before
        });
    }
}

#[test]
fn a_change_reaches_all_gateways_of_both_regions_without_further_readers() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with_endpoints(&fake, 3);
    let world = World::start(&store, &HALLS);
    for region in ["a", "b"] {
        world.all_answer(region, "/old/1", 200);
    }
    let changed_at = Instant::now();
    put_route(&store, 2, "/new/");
    for region in ["a", "b"] {
        world.all_answer(region, "/new/1", 200);
        world.all_answer(region, "/old/1", 404);
    }
    assert!(changed_at.elapsed() < CHANGE_DUE, "the change is late");
    let asking = world.asking("b", Topic::Configuration);
    assert!(asking <= READERS, "{asking}");
}

#[test]
fn after_a_history_that_is_gone_the_readers_of_a_region_list_and_the_others_take() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with_endpoints(&fake, 3);
    let world = World::start(&store, &HALLS);
    world.all_answer("b", "/old/1", 200);
    store.compact_history();
    put_route(&store, 2, "/new/");
    world.all_answer("b", "/new/1", 200);
    let asking = world.asking("b", Topic::Configuration);
    assert!(asking <= READERS, "{asking}");
}

#[test]
fn a_region_that_the_store_does_not_reach_takes_changes_from_the_other_region() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with_endpoints(&fake, 3);
    let world = World::start(&store, &HALLS);
    for region in ["a", "b"] {
        world.all_answer(region, "/old/1", 200);
    }
    world.of("b").for_each(|setup| setup.store.refuse(true));
    put_route(&world.store, 2, "/new/");
    world.all_answer("b", "/new/1", 200);
    // Keys stay confirmed, by the other region.
    let began = Instant::now();
    while began.elapsed() < CREDENTIAL_AGE {
        for setup in world.of("b") {
            assert_eq!(setup.call("/new/1", &["x-key: k"]).status, 200);
        }
    }
}

#[test]
fn a_region_without_others_to_hear_is_refused_keys_once_they_are_too_old_and_not_before() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with_endpoints(&fake, 3);
    let world = World::start(&store, &["b1", "b2"]);
    world.all_answer("b", "/old/1", 200);
    let cut_at = Instant::now();
    world.of("b").for_each(|setup| setup.store.refuse(true));
    world.all_answer("b", "/old/1", 503);
    assert!(cut_at.elapsed() >= CREDENTIAL_AGE / 2);
    world.of("b").for_each(|setup| setup.store.refuse(false));
    world.all_answer("b", "/old/1", 200);
}

#[test]
fn where_keys_have_no_bound_a_region_that_starts_without_the_store_serves_by_the_other_region() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with_endpoints(&fake, 3);
    let unbounded = |settings| GatewaySettings {
        credential_age_ms: 0,
        ..settings
    };
    let world = World::start_with(&store, &HALLS, unbounded, |hall, own| {
        if hall.starts_with('b') {
            own.refuse(true);
        }
    });
    world.all_answer("a", "/old/1", 200);
    world.all_answer("b", "/old/1", 200);
}

#[test]
fn a_region_whose_readers_stop_at_once_goes_on_in_time() {
    let fake = FakeEndpoint::start(|_, e| e.answer(200, "x"));
    let store = store_with_endpoints(&fake, 3);
    let mut world = World::start(&store, &["b1", "b2"]);
    world.all_answer("b", "/old/1", 200);
    // Who asks again reads; on a busy machine another one may have asked once at its start.
    let asks = |setup: &Setup| setup.store.call_count(Topic::Configuration);
    let before: Vec<u64> = world
        .gateways
        .iter()
        .map(|(_, setup)| asks(setup))
        .collect();
    let ask_again = |world: &World| {
        let now = world.gateways.iter().zip(&before);
        now.filter(|((_, setup), before)| asks(setup) > **before)
            .count()
    };
    wait_until("the readers to ask again", || ask_again(&world) >= READERS);
    let (readers, others): (Vec<_>, Vec<_>) = world
        .gateways
        .drain(..)
        .zip(before)
        .partition(|((_, setup), before)| asks(setup) > *before);
    world.gateways = others.into_iter().map(|(other, _)| other).collect();
    let readers: Vec<(&str, Setup)> = readers.into_iter().map(|(reader, _)| reader).collect();
    assert_eq!(readers.len(), READERS);
    readers
        .iter()
        .for_each(|(_, setup)| setup.store.stop_responding());
    drop(readers);
    put_route(&store, 2, "/new/");
    let changed_at = Instant::now();
    world.all_answer("b", "/new/1", 200);
    assert!(changed_at.elapsed() < CHANGE_DUE, "the change is late");
}
