//! Entries of the store that can't be used.

use serde_json::{Value, json};

/// An address at which nothing listens.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";

/// How an entry differs from one that can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OddEntry {
    /// A further field is nested this deep.
    Nested(usize),
    /// A number is too large for any type.
    HugeNumber,
    /// The port of the address is out of range.
    HugePort,
    /// A text contains a byte that is no UTF-8.
    NoText,
    /// A field has no usable value.
    Field(OddField, OddValue),
}

/// A field of an entry that needs a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OddField {
    /// Name of the service.
    Service,
    /// Address of the endpoint.
    Address,
    /// Number of slots.
    Slots,
}

/// What stands in the place of a field's value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OddValue {
    /// The field is missing.
    Missing,
    /// Null.
    Null,
    /// A list.
    List,
}

impl OddEntry {
    /// Returns the bytes of the entry.
    pub fn content(self) -> Vec<u8> {
        let mut entry = json!({ "service": "writers", "address": UNUSED_ADDRESS, "zone": "gooi",
            "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
            "born": 1 });
        match self {
            Self::Nested(levels) => {
                let nested = format!("{}{}", "[".repeat(levels), "]".repeat(levels));
                return with_note(&entry, nested.as_bytes());
            }
            Self::HugeNumber => return with_note(&entry, b"1e999"),
            Self::NoText => return with_note(&entry, b"\"\xff\""),
            Self::HugePort => entry["address"] = json!("127.0.0.1:70000"),
            Self::Field(field, value) => {
                let name = match field {
                    OddField::Service => "service",
                    OddField::Address => "address",
                    OddField::Slots => "slots",
                };
                match value {
                    OddValue::Missing => drop(entry.as_object_mut().and_then(|e| e.remove(name))),
                    OddValue::Null => entry[name] = Value::Null,
                    OddValue::List => entry[name] = json!([[]]),
                }
            }
        }
        entry.to_string().into_bytes()
    }
}

/// Adds a field with this value, which needn't be valid.
fn with_note(entry: &Value, value: &[u8]) -> Vec<u8> {
    let text = entry.to_string();
    let rest = text.strip_prefix('{').unwrap_or_default();
    [b"{\"note\":".as_slice(), value, b",", rest.as_bytes()].concat()
}
