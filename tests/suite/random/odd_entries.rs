//! Responses of the store in which other programs' objects stand among sound ones.

use std::collections::BTreeMap;

use nutmeggrade_wire::store::{Listing, Snapshot, StoredObject};
use proptest::collection::vec;
use proptest::prelude::*;
use serde_json::{Value, json};

use super::play;

/// Most levels of nesting; 128 are decoded.
const MAX_LEVELS: usize = 2_000;

/// An element of a listing or a watch.
#[derive(Debug, Clone)]
enum Element {
    /// An endpoint's entry with this name.
    Sound(String),
    /// An object with a sound name in which another part is odd.
    Named(Odd),
    /// An object of which no name can be decoded.
    Unnamed(Vec<u8>),
}

/// What is odd in an object that has a name.
#[derive(Debug, Clone)]
enum Odd {
    Revision(Vec<u8>),
    Created(Vec<u8>),
    Specification(Vec<u8>),
    /// A field of the specification, which also holds a sound endpoint.
    Field(Vec<u8>),
    /// A further member of the object or its metadata, which is passed over.
    Ignored(Vec<u8>),
}

/// A value that can't be decoded.
fn undecodable() -> impl Strategy<Value = Vec<u8>> {
    let nested =
        (128..MAX_LEVELS).prop_map(|levels| [b"[".repeat(levels), b"]".repeat(levels)].concat());
    let objects = (128..MAX_LEVELS).prop_map(|levels| {
        [b"{\"a\":".repeat(levels), b"1".to_vec(), b"}".repeat(levels)].concat()
    });
    let texts = prop::sample::select(vec![
        &b"1e999"[..],
        b"-1e999",
        b"NaN",
        b"Infinity",
        b"01",
        b"1.",
        b"tru",
        b"'text'",
        b"\"\xff\"",
        b"\"\xc3\"",
        b"\"\xed\xa0\x80\"",
        br#""\ud800""#,
        br#""\udc00\ud800""#,
        br#""\x41""#,
        br#""\u12g4""#,
        b"\"\x00\"",
        b"\"line\nbreak\"",
        b"[1,]",
        b"{\"a\"}",
        b"[1}",
        b"[\"]\",}",
        br#"{"a":"\"}",1}"#,
    ]);
    let digits = (400_usize..2_000).prop_map(|n| b"9".repeat(n));
    let bytes =
        vec(0x80_u8.., 1..20).prop_map(|bytes| [b"\"\xc0", bytes.as_slice(), b"\""].concat());
    prop_oneof![1 => nested, 1 => objects, 6 => texts.prop_map(<[u8]>::to_vec), 1 => digits, 2 => bytes]
}

/// A value that is no unsigned number.
fn no_number() -> impl Strategy<Value = Vec<u8>> {
    let texts: Vec<&[u8]> = vec![b"-1", b"1.5", b"null", b"true", b"[]", b"{}", b"\"1\""];
    let of_another_type = prop::sample::select(texts).prop_map(<[u8]>::to_vec);
    prop_oneof![of_another_type, undecodable()]
}

/// An object without a name that can be decoded.
fn unnamed() -> impl Strategy<Value = Element> {
    let texts: Vec<&[u8]> = vec![
        b"7",
        b"null",
        b"[]",
        b"{}",
        b"\"text\"",
        br#"{"metadata":{}}"#,
        br#"{"metadata":null}"#,
        br#"{"metadata":[]}"#,
        br#"{"metadata":{"name":7}}"#,
        br#"{"metadata":{"name":null,"revision":3}}"#,
        br#"{"specification":{"service":"desk"},"status":null}"#,
    ];
    let name = |value: Vec<u8>| [b"{\"metadata\":{\"name\":", value.as_slice(), b"}}"].concat();
    let whole = prop::sample::select(texts).prop_map(<[u8]>::to_vec);
    prop_oneof![whole, undecodable(), undecodable().prop_map(name)].prop_map(Element::Unnamed)
}

fn element() -> impl Strategy<Value = Element> {
    let odd = prop_oneof![
        no_number().prop_map(Odd::Revision),
        no_number().prop_map(Odd::Created),
        undecodable().prop_map(Odd::Specification),
        undecodable().prop_map(Odd::Field),
        undecodable().prop_map(Odd::Ignored),
    ];
    let name = "[a-z\u{e9}\u{4e2d}\u{1f600} /%\"\\\\&#?]{1,8}";
    prop_oneof![
        4 => name.prop_map(Element::Sound),
        2 => odd.prop_map(Element::Named),
        2 => unnamed(),
    ]
}

fn specification(number: usize) -> Value {
    json!({ "service": "desk", "address": format!("127.0.0.1:{number}"), "text": "]},{\"[" })
}

/// Returns an element's text, and the object that is to be decoded from it.
fn write(element: &Element, number: usize) -> (Vec<u8>, Option<StoredObject>) {
    let revision = number as u64 + 1;
    let object = |name: &str, content: Value, revision, created| StoredObject {
        name: name.to_owned(),
        content,
        status: Value::Null,
        is_gone: false,
        revision,
        created,
    };
    let name = format!("odd-{number}");
    let parts = |revision: &[u8], created: &[u8], specification: &[u8], further: &[u8]| {
        let name = Value::from(name.as_str()).to_string();
        [
            b"{\"note\":",
            further,
            b" , \"metadata\" : {\"name\":",
            name.as_bytes(),
            b",\"revision\":",
            revision,
            b",\"note\":",
            further,
            b",\"created\":",
            created,
            b"},\"specification\":",
            specification,
            b"}",
        ]
        .concat()
    };
    let sound = specification(number).to_string().into_bytes();
    let odd = |content, revision, created| Some(object(&name, content, revision, created));
    match element {
        Element::Sound(text) => {
            let metadata = json!({ "name": text, "revision": revision, "created": 1 });
            let whole = json!({ "metadata": metadata, "specification": specification(number),
                "status": null });
            let object = object(text, specification(number), revision, 1);
            (whole.to_string().into_bytes(), Some(object))
        }
        Element::Named(Odd::Revision(value)) => {
            (parts(value, b"1", &sound, b"1"), odd(Value::Null, 0, 1))
        }
        Element::Named(Odd::Created(value)) => {
            (parts(b"1", value, &sound, b"1"), odd(Value::Null, 1, 0))
        }
        Element::Named(Odd::Specification(value)) => {
            (parts(b"1", b"1", value, b"1"), odd(Value::Null, 1, 1))
        }
        Element::Named(Odd::Field(value)) => {
            let before = &sound[..sound.len() - 1];
            let specification = [before, b",\"note\":", value, b"}"].concat();
            (parts(b"1", b"1", &specification, b"1"), odd(Value::Null, 1, 1))
        }
        Element::Named(Odd::Ignored(value)) => {
            (parts(b"1", b"1", &sound, value), odd(specification(number), 1, 1))
        }
        Element::Unnamed(text) => (text.clone(), None),
    }
}

fn compare(found: &Snapshot, expected: &[StoredObject], odd: usize) -> Result<(), String> {
    if found.objects != expected {
        return Err(format!("found {:?}, expected {expected:?}", found.objects));
    }
    let reported = found.unreadable.len();
    if reported == odd { Ok(()) } else { Err(format!("{reported} of {odd} reported")) }
}

fn decodes_all_that_is_sound(elements: &[Element]) -> Result<(), String> {
    // A few elements at a time, as many as a response may hold, at every place of it.
    for elements in elements.chunks(8) {
        let written: Vec<_> = elements.iter().enumerate().map(|(n, e)| write(e, n)).collect();
        let expected: Vec<StoredObject> =
            written.iter().filter_map(|(_, object)| object.clone()).collect();
        let is_odd =
            |e: &&Element| !matches!(e, Element::Sound(_) | Element::Named(Odd::Ignored(_)));
        let odd = elements.iter().filter(is_odd).count();
        let texts: Vec<&[u8]> = written.iter().map(|(text, _)| text.as_slice()).collect();
        let page = |name: &str, texts: &[Vec<u8>]| {
            let before = format!("{{\"note\":[{{\"{name}\":[7]}}], \"{name}\" : [ ");
            [before.as_bytes(), &texts.join(&b" ,\n"[..]), b" ],\"has_more\":true,\"at\":1000}"]
                .concat()
        };
        let entries: Vec<Vec<u8>> = texts.iter().map(|text| text.to_vec()).collect();
        let listing = Listing::decode(&page("entries", &entries)).map_err(|e| format!("{e:#}"))?;
        if !listing.has_more || listing.snapshot.revision != 1_000 {
            return Err(format!("has_more {}", listing.has_more));
        }
        compare(&listing.snapshot, &expected, odd)?;
        let events: Vec<Vec<u8>> = texts
            .iter()
            .map(|text| [b"{\"deleted\":false,\"resource_object\":", *text, b"}"].concat())
            .collect();
        let changes = Snapshot::decode_events(&page("events", &events));
        compare(&changes.map_err(|e| format!("{e:#}"))?, &expected, odd)?;
    }
    Ok(())
}

// Guards against a listing or a watch that fails, lacks a sound object or has one too many because of
// other programs' objects, whatever is odd in them and wherever they stand.
#[test]
fn sound_objects_are_decoded_beside_odd_ones() {
    play("odd_entries", element(), decodes_all_that_is_sound);
}

/// Returns the object of an event of its deletion.
fn deleted_object(specification: &[u8]) -> StoredObject {
    let event = [
        b"{\"at\":9,\"events\":[{\"resource_object\":{\"specification\":",
        specification,
        b",\"metadata\":{\"name\":\"e-1\",\"revision\":8,\"created\":2}},\"deleted\":true}]}",
    ]
    .concat();
    let snapshot = Snapshot::decode_events(&event).expect("events");
    snapshot.objects.into_iter().next().expect("an object")
}

// Guards against a deletion that is lost because the object's last content can't be decoded.
#[test]
fn deletion_of_an_odd_object_counts() {
    for specification in [&b"1e999"[..], b"\"\xff\"", b"null", b"{\"service\":\"desk\"}"] {
        let object = deleted_object(specification);
        assert_eq!((object.name.as_str(), object.is_gone), ("e-1", true));
    }
}

// Guards against peers that believe there are changes up to a revision which the store never reaches.
#[test]
fn revision_beyond_the_stores_is_no_change() {
    let entry = |revision: u64| json!({ "metadata": { "name": "e", "revision": revision } });
    let page = json!({ "entries": [entry(7), entry(u64::MAX), entry(5)], "at": 12 });
    let listing = Listing::decode(page.to_string().as_bytes()).expect("a listing");
    assert_eq!(listing.snapshot.last_change, 7);
}

// Guards against a page that is taken for complete although its end is missing.
#[test]
fn page_that_is_cut_off_is_refused() {
    let page = json!({ "entries": [{ "metadata": { "name": "e" } }], "has_more": false, "at": 12 });
    let text = page.to_string();
    let outcomes: BTreeMap<bool, usize> =
        (0..text.len()).fold(BTreeMap::new(), |mut counts, end| {
            *counts.entry(Listing::decode(&text.as_bytes()[..end]).is_ok()).or_default() += 1;
            counts
        });
    assert_eq!(outcomes, BTreeMap::from([(false, text.len())]));
}
