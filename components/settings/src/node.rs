//! Settings of one node.

use schema::settings::NodeSettings;

use crate::reader::{Reader, Unit};
use crate::validation_error::ValidationErrors;

const LEAST_SECRET: usize = 16;
const BYTES: Unit = Unit::count(1024, 64 << 20);
const IN_FLIGHT: Unit = Unit::count(1, 4096);
const PAUSE: Unit = Unit::of("ms", 1, 10, 600_000);
const RATE: Unit = Unit::of("/s", 1, 1, 1000);

/// Reads and checks the settings of a node. `file` names the text in faults.
pub fn read_node(file: &str, text: &str) -> Result<NodeSettings, ValidationErrors> {
    let mut r = Reader::new(file, text)?;
    let settings = NodeSettings {
        name: r.text("node", "name", None),
        region: r.text("node", "region", None),
        hall: r.text("node", "hall", None),
        listen: r.address("node", "listen", None),
        peer_listen: r.address("node", "peer_listen", None),
        seeds: read_seeds(&mut r),
        cell: r.text("node", "cell", Some("")),
        cell_halls: r.list("node", "cell_halls", Some("")),
        bootstrap: r.text("node", "bootstrap", Some("")),
        peer_key: r.secret("keys", "peer_key", LEAST_SECRET),
        resume_key: r.secret("keys", "resume_key", LEAST_SECRET),
        operator_key: r.secret("keys", "operator_key", LEAST_SECRET),
        table_url: read_url(&mut r, "table_url"),
        objects_url: read_url(&mut r, "objects_url"),
        cloud_url: read_url(&mut r, "cloud_url"),
        platform_rate: r.number(("platform", "rate"), Some("20/s"), RATE) as i32,
        statsd: r.address("seeing", "statsd", Some("")),
        log_format: r
            .choice(
                ("seeing", "log_format"),
                Some("terminal"),
                &[("terminal", "terminal"), ("json", "json")],
            )
            .to_string(),
        trace_file: r.text("seeing", "trace_file", Some("")),
        max_body_bytes: r.number(("bounds", "max_body_bytes"), Some("1048576"), BYTES),
        max_in_flight: r.number(("bounds", "max_in_flight"), Some("512"), IN_FLIGHT) as i32,
        read_timeout_ms: r.number(("bounds", "read_timeout"), Some("10000ms"), PAUSE),
        stop_grace_ms: r.number(("bounds", "stop_grace"), Some("20000ms"), PAUSE),
    };
    r.finish(with_own_cell(settings))
}

// A node that names no cell shares one with the nodes of its data hall.
fn with_own_cell(mut settings: NodeSettings) -> NodeSettings {
    if settings.cell.is_empty() {
        settings.cell = settings.hall.clone();
    }
    if settings.cell_halls.is_empty() {
        settings.cell_halls = vec![settings.hall.clone()];
    }
    settings
}

fn read_seeds(r: &mut Reader<'_>) -> Vec<String> {
    let seeds = r.list("node", "seeds", Some(""));
    for seed in &seeds {
        if seed.parse::<std::net::SocketAddr>().is_err() {
            let message = format!("`{seed}` is no address");
            r.fault("node", "seeds", &message, "write IP:PORT, parted by commas");
        }
    }
    seeds
}

fn read_url(r: &mut Reader<'_>, key: &str) -> String {
    let url = r.text("platform", key, Some(""));
    if !url.is_empty() && !url.starts_with("http://") {
        r.fault("platform", key, "is no URL", "write http://IP:PORT");
    }
    url
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "[node]\nname = a\nregion = r\nhall = h\nlisten = 127.0.0.1:1\n\
        peer_listen = 127.0.0.1:2\n[keys]\npeer_key = 0123456789abcdef\n\
        resume_key = 0123456789abcdef\noperator_key = 0123456789abcdef\n";

    #[test]
    fn can_parse_settings_with_defaults() {
        let settings = read_node("n.ini", GOOD).unwrap();
        assert_eq!(settings.max_in_flight, 512);
        assert_eq!(settings.hall, "h");
    }

    #[test]
    fn errors_on_every_fault_at_once() {
        let text =
            GOOD.replace("127.0.0.1:1\n", "nowhere\n") + "[bounds]\nspeed = 3\nread_timeout = 5s\n";
        let faults = read_node("n.ini", &text).unwrap_err();
        let places: Vec<_> = faults
            .errors
            .iter()
            .map(|f| (f.line, f.location.as_str()))
            .collect();
        assert_eq!(
            places,
            [
                (5, "node: listen"),
                (12, "bounds: speed"),
                (13, "bounds: read_timeout")
            ]
        );
    }

    #[test]
    fn errors_on_short_secret_without_showing_it() {
        let text = GOOD.replace("peer_key = 0123456789abcdef", "peer_key = hunter2");
        let shown = read_node("n.ini", &text).unwrap_err().to_string();
        assert!(shown.contains("peer_key") && !shown.contains("hunter2"));
    }
}
