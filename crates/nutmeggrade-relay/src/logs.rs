//! Buffers log lines and writes them to standard output.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Capacity of the buffer. At a hundred bytes a line it holds some thousands of lines, more than a
/// busy second produces, and is small beside an instance's memory.
const MAX_BUFFER_BYTES: usize = 512 << 10;
/// Interval between two writes. Lines are written in batches, since each write costs a system call.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Log lines that wait to be written.
///
/// The reader of standard output may stop reading. A process that writes its lines directly then
/// blocks in the middle of a request: all instances of a machine whose log collector hangs stop
/// serving. So a separate thread writes, and lines are dropped and counted when the buffer is full.
#[derive(Debug, Clone, Default)]
pub struct LogBuffer {
    lines: Arc<Mutex<Vec<u8>>>,
    dropped: Arc<AtomicU64>,
}

impl LogBuffer {
    /// Creates an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of dropped lines.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn lines(&self) -> MutexGuard<'_, Vec<u8>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self) -> Vec<u8> {
        std::mem::take(&mut *self.lines())
    }
}

impl Write for LogBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut lines = self.lines();
        if lines.len() + buf.len() > MAX_BUFFER_BYTES {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        } else {
            lines.extend_from_slice(buf);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts a thread that writes buffered lines to `out` until `out` fails.
///
/// # Errors
///
/// Fails if the thread can't be started.
pub fn start_writer<W: Write + Send + 'static>(buffer: &LogBuffer, mut out: W) -> io::Result<()> {
    let buffer = buffer.clone();
    let write = move || {
        loop {
            std::thread::sleep(WRITE_INTERVAL);
            let lines = buffer.take();
            // The reader is gone, so the failure can't be logged either.
            if !lines.is_empty() && out.write_all(&lines).and_then(|()| out.flush()).is_err() {
                return;
            }
        }
    };
    std::thread::Builder::new().name("logs".to_owned()).spawn(write).map(drop)
}

impl LogBuffer {
    /// Writes all buffered lines at once, before the process ends.
    ///
    /// # Errors
    ///
    /// Fails if `out` does.
    pub fn drain<W: Write>(&self, mut out: W) -> io::Result<()> {
        out.write_all(&self.take())?;
        out.flush()
    }
}
