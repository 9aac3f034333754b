//! A child process that runs a binary of this workspace.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

pub use rustix::process::Signal;
use rustix::process::{Pid, kill_process};
use serde_json::Value;

/// A child process that has reported its listening addresses; dropping it kills the process.
pub struct Program {
    child: Child,
    /// The line of JSON that the process printed when it was ready.
    pub ready: Value,
}

impl Program {
    /// Starts a binary of this workspace and waits until it prints its line of JSON.
    ///
    /// Its standard error is written to `log`.
    ///
    /// # Panics
    /// If the program doesn't start, or exits before it is ready.
    #[must_use]
    pub fn start(name: &str, args: &[&str], log: &Path) -> Self {
        Self::try_start(name, args, log).unwrap_or_else(|e| panic!("{e}"))
    }

    /// Starts a program that may exit before it is ready.
    ///
    /// # Errors
    /// The output of a program that exited before it was ready.
    ///
    /// # Panics
    /// If the program can't be spawned or its log can't be created.
    pub fn try_start(name: &str, args: &[&str], log: &Path) -> Result<Self, String> {
        let log_file = std::fs::File::create(log).expect("a writable directory");
        let mut child = Command::new(program_path(name))
            .args(args)
            .stdout(Stdio::piped())
            .stderr(log_file)
            .spawn()
            .unwrap_or_else(|e| panic!("{name} can't be started: {e}"));
        let stdout = child.stdout.take().expect("piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("readable");
        if let Ok(ready) = serde_json::from_str(&line) {
            return Ok(Self { child, ready });
        }
        let _ = child.wait();
        let errors = std::fs::read_to_string(log).unwrap_or_default();
        Err(format!("{name} printed {line:?} at its start: {errors}"))
    }

    /// Sends a signal to the process.
    ///
    /// # Panics
    /// If the process has exited.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id())
            .ok()
            .and_then(Pid::from_raw)
            .expect("a process id");
        kill_process(pid, signal).expect("the process runs");
    }

    /// Waits until the process exits.
    ///
    /// # Panics
    /// If it can't be waited for.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("a child")
    }

    /// Returns whether the process has exited.
    ///
    /// # Panics
    /// If its status can't be read.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_some()
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a binary in the same build directory as this one.
///
/// # Panics
/// If the path of the current executable is unknown.
#[must_use]
pub fn program_path(name: &str) -> PathBuf {
    let current_exe = std::env::current_exe().expect("a path");
    let mut dir = current_exe.parent().expect("a directory");
    if dir.ends_with("deps") || dir.ends_with("examples") {
        dir = dir.parent().expect("a directory");
    }
    dir.join(name)
}
