//! Reads a request for tickets.

use bytes::Bytes;
use hyper::Method;
use hyper::http::request::Parts;
use serde::Deserialize;
use shallottide_types::record::KeyHash;
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

use super::call_request::{bad_request, bearer};

/// A request for tickets as read from HTTP.
pub(super) struct TicketRequest {
    /// Hash of the bearer key.
    pub(super) key: Option<KeyHash>,
    /// How many tickets.
    pub(super) count: usize,
}

/// The optional body.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Wanted {
    #[serde(default = "one")]
    count: usize,
}

fn one() -> usize {
    1
}

/// Reads a request for tickets; without a body it asks for one.
pub(super) fn read_ticket_request(parts: &Parts, body: &Bytes) -> Result<TicketRequest, Refusal> {
    if parts.method != Method::POST {
        let message = format!("{} /tickets is not served: POST to it", parts.method);
        return Err(Refusal::new(RefusalKind::NotFound, Ran::No, message));
    }
    let key = bearer(&parts.headers)?.map(KeyHash::of);
    if body.is_empty() {
        return Ok(TicketRequest { key, count: 1 });
    }
    let Wanted { count } = serde_json::from_slice(body).map_err(|e| {
        bad_request(format!(
            "body asks for no tickets ({e}): send {{\"count\": NUMBER}} or nothing"
        ))
    })?;
    Ok(TicketRequest { key, count })
}
