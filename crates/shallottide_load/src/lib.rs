//! Open-loop load generator for shallottide that checks each answer.
//!
//! - [`Arrivals`] plans the calls: arrival time, content and entry VM of each.
//! - [`run`] sends them, checks that each answer is complete and belongs to its call, and returns a
//!   [`Report`].

mod answer_check;
mod arrivals;
mod call_plan;
mod caller;
mod load_options;
mod outcome;
mod recorder;
mod report;
mod run_check;
mod runner;
mod target_health;

pub use answer_check::{StreamChecker, Verdict, classify_completion, classify_refusal};
pub use arrivals::Arrivals;
pub use call_plan::{CallKind, CallPlan};
pub use load_options::{LoadOptions, OptionsError, ServiceTarget};
pub use outcome::{Outcome, Timing};
pub use recorder::Recorder;
pub use report::{Latency, Report};
pub use runner::run;
pub use target_health::TargetHealth;
