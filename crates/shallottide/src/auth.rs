//! Service that authenticates calls by their bearer keys.

mod auth_service;

pub use auth_service::AuthService;
