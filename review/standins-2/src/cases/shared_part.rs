//! Requests with a part of their prompt on which model servers crash: how many reach servers?

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::CannotRun;
use crate::client::Call;
use crate::record::Record;
use crate::server::{Kind, Server};
use crate::setting::{Setting, ZONES, model_config};

/// Id of the part.
const PART: &str = "d00d5eed";
/// Sound calls a second, over all nodes.
const RATE: f64 = 100.0;
/// How requests with the part come, and how servers crash on it.
pub struct Trouble {
    /// Requests with the part that come at the same moment.
    pub volley: usize,
    /// Time between two such moments, and their number.
    pub pause: Duration,
    pub volleys: usize,
    /// Model servers; two of one fabric domain form a group.
    pub servers: usize,
    /// Whether a crash leaves the server's connections open and silent.
    pub goes_dark: bool,
}

/// One request with the part every 3 s, for 18 s; the server goes dark.
pub const SILENT_CRASH: Trouble = Trouble {
    volley: 1,
    pause: Duration::from_secs(3),
    volleys: 7,
    servers: 12,
    goes_dark: true,
};
/// Fifteen requests with the part at once, every 5 s, for 15 s; the server's connections are reset.
pub const SEVERAL_AT_ONCE: Trouble = Trouble {
    volley: 15,
    pause: Duration::from_secs(5),
    volleys: 4,
    servers: 4,
    goes_dark: false,
};

/// Crashes after which the system must have found the part.
const CRASHES: usize = 5;
/// `bounds.stability_window_ms`.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Requests with the part that may reach servers later.
const ALLOWED: usize = 3;

pub async fn run(
    trouble: Trouble,
    has_trouble: bool,
    record: &Arc<Record>,
) -> Result<bool, CannotRun> {
    let volley = match std::env::var("VOLLEY") {
        Ok(text) => text.parse().unwrap_or(trouble.volley),
        Err(_) => trouble.volley,
    };
    let config = model_config();
    let mut setting = Setting::create(&config, &ZONES, record).await?;
    let (seen, store) = (setting.seen.clone(), setting.store.clone());
    for number in 0..trouble.servers {
        let kind = Kind {
            slots: 17,
            work: Duration::from_millis(40),
            fabric: Some(format!("d{}", number / 2)),
            staged: Some("daka510000"),
            events: (8, Duration::from_millis(8)),
            deadly_part: has_trouble.then(|| PART.to_string()),
            goes_dark: trouble.goes_dark,
            restart: Some(Duration::from_secs(2)),
            ..Kind::plain("tide-models", zone_of(number, trouble.servers))
        };
        Server::start(&format!("i-m{number}"), kind, &store, &seen, record).await?;
    }
    setting.start_nodes()?;
    setting.wait_until_ready().await?;
    setting.wait_until_entered().await?;
    tokio::time::sleep(Duration::from_secs(10)).await;

    let is_over = Arc::new(AtomicBool::new(false));
    let begin = Instant::now();
    setting.send_steadily(RATE, "sound", &is_over, |number| {
        call(number, "5c1e07a2:800,91bd3f06:410")
    });
    tokio::time::sleep(Duration::from_secs(3)).await;
    let fronts: Vec<_> = setting
        .machines
        .iter()
        .map(|machine| machine.front())
        .collect();
    let mut count = 0;
    let mut sent = Vec::new();
    for _ in 0..trouble.volleys {
        sent.push(Instant::now());
        for _ in 0..volley {
            count += 1;
            let prefix = format!("5c1e07a2:800,{PART}:410");
            let call = Call {
                id: format!("deadly-{count:04}"),
                ..call(1_000_000 + count, &prefix)
            };
            let to = fronts[usize::try_from(count).unwrap_or(0) % fronts.len()];
            let record = record.clone();
            tokio::spawn(async move { call.send(to, &record).await });
        }
        tokio::time::sleep(trouble.pause).await;
    }
    is_over.store(true, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_secs(3)).await;

    setting.say_outcomes("without the part", begin, Instant::now());
    setting.say_share("with the part", count, &sent);
    let seen = seen.lock().expect("no panic while locked");
    record.say(&format!(
        "{count} requests with the part were sent, {} times one reached a server; servers crashed {} times, at most {} of {} were down at once",
        seen.arrivals.iter().filter(|a| a.is_deadly).count(),
        seen.crashes.len(),
        seen.most_down,
        trouble.servers
    ));
    let Some(fifth) = seen.crashes.get(CRASHES - 1) else {
        record.say(&format!("servers crashed fewer than {CRASHES} times"));
        return Ok(true);
    };
    let from = *fifth + STABILITY_WINDOW;
    let later = seen
        .arrivals
        .iter()
        .filter(|a| a.is_deadly && a.at > from)
        .count();
    record.say(&format!(
        "the fifth crash was at {:.3}; later than 3 s after it {later} requests with the part reached servers; allowed are {ALLOWED}",
        record.seconds(*fifth)
    ));
    Ok(later <= ALLOWED)
}

/// Returns a call whose prompt has these shared parts, and one of its own.
fn call(number: u64, shared: &str) -> Call {
    Call {
        path: format!("/explain/{number}"),
        body: format!("explain deviation {number}").into(),
        deadline: Duration::from_secs(6),
        model: Some("daka510000"),
        prefix: Some(format!("{shared},{:08x}:250", number + 0x1000_0000)),
        ..Call::default()
    }
}

/// Returns the zone of a model server; half of them stand in each of two.
fn zone_of(number: usize, servers: usize) -> &'static str {
    if number < servers / 2 { "jkpg" } else { "vmo" }
}
