//! The engine adapter: sends orders to engines and polls their reports over HTTP.

use std::time::{Duration, Instant};

use shallottide_types::engine::{EngineReport, Order};
use shallottide_types::id::FencingToken;
use ureq::Agent;

use crate::kernel::{KernelHandle, names};
use crate::message::{
    EngineOrder, EngineOrderResult, EnginePoll, EnginePollResult, Message, OrderError,
};
use crate::worker_pool::WorkerPool;

/// Worker threads for requests to engines.
const WORKER_THREADS: usize = 4;

/// Longest time of one request to an engine.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Adapter to the engines' control interface. Clones share the worker threads.
#[derive(Clone)]
pub struct EngineAdapter {
    kernel: KernelHandle,
    agent: Agent,
    workers: WorkerPool,
}

/// Body of an engine's 409 answer to an order with an outdated fencing token.
#[derive(serde::Deserialize)]
struct StaleTokenAnswer {
    /// Highest fencing token that the engine has seen.
    seen: FencingToken,
}

impl EngineAdapter {
    /// Creates the adapter, which reports to the kernel's `groups` service.
    ///
    /// # Errors
    /// Fails when a worker thread can't be started.
    pub fn new(kernel: KernelHandle) -> std::io::Result<Self> {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_global(Some(REQUEST_TIMEOUT))
            .build();
        Ok(Self {
            kernel,
            agent: Agent::new_with_config(config),
            workers: WorkerPool::new("engines", WORKER_THREADS)?,
        })
    }

    /// Handles a message from the kernel without blocking.
    pub fn send(&self, message: Message) {
        let adapter = self.clone();
        match message {
            Message::EngineOrder(order) => self.workers.run(move || adapter.send_order(order)),
            Message::EnginePoll(poll) => self.workers.run(move || adapter.poll(poll)),
            _ => {}
        }
    }

    fn send_order(&self, request: EngineOrder) {
        let EngineOrder { vm, order, .. } = request;
        let fencing_token = order.fencing_token;
        // The lease may have expired while the order waited for a thread or the process was paused.
        let result = if Instant::now() < request.valid_until {
            self.post(&format!("http://{}/orders", request.address), &order)
        } else {
            Err(OrderError::NoAnswer(
                "the lease that authorizes the order expired".into(),
            ))
        };
        tracing::info!(%vm, fence = %fencing_token, ok = result.is_ok(), "engine order");
        let done = EngineOrderResult {
            vm,
            fencing_token,
            result,
        };
        self.kernel.send(names::GROUPS, done);
    }

    fn post(&self, url: &str, order: &Order) -> Result<(), OrderError> {
        let no_answer = |e: ureq::Error| OrderError::NoAnswer(e.to_string());
        let mut response = self.agent.post(url).send_json(order).map_err(no_answer)?;
        match response.status().as_u16() {
            200..=299 => Ok(()),
            409 => {
                let stale: StaleTokenAnswer = response.body_mut().read_json().map_err(no_answer)?;
                Err(OrderError::Stale { seen: stale.seen })
            }
            status => Err(OrderError::NoAnswer(format!("status {status}"))),
        }
    }

    fn poll(&self, EnginePoll { vm, address }: EnginePoll) {
        let result = self.get_report(&format!("http://{address}/report"));
        let result = result.map_err(|e| e.to_string());
        self.kernel
            .send(names::GROUPS, EnginePollResult { vm, result });
    }

    fn get_report(&self, url: &str) -> Result<EngineReport, ureq::Error> {
        self.agent.get(url).call()?.body_mut().read_json()
    }
}
