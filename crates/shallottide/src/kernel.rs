//! The micro-kernel: services that find each other by name and talk by messages.

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
