//! Where borders wait for the events of answers.

mod gone_guard;
mod reply_desk;

pub use gone_guard::GoneGuard;
pub use reply_desk::ReplyDesk;
