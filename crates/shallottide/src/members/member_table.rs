//! Table of all other entry VMs known to this node.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, NodeId, StoreIndex};
use shallottide_types::peer::{LoadSummary, NodeInfo, NodeTag};

use super::{Member, MemberOptions};
use crate::view::{DispatcherLoad, MemberView, NodeState};

/// Additional heartbeat intervals before a node of another failure domain counts as dead.
const OTHER_DOMAIN_EXTRA_ROUNDS: u32 = 6;

/// A node not seen alive for this many failure timeouts is sent the infos of other nodes on its return.
const REJOIN_FACTOR: u32 = 3;

/// Effect of [`MemberTable::record_seen_alive`] on a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LivenessChange {
    /// The time is not later than the known one, or is of an earlier incarnation.
    Ignored,
    /// The member is alive and was alive recently.
    StillAlive,
    /// The member was not seen alive for a long time or never, so it may know few other nodes.
    Returned,
}

/// All other entry VMs known to this node.
#[derive(Debug)]
pub struct MemberTable {
    me: NodeId,
    domain: DomainId,
    heartbeat_interval: Duration,
    missed_heartbeats: u32,
    max_load_age: Duration,
    members: BTreeMap<NodeId, Member>,
    /// Number of members in this failure domain.
    own_members: usize,
    /// The member of each tag; `None` if two members share the tag.
    tags: BTreeMap<NodeTag, Option<NodeId>>,
}

impl MemberTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(me: &NodeInfo, options: &MemberOptions) -> Self {
        Self {
            me: me.node.clone(),
            domain: me.domain.clone(),
            heartbeat_interval: options.heartbeat_interval,
            missed_heartbeats: options.missed_heartbeats,
            max_load_age: options.max_load_age,
            members: BTreeMap::new(),
            own_members: 0,
            tags: BTreeMap::new(),
        }
    }

    /// Returns all members by node id, without this node.
    #[must_use]
    pub fn members(&self) -> &BTreeMap<NodeId, Member> {
        &self.members
    }

    /// Returns the member with the given id.
    pub fn get_mut(&mut self, node: &NodeId) -> Option<&mut Member> {
        self.members.get_mut(node)
    }

    /// Returns the member with the given tag, unless two members share it.
    pub fn by_tag(&mut self, tag: NodeTag) -> Option<&mut Member> {
        let node = self.tags.get(&tag)?.as_ref()?;
        self.members.get_mut(node)
    }

    /// Inserts a node, or replaces it if `info` is of a later incarnation.
    ///
    /// Returns `None` for this node and for an earlier incarnation of a known node.
    pub fn upsert(&mut self, info: &NodeInfo, now: Instant) -> Option<&mut Member> {
        if info.node == self.me {
            return None;
        }
        let held = self
            .members
            .get(&info.node)
            .map(|held| held.info.incarnation);
        if held.is_some_and(|held| info.incarnation < held) {
            return None;
        }
        if held.is_none_or(|held| info.incarnation > held) {
            self.remove(&info.node);
            let member = Member::new(info.clone(), now);
            self.add_tag(&member);
            self.own_members += usize::from(info.domain == self.domain);
            self.members.insert(info.node.clone(), member);
        }
        let member = self.members.get_mut(&info.node)?;
        if info.stopping && !member.info.stopping {
            member.info.stopping = true;
            member.updates_sent = 0;
        }
        Some(member)
    }

    /// Records that a node was alive at `at`, and inserts the node if it is unknown.
    pub fn record_seen_alive(
        &mut self,
        info: &NodeInfo,
        at: Instant,
        config: StoreIndex,
        now: Instant,
    ) -> LivenessChange {
        let rejoin_age = self.failure_timeout(&info.domain) * REJOIN_FACTOR;
        let Some(member) = self.upsert(info, now) else {
            return LivenessChange::Ignored;
        };
        let was_known = member.age(now).is_some_and(|age| age <= rejoin_age);
        if !member.record_seen_alive(at, config) {
            return LivenessChange::Ignored;
        }
        if was_known {
            LivenessChange::StillAlive
        } else {
            LivenessChange::Returned
        }
    }

    /// Removes a node.
    pub fn remove(&mut self, node: &NodeId) {
        let Some(member) = self.members.remove(node) else {
            return;
        };
        self.own_members -= usize::from(member.info.domain == self.domain);
        if self.tags.get(&member.tag) == Some(&Some(node.clone())) {
            self.tags.remove(&member.tag);
        }
    }

    fn add_tag(&mut self, member: &Member) {
        let taken = self.tags.contains_key(&member.tag);
        let owner = (!taken).then(|| member.info.node.clone());
        self.tags.insert(member.tag, owner);
    }

    /// Returns whether a member was seen alive within the failure timeout of its domain.
    #[must_use]
    pub fn is_alive(&self, member: &Member, now: Instant) -> bool {
        let timeout = self.failure_timeout(&member.info.domain);
        member.age(now).is_some_and(|age| age <= timeout)
    }

    /// Returns the time since `last_seen` after which a node of a failure domain counts as dead.
    ///
    /// It covers some missed heartbeats and the heartbeat rounds that an update takes to spread
    /// in a domain of this size.
    #[must_use]
    pub fn failure_timeout(&self, domain: &DomainId) -> Duration {
        let spread = spread_rounds(self.own_members + 1);
        let extra = if *domain == self.domain {
            0
        } else {
            OTHER_DOMAIN_EXTRA_ROUNDS
        };
        self.heartbeat_interval * (self.missed_heartbeats + spread + extra)
    }

    /// Returns the known members of a failure domain.
    pub fn members_in<'a>(&'a self, domain: &'a DomainId) -> impl Iterator<Item = &'a Member> {
        self.members
            .values()
            .filter(move |member| member.info.domain == *domain)
    }

    /// Returns the members of a failure domain that count as alive.
    pub fn alive_in<'a>(
        &'a self,
        domain: &'a DomainId,
        now: Instant,
    ) -> impl Iterator<Item = &'a Member> {
        self.members_in(domain)
            .filter(move |member| self.is_alive(member, now))
    }

    /// Builds the view of all members, without this node.
    #[must_use]
    pub fn view(&self, now: Instant) -> MemberView {
        let mut view = MemberView::default();
        for member in self.members.values() {
            let alive = self.is_alive(member, now);
            let state = NodeState {
                info: member.info.clone(),
                last_seen: member.last_seen.unwrap_or(member.known_at),
                alive,
                config_index: member.config,
            };
            view.nodes.insert(member.info.node.clone(), state);
            if alive && member.info.domain == self.domain {
                self.add_loads(member, now, &mut view);
            }
        }
        view
    }

    fn add_loads(&self, member: &Member, now: Instant, view: &mut MemberView) {
        for (load, at) in member.loads.values() {
            let fresh = now.saturating_duration_since(*at) <= self.max_load_age;
            let held = view.loads.get(&load.slot);
            if fresh && held.is_none_or(|held| held.received_at < *at) {
                view.loads.insert(
                    load.slot.clone(),
                    dispatcher_load(&member.info.node, load, *at),
                );
            }
        }
    }
}

/// Adds the dispatcher and the time to a load.
pub(super) fn dispatcher_load(node: &NodeId, load: &LoadSummary, at: Instant) -> DispatcherLoad {
    DispatcherLoad {
        node: node.clone(),
        load: load.clone(),
        received_at: at,
    }
}

/// Returns the number of heartbeat rounds in which an update spreads to all of `nodes` nodes.
fn spread_rounds(nodes: usize) -> u32 {
    /// Number of nodes up to which each node sends to all others.
    const DIRECT: usize = 3;
    /// Additional rounds, for updates lost in transit.
    const EXTRA: u32 = 2;
    if nodes <= DIRECT {
        return 0;
    }
    nodes.next_power_of_two().ilog2() + EXTRA
}
