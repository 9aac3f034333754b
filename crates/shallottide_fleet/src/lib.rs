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
//! - [`load_board`], [`spread`], [`admission`], [`call_classes`]: choice of an engine by the loads that engines
//!   stated to any node, and how many calls are admitted.
//! - [`balance`], [`cold_gate`], [`retry_budget`], [`wait_queue`]: choice of a request's upstream,
//!   limits on requests, and the queue of waiting requests.
//! - [`team_shares`], [`team_division`], [`team_usage_report`], [`team_weights`], [`water_level`]:
//!   division of scarce capacity among teams.
//! - [`return_schedule`], [`return_calendar`], [`return_rate`]: when refused callers should return.
//! - [`load_keys`], [`decaying_rate`]: keys of counts by kind and team, and rates of recent calls.
//! - [`upstream_links`]: whether this node itself has lost its links to upstreams.
//! - [`relay_targets`], [`relay_limit`]: which nodes get the calls of a node without such links, and
//!   how many.
//! - [`crash_trigger`], [`ended_request`], [`undecided`], [`crash_evidence`], [`quarantine`]: requests
//!   and prompt parts that end upstreams, and their refusal.
//! - [`capacity`]: how long engines take to their first event, and up to which load calls are on time.
//! - [`named_limits`], [`send_window`]: limits that upstreams name, and their division between nodes.
//! - [`cooldowns`]: upstreams that asked for no requests for a time.
//! - [`departures`]: upstreams that announced that they are leaving.
//! - [`byte_budget`], [`stream_buffer`]: limits on the bytes held for callers and upstreams.
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
pub mod decaying_rate;
pub mod departures;
pub mod domain_claims;
pub mod ended_request;
pub mod event_numbering;
pub mod event_stream;
pub mod feed_tree;
pub mod groups;
pub mod held_back_entries;
pub mod lease_term;
pub mod lease_validity;
pub mod load_board;
pub mod load_keys;
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
pub mod return_calendar;
pub mod return_rate;
pub mod return_schedule;
pub mod routes;
pub mod send_window;
pub mod serve;
mod service_links;
pub mod spread;
pub mod stream_buffer;
pub mod team_division;
pub mod team_shares;
pub mod team_usage_report;
pub mod team_weights;
pub mod trigger_weight;
pub mod undecided;
pub mod upstream;
pub mod upstream_links;
pub mod view;
pub mod wait_queue;
pub mod watch_pause;
pub mod water_level;

pub use node_entry::NodeEntry;
pub use options::NodeOptions;
pub use view::ClusterView;
