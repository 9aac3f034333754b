//! One request and the ways to answer it.

use std::io::{Cursor, Read, Write};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde::de::DeserializeOwned;
use tiny_http::{Header, Request, Response, StatusCode};

use super::connection::Connection;
use super::event_stream::EventStream;
use super::percent;
use super::reply::Reply;

/// Largest body read; the platform's values take up to a megabyte.
const MAX_BODY_BYTES: u64 = 2 * 1024 * 1024;

/// Time between two looks at whether a caller is gone.
const GONE_CHECK: Duration = Duration::from_millis(10);

/// One request with its body, and the ways to answer it, good and bad.
pub(crate) struct Exchange {
    request: Request,
    connection: Arc<Connection>,
    path: String,
    body: Vec<u8>,
}

impl Exchange {
    /// Reads the body; `None` when it is cut or too large.
    pub(super) fn read(mut request: Request, connection: Arc<Connection>) -> Option<Self> {
        let mut body = Vec::new();
        let reader = request.as_reader().take(MAX_BODY_BYTES + 1);
        let read = { reader }.read_to_end(&mut body).ok()? as u64;
        if read > MAX_BODY_BYTES {
            connection.close();
            return None;
        }
        let url = request.url();
        let path = url.split_once('?').map_or(url, |(path, _)| path);
        Some(Self {
            path: percent::decode(path),
            request,
            connection,
            body,
        })
    }

    /// Returns the method in capitals.
    pub(crate) fn method(&self) -> &str {
        self.request.method().as_str()
    }

    /// Returns the decoded path without its query.
    pub(crate) fn path(&self) -> &str {
        &self.path
    }

    /// Returns a decoded parameter of the query; one without a value is empty.
    pub(crate) fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.request.url().split_once('?')?;
        let mut pairs = query
            .split('&')
            .map(|pair| pair.split_once('=').unwrap_or((pair, "")));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        Some(percent::decode(value))
    }

    /// Returns a header.
    pub(crate) fn header(&self, name: &'static str) -> Option<&str> {
        let mut headers = self.request.headers().iter();
        let found = headers.find(|header| header.field.equiv(name));
        found.map(|header| header.value.as_str())
    }

    /// Returns the caller's `X-Request-Id`, or an empty text.
    pub(crate) fn request_id(&self) -> String {
        self.header("X-Request-Id").unwrap_or_default().into()
    }

    /// Returns the body.
    pub(crate) fn body(&self) -> &[u8] {
        &self.body
    }

    /// Reads the body as JSON, or answers with 400.
    pub(crate) fn json<T: DeserializeOwned>(self) -> Option<(T, Self)> {
        match serde_json::from_slice(&self.body) {
            Ok(value) => Some((value, self)),
            Err(error) => {
                let remedy = format!("body is not valid ({error}): see the stand-in's page");
                self.respond(&Reply::error(400, remedy));
                None
            }
        }
    }

    /// Tells whether the caller has closed its side.
    pub(crate) fn is_caller_gone(&self) -> bool {
        self.connection.is_caller_gone()
    }

    /// Answers whole.
    pub(crate) fn respond(self, reply: &Reply) {
        let length = reply.body.len();
        let header = |(name, value): &(&str, String)| {
            Header::from_bytes(name.as_bytes(), value.as_bytes()).ok()
        };
        let headers = reply.headers.iter().filter_map(header).collect();
        let body = Cursor::new(reply.body.clone());
        let status = StatusCode(reply.status);
        let response = Response::new(status, headers, body, Some(length), None)
            .with_chunked_threshold(usize::MAX);
        let _ = self.request.respond(response);
    }

    /// Answers with half of the body and closes.
    pub(crate) fn respond_cut(self, reply: &Reply) {
        let length = reply.body.len();
        let mut writer = self.request.into_writer();
        let head = reply.head(&format!("Content-Length: {length}"));
        let _ = writer.write_all(head.as_bytes());
        let _ = writer.write_all(&reply.body[..length / 2]);
        let _ = writer.flush();
        self.connection.close_after_written();
    }

    /// Answers with a stream of server-sent events; the body of `head` is not sent.
    pub(crate) fn stream(self, head: &Reply) -> EventStream {
        let mut writer = self.request.into_writer();
        // Errors show again with the first event.
        let _ = writer.write_all(head.head("Transfer-Encoding: chunked").as_bytes());
        let _ = writer.flush();
        EventStream::new(writer, self.connection)
    }

    /// Closes the connection without an answer.
    pub(crate) fn close(self) {
        self.connection.close();
    }

    /// Never answers; returns when the caller is gone.
    pub(crate) fn stay_silent(self) {
        while !self.is_caller_gone() {
            thread::sleep(GONE_CHECK);
        }
        self.close();
    }
}
