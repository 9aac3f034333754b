//! What heartbeats tell of nodes other than their sender.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, NodeId, StoreIndex};
use shallottide_types::peer::{
    CompactLoadSummary, CompactNodeUpdate, Heartbeat, LoadSummary, NodeUpdate, Slot, SlotTag,
};
use shallottide_types::placement::Placement;

use super::{Member, MemberOptions, MemberTable, ring};

/// Nodes of each other failure domain that are told of in this one, and the other way round.
pub(super) const CONTACTS: usize = 4;

/// Purpose by which contacts are ranked.
const CONTACT_PURPOSE: &str = "contact";

/// How often it is told on at once where a node is that came or changed.
pub(super) const NEWS_SENDS: u32 = 6;

/// Tenth of a second.
const DECISECOND: Duration = Duration::from_millis(100);

/// Chooses what a heartbeat tells of other nodes, and takes in what heartbeats tell.
#[derive(Debug, Default)]
pub(super) struct Gossip {
    /// The last node introduced without need, so that all take turns.
    cursor: Option<NodeId>,
}

impl Gossip {
    /// Chooses sightings for a peer of this failure domain. One half are those told least
    /// often since they became known, among them the youngest, so that news travel fast; the
    /// other half are those not told for longest, so that none is left out.
    pub(super) fn sightings(
        table: &mut MemberTable,
        to: Option<&NodeId>,
        scope: &Scope,
        options: &MemberOptions,
    ) -> Vec<CompactNodeUpdate> {
        let mut chosen: Vec<_> = scope
            .told
            .iter()
            .filter(|node| Some(*node) != to)
            .filter_map(|node| {
                let member = table.members().get(node)?;
                Some((member.sightings_sent, member.age(scope.now)?, node.clone()))
            })
            .collect();
        chosen.sort_unstable();
        let urgent = options.max_sightings / 2;
        if let Some(others) = chosen.get_mut(urgent..) {
            others.sort_by_key(|(_, _, node)| table.members().get(node).and_then(|m| m.told_at));
        }
        chosen.truncate(options.max_sightings);
        let mut sightings = Vec::new();
        for (_, age, node) in chosen {
            let Some(member) = table.get_mut(&node) else {
                continue;
            };
            member.sightings_sent += 1;
            member.told_at = Some(scope.now);
            sightings.push(sighting(member, age, scope.config, options));
        }
        sightings
    }

    /// Chooses nodes to introduce: those that came or changed, then the others in turn.
    pub(super) fn news(
        &mut self,
        table: &mut MemberTable,
        to: Option<&NodeId>,
        scope: &Scope,
        count: usize,
    ) -> Vec<NodeUpdate> {
        let mut told = scope.told.clone();
        told.retain(|node| Some(node) != to);
        let hot = |node: &&NodeId| {
            let member = table.members().get(*node);
            member.is_some_and(|member| member.news_sent < NEWS_SENDS)
        };
        let mut chosen: Vec<NodeId> = told.iter().filter(hot).take(count).cloned().collect();
        told.retain(|node| !chosen.contains(node));
        let split = self.cursor.as_ref().map_or(0, |cursor| {
            told.iter().position(|node| node > cursor).unwrap_or(0)
        });
        told.rotate_left(split);
        told.truncate(count - chosen.len());
        self.cursor = told.last().cloned().or(self.cursor.take());
        chosen.append(&mut told);
        chosen
            .iter()
            .filter_map(|node| news_of(table.get_mut(node)?, scope.now))
            .collect()
    }
}

/// Which nodes are told of in one beat.
#[derive(Debug)]
pub(super) struct Scope {
    /// The nodes in id order. Within the domain: all of its nodes and the contacts of other
    /// domains. To another domain: the contacts of this one.
    told: Vec<NodeId>,
    /// The sender's store index.
    config: StoreIndex,
    /// The time.
    now: Instant,
}

impl Scope {
    /// Collects the nodes that are told of within `domain` or, from there, `abroad`.
    pub(super) fn new(
        table: &MemberTable,
        domain: &DomainId,
        abroad: bool,
        config: StoreIndex,
        now: Instant,
    ) -> Self {
        let mut by_domain: BTreeMap<&DomainId, Vec<&NodeId>> = BTreeMap::new();
        for member in table.members().values() {
            let relevant = !abroad || member.info.domain == *domain;
            if relevant && table.counts_alive(member, now) {
                let nodes = by_domain.entry(&member.info.domain).or_default();
                nodes.push(&member.info.node);
            }
        }
        let mut told = Vec::new();
        for (of, nodes) in by_domain {
            if of == domain && !abroad {
                told.extend(nodes.into_iter().cloned());
            } else {
                let contacts = ring::first_ranked(CONTACT_PURPOSE, nodes, CONTACTS);
                told.extend(contacts.into_iter().cloned());
            }
        }
        told.sort_unstable();
        Self { told, config, now }
    }
}

/// Takes in what a heartbeat tells of nodes other than its sender.
pub(super) fn absorb(table: &mut MemberTable, beat: &Heartbeat, slots: &SlotTags, now: Instant) {
    for news in &beat.updates {
        if let Some(at) = now.checked_sub(news.age) {
            table.hear(&news.info, at, news.config_index, now);
        }
    }
    for sighting in &beat.compact_updates {
        let age = DECISECOND * u32::from(sighting.age_ds);
        let Some(at) = now.checked_sub(age) else {
            continue;
        };
        let Some(member) = table.by_tag(sighting.node) else {
            continue;
        };
        let config = StoreIndex(beat.config_index.0.saturating_sub(sighting.config_lag));
        member.hear(at, config);
        for load in &sighting.loads {
            if let Some(slot) = slots.get(load.slot) {
                member.load(load_summary(slot, load), at);
            }
        }
    }
}

/// Finds the slots of this failure domain by their tags.
#[derive(Debug, Default)]
pub(super) struct SlotTags {
    /// The slot of each tag; `None` when two share it.
    slots: BTreeMap<SlotTag, Option<Slot>>,
}

impl SlotTags {
    /// Collects all slots of a placement.
    pub(super) fn of(placement: &Placement) -> Self {
        let groups = placement.groups.keys().cloned().map(Slot::Group);
        let services = placement.services.keys().cloned().map(Slot::Service);
        let mut slots = BTreeMap::new();
        for slot in groups.chain(services) {
            let known = slots.entry(ring::slot_tag(&slot));
            known.and_modify(|one| *one = None).or_insert(Some(slot));
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

fn sighting(
    member: &Member,
    age: Duration,
    config: StoreIndex,
    options: &MemberOptions,
) -> CompactNodeUpdate {
    let loads = member.current_loads().take(options.max_sighting_loads);
    CompactNodeUpdate {
        node: member.tag,
        age_ds: age_to_send(age),
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

fn news_of(member: &mut Member, now: Instant) -> Option<NodeUpdate> {
    member.news_sent = member.news_sent.saturating_add(1);
    Some(NodeUpdate {
        info: member.info.clone(),
        age: DECISECOND * u32::from(age_to_send(member.age(now)?)),
        config_index: member.config,
    })
}

/// Rounds an age up, with a tenth of a second for the way, so that a dead node's sign of life
/// doesn't grow younger from teller to teller.
fn age_to_send(age: Duration) -> u8 {
    let tenths = age.as_millis().div_ceil(DECISECOND.as_millis()) + 1;
    u8::try_from(tenths).unwrap_or(u8::MAX)
}
