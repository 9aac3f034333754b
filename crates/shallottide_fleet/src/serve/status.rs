//! Node status for operators, as JSON.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::Full;
use shallottide_types::entry_status::EntryStatus;

use super::node::Node;

/// Path of the status, at the metrics address.
pub(super) const PATH: &str = "/status";

/// Returns the response to a status request.
pub(super) fn respond(node: &Node) -> Response<Full<Bytes>> {
    match serde_json::to_vec(&status(node)) {
        Ok(body) => {
            let mut response = Response::new(Full::new(body.into()));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        Err(error) => {
            tracing::error!(%error, "could not encode status");
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}

fn status(node: &Node) -> EntryStatus {
    let now = node.now();
    let ready = node.is_ready();
    let state = node.state.borrow();
    let view = &state.view;
    let store_age = state
        .last_store_contact
        .map(|at| now.saturating_duration_since(at).as_millis());
    let serving = view.serving.iter().map(|((service, model), upstreams)| {
        let name = match model {
            Some(model) => format!("{service}/{model}"),
            None => service.to_string(),
        };
        (name, upstreams.len())
    });
    let controllers = view.controllers.iter();
    let engines = state.engine_counts.iter().map(|(domain, counts)| {
        let counts = counts
            .iter()
            .map(|(doing, count)| ((*doing).to_string(), *count));
        (domain.clone(), counts.collect())
    });
    EntryStatus {
        node: node.options.node.clone(),
        domain: node.options.domain.clone(),
        ready,
        config_version: state.routes_version,
        era: view.index.era(),
        index: view.index.revision(),
        store_age_ms: store_age.map(|ms| u64::try_from(ms).unwrap_or(u64::MAX)),
        store_lost: view.store_lost,
        nodes: view.nodes.len(),
        in_flight: state.in_flight,
        upstreams: view.upstreams.len(),
        serving: serving.collect(),
        evacuated: view.evacuated.iter().cloned().collect(),
        controllers: controllers
            .map(|(domain, claim)| (domain.clone(), claim.holder.clone()))
            .collect(),
        engines: engines.collect(),
    }
}
