//! Planned calls follow the seed, the rate and the mix of kinds, and options are validated.

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
fn calls_follow_the_rate_and_the_mix() {
    let options = options();
    let calls: Vec<_> = Arrivals::new(&options).collect();
    assert!((9_500..10_500).contains(&calls.len()), "{}", calls.len());
    assert!(calls.is_sorted_by_key(|call| call.arrival));
    let service_calls = calls.iter().filter_map(|call| match &call.kind {
        CallKind::Service { repeat_through, .. } => Some((call.target, *repeat_through)),
        CallKind::Completion { .. } => None,
    });
    let service_calls: Vec<_> = service_calls.collect();
    assert!(
        (1_800..2_200).contains(&service_calls.len()),
        "{}",
        service_calls.len()
    );
    let repeated = service_calls
        .iter()
        .filter_map(|(target, through)| through.map(|through| (target, through)));
    let repeated: Vec<_> = repeated.collect();
    assert!((850..1_150).contains(&repeated.len()), "{}", repeated.len());
    assert!(repeated.iter().all(|(target, through)| *target != through));
}

#[test]
fn prompts_share_the_requested_number_of_prefixes() {
    let options = LoadOptions {
        prefixes: 3,
        service: None,
        ..options()
    };
    let prefixes = Arrivals::new(&options).map(|call| match call.kind {
        CallKind::Completion { prompt } => prompt[..64].to_owned(),
        CallKind::Service { key, .. } => key,
    });
    assert_eq!(prefixes.collect::<BTreeSet<_>>().len(), 3);
}

#[test]
fn every_call_has_a_unique_prompt_or_key() {
    let options = options();
    let contents = Arrivals::new(&options).map(|call| match call.kind {
        CallKind::Completion { prompt } => prompt,
        CallKind::Service { key, .. } => key,
    });
    let contents: Vec<_> = contents.collect();
    assert_eq!(
        contents.iter().collect::<BTreeSet<_>>().len(),
        contents.len()
    );
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
    infinite_rate: |o| o.rate = f64::INFINITY, OptionsError::Rate;
    zero_in_flight: |o| o.max_in_flight = 0, OptionsError::InFlight;
    percent_too_high: |o| o.service.as_mut().unwrap().percent = 101, OptionsError::Percent;
}
