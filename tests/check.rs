//! What `croftpond check` shows of a gateway's settings.

use std::process::Command;

const SETTINGS: &str = "[gateway]\nname = g1\nzone = a1\nregion = a\naddress = 10.1.0.14\n\
    callers = 10.1.0.14:8221\nreadiness = 10.1.0.14:8224\npeer_ports = 7600,7615\n\
    halls = a1:a,a2:a,b1:b,\n[store]\naddress = 10.200.1.7:8225\n";

fn shown(name: &str, text: &str) -> String {
    let file = format!("croftpond-check-{name}-{}.ini", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_croftpond"))
        .args(["check", "--gateway", &path.display().to_string()])
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn halls_are_shown_by_region_with_the_link_between_these() {
    let text = shown("unknown", SETTINGS);
    assert!(text.contains("region a (own): a1, a2\n"), "{text}");
    assert!(text.contains("region b: b1\n"), "{text}");
    assert!(
        text.contains("link between regions: rate not known"),
        "{text}"
    );
    let known = format!("{SETTINGS}[bounds]\nregion_link = 60Mbit/s\n");
    let text = shown("known", &known);
    assert!(text.contains("60 Mbit/s each way"), "{text}");
}

#[test]
fn nothing_is_shown_of_halls_that_are_not_listed() {
    let text = shown("one", &SETTINGS.replace("halls = a1:a,a2:a,b1:b,\n", ""));
    assert!(!text.contains("region"), "{text}");
}
