//! Model test of several instances that share an engine in cold start under failures.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmeggrade_core::peer::Assignment;
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::cold_load::{LoadSample, SlotId};
use nutmeggrade_state::cold_rights::ColdRights;
use nutmeggrade_state::membership::Candidate;
use proptest::prelude::*;

use super::play;

const NODES: usize = 4;
const LIMIT: u32 = 2;
const LEASE: Duration = Duration::from_secs(1);
/// Clock rate of each instance, in thousandths of true time.
const CLOCK_RATES: [u64; NODES] = [1_000, 950, 1_050, 1_000];

#[derive(Debug, Clone)]
enum Step {
    /// Time passes; every running instance confirms, proposes and polls the load.
    Advance(u64),
    /// An instance reads the assignment or polls the engine's load; the response may arrive late.
    ReadAssignment(usize),
    ReceiveAssignment(usize),
    PollLoad(usize),
    ReceiveLoad(usize),
    /// An instance proposes an assignment for the peers in a mask; the response to its write may be
    /// lost.
    Propose(usize, u8, bool),
    Start(usize),
    FirstToken(usize),
    /// An instance cancels a generation; the engine continues it.
    Cancel(usize),
    Finish(usize),
    Freeze(usize),
    /// A frozen instance resumes in the middle of a send.
    Wake(usize),
    Cut(usize),
    Heal(usize),
    Restart(usize),
    Platform(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        20 => (1_u64..300).prop_map(Step::Advance),
        2 => node.clone().prop_map(Step::ReadAssignment),
        3 => node.clone().prop_map(Step::ReceiveAssignment),
        2 => node.clone().prop_map(Step::PollLoad),
        3 => node.clone().prop_map(Step::ReceiveLoad),
        1 => (node.clone(), 1_u8..16, any::<bool>()).prop_map(|(n, m, l)| Step::Propose(n, m, l)),
        16 => node.clone().prop_map(Step::Start),
        5 => (0..4_usize).prop_map(Step::FirstToken),
        2 => (0..4_usize).prop_map(Step::Cancel),
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
    response: Option<(Moment, u64, Assignment)>,
    version: u64,
    load: Option<LoadSample>,
}

struct Generation {
    node: usize,
    incarnation: u64,
    slot: SlotId,
}

struct World {
    time: u64,
    nodes: Vec<Node>,
    platform_up: bool,
    assignment: Option<(u64, Assignment)>,
    generations: Vec<Generation>,
    next_slot: u64,
    peak: usize,
    users: BTreeSet<usize>,
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
            response: None,
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
            platform_up: true,
            assignment: None,
            generations: Vec::new(),
            next_slot: 0,
            peak: 0,
            users: BTreeSet::new(),
        }
    }

    fn now(&self, n: usize) -> Moment {
        Moment::from_millis(self.time * CLOCK_RATES[n] / 1_000)
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Advance(ms) => {
                self.time += ms;
                (0..NODES).for_each(|n| self.run_cycle(n));
            }
            Step::Platform(platform_up) => self.platform_up = platform_up,
            Step::Wake(n) if self.nodes[n].frozen => {
                self.nodes[n].frozen = false;
                self.start(n);
                self.start(n);
            }
            Step::Finish(i) if i < self.generations.len() => {
                let generation = self.generations.remove(i);
                self.finish_generation(&generation);
            }
            Step::FirstToken(i) | Step::Cancel(i) => self.update_generation(i, step),
            Step::ReadAssignment(n)
            | Step::ReceiveAssignment(n)
            | Step::Propose(n, ..)
            | Step::PollLoad(n)
            | Step::ReceiveLoad(n)
            | Step::Start(n)
            | Step::Freeze(n)
            | Step::Cut(n)
            | Step::Heal(n)
            | Step::Restart(n)
                if !self.nodes[n].frozen =>
            {
                self.apply_local(n, step);
            }
            _ => {}
        }
    }

    /// Runs one cycle of an instance's background work.
    fn run_cycle(&mut self, n: usize) {
        if self.nodes[n].frozen {
            return;
        }
        if !self.nodes[n].cut {
            self.read_assignment(n);
            self.receive_assignment(n);
            let reachable = (0..NODES).filter(|i| !self.nodes[*i].frozen && !self.nodes[*i].cut);
            let mask = reachable.fold(0, |mask, i| mask | 1 << i);
            self.propose(n, mask, false);
        }
        self.poll_load(n);
        self.receive_load(n);
    }

    fn apply_local(&mut self, n: usize, step: &Step) {
        match *step {
            Step::ReadAssignment(_) => self.read_assignment(n),
            Step::ReceiveAssignment(_) => self.receive_assignment(n),
            Step::Propose(_, mask, response_lost) => self.propose(n, mask, response_lost),
            Step::PollLoad(_) => self.poll_load(n),
            Step::ReceiveLoad(_) => self.receive_load(n),
            Step::Start(_) => self.start(n),
            Step::Freeze(_) => self.nodes[n].frozen = true,
            Step::Cut(_) => self.nodes[n].cut = true,
            Step::Heal(_) => self.nodes[n].cut = false,
            Step::Restart(_) => {
                let restarted = Node::new(n, self.nodes[n].incarnation + 1);
                self.nodes[n] = restarted;
            }
            _ => {}
        }
    }

    fn read_assignment(&mut self, n: usize) {
        let now = self.now(n);
        if self.platform_up && !self.nodes[n].cut {
            self.nodes[n].response = self.assignment.clone().map(|(version, a)| (now, version, a));
        }
    }

    fn receive_assignment(&mut self, n: usize) {
        let now = self.now(n);
        let node = &mut self.nodes[n];
        if let Some((requested_at, version, assignment)) = node.response.take() {
            node.version = version;
            node.rights.confirm_assignment(&assignment, requested_at, now);
        }
    }

    fn poll_load(&mut self, n: usize) {
        let held = u32::try_from(self.generations.len()).expect("few");
        self.nodes[n].load =
            Some(LoadSample { taken: self.now(n), held, cold: true, limit: LIMIT });
    }

    fn receive_load(&mut self, n: usize) {
        if let Some(sample) = self.nodes[n].load.take() {
            self.nodes[n].rights.note_load(&engine(), sample);
        }
    }

    fn propose(&mut self, n: usize, mask: u8, response_lost: bool) {
        let now = self.now(n);
        let visible = (0..NODES).filter(|i| *i == n || mask & (1 << i) != 0);
        let candidate = |i: usize| Candidate {
            incarnation: self.nodes[i].incarnation,
            platform_reachable: true,
        };
        let live: BTreeMap<_, _> = visible.map(|i| (name(i), candidate(i))).collect();
        let Some(next) = self.nodes[n].rights.propose(&live, LEASE, now) else { return };
        let version = self.assignment.as_ref().map_or(0, |(v, _)| *v);
        if !self.platform_up || self.nodes[n].cut || version != self.nodes[n].version {
            return;
        }
        self.assignment = Some((version + 1, next.clone()));
        if !response_lost {
            self.nodes[n].response = Some((now, version + 1, next));
            self.receive_assignment(n);
        }
    }

    fn start(&mut self, n: usize) {
        let now = self.now(n);
        let slot = SlotId(self.next_slot);
        self.next_slot += 1;
        let node = &mut self.nodes[n];
        if node.rights.take_slot(&engine(), slot, now) {
            self.generations.push(Generation { node: n, incarnation: node.incarnation, slot });
            self.peak = self.peak.max(self.generations.len());
            self.users.insert(n);
        }
    }

    fn update_generation(&mut self, i: usize, step: &Step) {
        let Some(generation) = self.generations.get(i) else { return };
        let (n, slot) = (generation.node, generation.slot);
        let now = self.now(n);
        let node = &mut self.nodes[n];
        if node.frozen || node.incarnation != generation.incarnation {
            return;
        }
        match step {
            Step::FirstToken(_) => node.rights.note_started(&engine(), slot, now),
            _ => node.rights.leave_slot(&engine(), slot, now),
        }
    }

    fn finish_generation(&mut self, generation: &Generation) {
        let now = self.now(generation.node);
        let node = &mut self.nodes[generation.node];
        if !node.frozen && node.incarnation == generation.incarnation {
            node.rights.leave_slot(&engine(), generation.slot, now);
        }
    }
}

fn run(steps: &[Step]) -> Result<usize, String> {
    let mut world = World::new();
    for (index, step) in steps.iter().enumerate() {
        world.apply(step);
        if world.peak > LIMIT as usize {
            return Err(format!("step {index}: {} generations on the cold engine", world.peak));
        }
    }
    Ok(world.users.len())
}

// Guards against exceeding the limit of a cold engine, which would crash it repeatedly as it
// starts. Instances die, freeze, resume, are cut off, see different sets of peers and write
// competing epochs, so that two of them might act as the owner, or a new owner might not count the
// load of its predecessor.
#[test]
fn cold_engine_bears_what_it_gets() {
    let users = std::cell::Cell::new(0);
    play("cold", step(), |steps| {
        users.set(users.get() + run(steps)?);
        Ok(())
    });
    // A system that never uses a cold engine would pass all other checks.
    assert!(users.get() > 0, "no instance ever used the engine");
    println!("random run=cold users={}", users.get());
}
