//! Rejects request heads with ambiguous framing, to prevent request smuggling.

use http::{HeaderMap, Version, header};
use nutmeggrade_core::prelude::*;

const TRANSFER_ENCODING: &[u8] = b"transfer-encoding";
const CONTENT_LENGTH: &[u8] = b"content-length";

/// Rejects heads that an intermediary may have framed differently. `head_bytes` holds the bytes of
/// the head as received.
///
/// # Errors
///
/// Fails if the version is not HTTP/1.1, if the `Host` header is missing or repeated, or if there
/// is a `Transfer-Encoding` other than a single `chunked` without `Content-Length`.
pub fn check(headers: &HeaderMap, version: Version, head_bytes: &[u8]) -> Result<(), Failure> {
    let reject = |detail| Err(Failure::new(Code::BadFraming, detail));
    if version != Version::HTTP_11 {
        return reject("not HTTP/1.1");
    }
    if headers.get_all(header::HOST).iter().count() != 1 {
        return reject("not one host");
    }
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(()) };
    if codings.next().is_some() || !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
        return reject("a body that is not plainly chunked");
    }
    match find_head(head_bytes) {
        Some(head)
            if count_header(head, TRANSFER_ENCODING) == 1
                && count_header(head, CONTENT_LENGTH) == 0 =>
        {
            Ok(())
        }
        Some(_) => reject("a body with a length that is also chunked"),
        // The head arrived while the previous response was being sent, so it was not recorded.
        None => reject("a chunked body right behind another request"),
    }
}

fn find_head(bytes: &[u8]) -> Option<&[u8]> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    Some(&bytes[..end])
}

fn count_header(head: &[u8], name: &[u8]) -> usize {
    let has_name =
        |line: &&[u8]| line.get(..name.len()).is_some_and(|start| start.eq_ignore_ascii_case(name));
    head.split(|b| *b == b'\n').filter(has_name).count()
}
