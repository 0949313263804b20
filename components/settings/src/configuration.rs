//! The fleet configuration: pools, endpoints, templates and teams.
//!
//! A team names a template and may override its keys. A template may hold every key of a team
//! except its credential and the name of the template.

use std::collections::BTreeSet;

use schema::settings::{Configuration, Endpoint, Hall, Pool, PoolKind, PriceClass, Priority, Team};
use sha2::{Digest, Sha256};

use crate::reader::{IniReader, NumberFormat};
use crate::validation_error::ValidationErrors;

const MILLIS: NumberFormat = NumberFormat::scaled("ms", 1, 1, 3_600_000);
const REQUEST_RATE: NumberFormat = NumberFormat::scaled("/s", 1, 1, 1_000_000);
const COUNT: NumberFormat = NumberFormat::unscaled(1, 1_000_000);
/// Costs such as 1.25, stored in thousandths.
const COST_PER_HOUR: NumberFormat = NumberFormat::scaled("/h", 1000, 0, 1_000_000_000_000);
/// Prices such as 0.02, stored in thousandths.
const TOKEN_PRICE: NumberFormat = NumberFormat::scaled("", 1000, 0, 1_000_000_000);
const LATENCY_WEIGHT: NumberFormat = NumberFormat::unscaled(0, 100);
const PRIORITIES: &[(&str, Priority)] = &[
    ("interactive", Priority::INTERACTIVE),
    ("standard", Priority::STANDARD),
    ("batch", Priority::BATCH),
];
const POOL_KINDS: &[(&str, PoolKind)] =
    &[("model", PoolKind::MODEL), ("service", PoolKind::SERVICE)];
const PRICE_CLASSES: &[(&str, PriceClass)] = &[
    ("reclaimable", PriceClass::RECLAIMABLE),
    ("on_demand", PriceClass::ON_DEMAND),
];
const YES_NO: &[(&str, bool)] = &[("yes", true), ("no", false)];
const TEMPLATE_KEYS: &[&str] = &[
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

/// SHA-256 of a team's credential in lower-case hex, as in the key `credential_sha256`.
pub fn credential_hash(credential: &str) -> String {
    hex::encode(Sha256::digest(credential.as_bytes()))
}

/// Parses and validates a fleet configuration; `file` is the file name that errors show.
pub fn read_configuration(file: &str, text: &str) -> Result<Configuration, ValidationErrors> {
    let mut r = IniReader::new(file, text)?;
    let pools: Vec<Pool> = r
        .section_names("pool")
        .iter()
        .map(|n| read_pool(&mut r, n))
        .collect();
    let pool_names: BTreeSet<String> = pools.iter().map(|p| p.name.clone()).collect();
    let halls: Vec<Hall> = r
        .section_names("hall")
        .iter()
        .map(|n| read_hall(&mut r, n))
        .collect();
    let hall_names: BTreeSet<String> = halls.iter().map(|h| h.name.clone()).collect();
    let endpoints = r.section_names("endpoint");
    let endpoints = endpoints
        .iter()
        .map(|n| read_endpoint(&mut r, n, &pool_names, &hall_names))
        .collect();
    let templates: BTreeSet<String> = r.section_names("template").into_iter().collect();
    templates
        .iter()
        .for_each(|n| check_template(&mut r, n, &pool_names));
    let teams = r.section_names("team");
    let teams = teams
        .iter()
        .map(|n| read_team(&mut r, n, &templates, &pool_names))
        .collect();
    let configuration = Configuration {
        pools,
        endpoints,
        teams,
        halls,
    };
    check_unique_credentials(&mut r, &configuration);
    check_unique_routes(&mut r, &configuration);
    r.finish(configuration)
}

fn read_pool(r: &mut IniReader<'_>, name: &str) -> Pool {
    let section = format!("pool {name}");
    let kind = r.choice((&section, "kind"), None, POOL_KINDS);
    let route = r.text(&section, "route", None);
    if kind == PoolKind::SERVICE && !(route.starts_with('/') && route.ends_with('/')) {
        r.add_error(
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

fn read_hall(r: &mut IniReader<'_>, name: &str) -> Hall {
    let section = format!("hall {name}");
    Hall {
        name: name.to_string(),
        region: r.text(&section, "region", None),
    }
}

fn read_endpoint(
    r: &mut IniReader<'_>,
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
        address: r.socket_address(&section, "address", None),
        hall,
        price_class: r.choice(
            (&section, "price_class"),
            Some("reclaimable"),
            PRICE_CLASSES,
        ),
        price_milli: r.number((&section, "price"), None, COST_PER_HOUR),
        slots: r.number((&section, "slots"), None, COUNT) as i32,
    }
}

fn check_template(r: &mut IniReader<'_>, name: &str, pools: &BTreeSet<String>) {
    let section = format!("template {name}");
    let keys: Vec<&str> = TEMPLATE_KEYS
        .iter()
        .copied()
        .filter(|k| r.has_key(&section, k))
        .collect();
    for key in keys {
        check_key(r, &section, key, pools);
    }
}

// Reads one key only to validate it, so that errors in an unused template are found as well.
fn check_key(r: &mut IniReader<'_>, section: &str, key: &str, pools: &BTreeSet<String>) {
    match key {
        "priority" => drop(r.choice((section, key), None, PRIORITIES)),
        "pools" => drop(read_pools(r, section, pools)),
        _ => drop(r.number((section, key), None, number_format(key))),
    }
}

fn number_format(key: &str) -> NumberFormat {
    match key {
        "target" | "deadline" => MILLIS,
        "rate" => REQUEST_RATE,
        "concurrency" => COUNT,
        "budget" => COST_PER_HOUR,
        "latency_weight" => LATENCY_WEIGHT,
        _ => TOKEN_PRICE,
    }
}

fn read_pools(r: &mut IniReader<'_>, section: &str, pools: &BTreeSet<String>) -> Vec<String> {
    let list = r.list(section, "pools", None);
    for pool in &list {
        check_reference(r, (section, "pools"), pool, pools);
    }
    list
}

fn read_team(
    r: &mut IniReader<'_>,
    name: &str,
    templates: &BTreeSet<String>,
    pools: &BTreeSet<String>,
) -> Team {
    let section = format!("team {name}");
    let template = r.text(&section, "template", None);
    check_reference(r, (&section, "template"), &template, templates);
    let template = format!("template {template}");
    // Section that provides the key: the team, or else its template. If both lack the key, the error
    // is located at the team.
    let source_section = |r: &IniReader<'_>, key: &str| match r.has_key(&section, key)
        || !r.has_key(&template, key)
    {
        true => section.clone(),
        false => template.clone(),
    };
    let number = |r: &mut IniReader<'_>, key: &str| {
        let key_section = source_section(r, key);
        r.number((&key_section, key), None, number_format(key))
    };
    let priority_section = source_section(r, "priority");
    let pools_section = source_section(r, "pools");
    Team {
        name: name.to_string(),
        credential_sha256: r.secret(&section, "credential_sha256", 64),
        priority: r.choice((&priority_section, "priority"), None, PRIORITIES),
        target_ms: number(r, "target"),
        deadline_ms: number(r, "deadline"),
        pools: read_pools(r, &pools_section, pools),
        rate: number(r, "rate"),
        concurrency: number(r, "concurrency"),
        budget_milli: number(r, "budget"),
        latency_weight: number(r, "latency_weight") as i32,
        token_price_milli: number(r, "token_price"),
    }
}

fn check_reference(
    r: &mut IniReader<'_>,
    location: (&str, &str),
    name: &str,
    known: &BTreeSet<String>,
) {
    if name.is_empty() || known.contains(name) {
        return;
    }
    let known_names: Vec<&str> = known.iter().map(String::as_str).collect();
    let remedy = format!("use one of: {}", known_names.join(", "));
    r.add_error(
        location.0,
        location.1,
        &format!("`{name}` is not defined"),
        &remedy,
    );
}

fn check_unique_credentials(r: &mut IniReader<'_>, configuration: &Configuration) {
    let mut seen = BTreeSet::new();
    for team in &configuration.teams {
        if !seen.insert(&team.credential_sha256) {
            let section = format!("team {}", team.name);
            r.add_error(
                &section,
                "credential_sha256",
                "belongs to another team",
                "give each team its own",
            );
        }
    }
}

fn check_unique_routes(r: &mut IniReader<'_>, configuration: &Configuration) {
    let mut seen = BTreeSet::new();
    for pool in &configuration.pools {
        if !seen.insert(&pool.route) {
            let section = format!("pool {}", pool.name);
            r.add_error(
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

    const VALID: &str = "[pool chat]\nkind = model\nroute = m\n\
        [hall h]\nregion = r\n\
        [endpoint w1]\npool = chat\naddress = 127.0.0.1:1\nhall = h\nprice = 1.25/h\nslots = 4\n\
        [template t]\npriority = standard\ntarget = 520ms\ndeadline = 9000ms\npools = chat\n\
        rate = 5/s\nconcurrency = 9\nbudget = 20/h\nlatency_weight = 70\ntoken_price = 0.02\n\
        [team crews]\ntemplate = t\nrate = 7/s\n\
        credential_sha256 = 0000000000000000000000000000000000000000000000000000000000000000\n";

    #[test]
    fn a_key_of_a_team_overrides_its_template() {
        let configuration = read_configuration("c.ini", VALID).unwrap();
        let team = &configuration.teams[0];
        assert_eq!((team.rate, team.concurrency), (7, 9));
        assert_eq!(configuration.endpoints[0].price_milli, 1250);
    }

    #[test]
    fn an_unknown_reference_and_a_wrong_unit_are_both_reported() {
        let text = VALID
            .replace("pool = chat\n", "pool = cat\n")
            .replace("520ms", "520s");
        let invalid = read_configuration("c.ini", &text).unwrap_err();
        assert_eq!(
            invalid.errors.iter().map(|e| e.line).collect::<Vec<_>>()[0],
            7
        );
        assert!(invalid
            .errors
            .iter()
            .any(|e| e.location == "template t: target"));
    }

    #[test]
    fn an_unknown_template_is_an_error() {
        let text = VALID.replace("template = t\n", "template = u\n");
        assert!(read_configuration("c.ini", &text).is_err());
    }
}
