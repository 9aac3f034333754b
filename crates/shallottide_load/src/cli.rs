//! The command line of `shallottide-load`.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use shallottide_load::{LoadOptions, ServiceTarget};
use shallottide_types::duration_text;

/// Makes open-loop load and reports what became of it. Exit code 0: no answer was cut, wrong
/// or malformed, nothing ran twice; 1: some was; 2: bad options.
#[derive(FromArgs)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a switch of the command line"
)]
pub(crate) struct Arguments {
    /// entry VM as ADDRESS:PORT; may be given several times
    #[argh(option)]
    target: Vec<SocketAddr>,
    /// bearer key of a team
    #[argh(option)]
    key: Option<String>,
    /// calls that arrive in a second, on average
    #[argh(option, default = "LoadOptions::default().rate")]
    rate: f64,
    /// seconds for which calls arrive
    #[argh(option, default = "LoadOptions::default().duration.as_secs()")]
    seconds: u64,
    /// fixes arrivals, kinds and targets
    #[argh(option, default = "LoadOptions::default().seed")]
    seed: u64,
    /// model of the completions
    #[argh(option, default = "LoadOptions::default().model")]
    model: String,
    /// tokens of each completion
    #[argh(option, default = "LoadOptions::default().max_tokens")]
    max_tokens: u64,
    /// beginnings that prompts share; 0 gives each prompt its own
    #[argh(option, default = "LoadOptions::default().prefixes")]
    prefixes: u32,
    /// ask for whole completions instead of streams
    #[argh(switch)]
    no_stream: bool,
    /// plain service that some calls go to
    #[argh(option)]
    service: Option<String>,
    /// path at the plain service
    #[argh(option, default = "String::from(\"/bookings\")")]
    path: String,
    /// percent of all calls that go to the plain service
    #[argh(option, default = "20")]
    mix: u8,
    /// percent of service calls made again with the same key through another entry VM
    #[argh(option, default = "10")]
    repeat: u8,
    /// most calls in flight; later ones wait, which counts in their latency
    #[argh(option, default = "LoadOptions::default().max_in_flight")]
    max_in_flight: usize,
    /// open a connection for each call
    #[argh(switch)]
    new_connections: bool,
    /// longest time for one call, such as 30s
    #[argh(
        option,
        default = "LoadOptions::default().timeout",
        from_str_fn(duration_text::parse)
    )]
    timeout: Duration,
    /// time told to the system for each call, such as 10s; a little less than --timeout
    #[argh(option, from_str_fn(duration_text::parse))]
    deadline: Option<Duration>,
    /// send no calls to targets whose `/readyz` fails, as a balancer would
    #[argh(switch)]
    health_checks: bool,
    /// stand-in service asked at the end how often each key ran; may be given several times
    #[argh(option)]
    check_runs: Vec<SocketAddr>,
    /// report as JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

impl Arguments {
    /// Returns the options of the run.
    pub(crate) fn options(&self) -> LoadOptions {
        LoadOptions {
            targets: self.target.clone(),
            key: self.key.clone(),
            rate: self.rate,
            duration: Duration::from_secs(self.seconds),
            seed: self.seed,
            model: self.model.clone(),
            max_tokens: self.max_tokens,
            prefixes: self.prefixes,
            stream: !self.no_stream,
            service: self.service.as_deref().map(|name| self.service(name)),
            max_in_flight: self.max_in_flight,
            new_connections: self.new_connections,
            timeout: self.timeout,
            deadline: self.deadline,
            health_checks: self.health_checks,
            check_runs: self.check_runs.clone(),
        }
    }

    fn service(&self, name: &str) -> ServiceTarget {
        let path = self.path.trim_start_matches('/');
        ServiceTarget {
            path: format!("/services/{name}/{path}"),
            percent: self.mix,
            repeat_percent: self.repeat,
        }
    }
}
