//! HTTP traffic between a process and the platform.

use http::HeaderMap;

/// Bytes of HTTP heads and bodies, without TCP overhead.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent to the platform.
    pub sent: u64,
    /// Bytes received from the platform.
    pub received: u64,
}

/// Size of a request line or status line without its path, in bytes.
const START_LINE_BYTES: usize = 17;
/// Size of the separators of a header field, in bytes.
const FIELD_OVERHEAD_BYTES: usize = 4;

/// Returns the size of a head on the wire in bytes, including its final empty line.
pub fn head_size(path: &str, headers: &HeaderMap) -> usize {
    let fields: usize =
        headers.iter().map(|(n, v)| n.as_str().len() + v.len() + FIELD_OVERHEAD_BYTES).sum();
    START_LINE_BYTES + path.len() + fields
}
