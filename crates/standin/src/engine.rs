//! A model engine: one member of a group of VMs that together serve a copy of a model.

mod completion_request;
mod completion_run;
mod engine_faults;
mod engine_handler;
mod engine_model;
mod engine_options;
mod engine_server;
mod load_history;
mod member_check;
mod prefix_cache;
mod run_table;

pub use engine_faults::{EngineControl, EngineFaults};
pub use engine_model::{EngineModel, RefusalReason, Run};
pub use engine_options::{ColdOverload, EngineOptions};
pub use engine_server::EngineServer;
pub use prefix_cache::CacheCounts;
