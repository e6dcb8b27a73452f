//! Set of endpoints that crashed.

/// Set of endpoints that crashed, by their number among all of them.
#[derive(Debug, Clone, Default)]
pub struct EndingSet {
    words: Vec<u64>,
}

impl EndingSet {
    /// Adds an endpoint.
    pub fn insert(&mut self, number: usize) {
        let word = number / 64;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= 1 << (number % 64);
    }

    /// Adds all endpoints of another set.
    pub fn extend(&mut self, other: &Self) {
        if self.words.len() < other.words.len() {
            self.words.resize(other.words.len(), 0);
        }
        for (word, other) in self.words.iter_mut().zip(&other.words) {
            *word |= other;
        }
    }

    /// Returns whether the set contains an endpoint.
    pub fn contains(&self, number: usize) -> bool {
        self.words.get(number / 64).is_some_and(|word| word & (1 << (number % 64)) != 0)
    }

    /// Returns whether the set contains all endpoints of another one.
    pub fn contains_all(&self, other: &Self) -> bool {
        let word = |n: usize| self.words.get(n).copied().unwrap_or(0);
        other.words.iter().enumerate().all(|(n, other)| other & !word(n) == 0)
    }
}
