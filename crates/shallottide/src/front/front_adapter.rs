//! Accepts callers' connections and routes reply events to them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use shallottide_types::id::{CallId, Incarnation, NodeId};

use super::connection::serve;
use crate::connection_gate::ConnectionGate;
use crate::http_server::{HttpLimits, HttpServer};
use crate::kernel::KernelHandle;
use crate::message::{Message, ReplyTo};
use crate::readiness::Readiness;
use crate::replies::ReplyRouter;
use crate::settings::Limits;
use crate::telemetry::Metrics;

/// Settings of the front adapter.
#[derive(Clone)]
pub struct FrontOptions {
    /// This node; part of each call id.
    pub node: NodeId,
    /// Incarnation of this node; part of each call id, so that ids stay unique over restarts.
    pub incarnation: Incarnation,
    /// Limits on connections, request sizes and times.
    pub limits: Limits,
    /// Counts and times the calls.
    pub metrics: Metrics,
}

/// State shared by all connections.
pub(super) struct SharedState {
    pub(super) options: FrontOptions,
    pub(super) kernel: KernelHandle,
    pub(super) reply_router: ReplyRouter,
    pub(super) ready: Readiness,
    gate: ConnectionGate,
    next_call_number: AtomicU64,
}

impl SharedState {
    /// Returns an id that is unique across all entry VMs and their restarts.
    pub(super) fn next_call_id(&self) -> CallId {
        let FrontOptions {
            node, incarnation, ..
        } = &self.options;
        let number = self.next_call_number.fetch_add(1, Ordering::Relaxed);
        format!("{node}.{incarnation}.{number}")
            .parse()
            .expect("settings limit node ids so that two numbers fit behind them")
    }
}

/// Adapter to callers. Clones are cheap and share their state.
#[derive(Clone)]
pub struct FrontAdapter {
    front: Arc<SharedState>,
}

impl FrontAdapter {
    /// Creates the adapter. `/readyz` reports `ready`; `gate` limits open connections.
    #[must_use]
    pub fn new(
        options: FrontOptions,
        kernel: KernelHandle,
        ready: Readiness,
        gate: ConnectionGate,
    ) -> Self {
        Self {
            front: Arc::new(SharedState {
                options,
                reply_router: ReplyRouter::new(kernel.clone(), ReplyTo::Front),
                kernel,
                ready,
                gate,
                next_call_number: AtomicU64::new(1),
            }),
        }
    }

    /// Handles a message from the kernel without blocking.
    pub fn send(&self, message: Message) {
        if let Message::Reply(reply) = message
            && let ReplyTo::Front(number) = reply.reply_to
        {
            self.front.reply_router.deliver(number, reply.event);
        }
    }

    /// Accepts connections until the gate closes. Connections still open then finish the
    /// answers in progress.
    ///
    /// # Errors
    /// Fails when the listener can't be registered with the runtime.
    pub async fn serve(self, listener: std::net::TcpListener) -> std::io::Result<()> {
        let limits = &self.front.options.limits;
        let server = HttpServer {
            limits: HttpLimits {
                header_timeout: limits.header_timeout,
                header_bytes: usize::try_from(limits.header_size.0).unwrap_or(usize::MAX),
                write_timeout: limits.write_timeout,
            },
            gate: self.front.gate.clone(),
        };
        let front = self.front;
        let service = move |request| serve(front.clone(), request);
        server.serve(listener, service).await
    }
}
