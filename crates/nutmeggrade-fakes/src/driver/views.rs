//! What deciders are told, and how late.

use std::collections::{BTreeMap, BTreeSet};

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::Engine;

use super::{BEACON, DOMAINS, Decider, Driver, ENGINES, NODES, endpoint, model};

impl<D: Decider> Driver<'_, D> {
    pub(super) fn poll(&mut self, now: Moment) {
        let lag = self.pattern.report_lag;
        for engine in 0..ENGINES {
            let fresh = self.models[engine].load(now);
            let reports = &mut self.reports[engine];
            reports.push_back((now, fresh));
            while reports.get(1).is_some_and(|(at, _)| now.since(*at) >= lag) {
                reports.pop_front();
            }
            let (at, report) = &reports[0];
            let report = LoadReport { age: now.since(*at), ..report.clone() };
            for node in &mut self.nodes {
                node.report(&endpoint(engine), &report, now);
            }
        }
    }

    pub(super) fn beacon(&mut self, now: Moment) {
        let counts = self.nodes.iter().map(Decider::in_flight).collect();
        self.beacons.push_back((now, counts));
        while self.beacons.get(1).is_some_and(|(at, _)| now.since(*at) >= BEACON) {
            self.beacons.pop_front();
        }
        let (_, counts) = &self.beacons[0];
        for (own, node) in self.nodes.iter_mut().enumerate() {
            let mut sum = BTreeMap::new();
            for (_, of_peer) in counts.iter().enumerate().filter(|(peer, _)| *peer != own) {
                for (id, count) in of_peer {
                    *sum.entry(id.clone()).or_insert(0) += count;
                }
            }
            node.set_peers(&sum, now);
        }
        self.tell_engines(now);
    }

    pub(super) fn tell_engines(&mut self, now: Moment) {
        for (own, node) in self.nodes.iter_mut().enumerate() {
            let usable = (0..ENGINES).filter(|e| !self.out[e % DOMAINS]);
            let engines: Vec<_> = usable
                .map(|e| Engine {
                    id: endpoint(e),
                    domain: DomainId::new(&format!("domain-{}", e % DOMAINS)).expect("a valid id"),
                    models: BTreeSet::from([model()]),
                    memory: self.pattern.spec.memory,
                    cold_right: if e % NODES == own { self.pattern.spec.cold_limit } else { 0 },
                    instance_count: u32::try_from(NODES).unwrap_or(1),
                })
                .collect();
            node.set_engines(&engines, now);
        }
    }
}
