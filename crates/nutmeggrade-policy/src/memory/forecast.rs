//! Forecast of the memory that responses will hold, as mean and variance at several distances.

use std::ops::{AddAssign, SubAssign};

/// Distances ahead, in decoding steps of the engine; each is about twice the previous one, as are
/// the length ranges.
pub const FORECAST_STEPS: [u64; 10] = [0, 64, 192, 448, 960, 1_984, 4_032, 8_128, 16_320, 24_512];

/// Mean and variance of the memory held at each distance ahead, if nothing new is admitted.
///
/// Neither the memory held at present nor that at full length of all responses shows whether one
/// more response fits, since most responses end before others have grown. The sums of means and
/// variances over all responses on an engine give its probable peak; the more responses share an
/// engine, the smaller the reserve for each. Without this forecast, engines run out of memory in
/// the middle of responses.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Forecast {
    /// Expected tokens held.
    pub mean: [f64; FORECAST_STEPS.len()],
    /// Variance of the tokens held.
    pub variance: [f64; FORECAST_STEPS.len()],
}

impl Forecast {
    /// Creates the forecast of a response that holds `held` tokens and reaches each distance with
    /// the given probability.
    pub fn new(held: u64, survival: &[f64; FORECAST_STEPS.len()]) -> Self {
        let mut forecast = Self::default();
        for (i, probability) in survival.iter().enumerate() {
            let memory = (held + FORECAST_STEPS[i]) as f64;
            forecast.mean[i] = probability * memory;
            forecast.variance[i] = probability * (1.0 - probability) * memory * memory;
        }
        forecast
    }

    /// Returns the highest sum of the mean and `reserve` standard deviations over all distances.
    pub fn peak(&self, reserve: f64) -> f64 {
        let pairs = self.mean.iter().zip(&self.variance);
        pairs.map(|(m, v)| m + reserve * v.max(0.0).sqrt()).fold(0.0, f64::max)
    }

    /// Returns the sum of this forecast and `factor` times another.
    #[must_use]
    pub fn with_scaled(mut self, other: &Self, factor: f64) -> Self {
        for i in 0..FORECAST_STEPS.len() {
            self.mean[i] += other.mean[i] * factor;
            self.variance[i] += other.variance[i] * factor;
        }
        self
    }
}

impl AddAssign<&Self> for Forecast {
    fn add_assign(&mut self, rhs: &Self) {
        *self = self.with_scaled(rhs, 1.0);
    }
}

impl SubAssign<&Self> for Forecast {
    fn sub_assign(&mut self, rhs: &Self) {
        *self = self.with_scaled(rhs, -1.0);
        // Rounding must not leave negative memory on an empty engine.
        for value in self.mean.iter_mut().chain(&mut self.variance) {
            *value = value.max(0.0);
        }
    }
}
