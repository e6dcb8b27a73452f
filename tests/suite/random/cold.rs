//! Several instances share an engine in cold start, whatever fails.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmeggrade_core::peer::Assignment;
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::cold_load::{LoadSample, Slot};
use nutmeggrade_state::cold_rights::ColdRights;
use nutmeggrade_state::membership::Candidate;
use proptest::prelude::*;

use super::play;

const NODES: usize = 4;
const LIMIT: u32 = 2;
const LEASE: Duration = Duration::from_secs(1);
/// Clocks run this many thousandths fast or slow.
const RATES: [u64; NODES] = [1_000, 950, 1_050, 1_000];

#[derive(Debug, Clone)]
enum Step {
    /// Time passes; every instance that can then confirms, proposes and looks at the load.
    Pass(u64),
    /// An answer of the platform or of the engine that comes late.
    Ask(usize),
    Hear(usize),
    Poll(usize),
    HearLoad(usize),
    /// It believes that just these are there; the answer to what it writes may be lost.
    View(usize, u8, bool),
    Start(usize),
    FirstToken(usize),
    /// The instance gives a generation up; the engine goes on with it.
    GiveUp(usize),
    Finish(usize),
    Freeze(usize),
    /// It wakes in the middle of sending.
    Wake(usize),
    Cut(usize),
    Heal(usize),
    Restart(usize),
    Platform(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        20 => (1_u64..300).prop_map(Step::Pass),
        2 => node.clone().prop_map(Step::Ask),
        3 => node.clone().prop_map(Step::Hear),
        2 => node.clone().prop_map(Step::Poll),
        3 => node.clone().prop_map(Step::HearLoad),
        1 => (node.clone(), 1_u8..16, any::<bool>()).prop_map(|(n, m, l)| Step::View(n, m, l)),
        16 => node.clone().prop_map(Step::Start),
        5 => (0..4_usize).prop_map(Step::FirstToken),
        2 => (0..4_usize).prop_map(Step::GiveUp),
        4 => (0..4_usize).prop_map(Step::Finish),
        1 => node.clone().prop_map(Step::Freeze),
        2 => node.clone().prop_map(Step::Wake),
        1 => node.clone().prop_map(Step::Cut),
        2 => node.clone().prop_map(Step::Heal),
        1 => node.prop_map(Step::Restart),
        1 => prop::bool::weighted(0.8).prop_map(Step::Platform),
    ]
}

struct Node {
    rights: ColdRights,
    incarnation: u64,
    frozen: bool,
    cut: bool,
    answer: Option<(Moment, u64, Assignment)>,
    version: u64,
    load: Option<LoadSample>,
}

struct Held {
    node: usize,
    incarnation: u64,
    slot: Slot,
}

struct World {
    time: u64,
    nodes: Vec<Node>,
    up: bool,
    object: Option<(u64, Assignment)>,
    held: Vec<Held>,
    slots: u64,
    peak: usize,
    given: BTreeSet<usize>,
}

fn name(n: usize) -> InstanceId {
    InstanceId::new(&format!("node-{n}")).expect("name")
}

fn engine() -> EndpointId {
    EndpointId::new("engine-0").expect("name")
}

impl Node {
    fn new(n: usize, incarnation: u64) -> Self {
        Self {
            rights: ColdRights::new(&name(n), incarnation),
            incarnation,
            frozen: false,
            cut: false,
            answer: None,
            version: 0,
            load: None,
        }
    }
}

impl World {
    fn new() -> Self {
        Self {
            time: 10_000,
            nodes: (0..NODES).map(|n| Node::new(n, 1)).collect(),
            up: true,
            object: None,
            held: Vec::new(),
            slots: 0,
            peak: 0,
            given: BTreeSet::new(),
        }
    }

    fn now(&self, n: usize) -> Moment {
        Moment::from_millis(self.time * RATES[n] / 1_000)
    }

    fn take(&mut self, step: &Step) {
        match *step {
            Step::Pass(ms) => {
                self.time += ms;
                (0..NODES).for_each(|n| self.work(n));
            }
            Step::Platform(up) => self.up = up,
            Step::Wake(n) if self.nodes[n].frozen => {
                self.nodes[n].frozen = false;
                self.start(n);
                self.start(n);
            }
            Step::Finish(i) if i < self.held.len() => {
                let held = self.held.remove(i);
                self.leave(&held);
            }
            Step::FirstToken(i) | Step::GiveUp(i) => self.note(i, step),
            Step::Ask(n)
            | Step::Hear(n)
            | Step::View(n, ..)
            | Step::Poll(n)
            | Step::HearLoad(n)
            | Step::Start(n)
            | Step::Freeze(n)
            | Step::Cut(n)
            | Step::Heal(n)
            | Step::Restart(n)
                if !self.nodes[n].frozen =>
            {
                self.act(n, step);
            }
            _ => {}
        }
    }

    /// What an instance does all the time.
    fn work(&mut self, n: usize) {
        if self.nodes[n].frozen {
            return;
        }
        if !self.nodes[n].cut {
            self.ask(n);
            self.hear(n);
            let there = (0..NODES).filter(|i| !self.nodes[*i].frozen && !self.nodes[*i].cut);
            let mask = there.fold(0, |mask, i| mask | 1 << i);
            self.propose(n, mask, false);
        }
        self.poll(n);
        self.hear_load(n);
    }

    fn act(&mut self, n: usize, step: &Step) {
        match *step {
            Step::Ask(_) => self.ask(n),
            Step::Hear(_) => self.hear(n),
            Step::View(_, mask, lost) => self.propose(n, mask, lost),
            Step::Poll(_) => self.poll(n),
            Step::HearLoad(_) => self.hear_load(n),
            Step::Start(_) => self.start(n),
            Step::Freeze(_) => self.nodes[n].frozen = true,
            Step::Cut(_) => self.nodes[n].cut = true,
            Step::Heal(_) => self.nodes[n].cut = false,
            Step::Restart(_) => {
                let fresh = Node::new(n, self.nodes[n].incarnation + 1);
                self.nodes[n] = fresh;
            }
            _ => {}
        }
    }

    fn ask(&mut self, n: usize) {
        let now = self.now(n);
        if self.up && !self.nodes[n].cut {
            self.nodes[n].answer = self.object.clone().map(|(version, a)| (now, version, a));
        }
    }

    fn hear(&mut self, n: usize) {
        let now = self.now(n);
        let node = &mut self.nodes[n];
        if let Some((asked, version, assignment)) = node.answer.take() {
            node.version = version;
            node.rights.learn(&assignment, asked, now);
        }
    }

    fn poll(&mut self, n: usize) {
        let held = u32::try_from(self.held.len()).expect("few");
        self.nodes[n].load =
            Some(LoadSample { taken: self.now(n), held, cold: true, limit: LIMIT });
    }

    fn hear_load(&mut self, n: usize) {
        if let Some(sample) = self.nodes[n].load.take() {
            self.nodes[n].rights.note_load(&engine(), sample);
        }
    }

    fn propose(&mut self, n: usize, mask: u8, lost: bool) {
        let now = self.now(n);
        let seen = (0..NODES).filter(|i| *i == n || mask & (1 << i) != 0);
        let candidate = |i: usize| Candidate {
            incarnation: self.nodes[i].incarnation,
            platform_reachable: true,
        };
        let live: BTreeMap<_, _> = seen.map(|i| (name(i), candidate(i))).collect();
        let Some(next) = self.nodes[n].rights.propose(&live, LEASE, now) else { return };
        let version = self.object.as_ref().map_or(0, |(v, _)| *v);
        if !self.up || self.nodes[n].cut || version != self.nodes[n].version {
            return;
        }
        self.object = Some((version + 1, next.clone()));
        if !lost {
            self.nodes[n].answer = Some((now, version + 1, next));
            self.hear(n);
        }
    }

    fn start(&mut self, n: usize) {
        let now = self.now(n);
        let slot = Slot(self.slots);
        self.slots += 1;
        let node = &mut self.nodes[n];
        if node.rights.take_slot(&engine(), slot, now) {
            self.held.push(Held { node: n, incarnation: node.incarnation, slot });
            self.peak = self.peak.max(self.held.len());
            self.given.insert(n);
        }
    }

    fn note(&mut self, i: usize, step: &Step) {
        let Some(held) = self.held.get(i) else { return };
        let (n, slot) = (held.node, held.slot);
        let now = self.now(n);
        let node = &mut self.nodes[n];
        if node.frozen || node.incarnation != held.incarnation {
            return;
        }
        match step {
            Step::FirstToken(_) => node.rights.note_started(&engine(), slot, now),
            _ => node.rights.leave_slot(&engine(), slot, now),
        }
    }

    fn leave(&mut self, held: &Held) {
        let now = self.now(held.node);
        let node = &mut self.nodes[held.node];
        if !node.frozen && node.incarnation == held.incarnation {
            node.rights.leave_slot(&engine(), held.slot, now);
        }
    }
}

fn run(steps: &[Step]) -> Result<usize, String> {
    let mut world = World::new();
    for (at, step) in steps.iter().enumerate() {
        world.take(step);
        if world.peak > LIMIT as usize {
            return Err(format!("step {at}: the cold engine holds {}", world.peak));
        }
    }
    Ok(world.given.len())
}

// An engine starts cold while instances die, freeze, wake, are cut off, see each other differently
// and write epochs against each other. Were two of them to believe that it is theirs, or one to
// forget what its predecessor left on it, it would fall over again and again as it comes up.
#[test]
fn cold_engine_bears_what_it_gets() {
    let uses = std::cell::Cell::new(0);
    play("cold", step(), |steps| {
        uses.set(uses.get() + run(steps)?);
        Ok(())
    });
    // A system that never uses a cold engine would pass as well.
    assert!(uses.get() > 0, "no instance ever used the engine");
    println!("random run=cold users={}", uses.get());
}
