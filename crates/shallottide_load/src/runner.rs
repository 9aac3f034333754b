//! Runs a load: sends all planned calls and collects the outcomes.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Instant;

use crate::arrivals::Arrivals;
use crate::call_plan::{CallKind, CallPlan};
use crate::caller::Caller;
use crate::load_options::{LoadOptions, OptionsError};
use crate::outcome::{Outcome, Timing};
use crate::recorder::Recorder;
use crate::report::Report;
use crate::run_check::check_runs;
use crate::target_health::TargetHealth;

/// Stack size of a thread that sends calls.
const STACK_BYTES: usize = 256 * 1024;

/// Sends all calls of a run, waits for the answers and returns the report.
///
/// # Errors
/// [`OptionsError`] if an option is invalid.
///
/// # Panics
/// If the system can't start a thread for each of `max_in_flight` calls.
pub fn run(options: &LoadOptions) -> Result<Report, OptionsError> {
    options.check()?;
    let runner = Runner {
        options,
        caller: Caller::new(options),
        health: TargetHealth::new(&options.targets),
        start: Instant::now(),
        queue: Mutex::default(),
        changed: Condvar::new(),
        recorder: Mutex::default(),
    };
    thread::scope(|scope| {
        for _ in 0..options.max_in_flight {
            thread::Builder::new()
                .stack_size(STACK_BYTES)
                .spawn_scoped(scope, || runner.run_worker())
                .expect("the system can start a thread for each call in flight");
        }
        if options.health_checks {
            for target in &options.targets {
                scope.spawn(|| runner.health.run_checks(*target));
            }
        }
        runner.enqueue_arrivals();
        runner.drain_queue();
        runner.health.stop();
    });
    let mut recorder = runner.recorder();
    check_runs(options, &mut recorder);
    Ok(recorder.report())
}

struct Runner<'a> {
    options: &'a LoadOptions,
    caller: Caller<'a>,
    health: TargetHealth,
    start: Instant,
    queue: Mutex<Queue>,
    changed: Condvar,
    recorder: Mutex<Recorder>,
}

/// Calls that have arrived and wait for a worker thread, and the number in flight.
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

    /// Queues each call at its planned arrival, regardless of the outcomes of earlier calls.
    fn enqueue_arrivals(&self) {
        for plan in Arrivals::new(self.options) {
            let arrival = self.start + plan.arrival;
            thread::sleep(arrival.saturating_duration_since(Instant::now()));
            let mut queue = self.queue();
            let pending = queue.in_flight + queue.waiting.len();
            let waits = pending >= self.options.max_in_flight;
            self.recorder().record_arrival(&plan, waits);
            queue.waiting.push_back(plan);
            drop(queue);
            self.changed.notify_one();
        }
    }

    /// Closes the queue and waits until it is empty, for at most the call timeout. Calls still queued
    /// then are counted as not sent.
    fn drain_queue(&self) {
        let timeout = self.options.timeout;
        let mut queue = self.queue();
        queue.closed = true;
        self.changed.notify_all();
        let has_waiting = |queue: &mut Queue| !queue.waiting.is_empty();
        let waited = self.changed.wait_timeout_while(queue, timeout, has_waiting);
        let mut queue = waited.expect("no holder panics").0;
        let not_sent = queue.waiting.drain(..).count();
        self.recorder().record_not_sent(not_sent as u64);
    }

    fn run_worker(&self) {
        while let Some(mut plan) = self.next_call() {
            plan.target = self.health.select_target(plan.target);
            self.run_call(&plan);
            self.queue().in_flight -= 1;
        }
    }

    /// Waits for the next queued call; returns `None` once the queue is closed and empty.
    fn next_call(&self) -> Option<CallPlan> {
        let queue = self.queue();
        let is_idle = |queue: &mut Queue| queue.waiting.is_empty() && !queue.closed;
        let waited = self.changed.wait_while(queue, is_idle);
        let mut queue = waited.expect("no holder panics");
        let plan = queue.waiting.pop_front()?;
        queue.in_flight += 1;
        if queue.closed {
            self.changed.notify_all();
        }
        Some(plan)
    }

    fn run_call(&self, plan: &CallPlan) {
        let arrival = self.start + plan.arrival;
        match &plan.kind {
            CallKind::Completion { prompt } => {
                let (outcome, timing) = self.caller.complete(plan.target, prompt, arrival);
                self.recorder().record_outcome(plan, &outcome, &timing);
            }
            CallKind::Service {
                key,
                repeat_through,
            } => {
                let (first, timing) = self.call_service(plan, key, arrival);
                self.recorder().record_outcome(plan, &first, &timing);
                if let Some(target) = repeat_through {
                    let repeated = self.repeat_call(self.health.select_target(*target), key);
                    self.recorder().record_repeat(key, &first, &repeated);
                }
            }
        }
    }

    fn call_service(&self, plan: &CallPlan, key: &str, arrival: Instant) -> (Outcome, Timing) {
        let path = self.service_path();
        self.caller.call_service(plan.target, path, key, arrival)
    }

    fn repeat_call(&self, target: std::net::SocketAddr, key: &str) -> Outcome {
        let path = self.service_path();
        let answer = self.caller.call_service(target, path, key, Instant::now());
        answer.0
    }

    fn service_path(&self) -> &str {
        let service = self.options.service.as_ref();
        &service
            .expect("service calls are planned only if a service is set")
            .path
    }
}
