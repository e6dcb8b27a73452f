//! Resource usage of a process, from `/proc`.

use std::time::Duration;

use anyhow::Context;

/// Unit of the times in `/proc/<pid>/stat`, fixed by the kernel's interface.
const TICKS_PER_SECOND: u64 = 100;
/// Index of the user time among the fields of `/proc/<pid>/stat` after the command name's closing
/// bracket; the system time follows it.
const USER_TIME_INDEX: usize = 11;

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time since the start of the process.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub memory: u64,
    /// Number of threads.
    pub threads: u64,
}

impl Usage {
    /// Returns the processor time used since an earlier reading.
    pub fn cpu_since(&self, before: &Self) -> Duration {
        self.cpu.saturating_sub(before.cpu)
    }

    /// Reads the current usage of a process.
    pub fn read(pid: u32) -> anyhow::Result<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).context("read stat")?;
        let fields = stat.rsplit_once(')').context("stat has no name")?.1.split_whitespace();
        let times = fields.skip(USER_TIME_INDEX).take(2).map(str::parse::<u64>);
        let ticks: u64 = times.collect::<Result<Vec<_>, _>>().context("times")?.iter().sum();
        let text = std::fs::read_to_string(format!("/proc/{pid}/status")).context("status")?;
        let number = |name: &str| {
            let line = text.lines().find_map(|l| l.strip_prefix(name));
            let number = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
            number.with_context(|| format!("no {name} in status"))
        };
        Ok(Self {
            cpu: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
            memory: number("VmRSS:")? << 10,
            threads: number("Threads:")?,
        })
    }
}
