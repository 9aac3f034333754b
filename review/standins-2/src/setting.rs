//! A small deployment: a store with a configuration, entry nodes, and callers at a steady rate.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::CannotRun;
use crate::client::{Call, HOST, KEY, Outcome, is_ready};
use crate::node::{Machine, Node, TempFolder, machines};
use crate::record::Record;
use crate::server::Seen;
use crate::store::Store;

/// Zones, and the entry machines in each.
pub const ZONES: [(&str, usize); 3] = [("jkpg", 3), ("vmo", 3), ("hlm", 2)];
/// Longest wait for a condition at the start.
const START_TIMEOUT: Duration = Duration::from_secs(25);

pub struct Setting {
    pub store: Store,
    pub machines: Vec<Machine>,
    pub nodes: Vec<Node>,
    pub seen: Arc<Mutex<Seen>>,
    pub record: Arc<Record>,
    pub outcomes: Arc<Mutex<Vec<(Instant, String, Outcome)>>>,
    // Removed last.
    _folder: TempFolder,
}

/// Returns a route.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, attempts: u32) -> Value {
    let mut route = json!({
        "name": format!("r-{name}"), "hostname": HOST, "prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 300, "priority": 1, "service": service,
        "max_attempts": attempts, "public": false,
    });
    if kind == "streaming" {
        route["resumable"] = json!(true);
        route["sticky"] = json!(true);
        route["gap_aim_ms"] = json!(200);
    }
    route
}

/// Returns a configuration.
pub fn config(version: u64, routes: &[Value], services: &[Value]) -> Value {
    json!({
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    })
}

/// Returns a configuration with one route to model servers.
pub fn model_config() -> Value {
    config(
        3,
        &[route("explain", "streaming", "tide-models", 6000, 2)],
        &[json!({
            "name": "tide-models", "health_path": "/healthz", "max_conns": 308, "protocol": "h1",
            "tls": false, "cold_start_s": 3.0, "cold_per_s": 26.0,
            "engine": {
                "slots": 17, "kv_tokens": 1_860_000, "stride": 5, "step_ms": 7.8, "per_seq_ms": 0.0947,
                "context_per_k": 0.0096, "read_per_s": 45900.0, "pairs_per_m": 0.433, "chunk": 2048,
                "report_lag_ms": 200.0, "loads_per_s": 5.0, "loads_at_once": 7, "keeps": 1,
                "far_x": 3.0, "form_ms": 300.0, "usual": {"prompt": 979, "answer": 154},
                "models": [{"name": "daka510000", "size": 2, "share": 1.0, "pace": 1.0,
                            "load_s": 12.0, "warm_s": 1.1}],
            },
        })],
    )
}

impl Setting {
    /// Creates a store with a configuration, and machines on which no process runs yet.
    pub async fn create(
        config: &Value,
        zones: &[(&str, usize)],
        record: &Arc<Record>,
    ) -> Result<Self, CannotRun> {
        let folder = TempFolder::create()?;
        let store = Store::start(record).await?;
        store.put("op/config", config);
        let machines = machines(zones, store.address, &folder.0)?;
        Ok(Self {
            store,
            machines,
            nodes: Vec::new(),
            seen: Arc::default(),
            record: record.clone(),
            outcomes: Arc::default(),
            _folder: folder,
        })
    }

    /// Starts the process of each machine.
    pub fn start_nodes(&mut self) -> Result<(), CannotRun> {
        for machine in &self.machines {
            self.nodes.push(machine.start()?);
        }
        self.record
            .say(&format!("{} entry processes started", self.nodes.len()));
        Ok(())
    }

    /// Waits until all machines are ready.
    pub async fn wait_until_ready(&self) -> Result<(), CannotRun> {
        for machine in &self.machines {
            wait_until(&format!("{} is ready", machine.name), || {
                is_ready(machine.ready())
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until the store has the entry of each machine.
    pub async fn wait_until_entered(&self) -> Result<(), CannotRun> {
        let count = self.machines.len();
        wait_until("all nodes have an entry", || async {
            self.store.keys("shallottide/nodes/").len() == count
        })
        .await
    }

    /// Sends calls to all machines in turn at a steady rate until `is_over` is set.
    pub fn send_steadily(
        &self,
        per_second: f64,
        name: &'static str,
        is_over: &Arc<AtomicBool>,
        make: impl Fn(u64) -> Call + Send + 'static,
    ) {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let fronts: Vec<_> = self.machines.iter().map(Machine::front).collect();
        let (record, outcomes, is_over) =
            (self.record.clone(), self.outcomes.clone(), is_over.clone());
        tokio::spawn(async move {
            let pause = Duration::from_secs_f64(1.0 / per_second);
            let mut ticks = tokio::time::interval(pause);
            ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Burst);
            while !is_over.load(Ordering::SeqCst) {
                ticks.tick().await;
                let number = COUNT.fetch_add(1, Ordering::SeqCst);
                let call = Call {
                    id: format!("{name}-{number:06}"),
                    ..make(number)
                };
                let to = fronts[usize::try_from(number).unwrap_or(0) % fronts.len()];
                let (record, outcomes) = (record.clone(), outcomes.clone());
                tokio::spawn(async move {
                    let sent = Instant::now();
                    let outcome = call.send(to, &record).await;
                    let mut outcomes = outcomes.lock().expect("no panic while locked");
                    outcomes.push((sent, call.id, outcome));
                });
            }
        });
    }

    /// Says for how long such calls came, and their share of all that were sent in the 20 s from the first.
    pub fn say_share(&self, what: &str, count: u64, sent: &[Instant]) {
        let (Some(first), Some(last)) = (sent.first(), sent.last()) else {
            return;
        };
        let outcomes = self.outcomes.lock().expect("no panic while locked");
        let is_beside = |at: &Instant| *at >= *first && *at < *first + Duration::from_secs(20);
        let others = outcomes.iter().filter(|(at, _, _)| is_beside(at)).count() as u64;
        #[allow(clippy::cast_precision_loss)]
        let share = count as f64 / (count + others) as f64;
        let length = last.duration_since(*first).as_secs_f64();
        self.record.say(&format!(
            "calls {what}: {count} in {length:.1} s, a share of {share:.4}"
        ));
    }

    /// Says how the calls between two times ended.
    pub fn say_outcomes(&self, what: &str, from: Instant, to: Instant) {
        let outcomes = self.outcomes.lock().expect("no panic while locked");
        let mut counts = std::collections::BTreeMap::<String, u32>::new();
        for (at, _, outcome) in outcomes.iter() {
            if *at >= from && *at < to {
                *counts.entry(format!("{outcome:?}")).or_default() += 1;
            }
        }
        self.record.say(&format!("calls sent {what}: {counts:?}"));
    }
}

/// Polls until a condition holds.
pub async fn wait_until<F: Future<Output = bool>>(
    what: &str,
    check: impl Fn() -> F,
) -> Result<(), CannotRun> {
    let end = Instant::now() + START_TIMEOUT;
    while !check().await {
        if Instant::now() >= end {
            return Err(CannotRun(format!("timed out waiting until {what}")));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

/// Returns the most of some times within a window, and when that window begins.
pub fn most_within(times: &mut Vec<Instant>, window: Duration) -> (usize, Option<Instant>) {
    times.sort_unstable();
    let mut most = (0, None);
    for (first, at) in times.iter().enumerate() {
        let last = times.partition_point(|other| *other < *at + window);
        if last - first > most.0 {
            most = (last - first, Some(*at));
        }
    }
    most
}
