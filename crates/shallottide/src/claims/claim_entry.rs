//! One claimed key.

use compact_str::CompactString;
use sha2::{Digest, Sha256};
use shallottide_types::data;
use shallottide_types::id::{CallId, Incarnation, NodeId};
use shallottide_types::peer::{ClaimAnswer, ClaimEnd, ClaimRequest};

use super::ClaimOptions;
use super::job::Snapshot;

data! {
    /// Hash of a call's id: smaller to store and as unique in practice.
    #[derive(Copy)]
    pub(super) struct HolderHash(u128);

    /// One claimed key.
    pub(super) struct ClaimEntry {
        /// Hash of target, method, path and body of the call.
        pub(super) digest: u64,
        /// The call that holds the key.
        pub(super) holder: HolderHash,
        /// The node that accepted the call from its caller.
        pub(super) owner: NodeId,
        /// Incarnation of the owner when it claimed the key.
        pub(super) incarnation: Incarnation,
        /// Time of the claim, in seconds since 1970.
        pub(super) claimed_at: u64,
        /// Time from which the call counts as abandoned, in seconds since 1970.
        pub(super) expires_at: u64,
        /// Outcome of the call; `None` while it runs. Never `NotRun`: that removes the entry.
        pub(super) end: Option<ClaimEnd>,
    }
}

impl HolderHash {
    pub(super) fn from_call(call: &CallId) -> Self {
        let hash: [u8; 32] = Sha256::digest(call.as_str().as_bytes()).into();
        let (first, _) = hash.split_first_chunk().expect("SHA-256 has 32 bytes");
        Self(u128::from_be_bytes(*first))
    }
}

impl ClaimEntry {
    /// Encoded size in bytes without the owner's id and the recorded answer, rounded up.
    const FIXED_BYTES: usize = 80;

    /// Creates the entry of a claim granted at the time of `snapshot`.
    pub(super) fn granted(
        request: &ClaimRequest,
        snapshot: &Snapshot,
        options: &ClaimOptions,
    ) -> Self {
        let ttl = request.time_left.saturating_add(options.expiry_margin);
        let expires_at = snapshot.unix_s.saturating_add(ttl.as_secs());
        Self {
            digest: request.digest,
            holder: HolderHash::from_call(&request.call),
            owner: request.owner.clone(),
            incarnation: request.incarnation,
            claimed_at: snapshot.unix_s,
            expires_at: expires_at.saturating_add(1),
            end: None,
        }
    }

    /// Returns whether the requesting call holds the key and may still run.
    pub(super) fn is_granted_to(&self, request: &ClaimRequest, snapshot: &Snapshot) -> bool {
        self.holder == HolderHash::from_call(&request.call) && !self.has_ended(snapshot)
    }

    /// Returns the approximate encoded size in bytes.
    pub(super) fn size(&self) -> usize {
        let kept = self.end.as_ref().map_or(0, kept_bytes);
        Self::FIXED_BYTES + self.owner.as_str().len() + kept
    }

    /// Returns whether the call has ended or its outcome can no longer be reported, because the
    /// owner restarted or the claim expired.
    pub(super) fn has_ended(&self, snapshot: &Snapshot) -> bool {
        let restarted = snapshot
            .members
            .nodes
            .get(&self.owner)
            .is_some_and(|node| node.info.incarnation > self.incarnation);
        self.end.is_some() || restarted || snapshot.unix_s >= self.expires_at
    }

    /// Returns the answer to a claim of the same key by another call.
    pub(super) fn answer(&self, digest: u64, snapshot: &Snapshot) -> ClaimAnswer {
        if digest != self.digest {
            return ClaimAnswer::DifferentBody;
        }
        match &self.end {
            Some(end) => ClaimAnswer::Ended(end.clone()),
            None if self.has_ended(snapshot) => ClaimAnswer::Ended(ClaimEnd::Unknown),
            None => ClaimAnswer::Running,
        }
    }

    /// Records how the call ended and returns `true`, or `false` if an outcome is already recorded.
    pub(super) fn set_end(&mut self, end: ClaimEnd) -> bool {
        let is_first = self.end.is_none();
        if is_first {
            self.end = Some(end);
        }
        is_first
    }
}

/// Returns the size in bytes of the answer kept with an outcome.
pub(super) fn kept_bytes(end: &ClaimEnd) -> usize {
    match end {
        ClaimEnd::Ran {
            content_type, body, ..
        } => content_type.len() + body.as_ref().map_or(0, bytes::Bytes::len),
        ClaimEnd::NotRun | ClaimEnd::Unknown => 0,
    }
}

/// Returns the outcome without its recorded answer.
pub(super) fn without_answer(end: &ClaimEnd) -> ClaimEnd {
    match end {
        ClaimEnd::Ran { status, .. } => ClaimEnd::Ran {
            status: *status,
            content_type: CompactString::default(),
            body: None,
        },
        other => other.clone(),
    }
}
