//! The service's HTTP interface.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use serde_json::json;

use super::service_faults::{ServiceControl, ServiceFaults};
use super::service_options::ServiceOptions;
use crate::fault_counter::{OTHER_REQUEST_ID, consume_fault};
use crate::http::{Exchange, Handler, Reply};

/// Handles the service's HTTP requests.
pub(super) struct ServiceHandler {
    options: ServiceOptions,
    faults: Mutex<ServiceFaults>,
    running: AtomicU32,
}

/// How a call that ran is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResponseMode {
    Respond,
    Close,
    StaySilent,
    Truncate,
}

impl ServiceHandler {
    /// Creates a handler.
    pub(super) fn new(options: ServiceOptions) -> Self {
        Self {
            faults: Mutex::new(options.faults.clone()),
            options,
            running: AtomicU32::new(0),
        }
    }

    /// Locks the fault switches.
    pub(super) fn faults(&self) -> MutexGuard<'_, ServiceFaults> {
        self.faults.lock().expect("no holder panics")
    }

    fn call(&self, exchange: Exchange) {
        let delay = Duration::from_millis(self.faults().delay_ms);
        thread::sleep(delay);
        if consume_fault(&mut self.faults().close_before_run) {
            return exchange.close();
        }
        let other_calls = self.running.fetch_add(1, Ordering::SeqCst);
        if other_calls >= self.options.capacity {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return respond_full_service(exchange);
        }
        let reply = self.run(&exchange);
        self.running.fetch_sub(1, Ordering::SeqCst);
        match self.take_response_mode() {
            ResponseMode::Respond => exchange.respond(&reply),
            ResponseMode::Close => exchange.close(),
            ResponseMode::StaySilent => exchange.stay_silent(),
            ResponseMode::Truncate => exchange.respond_truncated(&reply),
        }
    }

    fn run(&self, exchange: &Exchange) -> Reply {
        thread::sleep(self.options.service_time);
        let id = exchange.request_id();
        let key = exchange.header("Idempotency-Key");
        let run = self.options.runs.add(key, &id);
        let body = json!({
            "service": self.options.name,
            "path": exchange.path(),
            "key": key,
            "request_id": id,
            "run": run,
        });
        let is_wrong_id = consume_fault(&mut self.faults().wrong_request_id);
        let response_id = if is_wrong_id {
            OTHER_REQUEST_ID
        } else {
            id.as_str()
        };
        Reply::json(200, &body).header("X-Request-Id", response_id)
    }

    fn take_response_mode(&self) -> ResponseMode {
        let mut faults = self.faults();
        if consume_fault(&mut faults.lose_answers) {
            ResponseMode::Close
        } else if consume_fault(&mut faults.silent) {
            ResponseMode::StaySilent
        } else if consume_fault(&mut faults.cut_answers) {
            ResponseMode::Truncate
        } else {
            ResponseMode::Respond
        }
    }

    fn control(&self, exchange: Exchange) {
        let Some((control, exchange)) = exchange.json::<ServiceControl>() else {
            return;
        };
        if let Some(faults) = control.faults {
            *self.faults() = faults;
        }
        exchange.respond(&Reply::json(200, &true));
    }

    fn report(&self) -> Reply {
        let running = self.running.load(Ordering::SeqCst);
        let capacity = self.options.capacity;
        Reply::json(200, &json!({"running": running, "capacity": capacity}))
    }
}

impl Handler for ServiceHandler {
    fn handle(&self, exchange: Exchange) {
        match (exchange.method(), exchange.path()) {
            ("PUT", "/control") => self.control(exchange),
            ("GET", "/control/runs") => {
                exchange.respond(&Reply::json(200, &self.options.runs.by_key()));
            }
            ("GET", "/control/requests") => {
                exchange.respond(&Reply::json(200, &self.options.runs.by_request()));
            }
            ("GET", "/report") => exchange.respond(&self.report()),
            _ => self.call(exchange),
        }
    }
}

fn respond_full_service(exchange: Exchange) {
    let id = exchange.request_id();
    exchange.respond(&Reply::not_run("service is full: retry later", &id));
}
