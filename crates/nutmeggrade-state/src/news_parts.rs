//! News that came in several datagrams.

use std::collections::BTreeSet;

use nutmeggrade_core::peer::FleetNews;

/// Which parts of the latest news have come.
///
/// A hundred endpoints that join or leave together don't fit into one datagram. Their changes may be taken
/// over one part at a time, each says what an endpoint is now; but only with the last part an instance has
/// read as far as its peer. Whoever misses one asks the store.
#[derive(Debug, Default)]
pub struct NewsParts {
    since: u64,
    revision: u64,
    parts: usize,
    come: BTreeSet<usize>,
}

impl NewsParts {
    /// Knows of no news yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a part; says whether all parts of its news have come.
    pub fn take(&mut self, news: &FleetNews) -> bool {
        if (self.since, self.revision, self.parts) != (news.since, news.revision, news.parts) {
            *self = Self {
                since: news.since,
                revision: news.revision,
                parts: news.parts,
                come: BTreeSet::new(),
            };
        }
        if news.part < news.parts {
            self.come.insert(news.part);
        }
        self.come.len() == self.parts
    }
}
