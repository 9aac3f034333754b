//! Arbitrary requests of callers are read or refused, and never run.

use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::http::request::Parts;
use shallottide::front::read_call;
use shallottide_types::refusal::Ran;

const CASES: usize = 20_000;

const TIMEOUT: Duration = Duration::from_mins(1);

const HEADERS: [&str; 5] = [
    "authorization",
    "idempotency-key",
    "x-timeout",
    "traceparent",
    "content-type",
];

/// Builds a request, when the HTTP library itself takes its parts.
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
fn headers_never_panic() {
    bolero::check!()
        .with_iterations(CASES)
        .with_type::<Vec<Vec<u8>>>()
        .for_each(|values| check("/v1/completions", values, br#"{"model":"tide"}"#));
}

#[test]
fn bodies_never_panic() {
    bolero::check!()
        .with_iterations(CASES)
        .for_each(|body: &[u8]| check("/v1/chat/completions", &[], body));
}

#[test]
fn service_paths_never_panic() {
    bolero::check!()
        .with_iterations(CASES)
        .with_type::<Vec<u8>>()
        .for_each(|path| {
            let path = format!("/services/{}", String::from_utf8_lossy(path));
            check(&path, &[], b"");
        });
}
