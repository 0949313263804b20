//! What the tests of placement share.

use directory::{Configuration, Engine, Service};
use routing::placement::Balancer;

/// Configures a service `s` of engines with so many slots, 100,000 tokens of memory and one token an event.
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
