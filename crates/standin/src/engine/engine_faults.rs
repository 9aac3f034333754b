//! The engine's fault switches.

use shallottide_types::data;

data! {
    /// Fault switches; the default is an engine without faults.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct EngineFaults {
        /// Answers stay open and silent until this is switched off.
        pub freeze: bool,
        /// Tokens that a frozen answer still makes.
        pub freeze_after: u64,
        /// The next so many streams are cut.
        pub cut_streams: u32,
        /// Tokens that a cut stream still sends.
        pub cut_after: u64,
        /// The next so many answers carry another call's `X-Request-Id`.
        pub wrong_request_id: u32,
        /// Time before an answer begins, in milliseconds.
        pub delay_ms: u64,
        /// Times as long that each token takes; 0 and 1 change nothing.
        pub slowdown: u32,
        /// The next so many orders take effect, but their answers are lost.
        pub lose_order_answers: u32,
    }

    /// The body of `PUT /control`.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct EngineControl {
        /// Replaces all fault switches.
        pub faults: Option<EngineFaults>,
        /// Makes the engine cold again.
        pub turn_cold: bool,
        /// Restarts the engine: it loses its model and raises its incarnation.
        pub restart: bool,
    }
}
