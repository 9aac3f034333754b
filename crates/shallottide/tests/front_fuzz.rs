//! Fuzzes the parsing of callers' requests: each is parsed, or refused with `Ran::No`.

use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::http::request::Parts;
use shallottide::front::read_call;
use shallottide_types::refusal::Ran;

const ITERATIONS: usize = 20_000;

const TIMEOUT: Duration = Duration::from_mins(1);

const HEADERS: [&str; 5] = [
    "authorization",
    "idempotency-key",
    "x-timeout",
    "traceparent",
    "content-type",
];

/// Builds a request; `None` if the HTTP library rejects its path or headers.
fn parts(path: &str, values: &[Vec<u8>]) -> Option<Parts> {
    let mut builder = Request::builder().method("POST").uri(path);
    for (name, value) in HEADERS.iter().zip(values) {
        builder = builder.header(*name, value.as_slice());
    }
    Some(builder.body(()).ok()?.into_parts().0)
}

fn check(path: &str, values: &[Vec<u8>], body: &[u8]) {
    let Some(parts) = parts(path, values) else {
        return;
    };
    let id = "call-1".parse().expect("valid");
    match read_call(&parts, &Bytes::copy_from_slice(body), id, TIMEOUT) {
        Ok(call) => {
            assert!(call.head.time_left <= TIMEOUT);
            assert!(call.head.path.starts_with('/'));
        }
        Err(refusal) => {
            assert_eq!(refusal.ran, Ran::No);
            assert!(refusal.kind.status() < 500, "{refusal}");
        }
    }
}

#[test]
fn any_headers_are_parsed_or_refused() {
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_type::<Vec<Vec<u8>>>()
        .for_each(|values| check("/v1/completions", values, br#"{"model":"tide"}"#));
}

#[test]
fn any_body_is_parsed_or_refused() {
    bolero::check!()
        .with_iterations(ITERATIONS)
        .for_each(|body: &[u8]| check("/v1/chat/completions", &[], body));
}

#[test]
fn any_service_path_is_parsed_or_refused() {
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_type::<Vec<u8>>()
        .for_each(|path| {
            let path = format!("/services/{}", String::from_utf8_lossy(path));
            check(&path, &[], b"");
        });
}
