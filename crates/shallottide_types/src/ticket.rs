//! Idempotency keys that an entry VM mints and grants from memory.

use std::fmt;
use std::str::FromStr;

use crate::data;
use crate::id::{IdError, IdempotencyKey, Incarnation, NodeId, TicketNumber};

/// How every ticket begins; other keys may not.
const PREFIX: &str = "ticket:";

/// A key that begins as a ticket does and is none.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a ticket: send one as POST /tickets gave it, or a key without \"ticket:\"")]
pub struct TicketError(String);

data! {
    /// A key that only the start of the entry VM that minted it may grant.
    ///
    /// Its text is `ticket:NODE:INCARNATION:NUMBER`.
    pub struct Ticket {
        /// The entry VM that minted it.
        pub node: NodeId,
        /// The start of that entry VM.
        pub incarnation: Incarnation,
        /// Its number among those of the start, from 1.
        pub number: TicketNumber,
    }
}

impl Ticket {
    /// Reads a key as a ticket; `None` for any other key.
    ///
    /// # Errors
    /// [`TicketError`] when it begins as a ticket does and is none.
    pub fn from_key(key: &IdempotencyKey) -> Result<Option<Self>, TicketError> {
        let text = key.as_str();
        if text.starts_with(PREFIX) {
            text.parse().map(Some)
        } else {
            Ok(None)
        }
    }

    /// Returns the ticket as a key.
    ///
    /// # Errors
    /// [`IdError`] when the node's id leaves no room for the numbers.
    pub fn to_key(&self) -> Result<IdempotencyKey, IdError> {
        self.to_string().parse()
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            node,
            incarnation,
            number,
        } = self;
        write!(f, "{PREFIX}{node}:{incarnation}:{number}")
    }
}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || TicketError(text.into());
        let rest = text.strip_prefix(PREFIX).ok_or_else(error)?;
        // The node's id may hold colons itself.
        let mut parts = rest.rsplitn(3, ':');
        let mut next = || parts.next().ok_or_else(error);
        let (number, incarnation, node) = (next()?, next()?, next()?);
        let ticket = Self {
            node: node.parse().map_err(|_| error())?,
            incarnation: incarnation.parse().map_err(|_| error())?,
            number: number.parse().map_err(|_| error())?,
        };
        // Only one text names a ticket: keys are told apart by their text.
        if ticket.to_string() == text {
            Ok(ticket)
        } else {
            Err(error())
        }
    }
}
