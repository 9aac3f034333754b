//! Sends control messages and forwards calls to peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::{Reason, RecvStream};
use http::{Request, Response, StatusCode};
use shallottide_types::call::ReplyEvent;
use shallottide_types::peer::PeerMsg;
use tokio::time::timeout;

use super::PeerTraffic;
use super::link::Link;
use super::link_pool::LinkPool;
use super::peer_authenticator::{AuthHeaders, PeerAuthenticator};
use crate::message::{AttemptEvent, AttemptFailure, Forward};
use crate::peer_codec::{FrameReader, decode, encode};
use crate::telemetry::Metrics;

/// Longest wait for the response to a control message.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends requests to peers over pooled connections.
pub(super) struct PeerClient {
    pub(super) links: LinkPool,
    pub(super) authenticator: PeerAuthenticator,
    pub(super) metrics: Metrics,
    pub(super) traffic: Arc<PeerTraffic>,
}

impl PeerClient {
    /// Sends a control message, without a retry when it is lost.
    pub(super) async fn send_control(&self, address: SocketAddr, msg: &PeerMsg) {
        let body = Bytes::from(encode(msg));
        let bytes = u64::try_from(body.len()).unwrap_or(u64::MAX);
        self.traffic.record_control_sent(body.len());
        let exchange = async {
            let link = self
                .links
                .live_link(address)
                .await
                .map_err(|e| e.to_string())?;
            let answer = timeout(
                CONTROL_TIMEOUT,
                self.exchange(&link, address, "/control", body),
            );
            let answer = answer.await.map_err(|_| "no answer in time".to_string());
            let answer = answer.and_then(|answer| answer.map_err(|e| format!("{e:?}")));
            if answer.is_err() {
                self.links.remove_link(address, &link).await;
            }
            answer.map(drop)
        };
        let sent: Result<(), String> = exchange.await;
        self.metrics
            .record_control_message(message_kind(msg), bytes, sent.is_ok());
        if let Err(e) = sent {
            tracing::debug!(%address, error = e, "control message lost");
        }
    }

    /// Runs a call on a peer and reports its events, the last of which is `End` or `Failed`.
    pub(super) async fn forward_call(&self, forward: &Forward, report: impl Fn(AttemptEvent)) {
        let result = self.run_call(forward, &report).await;
        report(match result {
            Ok(()) => AttemptEvent::End,
            Err(failure) => AttemptEvent::Failed(failure),
        });
    }

    async fn run_call(
        &self,
        forward: &Forward,
        report: &impl Fn(AttemptEvent),
    ) -> Result<(), AttemptFailure> {
        let address = forward.node.address;
        self.traffic.record_call_sent();
        let link = self.links.live_link(address).await;
        let link = link.map_err(|e| AttemptFailure::NotSent(e.to_string()))?;
        let body = Bytes::from(encode(&forward.call));
        let answer = timeout(
            forward.idle_timeout,
            self.exchange(&link, address, "/call", body),
        );
        let result = match answer.await {
            Ok(Ok(response)) => read_answer(&link, response, forward.idle_timeout, report).await,
            Ok(Err(failure)) => Err(failure),
            Err(_) => Err(idle_timeout_elapsed()),
        };
        if matches!(result, Err(AttemptFailure::Lost(_))) {
            self.links.remove_link(address, &link).await;
        }
        result
    }

    /// Sends one signed request and verifies the response's tag.
    async fn exchange(
        &self,
        link: &Link,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<RecvStream>, AttemptFailure> {
        let auth = self.authenticator.sign(address, &body);
        let request = build_request(address, path, &auth)
            .map_err(|e| AttemptFailure::NotSent(e.to_string()))?;
        let (response, mut stream) = link
            .start(request)
            .await
            .map_err(|e| AttemptFailure::NotSent(e.to_string()))?;
        stream
            .send_data(body, true)
            .map_err(|e| stream_failure(&e))?;
        let response = response.await.map_err(|e| stream_failure(&e))?;
        link.record_received();
        if response.status() != StatusCode::OK {
            let status = response.status();
            let reason = format!("the peer refused the request ({status}): compare peer keys");
            return Err(AttemptFailure::NotRun(reason));
        }
        let response_auth = AuthHeaders::from_headers(response.headers());
        let verified = response_auth.and_then(|response_auth| {
            self.authenticator
                .verify(&response_auth, address, auth.tag.as_bytes())
        });
        verified.map_err(|e| AttemptFailure::Lost(e.to_string()))?;
        Ok(response)
    }
}

/// Returns the kind of a control message, a label in metrics.
fn message_kind(msg: &PeerMsg) -> &'static str {
    match msg {
        PeerMsg::Heartbeat(_) => "heartbeat",
        PeerMsg::Records(_) | PeerMsg::RecordsRequest { .. } | PeerMsg::RecordsSince(_) => {
            "records"
        }
        PeerMsg::Placement(_) => "placement",
        PeerMsg::Reports(_) => "reports",
        PeerMsg::Vms(_) => "vms",
        PeerMsg::Claim(_) | PeerMsg::Claimed { .. } | PeerMsg::ClaimEnded(_) => "claims",
        PeerMsg::CallLost { .. } | PeerMsg::CallAnswered(_) | PeerMsg::CallRefused { .. } => {
            "crash_reports"
        }
    }
}

fn build_request(
    address: SocketAddr,
    path: &str,
    auth: &AuthHeaders,
) -> Result<Request<()>, http::Error> {
    let mut builder = Request::builder()
        .method("POST")
        .uri(format!("http://{address}{path}"));
    for (name, value) in auth.to_headers() {
        builder = builder.header(name, value);
    }
    builder.body(())
}

async fn read_answer(
    link: &Link,
    response: Response<RecvStream>,
    idle_timeout: Duration,
    report: &impl Fn(AttemptEvent),
) -> Result<(), AttemptFailure> {
    let mut body = response.into_body();
    let mut frames = FrameReader::default();
    loop {
        let chunk = timeout(idle_timeout, body.data());
        let chunk = chunk.await.map_err(|_| idle_timeout_elapsed())?;
        let Some(chunk) = chunk else {
            return Err(AttemptFailure::Lost("the peer's answer was cut".into()));
        };
        let chunk = chunk.map_err(|e| stream_failure(&e))?;
        link.record_received();
        // Returns the chunk to the flow-control window, so that the peer can continue to send.
        let _ = body.flow_control().release_capacity(chunk.len());
        frames.push(&chunk);
        let malformed = |e: crate::peer_codec::CodecError| AttemptFailure::Lost(e.to_string());
        while let Some(frame) = frames.next_message().map_err(malformed)? {
            match decode::<ReplyEvent>(&frame).map_err(malformed)? {
                ReplyEvent::Head(head) => report(AttemptEvent::Head(head)),
                ReplyEvent::Data(data) => report(AttemptEvent::Data(data)),
                ReplyEvent::End => return Ok(()),
                ReplyEvent::Fail(refusal) => return Err(AttemptFailure::Refused(refusal)),
            }
        }
    }
}

fn idle_timeout_elapsed() -> AttemptFailure {
    AttemptFailure::Lost("the peer went silent".into())
}

/// Maps an HTTP/2 error to `NotRun` if the peer refused the stream unprocessed, else to `Lost`.
fn stream_failure(e: &h2::Error) -> AttemptFailure {
    if e.is_remote() && e.reason() == Some(Reason::REFUSED_STREAM) {
        AttemptFailure::NotRun("the peer refused the stream before taking it".into())
    } else {
        AttemptFailure::Lost(format!("the peer's connection failed: {e}"))
    }
}

/// A client shared by the tasks of all requests.
pub(super) type SharedPeerClient = Arc<PeerClient>;
