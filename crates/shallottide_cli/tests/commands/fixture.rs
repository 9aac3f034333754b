//! Fixture: a platform stand-in, fake entry nodes, and the command line run as a process.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::{Value, json};
use standin::http::ListenOptions;
use standin::platform::{MemoryPlatform, PlatformServer};

const TOKEN: &str = "operators-secret";

/// Result of one run of the command line.
pub(crate) struct CommandOutput {
    /// Exit code, or -1 if a signal ended the process.
    pub(crate) code: i32,
    /// Standard output followed by standard error.
    pub(crate) text: String,
}

impl CommandOutput {
    /// Waits until a process has exited.
    pub(crate) fn from_process(process: Child) -> Self {
        let output = process.wait_with_output().expect("output");
        let text = [output.stdout, output.stderr].concat();
        Self {
            code: output.status.code().unwrap_or(-1),
            text: String::from_utf8(text).expect("text"),
        }
    }

    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.text).expect("JSON output")
    }
}

pub(crate) struct Fixture {
    pub(crate) platform: MemoryPlatform,
    server: PlatformServer,
    dir: PathBuf,
    nodes: Vec<SocketAddr>,
}

impl Fixture {
    pub(crate) fn new() -> Self {
        static FIXTURES: AtomicUsize = AtomicUsize::new(0);
        let number = FIXTURES.fetch_add(1, Ordering::Relaxed);
        let name = format!("commands-{}-{number}", std::process::id());
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&dir).expect("directory");
        let platform = MemoryPlatform::default();
        let server = PlatformServer::start(&ListenOptions::default(), platform.clone());
        let server = server.expect("platform");
        let fixture = Self {
            platform,
            server,
            dir,
            nodes: Vec::new(),
        };
        fixture.write_settings(&fixture.platform_line());
        fixture
    }

    /// Returns the line of the settings with the address of the platform stand-in.
    fn platform_line(&self) -> String {
        format!("platform = [\"http://{}\"]", self.server.address())
    }

    /// Writes a settings file with this first line and the usual others, a copy with a wrong token and
    /// a copy without an operator.
    pub(crate) fn write_settings(&self, first_line: &str) {
        let nodes = json!(self.nodes);
        let text = format!(
            "{first_line}\noperator = \"ana\"\ntoken = \"{TOKEN}\"\nsettle_timeout = \"300ms\"\nnodes = {nodes}\n"
        );
        self.write_file("shallottide.toml", &text);
        self.write_file("wrong.toml", &text.replace(TOKEN, "wrong"));
        self.write_file("no-operator.toml", &text.replace("operator", "# operator"));
    }

    /// Adds a fake entry node that reports all changes as in force, or only those up to an index.
    pub(crate) fn add_node(&mut self, name: &str, domain: &str, up_to: Option<u64>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port");
        self.nodes.push(listener.local_addr().expect("address"));
        let (platform, name, domain) = (self.platform.clone(), name.to_owned(), domain.to_owned());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let index = up_to.unwrap_or(platform.index().0);
                let status = json!({"node": name, "failure_domain": domain, "config_index": index,
                    "upstreams": ["u"], "groups": 3, "in_flight": 4, "calls": {"answered": 5}});
                respond(&stream.expect("connection"), &status);
            }
        });
        self.write_settings(&self.platform_line());
    }

    pub(crate) fn write_file(&self, name: &str, text: &str) {
        std::fs::write(self.dir.join(name), text).expect("file");
    }

    /// Runs `shallottide` in the directory of the settings. `args` is split at spaces.
    pub(crate) fn run(&self, args: &str) -> CommandOutput {
        self.run_with_input(args, "")
    }

    pub(crate) fn run_with_input(&self, args: &str, input: &str) -> CommandOutput {
        let mut process = self.start(args);
        let mut stdin = process.stdin.take().expect("stdin");
        // A command that reads no input may have exited already.
        let _ = stdin.write_all(input.as_bytes());
        drop(stdin);
        CommandOutput::from_process(process)
    }

    /// Starts `shallottide` without waiting until it has exited.
    pub(crate) fn start(&self, args: &str) -> Child {
        Command::new(env!("CARGO_BIN_EXE_shallottide"))
            .args(args.split(' '))
            .current_dir(&self.dir)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("process")
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn respond(mut stream: &TcpStream, status: &Value) {
    let lines = BufReader::new(stream).lines().map_while(Result::ok);
    let head: Vec<_> = lines.take_while(|line| !line.is_empty()).collect();
    let is_allowed = head
        .iter()
        .any(|line| line.ends_with(&format!("Bearer {TOKEN}")));
    let (code, body) = if is_allowed {
        (200, status.to_string())
    } else {
        (401, String::new())
    };
    let length = body.len();
    let text = format!("HTTP/1.1 {code} X\r\nContent-Length: {length}\r\n\r\n{body}");
    let _ = stream.write_all(text.as_bytes());
}
