//! Just enough of HTTP/1.1 for stand-ins.

use std::io::{Error, ErrorKind, Result};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MAX_HEAD_BYTES: usize = 64 << 10;

/// The head of a request or a response.
#[derive(Debug, Clone)]
pub struct Head {
    /// The request line or the status line.
    pub start: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the word of the start line at an index.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

fn ended() -> Error {
    Error::new(ErrorKind::UnexpectedEof, "the connection ended")
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // A failure only costs speed.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    async fn read_more(&mut self) -> Result<()> {
        let mut buf = [0; 8 << 10];
        let length = self.stream.read(&mut buf).await?;
        if length == 0 {
            return Err(ended());
        }
        self.ahead.extend_from_slice(&buf[..length]);
        Ok(())
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub async fn read_head(&mut self) -> Result<Option<Head>> {
        let end = loop {
            let end = self.ahead.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            if let Some(end) = end {
                break end;
            }
            if self.ahead.len() > MAX_HEAD_BYTES {
                return Err(Error::new(ErrorKind::InvalidData, "the head is too long"));
            }
            match self.read_more().await {
                Err(error) if error.kind() == ErrorKind::UnexpectedEof && self.ahead.is_empty() => {
                    return Ok(None);
                }
                other => other?,
            }
        };
        let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or_default().to_string();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().into()));
        Ok(Some(Head {
            start,
            headers: headers.collect(),
        }))
    }

    async fn read_exactly(&mut self, length: usize) -> Result<Vec<u8>> {
        while self.ahead.len() < length {
            self.read_more().await?;
        }
        Ok(self.ahead.drain(..length).collect())
    }

    async fn read_line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|bytes| bytes == b"\r\n") {
                let line: Vec<u8> = self.ahead.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.read_more().await?;
        }
    }

    /// Reads the body that belongs to a head: of a given length, or in chunks.
    pub async fn read_body(&mut self, head: &Head) -> Result<Vec<u8>> {
        if let Some(length) = head.header("content-length") {
            let length = length.parse().map_err(|_| ended())?;
            return self.read_exactly(length).await;
        }
        if head.header("transfer-encoding").is_none() {
            return Ok(Vec::new());
        }
        let mut body = Vec::new();
        loop {
            let line = self.read_line().await?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| ended())?;
            body.extend(self.read_exactly(size).await?);
            self.read_line().await?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    /// Writes a message with a body of known length.
    pub async fn write(&mut self, start: &str, headers: &str, body: &[u8]) -> Result<()> {
        let mut bytes =
            format!("{start}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes).await
    }
}
