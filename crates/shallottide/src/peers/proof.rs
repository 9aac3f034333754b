//! Proofs that a request or response comes from a peer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::HeaderMap;
use shallottide_types::clock::Clock;
use shallottide_types::id::NodeId;

use crate::peer_codec::{PeerKey, PeerKeyError, PeerStamp};

/// Largest accepted difference between two nodes' clocks.
const CLOCK_DIFFERENCE: Duration = Duration::from_secs(30);

pub(super) const SENDER: &str = "x-peer-node";
pub(super) const SENT_AT: &str = "x-peer-time";
pub(super) const TAG: &str = "x-peer-tag";

/// Why a proof was refused.
#[derive(Debug, thiserror::Error)]
pub(super) enum ProofError {
    /// A header is missing or malformed.
    #[error("peer sent no valid {0} header: check that the caller is an entry VM")]
    Header(&'static str),
    /// The tag does not fit.
    #[error(transparent)]
    Key(#[from] PeerKeyError),
    /// The same request came before.
    #[error("peer's request came before: only a new one is taken")]
    Replayed,
}

/// The headers of one proof.
pub(super) struct Proof {
    pub(super) sender: NodeId,
    pub(super) sent_ms: u64,
    pub(super) tag: String,
}

/// Signs and checks proofs for one node.
#[derive(Clone)]
pub(super) struct Prover {
    pub(super) node: NodeId,
    key: PeerKey,
    clock: Arc<dyn Clock>,
    /// Tags of calls taken within the accepted clock difference, with when they were sent.
    seen: Arc<Mutex<BTreeMap<String, Duration>>>,
}

impl Prover {
    pub(super) fn new(node: NodeId, key: PeerKey, clock: Arc<dyn Clock>) -> Self {
        Self {
            node,
            key,
            clock,
            seen: Arc::default(),
        }
    }

    /// Signs a body for the peer at `receiver`.
    pub(super) fn sign(&self, receiver: SocketAddr, body: &[u8]) -> Proof {
        let sent_ms = u64::try_from(self.clock.unix_time().as_millis()).unwrap_or(u64::MAX);
        let stamp = stamp(self.node.clone(), receiver, sent_ms, body);
        Proof {
            sender: self.node.clone(),
            sent_ms,
            tag: self.key.sign(&stamp),
        }
    }

    /// Checks the proof of a body that came to `receiver`.
    pub(super) fn verify(
        &self,
        proof: &Proof,
        receiver: SocketAddr,
        body: &[u8],
    ) -> Result<(), ProofError> {
        let stamp = stamp(proof.sender.clone(), receiver, proof.sent_ms, body);
        let now = self.clock.unix_time();
        self.key.verify(&stamp, &proof.tag, now, CLOCK_DIFFERENCE)?;
        Ok(())
    }

    /// Refuses a proof that was taken before.
    pub(super) fn take_once(&self, proof: &Proof) -> Result<(), ProofError> {
        let now = self.clock.unix_time();
        let sent_at = Duration::from_millis(proof.sent_ms);
        let mut seen = self.seen.lock().expect("seen lock");
        seen.retain(|_, sent_at| *sent_at + CLOCK_DIFFERENCE >= now);
        match seen.insert(proof.tag.clone(), sent_at) {
            None => Ok(()),
            Some(_) => Err(ProofError::Replayed),
        }
    }
}

fn stamp(sender: NodeId, receiver: SocketAddr, sent_ms: u64, body: &[u8]) -> PeerStamp {
    PeerStamp::new(sender, receiver, Duration::from_millis(sent_ms), body)
}

impl Proof {
    /// Reads the proof of a request or response.
    pub(super) fn from_headers(headers: &HeaderMap) -> Result<Self, ProofError> {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let sender = text(SENDER).and_then(|value| value.parse().ok());
        let sent_ms = text(SENT_AT).and_then(|value| value.parse().ok());
        Ok(Self {
            sender: sender.ok_or(ProofError::Header(SENDER))?,
            sent_ms: sent_ms.ok_or(ProofError::Header(SENT_AT))?,
            tag: text(TAG).ok_or(ProofError::Header(TAG))?.into(),
        })
    }

    /// Returns the headers to send.
    pub(super) fn headers(&self) -> [(&'static str, String); 3] {
        [
            (SENDER, self.sender.to_string()),
            (SENT_AT, self.sent_ms.to_string()),
            (TAG, self.tag.clone()),
        ]
    }
}
