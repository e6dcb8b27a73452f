//! The log buffer when its reader stalls, and at the end of the process.

use std::io::{self, Write};
use std::sync::mpsc;

use nutmeggrade_relay::{LogBuffer, start_writer};

/// An output that blocks until its channel gets a message or is closed.
struct StalledOutput {
    resume: mpsc::Receiver<()>,
}

impl Write for StalledOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.resume.recv().map_err(io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// The reader of standard output stalls. Lines are dropped and counted, writers never block, and the
// memory of waiting lines is bounded.
#[test]
fn stopped_reader_holds_up_nobody() {
    let (resume, resumed) = mpsc::channel();
    let logs = LogBuffer::new();
    start_writer(&logs, StalledOutput { resume: resumed }).expect("start writer thread");
    let line = [b'x'; 200];
    let mut writer = logs.clone();
    for _ in 0..50_000 {
        assert_eq!(writer.write(&line).expect("buffer or drop a line"), line.len());
    }
    let dropped = logs.dropped();
    assert!(dropped > 40_000, "{dropped}");
    drop(resume);
}

// Lines that still wait when the process ends are written first.
#[test]
fn last_lines_are_written() {
    let mut logs = LogBuffer::new();
    logs.write_all(b"last\n").expect("buffer a line");
    let mut out = Vec::new();
    logs.drain(&mut out).expect("write lines");
    assert_eq!(out, b"last\n");
}
