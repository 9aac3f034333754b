//! A task that panics is started again, so that one bad message does not stop a node.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use shallottide_fleet::serve::supervise;
use tokio::task::LocalSet;

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

#[test]
fn a_task_that_panics_is_started_again() {
    block_on(async {
        let starts = Rc::new(Cell::new(0));
        let counted = starts.clone();
        supervise("test", move || {
            let starts = counted.clone();
            async move {
                starts.set(starts.get() + 1);
                assert!(starts.get() > 2, "the first two messages are malformed");
            }
        })
        .await;
        assert_eq!(starts.get(), 3);
    });
}

#[test]
fn a_task_that_ends_is_not_started_again() {
    block_on(async {
        let starts = Rc::new(Cell::new(0));
        let counted = starts.clone();
        let run = supervise("test", move || {
            counted.set(counted.get() + 1);
            std::future::ready(())
        });
        tokio::time::timeout(Duration::from_secs(5), run)
            .await
            .expect("the supervisor ends with its task");
        assert_eq!(starts.get(), 1);
    });
}
