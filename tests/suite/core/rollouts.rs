//! Rollout orders, and the reports and notices about them.

use std::time::Duration;

use nutmeggrade_core::peer::{FleetMessage, open, seal};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::{
    Outcome, RolloutId, RolloutNotice, RolloutOrder, RolloutPhase, RolloutReport, RolloutTally,
};
use nutmeggrade_wire::rollout;
use nutmeggrade_wire::store::StoredObject;
use rstest::rstest;
use serde_json::{Value, json};

const KEY: [u8; 32] = [9; 32];
/// Receive buffer of an instance for one datagram.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;

fn object(content: Value, status: Value) -> StoredObject {
    let name = "desk".to_owned();
    StoredObject { name, content, status, is_gone: false, revision: 12, created: 9 }
}

fn id() -> RolloutId {
    RolloutId { created: 9, version: VersionId::new("v2").expect("an id") }
}

fn service() -> ServiceId {
    ServiceId::new("desk").expect("an id")
}

// Guards against a state that was written for another version and counts for this order.
#[test]
fn state_of_another_order_does_not_count() {
    let order = json!({ "service": "desk", "to": "v2", "duration_s": 12 });
    let phase = |status| rollout::read(&object(order.clone(), status)).expect("readable").phase;
    assert_eq!(phase(json!({ "state": "completed", "to": "v1" })), RolloutPhase::Held);
    assert_eq!(phase(json!({ "state": "completed", "to": "v2" })), RolloutPhase::Completed);
    assert_eq!(phase(json!({ "state": "reverted", "to": "v2" })), RolloutPhase::Reverted);
    assert_eq!(phase(json!({ "state": "in_progress", "to": "v2" })), RolloutPhase::Held);
    assert_eq!(phase(json!("damaged")), RolloutPhase::Held);
}

/// Checks that an order is refused.
fn is_refused(content: Value) {
    rollout::read(&object(content, Value::Null)).expect_err("refused");
}

// Guards against a malformed order that holds endpoints back.
cases! {is_refused {
    of_another_service: json!({ "service": "writers", "to": "v2", "duration_s": 12 });
    without_a_version: json!({ "service": "desk", "duration_s": 12 });
    with_an_odd_version: json!({ "service": "desk", "to": "v 2", "duration_s": 12 });
    with_a_negative_time: json!({ "service": "desk", "to": "v2", "duration_s": -1 });
    that_is_no_object: json!(7);
}}

/// Checks the duration of an order.
fn gives(content: Value, seconds: u64) {
    let order = rollout::read(&object(content, Value::Null)).expect("readable").order;
    assert_eq!(order.duration, Duration::from_secs(seconds));
}

// Guards against orders without a duration, or with one that exceeds the range of a clock.
cases! {gives {
    no_time: json!({ "service": "desk", "to": "v2" }), 0;
    zero: json!({ "service": "desk", "to": "v2", "duration_s": 0 }), 0;
    enormous: json!({ "service": "desk", "to": "v2", "duration_s": 1e15 }), 24 * 3_600;
}}

// Guards against a report with many routes that does not fit into a datagram and so never reaches
// the judge.
#[test]
fn report_fits_into_a_datagram() {
    let mut tally = RolloutTally { requests: 90_000, exposed: 9_000, ..RolloutTally::default() };
    for route in 0..1_400 {
        for ms in (0..16).map(|bit| 1 << bit) {
            for is_new in [false, true] {
                let time = Duration::from_millis(ms);
                let name = format!("r-long-name-of-route-{route}");
                tally.add(&name, is_new, Outcome::FirstResponse(time));
                tally.add(&name, is_new, Outcome::EventInterval(time));
            }
        }
    }
    let report = FleetMessage::RolloutReport(RolloutReport {
        instance: InstanceId::new("edge-utrechtse-heuvelrug-120").expect("an id"),
        incarnation: 1_768_304_315_009,
        service: service(),
        id: id(),
        phase: RolloutPhase::Canary,
        running: 4_711,
        tally,
    });
    let frame = seal(&report, &KEY).expect("seal");
    assert!(frame.len() <= MAX_DATAGRAM_BYTES, "{} bytes", frame.len());
    assert_eq!(open::<FleetMessage>(&frame, &KEY), Ok(report));
}

#[rstest]
fn notice_comes_back_as_it_was() {
    let order = RolloutOrder { service: service(), id: id(), duration: Duration::from_secs(12) };
    let age = Duration::from_millis(1_234);
    for phase in [RolloutPhase::Held, RolloutPhase::Switching, RolloutPhase::Withdrawn] {
        let order = order.clone();
        let notice = RolloutNotice { order, revision: 12, phase, share: 0.25, age };
        let sent = FleetMessage::Rollout(notice);
        let frame = seal(&sent, &KEY).expect("seal");
        assert_eq!(open::<FleetMessage>(&frame, &KEY), Ok(sent));
    }
}
