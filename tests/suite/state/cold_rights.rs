//! Rights to use an endpoint in cold start, and their leases.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::peer::Assignment;
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::cold_load::{LoadSample, SlotId};
use nutmeggrade_state::cold_rights::ColdRights;
use rstest::rstest;

const LEASE: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn engine() -> EndpointId {
    EndpointId::new("engine-0").expect("name")
}

fn own_id() -> InstanceId {
    InstanceId::new("node-0").expect("name")
}

fn sole_owner(incarnation: u64) -> Assignment {
    Assignment::new(BTreeMap::from([(own_id(), incarnation)]), LEASE)
}

fn sample(taken: u64, running: u32) -> LoadSample {
    LoadSample { taken: at(taken), held: running, cold: true, limit: 2 }
}

/// Returns the rights of an owner since 1250 ms that confirmed its lease at 1500 ms.
fn owner() -> ColdRights {
    let mut rights = ColdRights::new(&own_id(), 7);
    rights.confirm_assignment(&sole_owner(7), at(0), at(0));
    rights.confirm_assignment(&sole_owner(7), at(1_500), at(1_510));
    rights
}

#[rstest]
fn owner_fills_the_limit_and_no_more() {
    let mut rights = owner();
    rights.note_load(&engine(), sample(1_520, 0));
    assert_eq!(rights.cold_right(&engine(), at(1_530)), 2);
    assert!(rights.take_slot(&engine(), SlotId(1), at(1_530)));
    assert!(rights.take_slot(&engine(), SlotId(2), at(1_530)));
    assert!(!rights.take_slot(&engine(), SlotId(3), at(1_530)));
}

// Guards against an engine that crashes in cold start because a frozen owner resumes in the middle
// of a send, seconds after another instance became the owner.
#[rstest]
fn frozen_owner_wakes_without_its_right() {
    let mut rights = owner();
    rights.note_load(&engine(), sample(1_520, 0));
    assert!(!rights.take_slot(&engine(), SlotId(1), at(2_600)));
    // A response from the buffer belongs to a request from before the freeze.
    rights.confirm_assignment(&sole_owner(7), at(1_590), at(2_610));
    assert_eq!(rights.owner_epoch(&engine(), at(2_610)), None);
    rights.confirm_assignment(&sole_owner(7), at(2_620), at(2_630));
    assert_eq!(rights.owner_epoch(&engine(), at(2_630)), Some(1));
}

#[rstest]
fn new_epoch_waits_for_the_old_lease() {
    let mut rights = ColdRights::new(&own_id(), 7);
    rights.confirm_assignment(&sole_owner(7), at(0), at(0));
    rights.confirm_assignment(&sole_owner(7), at(1_200), at(1_200));
    assert_eq!(rights.owner_epoch(&engine(), at(1_249)), None);
    assert_eq!(rights.owner_epoch(&engine(), at(1_250)), Some(1));
}

// Guards against a former incarnation that acts as the owner after a restart under the same name.
#[rstest]
fn former_incarnation_owns_nothing() {
    let mut rights = owner();
    rights.confirm_assignment(
        &sole_owner(7).next(BTreeMap::from([(own_id(), 8)]), LEASE),
        at(1_600),
        at(1_600),
    );
    assert_eq!(rights.owner_epoch(&engine(), at(1_600)), None);
    assert_eq!(rights.owner_epoch(&engine(), at(9_000)), None);
}

#[rstest]
fn owner_that_stays_waits_for_nobody() {
    let mut rights = owner();
    let more = BTreeMap::from([(own_id(), 7)]);
    rights.confirm_assignment(&sole_owner(7).next(more, LEASE), at(1_600), at(1_600));
    assert_eq!(rights.owner_epoch(&engine(), at(1_600)), Some(2));
}

#[rstest]
fn peers_hint_gives_no_right() {
    let mut rights = ColdRights::new(&own_id(), 7);
    rights.note_peer_assignment(&sole_owner(7), at(0));
    assert_eq!(rights.owner_epoch(&engine(), at(1_300)), None);
}

// Guards against ignoring the former owner's requests, which run for minutes after its lease has
// ended.
fn room_left(running: u32, free_slots: u32) {
    let mut rights = owner();
    rights.note_load(&engine(), sample(1_520, running));
    assert_eq!(rights.cold_right(&engine(), at(1_530)), free_slots);
}

cases!(room_left {
    nothing_runs: 0, 2;
    one_runs: 1, 1;
    full: 2, 0;
    over_full: 5, 0;
});

#[rstest]
fn report_from_before_the_epoch_proves_nothing() {
    let mut rights = owner();
    rights.note_load(&engine(), sample(1_240, 0));
    assert_eq!(rights.cold_right(&engine(), at(1_530)), 0);
}

// Guards against a slot that is freed too early: a report already in transit may or may not count
// the generation that ended.
#[rstest]
fn place_is_free_only_after_a_later_report() {
    let mut rights = owner();
    rights.note_load(&engine(), sample(1_520, 1));
    assert!(rights.take_slot(&engine(), SlotId(1), at(1_530)));
    rights.leave_slot(&engine(), SlotId(1), at(1_600));
    assert!(!rights.take_slot(&engine(), SlotId(2), at(1_610)));
    rights.note_load(&engine(), sample(1_590, 1));
    assert!(!rights.take_slot(&engine(), SlotId(2), at(1_610)));
    rights.note_load(&engine(), sample(1_620, 1));
    assert!(rights.take_slot(&engine(), SlotId(2), at(1_630)));
}
