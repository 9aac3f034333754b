//! Fault switches that are planned for a number of calls.

/// Sent as `X-Request-Id` by the switch that confuses answers.
pub(crate) const OTHER_REQUEST_ID: &str = "another-call";

/// Takes one of a number of planned faults; `false` when none is left.
pub(crate) fn take_one(left: &mut u32) -> bool {
    let any = *left > 0;
    *left = left.saturating_sub(1);
    any
}
