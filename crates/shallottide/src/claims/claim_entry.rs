//! One claimed key.

use compact_str::CompactString;
use sha2::{Digest, Sha256};
use shallottide_types::data;
use shallottide_types::id::{CallId, Incarnation, NodeId};
use shallottide_types::peer::{ClaimAnswer, ClaimEnd, ClaimRequest};

use super::ClaimOptions;
use super::job::Moment;

data! {
    /// The hash of a call's id: small to store, and as good as the id.
    #[derive(Copy)]
    pub(super) struct Holder(u128);

    /// One claimed key.
    pub(super) struct ClaimEntry {
        /// Hash of what was called.
        pub(super) digest: u64,
        /// The call that holds the key.
        pub(super) holder: Holder,
        /// The node that answers for the call.
        pub(super) owner: NodeId,
        /// The owner's start.
        pub(super) incarnation: Incarnation,
        /// When the key was claimed, in seconds since 1970.
        pub(super) claimed_at: u64,
        /// When the call counts as abandoned, in seconds since 1970.
        pub(super) expires_at: u64,
        /// How the call ended. Never `NotRun`: that frees the key.
        pub(super) end: Option<ClaimEnd>,
    }
}

impl Holder {
    pub(super) fn of(call: &CallId) -> Self {
        let hash: [u8; 32] = Sha256::digest(call.as_str().as_bytes()).into();
        let (first, _) = hash.split_first_chunk().expect("SHA-256 has 32 bytes");
        Self(u128::from_be_bytes(*first))
    }
}

impl ClaimEntry {
    /// Size in the stored form without the owner's id and the kept answer, rounded up.
    const FIXED_BYTES: usize = 80;

    /// Creates the entry of a claim that is granted now.
    pub(super) fn granted(request: &ClaimRequest, moment: &Moment, options: &ClaimOptions) -> Self {
        let lives = request.time_left.saturating_add(options.expiry_margin);
        let expires_at = moment.unix_s.saturating_add(lives.as_secs());
        Self {
            digest: request.digest,
            holder: Holder::of(&request.call),
            owner: request.owner.clone(),
            incarnation: request.incarnation,
            claimed_at: moment.unix_s,
            expires_at: expires_at.saturating_add(1),
            end: None,
        }
    }

    /// Tells whether a call holds the key and may still run.
    pub(super) fn is_granted_to(&self, request: &ClaimRequest, moment: &Moment) -> bool {
        self.holder == Holder::of(&request.call) && !self.is_over(moment)
    }

    /// Returns about how many bytes the entry takes.
    pub(super) fn size(&self) -> usize {
        let kept = self.end.as_ref().map_or(0, kept_bytes);
        Self::FIXED_BYTES + self.owner.as_str().len() + kept
    }

    /// Tells whether the call has ended, or nobody can tell its end any more.
    pub(super) fn is_over(&self, moment: &Moment) -> bool {
        let restarted = moment
            .members
            .nodes
            .get(&self.owner)
            .is_some_and(|node| node.info.incarnation > self.incarnation);
        self.end.is_some() || restarted || moment.unix_s >= self.expires_at
    }

    /// Answers another claim of the same key.
    pub(super) fn answer(&self, digest: u64, moment: &Moment) -> ClaimAnswer {
        if digest != self.digest {
            return ClaimAnswer::DifferentBody;
        }
        match &self.end {
            Some(end) => ClaimAnswer::Ended(end.clone()),
            None if self.is_over(moment) => ClaimAnswer::Ended(ClaimEnd::Unknown),
            None => ClaimAnswer::Running,
        }
    }

    /// Notes how the call ended, unless that is known; tells whether that changed anything.
    pub(super) fn set_end(&mut self, end: ClaimEnd) -> bool {
        let is_news = self.end.is_none();
        if is_news {
            self.end = Some(end);
        }
        is_news
    }
}

/// Returns the bytes of the answer that an end keeps.
pub(super) fn kept_bytes(end: &ClaimEnd) -> usize {
    match end {
        ClaimEnd::Ran {
            content_type, body, ..
        } => content_type.len() + body.as_ref().map_or(0, bytes::Bytes::len),
        ClaimEnd::NotRun | ClaimEnd::Unknown => 0,
    }
}

/// Returns an end without the answer.
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
