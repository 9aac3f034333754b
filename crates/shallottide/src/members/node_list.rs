//! The list of all nodes at the platform: when it is read and what follows from it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::NodeId;
use shallottide_types::peer::NodeInfo;
use shallottide_types::platform::{Entry, Listing};

use super::{Member, MemberOptions, MemberTable, gossip, registration};

/// Entries of dead nodes removed after one listing.
const MAX_REMOVALS: usize = 4;

/// Who is to read the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListReader {
    /// Every node.
    Everyone,
    /// The node that does so for its failure domain.
    Lister,
}

/// Says when the list is read again: once some time after the start, and then at a slow pace
/// by one node of each failure domain.
#[derive(Debug)]
pub(super) struct NodeList {
    second_after: Duration,
    interval: Duration,
    next: Option<Instant>,
    read_twice: bool,
}

impl NodeList {
    /// Creates a schedule that begins with its first question.
    pub(super) fn new(options: &MemberOptions) -> Self {
        Self {
            second_after: options.second_list_after,
            interval: options.list_interval,
            next: None,
            read_twice: false,
        }
    }

    /// Tells who is to read the list now, if anyone.
    pub(super) fn due(&mut self, now: Instant) -> Option<ListReader> {
        let next = *self.next.get_or_insert(now + self.second_after);
        if now < next {
            return None;
        }
        self.next = Some(now + self.interval);
        if std::mem::replace(&mut self.read_twice, true) {
            Some(ListReader::Lister)
        } else {
            Some(ListReader::Everyone)
        }
    }
}

/// Learns where all listed nodes are, and forgets nodes that are dead for long and not listed.
/// Returns some entries of this failure domain whose nodes are dead for long.
pub(super) fn take_in<'a>(
    table: &mut MemberTable,
    listing: &'a Listing,
    me: &NodeInfo,
    now: Instant,
    remove_after: Duration,
) -> Vec<&'a Entry> {
    let listed = learn(table, listing, now);
    let dead_long = |member: &&Member| now >= member.known_at + remove_after;
    let members = table.members().values().filter(dead_long);
    let dead: Vec<NodeInfo> = members.map(|member| member.info.clone()).collect();
    let mut removed = Vec::new();
    for info in dead {
        match listed.get(&info.node) {
            None => table.forget(&info.node),
            Some(entry) if info.domain == me.domain => removed.push(*entry),
            Some(_) => {}
        }
    }
    removed.truncate(MAX_REMOVALS);
    removed
}

fn learn<'a>(
    table: &mut MemberTable,
    listing: &'a Listing,
    now: Instant,
) -> BTreeMap<NodeId, &'a Entry> {
    let mut listed = BTreeMap::new();
    for entry in &listing.entries {
        let Some(info) = registration::read_node(entry) else {
            tracing::warn!(key = entry.key, "node entry can't be read");
            continue;
        };
        if let Some(member) = table.learn(&info, now) {
            // Every node can read the list, so that there is no need to tell of it.
            member.news_sent = gossip::NEWS_SENDS;
        }
        listed.insert(info.node, entry);
    }
    listed
}
