//! The service's fault switches.

use shallottide_types::data;

data! {
    /// Fault switches; the default is a service without faults. Each
    /// counter applies to that many upcoming calls, unless noted otherwise.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct ServiceFaults {
        /// Calls whose connection is closed before they run.
        pub close_before_run: u32,
        /// Calls that run, but whose connection is closed without a response.
        pub lose_answers: u32,
        /// Calls that run and get no response on a connection that stays open.
        pub silent: u32,
        /// Calls that run and whose response is truncated.
        pub cut_answers: u32,
        /// Calls that run and whose response carries another call's `X-Request-Id`.
        pub wrong_request_id: u32,
        /// Delay before each call runs, in milliseconds. Applies until it is changed.
        pub delay_ms: u64,
    }

    /// The body of `PUT /control`.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct ServiceControl {
        /// Replaces all fault switches.
        pub faults: Option<ServiceFaults>,
    }
}
