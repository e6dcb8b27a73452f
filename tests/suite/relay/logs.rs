//! Log lines when nobody reads them.

use std::io::{self, Write};
use std::sync::mpsc;

use nutmeggrade_relay::{LogBuffer, start_writer};

/// A reader that takes nothing until it is told to.
struct Stopped {
    go_on: mpsc::Receiver<()>,
}

impl Write for Stopped {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.go_on.recv().map_err(io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// Whoever reads standard output stops reading. Lines are dropped and counted; whoever writes them
// never waits, and the memory that they take is bounded.
#[test]
fn stopped_reader_holds_up_nobody() {
    let (go_on, stopped) = mpsc::channel();
    let logs = LogBuffer::new();
    start_writer(&logs, Stopped { go_on: stopped }).expect("a thread");
    let line = [b'x'; 200];
    let mut writer = logs.clone();
    for _ in 0..50_000 {
        assert_eq!(writer.write(&line).expect("a line is taken or dropped"), line.len());
    }
    let dropped = logs.dropped();
    assert!(dropped > 40_000, "{dropped}");
    drop(go_on);
}

// The process ends. What still waits is written first.
#[test]
fn last_lines_are_written() {
    let mut logs = LogBuffer::new();
    logs.write_all(b"last\n").expect("a line");
    let mut out = Vec::new();
    logs.drain(&mut out).expect("written");
    assert_eq!(out, b"last\n");
}
