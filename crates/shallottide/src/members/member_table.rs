//! All other entry VMs that are known here.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, NodeId, StoreIndex};
use shallottide_types::peer::{LoadSummary, NodeInfo, NodeTag};

use super::{Member, MemberOptions};
use crate::view::{DispatcherLoad, MemberView, NodeState};

/// Further beats after which a node of another failure domain counts as dead.
const ABROAD_BEATS: u32 = 6;

/// Multiple of the age of a dead node at which it is introduced to others anew.
const STRANGER_FACTOR: u32 = 3;

/// What happened to a member when something was heard of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// Nothing new, or of an older start of the node.
    Nothing,
    /// It is alive, as it was not long ago.
    StillAlive,
    /// It is alive and was not for long, so that it may know little of others.
    Returned,
}

/// All other entry VMs that are known here.
#[derive(Debug)]
pub struct MemberTable {
    me: NodeId,
    domain: DomainId,
    period: Duration,
    missed_beats: u32,
    max_load_age: Duration,
    members: BTreeMap<NodeId, Member>,
    /// Number of members of this failure domain.
    own_members: usize,
    /// The member of each tag; `None` when two share it.
    tags: BTreeMap<NodeTag, Option<NodeId>>,
}

impl MemberTable {
    /// Creates a table that knows nobody.
    #[must_use]
    pub fn new(me: &NodeInfo, options: &MemberOptions) -> Self {
        Self {
            me: me.node.clone(),
            domain: me.domain.clone(),
            period: options.period,
            missed_beats: options.missed_beats,
            max_load_age: options.max_load_age,
            members: BTreeMap::new(),
            own_members: 0,
            tags: BTreeMap::new(),
        }
    }

    /// Returns all members.
    #[must_use]
    pub fn members(&self) -> &BTreeMap<NodeId, Member> {
        &self.members
    }

    /// Returns one member.
    pub fn get_mut(&mut self, node: &NodeId) -> Option<&mut Member> {
        self.members.get_mut(node)
    }

    /// Finds a member by its tag, unless two share it.
    pub fn by_tag(&mut self, tag: NodeTag) -> Option<&mut Member> {
        let node = self.tags.get(&tag)?.as_ref()?;
        self.members.get_mut(node)
    }

    /// Learns where a node is. Returns `None` for this node and for older starts of a node.
    pub fn learn(&mut self, info: &NodeInfo, now: Instant) -> Option<&mut Member> {
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
            self.forget(&info.node);
            let member = Member::new(info.clone(), now);
            self.add_tag(&member);
            self.own_members += usize::from(info.domain == self.domain);
            self.members.insert(info.node.clone(), member);
        }
        let member = self.members.get_mut(&info.node)?;
        if info.stopping && !member.info.stopping {
            member.info.stopping = true;
            member.news_sent = 0;
        }
        Some(member)
    }

    /// Learns that a node gave a sign of life at `at`.
    pub fn hear(
        &mut self,
        info: &NodeInfo,
        at: Instant,
        config: StoreIndex,
        now: Instant,
    ) -> Heard {
        let long = self.dead_after(&info.domain) * STRANGER_FACTOR;
        let Some(member) = self.learn(info, now) else {
            return Heard::Nothing;
        };
        let was_known = member.age(now).is_some_and(|age| age <= long);
        if !member.hear(at, config) {
            return Heard::Nothing;
        }
        if was_known {
            Heard::StillAlive
        } else {
            Heard::Returned
        }
    }

    /// Forgets a node.
    pub fn forget(&mut self, node: &NodeId) {
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

    /// Tells whether a member counts as alive by its latest known sign of life.
    #[must_use]
    pub fn counts_alive(&self, member: &Member, now: Instant) -> bool {
        let bound = self.dead_after(&member.info.domain);
        member.age(now).is_some_and(|age| age <= bound)
    }

    /// Returns the age of a sign of life by which a node of a failure domain counts as dead:
    /// some missed heartbeats, and the beats that news take to spread in a domain this large.
    #[must_use]
    pub fn dead_after(&self, domain: &DomainId) -> Duration {
        let spread = spread_beats(self.own_members + 1);
        let abroad = if *domain == self.domain {
            0
        } else {
            ABROAD_BEATS
        };
        self.period * (self.missed_beats + spread + abroad)
    }

    /// Returns the known members of a failure domain.
    pub fn members_of<'a>(&'a self, domain: &'a DomainId) -> impl Iterator<Item = &'a Member> {
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
        self.members_of(domain)
            .filter(move |member| self.counts_alive(member, now))
    }

    /// Builds the view of all members, without this node.
    #[must_use]
    pub fn view(&self, now: Instant) -> MemberView {
        let mut view = MemberView::default();
        for member in self.members.values() {
            let alive = self.counts_alive(member, now);
            let state = NodeState {
                info: member.info.clone(),
                last_seen: member.heard_at.unwrap_or(member.known_at),
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

/// Names the dispatcher of a load.
pub(super) fn dispatcher_load(node: &NodeId, load: &LoadSummary, at: Instant) -> DispatcherLoad {
    DispatcherLoad {
        node: node.clone(),
        load: load.clone(),
        received_at: at,
    }
}

/// Returns the heartbeats by which news have spread among so many nodes.
fn spread_beats(nodes: usize) -> u32 {
    /// Nodes that all send to each other.
    const DIRECT: usize = 3;
    /// Beats for news that lost some way.
    const SPARE: u32 = 2;
    if nodes <= DIRECT {
        return 0;
    }
    nodes.next_power_of_two().ilog2() + SPARE
}
