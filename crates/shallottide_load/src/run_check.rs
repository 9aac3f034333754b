//! Reads from stand-in services how often each idempotency key ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::load_options::LoadOptions;
use crate::recorder::Recorder;

/// Timeout of the query to one server.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Sums the runs of each key of this load over all servers and passes them to the recorder.
pub(crate) fn check_runs(options: &LoadOptions, recorder: &mut Recorder) {
    let mut runs = BTreeMap::<String, u64>::new();
    let key_prefix = format!("load-{}-", options.seed);
    for server in &options.check_runs {
        match read_runs(*server) {
            Ok(counts) => {
                let counts = counts
                    .into_iter()
                    .filter(|(key, _)| key.starts_with(&key_prefix));
                counts.for_each(|(key, n)| *runs.entry(key).or_default() += n);
            }
            Err(error) => recorder.record_run_check_failure(format!("{server}: {error}")),
        }
    }
    recorder.compare_runs(&runs);
}

fn read_runs(server: SocketAddr) -> Result<BTreeMap<String, u64>, ureq::Error> {
    let request = ureq::get(format!("http://{server}/control/runs"));
    let request = request.config().timeout_global(Some(TIMEOUT)).build();
    let counts = request
        .call()?
        .body_mut()
        .with_config()
        .limit(u64::MAX)
        .read_json()?;
    Ok(counts)
}
