//! Fault switches that apply to a number of upcoming calls.

/// `X-Request-Id` sent by the `wrong_request_id` fault switches.
pub(crate) const OTHER_REQUEST_ID: &str = "another-call";

/// Consumes one of the remaining faults; `false` when none remains.
pub(crate) fn consume_fault(remaining: &mut u32) -> bool {
    let is_due = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    is_due
}
