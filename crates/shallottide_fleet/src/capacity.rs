//! Learned capacity: how the time to an engine's first event depends on its load and on the prompt,
//! and up to which load calls are still on time.
//!
//! A sample's time is explained as the product of its kind's `curve` of load and prompt, the
//! kind's `level` (all of its engines at once), the `pace` of the engine's lifetime and this
//! node's own bias (for example a slow link). The curve changes within a minute, level and pace
//! within about a second. Nodes send each other the part that the curve and the own bias do not
//! explain.

mod curve;
mod kind_model;
mod level;
mod model;
mod pace;
mod prompt_window;
mod quantile;

use std::time::Duration;

pub use crate::load_keys::Kind;
pub use model::CapacityModel;
pub use pace::Slowness;

/// One stream's time from the send to its first event.
#[derive(Debug, Clone, PartialEq)]
pub struct FirstEventSample {
    /// Running and waiting requests that the engine stated in the head of the response.
    pub load: f64,
    /// Requests that the engine runs at the same time.
    pub slots: u32,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Time from the send to the first event.
    pub took: Duration,
    /// Whether the engine is in another failure domain than this node.
    pub is_other_domain: bool,
}

/// Returns the share of a moving average that a value gets which comes `elapsed` after the last one.
fn gain(elapsed: Duration, time_constant: Duration) -> f64 {
    -(-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp_m1()
}
