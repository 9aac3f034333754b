//! Parses a request for tickets.

use bytes::Bytes;
use hyper::Method;
use hyper::http::request::Parts;
use serde::Deserialize;
use shallottide_types::record::KeyHash;
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

use super::call_request::{bad_request, bearer_key};

/// A request for tickets, before authentication.
pub(super) struct TicketRequest {
    /// Hash of the bearer key; absent when the request has none.
    pub(super) key: Option<KeyHash>,
    /// Number of tickets to mint.
    pub(super) count: usize,
}

/// The JSON body, which is optional.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Wanted")]
struct TicketRequestBody {
    #[serde(default = "one")]
    count: usize,
}

fn one() -> usize {
    1
}

/// Reads a request for tickets; an empty body requests one ticket.
pub(super) fn read_ticket_request(parts: &Parts, body: &Bytes) -> Result<TicketRequest, Refusal> {
    if parts.method != Method::POST {
        let message = format!("{} /tickets is not served: POST to it", parts.method);
        return Err(Refusal::new(RefusalKind::NotFound, Ran::No, message));
    }
    let key = bearer_key(&parts.headers)?.map(KeyHash::of);
    if body.is_empty() {
        return Ok(TicketRequest { key, count: 1 });
    }
    let TicketRequestBody { count } = serde_json::from_slice(body).map_err(|e| {
        bad_request(format!(
            "body asks for no tickets ({e}): send {{\"count\": NUMBER}} or nothing"
        ))
    })?;
    Ok(TicketRequest { key, count })
}
