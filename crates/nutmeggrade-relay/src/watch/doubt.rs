//! Doubt whether the store answers.

use nutmeggrade_wire::kinds::Kind;

use crate::node::Node;
use crate::watch::follow::Track;

/// Shows that an answer of the store is overdue, until it is dropped.
#[derive(Debug)]
pub struct Doubt<'a>(&'a Track);

impl<'a> Doubt<'a> {
    /// Shows it, and has the engines asked.
    pub fn raise(node: &'a Node, kind: Kind) -> Self {
        let track = node.follow.track(kind);
        track.set_overdue(true);
        tracing::info!(event = "store_overdue", kind = kind.name());
        node.follow.doubt.notify_one();
        Self(track)
    }
}

impl Drop for Doubt<'_> {
    fn drop(&mut self) {
        self.0.set_overdue(false);
    }
}
