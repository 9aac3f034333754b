//! Serves control messages and forwarded calls of peers.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{Request, Response, StatusCode};
use shallottide_types::call::ReplyEvent;
use shallottide_types::peer::{ForwardedCall, PeerMsg};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::PeerTraffic;
use super::counted_stream::CountedStream;
use super::peer_authenticator::{AuthError, AuthHeaders, PeerAuthenticator};
use crate::connection_gate::ConnectionGate;
use crate::kernel::{KernelHandle, Name, names};
use crate::message::{CallArrived, PeerReceived};
use crate::peer_codec::{CodecError, MAX_MESSAGE_BYTES, decode, encode_frame};
use crate::replies::{DisconnectGuard, ReplyRouter};
use crate::telemetry::{CallSpan, Metrics};

/// Longest wait for the HTTP/2 handshake, and for a request's body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Most concurrent requests on one connection.
const MAX_STREAMS: u32 = 4_096;

/// HTTP/2 flow-control window of each stream and of the connection.
const WINDOW_BYTES: u32 = 1 << 20;

/// Why a request from a peer was refused.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error(transparent)]
    Auth(#[from] AuthError),
    #[error(transparent)]
    Codec(#[from] CodecError),
    #[error("failed to read the request body: {0}")]
    Body(#[from] h2::Error),
    #[error("request body did not arrive in time")]
    BodyTimeout,
    #[error("path {0:?} is not served")]
    UnknownPath(String),
}

impl RequestError {
    fn status(&self) -> StatusCode {
        match self {
            Self::Auth(_) => StatusCode::UNAUTHORIZED,
            Self::UnknownPath(_) => StatusCode::NOT_FOUND,
            Self::Codec(_) | Self::Body(_) | Self::BodyTimeout => StatusCode::BAD_REQUEST,
        }
    }
}

/// Serves the connections of peers.
#[derive(Clone)]
pub(super) struct PeerServer {
    /// This node's peer address as its peers know it; the tags of their requests cover it.
    pub(super) address: SocketAddr,
    pub(super) authenticator: PeerAuthenticator,
    pub(super) kernel: KernelHandle,
    pub(super) reply_router: ReplyRouter,
    pub(super) gate: ConnectionGate,
    pub(super) metrics: Metrics,
    pub(super) traffic: Arc<PeerTraffic>,
}

impl PeerServer {
    /// Serves one connection until it ends.
    pub(super) async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let handshake = h2::server::Builder::new()
            .max_concurrent_streams(MAX_STREAMS)
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .handshake(CountedStream::new(stream, self.traffic.clone()));
        let Ok(Ok(mut connection)) = timeout(READ_TIMEOUT, handshake).await else {
            return;
        };
        let mut closing = false;
        loop {
            let accepted = tokio::select! {
                accepted = connection.accept() => accepted,
                () = self.gate.wait_closed(), if !closing => {
                    // Open streams still finish; the peer can't start new ones.
                    connection.graceful_shutdown();
                    closing = true;
                    continue;
                }
            };
            let Some(Ok((request, respond))) = accepted else {
                return;
            };
            let server = self.clone();
            tokio::spawn(async move { server.serve_request(request, respond).await });
        }
    }

    async fn serve_request(&self, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        if let Err(e) = self.handle_request(request, &mut respond).await {
            tracing::warn!(error = %e, "peer request refused");
            let mut response = Response::new(());
            *response.status_mut() = e.status();
            let _ = respond.send_response(response, true);
        }
    }

    async fn handle_request(
        &self,
        request: Request<RecvStream>,
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), RequestError> {
        let (parts, body) = request.into_parts();
        let auth = AuthHeaders::from_headers(&parts.headers)?;
        let body = timeout(READ_TIMEOUT, read_body(body));
        let body = body.await.map_err(|_| RequestError::BodyTimeout)??;
        self.authenticator.verify(&auth, self.address, &body)?;
        match parts.uri.path() {
            "/control" => self.handle_control(&auth, &body, respond),
            "/call" => self.handle_call(&auth, &body, respond).await,
            path => Err(RequestError::UnknownPath(path.into())),
        }
    }

    fn handle_control(
        &self,
        auth: &AuthHeaders,
        body: &[u8],
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), RequestError> {
        let msg: PeerMsg = decode(body)?;
        self.traffic.record_control_received();
        let received = PeerReceived {
            from: auth.sender.clone(),
            msg,
        };
        self.kernel.send(service_for(&received.msg), received);
        respond.send_response(self.accepted_response(auth), true)?;
        Ok(())
    }

    async fn handle_call(
        &self,
        auth: &AuthHeaders,
        body: &[u8],
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), RequestError> {
        let mut call: ForwardedCall = decode(body)?;
        self.authenticator.reject_replay(auth)?;
        self.traffic.record_call_received();
        let stream = respond.send_response(self.accepted_response(auth), false)?;
        let span = CallSpan::start("peer", &call.head.id, call.head.trace, &self.metrics);
        call.head.trace = span.trace();
        let (guard, events) = self.reply_router.register();
        let arrived = CallArrived {
            reply_to: guard.reply_to(),
            head: call.head,
            body: call.body,
            slot: call.slot,
            resume_from: call.resume_from,
        };
        self.kernel.send(names::CALLS, arrived);
        send_events(stream, events, guard, span).await;
        Ok(())
    }

    /// Builds the response to an accepted request, with a tag that authenticates this node.
    fn accepted_response(&self, request: &AuthHeaders) -> Response<()> {
        let auth = self
            .authenticator
            .sign(self.address, request.tag.as_bytes());
        let mut builder = Response::builder();
        for (name, value) in auth.to_headers() {
            builder = builder.header(name, value);
        }
        builder
            .body(())
            .expect("a node id, a number and hex digits are valid header values")
    }
}

async fn read_body(mut body: RecvStream) -> Result<Bytes, RequestError> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk?;
        let _ = body.flow_control().release_capacity(chunk.len());
        bytes.extend_from_slice(&chunk);
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(CodecError::TooLong(bytes.len()).into());
        }
    }
    Ok(bytes.freeze())
}

/// Streams an answer's events until the last one, or until the peer resets the stream.
async fn send_events(
    mut stream: SendStream<Bytes>,
    mut events: mpsc::Receiver<ReplyEvent>,
    mut guard: DisconnectGuard,
    mut span: CallSpan,
) {
    loop {
        let event = tokio::select! {
            event = events.recv() => event,
            _ = poll_fn(|cx| stream.poll_reset(cx)) => return,
        };
        let Some(event) = event else {
            return;
        };
        let last = matches!(event, ReplyEvent::End | ReplyEvent::Fail(_));
        let Ok(frame) = encode_frame(&event) else {
            return;
        };
        if stream.send_data(frame.into(), last).is_err() {
            return;
        }
        if last {
            guard.end();
            match &event {
                ReplyEvent::Fail(refusal) => span.set_outcome(refusal.kind, refusal.to_string()),
                _ => span.set_outcome("complete", ""),
            }
            return;
        }
    }
}

/// Returns the service that handles a control message.
fn service_for(msg: &PeerMsg) -> Name {
    match msg {
        PeerMsg::Heartbeat(_) => names::MEMBERS,
        PeerMsg::Records(_) | PeerMsg::RecordsRequest { .. } | PeerMsg::RecordsSince(_) => {
            names::CONFIG
        }
        PeerMsg::Placement(_) | PeerMsg::Reports(_) | PeerMsg::Vms(_) => names::GROUPS,
        PeerMsg::Claim(_) | PeerMsg::Claimed { .. } | PeerMsg::ClaimEnded(_) => names::CLAIMS,
        PeerMsg::CallLost { .. } | PeerMsg::CallAnswered(_) | PeerMsg::CallRefused { .. } => {
            names::CALLS
        }
    }
}
