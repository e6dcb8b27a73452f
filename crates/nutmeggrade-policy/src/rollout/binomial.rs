//! Binomial tail probabilities.

/// Returns the probability of at least `hits` hits among `trials` trials that each hit with
/// `hit_probability`.
pub fn tail(hits: u32, trials: u32, hit_probability: f64) -> f64 {
    if hits == 0 {
        return 1.0;
    }
    if hits > trials || hit_probability <= 0.0 {
        return 0.0;
    }
    if hit_probability >= 1.0 {
        return 1.0;
    }
    let (log_hit, log_miss) = (hit_probability.ln(), (1.0 - hit_probability).ln());
    // Sums the smaller tail, which is accurate enough and needs fewer terms.
    let is_upper = f64::from(hits) > f64::from(trials) * hit_probability;
    let terms = if is_upper { hits..=trials } else { 0..=hits - 1 };
    let mut log_choose = log_choose(trials, *terms.start());
    let mut sum = 0.0;
    for k in terms {
        sum += (log_choose + f64::from(k) * log_hit + f64::from(trials - k) * log_miss).exp();
        if k < trials {
            log_choose += f64::from(trials - k).ln() - f64::from(k + 1).ln();
        }
    }
    if is_upper { sum.min(1.0) } else { (1.0 - sum).max(0.0) }
}

/// Returns the logarithm of the binomial coefficient `n` over `k`.
fn log_choose(n: u32, k: u32) -> f64 {
    (0..k.min(n - k)).map(|i| f64::from(n - i).ln() - f64::from(i + 1).ln()).sum()
}
