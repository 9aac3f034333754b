//! Restarts a node's tasks after a panic.

use std::time::Duration;

use tokio::task::spawn_local;

/// Pause before a task that panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Runs a task on the current local set until it ends; starts it again if it panics.
///
/// One message that a task can't handle then costs that message, not the node.
pub async fn supervise<F: Future<Output = ()> + 'static>(
    task: &'static str,
    mut start: impl FnMut() -> F,
) {
    while let Err(error) = spawn_local(start()).await {
        if !error.is_panic() {
            return;
        }
        tracing::error!(task, %error, "task panicked: starting it again");
        tokio::time::sleep(RESTART_DELAY).await;
    }
}
