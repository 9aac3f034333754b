//! Routing of answer events to the adapter tasks that wait for them.

mod disconnect_guard;
mod reply_router;

pub use disconnect_guard::DisconnectGuard;
pub use reply_router::ReplyRouter;
