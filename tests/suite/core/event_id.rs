//! Event ids can't be forged or used by another workspace.

use nutmeggrade_core::event_id::EventId;
use nutmeggrade_core::prelude::*;
use rstest::rstest;

const KEY: [u8; 32] = [7; 32];

fn id() -> EventId {
    let engine = EndpointId::new("engine-1").expect("id");
    EventId::new(engine, GenerationId::new([3; 16]), 41)
}

fn workspace(name: &str) -> WorkspaceId {
    WorkspaceId::new(name).expect("id")
}

#[rstest]
fn comes_back_as_it_was() {
    let text = id().seal(&workspace("staatsbos"), &KEY);
    assert_eq!(EventId::open(&text, &workspace("staatsbos"), &KEY), Some(id()));
}

#[rstest]
fn last_comes_back_as_it_was() {
    let last = id().with_last(true);
    let text = last.seal(&workspace("staatsbos"), &KEY);
    assert_eq!(EventId::open(&text, &workspace("staatsbos"), &KEY), Some(last));
}

// Guards against a workspace that reads another one's response with a copied event id.
#[rstest]
fn of_another_workspace_is_refused() {
    let text = id().seal(&workspace("staatsbos"), &KEY);
    assert_eq!(EventId::open(&text, &workspace("rival"), &KEY), None);
}

fn refuses(text: &str) {
    assert_eq!(EventId::open(text, &workspace("staatsbos"), &KEY), None);
}

cases!(refuses {
    empty: "";
    no_tag: "41~03030303030303030303030303030303~engine-1";
    wrong_tag: "41~03030303030303030303030303030303~engine-1~00000000000000000000000000000000";
    other_offset: &id().seal(&workspace("staatsbos"), &KEY).replacen("41", "42", 1);
    made_last: &id().seal(&workspace("staatsbos"), &KEY).replacen("41", "41.", 1);
    other_generation: &id().seal(&workspace("staatsbos"), &KEY).replacen("0303", "0304", 1);
    other_endpoint: &id().seal(&workspace("staatsbos"), &KEY).replace("engine-1", "engine-2");
    long: &"1".repeat(1 << 20);
    other_key: &id().seal(&workspace("staatsbos"), &[8; 32]);
    not_text: "\u{0}\u{ffff}~~~";
});
