//! Checks that each stream holds events of one software version.

use std::collections::BTreeSet;

use super::Checker;
use crate::soak::records::{Outcome, RequestRecord};

impl Checker<'_> {
    /// Checks that the events of each response come from one version, and those of streams that are
    /// taken up from the version that began them.
    pub(super) fn check_versions(&mut self) {
        let mut violations = Vec::new();
        for request in self.requests.values() {
            let versions = versions_of(request);
            let begun = request.take_up.as_ref().and_then(|t| self.requests.get(&t.first));
            let of_stream: BTreeSet<&str> = begun.map(versions_of).unwrap_or_default();
            if versions.len() < 2 && (versions.is_empty() || versions.union(&of_stream).count() < 2)
            {
                continue;
            }
            let ran_at: Vec<String> = self
                .received
                .get(&request.id)
                .into_iter()
                .flatten()
                .map(|(n, _)| &self.incarnations[*n])
                .map(|i| format!("{} {}", i.endpoint.id(), i.version))
                .collect();
            violations.push(format!(
                "ORDER: {} on /{}/ holds events of {versions:?}, the stream that it takes up, {:?}, \
                 of {of_stream:?}; it was sent to {ran_at:?}",
                request.id, request.route, request.take_up
            ));
        }
        self.violations.append(&mut violations);
    }
}

/// Returns the versions whose events a client got.
fn versions_of(request: &RequestRecord) -> BTreeSet<&str> {
    let Outcome::Response(response) = &request.outcome else { return BTreeSet::new() };
    let body = std::str::from_utf8(&response.message.body).unwrap_or_default();
    let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    data.filter_map(|data| data.split_once('/')).map(|(version, _)| version).collect()
}
