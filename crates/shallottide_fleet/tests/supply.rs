//! Supply follows demand in the two deployments with heavy load: waves of demand, a model of large
//! groups beside one of small groups, and engines that fail all the time.

mod support;

use std::collections::BTreeMap;
use std::f64::consts::TAU;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use shallottide_fleet::groups::{Demand, MAX_REPORTED_MODELS, RECENT_DEMAND_VERSION};
use shallottide_types::cases;
use shallottide_types::id::ModelId;
use support::id;

/// Time until a group that is planned now serves, if the weights are staged.
const LEAD: Duration = Duration::from_secs(2);

/// Requests per second of the large and the small model, by time in seconds.
#[derive(Clone, Copy)]
struct Waves {
    rates: (f64, f64),
    period: f64,
    amplitude: f64,
}

impl Waves {
    fn rates_at(&self, seconds: f64) -> (f64, f64) {
        let swing = self.amplitude * (TAU * seconds / self.period).sin();
        (self.rates.0 * (1.0 + swing), self.rates.1 * (1.0 - swing))
    }
}

fn share(work: &BTreeMap<ModelId, Duration>) -> f64 {
    let of = |model: &str| work.get(&id(model)).map_or(0.0, Duration::as_secs_f64);
    of("large") / (of("large") + of("small"))
}

/// Root mean square error of the large model's share, as the 10 s mean and the forecast have it,
/// against the real one when a group that is planned now begins to serve.
fn share_errors(nodes: usize, waves: Waves, sends_recent: bool, seed: u64) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut all: Vec<Demand> = vec![Demand::default(); nodes];
    let (mut of_mean, mut of_forecast, mut count) = (0.0, 0.0, 0.0);
    let step = 0.2;
    for number in 0..300_u32 {
        let seconds = f64::from(number) * step;
        let now = start + Duration::from_secs_f64(seconds);
        let rates = waves.rates_at(seconds);
        for (model, rate) in [("large", rates.0), ("small", rates.1)] {
            let mut time = rng.random_range(0.0..1.0_f64).ln() / -rate;
            while time < step {
                let node = rng.random_range(0..nodes);
                let work = Duration::from_secs_f64(rng.random_range(0.01..0.05));
                all[node].record_request(&id(model), work, now);
                time -= rng.random_range(f64::EPSILON..1.0_f64).ln() / rate;
            }
        }
        for peer in 1..nodes {
            if (0..nodes)
                .filter(|n| *n != peer)
                .sample(&mut rng, 8)
                .contains(&0)
            {
                let name = id(&format!("n{peer}"));
                if sends_recent {
                    let recent = all[peer].recent_report(&name, now);
                    all[0].merge(recent, now);
                }
                let report = all[peer].report(now);
                all[0].record_peer_report(name, report, now);
            }
        }
        let forecast = all[0].forecast(LEAD, now);
        if seconds > 20.0 {
            let mean = all[0].by_model(now).expect("enough requests");
            let real = waves.rates_at(seconds + LEAD.as_secs_f64());
            let real = real.0 / (real.0 + real.1);
            of_mean += (share(&mean) - real).powi(2);
            of_forecast += (share(&forecast.expect("enough requests")) - real).powi(2);
            count += 1.0;
        }
    }
    ((of_mean / count).sqrt(), (of_forecast / count).sqrt())
}

/// Compares root mean square errors over seeds: the forecast's may be at most `most` of the mean's.
fn the_forecast_is_nearer_than_the_mean(nodes: usize, waves: Waves, sends_recent: bool, most: f64) {
    let errors = (0..4).map(|seed| share_errors(nodes, waves, sends_recent, seed));
    let sum = errors.reduce(|a, b| (a.0 + b.0, a.1 + b.1));
    let (mean, forecast) = sum.expect("some seeds");
    println!("mean {:.4}, forecast {:.4}", mean / 4.0, forecast / 4.0);
    assert!(forecast <= mean * most, "{forecast} against {mean}");
}

const TRAKIYA: Waves = Waves {
    rates: (66.0, 252.0),
    period: 13.0,
    amplitude: 0.55,
};
const STALWART: Waves = Waves {
    rates: (53.5, 347.0),
    period: 11.0,
    amplitude: 0.2,
};

// Guards against planning for the previous half of a wave, and for a wave that is none.
cases! {
    the_forecast_is_nearer_than_the_mean;
    waves_of_trakiya_by_sums_alone: 32, TRAKIYA, false, 0.75;
    waves_of_trakiya: 32, TRAKIYA, true, 0.35;
    waves_of_stalwart_by_sums_alone: 80, STALWART, false, 1.02;
    waves_of_stalwart: 80, STALWART, true, 0.75;
    steady_demand_by_sums_alone: 80, Waves { amplitude: 0.0, ..STALWART }, false, 1.02;
    steady_demand: 80, Waves { amplitude: 0.0, ..STALWART }, true, 1.02;
}

/// Calls of the large model find no room, at this node or a peer: their share of the supply must
/// rise. Guards against counting only the calls that were served, and against endless growth.
#[test]
fn refused_calls_raise_the_demand_of_their_model_at_most_twofold() {
    let now = Instant::now();
    let work = Duration::from_millis(20);
    let (mut own, mut peer) = (Demand::default(), Demand::default());
    for demand in [&mut own, &mut peer] {
        for _ in 0..100 {
            demand.record_request(&id("large"), work, now);
            demand.record_request(&id("small"), work, now);
        }
    }
    for _ in 0..80 {
        peer.record_refused(&id("large"), work, now);
    }
    let even = own.forecast(LEAD, now).expect("enough requests");
    assert!((share(&even) - 0.5).abs() < 1e-9);
    own.merge(peer.recent_report(&id("n1"), now), now);
    let raised = own.forecast(LEAD, now).expect("enough requests");
    // 80 of the 200 known calls of the large model were refused.
    assert!((share(&raised) - 1.4 / 2.4).abs() < 1e-9);
    for _ in 0..900 {
        own.record_refused(&id("large"), work, now);
    }
    let raised = own.forecast(LEAD, now).expect("enough requests");
    assert!((share(&raised) - 2.0 / 3.0).abs() < 1e-9);
    let later = now + Duration::from_secs(4);
    let after = own.forecast(LEAD, later).expect("enough requests");
    assert!((share(&after) - 0.5).abs() < 1e-9, "refusals are forgotten");
}

/// Many models are asked for: a datagram of more than 1,400 bytes would be dropped on the way.
#[test]
fn a_report_of_many_models_fits_into_a_datagram() {
    let now = Instant::now();
    let mut demand = Demand::default();
    for number in 0..60_u32 {
        let model = id(&format!("a-model-with-a-long-name-{number:03}"));
        demand.record_request(&model, Duration::from_millis(number.into()), now);
        demand.record_refused(&model, Duration::from_millis(number.into()), now);
    }
    let report = demand.recent_report(&id("node-with-a-long-name"), now);
    assert_eq!(report.requested.len(), MAX_REPORTED_MODELS);
    assert!(
        report
            .requested
            .contains_key(&id("a-model-with-a-long-name-059"))
    );
    let bytes = bincode::serde::encode_to_vec(&report, bincode::config::standard());
    let bytes = bytes.expect("encodes");
    assert_eq!(bytes[0], RECENT_DEMAND_VERSION);
    assert!(bytes.len() <= 1_400, "{} bytes", bytes.len());
}
