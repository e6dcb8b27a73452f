//! Revisions of the store whose changes were read.

use nutmeggrade_state::seen_revisions::SeenRevisions;

/// Checks whether a change up to the revision 9 counts as missed after all kinds were read up to
/// `complete` and the changes with the revisions `read`, in this order, in between.
fn misses_nine(complete: u64, read: &[u64], expected: bool) {
    let mut seen = SeenRevisions::default();
    seen.insert(read.iter().copied());
    seen.complete_up_to(complete);
    assert_eq!(seen.misses(9), expected, "{seen:?}");
}

// Guards against changes that no watch has delivered and that nobody asks for, and against calls for
// changes that were delivered, in any order.
cases! {misses_nine {
    nothing_read: 0, &[], true;
    read_completely: 9, &[], false;
    later_than_reported: 12, &[], false;
    each_change_read: 6, &[7, 8, 9], false;
    read_in_another_order: 6, &[9, 7, 8], false;
    read_before_completion: 7, &[5, 9, 8], false;
    one_change_missing: 6, &[7, 9], true;
    last_change_missing: 6, &[7, 8], true;
    first_change_missing: 6, &[8, 9], true;
    greatest_revision_complete: u64::MAX, &[7, u64::MAX], false;
    greatest_revision_read: u64::MAX - 1, &[u64::MAX], false;
}}
