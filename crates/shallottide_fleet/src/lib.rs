//! Entry node that dispatches requests directly to upstreams. Each node decides independently, from
//! a [`ClusterView`] that it updates from the platform's store. Decisions are made by state
//! machines without I/O; [`serve`] holds the tasks that own sockets.
//!
//! - [`view`], [`catalog`], [`upstream`]: what a node knows of the store's contents, and how
//!   changes apply to it.
//! - [`access`]: which callers may use the routes that are not public.
//! - [`held_back_entries`]: entries of upstreams that look older than the known ones.
//! - [`restored`]: what a restored store may lack until it is written again.
//! - [`change_log`]: recent changes, from which followers of a node update their views.
//! - [`feed_tree`]: which node of a failure domain each node gets changes from.
//! - [`report_targets`]: which nodes get a load report.
//! - [`routes`]: lookup of a request's route and team.
//! - [`balance`], [`cold_gate`], [`retry_budget`], [`wait_queue`]: choice of a request's upstream,
//!   limits on requests, and the queue of waiting requests.
//! - [`upstream_links`]: whether this node itself has lost its links to upstreams.
//! - [`relay_targets`], [`relay_limit`]: which nodes get the calls of a node without such links, and
//!   how many.
//! - [`crash_trigger`], [`crash_evidence`], [`quarantine`]: requests and prompt parts that end
//!   upstreams, and their refusal.
//! - [`named_limits`], [`send_window`]: limits that upstreams name, and their division between nodes.
//! - [`cooldowns`]: upstreams that asked for no requests for a time.
//! - [`departures`]: upstreams that announced that they are leaving.
//! - [`byte_budget`]: limit on the bytes of bodies in transfer.
//! - [`groups`]: formation of groups of engines.
//! - [`watch_pause`]: pause between two calls to the store for changes.
//! - [`domain_claims`]: which failure domains a node claims as their controller.
//! - [`lease_term`]: how long the lease of a node runs.
//! - [`lease_validity`]: how long this node may act as a controller.
//! - [`adapter`]: traits that a platform adapter implements.

pub mod access;
pub mod adapter;
pub mod admission;
pub mod balance;
pub mod byte_budget;
pub mod call_classes;
pub mod capacity;
pub mod catalog;
pub mod change_log;
pub mod cold_gate;
pub mod cooldowns;
pub mod crash_evidence;
pub mod crash_trigger;
pub mod departures;
pub mod domain_claims;
pub mod event_numbering;
pub mod event_stream;
pub mod feed_tree;
pub mod groups;
pub mod held_back_entries;
pub mod lease_term;
pub mod lease_validity;
pub mod load_board;
pub mod named_limits;
pub mod node_entry;
pub mod options;
pub mod prompt_part;
pub mod quarantine;
pub mod relay_limit;
pub mod relay_targets;
pub mod report_targets;
pub mod request_digest;
pub mod request_rate;
pub mod restored;
pub mod retry_budget;
pub mod routes;
pub mod send_window;
pub mod serve;
mod service_links;
pub mod spread;
pub mod upstream;
pub mod upstream_links;
pub mod view;
pub mod wait_queue;
pub mod watch_pause;

pub use node_entry::NodeEntry;
pub use options::NodeOptions;
pub use view::ClusterView;
