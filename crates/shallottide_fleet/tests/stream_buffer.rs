//! Events that callers have not read yet stay within the node's memory and their stream's part of it.

use std::time::Duration;

use shallottide_fleet::byte_budget::ByteBudget;
use shallottide_fleet::stream_buffer::{CallerStalled, StreamBuffer};

/// Bytes of one read's events.
const EVENTS: &[u8] = &[b'x'; 744];
/// What they count as.
const HELD: usize = 1_000;

/// Holds events until no more may be held.
fn fill(buffer: &StreamBuffer) -> Vec<bytes::Bytes> {
    std::iter::from_fn(|| buffer.try_hold(EVENTS)).collect()
}

/// Guards against one slow caller that takes the memory of all others.
#[test]
fn one_stream_holds_a_fifth_of_the_budget() {
    let budget = ByteBudget::new(100 * HELD);
    let buffer = StreamBuffer::new(budget.clone());
    let held = fill(&buffer);
    assert_eq!(held.len(), 20);
    assert_eq!((buffer.held(), budget.used()), (20 * HELD, 20 * HELD));
    drop(held);
    assert_eq!((buffer.held(), budget.used()), (0, 0));
}

/// Guards against slow callers that together exceed the budget, or delay a stream whose caller reads.
#[test]
fn many_streams_leave_room_for_one_more() {
    let budget = ByteBudget::new(100 * HELD);
    let buffers: Vec<_> = (0..50).map(|_| StreamBuffer::new(budget.clone())).collect();
    let held: Vec<_> = buffers.iter().map(fill).collect();
    assert!(budget.used() <= budget.limit(), "{}", budget.used());
    let fast = StreamBuffer::new(budget.clone());
    for _ in 0..100 {
        assert!(fast.try_hold(EVENTS).is_some());
    }
    drop(held);
    assert_eq!(budget.used(), 0);
}

/// Guards against memory that is given back while parts of the events are still to be written.
#[test]
fn slices_keep_the_memory_counted() {
    let budget = ByteBudget::new(100 * HELD);
    let buffer = StreamBuffer::new(budget.clone());
    let events = buffer.try_hold(EVENTS).expect("room");
    let slice = events.slice(700..);
    drop(events);
    assert_eq!(budget.used(), HELD);
    drop(slice);
    assert_eq!(budget.used(), 0);
}

/// Guards against streams that wait without end for callers that do not read, and ones that are given up
/// although their callers read.
#[test]
fn a_full_buffer_waits_for_its_caller() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build();
    runtime.expect("a runtime").block_on(async {
        let timeout = Duration::from_millis(200);
        let buffer = StreamBuffer::new(ByteBudget::new(100 * HELD));
        let mut held = fill(&buffer);
        let stalled = buffer.hold(EVENTS, timeout).await;
        assert_eq!(stalled, Err(CallerStalled));
        let reading = async {
            tokio::time::sleep(timeout / 2).await;
            held.pop();
        };
        let (events, ()) = tokio::join!(buffer.hold(EVENTS, timeout), reading);
        assert!(events.is_ok());
    });
}
