//! What a process uses, as the kernel counts it.

use std::time::Duration;

use anyhow::Context;

/// Clock ticks a second in `/proc/<pid>/stat`, fixed by the kernel's interface.
const TICKS: u64 = 100;
/// Fields of `/proc/<pid>/stat` after the command's name, counted from its closing bracket.
const USER_TIME: usize = 11;

/// What a process uses.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time since its start.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub memory: u64,
    /// Threads.
    pub threads: u64,
}

impl Usage {
    /// Returns the processor time spent since an earlier reading.
    pub fn cpu_since(&self, before: &Self) -> Duration {
        self.cpu.saturating_sub(before.cpu)
    }

    /// Reads what a process uses now.
    pub fn read(pid: u32) -> anyhow::Result<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).context("read stat")?;
        let fields = stat.rsplit_once(')').context("stat has no name")?.1.split_whitespace();
        let times = fields.skip(USER_TIME).take(2).map(str::parse::<u64>);
        let ticks: u64 = times.collect::<Result<Vec<_>, _>>().context("times")?.iter().sum();
        let text = std::fs::read_to_string(format!("/proc/{pid}/status")).context("status")?;
        let number = |name: &str| {
            let line = text.lines().find_map(|l| l.strip_prefix(name));
            let number = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
            number.with_context(|| format!("no {name} in status"))
        };
        Ok(Self {
            cpu: Duration::from_millis(ticks * 1_000 / TICKS),
            memory: number("VmRSS:")? << 10,
            threads: number("Threads:")?,
        })
    }
}
