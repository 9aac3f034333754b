//! A node is ready from when its records are loaded until it begins to stop.

use shallottide::readiness::Readiness;
use shallottide_types::cases;

/// Applies the steps in order: `l` for loaded records, `s` for stopping.
fn check(steps: &str, ready: bool) {
    let readiness = Readiness::default();
    for step in steps.chars() {
        match step {
            'l' => readiness.mark_records_loaded(),
            _ => readiness.mark_stopping(),
        }
    }
    assert_eq!(readiness.is_ready(), ready);
}

cases! {
    check;
    just_started: "", false;
    records_loaded: "l", true;
    stopped: "ls", false;
    stopped_before_the_records_were_loaded: "sl", false;
    records_loaded_again_while_stopping: "lsl", false;
}
