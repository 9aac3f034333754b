//! Requests with a part that crashes servers, whose clients repeat them once, as the sheet says.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::client::{Answer, HOST, KEY, Request, Unanswered, exchange};
use crate::engine::{Fleet, GROUP_SIZE, MODEL, SERVICE, SLOTS};
use crate::node::{Machines, ZONES};
use crate::store::Store;
use crate::{Outcome, Run, Verdict};

/// `stability_window_ms` of the sheets.
const STABLE: Duration = Duration::from_millis(3_000);
/// Requests with the part that may reach servers later than that after the fifth crash.
const MAX_LATE: usize = 3;
const CRASHES: usize = 5;
/// Engines of each zone; each zone is one domain of the fabric.
const ENGINES_PER_ZONE: usize = 10;
const CRASHING_PART: &str = "0badc0de";
/// The rate of all requests to the model servers, and of those with the part: 0.03 of `wash-report`.
const PER_SECOND: f64 = 21.9 + 120.0 + 20.9;
const CRASHING_PER_SECOND: f64 = 0.03 * 21.9;
const CALM: Duration = Duration::from_secs(6);
const POISONED: Duration = Duration::from_secs(20);
/// Pause of a client before its retry where no answer asks for a longer one.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// `Deadline-Ms` of the sheet.
const BUDGET: Duration = Duration::from_millis(8_000);

/// Returns the service of the model servers, as the site file has it, with one model.
pub fn engine_service() -> Value {
    let delays: Vec<_> = [("jkpg", "vmo"), ("jkpg", "hlm"), ("vmo", "hlm")]
        .into_iter()
        .map(|(from, to)| json!({"from": from, "target_version": to, "delay_ms": 3.4}))
        .collect();
    json!({
        "name": SERVICE, "health_path": "/healthz", "max_conns": 308, "protocol": "h1", "tls": false,
        "cold_start_s": 3.0, "cold_per_s": 26.0,
        "engine": {
            "slots": SLOTS, "kv_tokens": 1_860_000, "kv_bytes": 96256, "link_mbps": 400000.0,
            "stride": 5,
            "models": [{"name": MODEL, "size": GROUP_SIZE, "share": 1.0, "pace": 0.6,
                        "load_s": 12.0, "warm_s": 1.1}],
            "step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096, "read_per_s": 45900.0,
            "pairs_per_m": 0.433, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 5.0,
            "loads_at_once": 7, "delays": delays, "usual": {"prompt": 979, "answer": 154}, "keeps": 1,
            "far_x": 3.0, "form_ms": 300.0}})
}

/// Returns the route to the model servers.
pub fn report_route() -> Value {
    json!({"name": "r-report", "hostname": HOST, "prefix": "/report/", "kind": "streaming",
           "timeout_ms": 8000, "target_latency_ms": 400, "priority": 1, "service": SERVICE,
           "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 300})
}

fn config() -> Value {
    json!({
        "version": 7,
        "routes": [report_route()],
        "services": [engine_service()],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    })
}

/// A sound request of a client, over all its attempts.
#[derive(Debug, Clone)]
struct Sound {
    sent_at: Instant,
    first_id: String,
    is_answered: bool,
}

#[derive(Clone)]
struct Clients {
    machines: Arc<Vec<(String, std::net::SocketAddr)>>,
    run: Arc<Run>,
    sounds: Arc<Mutex<Vec<Sound>>>,
}

impl Clients {
    /// Sends a request, and once more to another machine if it fails, as the sheet's clients do.
    async fn send(self, number: usize, is_crashing: bool) {
        let part = if is_crashing {
            CRASHING_PART.to_string()
        } else {
            format!("91bd{:04x}", number % 60)
        };
        let prompt = format!("5c1e07a2:40,{part}:410,e4{number:06x}:250");
        let body = format!("prompt {number} {prompt}").into_bytes();
        let end = Instant::now() + BUDGET;
        let mut sound: Option<usize> = None;
        for attempt in 0..2 {
            let left = end.saturating_duration_since(Instant::now());
            let (machine, front) = &self.machines[(number + attempt) % self.machines.len()];
            let mut request = Request::new("POST", HOST, "/report/2f")
                .header("Model", MODEL)
                .header("Token-Counts", "700,25")
                .header("Prefix-Hash", &prompt)
                .header("Deadline-Ms", &left.as_millis().to_string())
                .header("X-Api-Key", KEY);
            request.body.clone_from(&body);
            let id = request.id.clone();
            let kind = if is_crashing { "crashing" } else { "sound" };
            let text = format!("client sends {kind} {id} (request {number}) to {machine}");
            self.run.record.line(&text);
            if !is_crashing && attempt == 0 {
                let mut sounds = self.sounds.lock().expect("no panic while locked");
                sounds.push(Sound {
                    sent_at: Instant::now(),
                    first_id: id.clone(),
                    is_answered: false,
                });
                sound = Some(sounds.len() - 1);
            }
            let outcome = exchange(*front, &request, left).await;
            self.run
                .record
                .line(&format!("client got for {id}: {}", text_of(&outcome)));
            let (is_over, wait) = match &outcome {
                Ok(answer) if answer.status < 300 => {
                    if let Some(sound) = sound {
                        let mut sounds = self.sounds.lock().expect("no panic while locked");
                        sounds[sound].is_answered = true;
                    }
                    (true, Duration::ZERO)
                }
                Ok(answer) => {
                    let is_final = matches!(answer.status, 400 | 401 | 404 | 413 | 431);
                    let left = end.saturating_duration_since(Instant::now());
                    (is_final, answer.retry_after.min(left / 3))
                }
                Err(_) => (false, Duration::ZERO),
            };
            if is_over {
                return;
            }
            tokio::time::sleep(wait.max(RETRY_PAUSE)).await;
        }
    }
}

fn text_of(outcome: &Result<Answer, Unanswered>) -> String {
    match outcome {
        Ok(answer) => {
            let body: String = String::from_utf8_lossy(&answer.body)
                .chars()
                .take(90)
                .collect();
            format!("{} {}", answer.status, body.replace('\n', " "))
        }
        Err(error) => format!("no complete answer: {error:?}"),
    }
}

pub async fn play(run: Arc<Run>) -> Outcome {
    let store = Store::start().await?;
    store.put("op/config", &config());
    let fleet = Fleet::new(&store, &run.record, CRASHING_PART);
    for (index, zone) in ZONES.into_iter().enumerate() {
        for number in 0..ENGINES_PER_ZONE {
            let id = format!("i-{index}{number:07x}");
            fleet.add(&id, zone, &format!("d{index}")).await?;
        }
    }
    let machines = Machines {
        root: &run.root,
        folder: &run.temporary,
        store: &store,
    };
    let nodes = machines.start_all().await?;
    let expected = ENGINES_PER_ZONE / GROUP_SIZE * ZONES.len();
    let end = Instant::now() + Duration::from_secs(25);
    while fleet.open_groups() < expected {
        if Instant::now() > end {
            return Err(format!("{} of {expected} groups are open", fleet.open_groups()).into());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    run.record.line("all groups are open; traffic starts");
    fleet.note_traffic();
    let clients = Clients {
        machines: Arc::new(nodes.iter().map(|n| (n.name.clone(), n.front)).collect()),
        run: run.clone(),
        sounds: Arc::default(),
    };
    let began = Instant::now();
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / PER_SECOND));
    let (mut number, mut due) = (0_usize, 0.0);
    while began.elapsed() < CALM + POISONED {
        ticks.tick().await;
        number += 1;
        let mut is_crashing = false;
        if run.has_trouble && began.elapsed() >= CALM {
            due += CRASHING_PER_SECOND / PER_SECOND;
            is_crashing = due >= 1.0;
            due -= f64::from(u8::from(is_crashing));
        }
        tokio::spawn(clients.clone().send(number, is_crashing));
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let sounds = clients
        .sounds
        .lock()
        .expect("no panic while locked")
        .clone();
    Ok(judge(&run, &fleet, &sounds, began + CALM))
}

fn judge(run: &Run, fleet: &Fleet, sounds: &[Sound], poisoned: Instant) -> Verdict {
    let record = &run.record;
    let crashes = fleet.crashes();
    let arrivals = fleet.arrivals();
    let begun = fleet.begun();
    let share = |from: Instant, to: Instant| {
        let sent = sounds
            .iter()
            .filter(|s| s.sent_at >= from && s.sent_at < to);
        let sent: Vec<_> = sent.collect();
        let begun = sent.iter().filter(|s| begun.contains(&s.first_id)).count();
        let answered = sent.iter().filter(|s| s.is_answered).count();
        format!(
            "{} sent, {begun} begun at the first attempt, {answered} answered",
            sent.len()
        )
    };
    let mut late = 0;
    if let Some(fifth) = crashes.get(CRASHES - 1) {
        let bound = *fifth + STABLE;
        record.line_at(
            bound,
            "later than stability_window_ms after the fifth crash",
        );
        for arrival in arrivals.iter().filter(|a| a.is_crashing && a.at > bound) {
            late += 1;
            record.line_at(
                arrival.at,
                &format!("LATE: {} reached a server", arrival.id),
            );
        }
        let end = Instant::now();
        println!("sound, calm: {}", share(poisoned - CALM, poisoned));
        println!("sound, late: {}", share(*fifth + 2 * STABLE, end));
    }
    let summary = format!(
        "{} crashes; {late} requests with the part reached servers later than stability_window_ms \
         after the fifth crash",
        crashes.len()
    );
    record.line(&summary);
    println!("{summary}");
    if late > MAX_LATE {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
