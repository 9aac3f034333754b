//! Types shared by the daemons, the command-line tool and the stand-ins.
//!
//! - [`id`] and [`quantity`]: validated newtypes.
//! - [`record`]: configuration records that operators write, with their schema versions.
//! - [`call`] and [`refusal`]: a caller's request, its response and its errors.
//! - [`retry_after`]: how long an upstream asks for no requests.
//! - [`placement`]: which VMs form which group, and which node dispatches to it.
//! - [`peer`]: messages between entry VMs (nodes).
//! - [`synthetic`]: reproducible responses of stand-in engines, for tests and load runs.
//! - [`ticket`]: idempotency keys that the entry VM that minted them grants from memory.
//! - [`platform`] and [`engine`]: the interfaces to the platform and to model engines.

mod macros;

pub mod call;
pub mod clock;
pub mod duration_text;
pub mod engine;
pub mod entry_status;
pub mod event_stream;
pub mod id;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod quantity;
pub mod record;
pub mod refusal;
pub mod rendezvous;
pub mod retry_after;
pub mod secret;
mod store_index;
pub mod synthetic;
pub mod ticket;
