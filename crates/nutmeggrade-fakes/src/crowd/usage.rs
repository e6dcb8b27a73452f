//! Memory and descriptors of another process.

use anyhow::Context;

/// Returns the largest resident size that a process has had, in bytes.
///
/// # Errors
///
/// Fails if the process has ended.
pub fn peak_memory(process: u32) -> anyhow::Result<u64> {
    let path = format!("/proc/{process}/status");
    let text = std::fs::read_to_string(path).context("read the status of the process")?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|l| l.split_whitespace().next()).context("no VmHWM")?;
    Ok(kilobytes.parse::<u64>().context("VmHWM")? << 10)
}

/// Returns the number of descriptors that a process has open.
///
/// # Errors
///
/// Fails if the process has ended.
pub fn open_descriptors(process: u32) -> anyhow::Result<usize> {
    Ok(std::fs::read_dir(format!("/proc/{process}/fd")).context("list descriptors")?.count())
}
