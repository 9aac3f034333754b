//! The store grants leases for longer than was asked for: is any request to model servers served?

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::CannotRun;
use crate::client::{Call, Outcome};
use crate::record::Record;
use crate::server::{Kind, Server};
use crate::setting::{Setting, ZONES, model_config};

const SERVERS: usize = 8;
/// Time from the start of the machines to that of the traffic, as on the sheets.
const LEAD: Duration = Duration::from_secs(10);
const TRAFFIC: Duration = Duration::from_secs(40);
/// Calls a second, over all nodes.
const RATE: f64 = 20.0;

pub async fn run(has_trouble: bool, record: &Arc<Record>) -> Result<bool, CannotRun> {
    let mut setting = Setting::create(&model_config(), &ZONES, record).await?;
    let (seen, store) = (setting.seen.clone(), setting.store.clone());
    if has_trouble {
        store.round_leases();
    }
    for number in 0..SERVERS {
        let kind = Kind {
            slots: 17,
            work: Duration::from_millis(40),
            fabric: Some(format!("d{}", number / 2)),
            staged: Some("daka510000"),
            events: (8, Duration::from_millis(8)),
            ..Kind::plain(
                "tide-models",
                if number < SERVERS / 2 { "jkpg" } else { "vmo" },
            )
        };
        Server::start(&format!("i-m{number}"), kind, &store, &seen, record).await?;
    }
    setting.start_nodes()?;
    setting.wait_until_ready().await?;
    tokio::time::sleep(LEAD).await;
    let duties = store.keys("shallottide/stewards/").len();
    record.say(&format!(
        "zones whose groups a node controls: {duties} of {}",
        ZONES.len()
    ));
    let is_over = Arc::new(AtomicBool::new(false));
    let begin = Instant::now();
    setting.send_steadily(RATE, "sound", &is_over, |number| Call {
        path: format!("/explain/{number}"),
        body: format!("explain deviation {number}").into(),
        deadline: Duration::from_secs(6),
        model: Some("daka510000"),
        prefix: Some(format!(
            "5c1e07a2:800,91bd3f06:410,{:08x}:250",
            number + 0x1000_0000
        )),
        ..Call::default()
    });
    tokio::time::sleep(TRAFFIC).await;
    is_over.store(true, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_secs(7)).await;
    setting.say_outcomes("in 40 s", begin, Instant::now());
    let outcomes = setting.outcomes.lock().expect("no panic while locked");
    let is_served = |outcome: &Outcome| matches!(outcome, Outcome::Answer { status: 200, .. });
    let served = outcomes
        .iter()
        .filter(|(_, _, outcome)| is_served(outcome))
        .count();
    record.say(&format!(
        "{served} of {} requests were served",
        outcomes.len()
    ));
    if outcomes.is_empty() {
        return Err(CannotRun("no request was sent".into()));
    }
    Ok(served > 0)
}
