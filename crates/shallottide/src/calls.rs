//! Lifecycle of callers' requests: arrival, claim, routing, attempts, and one complete answer or
//! refusal.
//!
//! Each call is a state machine driven by messages. The node that a caller reached is responsible
//! for the call: it claims the key, retries and resumes. A node that a call was forwarded to runs
//! it once and reports the result.

mod answer_buffer;
mod arrival;
mod attempt;
mod attempt_events;
mod call;
mod call_counts;
mod call_options;
mod call_service;
mod call_table;
mod claiming;
mod crash_reports;
mod crashing_calls;
mod dispatching;
mod refusals;
mod retry_budget;

pub use call_counts::CallCounts;
pub use call_options::CallOptions;
pub use call_service::CallService;
pub(crate) use claiming::claim_id;
