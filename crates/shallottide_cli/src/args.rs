//! Arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::{EarlyExit, FromArgs};
use shallottide_types::duration_text;
use shallottide_types::id::{ChangeId, Revision};
use shallottide_types::record::RecordKind;

/// Longest wait for a change to be in force everywhere.
const DEFAULT_WAIT: Duration = Duration::from_secs(8);

/// Writes and reads shallottide's records, and shows its state.
///
/// Exit codes: 0 done, 2 bad input or settings, 3 another change was first, 4 unclear whether
/// written, 5 platform or nodes can't be reached, 6 not known to be in force everywhere.
#[derive(Debug, FromArgs)]
pub(crate) struct Args {
    /// settings file (default shallottide.toml)
    #[argh(option)]
    pub(crate) settings: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// All commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Check(CheckArgs),
    Apply(ApplyArgs),
    Get(GetArgs),
    List(ListArgs),
    Status(StatusArgs),
    Drain(DrainArgs),
    Restore(RestoreArgs),
    HashKey(HashKeyArgs),
    Demo(DemoArgs),
}

/// Starts stand-ins and two nodes on loopback and calls them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct DemoArgs {
    /// stay up afterwards, printing how to call the nodes
    #[argh(switch)]
    pub(crate) keep: bool,
}

/// Checks record files without writing them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckArgs {
    /// record files in TOML
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}

/// Writes records and waits until they are in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct ApplyArgs {
    /// record files in TOML
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
    /// write only over this revision (0: only if there is no record); for one file
    #[argh(option)]
    pub(crate) if_revision: Option<Revision>,
    /// id of a change to finish (default: a new one)
    #[argh(option)]
    pub(crate) change: Option<ChangeId>,
    /// longest wait until the change is in force (default 8s, 0s: don't look)
    #[argh(option, default = "DEFAULT_WAIT", from_str_fn(wait))]
    pub(crate) wait: Duration,
}

/// Prints one record.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct GetArgs {
    /// model, upstream, service, domain or team
    #[argh(positional, from_str_fn(record_kind))]
    pub(crate) kind: RecordKind,
    /// id of the record
    #[argh(positional)]
    pub(crate) id: String,
}

/// Lists records.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct ListArgs {
    /// model, upstream, service, domain or team (default: all)
    #[argh(positional, from_str_fn(record_kind))]
    pub(crate) kind: Option<RecordKind>,
}

/// Shows the state of each failure domain.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArgs {
    /// metrics address of an entry node on a platform; may be given more than once (default: the
    /// nodes of the settings)
    #[argh(option)]
    pub(crate) entry: Vec<SocketAddr>,
}

/// Takes a failure domain or an upstream out: no new work, work in flight ends.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct DrainArgs {
    /// domain or upstream
    #[argh(positional)]
    pub(crate) target: Target,
    /// id of the record
    #[argh(positional)]
    pub(crate) id: String,
    /// id of a change to finish (default: a new one)
    #[argh(option)]
    pub(crate) change: Option<ChangeId>,
    /// longest wait until the change is in force (default 8s, 0s: don't look)
    #[argh(option, default = "DEFAULT_WAIT", from_str_fn(wait))]
    pub(crate) wait: Duration,
}

/// Brings a failure domain or an upstream back.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "restore")]
pub(crate) struct RestoreArgs {
    /// domain or upstream
    #[argh(positional)]
    pub(crate) target: Target,
    /// id of the record
    #[argh(positional)]
    pub(crate) id: String,
    /// id of a change to finish (default: a new one)
    #[argh(option)]
    pub(crate) change: Option<ChangeId>,
    /// longest wait until the change is in force (default 8s, 0s: don't look)
    #[argh(option, default = "DEFAULT_WAIT", from_str_fn(wait))]
    pub(crate) wait: Duration,
}

/// Prints the hash of a key read from standard input, for a team's `key_hashes`.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash-key")]
pub(crate) struct HashKeyArgs {
    /// refused: a key on the command line stays in histories and process lists
    #[argh(positional)]
    pub(crate) key: Option<String>,
}

/// What can be drained and restored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Target {
    Domain,
    Upstream,
}

impl std::str::FromStr for Target {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "domain" => Ok(Self::Domain),
            "upstream" => Ok(Self::Upstream),
            _ => Err(format!("{text:?} can't be drained: use domain or upstream")),
        }
    }
}

/// What the arguments ask for.
pub(crate) enum Parsed {
    Run(Args),
    Help(String),
    Wrong(String),
}

impl Args {
    /// Reads the arguments, the program's name first.
    pub(crate) fn parse(words: impl Iterator<Item = String>) -> Parsed {
        let words: Vec<_> = words.skip(1).collect();
        let words: Vec<_> = words.iter().map(String::as_str).collect();
        match Self::from_args(&["shallottide"], &words) {
            Ok(args) => Parsed::Run(args),
            Err(EarlyExit {
                output,
                status: Ok(()),
            }) => Parsed::Help(output),
            Err(EarlyExit { output, .. }) => Parsed::Wrong(output),
        }
    }
}

fn wait(text: &str) -> Result<Duration, String> {
    duration_text::parse(text)
}

fn record_kind(text: &str) -> Result<RecordKind, String> {
    text.parse::<RecordKind>().map_err(|e| e.to_string())
}
