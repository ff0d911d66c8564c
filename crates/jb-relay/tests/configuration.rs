//! Time-outs that result from the settings of a route.

use std::time::Duration;

use jb_relay::configuration::{Route, RouteKind};

fn route(target: Duration, pause: Duration) -> Route {
    Route {
        name: "r".to_owned(),
        host: "shop.example".to_owned(),
        path_prefix: "/r/".to_owned(),
        kind: RouteKind::Stream,
        timeout: Duration::from_secs(4),
        target_latency: target,
        max_event_gap: pause,
        priority: 0,
        services: Vec::new(),
        max_attempts: 2,
        public: false,
        resumable: true,
    }
}

#[test]
fn timeouts_follow_the_settings_of_the_route() {
    let route = route(Duration::from_millis(400), Duration::from_millis(500));
    assert_eq!(route.response_stall_timeout(), Duration::from_millis(600));
    assert_eq!(route.stream_stall_timeout(), Duration::from_millis(1000));
}

/// Guards against a busy loop: a box with a time-out of zero would poll without a pause.
#[test]
fn timeouts_of_a_route_without_settings_are_not_zero() {
    let route = route(Duration::ZERO, Duration::ZERO);
    assert!(route.response_stall_timeout() > Duration::ZERO);
    assert!(route.stream_stall_timeout() > Duration::ZERO);
}
