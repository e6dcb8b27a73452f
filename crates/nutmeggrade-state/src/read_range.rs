//! Read position for one kind of object.

/// Read position for one kind of object, in a store whose revision counts the changes of all kinds.
///
/// A watch without changes advances the read revision of its reader alone. Updates for peers
/// therefore start at the last change; a range that started at the last response would look
/// incomplete to them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadRange {
    last_listing: u64,
    last_change: u64,
    read_revision: u64,
}

impl ReadRange {
    /// Returns the revision up to which everything has been read.
    pub const fn read(&self) -> u64 {
        self.read_revision
    }

    /// Returns the revision of the last response that contained a change.
    pub const fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the revision from which peers miss only the next change. A listing does not show
    /// earlier removals, so this is never before the last listing.
    pub fn since(&self) -> u64 {
        self.last_change.max(self.last_listing)
    }

    /// Records a response that is complete up to `read`; `last_change` is the revision of the last
    /// change in it, 0 for none.
    pub fn note(&mut self, read: u64, last_change: u64) {
        self.read_revision = self.read_revision.max(read);
        self.last_change = self.last_change.max(last_change);
    }

    /// Records a complete listing.
    pub fn note_listing(&mut self, read: u64, last_change: u64) {
        self.note(read, last_change);
        self.last_listing = self.last_listing.max(read);
    }
}
