//! Rank 0 checks that the other members of its group are ready and reports generated tokens to
//! them.

use std::net::SocketAddr;
use std::sync::Weak;
use std::thread;
use std::time::{Duration, Instant};

use shallottide_types::engine::{Assignment, EngineReport};
use ureq::Agent;

use super::completion_run::EngineShared;

/// Time-out of a request to a member.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest interval between two checks while members are missing.
const FORMING_INTERVAL: Duration = Duration::from_millis(100);

/// Checks the members until the engine is dropped. Unparking the thread triggers an immediate
/// check.
pub(super) fn check_members(shared: &Weak<EngineShared>, interval: Duration) {
    let agent: Agent = Agent::config_builder()
        .timeout_global(Some(REPORT_TIMEOUT))
        .build()
        .into();
    loop {
        let Some(engine) = shared.upgrade() else {
            return;
        };
        let mut pause = interval;
        let assignment = engine.model().watched_assignment().cloned();
        if let Some(assignment) = assignment {
            let tokens = engine.model().take_unreported_tokens();
            let mut others = assignment.members.iter().skip(1);
            let ready = others.all(|member| {
                report_tokens(&agent, *member, tokens);
                is_ready(&agent, *member, &assignment)
            });
            let now = Instant::now();
            engine.model().update_members_ready(&assignment, ready, now);
            if !ready {
                pause = pause.min(FORMING_INTERVAL);
            }
        }
        drop(engine);
        thread::park_timeout(pause);
    }
}

/// Reports to a member how many tokens its group generated.
fn report_tokens(agent: &Agent, member: SocketAddr, tokens: u64) {
    if tokens > 0 {
        let request = agent.post(format!("http://{member}/step"));
        // The readiness check that follows detects a member that can't be reached.
        let _ = request.send_json(tokens);
    }
}

fn is_ready(agent: &Agent, member: SocketAddr, assignment: &Assignment) -> bool {
    let report = agent.get(format!("http://{member}/report")).call();
    let report = report.and_then(|mut answer| answer.body_mut().read_json::<EngineReport>());
    let is_same_group =
        |held: Assignment| held.group == assignment.group && held.formed == assignment.formed;
    report
        .is_ok_and(|report| report.state.is_ready() && report.assignment.is_some_and(is_same_group))
}
