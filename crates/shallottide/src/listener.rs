//! Listening sockets.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

use crate::connection_gate::{ConnectionGate, ConnectionPermit};

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Binds a non-blocking listener, as tokio requires.
///
/// # Errors
/// If the address can't be bound.
pub fn bind(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Accepts connections until the gate closes, and passes each with its permit to `serve`.
///
/// # Errors
/// If the listener can't be registered with tokio.
pub(crate) async fn accept_until_closed(
    listener: std::net::TcpListener,
    gate: &ConnectionGate,
    serve: impl Fn(TcpStream, ConnectionPermit),
) -> std::io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gate.wait_closed() => return Ok(()),
        };
        match accepted {
            // Above the limit the connection is closed at once, which a load balancer detects.
            Ok((stream, _)) => {
                if let Some(permit) = gate.try_acquire() {
                    serve(stream, permit);
                } else {
                    tracing::warn!("connection closed: connection limit reached");
                }
            }
            Err(e) => {
                tracing::warn!(error = %e, "accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
