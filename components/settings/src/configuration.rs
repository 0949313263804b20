//! The fleet configuration: pools, endpoints, templates and teams.
//!
//! A team names a template and overrides what differs; a template holds any key of a team.

use std::collections::BTreeSet;

use schema::settings::{Configuration, Endpoint, Hall, Pool, PoolKind, PriceClass, Priority, Team};
use sha2::{Digest, Sha256};

use crate::reader::{Reader, Unit};
use crate::validation_error::ValidationErrors;

const MILLIS: Unit = Unit::of("ms", 1, 1, 3_600_000);
const RATE: Unit = Unit::of("/s", 1, 1, 1_000_000);
const COUNT: Unit = Unit::count(1, 1_000_000);
const MONEY: Unit = Unit::of("/h", 1000, 0, 1_000_000_000_000);
const TOKEN_PRICE: Unit = Unit::of("", 1000, 0, 1_000_000_000);
const WEIGHT: Unit = Unit::count(0, 100);
const PRIORITIES: &[(&str, Priority)] = &[
    ("interactive", Priority::INTERACTIVE),
    ("standard", Priority::STANDARD),
    ("batch", Priority::BATCH),
];
const KINDS: &[(&str, PoolKind)] = &[("model", PoolKind::MODEL), ("service", PoolKind::SERVICE)];
const PRICE_CLASSES: &[(&str, PriceClass)] = &[
    ("reclaimable", PriceClass::RECLAIMABLE),
    ("on_demand", PriceClass::ON_DEMAND),
];
const YES_NO: &[(&str, bool)] = &[("yes", true), ("no", false)];
const TEAM_KEYS: &[&str] = &[
    "priority",
    "target",
    "deadline",
    "pools",
    "rate",
    "concurrency",
    "budget",
    "latency_weight",
    "token_price",
];

/// Hash under which a team's credential is kept.
pub fn credential_hash(credential: &str) -> String {
    hex::encode(Sha256::digest(credential.as_bytes()))
}

/// Reads and checks a fleet configuration. `file` names the text in faults.
pub fn read_configuration(file: &str, text: &str) -> Result<Configuration, ValidationErrors> {
    let mut r = Reader::new(file, text)?;
    let pools: Vec<Pool> = r
        .names("pool")
        .iter()
        .map(|n| read_pool(&mut r, n))
        .collect();
    let names: BTreeSet<String> = pools.iter().map(|p| p.name.clone()).collect();
    let halls: Vec<Hall> = r
        .names("hall")
        .iter()
        .map(|n| read_hall(&mut r, n))
        .collect();
    let hall_names: BTreeSet<String> = halls.iter().map(|h| h.name.clone()).collect();
    let endpoints = r.names("endpoint");
    let endpoints = endpoints
        .iter()
        .map(|n| read_endpoint(&mut r, n, &names, &hall_names))
        .collect();
    let templates: BTreeSet<String> = r.names("template").into_iter().collect();
    templates
        .iter()
        .for_each(|n| check_template(&mut r, n, &names));
    let teams = r.names("team");
    let teams = teams
        .iter()
        .map(|n| read_team(&mut r, n, &templates, &names))
        .collect();
    let configuration = Configuration {
        pools,
        endpoints,
        teams,
        halls,
    };
    check_credentials(&mut r, &configuration);
    check_routes(&mut r, &configuration);
    r.finish(configuration)
}

fn read_pool(r: &mut Reader<'_>, name: &str) -> Pool {
    let section = format!("pool {name}");
    let kind = r.choice((&section, "kind"), None, KINDS);
    let route = r.text(&section, "route", None);
    if kind == PoolKind::SERVICE && !(route.starts_with('/') && route.ends_with('/')) {
        r.fault(
            &section,
            "route",
            "is no path prefix",
            "write /NAME/ for a service",
        );
    }
    Pool {
        name: name.to_string(),
        kind,
        route,
        checks_fence: r.choice((&section, "checks_fence"), Some("no"), YES_NO),
    }
}

fn read_hall(r: &mut Reader<'_>, name: &str) -> Hall {
    let section = format!("hall {name}");
    Hall {
        name: name.to_string(),
        region: r.text(&section, "region", None),
    }
}

fn read_endpoint(
    r: &mut Reader<'_>,
    name: &str,
    pools: &BTreeSet<String>,
    halls: &BTreeSet<String>,
) -> Endpoint {
    let section = format!("endpoint {name}");
    let pool = r.text(&section, "pool", None);
    check_reference(r, (&section, "pool"), &pool, pools);
    let hall = r.text(&section, "hall", None);
    check_reference(r, (&section, "hall"), &hall, halls);
    Endpoint {
        name: name.to_string(),
        pool,
        address: r.address(&section, "address", None),
        hall,
        price_class: r.choice(
            (&section, "price_class"),
            Some("reclaimable"),
            PRICE_CLASSES,
        ),
        price_milli: r.number((&section, "price"), None, MONEY),
        slots: r.number((&section, "slots"), None, COUNT) as i32,
    }
}

fn check_template(r: &mut Reader<'_>, name: &str, pools: &BTreeSet<String>) {
    let section = format!("template {name}");
    let keys: Vec<&str> = TEAM_KEYS
        .iter()
        .copied()
        .filter(|k| r.has(&section, k))
        .collect();
    for key in keys {
        read_key(r, &section, key, pools);
    }
}

// Reads one key for its faults alone, so that an unused template is checked as well.
fn read_key(r: &mut Reader<'_>, section: &str, key: &str, pools: &BTreeSet<String>) {
    match key {
        "priority" => drop(r.choice((section, key), None, PRIORITIES)),
        "pools" => drop(read_pools(r, section, pools)),
        _ => drop(r.number((section, key), None, unit_of(key))),
    }
}

fn unit_of(key: &str) -> Unit {
    match key {
        "target" | "deadline" => MILLIS,
        "rate" => RATE,
        "concurrency" => COUNT,
        "budget" => MONEY,
        "latency_weight" => WEIGHT,
        _ => TOKEN_PRICE,
    }
}

fn read_pools(r: &mut Reader<'_>, section: &str, pools: &BTreeSet<String>) -> Vec<String> {
    let list = r.list(section, "pools", None);
    for pool in &list {
        check_reference(r, (section, "pools"), pool, pools);
    }
    list
}

fn read_team(
    r: &mut Reader<'_>,
    name: &str,
    templates: &BTreeSet<String>,
    pools: &BTreeSet<String>,
) -> Team {
    let section = format!("team {name}");
    let template = r.text(&section, "template", None);
    check_reference(r, (&section, "template"), &template, templates);
    let template = format!("template {template}");
    let source = |r: &Reader<'_>, key: &str| match r.has(&section, key) || !r.has(&template, key) {
        true => section.clone(),
        false => template.clone(),
    };
    let number = |r: &mut Reader<'_>, key: &str| {
        let from = source(r, key);
        r.number((&from, key), None, unit_of(key))
    };
    let priority = source(r, "priority");
    let from = source(r, "pools");
    Team {
        name: name.to_string(),
        credential_sha256: r.secret(&section, "credential_sha256", 64),
        priority: r.choice((&priority, "priority"), None, PRIORITIES),
        target_ms: number(r, "target"),
        deadline_ms: number(r, "deadline"),
        pools: read_pools(r, &from, pools),
        rate: number(r, "rate"),
        concurrency: number(r, "concurrency"),
        budget_milli: number(r, "budget"),
        latency_weight: number(r, "latency_weight") as i32,
        token_price_milli: number(r, "token_price"),
    }
}

fn check_reference(r: &mut Reader<'_>, at: (&str, &str), name: &str, known: &BTreeSet<String>) {
    if name.is_empty() || known.contains(name) {
        return;
    }
    let known: Vec<&str> = known.iter().map(String::as_str).collect();
    let remedy = format!("use one of: {}", known.join(", "));
    r.fault(at.0, at.1, &format!("`{name}` is not defined"), &remedy);
}

fn check_credentials(r: &mut Reader<'_>, configuration: &Configuration) {
    let mut seen = BTreeSet::new();
    for team in &configuration.teams {
        if !seen.insert(&team.credential_sha256) {
            let section = format!("team {}", team.name);
            r.fault(
                &section,
                "credential_sha256",
                "belongs to another team",
                "give each team its own",
            );
        }
    }
}

fn check_routes(r: &mut Reader<'_>, configuration: &Configuration) {
    let mut seen = BTreeSet::new();
    for pool in &configuration.pools {
        if !seen.insert(&pool.route) {
            let section = format!("pool {}", pool.name);
            r.fault(
                &section,
                "route",
                "belongs to another pool",
                "give each pool its own",
            );
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "[pool chat]\nkind = model\nroute = m\n\
        [hall h]\nregion = r\n\
        [endpoint w1]\npool = chat\naddress = 127.0.0.1:1\nhall = h\nprice = 1.25/h\nslots = 4\n\
        [template t]\npriority = standard\ntarget = 520ms\ndeadline = 9000ms\npools = chat\n\
        rate = 5/s\nconcurrency = 9\nbudget = 20/h\nlatency_weight = 70\ntoken_price = 0.02\n\
        [team crews]\ntemplate = t\nrate = 7/s\n\
        credential_sha256 = 0000000000000000000000000000000000000000000000000000000000000000\n";

    #[test]
    fn can_override_a_template() {
        let configuration = read_configuration("c.ini", GOOD).unwrap();
        let team = &configuration.teams[0];
        assert_eq!((team.rate, team.concurrency), (7, 9));
        assert_eq!(configuration.endpoints[0].price_milli, 1250);
    }

    #[test]
    fn errors_on_bad_reference_and_unit_together() {
        let text = GOOD
            .replace("pool = chat\n", "pool = cat\n")
            .replace("520ms", "520s");
        let faults = read_configuration("c.ini", &text).unwrap_err();
        assert_eq!(
            faults.errors.iter().map(|f| f.line).collect::<Vec<_>>()[0],
            7
        );
        assert!(faults
            .errors
            .iter()
            .any(|f| f.location == "template t: target"));
    }

    #[test]
    fn errors_on_unknown_template() {
        let text = GOOD.replace("template = t\n", "template = u\n");
        assert!(read_configuration("c.ini", &text).is_err());
    }
}
