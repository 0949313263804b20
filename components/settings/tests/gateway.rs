//! Parsing and validation of gateway settings, and of the deployed template of the settings file.

use settings::read_gateway;

const VALID: &str = "[gateway]\nname = g1\nzone = z\nregion = r\naddress = 10.1.0.14\n\
    callers = 10.1.0.14:8221\nreadiness = 10.1.0.14:8224\npeer_ports = 7600,7615\n\
    metrics_port = 7610\nseeds = 10.2.0.4:8229,10.3.0.34:8229\n[store]\naddress = 10.200.1.7:8225\n\
    [orders]\naddress = 10.200.0.35:8225\nduties = usage_reporting,autoscaling,\n\
    [bounds]\ncredential_age = 5000ms\nrepeats = 0.2\nrepeats_extra = 56\n";

#[test]
fn addresses_are_derived_from_the_address_and_the_peer_ports() {
    let read = read_gateway("g.ini", VALID).unwrap();
    assert_eq!(read.peers, "10.1.0.14:7600");
    assert_eq!(read.decisions, "10.1.0.14:7601");
    assert_eq!(read.cores_milli, 1000);
    assert_eq!(read.metrics, "10.1.0.14:7610");
    assert_eq!(read.seeds, ["10.2.0.4:7600", "10.3.0.34:7600"]);
    assert!(read.reports_usage && read.orders_endpoints);
    assert_eq!(read.repeats_milli, 200);
}

#[test]
fn decisions_use_any_free_port_if_there_is_only_one_peer_port() {
    let text = VALID
        .replace("7600,7615", "7600,7600")
        .replace("zone = z", "zone = z\ncores = 0.12");
    let read = read_gateway("g.ini", &text).unwrap();
    assert_eq!(read.decisions, "10.1.0.14:0");
    assert_eq!(read.cores_milli, 120);
}

#[test]
fn all_errors_are_shown_with_their_location_and_remedy() {
    let text = VALID
        .replace("zone = z\n", "")
        .replace("10.200.1.7:8225", "store.example:8225")
        .replace("5000ms", "5s");
    let shown = read_gateway("g.ini", &text).unwrap_err().to_string();
    assert!(shown.contains("gateway: zone"), "{shown}");
    assert!(shown.contains("store: address"), "{shown}");
    assert!(
        shown.contains("write a number from 0 to 3600000 followed by `ms`"),
        "{shown}"
    );
}

#[test]
fn halls_have_regions_and_the_own_hall_must_be_listed_with_its_region() {
    let with_halls =
        |halls: &str| VALID.replace("zone = z\n", &format!("zone = z\nhalls = {halls}\n"));
    let read = read_gateway("g.ini", &with_halls("z:r,y:q,")).unwrap();
    assert_eq!(read.halls["y"], "q");
    for invalid in ["y:q", "z:q", "z", "z:r,:q"] {
        let shown = read_gateway("g.ini", &with_halls(invalid))
            .unwrap_err()
            .to_string();
        assert!(shown.contains("gateway: halls"), "{invalid}: {shown}");
    }
}

/// Replaces the placeholders in a line of the template by a valid value for its key.
fn fill_placeholders(section: &str, line: &str) -> String {
    // The template renders this list with a loop over the zones.
    if line.starts_with("halls = {{#zones}}") {
        return "halls = x:x,".to_string();
    }
    let line = line.rsplit("}}{{").next().unwrap_or(line);
    let Some((key, value)) = line.split_once(" = ") else {
        return String::new();
    };
    let key = key.rsplit("}}").next().unwrap_or(key);
    let unit = value.rsplit("}}").next().unwrap_or_default();
    let value = match (section, key) {
        ("gateway", "address") => "10.1.0.14".to_string(),
        (_, "address" | "callers" | "readiness") => "10.1.0.14:80".to_string(),
        (_, "peer_ports") => "7600,7615".to_string(),
        (_, "seeds") => "10.2.0.4:8229".to_string(),
        (_, "duties") => "usage_reporting,".to_string(),
        (_, "name" | "region" | "zone") => "x".to_string(),
        (_, "repeats" | "exposure") => "0.2".to_string(),
        _ => format!("100{unit}"),
    };
    format!("{key} = {value}")
}

#[test]
fn the_deployed_template_has_only_known_keys() {
    let template = include_str!("../../../deploy/gateway.ini");
    let mut section = "";
    let mut text = String::new();
    for line in template.lines().filter(|line| !line.starts_with(';')) {
        if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
            section = name;
            text += &format!("[{name}]\n");
        } else {
            text += &format!("{}\n", fill_placeholders(section, line));
        }
    }
    assert!(text.contains("credential_age = 100ms") && text.contains("usage_due = 100s"));
    read_gateway("gateway.ini", &text).unwrap();
}

#[test]
fn credentials_have_a_max_age_only_if_the_deployment_fails_closed() {
    let template = include_str!("../../../deploy/gateway.ini");
    let line = template
        .lines()
        .find(|line| line.contains("credential_age"));
    let line = line.expect("the template sets it");
    assert!(line.starts_with("{{#bounds.revokeFailClosed}}"), "{line}");
    let without_age = VALID.replace("credential_age = 5000ms\n", "");
    assert_eq!(
        read_gateway("g.ini", &without_age)
            .unwrap()
            .credential_age_ms,
        0
    );
}
