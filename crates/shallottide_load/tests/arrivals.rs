//! Planned calls: seeded, at the rate, spread over kinds and entry VMs.

use std::collections::BTreeSet;
use std::time::Duration;

use shallottide_load::{Arrivals, CallKind, LoadOptions, OptionsError, ServiceTarget, run};
use shallottide_types::cases;

fn options() -> LoadOptions {
    let target = |port: u16| ([127, 0, 0, 1], port).into();
    LoadOptions {
        targets: vec![target(1), target(2)],
        rate: 100.0,
        duration: Duration::from_secs(100),
        service: Some(ServiceTarget {
            path: "/services/s/p".into(),
            percent: 20,
            repeat_percent: 50,
        }),
        ..LoadOptions::default()
    }
}

#[test]
fn same_seed_plans_the_same_calls() {
    let mut options = options();
    let plan = |options: &LoadOptions| Arrivals::new(options).collect::<Vec<_>>();
    let first = plan(&options);
    assert_eq!(plan(&options), first);
    options.seed += 1;
    assert_ne!(plan(&options), first);
}

#[test]
fn calls_come_at_the_rate_and_in_the_mix() {
    let options = options();
    let calls: Vec<_> = Arrivals::new(&options).collect();
    assert!((9_500..10_500).contains(&calls.len()), "{}", calls.len());
    assert!(calls.is_sorted_by_key(|call| call.arrival));
    let repeats = calls.iter().filter_map(|call| match &call.kind {
        CallKind::Service { repeat_through, .. } => Some((call.target, *repeat_through)),
        CallKind::Completion { .. } => None,
    });
    let repeats: Vec<_> = repeats.collect();
    assert!((1_800..2_200).contains(&repeats.len()), "{}", repeats.len());
    let again = repeats
        .iter()
        .filter_map(|(t, again)| again.map(|a| (t, a)));
    let again: Vec<_> = again.collect();
    assert!((850..1_150).contains(&again.len()), "{}", again.len());
    assert!(again.iter().all(|(target, again)| *target != again));
}

#[test]
fn prompts_share_as_many_beginnings_as_asked() {
    let options = LoadOptions {
        prefixes: 3,
        service: None,
        ..options()
    };
    let beginnings = Arrivals::new(&options).map(|call| match call.kind {
        CallKind::Completion { prompt } => prompt[..64].to_owned(),
        CallKind::Service { key, .. } => key,
    });
    assert_eq!(beginnings.collect::<BTreeSet<_>>().len(), 3);
}

#[test]
fn every_call_has_its_own_prompt_or_key() {
    let options = options();
    let own = Arrivals::new(&options).map(|call| match call.kind {
        CallKind::Completion { prompt } => prompt,
        CallKind::Service { key, .. } => key,
    });
    let own: Vec<_> = own.collect();
    assert_eq!(own.iter().collect::<BTreeSet<_>>().len(), own.len());
}

fn check_options(change: fn(&mut LoadOptions), expected: OptionsError) {
    let mut options = options();
    change(&mut options);
    assert_eq!(run(&options), Err(expected));
}

cases! {
    check_options;
    no_target: |o| o.targets.clear(), OptionsError::NoTarget;
    zero_rate: |o| o.rate = 0.0, OptionsError::Rate;
    endless_rate: |o| o.rate = f64::INFINITY, OptionsError::Rate;
    nothing_in_flight: |o| o.max_in_flight = 0, OptionsError::InFlight;
    percent_too_high: |o| o.service.as_mut().unwrap().percent = 101, OptionsError::Percent;
}
