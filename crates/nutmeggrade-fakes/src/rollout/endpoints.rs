//! The endpoints of both versions.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

use super::plan::{Flaw, Plan};

/// Part of the answers that fail whatever the version.
const BASE_FAILURES: f64 = 0.03;
/// Routes, and the part of the requests that the second one brings.
pub const ROUTES: [&str; 2] = ["first", "second"];
pub const SECOND: f64 = 0.4;
/// Most events of a stream.
const MOST_EVENTS: u32 = 440;
/// Time after the order after which the new endpoints come.
const COMES: Duration = Duration::from_millis(800);

/// How one request goes on.
#[derive(Debug, Clone, Copy)]
pub struct Course {
    /// Time to the answer or to the first event.
    pub first: Duration,
    /// Time between two events of a stream.
    pub pace: Duration,
    /// Events of a stream; 0 of other answers.
    pub events: u32,
    /// Whether it fails at the end of `first`.
    pub fails: bool,
    /// Whether the version's flaw shows in it.
    pub is_flawed: bool,
}

/// The endpoints of both versions.
#[derive(Debug)]
pub struct Endpoints {
    /// Those of the old version, then those of the new one.
    pub all: Vec<EndpointInfo>,
    /// Requests that each works on.
    pub running: Vec<u32>,
    plan: Plan,
    first: LogNormal<f64>,
    pace: LogNormal<f64>,
    events: LogNormal<f64>,
}

impl Endpoints {
    /// Makes the endpoints of a plan.
    pub fn new(plan: &Plan, domains: &[DomainId], service: &ServiceId) -> anyhow::Result<Self> {
        let info = |number: usize| {
            let is_new = number >= plan.endpoints;
            let version = VersionId::new(if is_new { "v2" } else { "v1" })?;
            let port = u16::try_from(number).context("port")?;
            Ok(EndpointInfo {
                id: EndpointId::new(&format!("e-{number}"))?,
                service: service.clone(),
                address: SocketAddr::from(([127, 0, 0, 1], port)),
                domain: domains[number % domains.len()].clone(),
                slots: plan.slots,
                leaving: false,
                cold_left: Duration::ZERO,
                version: Some(version),
                born: 1,
            })
        };
        let all = (0..plan.endpoints * 2).map(info).collect::<anyhow::Result<Vec<_>>>()?;
        let median: f64 = if plan.is_stream { 350.0 } else { 60.0 };
        Ok(Self {
            running: vec![0; all.len()],
            all,
            plan: plan.clone(),
            first: LogNormal::new(median.ln(), 0.5)?,
            pace: LogNormal::new(33_f64.ln(), 0.2)?,
            events: LogNormal::new(150_f64.ln(), 0.8)?,
        })
    }

    /// Says whether an endpoint runs the new version.
    pub fn is_new(&self, number: usize) -> bool {
        number >= self.plan.endpoints
    }

    /// Returns the number of an endpoint.
    pub fn number(id: &EndpointId) -> Option<usize> {
        id.as_str().strip_prefix("e-")?.parse().ok()
    }

    /// Lists the endpoints that are registered at a time after the order.
    pub fn registered(&self, age: Duration) -> &[EndpointInfo] {
        if age >= COMES { &self.all } else { &self.all[..self.plan.endpoints] }
    }

    /// Draws how a request goes on at an endpoint.
    pub fn draw(&self, number: usize, route: &str, age: Duration, rng: &mut ChaCha8Rng) -> Course {
        let load = f64::from(self.running[number]) / f64::from(self.plan.slots);
        let is_second = route == ROUTES[1];
        let (fails, slower) = match self.plan.flaw {
            _ if !self.is_new(number) => (0.0, None),
            Flaw::None => (0.0, None),
            Flaw::Fails(part) => (part, None),
            Flaw::Slow(part, times) => (0.0, rng.random_bool(part).then_some(times)),
            Flaw::FailsLater(part, after) => {
                let is_late = age >= self.plan.duration.mul_f64(after);
                (if is_late { part } else { 0.0 }, None)
            }
            Flaw::FailsUnderLoad(part, at) => {
                let is_loaded = load >= self.plan.usual_load() * at;
                (if is_loaded { part } else { 0.0 }, None)
            }
            Flaw::FailsOnRoute(part) => (if is_second { part } else { 0.0 }, None),
        };
        let is_flawed = slower.is_some() || rng.random_bool(fails);
        let times = slower.unwrap_or(1.0) * (1.0 + load);
        let first = Duration::from_secs_f64(self.first.sample(rng) * times / 1_000.0);
        let length = self.events.sample(rng);
        let events = (1..MOST_EVENTS).find(|n| f64::from(*n) >= length).unwrap_or(MOST_EVENTS);
        let is_long = self.plan.is_stream && !is_second;
        Course {
            first,
            pace: Duration::from_secs_f64(self.pace.sample(rng) * times / 1_000.0),
            events: if is_long { events } else { 0 },
            fails: (is_flawed && slower.is_none()) || rng.random_bool(BASE_FAILURES),
            is_flawed,
        }
    }
}
