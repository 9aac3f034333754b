//! Takes control messages and calls from peers.

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
use super::proof::{Proof, ProofError, Prover};
use crate::connection_gate::ConnectionGate;
use crate::kernel::{KernelHandle, Name, names};
use crate::message::{CallArrived, PeerReceived};
use crate::peer_codec::{CodecError, MAX_MESSAGE_BYTES, decode, encode_frame};
use crate::replies::{DisconnectGuard, ReplyRouter};
use crate::telemetry::{CallSpan, Metrics};

/// Longest wait for a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Calls and messages that one peer may have open here.
const MAX_STREAMS: u32 = 4_096;

/// Bytes that may be on their way on one stream and on one connection.
const WINDOW_BYTES: u32 = 1 << 20;

/// Why a request from a peer was refused.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error(transparent)]
    Proof(#[from] ProofError),
    #[error(transparent)]
    Codec(#[from] CodecError),
    #[error("body can't be read: {0}")]
    Body(#[from] h2::Error),
    #[error("body came too slowly")]
    Slow,
    #[error("path {0:?} is not served")]
    Path(String),
}

impl RequestError {
    fn status(&self) -> StatusCode {
        match self {
            Self::Proof(_) => StatusCode::UNAUTHORIZED,
            Self::Path(_) => StatusCode::NOT_FOUND,
            Self::Codec(_) | Self::Body(_) | Self::Slow => StatusCode::BAD_REQUEST,
        }
    }
}

/// What is needed to serve peers.
#[derive(Clone)]
pub(super) struct Incoming {
    /// This node's own peer address, which the peers' proofs name.
    pub(super) address: SocketAddr,
    pub(super) prover: Prover,
    pub(super) kernel: KernelHandle,
    pub(super) desk: ReplyRouter,
    pub(super) gate: ConnectionGate,
    pub(super) metrics: Metrics,
    pub(super) traffic: Arc<PeerTraffic>,
}

impl Incoming {
    /// Serves one connection until it ends.
    pub(super) async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let handshake = h2::server::Builder::new()
            .max_concurrent_streams(MAX_STREAMS)
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .handshake(CountedStream::new(stream, self.traffic.clone()));
        let Ok(Ok(mut connection)) = timeout(BODY_TIMEOUT, handshake).await else {
            return;
        };
        let mut closing = false;
        loop {
            let accepted = tokio::select! {
                accepted = connection.accept() => accepted,
                () = self.gate.wait_closed(), if !closing => {
                    // Streams that are open still end; the peer starts no new ones.
                    connection.graceful_shutdown();
                    closing = true;
                    continue;
                }
            };
            let Some(Ok((request, respond))) = accepted else {
                return;
            };
            let incoming = self.clone();
            tokio::spawn(async move { incoming.request(request, respond).await });
        }
    }

    async fn request(&self, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        if let Err(e) = self.answer(request, &mut respond).await {
            tracing::warn!(error = %e, "peer request refused");
            let mut response = Response::new(());
            *response.status_mut() = e.status();
            let _ = respond.send_response(response, true);
        }
    }

    async fn answer(
        &self,
        request: Request<RecvStream>,
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), RequestError> {
        let (parts, body) = request.into_parts();
        let proof = Proof::from_headers(&parts.headers)?;
        let body = timeout(BODY_TIMEOUT, read_body(body));
        let body = body.await.map_err(|_| RequestError::Slow)??;
        self.prover.verify(&proof, self.address, &body)?;
        match parts.uri.path() {
            "/control" => self.control(&proof, &body, respond),
            "/call" => self.call(&proof, &body, respond).await,
            path => Err(RequestError::Path(path.into())),
        }
    }

    fn control(
        &self,
        proof: &Proof,
        body: &[u8],
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), RequestError> {
        let msg: PeerMsg = decode(body)?;
        self.traffic.control_received();
        let received = PeerReceived {
            from: proof.sender.clone(),
            msg,
        };
        self.kernel.send(receiver(&received.msg), received);
        respond.send_response(self.accepted(proof), true)?;
        Ok(())
    }

    async fn call(
        &self,
        proof: &Proof,
        body: &[u8],
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), RequestError> {
        let mut call: ForwardedCall = decode(body)?;
        self.prover.take_once(proof)?;
        self.traffic.call_received();
        let stream = respond.send_response(self.accepted(proof), false)?;
        let span = CallSpan::start("peer", &call.head.id, call.head.trace, &self.metrics);
        call.head.trace = span.trace();
        let (guard, events) = self.desk.register();
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

    /// Builds the response that proves this node to the peer.
    fn accepted(&self, request: &Proof) -> Response<()> {
        let proof = self.prover.sign(self.address, request.tag.as_bytes());
        let mut builder = Response::builder();
        for (name, value) in proof.headers() {
            builder = builder.header(name, value);
        }
        builder
            .body(())
            .expect("an id, a number and hex are valid headers")
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

/// Sends an answer's events until it ends or the peer resets the stream.
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

/// Returns the service that a control message is for.
fn receiver(msg: &PeerMsg) -> Name {
    match msg {
        PeerMsg::Heartbeat(_) => names::MEMBERS,
        PeerMsg::Records(_) | PeerMsg::RecordsRequest { .. } | PeerMsg::RecordsSince(_) => {
            names::CONFIG
        }
        PeerMsg::Placement(_) | PeerMsg::Reports(_) | PeerMsg::Vms(_) => names::GROUPS,
        PeerMsg::Claim(_) | PeerMsg::Claimed { .. } | PeerMsg::ClaimEnded(_) => names::CLAIMS,
    }
}
