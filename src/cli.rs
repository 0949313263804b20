//! The command line.

use argh::FromArgs;

/// Serves language-model and application traffic on reclaimable VMs.
#[derive(FromArgs)]
#[argh(
    note = "Exit codes: 0 done; 1 the command failed; 2 settings or configuration have faults; 3 another edit came first; 4 a replay missed a stated outcome.",
    example = "croftpond quickstart",
    example = "croftpond check --node samples/waitemata/node.ini --configuration samples/waitemata/configuration.ini"
)]
pub struct Cli {
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Serve(Serve),
    Quickstart(Quickstart),
    Check(Check),
    Status(Status),
    Explain(Explain),
}

/// run an entry node until SIGTERM or SIGINT, then stop as planned
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// settings file of the node
    #[argh(option)]
    pub node: String,
}

/// run entry nodes, engines, an application and the platform in one process, and print a sample session
#[derive(FromArgs)]
#[argh(subcommand, name = "quickstart")]
pub struct Quickstart {
    /// keep running after the session, until SIGTERM or SIGINT
    #[argh(switch)]
    pub keep: bool,
}

/// check settings and configuration; every fault is listed with its line and remedy
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// settings file of a node
    #[argh(option)]
    pub node: Option<String>,
    /// fleet configuration file
    #[argh(option)]
    pub configuration: Option<String>,
}

/// show what a node knows of itself, its endpoints and the fleet
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// address of a node, IP:PORT
    #[argh(option)]
    pub address: String,
    /// file that holds the operator key
    #[argh(option)]
    pub key_file: String,
    /// print the JSON as it comes
    #[argh(switch)]
    pub json: bool,
}

/// show the decisions that a node made about a request
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// id of the request, from X-Request-Id
    #[argh(positional)]
    pub request: String,
    /// address of the node, IP:PORT
    #[argh(option)]
    pub address: String,
    /// file that holds the operator key
    #[argh(option)]
    pub key_file: String,
    /// print the JSON as it comes
    #[argh(switch)]
    pub json: bool,
}
