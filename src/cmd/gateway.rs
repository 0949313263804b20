//! `croftpond gateway`: one gateway on the users' platform until it is asked to stop.

use std::net::SocketAddr;
use std::process::ExitCode;

use error_stack::{Report, ResultExt};
use gateway::{Clock, Parts};
use platform::{CloudApi, MetadataStore, PlatformDialect};
use schema::settings::GatewaySettings;
use transport::Dialer;

use super::{read_file, CommandError, Outcome, EXIT_FAULTS};
use crate::cli::Gateway;

/// Runs the command.
pub fn run(args: &Gateway) -> Outcome {
    let path = settings_path(args)?;
    let text = read_file(&path)?;
    let settings = match settings::read_gateway(&path, &text) {
        Ok(settings) => settings,
        Err(faults) => {
            eprint!("{faults}");
            return Ok(ExitCode::from(EXIT_FAULTS));
        }
    };
    let (log, _written_at_end) = telemetry::stdout_logger(&settings.name);
    let store: SocketAddr = address(&settings.store)?;
    let orders: Option<SocketAddr> = settings.orders.parse().ok();
    let parts = Parts {
        settings,
        read_settings: Box::new(move || read_again(&path)),
        dialect: PlatformDialect,
        store: Box::new(move || MetadataStore::new(store)),
        orders: Box::new(move || CloudApi::new(orders)),
        dialer: Dialer::default(),
        clock: Clock::start(),
        log,
    };
    gateway::run(parts).change_context(CommandError("the gateway could not start"))?;
    Ok(ExitCode::SUCCESS)
}

fn settings_path(args: &Gateway) -> Result<String, Report<CommandError>> {
    let placed = || Some(platform::settings_path()?.to_string_lossy().into_owned());
    let path = args.settings.clone().or_else(placed);
    path.ok_or_else(|| Report::new(CommandError("no settings file; name one with --settings")))
}

fn read_again(path: &str) -> Option<GatewaySettings> {
    let text = std::fs::read_to_string(path).ok()?;
    settings::read_gateway(path, &text).ok()
}

fn address(text: &str) -> Result<SocketAddr, Report<CommandError>> {
    text.parse()
        .change_context(CommandError("the store's address cannot be read"))
}
