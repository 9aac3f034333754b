//! The cases, by name.

mod cold_start;
mod rounded_leases;
mod shared_part;
mod two_servers;

use std::sync::Arc;

use crate::CannotRun;
use crate::record::Record;

/// Runs a case; returns whether its rule held.
pub async fn run(name: &str, has_trouble: bool, record: &Arc<Record>) -> Result<bool, CannotRun> {
    match name {
        "cold-start" => cold_start::run(has_trouble, record).await,
        "silent-crash" => shared_part::run(shared_part::SILENT_CRASH, has_trouble, record).await,
        "several-at-once" => {
            shared_part::run(shared_part::SEVERAL_AT_ONCE, has_trouble, record).await
        }
        "rounded-leases" => rounded_leases::run(has_trouble, record).await,
        "two-servers" => two_servers::run(has_trouble, record).await,
        _ => Err(CannotRun(format!("there is no case {name}"))),
    }
}
