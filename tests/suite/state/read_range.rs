//! The range of revisions up to which a kind of object was read.

use nutmeggrade_state::read_range::ReadRange;

// Guards against peers that treat an update as incomplete because objects of other kinds changed in
// between.
#[test]
fn changes_of_other_kinds_leave_no_gap() {
    let (mut reader, mut peer) = (ReadRange::default(), ReadRange::default());
    reader.note_listing(10, 7);
    peer.note_listing(10, 7);
    reader.note(25, 0);
    assert!(peer.read() >= reader.since());
    reader.note(30, 30);
    peer.note(30, 30);
    reader.note(44, 0);
    assert!(peer.read() >= reader.since());
}

// Guards against a removed object that stays known to the instance whose listing is the earlier
// one.
#[test]
fn later_listing_hides_earlier_removals() {
    let (mut reader, mut peer) = (ReadRange::default(), ReadRange::default());
    peer.note_listing(92, 90);
    reader.note_listing(100, 90);
    assert!(peer.read() < reader.since());
}
