//! Stand-ins for tests and the demo.
