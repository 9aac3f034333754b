//! Keys of counts that nodes keep per kind of call and per team, and exchange in datagrams.

use serde::{Deserialize, Serialize};
use shallottide_types::id::{ModelId, ServiceId};
use shallottide_types::rendezvous::hash;

/// Kind of a call: the calls of one kind compete for the same upstreams.
pub type Kind = (ServiceId, ModelId);

/// A kind of call, as a hash that is the same on every node.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct KindKey(pub u32);

impl KindKey {
    /// Returns the key of a kind.
    #[must_use]
    pub fn of((service, model): &Kind) -> Self {
        Self(low_bits(
            hash(service.as_str()) ^ hash(model.as_str()).rotate_left(1),
        ))
    }
}

/// A team, as a hash that is the same on every node; calls without a team count as one team.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct TeamKey(pub u32);

impl TeamKey {
    /// Returns the key of a team.
    #[must_use]
    pub fn of(team: Option<&str>) -> Self {
        team.map_or_else(Self::default, |team| Self(low_bits(hash(team))))
    }
}

fn low_bits(hash: u64) -> u32 {
    let [a, b, c, d, ..] = hash.to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}
