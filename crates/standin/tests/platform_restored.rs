//! The stand-in platform can be restored from an older copy, as a client over HTTP sees it.

use std::time::Duration;

use shallottide_types::id::StoreEra;
use shallottide_types::platform::{Platform, Precondition, SwapOutcome};
use standin::platform::MemoryPlatform;

/// Guards against a stand-in that keeps what a restored store loses, or whose positions don't increase.
#[test]
fn restored_store_loses_later_writes_and_gives_indexes_out_again() {
    let platform = MemoryPlatform::default();
    platform
        .swap("a", b"1", Precondition::Absent)
        .expect("a write");
    let copy = platform.copy();
    platform
        .swap("b", b"2", Precondition::Absent)
        .expect("a write");
    let before = platform.index();
    platform.restore(copy);
    let after = platform.index();
    assert_eq!(after.era(), StoreEra(1));
    assert!(after > before && after.revision() < before.revision());
    assert_eq!(platform.get("b"), Ok(None));
    let stored = platform.get("a").expect("a read").expect("an entry");
    assert_eq!(stored.index.era(), StoreEra(1));
    let listing = platform.list("", Some(before), Duration::from_secs(5));
    assert_eq!(listing.expect("a listing").index, after);
    platform
        .swap("c", b"3", Precondition::Absent)
        .expect("a write");
    assert_eq!(platform.index().revision(), before.revision());
    let outdated = platform.swap("c", b"4", Precondition::Index(before));
    assert_eq!(outdated, Ok(SwapOutcome::Conflict));
}
