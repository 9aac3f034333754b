//! The platform's fault switches.

use shallottide_types::data;

data! {
    /// Fault switches; the default is a platform without faults.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct PlatformFaults {
        /// Fails every call as if no process listened on the address.
        pub down: bool,
        /// Wall-clock delay added to each call, in milliseconds.
        pub slow_ms: u64,
        /// Number of upcoming writes that take effect but lose their response.
        pub lose_answers: u32,
        /// Number of upcoming writes that are lost before they take effect.
        pub lose_writes: u32,
        /// Writes allowed per second; excess writes are refused. `None` sets no limit.
        pub writes_per_second: Option<u32>,
        /// Reads allowed per second; excess reads are refused. A blocking watch counts once. `None`
        /// sets no limit.
        pub reads_per_second: Option<u32>,
        /// Serves reads from a snapshot taken when this was switched on.
        pub stale_reads: bool,
    }
}
