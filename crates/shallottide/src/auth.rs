//! Service: finds the team of each call's key.

mod auth_service;

pub use auth_service::AuthService;
