//! Model test of several instances that follow the configuration under failures.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use nutmeggrade_core::config::Change;
use nutmeggrade_core::peer::{Beacon, InstanceEntry};
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::fleet::preset;
use nutmeggrade_state::config_table::ConfigTable;
use nutmeggrade_state::fence::Fence;
use nutmeggrade_state::membership::Membership;
use proptest::prelude::*;

use super::play;

const NODES: usize = 5;
const FENCE_MS: u64 = 3_000;
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Clock rate of each instance, in thousandths of true time.
const CLOCK_RATES: [u64; NODES] = [1_000, 980, 1_020, 1_000, 1_010];
/// Fence of the slowest clock in true time, rounded up.
const MAX_FENCE_MS: u64 = FENCE_MS * 1_000 / 980 + 10;
/// Heartbeats that a frozen process's receive buffer holds.
const BUFFERED_HEARTBEATS: usize = 128;

#[derive(Debug, Clone)]
enum Step {
    /// Time passes; every running instance sends, receives, watches and catches up.
    Advance(u64),
    /// An operator changes the configuration, and the change is pushed to some instances; requires
    /// the platform.
    Change(u8),
    /// An instance reads the configuration from the platform; the response may arrive late.
    ReadPlatform(usize),
    ReceiveResponse(usize),
    Freeze(usize),
    /// A frozen instance resumes in the middle of a send.
    Wake(usize),
    Restart(usize),
    CutPlatform(usize, bool),
    CutLink(usize, usize, bool),
    Platform(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let cut = prop::bool::weighted(0.4);
    prop_oneof![
        20 => (1_u64..600).prop_map(Step::Advance),
        3 => any::<u8>().prop_map(Step::Change),
        2 => node.clone().prop_map(Step::ReadPlatform),
        2 => node.clone().prop_map(Step::ReceiveResponse),
        2 => node.clone().prop_map(Step::Freeze),
        3 => node.clone().prop_map(Step::Wake),
        1 => node.clone().prop_map(Step::Restart),
        4 => (node.clone(), cut).prop_map(|(n, c)| Step::CutPlatform(n, c)),
        6 => (node.clone(), node, cut).prop_map(|(a, b, c)| Step::CutLink(a, b, c)),
        2 => prop::bool::weighted(0.6).prop_map(Step::Platform),
    ]
}

struct Node {
    entry: InstanceEntry,
    config: ConfigTable,
    fence: Fence,
    members: Membership,
    sequence: u64,
    frozen: bool,
    cut: bool,
    inbox: VecDeque<Beacon>,
    response: Option<(Moment, Option<Configuration>)>,
    /// Times, in true time, at which versions took effect in this incarnation.
    history: Vec<(u64, u64)>,
}

impl Node {
    fn new(n: usize, incarnation: u64) -> Self {
        let address = "127.0.0.1:1".parse().expect("address");
        let entry = InstanceEntry {
            instance: InstanceId::new(&format!("node-{n}")).expect("name"),
            incarnation,
            domain: DomainId::new("veluwe").expect("name"),
            caller_address: address,
            peer_address: address,
            admin_address: address,
        };
        Self {
            config: ConfigTable::new(),
            fence: Fence::new(Duration::from_millis(FENCE_MS)),
            members: Membership::new(&entry, SILENCE_TIMEOUT),
            entry,
            sequence: 0,
            frozen: false,
            cut: false,
            inbox: VecDeque::new(),
            response: None,
            history: Vec::new(),
        }
    }

    fn offer(&mut self, config: &Configuration, time: u64) {
        let before = self.config.version();
        self.config.offer(config);
        assert!(self.config.version() >= before, "the configuration version decreased");
        if self.config.version() > before {
            self.history.push((time, config.version));
        }
    }

    fn version_at(&self, time: u64) -> u64 {
        self.history.iter().rev().find(|(at, _)| *at <= time).map_or(0, |(_, v)| *v)
    }

    /// Processes the buffered heartbeats.
    fn receive(&mut self, now: Moment) {
        while let Some(beacon) = self.inbox.pop_front() {
            let is_new = self.members.receive_heartbeat(&beacon, now);
            let majority_since = self.members.quorum_since(NODES);
            if is_new && !self.config.note(beacon.config) {
                self.fence.record_peer_contact(majority_since);
            }
        }
    }
}

struct World {
    time: u64,
    platform_up: bool,
    nodes: Vec<Node>,
    cut_links: BTreeSet<(usize, usize)>,
    versions: Vec<Configuration>,
    sends: usize,
}

impl World {
    fn new() -> Self {
        let name = PresetId::new("ordinary").expect("name");
        let id = ChangeId::new("first").expect("name");
        let first = Configuration::new(id, "a", "b", &name, &preset().expect("preset"));
        Self {
            time: 100_000,
            platform_up: true,
            nodes: (0..NODES).map(|n| Node::new(n, 1)).collect(),
            cut_links: BTreeSet::new(),
            versions: vec![first],
            sends: 0,
        }
    }

    fn now(&self, n: usize) -> Moment {
        Moment::from_millis(self.time * CLOCK_RATES[n] / 1_000)
    }

    fn is_linked(&self, a: usize, b: usize) -> bool {
        a != b && !self.cut_links.contains(&(a.min(b), a.max(b)))
    }

    fn can_read(&self, n: usize) -> bool {
        self.platform_up && !self.nodes[n].cut
    }

    fn apply(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Advance(ms) => {
                self.time += ms;
                for n in 0..NODES {
                    self.run_cycle(n);
                }
            }
            Step::Change(mask) if self.platform_up => self.change(mask),
            Step::ReadPlatform(n) if !self.nodes[n].frozen => self.read_platform(n),
            Step::ReceiveResponse(n) if !self.nodes[n].frozen => self.receive_response(n),
            Step::Freeze(n) => self.nodes[n].frozen = true,
            Step::Wake(n) if self.nodes[n].frozen => return self.wake(n),
            Step::Restart(n) => {
                let incarnation = self.nodes[n].entry.incarnation + 1;
                let cut = self.nodes[n].cut;
                self.nodes[n] = Node { cut, ..Node::new(n, incarnation) };
            }
            Step::CutPlatform(n, cut) => self.nodes[n].cut = cut,
            Step::CutLink(a, b, true) => drop(self.cut_links.insert((a.min(b), a.max(b)))),
            Step::CutLink(a, b, false) => drop(self.cut_links.remove(&(a.min(b), a.max(b)))),
            Step::Platform(platform_up) => self.platform_up = platform_up,
            _ => {}
        }
        (0..NODES).try_for_each(|n| self.check_send(n))
    }

    /// Runs one cycle of an instance's background work.
    fn run_cycle(&mut self, n: usize) {
        if self.nodes[n].frozen {
            return;
        }
        let now = self.now(n);
        self.nodes[n].receive(now);
        self.read_platform(n);
        self.receive_response(n);
        self.catch_up(n);
        self.publish(n);
    }

    fn publish(&mut self, n: usize) {
        let now = self.now(n);
        let node = &mut self.nodes[n];
        node.sequence += 1;
        node.members.note_sent(node.sequence, now);
        let beacon = Beacon {
            instance: node.entry.instance.clone(),
            incarnation: node.entry.incarnation,
            entry: Beacon::includes_introduction(node.sequence).then(|| node.entry.clone()),
            sequence: node.sequence,
            config: node.config.version(),
            leaving: false,
            in_flight: BTreeMap::new(),
            platform: None,
            echoes: node.members.echoes(),
            resumed: BTreeSet::new(),
            suspects: Vec::new(),
        };
        for other in (0..NODES).filter(|m| self.is_linked(n, *m)).collect::<Vec<_>>() {
            let inbox = &mut self.nodes[other].inbox;
            if inbox.len() < BUFFERED_HEARTBEATS {
                inbox.push_back(beacon.clone());
            }
        }
    }

    fn read_platform(&mut self, n: usize) {
        if self.can_read(n) {
            let response = (self.now(n), self.versions.last().cloned());
            self.nodes[n].response = Some(response);
        }
    }

    fn receive_response(&mut self, n: usize) {
        let Some((requested_at, config)) = self.nodes[n].response.take() else { return };
        let time = self.time;
        let node = &mut self.nodes[n];
        if let Some(config) = config {
            node.offer(&config, time);
        }
        node.fence.record_platform_contact(requested_at);
    }

    fn catch_up(&mut self, n: usize) {
        let wanted = self.nodes[n].config.wanted();
        let has_none = self.nodes[n].config.version() == 0;
        let Some(min_version) = wanted.or(has_none.then_some(1)) else { return };
        let has_version = |m: &usize| {
            let node = &self.nodes[*m];
            self.is_linked(n, *m) && !node.frozen && node.config.version() >= min_version
        };
        let peer_config = (0..NODES).find(has_version).and_then(|m| self.nodes[m].config.current());
        let time = self.time;
        if let Some(config) = peer_config {
            self.nodes[n].offer(&config, time);
        }
    }

    fn change(&mut self, mask: u8) {
        let newest = self.versions.last().expect("a first version");
        let id = ChangeId::new(&format!("c{}", newest.version)).expect("name");
        let domain = DomainId::new("veluwe").expect("name");
        let change = if newest.out_domains.is_empty() {
            Change::DomainOut { domain }
        } else {
            Change::DomainIn { domain }
        };
        let next = newest.next(id, "a", "b", &change).expect("valid");
        let time = self.time;
        for n in (0..NODES).filter(|n| mask & (1 << n) != 0) {
            if !self.nodes[n].frozen {
                self.nodes[n].offer(&next, time);
            }
        }
        self.versions.push(next);
    }

    /// Resumes an instance: it sends before it reads anything, and again after each buffer that it
    /// reads.
    fn wake(&mut self, n: usize) -> Result<(), String> {
        self.nodes[n].frozen = false;
        self.check_send(n)?;
        let now = self.now(n);
        self.nodes[n].receive(now);
        self.check_send(n)?;
        self.receive_response(n);
        self.check_send(n)
    }

    /// Sends a request if the instance's state allows it, and checks that the instance has the
    /// version that a majority had in force before the longest fence.
    fn check_send(&mut self, n: usize) -> Result<(), String> {
        let now = self.now(n);
        let node = &self.nodes[n];
        let version = node.config.version();
        if node.frozen || version == 0 || node.fence.is_closed(now) {
            return Ok(());
        }
        self.sends += 1;
        let cutoff = self.time - MAX_FENCE_MS;
        let mut in_force: Vec<u64> = self.nodes.iter().map(|m| m.version_at(cutoff)).collect();
        in_force.sort_unstable();
        let majority = in_force[NODES / 2];
        if version < majority {
            return Err(format!(
                "node {n} sends under version {version}, a majority has {majority}"
            ));
        }
        Ok(())
    }

    /// Heals all failures; every instance must have the newest version in force and send again.
    fn check_recovery(&mut self) -> Result<(), String> {
        self.platform_up = true;
        self.cut_links.clear();
        for node in &mut self.nodes {
            node.frozen = false;
            node.cut = false;
        }
        for _ in 0..3 {
            self.apply(&Step::Advance(500))?;
        }
        let newest = self.versions.last().map_or(0, |c| c.version);
        for (n, node) in self.nodes.iter().enumerate() {
            if node.config.version() != newest || node.fence.is_closed(self.now(n)) {
                return Err(format!("node {n} did not recover to version {newest}"));
            }
        }
        Ok(())
    }
}

fn run(steps: &[Step]) -> Result<usize, String> {
    let mut world = World::new();
    for step in steps {
        world.apply(step)?;
    }
    world.check_recovery()?;
    Ok(world.sends)
}

// Guards against requests to a failure domain long after operators took it out. Instances are
// frozen, restarted, or cut off from the platform or from each other, and the platform fails just
// after the change. An instance that can't receive the change must stop sending.
#[test]
fn nobody_works_on_what_most_have_replaced() {
    let sends = std::cell::Cell::new(0);
    play("config", step(), |steps| {
        sends.set(sends.get() + run(steps)?);
        Ok(())
    });
    assert!(sends.get() > 0, "no instance ever sent");
    println!("random run=config sends={}", sends.get());
}
