//! Measures what knowing the fleet costs one instance at three sizes of the fleet:
//! `cargo run --release --example fleet_cost`.
//!
//! The last column is the processor time of a second in which each peer's heartbeats and changes come at
//! the rates that the fleet's own rules give.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use nutmeggrade_core::peer::{
    Contacts, FleetBeacon, FleetMessage, InstanceAddresses, InstanceLoad, Introduction, Revisions,
    open, seal,
};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::PlacedLoad;
use nutmeggrade_policy::dispatch::LoadTable;
use nutmeggrade_state::fleet_view::{FleetView, HEARTBEAT_INTERVAL, RelayOrder};

/// Instances of a fleet.
const SIZES: [u32; 3] = [30, 100, 300];
/// Failure domains.
const DOMAINS: u32 = 5;
/// Rounds over which each cost is averaged.
const ROUNDS: u32 = 2_000;
/// Engines at which each instance has work.
const PLACES: u32 = 2;
/// Looks at the fleet in a second.
const LOOKS: f64 = 10.0;
/// Changes of placed work that an instance makes in a second.
const CHANGES: f64 = 1.3;
const KEY: [u8; 32] = [7; 32];

fn name(number: u32) -> anyhow::Result<InstanceId> {
    Ok(InstanceId::new(&format!("instance-{number}"))?)
}

fn addresses(number: u32) -> anyhow::Result<InstanceAddresses> {
    let [_, _, high, low] = number.to_be_bytes();
    let at = |port| SocketAddr::from(([10, 0, high, low], port));
    let domain = DomainId::new(&format!("domain-{}", number % DOMAINS))?;
    Ok(InstanceAddresses { domain, client: at(80), beacon: at(90), control: at(70) })
}

fn placed(number: u32) -> anyhow::Result<BTreeMap<EndpointId, PlacedLoad>> {
    let one = PlacedLoad { requests: 1, memory: 3_500, reading: 0, moving: 0 };
    let place = |n| Ok((EndpointId::new(&format!("engine-{}", (number * 7 + n) % 97))?, one));
    (0..PLACES).map(place).collect()
}

fn beacon(number: u32, sequence: u64) -> anyhow::Result<FleetBeacon> {
    let introduction = Introduction { sender: addresses(number)?, contacts: Contacts::new() };
    Ok(FleetBeacon {
        instance: name(number)?,
        incarnation: 1,
        sequence,
        introduction: (sequence == 1).then_some(introduction),
        leaving: false,
        reads: true,
        revisions: Revisions::default(),
        placed: placed(number)?,
        rollouts: Vec::new(),
    })
}

/// What one instance of a fleet knows.
struct Known {
    view: FleetView,
    load_table: LoadTable,
    size: u32,
    now: Moment,
}

impl Known {
    fn new(size: u32) -> anyhow::Result<Self> {
        let view = FleetView::new(&name(0)?, &addresses(0)?, &[]);
        let now = Moment::from_millis(60_000);
        let mut known = Self { view, load_table: LoadTable::new(), size, now };
        for number in 1..size {
            known.receive_heartbeat(&beacon(number, 1)?);
        }
        Ok(known)
    }

    fn receive_heartbeat(&mut self, beacon: &FleetBeacon) {
        if self.view.receive_heartbeat(beacon, self.now) {
            self.load_table.set_peer(&beacon.instance, &beacon.placed);
        }
    }

    /// Returns the mean time of a heartbeat from its datagram to the tables, in microseconds.
    fn heartbeat(&mut self) -> anyhow::Result<f64> {
        let frame = |round| {
            let number = 1 + round % (self.size - 1);
            Ok(seal(&FleetMessage::Beacon(beacon(number, u64::from(round) + 2)?), &KEY)
                .unwrap_or_default())
        };
        let frames: Vec<Vec<u8>> = (0..ROUNDS).map(frame).collect::<anyhow::Result<_>>()?;
        let began = Instant::now();
        for frame in &frames {
            if let Ok(FleetMessage::Beacon(beacon)) = open(frame, &KEY) {
                self.receive_heartbeat(&beacon);
            }
        }
        Ok(mean(began))
    }

    /// Returns the mean time of a peer's change of placed work, in microseconds.
    fn change(&mut self) -> anyhow::Result<f64> {
        let change = |round| {
            let number = 1 + round % (self.size - 1);
            let placed = InstanceLoad { instance: name(number)?, placed: placed(number)? };
            Ok(seal(&FleetMessage::Placed(vec![placed]), &KEY).unwrap_or_default())
        };
        let frames: Vec<Vec<u8>> = (0..ROUNDS).map(change).collect::<anyhow::Result<_>>()?;
        let began = Instant::now();
        for frame in &frames {
            if let Ok(FleetMessage::Placed(all)) = open(frame, &KEY) {
                for InstanceLoad { instance, placed } in all {
                    self.load_table.change_peer(&instance, &placed);
                }
            }
        }
        Ok(mean(began))
    }

    /// Returns the mean time of a regular look at who lives, in microseconds.
    fn look(&mut self) -> f64 {
        let began = Instant::now();
        for _ in 0..ROUNDS {
            self.view.remove_silent(self.now);
            let live: Vec<&InstanceId> = self.view.live(self.now).collect();
            black_box((
                live.len(),
                self.view.instance_count(self.now),
                self.view.is_reader(self.now),
            ));
        }
        mean(began)
    }

    /// Returns heartbeats that an instance sends in a second, and as many come.
    fn heartbeats(&mut self) -> f64 {
        self.view.targets().len() as f64 / HEARTBEAT_INTERVAL.as_secs_f64()
    }

    /// Returns the mean time in which it is worked out who gets a message, in microseconds.
    fn audience(&self) -> f64 {
        let began = Instant::now();
        for _ in 0..ROUNDS {
            black_box(self.view.broadcast_recipients(RelayOrder::Common, self.now));
        }
        mean(began)
    }
}

fn mean(began: Instant) -> f64 {
    began.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn main() -> anyhow::Result<()> {
    println!("| instances | heartbeat, µs | change, µs | look, µs | audience, µs | of a core |");
    println!("|---|---|---|---|---|---|");
    for size in SIZES {
        let mut known = Known::new(size)?;
        let (heartbeat, change) = (known.heartbeat()?, known.change()?);
        let (look, audience) = (known.look(), known.audience());
        let second = heartbeat * known.heartbeats()
            + change * CHANGES * f64::from(size)
            + look * LOOKS
            + audience * CHANGES;
        println!(
            "| {size} | {heartbeat:.1} | {change:.1} | {look:.1} | {audience:.1} | {:.3}% |",
            second / 1e4
        );
    }
    Ok(())
}
