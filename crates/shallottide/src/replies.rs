//! Where borders wait for the events of answers.

mod gone_guard;
mod reply_router;

pub use gone_guard::GoneGuard;
pub use reply_router::ReplyRouter;
