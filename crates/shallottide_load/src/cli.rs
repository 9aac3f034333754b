//! Command-line arguments of `shallottide-load`.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use shallottide_load::{LoadOptions, ServiceTarget};
use shallottide_types::duration_text;

/// Generates open-loop load and reports the outcomes of the calls. Exit code 0: no answer was cut,
/// wrong or malformed, and no call ran twice; 1: at least one was or did; 2: invalid options.
#[derive(FromArgs)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a switch of the command line"
)]
pub(crate) struct Arguments {
    /// address of an entry VM as ADDRESS:PORT; may be given several times
    #[argh(option)]
    target: Vec<SocketAddr>,
    /// bearer key of a team
    #[argh(option)]
    key: Option<String>,
    /// mean number of calls that arrive per second
    #[argh(option, default = "LoadOptions::default().rate")]
    rate: f64,
    /// seconds during which calls arrive
    #[argh(option, default = "LoadOptions::default().duration.as_secs()")]
    seconds: u64,
    /// seed of the random arrivals, kinds and targets of the calls
    #[argh(option, default = "LoadOptions::default().seed")]
    seed: u64,
    /// model of the completions
    #[argh(option, default = "LoadOptions::default().model")]
    model: String,
    /// tokens of each completion
    #[argh(option, default = "LoadOptions::default().max_tokens")]
    max_tokens: u64,
    /// number of prefixes that prompts share; 0 shares none
    #[argh(option, default = "LoadOptions::default().prefixes")]
    prefixes: u32,
    /// request completions in one piece instead of streams
    #[argh(switch)]
    no_stream: bool,
    /// name of a plain service to call
    #[argh(option)]
    service: Option<String>,
    /// path of the calls to the plain service
    #[argh(option, default = "String::from(\"/bookings\")")]
    path: String,
    /// percent of all calls that go to the plain service
    #[argh(option, default = "20")]
    mix: u8,
    /// percent of service calls repeated with the same key through another entry VM
    #[argh(option, default = "10")]
    repeat: u8,
    /// maximum number of calls in flight; further calls wait, and their wait counts as latency
    #[argh(option, default = "LoadOptions::default().max_in_flight")]
    max_in_flight: usize,
    /// open a connection for each call
    #[argh(switch)]
    new_connections: bool,
    /// timeout of one call, such as 30s
    #[argh(
        option,
        default = "LoadOptions::default().timeout",
        from_str_fn(duration_text::parse)
    )]
    timeout: Duration,
    /// timeout sent with each call, such as 10s; should be a little less than --timeout
    #[argh(option, from_str_fn(duration_text::parse))]
    deadline: Option<Duration>,
    /// send no calls to targets whose `/readyz` fails, as a load balancer would
    #[argh(switch)]
    health_checks: bool,
    /// address of a stand-in service to query at the end for how often each key ran; may be given
    /// several times
    #[argh(option)]
    check_runs: Vec<SocketAddr>,
    /// print the report as JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

impl Arguments {
    /// Converts the arguments to the options of a run.
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
