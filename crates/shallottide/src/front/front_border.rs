//! Accepts callers' connections and hands answers' events to them.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use shallottide_types::id::{CallId, Incarnation, NodeId};
use tokio::net::{TcpListener, TcpStream};

use super::connection::serve;
use super::stall_guard::StallGuard;
use crate::connection_gate::ConnectionGate;
use crate::kernel::KernelHandle;
use crate::message::{Message, ReplyTo};
use crate::replies::ReplyDesk;
use crate::settings::Limits;
use crate::telemetry::Metrics;

/// Wait after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
    pub(super) desk: ReplyDesk,
    pub(super) ready: Arc<AtomicBool>,
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
    /// Creates the border. Its readiness answers 200 while `ready` is set.
    #[must_use]
    pub fn new(
        options: FrontOptions,
        kernel: KernelHandle,
        ready: Arc<AtomicBool>,
        gate: ConnectionGate,
    ) -> Self {
        Self {
            front: Arc::new(Front {
                options,
                desk: ReplyDesk::new(kernel.clone(), ReplyTo::Front),
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
        let listener = TcpListener::from_std(listener)?;
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.front.gate.wait_closed() => return Ok(()),
            };
            match accepted {
                Ok((stream, _)) => self.admit(stream),
                Err(e) => {
                    tracing::warn!(error = %e, "accept failed");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn admit(&self, stream: TcpStream) {
        // Without room the connection is closed at once, which the balancer sees.
        let Some(pass) = self.front.gate.enter() else {
            tracing::warn!("connection closed: limits.connections reached");
            return;
        };
        let front = self.front.clone();
        tokio::spawn(async move {
            serve_connection(front, stream).await;
            drop(pass);
        });
    }

    /// Binds a listener that tokio can take over.
    ///
    /// # Errors
    /// Those of binding the address.
    pub fn bind(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    }
}

async fn serve_connection(front: Arc<Front>, stream: TcpStream) {
    let limits = front.options.limits.clone();
    // Tokens must not wait for a fuller packet.
    let _ = stream.set_nodelay(true);
    let header_bytes = usize::try_from(limits.header_size.0).unwrap_or(usize::MAX);
    let io = TokioIo::new(StallGuard::new(stream, limits.write_timeout));
    let gate = front.gate.clone();
    let service = service_fn(move |request| serve(front.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(header_bytes)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = gate.wait_closed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = served {
        tracing::debug!(error = %e, "connection ended");
    }
}
