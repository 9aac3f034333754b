//! A request that crashes the servers of a small service comes again: how often does it reach them?

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::CannotRun;
use crate::client::Call;
use crate::record::Record;
use crate::server::{Kind, Server};
use crate::setting::{Setting, ZONES, config, route};

/// Path of the request; it has no body.
const PATH: &str = "/stock/deadly";
/// Times that it comes, and the time between two of them; 1 request in 35.
const TIMES: usize = 40;
const PAUSE: Duration = Duration::from_millis(500);
/// Sound calls a second, over all nodes.
const RATE: f64 = 68.0;
/// Time from a crash until the server is back.
const RESTART: Duration = Duration::from_secs(3);
/// Crashes after which the system must have found the request.
const CRASHES: usize = 3;
/// `bounds.stability_window_ms`.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Retries that may reach servers later.
const ALLOWED: usize = 3;

pub async fn run(has_trouble: bool, record: &Arc<Record>) -> Result<bool, CannotRun> {
    let config = config(
        3,
        &[route("stock", "idempotent", "depot-app", 4000, 2)],
        &[json!({
            "name": "depot-app", "health_path": "/healthz", "max_conns": 110, "protocol": "h1",
            "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
        })],
    );
    let mut setting = Setting::create(&config, &ZONES, record).await?;
    let (seen, store) = (setting.seen.clone(), setting.store.clone());
    for (id, zone) in [("i-a1", "jkpg"), ("i-b1", "vmo")] {
        let kind = Kind {
            deadly_path: has_trouble.then_some(PATH),
            restart: Some(RESTART),
            ..Kind::plain("depot-app", zone)
        };
        Server::start(id, kind, &store, &seen, record).await?;
    }
    setting.start_nodes()?;
    setting.wait_until_ready().await?;
    setting.wait_until_entered().await?;
    tokio::time::sleep(Duration::from_secs(5)).await;

    let is_over = Arc::new(AtomicBool::new(false));
    let begin = Instant::now();
    setting.send_steadily(RATE, "sound", &is_over, |number| Call {
        path: format!("/stock/{number}"),
        deadline: Duration::from_secs(4),
        ..Call::default()
    });
    tokio::time::sleep(Duration::from_secs(3)).await;
    let fronts: Vec<_> = setting.machines.iter().map(|m| m.front()).collect();
    let mut sent = Vec::new();
    for number in 0..TIMES {
        sent.push(Instant::now());
        let call = Call {
            id: format!("deadly-{number:03}"),
            path: PATH.into(),
            deadline: Duration::from_secs(4),
            ..Call::default()
        };
        let to = fronts[number % fronts.len()];
        let record = record.clone();
        tokio::spawn(async move { call.send(to, &record).await });
        tokio::time::sleep(PAUSE).await;
    }
    is_over.store(true, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(4_600)).await;

    setting.say_outcomes("that are sound", begin, Instant::now());
    setting.say_share("of the deadly request", TIMES as u64, &sent);
    let seen = seen.lock().expect("no panic while locked");
    record.say(&format!(
        "the request was sent {TIMES} times, and reached a server {} times; servers crashed {} times",
        seen.arrivals.iter().filter(|a| a.is_deadly).count(),
        seen.crashes.len()
    ));
    let Some(third) = seen.crashes.get(CRASHES - 1) else {
        record.say(&format!("servers crashed fewer than {CRASHES} times"));
        return Ok(true);
    };
    let from = *third + STABILITY_WINDOW;
    let later = seen.arrivals.iter().filter(|a| a.is_deadly && a.at > from);
    let later = later.count();
    record.say(&format!(
        "the third crash was at {:.3}; later than 3 s after it the request reached servers {later} times; allowed are {ALLOWED}",
        record.seconds(*third)
    ));
    Ok(later <= ALLOWED)
}
