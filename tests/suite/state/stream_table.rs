//! The table of the versions at which streams began.

use std::time::Duration;

use nutmeggrade_core::peer::{StreamKey, StreamVersion};
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::stream_table::StreamTable;

const NOW: Moment = Moment::from_millis(1_000);

fn key(workspace: &str, number: u32) -> StreamKey {
    let workspace = WorkspaceId::new(workspace).expect("an id");
    StreamKey::new(Some(&workspace), &RequestId::new(&format!("a{number}")).expect("an id"))
}

fn began(stream: StreamKey, version: &str) -> StreamVersion {
    StreamVersion { stream, version: VersionId::new(version).expect("an id") }
}

fn name(table: &StreamTable, stream: StreamKey) -> Option<&str> {
    table.version(stream).map(VersionId::as_str)
}

// Guards against streams that are taken up by another workspace, or whose version changes as they are
// noted again.
#[test]
fn stream_belongs_to_its_workspace_and_first_version() {
    let mut table = StreamTable::new();
    table.note(&began(key("acme", 1), "v1"), NOW);
    table.note(&began(key("acme", 1), "v2"), NOW);
    assert_eq!(name(&table, key("acme", 1)), Some("v1"));
    assert_eq!(name(&table, key("other", 1)), None);
    assert_ne!(key("acme", 1), key("acm", 1));
}

// Guards against streams that are forgotten while their clients may take them up, and against a table
// that grows without end.
#[test]
fn streams_are_kept_for_minutes_within_bounds() {
    let mut table = StreamTable::new();
    for second in 0..600 {
        let now = NOW.after(Duration::from_secs(second));
        for number in 0..100 {
            let number = u32::try_from(second).expect("a number") * 100 + number;
            table.note(&began(key("acme", number), "v1"), now);
        }
        if let Some(oldest) = second.checked_sub(60) {
            let number = u32::try_from(oldest).expect("a number") * 100;
            assert_eq!(name(&table, key("acme", number)), Some("v1"), "{second}");
        }
        assert!(table.len() <= 16_384);
    }
    assert_eq!(name(&table, key("acme", 0)), None);
}
