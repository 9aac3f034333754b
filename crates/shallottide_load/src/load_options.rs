//! What load to make.

use std::net::SocketAddr;
use std::time::Duration;

/// Highest percentage.
const MAX_PERCENT: u8 = 100;

/// What load to make.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Entry VMs; calls are spread over them.
    pub targets: Vec<SocketAddr>,
    /// Bearer key of a team.
    pub key: Option<String>,
    /// Calls that arrive in a second, on average.
    pub rate: f64,
    /// How long calls arrive.
    pub duration: Duration,
    /// Fixes arrivals, kinds and targets.
    pub seed: u64,
    /// Model of the completions.
    pub model: String,
    /// Tokens of each completion.
    pub max_tokens: u64,
    /// Beginnings that prompts share; 0 gives each prompt its own.
    pub prefixes: u32,
    /// Whether completions are streamed.
    pub stream: bool,
    /// The plain service, when some calls go to one.
    pub service: Option<ServiceTarget>,
    /// Most calls in flight; later ones wait, which counts in their latency.
    pub max_in_flight: usize,
    /// Whether each call opens a connection of its own, as entry VMs do towards upstreams.
    pub new_connections: bool,
    /// Longest time for one call, and for those still waiting at the end.
    pub timeout: Duration,
    /// Time told to the system for each call, when it is told one.
    pub deadline: Option<Duration>,
    /// Whether targets that aren't ready get no calls, as behind a balancer.
    pub health_checks: bool,
    /// Stand-in services that are asked at the end how often each key ran.
    pub check_runs: Vec<SocketAddr>,
}

/// A plain service and how often it is called.
#[derive(Debug, Clone)]
pub struct ServiceTarget {
    /// Path at the entry VM, such as `/services/tally/clicks`.
    pub path: String,
    /// Percent of all calls that go to the service.
    pub percent: u8,
    /// Percent of these that are made again with the same key through another entry VM.
    pub repeat_percent: u8,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            key: None,
            rate: 10.0,
            duration: Duration::from_secs(10),
            seed: 1,
            model: "demo".into(),
            max_tokens: 16,
            prefixes: 0,
            stream: true,
            service: None,
            max_in_flight: 512,
            new_connections: false,
            timeout: Duration::from_secs(30),
            deadline: None,
            health_checks: false,
            check_runs: Vec::new(),
        }
    }
}

/// Options that make no sense.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OptionsError {
    /// No entry VM is named.
    #[error("no target: name at least one entry VM with --target ADDRESS:PORT")]
    NoTarget,
    /// The rate isn't a positive number.
    #[error("rate is not valid: write a number of calls a second above 0")]
    Rate,
    /// Nothing may be in flight.
    #[error("max-in-flight is not valid: write at least 1")]
    InFlight,
    /// A percentage is too high.
    #[error("percentage is not valid: write 0 to {MAX_PERCENT}")]
    Percent,
}

impl LoadOptions {
    /// Checks the options.
    ///
    /// # Errors
    /// [`OptionsError`] naming the option and the remedy.
    pub fn check(&self) -> Result<(), OptionsError> {
        let percents = self.service.iter();
        let mut percents = percents.flat_map(|s| [s.percent, s.repeat_percent]);
        if self.targets.is_empty() {
            Err(OptionsError::NoTarget)
        } else if !(self.rate.is_finite() && self.rate > 0.0) {
            Err(OptionsError::Rate)
        } else if self.max_in_flight == 0 {
            Err(OptionsError::InFlight)
        } else if percents.any(|percent| percent > MAX_PERCENT) {
            Err(OptionsError::Percent)
        } else {
            Ok(())
        }
    }
}
