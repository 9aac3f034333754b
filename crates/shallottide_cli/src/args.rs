//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::{EarlyExit, FromArgs};
use shallottide_types::duration_text;
use shallottide_types::id::{ChangeId, Revision};
use shallottide_types::record::RecordKind;

/// Default of `--wait`: how long to wait until a change is in force on all nodes.
const DEFAULT_WAIT: Duration = Duration::from_secs(8);

/// Writes and reads shallottide's records, and shows its state.
///
/// Exit codes: 0 done, 2 bad input or settings, 3 conflict with another change, 4 unknown whether
/// the change was written, 5 platform or nodes unreachable, 6 change written, but not known to be
/// in force everywhere.
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

/// Starts a demo cluster on loopback (stand-ins and two entry nodes) and sends calls to it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct DemoArgs {
    /// keep the cluster running afterwards and print how to call its nodes
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
    /// write only if the stored record has this revision (0: only if there is no record); allows
    /// one file only
    #[argh(option)]
    pub(crate) if_revision: Option<Revision>,
    /// id of an earlier change to complete (default: a new id)
    #[argh(option)]
    pub(crate) change: Option<ChangeId>,
    /// how long to wait until the change is in force (default 8s, 0s: don't check)
    #[argh(option, default = "DEFAULT_WAIT", from_str_fn(parse_wait))]
    pub(crate) wait: Duration,
}

/// Prints one record.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct GetArgs {
    /// model, upstream, service, domain or team
    #[argh(positional, from_str_fn(parse_record_kind))]
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
    #[argh(positional, from_str_fn(parse_record_kind))]
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

/// Drains a failure domain or an upstream: it gets no new calls, and calls in flight finish.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct DrainArgs {
    /// domain or upstream
    #[argh(positional)]
    pub(crate) target: Target,
    /// id of the record
    #[argh(positional)]
    pub(crate) id: String,
    /// id of an earlier change to complete (default: a new id)
    #[argh(option)]
    pub(crate) change: Option<ChangeId>,
    /// how long to wait until the change is in force (default 8s, 0s: don't check)
    #[argh(option, default = "DEFAULT_WAIT", from_str_fn(parse_wait))]
    pub(crate) wait: Duration,
}

/// Puts a drained failure domain or upstream back into service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "restore")]
pub(crate) struct RestoreArgs {
    /// domain or upstream
    #[argh(positional)]
    pub(crate) target: Target,
    /// id of the record
    #[argh(positional)]
    pub(crate) id: String,
    /// id of an earlier change to complete (default: a new id)
    #[argh(option)]
    pub(crate) change: Option<ChangeId>,
    /// how long to wait until the change is in force (default 8s, 0s: don't check)
    #[argh(option, default = "DEFAULT_WAIT", from_str_fn(parse_wait))]
    pub(crate) wait: Duration,
}

/// Prints the hash of a key read from standard input, for a team's `key_hashes`.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash-key")]
pub(crate) struct HashKeyArgs {
    /// not accepted, as arguments are visible in shell histories and process lists
    #[argh(positional)]
    pub(crate) key: Option<String>,
}

/// Kind of record that can be drained and restored.
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

/// Result of parsing the command line.
pub(crate) enum Parsed {
    Run(Args),
    /// Help text, for `--help`.
    Help(String),
    /// Error message.
    Invalid(String),
}

impl Args {
    /// Parses the arguments, the first of which is the program's name.
    pub(crate) fn parse(arguments: impl Iterator<Item = String>) -> Parsed {
        let arguments: Vec<_> = arguments.skip(1).collect();
        let arguments: Vec<_> = arguments.iter().map(String::as_str).collect();
        match Self::from_args(&["shallottide"], &arguments) {
            Ok(args) => Parsed::Run(args),
            Err(EarlyExit {
                output,
                status: Ok(()),
            }) => Parsed::Help(output),
            Err(EarlyExit { output, .. }) => Parsed::Invalid(output),
        }
    }
}

fn parse_wait(text: &str) -> Result<Duration, String> {
    duration_text::parse(text)
}

fn parse_record_kind(text: &str) -> Result<RecordKind, String> {
    text.parse::<RecordKind>().map_err(|e| e.to_string())
}
