//! How far one kind of object is read.

/// How far one kind of object is read in a store whose revision counts the changes of all kinds.
///
/// A watch that brings nothing advances the revision of its reader alone. What is told to others therefore
/// begins at the last change; they would take it for incomplete if it began at the last answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadRange {
    listed: u64,
    news: u64,
    read: u64,
}

impl ReadRange {
    /// Returns the revision up to which everything is read.
    pub const fn read(&self) -> u64 {
        self.read
    }

    /// Returns the revision of the last answer that held news.
    pub const fn news(&self) -> u64 {
        self.news
    }

    /// Returns the revision from which on others lack nothing but the next news. A listing does not show
    /// what was removed before it, so it is not before the last one.
    pub fn since(&self) -> u64 {
        self.news.max(self.listed)
    }

    /// Notes an answer that leads up to `read`; `news` is the revision of what was new in it, 0 if
    /// nothing was.
    pub fn note(&mut self, read: u64, news: u64) {
        self.read = self.read.max(read);
        self.news = self.news.max(news);
    }

    /// Notes a whole listing.
    pub fn note_listing(&mut self, read: u64, news: u64) {
        self.note(read, news);
        self.listed = self.listed.max(read);
    }
}
