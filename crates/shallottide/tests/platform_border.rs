//! The border towards the platform, with a platform whose answers take as long as a test wants.

use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use shallottide::kernel::{Context, Kernel, names};
use shallottide::message::{PlatformOp, PlatformRequest};
use shallottide::platform_border::PlatformBorder;
use shallottide::telemetry::Metrics;
use shallottide_types::clock::SystemClock;
use shallottide_types::id::{DomainId, Incarnation, StoreIndex};
use shallottide_types::peer::NodeInfo;
use shallottide_types::platform::{
    Entry, Listing, Platform, PlatformError, Precondition, SwapOutcome, Vm,
};

/// Partitions that one of few nodes writes.
const CALLS: usize = 8;

/// Longest wait for all calls to be under way.
const WAIT: Duration = Duration::from_secs(20);

/// A platform whose reads end only once enough of them are under way.
#[derive(Default)]
struct SlowPlatform {
    under_way: Mutex<usize>,
    changed: Condvar,
}

impl SlowPlatform {
    fn wait_for_all(&self) -> usize {
        let few = |under_way: &mut usize| *under_way < CALLS;
        let under_way = self.under_way.lock().unwrap();
        let waited = self.changed.wait_timeout_while(under_way, WAIT, few);
        *waited.unwrap().0
    }
}

impl Platform for SlowPlatform {
    fn get(&self, _: &str) -> Result<Option<Entry>, PlatformError> {
        *self.under_way.lock().unwrap() += 1;
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
fn slow_calls_do_not_wait_for_each_other() {
    let info = NodeInfo {
        node: "node-1".parse().unwrap(),
        incarnation: Incarnation(1),
        domain: "domain-1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        stopping: false,
    };
    let kernel = Kernel::new(Context::new(Arc::new(SystemClock), info));
    let platform = Arc::new(SlowPlatform::default());
    let border =
        PlatformBorder::new(kernel.handle(), platform.clone(), Metrics::disabled()).unwrap();
    for token in 0..CALLS as u64 {
        let request = PlatformRequest {
            reply_to: names::CLAIMS,
            token,
            op: PlatformOp::Get(format!("claims/{token:02}")),
        };
        border.send(request.into());
    }
    assert_eq!(platform.wait_for_all(), CALLS);
}
