//! Upkeep of the records of services' versions.

use std::collections::BTreeSet;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::version_record::{
    ServiceVersions, StoredVersions, VersionRecord, VersionState, VersionsWrite,
};
use nutmeggrade_state::stream_table::STREAM_RETENTION;
use nutmeggrade_state::version_keeper::VersionKeeper;

const SERVING: VersionState = VersionState::Serving;
const RETIRING: VersionState = VersionState::Retiring;
/// Longer than a version stays recorded as serving without endpoints.
const MINUTE: Duration = Duration::from_mins(1);

fn service() -> ServiceId {
    ServiceId::new("writers").expect("an id")
}

fn version(name: &str) -> VersionId {
    VersionId::new(name).expect("an id")
}

fn live(names: &[&str]) -> ServiceVersions {
    let versions: BTreeSet<VersionId> = names.iter().map(|name| version(name)).collect();
    ServiceVersions::from([(service(), versions)])
}

fn record(versions: &[(&str, VersionState)]) -> VersionRecord {
    let versions = versions.iter().map(|(name, state)| (version(name), *state)).collect();
    VersionRecord { versions, is_incomplete: false }
}

fn stored(revision: u64, versions: &[(&str, VersionState)]) -> StoredVersions {
    StoredVersions { service: service(), revision, record: Some(record(versions)) }
}

fn write(revision: impl Into<Option<u64>>, record: VersionRecord) -> VersionsWrite {
    VersionsWrite { service: service(), revision: revision.into(), record }
}

fn keeper(all: Vec<StoredVersions>) -> VersionKeeper {
    let mut keeper = VersionKeeper::new();
    keeper.replace(all);
    keeper
}

/// Applies the one write that the keeper plans, as the store does.
fn apply(keeper: &mut VersionKeeper, planned: &[VersionsWrite], revision: u64) {
    let [write] = planned else { panic!("{planned:?}") };
    let record = Some(write.record.clone());
    keeper.put(StoredVersions { service: service(), revision, record });
}

fn addition(
    old: Option<StoredVersions>,
    names: &'static [&'static str],
    expected: Option<VersionsWrite>,
) {
    let keeper = keeper(old.into_iter().collect());
    assert_eq!(keeper.additions(&live(names)), Vec::from_iter(expected));
}

// Guards against versions that are not recorded, and writes that change nothing.
cases! {addition {
    to_no_record: None, &["v1"], Some(write(None, record(&[("v1", SERVING)])));
    of_a_recorded_version: Some(stored(7, &[("v1", SERVING), ("v2", SERVING)])), &["v1"], None;
    of_a_second_version: Some(stored(7, &[("v1", SERVING)])), &["v2"],
        Some(write(7, record(&[("v1", SERVING), ("v2", SERVING)])));
    of_a_retiring_version: Some(stored(7, &[("v1", RETIRING)])), &["v1"],
        Some(write(7, record(&[("v1", SERVING)])));
    to_an_unreadable_record: Some(StoredVersions { record: None, ..stored(7, &[]) }), &["v1"],
        Some(write(7, VersionRecord { is_incomplete: true, ..record(&[("v1", SERVING)]) }));
}}

// Guards against versions that stay recorded for good, so that streams are refused long after.
#[test]
fn version_without_endpoints_is_retired_and_then_removed() {
    let mut keeper = keeper(vec![stored(7, &[("v1", SERVING), ("v2", SERVING)])]);
    let (live, start) = (live(&["v2"]), Moment::ZERO);
    assert_eq!(keeper.retirements(&live, 7, start), []);
    let retired_at = start.after(MINUTE);
    let planned = keeper.retirements(&live, 7, retired_at);
    assert_eq!(planned, [write(7, record(&[("v1", RETIRING), ("v2", SERVING)]))]);
    apply(&mut keeper, &planned, 9);
    assert_eq!(keeper.retirements(&live, 9, retired_at), []);
    let almost = retired_at.after(STREAM_RETENTION.saturating_sub(Duration::from_millis(1)));
    assert_eq!(keeper.retirements(&live, 20, almost), []);
    let planned = keeper.retirements(&live, 20, retired_at.after(STREAM_RETENTION));
    assert_eq!(planned, [write(9, record(&[("v2", SERVING)]))]);
    apply(&mut keeper, &planned, 21);
    assert_eq!(keeper.retirements(&live, 21, retired_at.after(STREAM_RETENTION * 9)), []);
}

// Guards against an instance that removes a version as it starts, since it has never seen it.
#[test]
fn absence_counts_from_when_this_instance_observes_it() {
    let mut keeper = keeper(vec![stored(7, &[("v1", RETIRING)])]);
    let late = Moment::ZERO.after(STREAM_RETENTION * 5);
    assert_eq!(keeper.retirements(&live(&["v2"]), 7, late), []);
    keeper.forget();
    assert_eq!(keeper.retirements(&live(&["v2"]), 7, late.after(STREAM_RETENTION)), []);
    keeper.replace(vec![stored(7, &[("v1", RETIRING)])]);
    assert_eq!(keeper.retirements(&live(&["v2"]), 7, late.after(STREAM_RETENTION)), []);
}

// Guards against the removal of a version whose endpoint came before the record was retiring, and was
// not read yet.
#[test]
fn absence_counts_from_endpoints_read_after_the_record() {
    let mut keeper = keeper(vec![stored(7, &[("v1", RETIRING)])]);
    let live = live(&[]);
    assert_eq!(keeper.retirements(&live, 6, Moment::ZERO), []);
    let later = Moment::ZERO.after(STREAM_RETENTION);
    assert_eq!(keeper.retirements(&live, 7, later), []);
    assert_eq!(keeper.retirements(&live, 7, later.after(STREAM_RETENTION)).len(), 1);
}

/// Checks that something that happens during the absence of a version makes it count anew.
fn absence_counts_anew(happens: fn(&mut VersionKeeper, Moment)) {
    let mut keeper = keeper(vec![stored(7, &[("v1", RETIRING)])]);
    assert_eq!(keeper.retirements(&live(&[]), 7, Moment::ZERO), []);
    happens(&mut keeper, Moment::ZERO.after(MINUTE));
    let late = Moment::ZERO.after(STREAM_RETENTION);
    assert_eq!(keeper.retirements(&live(&[]), 9, late), []);
    assert_eq!(keeper.retirements(&live(&[]), 9, late.after(STREAM_RETENTION)).len(), 1);
}

// Guards against the removal of a version that came back in between, here or elsewhere.
cases! {absence_counts_anew {
    after_an_endpoint_of_the_version: |keeper, now| {
        assert_eq!(keeper.retirements(&live(&["v1"]), 8, now), []);
    };
    after_a_change_of_the_record: |keeper, _| keeper.put(stored(9, &[("v1", RETIRING)]));
    after_a_changed_listing: |keeper, _| keeper.replace(vec![stored(9, &[("v1", RETIRING)])]);
    after_a_gap: |keeper, _| {
        keeper.forget();
        keeper.replace(vec![stored(7, &[("v1", RETIRING)])]);
    };
}}

// Guards against versions of an unreadable record that are taken for none.
#[test]
fn unreadable_record_stays_incomplete_for_as_long_as_streams_are_taken_up() {
    let incomplete = VersionRecord { is_incomplete: true, ..record(&[("v1", SERVING)]) };
    let known = StoredVersions { record: Some(incomplete), ..stored(7, &[]) };
    let mut keeper = keeper(vec![known]);
    let live = live(&["v1"]);
    assert_eq!(keeper.retirements(&live, 7, Moment::ZERO), []);
    assert_eq!(keeper.retirements(&live, 7, Moment::ZERO.after(MINUTE)), []);
    let planned = keeper.retirements(&live, 7, Moment::ZERO.after(STREAM_RETENTION));
    assert_eq!(planned, [write(7, record(&[("v1", SERVING)]))]);
}
