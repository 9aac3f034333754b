//! A platform whose connections are scripted.

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

use socket2::{Domain, Socket, Type};

/// What the server does on one connection after it has read the request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Step {
    /// Sends a complete answer: status, index header, body.
    Answer(u16, Option<u64>, &'static str),
    /// Sends an answer that ends before its announced length.
    Truncate,
    /// Closes the connection without an answer.
    Close,
    /// Sends nothing until the client closes the connection.
    NeverAnswer,
}

/// Serves one connection per step, then stops listening.
pub(crate) struct ScriptedServer {
    pub(crate) address: String,
    steps: usize,
    thread: JoinHandle<Vec<String>>,
}

impl ScriptedServer {
    pub(crate) fn start(steps: &[Step]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port");
        let address = format!("http://{}", listener.local_addr().expect("address"));
        let count = steps.len();
        let steps = steps.to_vec();
        let thread = std::thread::spawn(move || {
            let connections: Vec<_> = steps
                .into_iter()
                .map(|step| {
                    let (stream, _) = listener.accept().expect("connection");
                    (serve(&stream, step), stream)
                })
                .collect();
            // Connections stay open until here, so a client that reused one would get no answer.
            connections
                .into_iter()
                .map(|(request, _)| request)
                .collect()
        });
        Self {
            address,
            steps: count,
            thread,
        }
    }

    /// Ends the remaining steps and returns `METHOD TARGET BODY` of each request.
    pub(crate) fn requests(self) -> Vec<String> {
        let host = self.address.trim_start_matches("http://");
        for _ in 0..self.steps {
            // A connection without a request ends a step that received none.
            drop(TcpStream::connect(host));
        }
        let mut requests = self.thread.join().expect("server thread");
        requests.retain(|request| !request.is_empty());
        requests
    }
}

/// An address that refuses connections. The port stays reserved while this value exists.
pub(crate) struct ClosedPort {
    pub(crate) address: String,
    socket: Socket,
}

impl ClosedPort {
    pub(crate) fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("address");
        socket.bind(&any.into()).expect("port");
        let address = socket.local_addr().expect("address").as_socket();
        Self {
            address: format!("http://{}", address.expect("IP address")),
            socket,
        }
    }
}

/// An address on which connections never open, as in a network partition.
pub(crate) struct UnresponsivePort {
    pub(crate) address: String,
    _socket: Socket,
    _backlog: Vec<TcpStream>,
}

impl UnresponsivePort {
    pub(crate) fn new() -> Self {
        const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
        let closed = ClosedPort::new();
        closed.socket.listen(0).expect("listening");
        let address = closed.socket.local_addr().expect("address").as_socket();
        let address = address.expect("IP address");
        // Fills the listen backlog, from which no connection is accepted.
        let backlog =
            std::iter::from_fn(|| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok());
        Self {
            _backlog: backlog.collect(),
            address: closed.address,
            _socket: closed.socket,
        }
    }
}

fn serve(mut stream: &TcpStream, step: Step) -> String {
    let request = read_request(stream);
    let text = match step {
        Step::Answer(status, index, body) => {
            let index = index.map_or(String::new(), |n| format!("X-Consul-Index: {n}\r\n"));
            let length = body.len();
            format!("HTTP/1.1 {status} X\r\n{index}Content-Length: {length}\r\n\r\n{body}")
        }
        Step::Truncate => "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ntr".into(),
        Step::Close => String::new(),
        Step::NeverAnswer => {
            let _ = stream.read(&mut [0; 1]);
            String::new()
        }
    };
    let _ = stream.write_all(text.as_bytes());
    if !matches!(step, Step::Answer(..)) {
        let _ = stream.shutdown(Shutdown::Both);
    }
    request
}

fn read_request(stream: &TcpStream) -> String {
    let mut reader = BufReader::new(stream);
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("request line");
        if line.trim().is_empty() {
            break;
        }
        head.push(line.to_lowercase());
    }
    let Some(request_line) = head.first() else {
        return String::new();
    };
    let length = head
        .iter()
        .find_map(|line| line.strip_prefix("content-length:"))
        .map_or(0, |text| text.trim().parse().expect("length"));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("body");
    let mut words = request_line.split_whitespace();
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    format!("{method} {target} {}", String::from_utf8_lossy(&body))
}
