//! The simulated endpoints of both versions.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

use super::plan::{Flaw, Plan};

/// Share of the responses that fail at either version.
const BASE_FAILURE_RATE: f64 = 0.03;
/// Names of the routes.
pub const ROUTES: [&str; 2] = ["first", "second"];
/// Share of the requests on the second route.
pub const SECOND_ROUTE_SHARE: f64 = 0.4;
/// Maximum number of events in a stream.
const MAX_EVENTS: u32 = 440;
/// Time from the order to the registration of the new endpoints.
const REGISTRATION_DELAY: Duration = Duration::from_millis(800);

/// The drawn timing and outcome of one request.
#[derive(Debug, Clone, Copy)]
pub struct RequestProfile {
    /// Time to the response or to the first event.
    pub first_response: Duration,
    /// Time between two events of a stream.
    pub event_interval: Duration,
    /// Number of events of a stream; 0 for other responses.
    pub events: u32,
    /// Whether it fails after `first_response`.
    pub fails: bool,
    /// Whether the version's defect affects it.
    pub is_flawed: bool,
}

/// The simulated endpoints of both versions.
#[derive(Debug)]
pub struct Endpoints {
    /// Endpoints of the old version, followed by those of the new one.
    pub all: Vec<EndpointInfo>,
    /// Number of running requests by endpoint.
    pub running: Vec<u32>,
    plan: Plan,
    response_ms: LogNormal<f64>,
    interval_ms: LogNormal<f64>,
    events: LogNormal<f64>,
}

impl Endpoints {
    /// Creates the endpoints of a plan.
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
            response_ms: LogNormal::new(median.ln(), 0.5)?,
            interval_ms: LogNormal::new(33_f64.ln(), 0.2)?,
            events: LogNormal::new(150_f64.ln(), 0.8)?,
        })
    }

    /// Returns whether an endpoint runs the new version.
    pub fn is_new(&self, number: usize) -> bool {
        number >= self.plan.endpoints
    }

    /// Returns the index of an endpoint.
    pub fn number(id: &EndpointId) -> Option<usize> {
        id.as_str().strip_prefix("e-")?.parse().ok()
    }

    /// Returns the endpoints that are registered at `age`, the time since the order.
    pub fn registered(&self, age: Duration) -> &[EndpointInfo] {
        if age >= REGISTRATION_DELAY { &self.all } else { &self.all[..self.plan.endpoints] }
    }

    /// Draws the profile of a request at an endpoint.
    pub fn draw_profile(
        &self,
        number: usize,
        route: &str,
        age: Duration,
        rng: &mut ChaCha8Rng,
    ) -> RequestProfile {
        let load = f64::from(self.running[number]) / f64::from(self.plan.slots);
        let is_second_route = route == ROUTES[1];
        let (failure_rate, slowdown) = match self.plan.flaw {
            _ if !self.is_new(number) => (0.0, None),
            Flaw::None => (0.0, None),
            Flaw::Fails(share) => (share, None),
            Flaw::Slow(share, factor) => (0.0, rng.random_bool(share).then_some(factor)),
            Flaw::FailsLater(share, after) => {
                let is_late = age >= self.plan.duration.mul_f64(after);
                (if is_late { share } else { 0.0 }, None)
            }
            Flaw::FailsUnderLoad(share, at) => {
                let is_loaded = load >= self.plan.usual_load() * at;
                (if is_loaded { share } else { 0.0 }, None)
            }
            Flaw::FailsOnRoute(share) => (if is_second_route { share } else { 0.0 }, None),
        };
        let is_flawed = slowdown.is_some() || rng.random_bool(failure_rate);
        let factor = slowdown.unwrap_or(1.0) * (1.0 + load);
        let first_response =
            Duration::from_secs_f64(self.response_ms.sample(rng) * factor / 1_000.0);
        let length = self.events.sample(rng);
        let events = (1..MAX_EVENTS).find(|n| f64::from(*n) >= length).unwrap_or(MAX_EVENTS);
        let is_streamed = self.plan.is_stream && !is_second_route;
        RequestProfile {
            first_response,
            event_interval: Duration::from_secs_f64(
                self.interval_ms.sample(rng) * factor / 1_000.0,
            ),
            events: if is_streamed { events } else { 0 },
            fails: (is_flawed && slowdown.is_none()) || rng.random_bool(BASE_FAILURE_RATE),
            is_flawed,
        }
    }
}
