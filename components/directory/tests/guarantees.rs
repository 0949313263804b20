//! Route lookups and the dating of store answers.

use std::sync::Arc;
use std::time::Duration;

use directory::{Configuration, Directory, Execution, Lookup, Route, StoreClock, Tenant};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        execution: Execution::Repeatable,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(300),
        gap_target: None,
        priority: 0,
        split: Vec::new(),
        max_attempts: 1,
        public: false,
    }
}

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: name.into(),
        keys: keys.iter().map(|k| k.to_string()).collect(),
        priority: None,
        quota: None,
    }
}

fn directory(routes: Vec<Route>, tenants: Vec<Tenant>) -> Directory {
    Directory::new(Arc::new(Configuration {
        version: 1,
        routes,
        tenants,
        ..Configuration::default()
    }))
}

fn found(directory: &Directory, host: &str, path: &str, key: Option<&str>) -> String {
    match directory.look_up(host, path, key) {
        Lookup::Allowed { route, tenant } => {
            let tenant = tenant.map_or("-", |t| t.name.as_str());
            format!("{} {tenant}", route.name)
        }
        Lookup::NoRoute => "no route".into(),
        Lookup::UnknownKey => "unknown key".into(),
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let d = directory(
        vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/x/y/z/"),
        ],
        vec![],
    );
    assert_eq!(found(&d, "a.example", "/x/y/z/1", None), "long -");
    assert_eq!(found(&d, "A.Example:8080", "/x/yy", None), "short -");
    assert_eq!(found(&d, "a.example", "/x", None), "no route");
    assert_eq!(found(&d, "c.example", "/x/y/", None), "no route");
}

#[test]
fn only_a_public_route_needs_no_key_once_there_are_tenants() {
    let mut public = route("public", "a.example", "/p/");
    public.public = true;
    let d = directory(
        vec![public, route("closed", "a.example", "/c/")],
        vec![tenant("t", &["k1", "k2"])],
    );
    assert_eq!(found(&d, "a.example", "/p/", None), "public -");
    assert_eq!(found(&d, "a.example", "/c/", None), "unknown key");
    assert_eq!(found(&d, "a.example", "/c/", Some("k3")), "unknown key");
    assert_eq!(found(&d, "a.example", "/c/", Some("k2")), "closed t");
}

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn a_fast_call_narrows_the_time_of_answers_to_slow_calls() {
    let mut clock = StoreClock::default();
    // The store's clock is 1 s behind; a fast call is answered 2 ms after it was sent.
    assert_eq!(clock.earliest(MS(5_000), MS(5_004), MS(4_002)), MS(5_000));
    // The answer to a call held for 2 s is dated by the offset from the fast one, up to drift and never too late.
    let dated = clock.earliest(MS(6_000), MS(8_002), MS(7_000));
    assert!(dated <= MS(8_000) && dated >= MS(7_990), "{dated:?}");
}

#[test]
fn an_answer_is_never_dated_outside_its_call() {
    let mut clock = StoreClock::default();
    clock.earliest(MS(5_000), MS(5_004), MS(90_000));
    // Another store answers, whose clock has restarted.
    let dated = clock.earliest(MS(6_000), MS(6_500), MS(10));
    assert_eq!(dated, MS(6_000));
}
