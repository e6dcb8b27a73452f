//! Endpoints that fall silent though they are sound.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{SoakEndpoints, lock};
use crate::soak::action::Silenced;

impl SoakEndpoints {
    /// Lets endpoints fall silent for the given time.
    pub async fn silence(&self, silenced: Silenced, time: Duration) {
        let is_chosen = |slot: usize, service: &str| match silenced {
            Silenced::One(chosen) => slot == chosen,
            Silenced::Engines => service == "writers",
            Silenced::Services => service == "desk",
        };
        let chosen: Vec<usize> = {
            let slots = lock(&self.slots);
            let chosen = slots.iter().enumerate().filter(|(n, slot)| is_chosen(*n, slot.service));
            chosen.map(|(_, slot)| slot.incarnation).collect()
        };
        let now = Instant::now();
        let endpoints: Vec<_> = {
            let mut incarnations = lock(&self.incarnations);
            let silenced = chosen.iter().map(|n| {
                incarnations[*n].silences.push((now, now + time));
                incarnations[*n].endpoint.clone()
            });
            silenced.collect()
        };
        for endpoint in &endpoints {
            endpoint.set_silent(true);
        }
        sleep(time).await;
        for endpoint in &endpoints {
            endpoint.set_silent(false);
        }
    }
}
