//! What tells a peer that is gone from one that reads slowly.

use std::time::Duration;

use nutmeggrade_platform::Transmission;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A peer whose window has been closed for long, and that answers its probes.
const CLOSED: Transmission = Transmission {
    acked_bytes: 1_000,
    unsent_bytes: 50_000,
    in_flight: 0,
    retransmits: 0,
    probes: 0,
    window: 0,
    interval: ms(6_400),
    since_ack: ms(5_000),
};

/// A peer that got packets and has not acknowledged them.
const SENT: Transmission = Transmission {
    unsent_bytes: 0,
    in_flight: 2,
    retransmits: 4,
    window: 64_000,
    interval: ms(1_600),
    since_ack: ms(3_100),
    ..CLOSED
};

/// Checks whether a peer counts as gone, for which bytes have been pending for 20 s.
fn is_gone(transmission: Transmission, is_gone: bool) {
    assert_eq!(transmission.is_peer_gone(Duration::from_secs(20)), is_gone);
}

// Guards against peers that count as gone while their window is closed, a probe is lost or answers are rare,
// and against peers that are gone and count as slow.
cases! {is_gone {
    closed_window: CLOSED, false;
    lost_probe: Transmission { probes: 1, ..CLOSED }, false;
    unanswered_probes: Transmission { probes: 2, ..CLOSED }, true;
    unanswered_probes_for_a_second: Transmission { probes: 2, since_ack: ms(1_000), ..CLOSED }, false;
    unanswered_packets: SENT, true;
    packets_sent_just_now: Transmission { since_ack: ms(2_900), ..SENT }, false;
    packets_before_any_retransmission: Transmission { retransmits: 0, ..SENT }, false;
    window_closed_over_packets: Transmission { window: 0, ..SENT }, false;
    unanswered_packets_beyond_a_closed_window:
        Transmission { window: 0, since_ack: ms(3_300), ..SENT }, true;
    nothing_pending: Transmission { unsent_bytes: 0, ..CLOSED }, false;
}}

/// Checks whether a peer counts as one that acknowledges what it gets.
fn is_answered(transmission: Transmission, is_answered: bool) {
    assert_eq!(transmission.is_answered(), is_answered);
}

// Guards against peers that count as reading while they acknowledge nothing, before they count as gone.
cases! {is_answered {
    answered_probes: CLOSED, true;
    unread_probes: Transmission { probes: 2, ..CLOSED }, false;
    packets_in_flight: Transmission { retransmits: 0, ..SENT }, true;
    retransmitted_packets: Transmission { retransmits: 1, ..SENT }, false;
    packets_beyond_a_closed_window: Transmission { window: 0, ..SENT }, true;
}}

// Guards against a peer that counts as gone by the time before anything was sent to it.
#[test]
fn idle_time_does_not_count() {
    let transmission = Transmission { since_ack: Duration::from_mins(1), ..SENT };
    assert!(!transmission.is_peer_gone(ms(2_000)));
}
