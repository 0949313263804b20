//! Tables of many endpoints: what is found in them, and what a change costs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use directory::{Endpoint, EndpointState};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::placement::{endpoint_hash, incarnation, Balancer};

const NOW: Duration = Duration::from_secs(10);
/// Random changes for each seed, and after how many of them the table is checked.
const ROUNDS: usize = 3000;
const CHECKED_ROUNDS: usize = 60;
/// Endpoints of the random changes: some chunks of the table.
const IDS: u64 = 700;
/// Size of the smaller of two tables whose costs are compared, and how many times larger the other one is.
const SMALL_TABLE: usize = 2500;
const GROWTH: usize = 4;
/// Number of measurements, of which the fastest counts.
const MEASUREMENTS: usize = 5;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 8601))
}

fn endpoint(id: &str, born_ms: u64, address: SocketAddr) -> Endpoint {
    Endpoint {
        id: id.into(),
        born_ms: Some(born_ms),
        service: "s".into(),
        address,
        zone: "z".into(),
        slots: 12,
        state: EndpointState::Ready,
        reclaimable: false,
        cold: Duration::ZERO,
        version: "v1".into(),
    }
}

fn random_endpoint(rng: &mut impl Rng) -> Endpoint {
    let id = format!("e{}", rng.random_range(0..IDS));
    // Few addresses, so that several endpoints have the same one at times.
    endpoint(
        &id,
        rng.random_range(1..3),
        address(rng.random_range(0..30)),
    )
}

fn assert_finds_all(balancer: &Balancer, model: &BTreeMap<String, Endpoint>, context: &str) {
    assert_eq!(balancer.endpoint_count(), model.len(), "{context}");
    assert_eq!(balancer.endpoints().count(), model.len(), "{context}");
    for (id, endpoint) in model {
        assert_eq!(balancer.endpoint(id), Some(endpoint), "{context}");
        for hash in [endpoint_hash(id), incarnation(id, endpoint.born_ms)] {
            assert_eq!(balancer.id_of(hash).as_ref(), Some(id), "{context}");
        }
    }
    for number in 0..30 {
        let address = address(number);
        let found = balancer.endpoint_at(address);
        let is_used = model.values().any(|known| known.address == address);
        assert_eq!(found.is_some(), is_used, "{context}, {address}");
        let is_there = found.is_none_or(|found| found.address == address);
        assert!(is_there, "{context}, {address}");
    }
}

// An index that is not updated with a record finds an endpoint that is gone, or misses one.
#[test]
fn endpoints_are_found_by_id_hash_and_address_after_any_changes() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut balancer = Balancer::new("z");
        let mut model: BTreeMap<String, Endpoint> = BTreeMap::new();
        for round in 0..ROUNDS {
            let endpoint = random_endpoint(&mut rng);
            if rng.random_bool(0.4) {
                balancer.remove(&endpoint.id);
                if let Some(gone) = model.remove(&endpoint.id) {
                    let start = incarnation(&gone.id, gone.born_ms);
                    assert_eq!(balancer.id_of(start), None, "seed {seed}, round {round}");
                }
            } else {
                balancer.insert(NOW, endpoint.clone());
                model.insert(endpoint.id.clone(), endpoint);
            }
            if round % CHECKED_ROUNDS == 0 {
                assert_finds_all(&balancer, &model, &format!("seed {seed}, round {round}"));
            }
        }
    }
}

fn time_of_changes(count: usize) -> Duration {
    let ids: Vec<String> = (0..count).map(|i| format!("i-{i}")).collect();
    let began = Instant::now();
    let mut balancer = Balancer::new("z");
    for (i, id) in ids.iter().enumerate() {
        balancer.insert(NOW, endpoint(id, 1, address(i as u16)));
    }
    for id in ids.iter().step_by(2) {
        balancer.remove(id);
    }
    let elapsed = began.elapsed();
    assert_eq!(balancer.endpoint_count(), count / 2);
    elapsed
}

// A removal that walked all endpoints kept the traffic thread from its callers for more than a second while
// half of 9,998 endpoints left.
#[test]
fn the_cost_of_a_changed_endpoint_does_not_grow_with_the_table() {
    let fastest = |count| {
        (0..MEASUREMENTS)
            .map(|_| time_of_changes(count))
            .min()
            .unwrap()
    };
    let (small, large) = (fastest(SMALL_TABLE), fastest(SMALL_TABLE * GROWTH));
    // In between growth by the size and growth by its square.
    let max_growth = (GROWTH * 2) as u32;
    assert!(
        large < small * max_growth,
        "{SMALL_TABLE} endpoints: {small:?}, {GROWTH} times as many: {large:?}"
    );
}
