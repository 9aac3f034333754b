//! The platform adapter: runs calls to the platform's key-value store and VM list.

use std::sync::Arc;
use std::time::Instant;

use shallottide_types::platform::{Platform, PlatformError};

use crate::kernel::KernelHandle;
use crate::message::{Message, PlatformAnswer, PlatformOp, PlatformReply, PlatformRequest};
use crate::telemetry::Metrics;
use crate::worker_pool::WorkerPool;

/// Threads for calls that don't watch: enough that every claims partition that a node writes, and
/// the other services, can each have a call in progress when the platform is slow.
const CALL_THREADS: usize = 12;

/// Threads for watches: a node runs at most one of the records and one of the placement, plus a
/// spare for a new watch that starts before the old one has ended.
const WATCH_THREADS: usize = 3;

/// Adapter to the platform. Clones share the worker threads.
#[derive(Clone)]
pub struct PlatformAdapter {
    kernel: KernelHandle,
    platform: Arc<dyn Platform>,
    metrics: Metrics,
    call_workers: WorkerPool,
    watch_workers: WorkerPool,
}

impl PlatformAdapter {
    /// Creates the adapter. Each result goes to the service that sent the request.
    ///
    /// # Errors
    /// Fails when a worker thread can't be started.
    pub fn new(
        kernel: KernelHandle,
        platform: Arc<dyn Platform>,
        metrics: Metrics,
    ) -> std::io::Result<Self> {
        Ok(Self {
            kernel,
            platform,
            metrics,
            call_workers: WorkerPool::new("platform", CALL_THREADS)?,
            watch_workers: WorkerPool::new("watch", WATCH_THREADS)?,
        })
    }

    /// Handles a message from the kernel without blocking.
    pub fn send(&self, message: Message) {
        let Message::PlatformRequest(request) = message else {
            return;
        };
        let is_watch = matches!(request.op, PlatformOp::List { after: Some(_), .. });
        let pool = if is_watch {
            &self.watch_workers
        } else {
            &self.call_workers
        };
        let adapter = self.clone();
        pool.run(move || adapter.run(request));
    }

    fn run(&self, request: PlatformRequest) {
        let started = Instant::now();
        let operation = operation_name(&request.op);
        let result = self.call(request.op);
        self.metrics
            .record_platform_call(operation, result.is_ok(), started.elapsed());
        if let Err(e) = &result {
            tracing::warn!(error = %e, service = %request.reply_to, "platform call failed");
        }
        let reply = PlatformReply {
            token: request.token,
            result,
        };
        self.kernel.send(request.reply_to, reply);
    }

    fn call(&self, op: PlatformOp) -> Result<PlatformAnswer, PlatformError> {
        let platform = &*self.platform;
        Ok(match op {
            PlatformOp::Get(key) => PlatformAnswer::Entry(platform.get(&key)?),
            PlatformOp::List {
                prefix,
                after,
                wait,
            } => PlatformAnswer::Listing(platform.list(&prefix, after, wait)?),
            PlatformOp::Swap { key, value, expect } => {
                PlatformAnswer::Swap(platform.swap(&key, &value, expect)?)
            }
            PlatformOp::Remove { key, expect } => {
                PlatformAnswer::Swap(platform.remove(&key, expect)?)
            }
            PlatformOp::OpenSession(ttl) => PlatformAnswer::Session(platform.open_session(ttl)?),
            PlatformOp::RenewSession(session) => {
                PlatformAnswer::Done(platform.renew_session(&session)?)
            }
            PlatformOp::Acquire {
                key,
                value,
                session,
            } => PlatformAnswer::Done(platform.acquire(&key, &value, &session)?),
            PlatformOp::Release { key, session } => {
                PlatformAnswer::Done(platform.release(&key, &session)?)
            }
            PlatformOp::Vms(domain) => PlatformAnswer::Vms(platform.vms(&domain)?),
        })
    }
}

/// Returns the name of an operation, a label in metrics.
fn operation_name(op: &PlatformOp) -> &'static str {
    match op {
        PlatformOp::Get(_) => "get",
        PlatformOp::List { after: None, .. } => "list",
        PlatformOp::List { .. } => "watch",
        PlatformOp::Swap { .. } => "swap",
        PlatformOp::Remove { .. } => "remove",
        PlatformOp::OpenSession(_) => "open_session",
        PlatformOp::RenewSession(_) => "renew_session",
        PlatformOp::Acquire { .. } => "acquire",
        PlatformOp::Release { .. } => "release",
        PlatformOp::Vms(_) => "vms",
    }
}
