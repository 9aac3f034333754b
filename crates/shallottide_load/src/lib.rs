//! Open-loop load for shallottide, with checks that each answer is whole and its own.
//!
//! - [`Arrivals`] plans the calls: when each arrives, what it asks and of which entry VM.
//! - [`run`] makes them and gives a [`Report`].

mod answer_check;
mod arrivals;
mod call_plan;
mod caller;
mod health;
mod load_options;
mod outcome;
mod recorder;
mod report;
mod run_check;
mod runner;

pub use answer_check::{StreamCheck, Verdict, judge_completion, judge_refusal};
pub use arrivals::Arrivals;
pub use call_plan::{CallKind, CallPlan};
pub use health::Health;
pub use load_options::{LoadOptions, OptionsError, ServiceTarget};
pub use outcome::{Outcome, Timing};
pub use recorder::Recorder;
pub use report::{Latency, Report};
pub use runner::run;
