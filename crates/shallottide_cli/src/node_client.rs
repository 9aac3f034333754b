//! Queries entry nodes for their status.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use shallottide::operate::NodeStatus;
use shallottide_types::entry_status::EntryStatus;
use shallottide_types::secret::Secret;
use ureq::Agent;

/// How long to wait for the answer of one node.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest accepted status, in bytes.
const MAX_STATUS_BYTES: u64 = 16 << 20;

/// A node whose status could not be read.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct UnansweredNode {
    pub(crate) address: SocketAddr,
    /// Error message, with what to do about it.
    pub(crate) reason: String,
}

/// Result of querying several nodes.
#[derive(Debug, Default)]
pub(crate) struct NodeAnswers {
    pub(crate) statuses: Vec<NodeStatus>,
    pub(crate) unanswered: Vec<UnansweredNode>,
}

impl NodeAnswers {
    /// Queries all nodes in parallel.
    pub(crate) fn query(nodes: &[SocketAddr], token: &Secret) -> Self {
        let (statuses, unanswered) = query_all(nodes, token);
        Self {
            statuses,
            unanswered,
        }
    }
}

/// Queries entry nodes on a platform, at their metrics addresses.
pub(crate) fn query_entry_nodes(
    addresses: &[SocketAddr],
) -> (Vec<EntryStatus>, Vec<UnansweredNode>) {
    query_all(addresses, &Secret::default())
}

/// Queries all nodes in parallel, each in a thread of its own.
fn query_all<T: DeserializeOwned + Send>(
    nodes: &[SocketAddr],
    token: &Secret,
) -> (Vec<T>, Vec<UnansweredNode>) {
    let agent = agent();
    let results = thread::scope(|scope| {
        let spawn_query = |&node| {
            let agent = &agent;
            (node, scope.spawn(move || query::<T>(agent, node, token)))
        };
        let queries: Vec<_> = nodes.iter().map(spawn_query).collect();
        let joined = queries
            .into_iter()
            .map(|(node, thread)| (node, thread.join()));
        joined.collect::<Vec<_>>()
    });
    let mut statuses = Vec::new();
    let mut unanswered = Vec::new();
    for (address, result) in results {
        let result = result.unwrap_or_else(|_| Err("the status query panicked".into()));
        match result {
            Ok(status) => statuses.push(status),
            Err(reason) => unanswered.push(UnansweredNode { address, reason }),
        }
    }
    (statuses, unanswered)
}

fn agent() -> Agent {
    Agent::config_builder()
        .max_idle_connections(0)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(ANSWER_TIMEOUT))
        .build()
        .into()
}

fn query<T: DeserializeOwned>(
    agent: &Agent,
    node: SocketAddr,
    token: &Secret,
) -> Result<T, String> {
    let mut request = agent.get(format!("http://{node}/status"));
    if !token.is_empty() {
        let header = format!("Bearer {}", token.expose());
        request = request.header("authorization", header);
    }
    let mut response = request
        .call()
        .map_err(|e| format!("{e}: check the address and the node"))?;
    match response.status().as_u16() {
        200 => {}
        401 | 403 => return Err("token refused: set token in the settings".into()),
        status => {
            return Err(format!(
                "status {status}: check that this is an operators' port"
            ));
        }
    }
    response
        .body_mut()
        .with_config()
        .limit(MAX_STATUS_BYTES)
        .read_json()
        .map_err(|e| format!("{e}: check that this is an operators' port"))
}
