//! Rank 0 checks that the other members of its group are there, and shares work with them.

use std::net::SocketAddr;
use std::sync::Weak;
use std::thread;
use std::time::{Duration, Instant};

use shallottide_types::engine::{Assignment, EngineReport};
use ureq::Agent;

use super::completion_run::EngineShared;

/// Longest wait for a member's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time between two checks while members are missing.
const FORMING_INTERVAL: Duration = Duration::from_millis(100);

/// Checks the members until the engine is gone. An unpark of the thread checks at once.
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
                share_work(&agent, *member, tokens);
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

/// Tells a member how many tokens it helped to make.
fn share_work(agent: &Agent, member: SocketAddr, tokens: u64) {
    if tokens > 0 {
        let step = agent.post(format!("http://{member}/step"));
        // A member that can't be told is found missing right after.
        let _ = step.send_json(tokens);
    }
}

fn is_ready(agent: &Agent, member: SocketAddr, assignment: &Assignment) -> bool {
    let report = agent.get(format!("http://{member}/report")).call();
    let report = report.and_then(|mut answer| answer.body_mut().read_json::<EngineReport>());
    let same =
        |held: Assignment| held.group == assignment.group && held.formed == assignment.formed;
    report.is_ok_and(|report| report.state.is_ready() && report.assignment.is_some_and(same))
}
