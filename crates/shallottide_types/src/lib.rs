//! Types shared by the daemon, the command line and the stand-ins.
//!
//! - [`id`] and [`quantity`]: checked newtypes.
//! - [`record`]: what operators write, with its schema versions.
//! - [`call`] and [`refusal`]: one caller's request, its answer, its errors.
//! - [`placement`]: which VMs form which group, and who dispatches to it.
//! - [`peer`]: messages between entry VMs.
//! - [`synthetic`]: answers of stand-in engines, for checks.
//! - [`ticket`]: keys that their minting entry VM grants from memory.
//! - [`platform`] and [`engine`]: traits towards the outside.

mod macros;

pub mod call;
pub mod clock;
pub mod duration_text;
pub mod engine;
pub mod entry_status;
pub mod id;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod quantity;
pub mod record;
pub mod refusal;
pub mod rendezvous;
pub mod secret;
pub mod synthetic;
pub mod ticket;
