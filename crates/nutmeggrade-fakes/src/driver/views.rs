//! Delivery of load reports, heartbeats and engine lists to the deciders, with lag.

use std::collections::{BTreeMap, BTreeSet};

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::Engine;

use super::{DOMAINS, Decider, ENGINES, HEARTBEAT_INTERVAL, NODES, Simulation, endpoint, model};

impl<D: Decider> Simulation<'_, D> {
    pub(super) fn deliver_reports(&mut self, now: Moment) {
        let lag = self.pattern.report_lag;
        for engine in 0..ENGINES {
            let current = self.models[engine].load(now);
            let reports = &mut self.reports[engine];
            reports.push_back((now, current));
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

    pub(super) fn exchange_heartbeats(&mut self, now: Moment) {
        let counts = self.nodes.iter().map(Decider::in_flight).collect();
        self.heartbeats.push_back((now, counts));
        while self.heartbeats.get(1).is_some_and(|(at, _)| now.since(*at) >= HEARTBEAT_INTERVAL) {
            self.heartbeats.pop_front();
        }
        let (_, counts) = &self.heartbeats[0];
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let mut totals = BTreeMap::new();
            for (_, peer_counts) in counts.iter().enumerate().filter(|(peer, _)| *peer != index) {
                for (id, count) in peer_counts {
                    *totals.entry(id.clone()).or_insert(0) += count;
                }
            }
            node.set_peers(&totals, now);
        }
        self.announce_engines(now);
    }

    pub(super) fn announce_engines(&mut self, now: Moment) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let usable = (0..ENGINES).filter(|e| !self.out_domains[e % DOMAINS]);
            let engines: Vec<_> = usable
                .map(|e| Engine {
                    id: endpoint(e),
                    domain: DomainId::new(&format!("domain-{}", e % DOMAINS)).expect("a valid id"),
                    models: BTreeSet::from([model()]),
                    memory: self.pattern.spec.memory,
                    cold_right: if e % NODES == index { self.pattern.spec.cold_limit } else { 0 },
                    instance_count: u32::try_from(NODES).unwrap_or(1),
                })
                .collect();
            node.set_engines(&engines, now);
        }
    }
}
