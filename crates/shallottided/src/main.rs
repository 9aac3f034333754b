//! The entry daemon: reads its settings, runs one node and stops it on a signal.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use argh::FromArgs;
use shallottide::node::{self, NodeError, StopReport};
use shallottide::platform_client::{ConsulPlatform, PlatformOptions, PlatformOptionsError};
use shallottide::settings::{self, NodeSettings, SettingsError};
use shallottide::telemetry::{LoggingError, init_logging};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Exit code for bad settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code when the node can't start.
const EXIT_START: u8 = 3;
/// Exit code when calls were left running at the end of a stop.
const EXIT_CUT: u8 = 4;
/// Exit code when the node ended by a fault of its own.
const EXIT_FAULT: u8 = 5;

/// Pause between looks at signals.
const POLL: Duration = Duration::from_millis(20);

/// Runs one entry node of shallottide.
#[derive(FromArgs)]
struct Args {
    /// settings file in TOML
    #[argh(option)]
    config: PathBuf,
    /// only check the settings
    #[argh(switch)]
    check: bool,
}

#[derive(Debug, thiserror::Error)]
enum DaemonError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Logging(#[from] LoggingError),
    #[error("platform: {0}")]
    Platform(#[from] PlatformOptionsError),
    #[error(transparent)]
    Node(#[from] NodeError),
    #[error("the node ended by a fault of its own: see the log, restart it and report the fault")]
    Fault,
    #[error("signals can't be watched ({0}): check the process's limits")]
    Signals(std::io::Error),
}

impl DaemonError {
    fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) | Self::Logging(_) | Self::Platform(_) => EXIT_SETTINGS,
            Self::Node(_) | Self::Signals(_) => EXIT_START,
            Self::Fault => EXIT_FAULT,
        }
    }
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(&args) {
        Ok(StopReport { unfinished: 0, .. }) => ExitCode::SUCCESS,
        Ok(report) => {
            eprintln!("stopped with {} calls left running", report.unfinished);
            ExitCode::from(EXIT_CUT)
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(e.exit_code())
        }
    }
}

fn run(args: &Args) -> Result<StopReport, DaemonError> {
    let settings = settings::load(&args.config)?;
    if args.check {
        println!("settings {} are valid", args.config.display());
        let (left, hurried) = (0, false);
        return Ok(StopReport {
            unfinished: left,
            interrupted: hurried,
        });
    }
    init_logging(&settings.log)?;
    serve(settings)
}

fn serve(settings: NodeSettings) -> Result<StopReport, DaemonError> {
    let (first, later) = watch_signals().map_err(DaemonError::Signals)?;
    let platform_options = PlatformOptions::default()
        .addresses(settings.platform.clone())
        .token(settings.platform_token.clone());
    let platform = Arc::new(ConsulPlatform::new(platform_options)?);
    let node = node::start(settings, platform)?;
    let addresses = node.addresses();
    println!(
        "{}",
        serde_json::json!({
            "callers": addresses.callers,
            "peers": addresses.peers,
            "operators": addresses.operators,
        })
    );
    while !first.load(Ordering::Acquire) {
        if !node.is_running() {
            return Err(DaemonError::Fault);
        }
        std::thread::sleep(POLL);
    }
    Ok(node.stop(&later))
}

/// Returns flags that the first and any later signal set.
fn watch_signals() -> std::io::Result<(Arc<AtomicBool>, Arc<AtomicBool>)> {
    let first = Arc::new(AtomicBool::new(false));
    let later = Arc::new(AtomicBool::new(false));
    let flags = (first.clone(), later.clone());
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            for _ in signals.forever() {
                if first.swap(true, Ordering::AcqRel) {
                    later.store(true, Ordering::Release);
                }
            }
        })?;
    Ok(flags)
}
