//! The platform adapter, with a platform that answers when the test lets it.

use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use shallottide::kernel::{Context, Kernel, names};
use shallottide::message::{PlatformOp, PlatformRequest};
use shallottide::platform_adapter::PlatformAdapter;
use shallottide::telemetry::Metrics;
use shallottide_types::clock::SystemClock;
use shallottide_types::id::{DomainId, Incarnation, StoreIndex};
use shallottide_types::peer::NodeInfo;
use shallottide_types::platform::{
    Entry, Listing, Platform, PlatformError, Precondition, SwapOutcome, Vm,
};

/// Concurrent calls: the claims partitions that one node writes in a small cluster.
const CALLS: usize = 8;

/// Longest wait until all calls are in progress.
const ALL_CALLS_TIMEOUT: Duration = Duration::from_secs(20);

/// A platform whose reads return only once `CALLS` of them are in progress.
#[derive(Default)]
struct SlowPlatform {
    in_progress: Mutex<usize>,
    changed: Condvar,
}

impl SlowPlatform {
    fn wait_for_all(&self) -> usize {
        let is_too_few = |in_progress: &mut usize| *in_progress < CALLS;
        let in_progress = self.in_progress.lock().unwrap();
        let waited = self
            .changed
            .wait_timeout_while(in_progress, ALL_CALLS_TIMEOUT, is_too_few);
        *waited.unwrap().0
    }
}

impl Platform for SlowPlatform {
    fn get(&self, _: &str) -> Result<Option<Entry>, PlatformError> {
        *self.in_progress.lock().unwrap() += 1;
        self.changed.notify_all();
        self.wait_for_all();
        Ok(None)
    }

    fn list(&self, _: &str, _: Option<StoreIndex>, _: Duration) -> Result<Listing, PlatformError> {
        unreachable!("only reads are sent")
    }

    fn swap(&self, _: &str, _: &[u8], _: Precondition) -> Result<SwapOutcome, PlatformError> {
        unreachable!("only reads are sent")
    }

    fn remove(&self, _: &str, _: StoreIndex) -> Result<SwapOutcome, PlatformError> {
        unreachable!("only reads are sent")
    }

    fn open_session(&self, _: Duration) -> Result<String, PlatformError> {
        unreachable!("only reads are sent")
    }

    fn renew_session(&self, _: &str) -> Result<bool, PlatformError> {
        unreachable!("only reads are sent")
    }

    fn acquire(&self, _: &str, _: &[u8], _: &str) -> Result<bool, PlatformError> {
        unreachable!("only reads are sent")
    }

    fn release(&self, _: &str, _: &str) -> Result<bool, PlatformError> {
        unreachable!("only reads are sent")
    }

    fn vms(&self, _: &DomainId) -> Result<Vec<Vm>, PlatformError> {
        unreachable!("only reads are sent")
    }
}

#[test]
fn slow_calls_run_concurrently() {
    let info = NodeInfo {
        node: "node-1".parse().unwrap(),
        incarnation: Incarnation(1),
        domain: "domain-1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        stopping: false,
    };
    let kernel = Kernel::new(Context::new(Arc::new(SystemClock), info));
    let platform = Arc::new(SlowPlatform::default());
    let adapter =
        PlatformAdapter::new(kernel.handle(), platform.clone(), Metrics::disabled()).unwrap();
    for token in 0..CALLS as u64 {
        let request = PlatformRequest {
            reply_to: names::CLAIMS,
            token,
            op: PlatformOp::Get(format!("claims/{token:02}")),
        };
        adapter.send(request.into());
    }
    assert_eq!(platform.wait_for_all(), CALLS);
}
