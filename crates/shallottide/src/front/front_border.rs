//! Accepts callers' connections and hands answers' events to them.

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

/// What the border needs to know of its node.
#[derive(Clone)]
pub struct FrontOptions {
    /// The node, part of each call's id.
    pub node: NodeId,
    /// The node's start, part of each call's id.
    pub incarnation: Incarnation,
    /// Bounds on callers.
    pub limits: Limits,
    /// Where calls are counted.
    pub metrics: Metrics,
}

/// State shared by all connections.
pub(super) struct Front {
    pub(super) options: FrontOptions,
    pub(super) kernel: KernelHandle,
    pub(super) desk: ReplyRouter,
    pub(super) ready: Readiness,
    gate: ConnectionGate,
    next: AtomicU64,
}

impl Front {
    /// Makes an id unique over all entry VMs and their restarts.
    pub(super) fn next_call_id(&self) -> CallId {
        let FrontOptions {
            node, incarnation, ..
        } = &self.options;
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{node}.{incarnation}.{number}")
            .parse()
            .expect("settings keep node ids short enough for two numbers behind them")
    }
}

/// The border towards callers; a cheap cloneable handle.
#[derive(Clone)]
pub struct FrontBorder {
    front: Arc<Front>,
}

impl FrontBorder {
    /// Creates the border. It answers for `ready` at `/readyz`.
    #[must_use]
    pub fn new(
        options: FrontOptions,
        kernel: KernelHandle,
        ready: Readiness,
        gate: ConnectionGate,
    ) -> Self {
        Self {
            front: Arc::new(Front {
                options,
                desk: ReplyRouter::new(kernel.clone(), ReplyTo::Front),
                kernel,
                ready,
                gate,
                next: AtomicU64::new(1),
            }),
        }
    }

    /// Takes a message from the kernel without blocking.
    pub fn send(&self, message: Message) {
        if let Message::Reply(reply) = message
            && let ReplyTo::Front(number) = reply.reply_to
        {
            self.front.desk.deliver(number, reply.event);
        }
    }

    /// Accepts connections until the gate closes; connections that are open then end their
    /// answers.
    ///
    /// # Errors
    /// Those of taking over the listener.
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
