//! Format of the metrics that a statsd server receives.

use std::net::UdpSocket;
use std::time::Duration;

use shallottide::telemetry::Metrics;
use shallottide_types::cases;

/// Sends one metric and checks the line that the server receives.
fn check(send: impl Fn(&Metrics), line: &str) {
    let server = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    server
        .set_read_timeout(Some(Duration::from_mins(1)))
        .expect("a valid timeout");
    let metrics = Metrics::new(server.local_addr().ok()).expect("a local socket");
    send(&metrics);
    let mut buf = [0; 512];
    let n = server.recv(&mut buf).expect("a metric");
    assert_eq!(String::from_utf8_lossy(&buf[..n]), line);
}

cases! {
    check;
    call_duration: |m: &Metrics| m.record_call("front", "complete", Duration::from_millis(7)), "shallottide.call.duration:7|ms|#hop:front,outcome:complete";
    platform_duration: |m: &Metrics| m.record_platform_call("swap", false, Duration::from_millis(3)), "shallottide.platform.duration:3|ms|#operation:swap,outcome:failed";
    peer_bytes: |m: &Metrics| m.record_control_message("heartbeat", 99, true), "shallottide.peer.bytes:99|h|#kind:heartbeat,outcome:sent";
    gauge: |m: &Metrics| m.set_gauge("nodes.alive", 2), "shallottide.nodes.alive:2|g";
}
