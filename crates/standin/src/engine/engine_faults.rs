//! The engine's fault switches.

use shallottide_types::data;

data! {
    /// Fault switches; the default is an engine without faults.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct EngineFaults {
        /// Keeps responses open without sending tokens until this is switched off.
        pub freeze: bool,
        /// Tokens that a frozen response sends before it stalls.
        pub freeze_after: u64,
        /// Number of upcoming responses whose connection is closed early.
        pub cut_streams: u32,
        /// Tokens sent before a stream is cut.
        pub cut_after: u64,
        /// Number of upcoming responses that carry another call's `X-Request-Id`.
        pub wrong_request_id: u32,
        /// Delay before the first token, in milliseconds.
        pub delay_ms: u64,
        /// Factor on the time of each token; 0 and 1 change nothing.
        pub slowdown: u32,
        /// Number of upcoming orders that take effect but lose their response.
        pub lose_order_answers: u32,
    }

    /// The body of `PUT /control`.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct EngineControl {
        /// Replaces all fault switches.
        pub faults: Option<EngineFaults>,
        /// Resets the engine to cold.
        pub turn_cold: bool,
        /// Restarts the engine: it loses its model and increments its incarnation.
        pub restart: bool,
    }
}
