//! Packed texts of configurations.

use nutmeggrade_core::peer::{PackedText, TextHash};
use nutmeggrade_fakes::site::RoutingPlan;
use nutmeggrade_state::packing::{UnpackError, pack, pack_change, unpack};

fn text(further_routes: usize) -> Vec<u8> {
    let plan = RoutingPlan { further_routes, ..RoutingPlan::default() };
    plan.content().to_string().into_bytes()
}

/// Checks that a change is small beside the text that it restores.
fn restores(old_routes: usize, new_routes: usize, max_bytes: usize) {
    let (old, new) = (text(old_routes), text(new_routes));
    let packed = pack_change(&old, &new).expect("pack");
    assert!(packed.bytes.len() <= max_bytes, "{} bytes of {}", packed.bytes.len(), new.len());
    assert_eq!(unpack(&packed, &old).expect("unpack"), new);
    assert_eq!(unpack(&pack(&new).expect("pack"), &[]).expect("unpack"), new);
}

// Guards against changes that cost as much as the text.
cases! {restores {
    unchanged: 1_400, 1_400, 500;
    route_less: 1_400, 1_399, 1_000;
    route_more: 4_200, 4_201, 2_000;
    first_of_many: 0, 10, 4_000;
}}

// Guards against a configuration that is put together from a change and another text than it was made
// for, or from damaged bytes.
#[test]
fn nothing_else_is_restored() {
    let (old, new) = (text(100), text(101));
    let packed = pack_change(&old, &new).expect("pack");
    assert!(matches!(unpack(&packed, &new), Err(UnpackError::OtherBase)));
    let forged = PackedText { base: Some(TextHash::of(&new)), ..packed.clone() };
    assert!(matches!(unpack(&forged, &new), Err(UnpackError::Damaged(_) | UnpackError::OtherText)));
    for length in 0..packed.bytes.len() {
        let bytes = packed.bytes[..length].to_vec();
        assert!(unpack(&PackedText { bytes, ..packed.clone() }, &old).is_err(), "{length}");
    }
    for position in 0..packed.bytes.len() {
        let mut bytes = packed.bytes.clone();
        bytes[position] ^= 0x10;
        let restored = unpack(&PackedText { bytes, ..packed.clone() }, &old);
        assert!(restored.is_err() || restored.is_ok_and(|text| text == new), "{position}");
    }
    let other = PackedText { hash: TextHash::of(&old), ..packed };
    assert!(matches!(unpack(&other, &old), Err(UnpackError::OtherText)));
}

// Guards against a hash that isn't understood by the peer that it is sent to.
#[test]
fn hash_is_read_as_written() {
    let hash = TextHash::of(b"text");
    assert_eq!(hash.to_string().parse(), Ok(hash));
    for text in ["", "-", "0123", &"g".repeat(32), &"0".repeat(33), "\u{e9}\u{e9}"] {
        assert!(text.parse::<TextHash>().is_err(), "{text}");
    }
}
