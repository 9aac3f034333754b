//! The list of all nodes at the platform: when it is read, and how a listing is applied.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::NodeId;
use shallottide_types::peer::NodeInfo;
use shallottide_types::platform::{Entry, Listing};

use super::{Member, MemberOptions, MemberTable, gossip, registration};

/// Maximum number of entries of dead nodes removed after one listing.
const MAX_REMOVALS: usize = 4;

/// Which nodes read the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListReader {
    /// Every node.
    AllNodes,
    /// The one node that lists on behalf of its failure domain.
    Lister,
}

/// Schedule of the reads of the list.
///
/// Every node reads it once more some time after its start; from then on, one node of each
/// failure domain reads it every `interval`.
#[derive(Debug)]
pub(super) struct NodeListSchedule {
    second_read_delay: Duration,
    interval: Duration,
    next: Option<Instant>,
    read_twice: bool,
}

impl NodeListSchedule {
    /// Creates a schedule that starts with the first call of [`Self::due`].
    pub(super) fn new(options: &MemberOptions) -> Self {
        Self {
            second_read_delay: options.second_list_delay,
            interval: options.list_interval,
            next: None,
            read_twice: false,
        }
    }

    /// Returns which nodes read the list now, if a read is due.
    pub(super) fn due(&mut self, now: Instant) -> Option<ListReader> {
        let next = *self.next.get_or_insert(now + self.second_read_delay);
        if now < next {
            return None;
        }
        self.next = Some(now + self.interval);
        if std::mem::replace(&mut self.read_twice, true) {
            Some(ListReader::Lister)
        } else {
            Some(ListReader::AllNodes)
        }
    }
}

/// Inserts all listed nodes into the table, and removes nodes that are not listed and have been
/// dead for `remove_after`.
///
/// Returns up to [`MAX_REMOVALS`] entries of this failure domain whose nodes have been dead
/// for `remove_after`.
pub(super) fn apply_listing<'a>(
    table: &mut MemberTable,
    listing: &'a Listing,
    me: &NodeInfo,
    now: Instant,
    remove_after: Duration,
) -> Vec<&'a Entry> {
    let listed = insert_listed(table, listing, now);
    let long_dead = |member: &&Member| now >= member.known_at + remove_after;
    let members = table.members().values().filter(long_dead);
    let dead: Vec<NodeInfo> = members.map(|member| member.info.clone()).collect();
    let mut removed = Vec::new();
    for info in dead {
        match listed.get(&info.node) {
            None => table.remove(&info.node),
            Some(entry) if info.domain == me.domain => removed.push(*entry),
            Some(_) => {}
        }
    }
    removed.truncate(MAX_REMOVALS);
    removed
}

fn insert_listed<'a>(
    table: &mut MemberTable,
    listing: &'a Listing,
    now: Instant,
) -> BTreeMap<NodeId, &'a Entry> {
    let mut listed = BTreeMap::new();
    for entry in &listing.entries {
        let Some(info) = registration::parse_node(entry) else {
            tracing::warn!(key = entry.key, "malformed node entry");
            continue;
        };
        if let Some(member) = table.upsert(&info, now) {
            // Every node can read the list, so its entries need not be gossiped with priority.
            member.updates_sent = gossip::MAX_UPDATE_SENDS;
        }
        listed.insert(info.node, entry);
    }
    listed
}
