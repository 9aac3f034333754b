//! Border: orders to engines and their reports, by HTTP.

use std::time::{Duration, Instant};

use shallottide_types::engine::{EngineReport, Order};
use shallottide_types::id::FencingToken;
use ureq::Agent;

use crate::kernel::{KernelHandle, names};
use crate::message::{
    EngineOrder, EngineOrderResult, EnginePoll, EnginePollResult, Message, OrderError,
};
use crate::worker_pool::WorkerPool;

/// Threads that talk to engines.
const THREADS: usize = 4;

/// Longest wait for an engine's answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The border towards engines' control interface.
#[derive(Clone)]
pub struct EngineBorder {
    kernel: KernelHandle,
    agent: Agent,
    workers: WorkerPool,
}

/// What a fencing engine answers to an old fence.
#[derive(serde::Deserialize)]
struct Stale {
    seen: FencingToken,
}

impl EngineBorder {
    /// Creates the border; it reports to the kernel's `groups` service.
    ///
    /// # Errors
    /// Those of starting threads.
    pub fn new(kernel: KernelHandle) -> std::io::Result<Self> {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_global(Some(TIMEOUT))
            .build();
        Ok(Self {
            kernel,
            agent: Agent::new_with_config(config),
            workers: WorkerPool::new("engines", THREADS)?,
        })
    }

    /// Takes a message from the kernel without blocking.
    pub fn send(&self, message: Message) {
        let border = self.clone();
        match message {
            Message::EngineOrder(order) => self.workers.run(move || border.order(order)),
            Message::EnginePoll(poll) => self.workers.run(move || border.poll(poll)),
            _ => {}
        }
    }

    fn order(&self, wanted: EngineOrder) {
        let EngineOrder { vm, order, .. } = wanted;
        let fence = order.fencing_token;
        // The order may have waited for a thread, or the process may have been paused.
        let result = if Instant::now() < wanted.valid_until {
            self.post(&format!("http://{}/orders", wanted.address), &order)
        } else {
            Err(OrderError::NoAnswer(
                "the lease behind the order lapsed".into(),
            ))
        };
        tracing::info!(%vm, %fence, ok = result.is_ok(), "engine order");
        let done = EngineOrderResult {
            vm,
            fencing_token: fence,
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
                let stale: Stale = response.body_mut().read_json().map_err(no_answer)?;
                Err(OrderError::Stale { seen: stale.seen })
            }
            status => Err(OrderError::NoAnswer(format!("status {status}"))),
        }
    }

    fn poll(&self, EnginePoll { vm, address }: EnginePoll) {
        let result = self.report(&format!("http://{address}/report"));
        let result = result.map_err(|e| e.to_string());
        self.kernel
            .send(names::GROUPS, EnginePollResult { vm, result });
    }

    fn report(&self, url: &str) -> Result<EngineReport, ureq::Error> {
        self.agent.get(url).call()?.body_mut().read_json()
    }
}
