//! Output of a command, as text for people and as JSON for scripts.

use serde_json::{Value, json};

use crate::exit::Exit;
use crate::failure::Failure;

/// Output of a command and its exit code.
#[derive(Debug)]
pub(crate) struct Output {
    /// Printed without `--json`; has no trailing line break.
    pub(crate) text: String,
    /// Printed with `--json`.
    pub(crate) json: Value,
    pub(crate) exit: Exit,
    /// Whether the text is an error message.
    is_error: bool,
}

impl Output {
    /// Creates output with the exit code [`Exit::Done`].
    pub(crate) fn done(text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
            exit: Exit::Done,
            is_error: false,
        }
    }

    /// Sets the exit code.
    pub(crate) fn with_exit(mut self, exit: Exit) -> Self {
        self.exit = exit;
        self
    }

    /// Creates the output of a failed command.
    pub(crate) fn failure(failure: &Failure) -> Self {
        let message = failure.to_string();
        let exit = failure.exit();
        let json = json!({"error": {"message": message, "exit_code": exit as u8}});
        Self {
            text: format!("shallottide: {message}"),
            json,
            exit,
            is_error: true,
        }
    }

    /// Prints to standard output, or to standard error if it is the text of an error.
    pub(crate) fn print(&self, as_json: bool) {
        if as_json {
            println!("{:#}", self.json);
        } else if self.is_error {
            eprintln!("{}", self.text);
        } else {
            println!("{}", self.text);
        }
    }
}
