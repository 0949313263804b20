//! `croftpond check`: all faults of settings and configuration at once.

use std::process::ExitCode;

use schema::settings::GatewaySettings;
use settings::ValidationErrors;
use topology::Topology;

use super::{read_file, Outcome, EXIT_FAULTS};
use crate::cli::Check;

/// Runs the command.
pub fn run(args: &Check) -> Outcome {
    let mut good = true;
    if let Some(path) = &args.node {
        good &= shown(path, settings::read_node(path, &read_file(path)?));
    }
    if let Some(path) = &args.gateway {
        let read = settings::read_gateway(path, &read_file(path)?);
        if let Ok(settings) = &read {
            print!("{}", topology_of(settings));
        }
        good &= shown(path, read);
    }
    if let Some(path) = &args.configuration {
        good &= shown(path, settings::read_configuration(path, &read_file(path)?));
    }
    match good {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::from(EXIT_FAULTS)),
    }
}

// Halls by region and what the link between regions carries; nothing where there is one region without a list.
fn topology_of(settings: &GatewaySettings) -> String {
    if settings.halls.is_empty() {
        return String::new();
    }
    let topology = Topology::new(&settings.zone, &settings.region, &settings.halls);
    let mut text = String::new();
    for region in topology.regions() {
        let halls: Vec<&str> = topology.halls_of(region).into_iter().collect();
        let own = if region == topology.region() {
            " (own)"
        } else {
            ""
        };
        text += &format!("region {region}{own}: {}\n", halls.join(", "));
    }
    text += &format!("own hall: {}\n", topology.hall());
    if topology.has_several_regions() {
        text += &match settings.region_link_kbit {
            0 => "link between regions: rate not known, not bounded\n".to_string(),
            kbit => format!("link between regions: {} Mbit/s each way\n", kbit / 1000),
        };
    }
    text
}

fn shown<T>(path: &str, read: Result<T, ValidationErrors>) -> bool {
    match read {
        Ok(_) => println!("{path}: no faults"),
        Err(ref faults) => eprint!("{faults}"),
    }
    read.is_ok()
}
