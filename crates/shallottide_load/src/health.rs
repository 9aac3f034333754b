//! Which targets are ready, as a balancer's health checks see it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use ureq::Agent;

/// Time between two checks of a target.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait for the answer to a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Which targets are ready; all are until a check fails.
#[derive(Debug, Default)]
pub struct Health {
    targets: Vec<SocketAddr>,
    not_ready: Mutex<BTreeSet<SocketAddr>>,
    ended: AtomicBool,
}

impl Health {
    /// Creates the state of these targets.
    #[must_use]
    pub fn new(targets: &[SocketAddr]) -> Self {
        Self {
            targets: targets.to_vec(),
            ..Self::default()
        }
    }

    /// Notes the result of a check.
    ///
    /// # Panics
    /// If another thread panicked while noting one.
    pub fn note(&self, target: SocketAddr, ready: bool) {
        let mut not_ready = self.not_ready.lock().expect("no holder panics");
        if ready {
            not_ready.remove(&target);
        } else {
            not_ready.insert(target);
        }
    }

    /// Returns the target, or the next one in the list that is ready. If none is, the target
    /// stays, as balancers do then.
    ///
    /// # Panics
    /// If another thread panicked while noting a check.
    #[must_use]
    pub fn choose(&self, target: SocketAddr) -> SocketAddr {
        let not_ready = self.not_ready.lock().expect("no holder panics");
        let start = self.targets.iter().position(|t| *t == target);
        let in_turn = self.targets.iter().cycle().skip(start.unwrap_or(0));
        let mut in_turn = in_turn.take(self.targets.len());
        *in_turn.find(|t| !not_ready.contains(t)).unwrap_or(&target)
    }

    /// Checks one target again and again until [`Health::end`].
    pub(crate) fn check(&self, target: SocketAddr) {
        let agent: Agent = Agent::config_builder()
            .timeout_global(Some(CHECK_TIMEOUT))
            .max_idle_connections(0)
            .build()
            .into();
        while !self.ended.load(Ordering::Acquire) {
            let ready = agent.get(format!("http://{target}/readyz")).call().is_ok();
            self.note(target, ready);
            thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Ends the checks.
    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::Release);
    }
}
