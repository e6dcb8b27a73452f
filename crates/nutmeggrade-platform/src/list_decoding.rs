//! Decodes the elements of lists one by one.

use anyhow::Context;
use nutmeggrade_core::endpoint::Endpoint;
use nutmeggrade_core::object::{Changes, Object};
use serde_json::Value;

use crate::json_scanner::{JsonScanner, Malformed, json_member};

/// Decodes the list of endpoints; returns them and how many entries can't be decoded.
///
/// # Errors
///
/// Fails if the text is no complete array.
pub fn decode_endpoints(text: &[u8]) -> anyhow::Result<(Vec<Endpoint>, usize)> {
    let (mut endpoints, mut unreadable) = (Vec::new(), 0);
    for_each_element(text, |element| {
        match serde_json::from_slice(element) {
            Ok(endpoint) => endpoints.push(endpoint),
            Err(_) => unreadable += 1,
        }
        Ok(())
    })?;
    Ok((endpoints, unreadable))
}

/// Decodes objects of the store. A value that can't be decoded becomes null, which is no value of
/// any object.
///
/// # Errors
///
/// Fails if the text lacks the revision or the objects. Fails also if an object has no key or
/// version, as the next page follows the last key, and a short page is the last one.
pub fn decode_changes(text: &[u8]) -> anyhow::Result<Changes> {
    let revision = json_member(text, "revision").context("no revision")?;
    let revision = serde_json::from_slice(revision).context("revision")?;
    let mut objects = Vec::new();
    for_each_element(json_member(text, "objects").context("no objects")?, |element| {
        objects.push(decode_object(element)?);
        Ok(())
    })?;
    Ok(Changes { revision, objects })
}

fn decode_object(text: &[u8]) -> anyhow::Result<Object> {
    if let Ok(object) = serde_json::from_slice(text) {
        return Ok(object);
    }
    let key = json_member(text, "key").context("an object has no key")?;
    let version = json_member(text, "version").context("an object has no version")?;
    Ok(Object {
        key: serde_json::from_slice(key).context("key")?,
        version: serde_json::from_slice(version).context("version")?,
        value: Some(Value::Null),
    })
}

fn for_each_element(
    array: &[u8],
    mut decode: impl FnMut(&[u8]) -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    let malformed = |Malformed| anyhow::anyhow!("the list is malformed");
    let mut scanner = JsonScanner::new(array);
    anyhow::ensure!(scanner.take(b'['), "no list");
    let mut is_first = true;
    while scanner.begin_next(b']', &mut is_first).map_err(malformed)? {
        decode(scanner.value().map_err(malformed)?)?;
    }
    anyhow::ensure!(scanner.peek().is_none(), "text follows the list");
    Ok(())
}
