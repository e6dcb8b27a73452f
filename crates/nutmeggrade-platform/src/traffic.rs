//! Bytes of HTTP between a process and the platform.

use http::HeaderMap;

/// Bytes of HTTP heads and bodies; what TCP adds is not in it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// To the platform.
    pub sent: u64,
    /// From the platform.
    pub received: u64,
}

/// Bytes of a request line or status line beside its path.
const LINE: usize = 17;
/// Bytes around a header's name and value.
const AROUND: usize = 4;

/// Returns the size of a head on the wire, its empty line included.
pub fn head_size(path: &str, headers: &HeaderMap) -> usize {
    let fields: usize = headers.iter().map(|(n, v)| n.as_str().len() + v.len() + AROUND).sum();
    LINE + path.len() + fields
}
