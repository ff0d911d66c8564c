//! What a route of the configuration says of a request.

use std::time::Duration;

use jb_relay::configuration::{Kind, Route};

fn route(target: Duration, pause: Duration) -> Route {
    Route {
        name: "r".to_owned(),
        host: "shop.example".to_owned(),
        prefix: "/r/".to_owned(),
        kind: Kind::Stream,
        timeout: Duration::from_secs(4),
        target,
        pause,
        rank: 0,
        services: Vec::new(),
        attempts: 2,
        public: false,
        resumable: true,
    }
}

#[test]
fn silence_that_counts_follows_the_times_of_the_route() {
    let route = route(Duration::from_millis(400), Duration::from_millis(500));
    assert_eq!(route.patience(), Duration::from_millis(600));
    assert_eq!(route.silence(), Duration::from_millis(1000));
}

/// A box that waits for no time at all would look again without end.
#[test]
fn route_without_times_still_waits_a_little() {
    let route = route(Duration::ZERO, Duration::ZERO);
    assert!(route.patience() > Duration::ZERO);
    assert!(route.silence() > Duration::ZERO);
}
