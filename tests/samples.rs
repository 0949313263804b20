//! The sample settings of both deployments.

use schema::settings::{Configuration, PoolKind};

fn read(folder: &str) -> Configuration {
    let path = |file: &str| format!("{}/samples/{folder}/{file}", env!("CARGO_MANIFEST_DIR"));
    let text = |file: &str| std::fs::read_to_string(path(file)).expect("the sample is there");
    let node = settings::read_node("node.ini", &text("node.ini")).expect("no faults");
    let configuration =
        settings::read_configuration("configuration.ini", &text("configuration.ini"));
    let configuration = configuration.expect("no faults");
    assert!(configuration.halls.iter().any(|h| h.name == node.hall));
    configuration
}

fn endpoints(configuration: &Configuration, kind: PoolKind) -> usize {
    let pools = configuration.pools.iter().filter(|p| p.kind == kind);
    let names: Vec<&String> = pools.map(|p| &p.name).collect();
    configuration
        .endpoints
        .iter()
        .filter(|e| names.contains(&&e.pool))
        .count()
}

fn sizes(configuration: &Configuration) -> (usize, usize, usize, usize) {
    (
        configuration.halls.len(),
        endpoints(configuration, PoolKind::MODEL),
        endpoints(configuration, PoolKind::SERVICE),
        configuration.teams.len(),
    )
}

#[test]
fn can_load_waitemata() {
    assert_eq!(sizes(&read("waitemata")), (4, 9, 4, 5));
}

#[test]
fn can_load_habi_loom() {
    assert_eq!(sizes(&read("habi-loom")), (4, 18, 4, 5));
}
