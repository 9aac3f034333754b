//! What a command prints, for people and for scripts.

use serde_json::{Value, json};

use crate::exit::Exit;
use crate::failure::Failure;

/// What a command prints, and its exit code.
#[derive(Debug)]
pub(crate) struct Output {
    /// For people, without a line end.
    pub(crate) text: String,
    /// For scripts.
    pub(crate) json: Value,
    pub(crate) exit: Exit,
    /// Whether the text is an error message.
    is_error: bool,
}

impl Output {
    /// Creates the output of a command that did its work.
    pub(crate) fn done(text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
            exit: Exit::Done,
            is_error: false,
        }
    }

    /// Sets the exit code.
    pub(crate) fn exit(mut self, exit: Exit) -> Self {
        self.exit = exit;
        self
    }

    /// Creates the output of a command that could not do its work.
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

    /// Prints to standard output; the text of an error goes to standard error.
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
