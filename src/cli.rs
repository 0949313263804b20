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
    Gateway(Gateway),
    Quickstart(Quickstart),
    Check(Check),
    Status(Status),
    Explain(Explain),
    Config(Config),
    Replay(Replay),
    Routes(Routes),
}

/// run an entry node until SIGTERM or SIGINT, then stop as planned
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// settings file of the node
    #[argh(option)]
    pub node: String,
}

/// run a gateway on the users' platform until SIGTERM or SIGINT, then stop as planned
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct Gateway {
    /// settings file; where the platform puts it if not given
    #[argh(option)]
    pub settings: Option<String>,
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
    /// settings file of a gateway
    #[argh(option)]
    pub gateway: Option<String>,
    /// fleet configuration file
    #[argh(option)]
    pub configuration: Option<String>,
}

/// show which route, service and data hall a request takes on the users' platform
#[derive(FromArgs)]
#[argh(subcommand, name = "routes")]
pub struct Routes {
    /// host that the request names
    #[argh(positional)]
    pub host: String,
    /// path of the request, without its query
    #[argh(positional)]
    pub path: String,
    /// address of the platform's store, IP:PORT
    #[argh(option)]
    pub store: String,
    /// settings file of a gateway, to name the regions of data halls
    #[argh(option)]
    pub gateway: Option<String>,
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

/// read and change the fleet configuration
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub struct Config {
    #[argh(subcommand)]
    pub command: ConfigCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum ConfigCommand {
    Get(ConfigGet),
    Put(ConfigPut),
    History(ConfigHistory),
    Diff(ConfigDiff),
}

/// print the configuration in force at a node, or an older version
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct ConfigGet {
    /// address of a node, IP:PORT
    #[argh(option)]
    pub address: String,
    /// file that holds the operator key
    #[argh(option)]
    pub key_file: String,
    /// version to print; the one in force if not given
    #[argh(option)]
    pub version: Option<i64>,
}

/// check a configuration and put it in force everywhere
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub struct ConfigPut {
    /// configuration file
    #[argh(positional)]
    pub file: String,
    /// address of a node, IP:PORT
    #[argh(option)]
    pub address: String,
    /// file that holds the operator key
    #[argh(option)]
    pub key_file: String,
    /// version that the file is an edit of; another edit in between is a conflict
    #[argh(option)]
    pub based_on: i64,
    /// who makes the edit
    #[argh(option)]
    pub author: String,
    /// what the edit is for
    #[argh(option)]
    pub note: String,
}

/// list the newest versions with their authors and notes
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct ConfigHistory {
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

/// show the lines that differ between two versions
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct ConfigDiff {
    /// older version
    #[argh(positional)]
    pub from: i64,
    /// newer version
    #[argh(positional)]
    pub to: i64,
    /// address of a node, IP:PORT
    #[argh(option)]
    pub address: String,
    /// file that holds the operator key
    #[argh(option)]
    pub key_file: String,
}

/// replay recorded traces through the decisions and compare with the outcomes they state
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct Replay {
    /// trace files
    #[argh(positional)]
    pub files: Vec<String>,
    /// entry nodes to replay with
    #[argh(option, default = "8")]
    pub nodes: usize,
}
