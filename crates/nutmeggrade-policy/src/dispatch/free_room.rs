//! Free memory of a service's engines.

/// Free memory at each engine of a service, summed by how much is free there.
///
/// What is free in total is mostly scattered over engines that can't take a whole request. A
/// forecast that counted these remainders would find room where there is none.
#[derive(Debug, Clone, Default)]
pub struct FreeRoom {
    /// Free memory of each engine in descending order, each with the sum up to it.
    sums: Vec<(f64, f64)>,
    scale: f64,
}

impl FreeRoom {
    /// Creates a summary of the free memory of some of `count` engines, which stand for all.
    pub fn new(free: impl Iterator<Item = f64>, count: usize) -> Self {
        let mut free: Vec<f64> = free.collect();
        free.sort_unstable_by(|a, b| b.total_cmp(a));
        let scale = count as f64 / free.len().max(1) as f64;
        let sums = free.into_iter().scan(0.0, |sum, free| {
            *sum += free;
            Some((free, *sum))
        });
        Self { sums: sums.collect(), scale }
    }

    /// Returns the free memory at engines that have at least `size` free.
    pub fn usable(&self, size: u64) -> f64 {
        let count = self.sums.partition_point(|(free, _)| *free >= size as f64);
        let last = count.checked_sub(1).and_then(|last| self.sums.get(last));
        last.map_or(0.0, |(_, sum)| sum * self.scale)
    }
}
