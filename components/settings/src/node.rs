//! Settings of one node.

use schema::settings::NodeSettings;

use crate::reader::{IniReader, NumberFormat};
use crate::validation_error::ValidationErrors;

const MIN_SECRET_BYTES: usize = 16;
const BODY_BYTES: NumberFormat = NumberFormat::unscaled(1024, 64 << 20);
const IN_FLIGHT: NumberFormat = NumberFormat::unscaled(1, 4096);
const TIMEOUT_MILLIS: NumberFormat = NumberFormat::scaled("ms", 1, 10, 600_000);
const CALL_RATE: NumberFormat = NumberFormat::scaled("/s", 1, 1, 1000);

/// Parses and validates the settings of a node; `file` is the file name that errors show.
pub fn read_node(file: &str, text: &str) -> Result<NodeSettings, ValidationErrors> {
    let mut r = IniReader::new(file, text)?;
    let settings = NodeSettings {
        name: r.text("node", "name", None),
        region: r.text("node", "region", None),
        hall: r.text("node", "hall", None),
        listen: r.socket_address("node", "listen", None),
        peer_listen: r.socket_address("node", "peer_listen", None),
        seeds: read_seeds(&mut r),
        cell: r.text("node", "cell", Some("")),
        cell_halls: r.list("node", "cell_halls", Some("")),
        bootstrap: r.text("node", "bootstrap", Some("")),
        peer_key: r.secret("keys", "peer_key", MIN_SECRET_BYTES),
        resume_key: r.secret("keys", "resume_key", MIN_SECRET_BYTES),
        operator_key: r.secret("keys", "operator_key", MIN_SECRET_BYTES),
        table_url: read_url(&mut r, "table_url"),
        objects_url: read_url(&mut r, "objects_url"),
        cloud_url: read_url(&mut r, "cloud_url"),
        platform_rate: r.number(("platform", "rate"), Some("20/s"), CALL_RATE) as i32,
        statsd: r.socket_address("seeing", "statsd", Some("")),
        log_format: r
            .choice(
                ("seeing", "log_format"),
                Some("terminal"),
                &[("terminal", "terminal"), ("json", "json")],
            )
            .to_string(),
        trace_file: r.text("seeing", "trace_file", Some("")),
        max_body_bytes: r.number(("bounds", "max_body_bytes"), Some("1048576"), BODY_BYTES),
        max_in_flight: r.number(("bounds", "max_in_flight"), Some("512"), IN_FLIGHT) as i32,
        read_timeout_ms: r.number(("bounds", "read_timeout"), Some("10000ms"), TIMEOUT_MILLIS),
        stop_grace_ms: r.number(("bounds", "stop_grace"), Some("20000ms"), TIMEOUT_MILLIS),
    };
    r.finish(with_default_cell(settings))
}

// By default the cell has the name of the node's data hall and contains only this hall.
fn with_default_cell(mut settings: NodeSettings) -> NodeSettings {
    if settings.cell.is_empty() {
        settings.cell = settings.hall.clone();
    }
    if settings.cell_halls.is_empty() {
        settings.cell_halls = vec![settings.hall.clone()];
    }
    settings
}

fn read_seeds(r: &mut IniReader<'_>) -> Vec<String> {
    let seeds = r.list("node", "seeds", Some(""));
    for seed in &seeds {
        if seed.parse::<std::net::SocketAddr>().is_err() {
            let message = format!("`{seed}` is no address");
            r.add_error(
                "node",
                "seeds",
                &message,
                "write IP:PORT, separated by commas",
            );
        }
    }
    seeds
}

fn read_url(r: &mut IniReader<'_>, key: &str) -> String {
    let url = r.text("platform", key, Some(""));
    if !url.is_empty() && !url.starts_with("http://") {
        r.add_error("platform", key, "is no URL", "write http://IP:PORT");
    }
    url
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID: &str = "[node]\nname = a\nregion = r\nhall = h\nlisten = 127.0.0.1:1\n\
        peer_listen = 127.0.0.1:2\n[keys]\npeer_key = 0123456789abcdef\n\
        resume_key = 0123456789abcdef\noperator_key = 0123456789abcdef\n";

    #[test]
    fn missing_optional_keys_get_their_defaults() {
        let settings = read_node("n.ini", VALID).unwrap();
        assert_eq!(settings.max_in_flight, 512);
        assert_eq!(settings.hall, "h");
    }

    #[test]
    fn all_errors_are_reported_at_once_and_sorted_by_line() {
        let text = VALID.replace("127.0.0.1:1\n", "nowhere\n")
            + "[bounds]\nspeed = 3\nread_timeout = 5s\n";
        let invalid = read_node("n.ini", &text).unwrap_err();
        let locations: Vec<_> = invalid
            .errors
            .iter()
            .map(|e| (e.line, e.location.as_str()))
            .collect();
        assert_eq!(
            locations,
            [
                (5, "node: listen"),
                (12, "bounds: speed"),
                (13, "bounds: read_timeout")
            ]
        );
    }

    #[test]
    fn the_error_on_a_short_secret_does_not_show_it() {
        let text = VALID.replace("peer_key = 0123456789abcdef", "peer_key = hunter2");
        let shown = read_node("n.ini", &text).unwrap_err().to_string();
        assert!(shown.contains("peer_key") && !shown.contains("hunter2"));
    }
}
