//! Changes of endpoints that come in several datagrams.

use nutmeggrade_core::peer::{EndpointNews, FleetNews};
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::news_parts::NewsParts;

fn news(since: u64, revision: u64, count: usize) -> FleetNews {
    let id = |n| EndpointId::new(&format!("e-{n}")).expect("an id");
    let changes = (0..count).map(|n| EndpointNews { id: id(n), info: None }).collect();
    FleetNews { since, revision, lapses: false, changes, part: 0, parts: 1 }
}

// A hundred endpoints leave together. Their peers have read as far as the sender only with the last of
// the datagrams, in whatever order they come, and not if one is lost or comes twice.
#[test]
fn news_are_whole_with_the_last_part() {
    let parts = news(5, 9, 100).split(16);
    assert_eq!(parts.iter().map(|p| p.changes.len()).sum::<usize>(), 100);
    let mut state = NewsParts::new();
    let (lost, rest) = parts.split_first().expect("several parts");
    for part in rest.iter().rev().chain(rest) {
        assert!(!state.take(part));
    }
    assert!(state.take(lost));
}

#[test]
fn one_part_is_whole() {
    let parts = news(5, 9, 3).split(16);
    assert_eq!(parts.len(), 1);
    assert!(NewsParts::new().take(&parts[0]));
}

// Parts of other news come in between. Nothing is whole that lacks a part of its own.
#[test]
fn parts_of_different_news_are_not_mixed() {
    let (old, new) = (news(5, 9, 32).split(16), news(9, 12, 32).split(16));
    let mut state = NewsParts::new();
    assert!(!state.take(&old[0]));
    assert!(!state.take(&new[1]));
    assert!(!state.take(&old[1]));
    assert!(!state.take(&new[0]));
    assert!(state.take(&new[1]));
}
