//! Requests that arrive before an instance can serve.

use std::time::Duration;

use nutmeggrade_policy::dispatch::{StartupView, startup_wait};

const TIME_LEFT: Duration = Duration::from_secs(3);

fn view(live_peers: usize, serving_peers: usize) -> StartupView {
    StartupView { live_peers, serving_peers, is_store_unavailable: false }
}

// Guards against clients that are refused by every instance they try after all were killed: as long
// as few serve, a request waits, but keeps most of its time for its response.
#[test]
fn requests_wait_while_the_fleet_starts() {
    for (live, serving) in [(0, 0), (6, 0), (300, 3), (300, 150)] {
        let wait = startup_wait(TIME_LEFT, view(live, serving));
        assert!(wait >= Duration::from_secs(1), "{wait:?}");
        assert!(wait <= TIME_LEFT / 2, "{wait:?}");
    }
    assert!(startup_wait(Duration::from_secs(39), view(0, 0)) <= Duration::from_secs(3));
}

// Guards against clients that wait for an instance that has been restarted while others serve.
#[test]
fn requests_go_elsewhere_if_others_serve() {
    assert_eq!(startup_wait(TIME_LEFT, view(6, 6)), Duration::ZERO);
    assert_eq!(startup_wait(TIME_LEFT, view(300, 200)), Duration::ZERO);
}

// Guards against clients that wait for a store that is unavailable.
#[test]
fn requests_do_not_wait_for_an_unavailable_store() {
    let view = StartupView { is_store_unavailable: true, ..view(0, 0) };
    assert_eq!(startup_wait(TIME_LEFT, view), Duration::ZERO);
}
