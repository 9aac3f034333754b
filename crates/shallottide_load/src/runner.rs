//! Makes all calls of a run.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Instant;

use crate::arrivals::Arrivals;
use crate::call_plan::{CallKind, CallPlan};
use crate::caller::Caller;
use crate::health::Health;
use crate::load_options::{LoadOptions, OptionsError};
use crate::outcome::{Outcome, Timing};
use crate::recorder::Recorder;
use crate::report::Report;
use crate::run_check::check_runs;

/// Stack of a thread that makes calls.
const STACK_BYTES: usize = 256 * 1024;

/// Makes all calls of a run and waits for their answers.
///
/// # Errors
/// [`OptionsError`] when the options make no sense.
///
/// # Panics
/// If the system has too few threads for the calls in flight.
pub fn run(options: &LoadOptions) -> Result<Report, OptionsError> {
    options.check()?;
    let runner = Runner {
        options,
        caller: Caller::new(options),
        health: Health::new(&options.targets),
        start: Instant::now(),
        queue: Mutex::default(),
        changed: Condvar::new(),
        recorder: Mutex::default(),
    };
    thread::scope(|scope| {
        for _ in 0..options.max_in_flight {
            thread::Builder::new()
                .stack_size(STACK_BYTES)
                .spawn_scoped(scope, || runner.make_calls())
                .expect("the system has threads for the calls in flight");
        }
        if options.health_checks {
            for target in &options.targets {
                scope.spawn(|| runner.health.check(*target));
            }
        }
        runner.feed();
        runner.drain();
        runner.health.end();
    });
    let mut recorder = runner.recorder();
    check_runs(options, &mut recorder);
    Ok(recorder.report())
}

struct Runner<'a> {
    options: &'a LoadOptions,
    caller: Caller<'a>,
    health: Health,
    start: Instant,
    queue: Mutex<Queue>,
    changed: Condvar,
    recorder: Mutex<Recorder>,
}

/// Calls that have arrived and wait for a thread.
#[derive(Default)]
struct Queue {
    waiting: VecDeque<CallPlan>,
    in_flight: usize,
    /// No more calls will arrive.
    closed: bool,
}

impl Runner<'_> {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().expect("no holder panics")
    }

    fn recorder(&self) -> MutexGuard<'_, Recorder> {
        self.recorder.lock().expect("no holder panics")
    }

    /// Lets each call arrive at its time, whatever became of earlier ones.
    fn feed(&self) {
        for plan in Arrivals::new(self.options) {
            let arrival = self.start + plan.arrival;
            thread::sleep(arrival.saturating_duration_since(Instant::now()));
            let mut queue = self.queue();
            let taken = queue.in_flight + queue.waiting.len();
            let waits = taken >= self.options.max_in_flight;
            self.recorder().arrived(&plan, waits);
            queue.waiting.push_back(plan);
            drop(queue);
            self.changed.notify_one();
        }
    }

    /// Waits for calls that wait for a thread, up to the timeout; the rest isn't sent.
    fn drain(&self) {
        let left = self.options.timeout;
        let mut queue = self.queue();
        queue.closed = true;
        self.changed.notify_all();
        let busy = |queue: &mut Queue| !queue.waiting.is_empty();
        let waited = self.changed.wait_timeout_while(queue, left, busy);
        let mut queue = waited.expect("no holder panics").0;
        let not_sent = queue.waiting.drain(..).count();
        self.recorder().not_sent(not_sent as u64);
    }

    fn make_calls(&self) {
        while let Some(mut plan) = self.next_call() {
            plan.target = self.health.choose(plan.target);
            self.make_call(&plan);
            self.queue().in_flight -= 1;
        }
    }

    fn next_call(&self) -> Option<CallPlan> {
        let queue = self.queue();
        let idle = |queue: &mut Queue| queue.waiting.is_empty() && !queue.closed;
        let waited = self.changed.wait_while(queue, idle);
        let mut queue = waited.expect("no holder panics");
        let plan = queue.waiting.pop_front()?;
        queue.in_flight += 1;
        if queue.closed {
            self.changed.notify_all();
        }
        Some(plan)
    }

    fn make_call(&self, plan: &CallPlan) {
        let arrival = self.start + plan.arrival;
        match &plan.kind {
            CallKind::Completion { prompt } => {
                let (outcome, timing) = self.caller.complete(plan.target, prompt, arrival);
                self.recorder().ended(plan, &outcome, &timing);
            }
            CallKind::Service {
                key,
                repeat_through,
            } => {
                let (first, timing) = self.call_service(plan, key, arrival);
                self.recorder().ended(plan, &first, &timing);
                if let Some(target) = repeat_through {
                    let again = self.call_again(self.health.choose(*target), key);
                    self.recorder().repeated(key, &first, &again);
                }
            }
        }
    }

    fn call_service(&self, plan: &CallPlan, key: &str, arrival: Instant) -> (Outcome, Timing) {
        let path = self.service_path();
        self.caller.call_service(plan.target, path, key, arrival)
    }

    fn call_again(&self, target: std::net::SocketAddr, key: &str) -> Outcome {
        let path = self.service_path();
        let again = self.caller.call_service(target, path, key, Instant::now());
        again.0
    }

    fn service_path(&self) -> &str {
        let service = self.options.service.as_ref();
        &service
            .expect("service calls are planned for a service")
            .path
    }
}
