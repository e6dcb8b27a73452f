//! Whether a request's head says in one way only where the request ends.

use http::{HeaderMap, Version, header};
use nutmeggrade_core::prelude::*;

const TRANSFER_ENCODING: &[u8] = b"transfer-encoding";
const CONTENT_LENGTH: &[u8] = b"content-length";

/// Refuses heads that others on the way may have read differently.
///
/// # Errors
///
/// Fails if the host is missing or named twice, or if the head names a chunked body in any way but
/// the plain one. `record` holds the bytes that the head came in.
pub fn check(headers: &HeaderMap, version: Version, record: &[u8]) -> Result<(), Failure> {
    let bad = |why| Err(Failure::new(Code::BadFraming, why));
    if version != Version::HTTP_11 {
        return bad("not HTTP/1.1");
    }
    if headers.get_all(header::HOST).iter().count() != 1 {
        return bad("not one host");
    }
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(()) };
    if codings.next().is_some() || !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
        return bad("a body that is not plainly chunked");
    }
    match head_of(record) {
        Some(head) if names(head, TRANSFER_ENCODING) == 1 && names(head, CONTENT_LENGTH) == 0 => {
            Ok(())
        }
        Some(_) => bad("a body with a length that is also chunked"),
        // It came while the answer before it was on its way, so its bytes were not kept.
        None => bad("a chunked body right behind another request"),
    }
}

fn head_of(record: &[u8]) -> Option<&[u8]> {
    let end = record.windows(4).position(|w| w == b"\r\n\r\n")?;
    Some(&record[..end])
}

fn names(head: &[u8], name: &[u8]) -> usize {
    let is_named =
        |line: &&[u8]| line.get(..name.len()).is_some_and(|start| start.eq_ignore_ascii_case(name));
    head.split(|b| *b == b'\n').filter(is_named).count()
}
