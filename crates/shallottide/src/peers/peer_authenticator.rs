//! Authenticates requests and responses between peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::HeaderMap;
use shallottide_types::clock::Clock;
use shallottide_types::id::NodeId;

use crate::peer_codec::{PeerKey, PeerKeyError, SigningInput};

/// Largest accepted difference between two nodes' clocks.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(30);

pub(super) const SENDER_HEADER: &str = "x-peer-node";
pub(super) const SENT_AT_HEADER: &str = "x-peer-time";
pub(super) const TAG_HEADER: &str = "x-peer-tag";

/// Why authentication of a request or response failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum AuthError {
    /// A header is missing or malformed.
    #[error("missing or malformed {0} header: check that the sender is an entry VM")]
    Header(&'static str),
    /// The tag is wrong, or the sender's clock differs too much.
    #[error(transparent)]
    Key(#[from] PeerKeyError),
    /// A request with this tag was accepted before.
    #[error("peer request is a replay: each request is accepted once")]
    Replayed,
}

/// The headers that authenticate one request or response.
pub(super) struct AuthHeaders {
    pub(super) sender: NodeId,
    /// Unix time by the sender's clock, in milliseconds.
    pub(super) sent_ms: u64,
    /// HMAC over the [`SigningInput`], in hex.
    pub(super) tag: String,
}

/// Signs and verifies peer traffic for one node.
#[derive(Clone)]
pub(super) struct PeerAuthenticator {
    pub(super) node: NodeId,
    key: PeerKey,
    clock: Arc<dyn Clock>,
    /// Tags of accepted calls with their send times, kept while a replay would pass
    /// the clock check.
    accepted_tags: Arc<Mutex<BTreeMap<String, Duration>>>,
}

impl PeerAuthenticator {
    pub(super) fn new(node: NodeId, key: PeerKey, clock: Arc<dyn Clock>) -> Self {
        Self {
            node,
            key,
            clock,
            accepted_tags: Arc::default(),
        }
    }

    /// Signs a body that is sent to the peer at `receiver`.
    pub(super) fn sign(&self, receiver: SocketAddr, body: &[u8]) -> AuthHeaders {
        let sent_ms = u64::try_from(self.clock.unix_time().as_millis()).unwrap_or(u64::MAX);
        let input = signing_input(self.node.clone(), receiver, sent_ms, body);
        AuthHeaders {
            sender: self.node.clone(),
            sent_ms,
            tag: self.key.sign(&input),
        }
    }

    /// Verifies the tag and send time of a body that was sent to `receiver`.
    pub(super) fn verify(
        &self,
        auth: &AuthHeaders,
        receiver: SocketAddr,
        body: &[u8],
    ) -> Result<(), AuthError> {
        let input = signing_input(auth.sender.clone(), receiver, auth.sent_ms, body);
        let now = self.clock.unix_time();
        self.key.verify(&input, &auth.tag, now, MAX_CLOCK_SKEW)?;
        Ok(())
    }

    /// Records a verified call, or fails if it was accepted before.
    pub(super) fn reject_replay(&self, auth: &AuthHeaders) -> Result<(), AuthError> {
        let now = self.clock.unix_time();
        let sent_at = Duration::from_millis(auth.sent_ms);
        let mut accepted = self.accepted_tags.lock().expect("accepted tags lock");
        accepted.retain(|_, sent_at| *sent_at + MAX_CLOCK_SKEW >= now);
        match accepted.insert(auth.tag.clone(), sent_at) {
            None => Ok(()),
            Some(_) => Err(AuthError::Replayed),
        }
    }
}

fn signing_input(sender: NodeId, receiver: SocketAddr, sent_ms: u64, body: &[u8]) -> SigningInput {
    SigningInput::new(sender, receiver, Duration::from_millis(sent_ms), body)
}

impl AuthHeaders {
    /// Reads the authentication headers of a request or response.
    pub(super) fn from_headers(headers: &HeaderMap) -> Result<Self, AuthError> {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let sender = text(SENDER_HEADER).and_then(|value| value.parse().ok());
        let sent_ms = text(SENT_AT_HEADER).and_then(|value| value.parse().ok());
        Ok(Self {
            sender: sender.ok_or(AuthError::Header(SENDER_HEADER))?,
            sent_ms: sent_ms.ok_or(AuthError::Header(SENT_AT_HEADER))?,
            tag: text(TAG_HEADER)
                .ok_or(AuthError::Header(TAG_HEADER))?
                .into(),
        })
    }

    /// Returns the names and values of the headers to send.
    pub(super) fn to_headers(&self) -> [(&'static str, String); 3] {
        [
            (SENDER_HEADER, self.sender.to_string()),
            (SENT_AT_HEADER, self.sent_ms.to_string()),
            (TAG_HEADER, self.tag.clone()),
        ]
    }
}
