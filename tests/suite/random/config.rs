//! Several instances follow the configuration, whatever fails.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use nutmeggrade_core::config::Change;
use nutmeggrade_core::peer::{Beacon, Entry};
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::fleet::preset;
use nutmeggrade_state::config_table::ConfigTable;
use nutmeggrade_state::fence::Fence;
use nutmeggrade_state::membership::Membership;
use proptest::prelude::*;

use super::play;

const NODES: usize = 5;
const FENCE_MS: u64 = 3_000;
const SILENCE: Duration = Duration::from_secs(2);
/// Clocks run this many thousandths fast or slow.
const RATES: [u64; NODES] = [1_000, 980, 1_020, 1_000, 1_010];
/// The slowest clock's fence in true time, rounded up.
const BOUND_MS: u64 = FENCE_MS * 1_000 / 980 + 10;
/// Heartbeats that a frozen process finds in its buffers.
const BUFFER: usize = 128;

#[derive(Debug, Clone)]
enum Step {
    /// Time passes; every instance that can then sends, receives, watches and catches up.
    Pass(u64),
    /// An operator's change, pushed to some; the platform must be up.
    Change(u8),
    /// An answer of the platform that comes late.
    Ask(usize),
    Hear(usize),
    Freeze(usize),
    /// It wakes in the middle of sending.
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
        20 => (1_u64..600).prop_map(Step::Pass),
        3 => any::<u8>().prop_map(Step::Change),
        2 => node.clone().prop_map(Step::Ask),
        2 => node.clone().prop_map(Step::Hear),
        2 => node.clone().prop_map(Step::Freeze),
        3 => node.clone().prop_map(Step::Wake),
        1 => node.clone().prop_map(Step::Restart),
        4 => (node.clone(), cut).prop_map(|(n, c)| Step::CutPlatform(n, c)),
        6 => (node.clone(), node, cut).prop_map(|(a, b, c)| Step::CutLink(a, b, c)),
        2 => prop::bool::weighted(0.6).prop_map(Step::Platform),
    ]
}

struct Node {
    entry: Entry,
    config: ConfigTable,
    fence: Fence,
    members: Membership,
    sequence: u64,
    frozen: bool,
    cut: bool,
    inbox: VecDeque<Beacon>,
    answer: Option<(Moment, Option<Configuration>)>,
    /// What was in force since when, in true time, in this life.
    history: Vec<(u64, u64)>,
}

impl Node {
    fn new(n: usize, incarnation: u64) -> Self {
        let address = "127.0.0.1:1".parse().expect("address");
        let entry = Entry {
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
            members: Membership::new(&entry, SILENCE),
            entry,
            sequence: 0,
            frozen: false,
            cut: false,
            inbox: VecDeque::new(),
            answer: None,
            history: Vec::new(),
        }
    }

    fn offer(&mut self, config: &Configuration, time: u64) {
        let before = self.config.version();
        self.config.offer(config);
        assert!(self.config.version() >= before, "the configuration went back");
        if self.config.version() > before {
            self.history.push((time, config.version));
        }
    }

    fn held_at(&self, time: u64) -> u64 {
        self.history.iter().rev().find(|(at, _)| *at <= time).map_or(0, |(_, v)| *v)
    }

    /// Reads the heartbeats that lie in the buffer.
    fn receive(&mut self, now: Moment) {
        while let Some(beacon) = self.inbox.pop_front() {
            let fresh = self.members.hear(&beacon, now);
            let together = self.members.quorum_since(NODES);
            if fresh && !self.config.note(beacon.config) {
                self.fence.record_peer_contact(together);
            }
        }
    }
}

struct World {
    time: u64,
    up: bool,
    nodes: Vec<Node>,
    links: BTreeSet<(usize, usize)>,
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
            up: true,
            nodes: (0..NODES).map(|n| Node::new(n, 1)).collect(),
            links: BTreeSet::new(),
            versions: vec![first],
            sends: 0,
        }
    }

    fn now(&self, n: usize) -> Moment {
        Moment::from_millis(self.time * RATES[n] / 1_000)
    }

    fn linked(&self, a: usize, b: usize) -> bool {
        a != b && !self.links.contains(&(a.min(b), a.max(b)))
    }

    fn reads(&self, n: usize) -> bool {
        self.up && !self.nodes[n].cut
    }

    fn take(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Pass(ms) => {
                self.time += ms;
                for n in 0..NODES {
                    self.work(n);
                }
            }
            Step::Change(mask) if self.up => self.change(mask),
            Step::Ask(n) if !self.nodes[n].frozen => self.ask(n),
            Step::Hear(n) if !self.nodes[n].frozen => self.hear(n),
            Step::Freeze(n) => self.nodes[n].frozen = true,
            Step::Wake(n) if self.nodes[n].frozen => return self.wake(n),
            Step::Restart(n) => {
                let incarnation = self.nodes[n].entry.incarnation + 1;
                let cut = self.nodes[n].cut;
                self.nodes[n] = Node { cut, ..Node::new(n, incarnation) };
            }
            Step::CutPlatform(n, cut) => self.nodes[n].cut = cut,
            Step::CutLink(a, b, true) => drop(self.links.insert((a.min(b), a.max(b)))),
            Step::CutLink(a, b, false) => drop(self.links.remove(&(a.min(b), a.max(b)))),
            Step::Platform(up) => self.up = up,
            _ => {}
        }
        (0..NODES).try_for_each(|n| self.send(n))
    }

    /// What an instance does all the time.
    fn work(&mut self, n: usize) {
        if self.nodes[n].frozen {
            return;
        }
        let now = self.now(n);
        self.nodes[n].receive(now);
        self.ask(n);
        self.hear(n);
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
        for other in (0..NODES).filter(|m| self.linked(n, *m)).collect::<Vec<_>>() {
            let inbox = &mut self.nodes[other].inbox;
            if inbox.len() < BUFFER {
                inbox.push_back(beacon.clone());
            }
        }
    }

    fn ask(&mut self, n: usize) {
        if self.reads(n) {
            let answer = (self.now(n), self.versions.last().cloned());
            self.nodes[n].answer = Some(answer);
        }
    }

    fn hear(&mut self, n: usize) {
        let Some((asked, config)) = self.nodes[n].answer.take() else { return };
        let time = self.time;
        let node = &mut self.nodes[n];
        if let Some(config) = config {
            node.offer(&config, time);
        }
        node.fence.record_platform_contact(asked);
    }

    fn catch_up(&mut self, n: usize) {
        let wanted = self.nodes[n].config.wanted();
        let lost = self.nodes[n].config.version() == 0;
        let Some(least) = wanted.or(lost.then_some(1)) else { return };
        let holds = |m: &usize| {
            let node = &self.nodes[*m];
            self.linked(n, *m) && !node.frozen && node.config.version() >= least
        };
        let held = (0..NODES).find(holds).and_then(|m| self.nodes[m].config.current());
        let time = self.time;
        if let Some(config) = held {
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

    /// Sends before it reads anything, and again after each buffer that it reads.
    fn wake(&mut self, n: usize) -> Result<(), String> {
        self.nodes[n].frozen = false;
        self.send(n)?;
        let now = self.now(n);
        self.nodes[n].receive(now);
        self.send(n)?;
        self.hear(n);
        self.send(n)
    }

    /// New work goes out if the tables let it; what most instances had long in force must be known.
    fn send(&mut self, n: usize) -> Result<(), String> {
        let now = self.now(n);
        let node = &self.nodes[n];
        let version = node.config.version();
        if node.frozen || version == 0 || node.fence.is_closed(now) {
            return Ok(());
        }
        self.sends += 1;
        let then = self.time - BOUND_MS;
        let mut held: Vec<u64> = self.nodes.iter().map(|m| m.held_at(then)).collect();
        held.sort_unstable();
        let most = held[NODES / 2];
        if version < most {
            return Err(format!("node {n} works on version {version}, most have had {most}"));
        }
        Ok(())
    }

    /// Everything heals: all must have the newest version in force and work again.
    fn settle(&mut self) -> Result<(), String> {
        self.up = true;
        self.links.clear();
        for node in &mut self.nodes {
            node.frozen = false;
            node.cut = false;
        }
        for _ in 0..3 {
            self.take(&Step::Pass(500))?;
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
        world.take(step)?;
    }
    world.settle()?;
    Ok(world.sends)
}

// Operators take a failure domain out while instances are frozen, cut from the platform or from each
// other, restarted, and the platform goes down just after. Whoever can't know of the change must
// stop; one would notice requests in the domain long after it was taken out.
#[test]
fn nobody_works_on_what_most_have_replaced() {
    let sends = std::cell::Cell::new(0);
    play("config", step(), |steps| {
        sends.set(sends.get() + run(steps)?);
        Ok(())
    });
    assert!(sends.get() > 0, "no instance ever worked");
    println!("random run=config sends={}", sends.get());
}
