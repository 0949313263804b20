//! Helpers shared by the placement tests.

use directory::{Configuration, Engine, Service};
use routing::placement::Balancer;

/// Configures a service `s` of engines with this many slots, a cache of 100,000 tokens and one
/// token per event.
pub fn configure(balancer: &mut Balancer, slots: u32) {
    let engine = Engine {
        slots,
        cache_tokens: 100_000,
        tokens_per_event: 1,
    };
    let service = Service {
        max_connections: 10,
        engine: Some(engine),
        scaling: None,
    };
    balancer.configure(&Configuration {
        services: [("s".to_string(), service)].into(),
        ..Configuration::default()
    });
}
