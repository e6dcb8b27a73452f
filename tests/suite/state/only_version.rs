//! Whether a service has had one version only.

use std::collections::BTreeSet;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::version_record::{StoredVersions, VersionRecord, VersionState};
use nutmeggrade_state::only_version::OnlyVersion;

fn version(name: &str) -> VersionId {
    VersionId::new(name).expect("an id")
}

fn only(name: &str) -> OnlyVersion {
    OnlyVersion::Only(Some(version(name)))
}

/// What the store holds.
enum Recorded {
    Nothing,
    Unreadable,
    Incomplete(&'static [&'static str]),
    Versions(&'static [&'static str]),
}

use Recorded::{Incomplete, Nothing, Unreadable, Versions};

impl Recorded {
    fn stored(self) -> Option<StoredVersions> {
        let (names, is_incomplete) = match self {
            Nothing => return None,
            Unreadable => (None, false),
            Incomplete(names) => (Some(names), true),
            Versions(names) => (Some(names), false),
        };
        let state = |name: &&str| (version(name), VersionState::Retiring);
        let versions = |names: &[&str]| names.iter().map(state).collect();
        let record = names.map(|n| VersionRecord { versions: versions(n), is_incomplete });
        let service = ServiceId::new("writers").expect("an id");
        Some(StoredVersions { service, revision: 7, record })
    }
}

/// Checks what follows from a record and from the versions that are seen.
fn follows(recorded: Recorded, seen: &'static [&'static str], expected: &OnlyVersion) {
    let seen: Vec<VersionId> = seen.iter().map(|name| version(name)).collect();
    let seen: BTreeSet<&VersionId> = seen.iter().collect();
    assert_eq!(OnlyVersion::new(recorded.stored().as_ref(), &seen), *expected);
}

// Guards against versions that are taken for the only ones because nothing is known of others.
cases! {follows {
    from_one_recorded_version: Versions(&["v1"]), &["v1"], &only("v1");
    from_a_recorded_version_not_seen: Versions(&["v1"]), &[], &only("v1");
    from_an_empty_record: Versions(&[]), &["v1"], &only("v1");
    from_two_recorded_versions: Versions(&["v1", "v2"]), &["v2"], &OnlyVersion::Several;
    from_another_version_seen: Versions(&["v1"]), &["v2"], &OnlyVersion::Several;
    from_two_versions_seen: Versions(&[]), &["v1", "v2"], &OnlyVersion::Several;
    from_an_incomplete_record: Incomplete(&["v1"]), &["v1"], &OnlyVersion::Unknown;
    from_an_unreadable_record: Unreadable, &["v1"], &OnlyVersion::Unknown;
    from_no_record_of_a_version: Nothing, &["v1"], &OnlyVersion::Unknown;
    from_no_version_at_all: Nothing, &[], &OnlyVersion::Only(None);
}}
