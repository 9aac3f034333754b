//! Text that must not be printed.

use std::fmt;

use serde::Deserialize;

/// A key or token; its `Debug` form hides it, and it has no other.
#[derive(Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Returns the text, to be sent or compared and never to be logged.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Tells whether nothing was set.
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
