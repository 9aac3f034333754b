//! Asks entry nodes for their status.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use serde::Serialize;
use shallottide::operate::NodeStatus;
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
        let agent = agent();
        let results = thread::scope(|scope| {
            let ask = |&node| {
                let agent = &agent;
                (node, scope.spawn(move || ask(agent, node, token)))
            };
            let asked: Vec<_> = nodes.iter().map(ask).collect();
            let joined = asked
                .into_iter()
                .map(|(node, thread)| (node, thread.join()));
            joined.collect::<Vec<_>>()
        });
        let mut answers = Self::default();
        for (address, result) in results {
            let result = result.unwrap_or_else(|_| Err("asking it failed".into()));
            match result {
                Ok(status) => answers.statuses.push(status),
                Err(reason) => answers.unanswered.push(Unanswered { address, reason }),
            }
        }
        answers
    }
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

fn ask(agent: &Agent, node: SocketAddr, token: &Secret) -> Result<NodeStatus, String> {
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
