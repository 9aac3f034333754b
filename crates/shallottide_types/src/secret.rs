//! Secret text that must not be logged or printed.

use std::fmt;

use serde::Deserialize;

/// A key or token. `Debug` hides the text, and `Display` is not implemented.
#[derive(Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Returns the text for sending or comparing; callers must not log it.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns whether no secret was set.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<&str> for Secret {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
