//! The memory that clients hold together, in virtual time.

use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::intake::{ClientMemory, HolderId, ListenerId, MemoryFull};
use rstest::rstest;

const LIMIT: usize = 16 << 20;
const LARGE: usize = 1 << 20;
const CONNECTION: usize = 8 << 10;

/// Accounts with one listener and a clock.
struct World {
    memory: ClientMemory,
    listener: ListenerId,
    now: Moment,
}

impl World {
    fn new() -> Self {
        let mut memory = ClientMemory::new(LIMIT);
        let listener = memory.add_listener();
        Self { memory, listener, now: Moment::ZERO }
    }

    fn pass(&mut self, millis: u64) {
        self.now = self.now.after(std::time::Duration::from_millis(millis));
    }

    fn connect(&mut self) -> Result<HolderId, MemoryFull> {
        Ok(self.memory.open(self.listener, CONNECTION, self.now)?.0)
    }

    /// Opens a connection and begins a request that holds `bytes`.
    fn request(&mut self, bytes: usize) -> Result<(HolderId, usize), MemoryFull> {
        let id = self.connect()?;
        if let Some(holder) = self.memory.holder_mut(id) {
            holder.begin_request(self.now);
        }
        let grown = self.memory.grow(id, bytes, self.now);
        if grown.is_err() {
            self.memory.close(id);
        }
        Ok((id, grown?.len()))
    }

    /// Sends large requests until one is refused, and returns those that fit.
    fn fill(&mut self) -> Vec<HolderId> {
        let ids: Vec<_> =
            std::iter::from_fn(|| self.request(LARGE).ok()).map(|(id, _)| id).collect();
        assert!(!ids.is_empty());
        ids
    }

    fn receive(&mut self, id: HolderId, bytes: usize) {
        if let Some(holder) = self.memory.holder_mut(id) {
            holder.receive(bytes, self.now);
        }
    }
}

// Large bodies take all memory, and ordinary requests and readiness checks are refused.
#[rstest]
fn small_requests_fit_beside_large_ones() {
    let mut world = World::new();
    world.fill();
    assert_eq!(world.request(LARGE), Err(MemoryFull));
    world.request(4 << 10).expect("a small request fits");
    while world.request(32 << 10).is_ok() {}
    world.connect().expect("a connection fits");
    assert!(world.memory.used() <= LIMIT);
}

// A crowd that stops short of the end of its bodies keeps out everybody until its deadlines.
#[rstest]
fn stalled_requests_make_room() {
    let mut world = World::new();
    let stalled = world.fill();
    world.pass(1_000);
    let (_, given_up) = world.request(LARGE).expect("a stalled request is given up");
    assert_eq!(given_up, 1);
    let left = stalled.iter().filter(|id| world.memory.holder_mut(**id).is_some()).count();
    assert_eq!(left, stalled.len() - 1);
    assert!(world.memory.used() <= LIMIT);
}

// Clients that send are disconnected for a crowd that arrives later.
#[rstest]
fn requests_in_progress_are_kept() {
    let mut world = World::new();
    let ids = world.fill();
    for _ in 0..4 {
        world.pass(500);
        for id in &ids {
            world.receive(*id, 16 << 10);
        }
    }
    assert_eq!(world.request(LARGE), Err(MemoryFull));
}

// A client that sends a byte now and then passes for one that makes progress.
#[rstest]
fn single_bytes_are_no_progress() {
    let mut world = World::new();
    let ids = world.fill();
    for _ in 0..10 {
        world.pass(100);
        for id in &ids {
            world.receive(*id, 1);
        }
    }
    world.request(LARGE).expect("a stalled request is given up");
}

// A request that may run is given up, and its refusal says that it has not run.
#[rstest]
fn received_requests_are_never_given_up() {
    let mut world = World::new();
    for id in world.fill() {
        if let Some(holder) = world.memory.holder_mut(id) {
            holder.begin_response();
        }
    }
    world.pass(60_000);
    assert_eq!(world.request(LARGE), Err(MemoryFull));
    assert_eq!(world.memory.give_up_longest_wait(world.listener, world.now), None);
}

// Memory of connections that are gone is counted for ever, and every later client is refused.
#[rstest]
fn nothing_is_counted_after_the_crowd_has_left() {
    let mut world = World::new();
    for id in world.fill() {
        world.memory.shrink(id, LARGE);
        // What was counted only in part can't be subtracted twice.
        world.memory.shrink(id, LARGE);
        world.memory.close(id);
        world.memory.close(id);
    }
    assert_eq!(world.memory.used(), 0);
}

// At the limit of connections, one is closed whose client is about to send.
#[rstest]
fn longest_silence_of_the_listener_goes_first() {
    let mut world = World::new();
    let other = world.memory.add_listener();
    let (elsewhere, _) =
        world.memory.open(other, CONNECTION, world.now).expect("an empty budget has room");
    world.pass(10);
    let first = world.connect().expect("room");
    world.pass(400);
    let second = world.connect().expect("room");
    assert_eq!(world.memory.give_up_longest_wait(world.listener, world.now), None);
    world.pass(300);
    assert_eq!(world.memory.give_up_longest_wait(world.listener, world.now), Some(first));
    assert!(world.memory.holder_mut(second).is_some());
    assert!(world.memory.holder_mut(elsewhere).is_some());
}
