//! The platform's fault switches.

use shallottide_types::data;

data! {
    /// Fault switches; the default is a platform without faults.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct PlatformFaults {
        /// Every call fails as if nothing listened.
        pub down: bool,
        /// Real time added to each call, in milliseconds.
        pub slow_ms: u64,
        /// The next so many writes take effect, but their answers are lost.
        pub lose_answers: u32,
        /// The next so many writes are lost before they take effect.
        pub lose_writes: u32,
        /// Writes allowed in each second; more are refused.
        pub writes_per_second: Option<u32>,
        /// Reads allowed in each second; more are refused. A waiting watch counts once.
        pub reads_per_second: Option<u32>,
        /// Reads answer from the moment this was switched on.
        pub stale_reads: bool,
    }
}
