//! One claimed key.

use shallottide_types::data;
use shallottide_types::id::{CallId, Incarnation, NodeId};
use shallottide_types::peer::{ClaimAnswer, ClaimEnd};

use super::job::Moment;

data! {
    /// One claimed key.
    pub(super) struct ClaimEntry {
        /// Hash of what was called.
        pub(super) digest: u64,
        /// The call that holds the key.
        pub(super) holder: CallId,
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

impl ClaimEntry {
    /// Size in the stored form without the texts and the kept body, rounded up.
    const FIXED_BYTES: usize = 72;

    /// Returns about how many bytes the entry takes.
    pub(super) fn size(&self) -> usize {
        let kept = match &self.end {
            Some(ClaimEnd::Ran {
                content_type, body, ..
            }) => content_type.len() + body.as_ref().map_or(0, bytes::Bytes::len),
            _ => 0,
        };
        let texts = self.holder.as_str().len() + self.owner.as_str().len();
        Self::FIXED_BYTES + texts + kept
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
            return ClaimAnswer::OtherBody;
        }
        match &self.end {
            Some(end) => ClaimAnswer::Ended(end.clone()),
            None if self.is_over(moment) => ClaimAnswer::Ended(ClaimEnd::Unknown),
            None => ClaimAnswer::Running,
        }
    }

    /// Notes how the call ended, unless that is known; tells whether that changed anything.
    pub(super) fn set_end(&mut self, end: &ClaimEnd) -> bool {
        let is_news = self.end.is_none();
        if is_news {
            self.end = Some(end.clone());
        }
        is_news
    }
}
