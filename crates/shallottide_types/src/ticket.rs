//! Tickets: idempotency keys that an entry VM mints, and whose claims it grants from memory.

use std::fmt;
use std::str::FromStr;

use crate::data;
use crate::id::{IdError, IdempotencyKey, Incarnation, NodeId, TicketNumber};

/// Reserved prefix of tickets; a key with this prefix that is no valid ticket is refused.
const PREFIX: &str = "ticket:";

/// Error of a key that has the prefix of tickets but is not a valid ticket.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a ticket: send one as POST /tickets gave it, or a key without \"ticket:\"")]
pub struct TicketError(String);

data! {
    /// An idempotency key that only the node that minted it may grant, and only until that node
    /// restarts.
    ///
    /// Its text is `ticket:NODE:INCARNATION:NUMBER`.
    pub struct Ticket {
        /// The entry VM that minted it.
        pub node: NodeId,
        /// Start number of that entry VM when it minted the ticket.
        pub incarnation: Incarnation,
        /// Number of the ticket within that start, counted from 1.
        pub number: TicketNumber,
    }
}

impl Ticket {
    /// Parses a key as a ticket; `None` when the key lacks the prefix of tickets.
    ///
    /// # Errors
    /// [`TicketError`] when the key has the prefix but is not a valid ticket.
    pub fn from_key(key: &IdempotencyKey) -> Result<Option<Self>, TicketError> {
        let text = key.as_str();
        if text.starts_with(PREFIX) {
            text.parse().map(Some)
        } else {
            Ok(None)
        }
    }

    /// Returns the ticket as an idempotency key.
    ///
    /// # Errors
    /// [`IdError`] when the node's id is so long that the key exceeds the maximum length of an id.
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
        // The node's id may contain colons, so the text is split from the end.
        let mut parts = rest.rsplitn(3, ':');
        let mut next = || parts.next().ok_or_else(error);
        let (number, incarnation, node) = (next()?, next()?, next()?);
        let ticket = Self {
            node: node.parse().map_err(|_| error())?,
            incarnation: incarnation.parse().map_err(|_| error())?,
            number: number.parse().map_err(|_| error())?,
        };
        // Keys are compared as text, so each ticket must have exactly one valid text form.
        if ticket.to_string() == text {
            Ok(ticket)
        } else {
            Err(error())
        }
    }
}
