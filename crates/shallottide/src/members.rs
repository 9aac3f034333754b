//! Membership of the entry VMs: their addresses, their liveness, and the loads of the slots that
//! they dispatch to.

mod gossip;
mod heartbeat_targets;
mod member;
mod member_options;
mod member_service;
mod member_table;
mod node_list;
mod own_loads;
mod registration;
pub mod ring;

pub use member::Member;
pub use member_options::MemberOptions;
pub use member_service::MemberService;
pub use member_table::MemberTable;
