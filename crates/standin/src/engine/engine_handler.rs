//! The engine's HTTP interface.

use std::sync::Arc;
use std::thread::Thread;
use std::time::Instant;

use serde_json::json;
use shallottide_types::engine::Order;

use super::completion_request::Interface;
use super::completion_run::{EngineShared, complete};
use super::engine_faults::EngineControl;
use crate::fault_counter::consume_fault;
use crate::http::{Exchange, Handler, Reply};

/// Handles the engine's HTTP requests.
pub(super) struct EngineHandler {
    /// State shared with the runs.
    pub(super) shared: Arc<EngineShared>,
    /// Thread that checks the group members; unparked for an immediate check.
    pub(super) member_check_thread: Thread,
}

impl Handler for EngineHandler {
    fn handle(&self, exchange: Exchange) {
        let path = exchange.path().to_owned();
        match (exchange.method(), path.as_str()) {
            ("POST", "/v1/completions") => self.complete(exchange, Interface::Completion),
            ("POST", "/v1/chat/completions") => self.complete(exchange, Interface::Chat),
            ("POST", "/orders") => self.order(exchange),
            ("POST", "/step") => self.step(exchange),
            ("PUT", "/control") => self.control(exchange),
            ("POST", _) if path.starts_with("/cancel/") => self.cancel(exchange, &path),
            ("GET", _) => self.show(exchange, &path),
            _ => exchange.respond(&Reply::error(404, "no such path")),
        }
    }
}

impl EngineHandler {
    fn complete(&self, exchange: Exchange, interface: Interface) {
        if let Some((request, exchange)) = exchange.json() {
            complete(&self.shared, exchange, request, interface);
        }
    }

    fn order(&self, exchange: Exchange) {
        let Some((order, exchange)) = exchange.json::<Order>() else {
            return;
        };
        let result = self.shared.model().order(&order, Instant::now());
        self.member_check_thread.unpark();
        if consume_fault(&mut self.shared.faults().lose_order_answers) {
            return exchange.close();
        }
        let reply = match result {
            Ok(()) => Reply::json(200, &json!({"fence": order.fencing_token})),
            Err(seen) => Reply::json(409, &json!({"seen": seen})),
        };
        exchange.respond(&reply);
    }

    fn step(&self, exchange: Exchange) {
        let Some((tokens, exchange)) = exchange.json::<u64>() else {
            return;
        };
        self.shared.model().record_shared_tokens(tokens);
        exchange.respond(&Reply::json(200, &true));
    }

    fn cancel(&self, exchange: Exchange, path: &str) {
        let id = path.trim_start_matches("/cancel/");
        let cancelled = self.shared.runs().cancel(id);
        let status = if cancelled { 200 } else { 404 };
        exchange.respond(&Reply::json(status, &json!({"cancelled": cancelled})));
    }

    fn control(&self, exchange: Exchange) {
        let Some((control, exchange)) = exchange.json::<EngineControl>() else {
            return;
        };
        if let Some(faults) = control.faults {
            *self.shared.faults() = faults;
        }
        if control.turn_cold {
            self.shared.model().turn_cold();
        }
        if control.restart {
            self.shared.model().restart();
        }
        exchange.respond(&Reply::json(200, &true));
    }

    fn show(&self, exchange: Exchange, path: &str) {
        let reply = match path {
            "/report" => Reply::json(200, &self.shared.model().report(Instant::now())),
            "/control/runs" => Reply::json(200, self.shared.runs().counts()),
            "/control/cache" => Reply::json(200, &self.shared.model().cache_counts()),
            "/control/overloads" => Reply::json(200, &self.shared.model().overloads()),
            _ => Reply::error(404, "no such path"),
        };
        exchange.respond(&reply);
    }
}
