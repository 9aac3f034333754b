//! The daemon validates its settings before it starts anything.

use std::path::PathBuf;
use std::process::{Command, Output};

use shallottide_types::cases;

const VALID: &str = r#"
node = "jkpg-1"
failure_domain = "jkpg"
region = "se-south"
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operators = "127.0.0.1:0"
platform = ["http://127.0.0.1:1"]
peer_key = "0123456789abcdef"
operator_tokens = ["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"]
"#;

/// Writes settings to a file named after the test case and runs `shallottided --check` on it.
fn check_settings(name: &str, text: &str) -> (PathBuf, Output) {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join(format!("{name}.toml"));
    std::fs::write(&path, text).expect("a writable directory");
    let output = Command::new(env!("CARGO_BIN_EXE_shallottided"))
        .arg("--check")
        .arg("--config")
        .arg(&path)
        .output()
        .expect("the daemon starts");
    (path, output)
}

/// Expects exit code 2 and a message that names the file and contains `expected`.
fn check_rejected(name: &str, from: &str, to: &str, expected: &[&str]) {
    assert!(
        VALID.contains(from),
        "{from:?} is not in the valid settings"
    );
    let (path, output) = check_settings(name, &VALID.replace(from, to));
    let message = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{message}");
    assert!(
        message.contains(&*path.to_string_lossy()),
        "no file in {message}"
    );
    for part in expected {
        assert!(message.contains(part), "no {part:?} in {message}");
    }
}

cases! {
    check_rejected;
    no_platform: "no_platform", r#"["http://127.0.0.1:1"]"#, "[]", &["platform", "[]", "at least one"];
    platform_without_scheme: "scheme", "http://", "", &["platform", "127.0.0.1:1", "begin with http://"];
    short_peer_key: "short_key", "0123456789abcdef", "short", &["peer_key", "5 bytes", "16"];
    no_operator_token: "no_token", r#"["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"]"#, "[]", &["operator_tokens", "hash-key"];
    malformed_token: "bad_token", "e3b0c442", "xyz", &["operator_tokens", "64 hex digits"];
    unknown_key: "unknown_key", "region", "regoin", &["regoin", "OPERATING.md"];
    malformed_id: "bad_id", "jkpg-1", "jkpg 1", &["node", "jkpg 1", "letters, digits"];
    long_node_id: "long_id", "jkpg-1", &"j".repeat(65), &["node", "at most 64"];
    malformed_address: "bad_address", r#"callers = "127.0.0.1:0""#, r#"callers = "localhost""#, &["callers", "socket address"];
    no_connections: "no_connections", "region", "limits.connections = 0\nregion", &["limits.connections", "0", "at least 1"];
    small_header: "small_header", "region", "limits.header_size = \"1KiB\"\nregion", &["limits.header_size", "1KiB", "8KiB"];
    size_without_unit: "no_unit", "region", "limits.body_size = \"5\"\nregion", &["limits.body_size", "KiB"];
    duration_without_unit: "no_duration_unit", "region", "stop.deadline = \"5\"\nregion", &["stop.deadline", "ms, s, m or h"];
}

/// Expects exit code 2 and a message that does not reveal the secret.
fn check_secret_hidden(name: &str, from: &str, to: &str, secret: &str) {
    let (_, output) = check_settings(name, &VALID.replace(from, to));
    let message = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{message}");
    assert!(!message.contains(secret), "{message}");
}

cases! {
    check_secret_hidden;
    peer_key_of_the_wrong_form: "hidden_key", r#""0123456789abcdef""#, "[\"s3cret\"]", "s3cret";
    platform_token_of_the_wrong_form: "hidden_token", "region", "platform_token = [\"s3cret\"]\nregion", "s3cret";
}

#[test]
fn valid_settings_are_accepted() {
    let (_, output) = check_settings("good", VALID);
    assert!(output.status.success());
}

#[test]
fn error_names_a_missing_file() {
    let output = Command::new(env!("CARGO_BIN_EXE_shallottided"))
        .args(["--check", "--config", "no-such-file.toml"])
        .output()
        .expect("the daemon starts");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no-such-file.toml"));
}
