//! Bodies in transfer over many connections stay within the node's memory.

use shallottide_fleet::byte_budget::ByteBudget;

#[test]
fn reservations_share_the_budget_and_give_it_back() {
    let budget = ByteBudget::new(100);
    let (mut first, mut second) = (budget.reserve(), budget.reserve());
    assert!(first.grow(60));
    assert!(!second.grow(41));
    assert!(second.grow(40));
    assert!(!second.grow(1));
    assert!(!first.grow(usize::MAX));
    assert_eq!(budget.used(), 100);
    drop(first);
    assert_eq!(budget.used(), 40);
    assert!(second.grow(60));
    drop(second);
    assert_eq!(budget.used(), 0);
}
