//! Groups that end, until their members may join others.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use shallottide_types::id::UpstreamId;

use super::{Asked, Controller, is_due, state_in};
use crate::border::OrderOutcome;
use crate::groups::Order;
use crate::upstream::{Formation, GroupState};
use crate::view::ClusterView;

/// Time that running requests get before they are cut off for a group that ends.
const QUEUE_TIME: Duration = Duration::from_secs(4);
/// Time beyond the engines' stall after which a head without members is surely broken.
const BROKEN_SLACK: Duration = Duration::from_millis(700);

/// Why a group ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reason {
    Predecessor,
    HeadGone,
    HeadMoved,
    Closed,
    MemberLost,
    MemberMoved,
    MemberLeaves,
    NotOpened,
    Swap,
}

impl Reason {
    /// Tells whether running requests can't end anyway.
    fn preempts(self) -> bool {
        matches!(self, Self::MemberLost | Self::MemberMoved)
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Predecessor => "left unfinished by another steward",
            Self::HeadGone => "the head has no entry",
            Self::HeadMoved => "the head is in it no more",
            Self::Closed => "the head was closed",
            Self::MemberLost => "a member is lost",
            Self::MemberMoved => "a member is in it no more",
            Self::MemberLeaves => "a member leaves",
            Self::NotOpened => "the formation was given up after its head was told to open",
            Self::Swap => "another model needs its upstreams more",
        })
    }
}

/// A group that ends.
#[derive(Debug)]
pub(super) struct Retire {
    members: BTreeMap<usize, UpstreamId>,
    reason: Reason,
    since: Option<Instant>,
    close: Option<Asked>,
    head_leave: Option<Asked>,
    leaves: BTreeMap<UpstreamId, Asked>,
    /// When a head that can't be reached is surely broken.
    broken_by: Option<Instant>,
}

impl Retire {
    pub(super) fn new(
        members: BTreeMap<usize, UpstreamId>,
        reason: Reason,
        since: Option<Instant>,
    ) -> Self {
        Self {
            members,
            reason,
            since,
            close: None,
            head_leave: None,
            leaves: BTreeMap::new(),
            broken_by: None,
        }
    }

    pub(super) fn members(&self) -> impl Iterator<Item = &UpstreamId> {
        self.members.values()
    }

    pub(super) fn record_order_outcome(&mut self, number: u64, outcome: OrderOutcome) {
        let head = [&mut self.close, &mut self.head_leave];
        let orders = head.into_iter().flatten().chain(self.leaves.values_mut());
        for asked in orders.filter(|asked| asked.number == number) {
            asked.outcome = Some(outcome);
        }
    }
}

impl Controller {
    pub(super) fn advance_retiring(&mut self, view: &ClusterView, now: Instant) {
        self.probe_members(view, now);
        let formations: Vec<_> = self.retiring.keys().cloned().collect();
        for formation in formations {
            let Some(mut retire) = self.retiring.remove(&formation) else {
                continue;
            };
            retire.since.get_or_insert(now);
            if !view.formations.contains_key(&formation) {
                // No entry names it any more, so nobody waits for its end.
                continue;
            }
            if let Some(members) = view.formations.get(&formation) {
                retire
                    .members
                    .extend(members.iter().map(|(&rank, id)| (rank, id.clone())));
            }
            if self.is_over(&formation, &mut retire, view, now) {
                tracing::info!(%formation, reason = %retire.reason, "group ended");
                self.freed.insert(formation);
            } else {
                self.retiring.insert(formation, retire);
            }
        }
    }

    /// Brings the end of a group forward; tells whether its head can no longer serve.
    fn is_over(
        &mut self,
        formation: &Formation,
        retire: &mut Retire,
        view: &ClusterView,
        now: Instant,
    ) -> bool {
        let accepted = |asked: &Asked| asked.outcome == Some(OrderOutcome::Accepted);
        if retire.head_leave.as_ref().is_some_and(accepted) {
            return true;
        }
        let head = retire.members.get(&0).cloned();
        let fact = head
            .as_ref()
            .and_then(|id| self.health.fact(id, view))
            .cloned();
        if let Some(head) = &fact
            && !self.health.is_silent(&head.id)
        {
            match state_in(head, formation) {
                None | Some(GroupState::Broken) => return self.confirm(&head.id, view, now),
                Some(GroupState::Ready | GroupState::Joining) => {
                    if is_due(retire.head_leave.as_ref(), now) {
                        let order = Order::Leave(formation.clone());
                        retire.head_leave = Some(self.send(head, order, now));
                    }
                }
                Some(GroupState::Open | GroupState::Closing) => {
                    let waited = retire
                        .since
                        .is_some_and(|since| now.saturating_duration_since(since) >= QUEUE_TIME);
                    let preempt = retire.reason.preempts() || waited;
                    if is_due(retire.close.as_ref(), now) {
                        let formation = formation.clone();
                        let order = Order::Close { formation, preempt };
                        retire.close = Some(self.send(head, order, now));
                    }
                }
            }
            // The entry of a head that can't reach the store tells nothing new.
            if !view.upstreams.contains_key(&head.id) {
                self.probe(&head.id, now);
            }
            return false;
        }
        if let Some(id) = &head {
            self.probe(id, now);
            if !self.health.is_silent(id) && self.health.remembered(id).is_some() {
                return false;
            }
        }
        self.break_head(formation, retire, view, now)
    }

    /// Takes members from a head that can't be reached, so that it breaks by itself.
    ///
    /// One member that surely left is enough. One that can't be reached says nothing.
    fn break_head(
        &mut self,
        formation: &Formation,
        retire: &mut Retire,
        view: &ClusterView,
        now: Instant,
    ) -> bool {
        let mut has_left = false;
        for (_, id) in retire.members.clone().range(1..) {
            let Some(member) = self.health.fact(id, view).cloned() else {
                continue;
            };
            let is_out =
                state_in(&member, formation).is_none() && self.health.is_confirmed(id, view, now);
            let leave = retire.leaves.get(id);
            if is_out || leave.is_some_and(|asked| asked.outcome == Some(OrderOutcome::Accepted)) {
                has_left = true;
            } else if is_due(leave, now) {
                let asked = self.send(&member, Order::Leave(formation.clone()), now);
                retire.leaves.insert(id.clone(), asked);
            }
        }
        if !has_left && retire.broken_by.is_none() {
            return false;
        }
        let stall = self.options.stall + BROKEN_SLACK;
        let broken_by = *retire.broken_by.get_or_insert(now + stall);
        now >= broken_by
    }
}
