//! What a route of the configuration says of a request.

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
fn silence_that_counts_follows_the_times_of_the_route() {
    let route = route(Duration::from_millis(400), Duration::from_millis(500));
    assert_eq!(route.response_stall_timeout(), Duration::from_millis(600));
    assert_eq!(route.stream_stall_timeout(), Duration::from_millis(1000));
}

/// A box that waits for no time at all would look again without end.
#[test]
fn route_without_times_still_waits_a_little() {
    let route = route(Duration::ZERO, Duration::ZERO);
    assert!(route.response_stall_timeout() > Duration::ZERO);
    assert!(route.stream_stall_timeout() > Duration::ZERO);
}
