//! `croftpond routes`: which route, service and data hall a request takes on the users' platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use directory::{Directory, Endpoint};
use error_stack::{Report, ResultExt};
use gateway::listing::read_all;
use gateway::ports::{Row, Store, Topic};
use platform::MetadataStore;
use tokio::runtime::Builder;

use super::{read_file, CommandError, Outcome, EXIT_FAILED};
use crate::cli::Routes;

const NO_ANSWER: CommandError =
    CommandError("the store gave no rows; check its address, or try again");

/// Runs the command.
pub fn run(args: &Routes) -> Outcome {
    let address: SocketAddr = args.store.parse().change_context(CommandError(
        "the store's address cannot be read; write IP:PORT",
    ))?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(CommandError("no runtime; raise the limits of the process"))?;
    let store = MetadataStore::new(address);
    let (directory, endpoints) = runtime.block_on(read(&store))?;
    let mut explanation = directory.explain(&args.host, &args.path, &endpoints);
    if let Some(path) = &args.gateway {
        explanation.regions = regions(path)?;
    }
    print!("{explanation}");
    Ok(match explanation.outcome {
        Ok(_) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(EXIT_FAILED),
    })
}

fn regions(path: &str) -> Result<BTreeMap<String, String>, Report<CommandError>> {
    let settings = settings::read_gateway(path, &read_file(path)?);
    let settings = settings.map_err(|faults| {
        let error = CommandError("the settings cannot be read; see `croftpond check --gateway`");
        Report::new(error).attach(faults.to_string())
    })?;
    Ok(settings.halls)
}

async fn read(store: &MetadataStore) -> Result<(Directory, Vec<Endpoint>), Report<CommandError>> {
    let key = store.configuration_key();
    let read = store.read(Topic::Configuration, key).await;
    let read = read.map_err(|error| Report::new(NO_ANSWER).attach(error.to_string()))?;
    let value = read.row.and_then(|row| row.value).unwrap_or_default();
    let configuration = store.configuration(&value).map_err(|fault| {
        Report::new(CommandError("the configuration cannot be read")).attach(fault.0)
    })?;
    let list = read_all(store, Topic::Endpoints, None, 0.0).await;
    let list = list.map_err(|error| Report::new(NO_ANSWER).attach(error.to_string()))?;
    let rows = list.rows;
    let endpoints = rows.rows.iter().filter_map(|row| endpoint_of(store, row));
    Ok((Directory::new(Arc::new(configuration)), endpoints.collect()))
}

// An endpoint whose row cannot be read is named and left out.
fn endpoint_of(store: &MetadataStore, row: &Row) -> Option<Endpoint> {
    match store.endpoint(&row.key, row.value.as_deref()?) {
        Ok(endpoint) => Some(endpoint),
        Err(fault) => {
            eprintln!("croftpond: endpoint {} left out: {}", row.key, fault.0);
            None
        }
    }
}
