//! Which callers may use the routes that are not public.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::catalog::Team;

/// Key that stands for an empty set of keys between nodes; no header can contain it.
const NO_KEY: &str = "\0";

/// Which callers may use the routes that are not public.
///
/// Nodes exchange it as a map of teams by key. An empty map means [`Access::Open`], also to nodes of
/// earlier versions, so an empty set of keys is sent as one key that no caller can present.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "BTreeMap<CompactString, Team>",
    into = "BTreeMap<CompactString, Team>"
)]
pub enum Access {
    /// All callers, without a key.
    #[default]
    Open,
    /// Callers with one of these keys, each held by a team; none at all when there are no keys.
    Keys(BTreeMap<CompactString, Team>),
}

impl Access {
    /// Returns the team that holds a key.
    #[must_use]
    pub fn team(&self, key: &str) -> Option<&Team> {
        match self {
            Self::Open => None,
            Self::Keys(teams) => teams.get(key),
        }
    }

    /// Returns whether callers need a key.
    #[must_use]
    pub fn needs_key(&self) -> bool {
        matches!(self, Self::Keys(_))
    }
}

impl From<BTreeMap<CompactString, Team>> for Access {
    fn from(mut teams: BTreeMap<CompactString, Team>) -> Self {
        if teams.is_empty() {
            return Self::Open;
        }
        teams.remove(NO_KEY);
        Self::Keys(teams)
    }
}

impl From<Access> for BTreeMap<CompactString, Team> {
    fn from(access: Access) -> Self {
        match access {
            Access::Open => Self::new(),
            Access::Keys(teams) if teams.is_empty() => {
                let placeholder = Team {
                    id: "none".parse().expect("a valid id"),
                    priority: None,
                };
                Self::from([(NO_KEY.into(), placeholder)])
            }
            Access::Keys(teams) => teams,
        }
    }
}
