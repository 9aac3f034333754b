//! Where borders wait for the events of answers.

mod disconnect_guard;
mod reply_router;

pub use disconnect_guard::DisconnectGuard;
pub use reply_router::ReplyRouter;
