//! How far one kind of object is read.

use nutmeggrade_state::read_range::ReadRange;

// Objects of other kinds change, and peers take the next news of this kind for incomplete.
#[test]
fn peers_need_not_have_read_what_brought_nothing() {
    let (mut reader, mut told) = (ReadRange::default(), ReadRange::default());
    reader.note_listing(10, 7);
    told.note_listing(10, 7);
    reader.note(25, 0);
    assert!(told.read() >= reader.since());
    reader.note(30, 30);
    told.note(30, 30);
    reader.note(44, 0);
    assert!(told.read() >= reader.since());
}

// An object that was removed between the listings of two instances stays known to the earlier one.
#[test]
fn listing_hides_what_was_removed_before() {
    let (mut reader, mut told) = (ReadRange::default(), ReadRange::default());
    told.note_listing(92, 90);
    reader.note_listing(100, 90);
    assert!(told.read() < reader.since());
}
