//! Parts of a list, one after the other.

/// Returns up to `limit` next items of a list in rotation and advances `position`.
pub fn next_in_rotation<T: Clone>(all: &[T], limit: usize, position: &mut usize) -> Vec<T> {
    let count = all.len().min(limit);
    let start = *position;
    *position = start.wrapping_add(count);
    (0..count).map(|i| all[(start + i) % all.len()].clone()).collect()
}
