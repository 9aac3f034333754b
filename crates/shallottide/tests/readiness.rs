//! A node is ready between knowing its records and stopping.

use shallottide::readiness::Readiness;
use shallottide_types::cases;

/// Applies steps in order: `k` for known records, `s` for stopping.
fn check(steps: &str, ready: bool) {
    let readiness = Readiness::default();
    for step in steps.chars() {
        match step {
            'k' => readiness.mark_records_loaded(),
            _ => readiness.mark_stopping(),
        }
    }
    assert_eq!(readiness.is_ready(), ready);
}

cases! {
    check;
    just_started: "", false;
    records_known: "k", true;
    stopped: "ks", false;
    stopped_before_the_records_came: "sk", false;
    records_read_again_while_stopping: "ksk", false;
}
