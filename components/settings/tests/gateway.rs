//! Settings of a gateway.

use settings::read_gateway;

const GOOD: &str = "[gateway]\nname = g1\nzone = z\nregion = r\naddress = 10.1.0.14\n\
    callers = 10.1.0.14:8221\nreadiness = 10.1.0.14:8224\npeer_ports = 7600,7615\n\
    metrics_port = 7610\nseeds = 10.2.0.4:8229,10.3.0.34:8229\n[store]\naddress = 10.200.1.7:8225\n\
    [orders]\naddress = 10.200.0.35:8225\nduties = usage_reporting,autoscaling,\n\
    [bounds]\ncredential_age = 5000ms\nrepeats = 0.2\nrepeats_extra = 56\n";

#[test]
fn a_gateway_is_read_with_its_derived_addresses() {
    let read = read_gateway("g.ini", GOOD).unwrap();
    assert_eq!(read.peers, "10.1.0.14:7600");
    assert_eq!(read.decisions, "10.1.0.14:7601");
    assert_eq!(read.cores_milli, 1000);
    assert_eq!(read.metrics, "10.1.0.14:7610");
    assert_eq!(read.seeds, ["10.2.0.4:7600", "10.3.0.34:7600"]);
    assert!(read.reports_usage && read.orders_endpoints);
    assert_eq!(read.repeats_milli, 200);
}

#[test]
fn decisions_take_any_free_port_where_there_is_only_one_for_gateways() {
    let text = GOOD
        .replace("7600,7615", "7600,7600")
        .replace("zone = z", "zone = z\ncores = 0.12");
    let read = read_gateway("g.ini", &text).unwrap();
    assert_eq!(read.decisions, "10.1.0.14:0");
    assert_eq!(read.cores_milli, 120);
}

#[test]
fn every_fault_is_named_with_its_remedy() {
    let text = GOOD
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
fn halls_are_read_with_their_regions_and_the_own_one_must_be_right() {
    let with = |halls: &str| GOOD.replace("zone = z\n", &format!("zone = z\nhalls = {halls}\n"));
    let read = read_gateway("g.ini", &with("z:r,y:q,")).unwrap();
    assert_eq!(read.halls["y"], "q");
    for wrong in ["y:q", "z:q", "z", "z:r,:q"] {
        let shown = read_gateway("g.ini", &with(wrong)).unwrap_err().to_string();
        assert!(shown.contains("gateway: halls"), "{wrong}: {shown}");
    }
}

/// Fills the gaps of a template's line with a value that fits its key.
fn filled(section: &str, line: &str) -> String {
    // A list that a loop of the template makes.
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
fn the_deployed_template_names_only_keys_that_are_known() {
    let template = include_str!("../../../deploy/gateway.ini");
    let mut section = "";
    let mut text = String::new();
    for line in template.lines().filter(|line| !line.starts_with(';')) {
        if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
            section = name;
            text += &format!("[{name}]\n");
        } else {
            text += &format!("{}\n", filled(section, line));
        }
    }
    assert!(text.contains("credential_age = 100ms") && text.contains("usage_due = 100s"));
    read_gateway("gateway.ini", &text).unwrap();
}

#[test]
fn keys_have_a_longest_age_only_where_the_deployment_fails_closed() {
    let template = include_str!("../../../deploy/gateway.ini");
    let line = template
        .lines()
        .find(|line| line.contains("credential_age"));
    let line = line.expect("the template sets it");
    assert!(line.starts_with("{{#bounds.revokeFailClosed}}"), "{line}");
    let open = GOOD.replace("credential_age = 5000ms\n", "");
    assert_eq!(read_gateway("g.ini", &open).unwrap().credential_age_ms, 0);
}
