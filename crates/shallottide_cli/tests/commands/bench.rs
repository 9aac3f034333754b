//! A platform stand-in, fake entry nodes and the command line as a process.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::{Value, json};
use standin::http::ListenOptions;
use standin::platform::{MemoryPlatform, PlatformServer};

const TOKEN: &str = "operators-secret";

/// What one run of the command line left.
pub(crate) struct Ran {
    pub(crate) code: i32,
    /// Standard output and standard error.
    pub(crate) text: String,
}

impl Ran {
    /// Waits for the end of a process.
    pub(crate) fn of(process: Child) -> Self {
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

pub(crate) struct Bench {
    pub(crate) platform: MemoryPlatform,
    server: PlatformServer,
    dir: PathBuf,
    nodes: Vec<SocketAddr>,
}

impl Bench {
    pub(crate) fn new() -> Self {
        static BENCHES: AtomicUsize = AtomicUsize::new(0);
        let number = BENCHES.fetch_add(1, Ordering::Relaxed);
        let name = format!("commands-{}-{number}", std::process::id());
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&dir).expect("directory");
        let platform = MemoryPlatform::default();
        let server = PlatformServer::start(&ListenOptions::default(), platform.clone());
        let server = server.expect("platform");
        let bench = Self {
            platform,
            server,
            dir,
            nodes: Vec::new(),
        };
        bench.settings(&bench.platform_line());
        bench
    }

    /// Returns the settings' line with the stand-in's address.
    fn platform_line(&self) -> String {
        format!("platform = [\"http://{}\"]", self.server.address())
    }

    /// Writes the settings file with this line and the usual others.
    pub(crate) fn settings(&self, platform: &str) {
        let nodes = json!(self.nodes);
        let text = format!(
            "{platform}\noperator = \"ana\"\ntoken = \"{TOKEN}\"\nsettle_timeout = \"300ms\"\nnodes = {nodes}\n"
        );
        self.file("shallottide.toml", &text);
        self.file("wrong.toml", &text.replace(TOKEN, "wrong"));
        self.file("nobody.toml", &text.replace("operator", "# operator"));
    }

    /// Adds an entry node that has all changes in force, or only those up to an index.
    pub(crate) fn node(&mut self, name: &str, domain: &str, up_to: Option<u64>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port");
        self.nodes.push(listener.local_addr().expect("address"));
        let (platform, name, domain) = (self.platform.clone(), name.to_owned(), domain.to_owned());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let index = up_to.unwrap_or(platform.index().0);
                let status = json!({"node": name, "failure_domain": domain, "config_index": index,
                    "upstreams": ["u"], "groups": 3, "in_flight": 4, "calls": {"answered": 5}});
                answer(&stream.expect("connection"), &status);
            }
        });
        self.settings(&self.platform_line());
    }

    pub(crate) fn file(&self, name: &str, text: &str) {
        std::fs::write(self.dir.join(name), text).expect("file");
    }

    /// Runs `shallottide` in the directory of the settings; words are split at spaces.
    pub(crate) fn run(&self, words: &str) -> Ran {
        self.run_with_input(words, "")
    }

    pub(crate) fn run_with_input(&self, words: &str, input: &str) -> Ran {
        let mut process = self.start(words);
        let mut stdin = process.stdin.take().expect("stdin");
        // A command that reads no input may have ended already.
        let _ = stdin.write_all(input.as_bytes());
        drop(stdin);
        Ran::of(process)
    }

    /// Starts `shallottide` without waiting for its end.
    pub(crate) fn start(&self, words: &str) -> Child {
        Command::new(env!("CARGO_BIN_EXE_shallottide"))
            .args(words.split(' '))
            .current_dir(&self.dir)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("process")
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn answer(mut stream: &TcpStream, status: &Value) {
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
