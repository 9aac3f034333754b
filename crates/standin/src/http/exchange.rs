//! An HTTP request and the ways to respond to it.

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

/// Largest accepted body; the platform's values have up to a megabyte.
const MAX_BODY_BYTES: u64 = 2 * 1024 * 1024;

/// Interval between two checks for a disconnected caller.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A request with its body; it can be answered correctly or with a fault.
pub(crate) struct Exchange {
    request: Request,
    connection: Arc<Connection>,
    path: String,
    body: Vec<u8>,
}

impl Exchange {
    /// Reads the body; `None` when it is truncated or too large.
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

    /// Returns the method in upper case.
    pub(crate) fn method(&self) -> &str {
        self.request.method().as_str()
    }

    /// Returns the decoded path without its query.
    pub(crate) fn path(&self) -> &str {
        &self.path
    }

    /// Returns a decoded query parameter; a parameter without a value is empty.
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

    /// Returns the caller's `X-Request-Id`, or an empty string.
    pub(crate) fn request_id(&self) -> String {
        self.header("X-Request-Id").unwrap_or_default().into()
    }

    /// Returns the body.
    pub(crate) fn body(&self) -> &[u8] {
        &self.body
    }

    /// Parses the body as JSON, or responds with 400.
    pub(crate) fn json<T: DeserializeOwned>(self) -> Option<(T, Self)> {
        match serde_json::from_slice(&self.body) {
            Ok(value) => Some((value, self)),
            Err(error) => {
                let message = format!("body is not valid ({error}): see the stand-in's page");
                self.respond(&Reply::error(400, message));
                None
            }
        }
    }

    /// Returns whether the caller has closed its side.
    pub(crate) fn is_caller_disconnected(&self) -> bool {
        self.connection.is_caller_disconnected()
    }

    /// Sends the complete response.
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

    /// Sends half of the body and closes the connection.
    pub(crate) fn respond_truncated(self, reply: &Reply) {
        let length = reply.body.len();
        let mut writer = self.request.into_writer();
        let head = reply.head(&format!("Content-Length: {length}"));
        let _ = writer.write_all(head.as_bytes());
        let _ = writer.write_all(&reply.body[..length / 2]);
        let _ = writer.flush();
        self.connection.close_after_written();
    }

    /// Starts a response of server-sent events; the body of `head` is not sent.
    pub(crate) fn stream(self, head: &Reply) -> EventStream {
        let mut writer = self.request.into_writer();
        // A write error is returned again by the first event.
        let _ = writer.write_all(head.head("Transfer-Encoding: chunked").as_bytes());
        let _ = writer.flush();
        EventStream::new(writer, self.connection)
    }

    /// Closes the connection without a response.
    pub(crate) fn close(self) {
        self.connection.close();
    }

    /// Sends no response; returns when the caller has disconnected.
    pub(crate) fn stay_silent(self) {
        while !self.is_caller_disconnected() {
            thread::sleep(DISCONNECT_POLL_INTERVAL);
        }
        self.close();
    }
}
