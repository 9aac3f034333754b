//! Asks entry nodes for their status.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use shallottide::operate::NodeStatus;
use shallottide_types::entry_status::EntryStatus;
use shallottide_types::secret::Secret;
use ureq::Agent;

/// Longest time for one node's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest status, in bytes.
const MAX_STATUS_BYTES: u64 = 16 << 20;

/// A node that gave no status.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Unanswered {
    pub(crate) address: SocketAddr,
    /// What is wrong, naming the remedy.
    pub(crate) reason: String,
}

/// What all nodes said.
#[derive(Debug, Default)]
pub(crate) struct NodeAnswers {
    pub(crate) statuses: Vec<NodeStatus>,
    pub(crate) unanswered: Vec<Unanswered>,
}

impl NodeAnswers {
    /// Asks all nodes at the same time.
    pub(crate) fn ask(nodes: &[SocketAddr], token: &Secret) -> Self {
        let (statuses, unanswered) = ask_all(nodes, token);
        Self {
            statuses,
            unanswered,
        }
    }
}

/// Asks entry nodes on a platform, at their metrics addresses.
pub(crate) fn ask_entries(addresses: &[SocketAddr]) -> (Vec<EntryStatus>, Vec<Unanswered>) {
    ask_all(addresses, &Secret::default())
}

/// Asks all nodes at the same time.
fn ask_all<T: DeserializeOwned + Send>(
    nodes: &[SocketAddr],
    token: &Secret,
) -> (Vec<T>, Vec<Unanswered>) {
    let agent = agent();
    let results = thread::scope(|scope| {
        let ask = |&node| {
            let agent = &agent;
            (node, scope.spawn(move || ask::<T>(agent, node, token)))
        };
        let asked: Vec<_> = nodes.iter().map(ask).collect();
        let joined = asked
            .into_iter()
            .map(|(node, thread)| (node, thread.join()));
        joined.collect::<Vec<_>>()
    });
    let mut statuses = Vec::new();
    let mut unanswered = Vec::new();
    for (address, result) in results {
        let result = result.unwrap_or_else(|_| Err("asking it failed".into()));
        match result {
            Ok(status) => statuses.push(status),
            Err(reason) => unanswered.push(Unanswered { address, reason }),
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

fn ask<T: DeserializeOwned>(agent: &Agent, node: SocketAddr, token: &Secret) -> Result<T, String> {
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
        401 | 403 => return Err("the token is refused: set token in the settings".into()),
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
