//! Listening sockets of borders.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

use crate::connection_gate::{ConnectionGate, ConnectionPermit};

/// Wait after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Binds a listener that tokio can take over.
///
/// # Errors
/// Those of binding the address.
pub fn bind(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Accepts connections until the gate closes, and hands each on with its pass.
///
/// # Errors
/// Those of taking over the listener.
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
            // Without room the connection is closed at once, which a balancer sees.
            Ok((stream, _)) => {
                if let Some(pass) = gate.try_acquire() {
                    serve(stream, pass);
                } else {
                    tracing::warn!("connection closed: as many are open as allowed");
                }
            }
            Err(e) => {
                tracing::warn!(error = %e, "accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
