//! Dissemination of information about other nodes in heartbeats.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, NodeId, StoreIndex};
use shallottide_types::peer::{
    CompactLoadSummary, CompactNodeUpdate, Heartbeat, LoadSummary, NodeUpdate, Slot, SlotTag,
};
use shallottide_types::placement::Placement;

use super::{Member, MemberOptions, MemberTable, ring};

/// Number of nodes per failure domain that are gossiped to other failure domains.
pub(super) const CONTACT_NODES: usize = 4;

/// Purpose by which the contact nodes are ranked.
const CONTACT_PURPOSE: &str = "contact";

/// How often the info of a new or changed node is sent with priority.
pub(super) const MAX_UPDATE_SENDS: u32 = 6;

/// Unit of the ages sent in node updates.
const DECISECOND: Duration = Duration::from_millis(100);

/// Chooses which compact and full node updates a heartbeat carries.
#[derive(Debug, Default)]
pub(super) struct Gossip {
    /// The last node sent in round-robin order.
    cursor: Option<NodeId>,
}

impl Gossip {
    /// Chooses the compact updates for a peer of this failure domain.
    ///
    /// One half are about the nodes sent least often, the most recently seen first, so that new
    /// information spreads fast. The other half are about the nodes not sent for the longest
    /// time, so that every node is sent eventually.
    pub(super) fn compact_updates(
        table: &mut MemberTable,
        to: Option<&NodeId>,
        scope: &GossipScope,
        options: &MemberOptions,
    ) -> Vec<CompactNodeUpdate> {
        let mut chosen: Vec<_> = scope
            .nodes
            .iter()
            .filter(|node| Some(*node) != to)
            .filter_map(|node| {
                let member = table.members().get(node)?;
                Some((
                    member.compact_updates_sent,
                    member.age(scope.now)?,
                    node.clone(),
                ))
            })
            .collect();
        chosen.sort_unstable();
        let priority_count = options.max_compact_updates / 2;
        if let Some(others) = chosen.get_mut(priority_count..) {
            others.sort_by_key(|(_, _, node)| {
                table.members().get(node).and_then(|m| m.last_reported_at)
            });
        }
        chosen.truncate(options.max_compact_updates);
        let mut compact_updates = Vec::new();
        for (_, age, node) in chosen {
            let Some(member) = table.get_mut(&node) else {
                continue;
            };
            member.compact_updates_sent += 1;
            member.last_reported_at = Some(scope.now);
            compact_updates.push(compact_update(member, age, scope.config, options));
        }
        compact_updates
    }

    /// Chooses the nodes whose info is sent: first new or changed ones, then the others in
    /// round-robin order.
    pub(super) fn node_updates(
        &mut self,
        table: &mut MemberTable,
        to: Option<&NodeId>,
        scope: &GossipScope,
        count: usize,
    ) -> Vec<NodeUpdate> {
        let mut remaining = scope.nodes.clone();
        remaining.retain(|node| Some(node) != to);
        let is_recent = |node: &&NodeId| {
            let member = table.members().get(*node);
            member.is_some_and(|member| member.updates_sent < MAX_UPDATE_SENDS)
        };
        let mut chosen: Vec<NodeId> = remaining
            .iter()
            .filter(is_recent)
            .take(count)
            .cloned()
            .collect();
        remaining.retain(|node| !chosen.contains(node));
        let split = self.cursor.as_ref().map_or(0, |cursor| {
            remaining.iter().position(|node| node > cursor).unwrap_or(0)
        });
        remaining.rotate_left(split);
        remaining.truncate(count - chosen.len());
        self.cursor = remaining.last().cloned().or(self.cursor.take());
        chosen.append(&mut remaining);
        chosen
            .iter()
            .filter_map(|node| node_update(table.get_mut(node)?, scope.now))
            .collect()
    }
}

/// The nodes whose state the heartbeats of one round may include.
#[derive(Debug)]
pub(super) struct GossipScope {
    /// The nodes in id order.
    ///
    /// For a receiver in the own domain: all alive nodes of that domain, and the contact nodes
    /// of the other domains. For a receiver in another domain: the contact nodes of the own one.
    nodes: Vec<NodeId>,
    /// Store index that the sender has applied.
    config: StoreIndex,
    /// When the round started.
    now: Instant,
}

impl GossipScope {
    /// Collects the nodes for receivers within `domain` or, with `to_other_domain`, outside it.
    pub(super) fn new(
        table: &MemberTable,
        domain: &DomainId,
        to_other_domain: bool,
        config: StoreIndex,
        now: Instant,
    ) -> Self {
        let mut by_domain: BTreeMap<&DomainId, Vec<&NodeId>> = BTreeMap::new();
        for member in table.members().values() {
            let relevant = !to_other_domain || member.info.domain == *domain;
            if relevant && table.is_alive(member, now) {
                let nodes = by_domain.entry(&member.info.domain).or_default();
                nodes.push(&member.info.node);
            }
        }
        let mut nodes_in_scope = Vec::new();
        for (of, nodes) in by_domain {
            if of == domain && !to_other_domain {
                nodes_in_scope.extend(nodes.into_iter().cloned());
            } else {
                let contacts = ring::first_ranked(CONTACT_PURPOSE, nodes, CONTACT_NODES);
                nodes_in_scope.extend(contacts.into_iter().cloned());
            }
        }
        nodes_in_scope.sort_unstable();
        Self {
            nodes: nodes_in_scope,
            config,
            now,
        }
    }
}

/// Applies the information in a heartbeat about nodes other than its sender.
pub(super) fn apply_heartbeat(
    table: &mut MemberTable,
    heartbeat: &Heartbeat,
    slots: &SlotTags,
    now: Instant,
) {
    for update in &heartbeat.updates {
        if let Some(at) = now.checked_sub(update.age) {
            table.record_seen_alive(&update.info, at, update.config_index, now);
        }
    }
    for update in &heartbeat.compact_updates {
        let age = DECISECOND * u32::from(update.age_ds);
        let Some(at) = now.checked_sub(age) else {
            continue;
        };
        let Some(member) = table.by_tag(update.node) else {
            continue;
        };
        let config = StoreIndex(heartbeat.config_index.0.saturating_sub(update.config_lag));
        member.record_seen_alive(at, config);
        for load in &update.loads {
            if let Some(slot) = slots.get(load.slot) {
                member.record_load(load_summary(slot, load), at);
            }
        }
    }
}

/// Index from tags to the slots of this failure domain.
#[derive(Debug, Default)]
pub(super) struct SlotTags {
    /// The slot of each tag; `None` if two slots share the tag.
    slots: BTreeMap<SlotTag, Option<Slot>>,
}

impl SlotTags {
    /// Indexes all slots of a placement.
    pub(super) fn from_placement(placement: &Placement) -> Self {
        let groups = placement.groups.keys().cloned().map(Slot::Group);
        let services = placement.services.keys().cloned().map(Slot::Service);
        let mut slots = BTreeMap::new();
        for slot in groups.chain(services) {
            let known = slots.entry(ring::slot_tag(&slot));
            known
                .and_modify(|shared| *shared = None)
                .or_insert(Some(slot));
        }
        Self { slots }
    }

    fn get(&self, tag: SlotTag) -> Option<&Slot> {
        self.slots.get(&tag)?.as_ref()
    }
}

fn load_summary(slot: &Slot, load: &CompactLoadSummary) -> LoadSummary {
    LoadSummary {
        slot: slot.clone(),
        in_flight: load.in_flight,
        limit: load.limit,
    }
}

fn compact_update(
    member: &Member,
    age: Duration,
    config: StoreIndex,
    options: &MemberOptions,
) -> CompactNodeUpdate {
    let loads = member.current_loads().take(options.max_loads_per_update);
    CompactNodeUpdate {
        node: member.tag,
        age_ds: to_deciseconds(age),
        config_lag: config.0.saturating_sub(member.config.0),
        loads: loads
            .map(|load| CompactLoadSummary {
                slot: ring::slot_tag(&load.slot),
                in_flight: load.in_flight,
                limit: load.limit,
            })
            .collect(),
    }
}

fn node_update(member: &mut Member, now: Instant) -> Option<NodeUpdate> {
    member.updates_sent = member.updates_sent.saturating_add(1);
    Some(NodeUpdate {
        info: member.info.clone(),
        age: DECISECOND * u32::from(to_deciseconds(member.age(now)?)),
        config_index: member.config,
    })
}

/// Converts an age to tenths of a second, rounded up and with one tenth added for transmission.
///
/// Without this, the transmission delays would be lost from the age, and a dead
/// node would appear to have been seen more recently with each relay.
fn to_deciseconds(age: Duration) -> u8 {
    let tenths = age.as_millis().div_ceil(DECISECOND.as_millis()) + 1;
    u8::try_from(tenths).unwrap_or(u8::MAX)
}
