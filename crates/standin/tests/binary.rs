//! Tests the `standin` binary as a process.

mod client;

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use serde_json::Value;
use shallottide_types::cases;

/// Starts a stand-in, sends it a request and checks that it exits cleanly on SIGTERM.
fn check_program(command: &str, path: &str, status: u16) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_standin"))
        .arg(command)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let mut out = BufReader::new(child.stdout.take().unwrap());
    out.read_line(&mut line).unwrap();
    let line: Value = serde_json::from_str(&line).unwrap();
    let address = line["listening"].as_str().unwrap().parse().unwrap();
    assert_eq!(client::get(address, path).unwrap().status(), status);
    let pid = child.id().to_string();
    let killed = Command::new("kill").args(["-TERM", &pid]).status();
    assert!(killed.unwrap().success());
    assert!(child.wait().unwrap().success());
}

cases! {
    check_program;
    platform: "platform", "/v1/kv/a", 404;
    engine: "engine", "/report", 200;
    service: "service", "/report", 200;
}
