//! The entry node that dispatches straight to upstreams.
//!
//! Every node decides alone from one [`ClusterView`], which the platform's store feeds. Decisions are
//! plain state machines without sockets; [`serve`] holds the tasks that own sockets.
//!
//! - [`view`], [`catalog`], [`upstream`]: what a node believes, and how changes alter it.
//! - [`change_log`]: what followers of a node need to believe the same.
//! - [`routes`]: which route and team a request belongs to.
//! - [`balance`], [`cold_gate`], [`retry_budget`], [`waiting`]: where a request goes, or that it waits.
//! - [`groups`]: which upstreams form groups of engines.
//! - [`watch_pause`]: how often a node asks the store for changes.
//! - [`lease_watch`]: how long this node may act as a steward.
//! - [`border`]: traits that an adapter to a platform implements.

pub mod balance;
pub mod border;
pub mod catalog;
pub mod change_log;
pub mod cold_gate;
pub mod event_stream;
pub mod groups;
pub mod lease_watch;
pub mod options;
pub mod retry_budget;
pub mod routes;
pub mod serve;

pub mod upstream;
pub mod view;
pub mod waiting;
pub mod watch_pause;

pub use options::NodeOptions;
pub use view::ClusterView;
