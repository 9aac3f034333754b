//! The entry daemon: reads its settings, runs one node and stops it gracefully on a signal.

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

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code if the node can't start.
const EXIT_START_FAILED: u8 = 3;
/// Exit code if calls were still running at the end of a stop.
const EXIT_UNFINISHED_CALLS: u8 = 4;
/// Exit code if the kernel thread ended by a panic.
const EXIT_KERNEL_ENDED: u8 = 5;

/// Interval at which signals and the kernel thread are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

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
    #[error("kernel thread ended unexpectedly: see the log, restart the node and report the fault")]
    KernelEnded,
    #[error("signals can't be watched ({0}): check the process's limits")]
    Signals(std::io::Error),
}

impl DaemonError {
    fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) | Self::Logging(_) | Self::Platform(_) => EXIT_INVALID_SETTINGS,
            Self::Node(_) | Self::Signals(_) => EXIT_START_FAILED,
            Self::KernelEnded => EXIT_KERNEL_ENDED,
        }
    }
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(&args) {
        Ok(StopReport { unfinished: 0, .. }) => ExitCode::SUCCESS,
        Ok(report) => {
            eprintln!("stopped with {} calls left running", report.unfinished);
            ExitCode::from(EXIT_UNFINISHED_CALLS)
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
        let (unfinished, interrupted) = (0, false);
        return Ok(StopReport {
            unfinished,
            interrupted,
        });
    }
    init_logging(&settings.log)?;
    serve(settings)
}

fn serve(settings: NodeSettings) -> Result<StopReport, DaemonError> {
    let (stop, interrupt) = watch_signals().map_err(DaemonError::Signals)?;
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
    while !stop.load(Ordering::Acquire) {
        if !node.is_running() {
            return Err(DaemonError::KernelEnded);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(node.stop(&interrupt))
}

/// Returns two flags: the first signal sets the first, any further signal the second.
fn watch_signals() -> std::io::Result<(Arc<AtomicBool>, Arc<AtomicBool>)> {
    let stop = Arc::new(AtomicBool::new(false));
    let interrupt = Arc::new(AtomicBool::new(false));
    let flags = (stop.clone(), interrupt.clone());
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            for _ in signals.forever() {
                if stop.swap(true, Ordering::AcqRel) {
                    interrupt.store(true, Ordering::Release);
                }
            }
        })?;
    Ok(flags)
}
