//! The micro-kernel: an actor runtime whose services address each other by name and communicate
//! only by messages.

mod context;
pub mod names;
mod outbox;
mod runner;
mod service;

pub use context::Context;
pub use names::Name;
pub use outbox::Outbox;
pub use runner::{Kernel, KernelHandle};
pub use service::Service;
