//! Choice of a node in another failure domain when this domain can't serve a call.

use std::collections::BTreeMap;

use shallottide_types::id::{DomainId, NodeId};
use shallottide_types::peer::NodeInfo;

use super::{RouteQuery, upstream_rules};
use crate::groups::rendezvous;
use crate::kernel::Context;

/// Chooses an alive node of another failure domain that is not out, was not tried and has an
/// upstream for the target; domains in this node's region come first.
pub(super) fn choose(query: &RouteQuery<'_>, cx: &Context) -> Option<NodeInfo> {
    let key = rendezvous::hash(query.head.id.as_str());
    let mut domains: Vec<(DomainId, Vec<NodeInfo>)> =
        eligible_nodes(query, cx).into_iter().collect();
    rendezvous::sort(key, &mut domains, |(domain, _)| domain.as_str());
    let config = cx.config();
    let region = |domain: &DomainId| config.domains.get(domain).map(|record| &record.region);
    let own_region = region(&cx.me().domain);
    domains.sort_by_key(|(domain, _)| region(domain) != own_region);
    let (_, mut nodes) = domains.into_iter().next()?;
    rendezvous::sort(key, &mut nodes, |info| NodeId::as_str(&info.node));
    nodes.into_iter().next()
}

fn eligible_nodes(query: &RouteQuery<'_>, cx: &Context) -> BTreeMap<DomainId, Vec<NodeInfo>> {
    let (config, members) = (cx.config(), cx.members());
    let me = cx.me();
    let mut domains: BTreeMap<DomainId, Vec<NodeInfo>> = BTreeMap::new();
    for state in members.nodes.values() {
        let info = &state.info;
        let is_eligible = state.alive
            && !info.stopping
            && info.domain != me.domain
            && !query.tried_domains.contains(&info.domain)
            && !config.is_out(&info.domain)
            && upstream_rules::serves(&query.head.target, &info.domain, &config);
        if is_eligible {
            let nodes = domains.entry(info.domain.clone()).or_default();
            nodes.push(info.clone());
        }
    }
    domains
}
