//! Retirement of groups, until their members may join others.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use shallottide_types::id::UpstreamId;

use super::{Controller, SentOrder, is_due, state_in};
use crate::adapter::OrderOutcome;
use crate::groups::Order;
use crate::upstream::{Formation, GroupState, Upstream};
use crate::view::ClusterView;

/// Time that running requests get to finish before a retiring group preempts them.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);
/// Margin beyond the engines' stall time after which a head without a member is certain to be
/// broken.
const BROKEN_MARGIN: Duration = Duration::from_millis(700);

/// Time for which the entry of an ended group's head may still show the group.
const ENTRY_DELAY: Duration = Duration::from_secs(1);

/// Why a group retires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RetireReason {
    PreviousController,
    HeadEntryMissing,
    HeadLeft,
    HeadClosed,
    MemberLost,
    MemberLeft,
    MemberDraining,
    AbandonedAfterOpen,
    Reopened,
    Swap,
}

impl RetireReason {
    /// Returns whether running requests can't finish anyway, so that they are preempted.
    fn preempts(self) -> bool {
        matches!(self, Self::MemberLost | Self::MemberLeft)
    }
}

impl fmt::Display for RetireReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::PreviousController => "left unfinished by a previous controller",
            Self::HeadEntryMissing => "head has no entry",
            Self::HeadLeft => "head left the group",
            Self::HeadClosed => "head was closed",
            Self::MemberLost => "member lost",
            Self::MemberLeft => "member left the group",
            Self::MemberDraining => "member is draining",
            Self::AbandonedAfterOpen => "formation abandoned after its head was ordered to open",
            Self::Reopened => "late orders reopened an ended group",
            Self::Swap => "another model needs the upstreams more",
        })
    }
}

/// A group that is being ended.
#[derive(Debug)]
pub(super) struct RetiringGroup {
    members: BTreeMap<usize, UpstreamId>,
    reason: RetireReason,
    retiring_since: Option<Instant>,
    close: Option<SentOrder>,
    head_leave: Option<SentOrder>,
    leaves: BTreeMap<UpstreamId, SentOrder>,
    /// When an unreachable head is certain to be broken.
    broken_at: Option<Instant>,
}

impl RetiringGroup {
    pub(super) fn new(
        members: BTreeMap<usize, UpstreamId>,
        reason: RetireReason,
        retiring_since: Option<Instant>,
    ) -> Self {
        Self {
            members,
            reason,
            retiring_since,
            close: None,
            head_leave: None,
            leaves: BTreeMap::new(),
            broken_at: None,
        }
    }

    pub(super) fn members(&self) -> impl Iterator<Item = &UpstreamId> {
        self.members.values()
    }

    pub(super) fn record_order_outcome(&mut self, number: u64, outcome: OrderOutcome) {
        let head_orders = [&mut self.close, &mut self.head_leave];
        let orders = head_orders
            .into_iter()
            .flatten()
            .chain(self.leaves.values_mut());
        for sent in orders.filter(|sent| sent.number == number) {
            sent.outcome = Some(outcome);
        }
    }
}

impl Controller {
    /// Lets the members of an ended formation join other groups.
    ///
    /// If late orders may still have its head join and open again, only those that have left it: the
    /// others are ordered to.
    pub(super) fn release(
        &mut self,
        formation: Formation,
        members: &BTreeMap<usize, UpstreamId>,
        view: &ClusterView,
        now: Instant,
    ) {
        if self.is_of_recent_predecessor(&formation, now) {
            let held = (members.values().cloned().collect(), self.started_at);
            self.may_reopen.insert(formation.clone(), held);
        }
        if self.may_reopen.contains_key(&formation) {
            let latest = members
                .values()
                .filter_map(|id| self.health.latest(id, view));
            let remaining = latest.filter(|member| state_in(member, &formation).is_some());
            for member in remaining.cloned().collect::<Vec<_>>() {
                self.send(&member, Order::Leave(formation.clone()), now);
            }
        }
        self.released.insert(formation, now);
    }

    /// Retires ended groups whose head serves again, as orders without an answer can be carried out
    /// after newer ones.
    pub(super) fn retire_reopened(&mut self, view: &ClusterView, now: Instant) {
        let mut reopened = Vec::new();
        let mut unconfirmed = Vec::new();
        for (formation, &since) in &self.released {
            let Some(members) = view.formations.get(formation) else {
                continue;
            };
            let Some(head) = members.get(&0) else {
                continue;
            };
            if let Some(report) = self.health.report_since(head, since) {
                if is_serving(report, formation) {
                    reopened.push((formation.clone(), members.clone()));
                }
            } else if self.may_have_reopened(formation, since, view) {
                unconfirmed.push(head.clone());
            }
        }
        for (formation, members) in reopened {
            tracing::warn!(%formation, reason = %RetireReason::Reopened, "group retiring");
            self.released.remove(&formation);
            let retiring = RetiringGroup::new(members, RetireReason::Reopened, Some(now));
            self.retiring.insert(formation, retiring);
        }
        for head in unconfirmed {
            self.probe(&head, now);
        }
    }

    /// Returns whether a released formation's head may serve again, by what is known since then.
    pub(super) fn may_have_reopened(
        &self,
        formation: &Formation,
        since: Instant,
        view: &ClusterView,
    ) -> bool {
        let members = view.formations.get(formation);
        let Some(head) = members.and_then(|members| members.get(&0)) else {
            return false;
        };
        match self.health.report_since(head, since) {
            Some(report) => is_serving(report, formation),
            None => view.upstreams.get(head).is_some_and(|known| {
                known.seen >= since + ENTRY_DELAY && is_serving(&known.upstream, formation)
            }),
        }
    }

    pub(super) fn advance_retiring(&mut self, view: &ClusterView, now: Instant) {
        self.probe_members(view, now);
        let formations: Vec<_> = self.retiring.keys().cloned().collect();
        for formation in formations {
            let Some(mut group) = self.retiring.remove(&formation) else {
                continue;
            };
            group.retiring_since.get_or_insert(now);
            if !view.formations.contains_key(&formation) {
                // No entry names the formation any more. The entry of an earlier controller's head
                // may be an old one, so its members wait until late orders can no longer come.
                if self.is_of_recent_predecessor(&formation, now) {
                    self.retiring.insert(formation, group);
                }
                continue;
            }
            if let Some(members) = view.formations.get(&formation) {
                group
                    .members
                    .extend(members.iter().map(|(&rank, id)| (rank, id.clone())));
            }
            if self.options.large_deployment && group.reason.preempts() {
                self.confirm_survivors(&group, view, now);
            }
            if self.advance_retirement(&formation, &mut group, view, now) {
                let took = group
                    .retiring_since
                    .map(|at| now.saturating_duration_since(at));
                tracing::info!(%formation, reason = %group.reason, ?took, "group ended");
                self.release(formation, &group.members, view, now);
            } else {
                self.retiring.insert(formation, group);
            }
        }
    }

    /// Probes the members other than the head, and the engines without a group in their fabric
    /// domain, so that they need no probe when the group has ended.
    ///
    /// The head is left out: it counts the order to leave, and a join by an earlier count is refused.
    fn confirm_survivors(&mut self, group: &RetiringGroup, view: &ClusterView, now: Instant) {
        let survivors = group.members.range(1..).map(|(_, id)| id);
        let latest = survivors
            .clone()
            .find_map(|id| self.health.latest(id, view));
        let fabric = latest.and_then(|member| member.fabric.clone());
        let spares = view.upstreams.iter().filter(|(_, known)| {
            known.upstream.membership.is_none()
                && known.upstream.fabric.is_some()
                && known.upstream.fabric == fabric
                && known.upstream.domain == self.options.domain
        });
        let ids: Vec<_> = survivors.chain(spares.map(|(id, _)| id)).cloned().collect();
        for id in ids {
            self.confirm(&id, view, now);
        }
    }

    /// Sends the orders that are due to end a group; returns whether its head can no longer serve.
    fn advance_retirement(
        &mut self,
        formation: &Formation,
        group: &mut RetiringGroup,
        view: &ClusterView,
        now: Instant,
    ) -> bool {
        let is_accepted = |sent: &SentOrder| sent.outcome == Some(OrderOutcome::Accepted);
        if group.head_leave.as_ref().is_some_and(is_accepted) {
            return true;
        }
        let head = group.members.get(&0).cloned();
        let latest = head
            .as_ref()
            .and_then(|id| self.health.latest(id, view))
            .cloned();
        if let Some(head) = &latest
            && !self.health.is_unresponsive(&head.id)
        {
            match state_in(head, formation) {
                None | Some(GroupState::Broken) => return self.confirm(&head.id, view, now),
                Some(GroupState::Ready | GroupState::Joining) => {
                    if is_due(group.head_leave.as_ref(), now) {
                        let order = Order::Leave(formation.clone());
                        group.head_leave = Some(self.send(head, order, now));
                    }
                }
                Some(GroupState::Open | GroupState::Closing) => {
                    let has_timed_out = group.retiring_since.is_some_and(|retiring_since| {
                        now.saturating_duration_since(retiring_since) >= DRAIN_TIMEOUT
                    });
                    let preempt = group.reason.preempts() || has_timed_out;
                    if is_due(group.close.as_ref(), now) {
                        let formation = formation.clone();
                        let order = Order::Close { formation, preempt };
                        group.close = Some(self.send(head, order, now));
                    }
                    // The head's entry shows only later that it has closed.
                    let has_closed = preempt
                        && self.options.large_deployment
                        && group.close.as_ref().is_some_and(is_accepted);
                    if has_closed && is_due(group.head_leave.as_ref(), now) {
                        let order = Order::Leave(formation.clone());
                        group.head_leave = Some(self.send(head, order, now));
                    }
                }
            }
            // A head without an entry can't reach the store, so only a probe shows its state.
            if !view.upstreams.contains_key(&head.id) {
                self.probe(&head.id, now);
            }
            return false;
        }
        if let Some(id) = &head {
            self.probe(id, now);
            if !self.health.is_unresponsive(id) && self.health.last_entry(id).is_some() {
                return false;
            }
        }
        self.break_head(formation, group, view, now)
    }

    /// Orders members to leave, so that an unreachable head stalls and becomes broken.
    ///
    /// One member confirmed to have left is enough; an unreachable one may still be in the group.
    fn break_head(
        &mut self,
        formation: &Formation,
        group: &mut RetiringGroup,
        view: &ClusterView,
        now: Instant,
    ) -> bool {
        let mut has_left = false;
        for (_, id) in group.members.clone().range(1..) {
            let Some(member) = self.health.latest(id, view).cloned() else {
                continue;
            };
            let is_confirmed_out =
                state_in(&member, formation).is_none() && self.health.is_confirmed(id, view, now);
            let leave = group.leaves.get(id);
            if is_confirmed_out
                || leave.is_some_and(|sent| sent.outcome == Some(OrderOutcome::Accepted))
            {
                has_left = true;
            } else if is_due(leave, now) {
                let sent = self.send(&member, Order::Leave(formation.clone()), now);
                group.leaves.insert(id.clone(), sent);
            }
        }
        if !has_left && group.broken_at.is_none() {
            return false;
        }
        let stall = self.options.stall + BROKEN_MARGIN;
        let broken_at = *group.broken_at.get_or_insert(now + stall);
        now >= broken_at
    }
}

fn is_serving(head: &Upstream, formation: &Formation) -> bool {
    let state = state_in(head, formation);
    matches!(state, Some(GroupState::Open | GroupState::Closing))
}
