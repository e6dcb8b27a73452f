//! Log lines on their way to standard output.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Most bytes of lines that wait. At a hundred bytes a line this is some thousands of lines, more
/// than a busy second makes, and little beside an instance's memory.
const MOST: usize = 512 << 10;
/// Time between two writes. Lines are written together, since each write costs a system call.
const PERIOD: Duration = Duration::from_millis(200);

/// Log lines that wait to be written.
///
/// Whoever reads standard output may stop reading. A process that writes its lines there itself then
/// stands still in the middle of a request, and one notices that all instances of a machine whose
/// log collector hangs stop serving. Here a thread of its own writes; when the buffer is full, lines
/// are dropped and counted.
#[derive(Debug, Clone, Default)]
pub struct LogBuffer {
    lines: Arc<Mutex<Vec<u8>>>,
    dropped: Arc<AtomicU64>,
}

impl LogBuffer {
    /// Makes an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many lines were dropped.
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
        if lines.len() + buf.len() > MOST {
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

/// Writes waiting lines to `out` from a thread of its own until `out` fails.
///
/// # Errors
///
/// Fails if the thread can't be started.
pub fn start_writer<W: Write + Send + 'static>(buffer: &LogBuffer, mut out: W) -> io::Result<()> {
    let buffer = buffer.clone();
    let write = move || {
        loop {
            std::thread::sleep(PERIOD);
            let lines = buffer.take();
            // Nobody reads any more; there is nowhere left to say so.
            if !lines.is_empty() && out.write_all(&lines).and_then(|()| out.flush()).is_err() {
                return;
            }
        }
    };
    std::thread::Builder::new().name("logs".to_owned()).spawn(write).map(drop)
}

impl LogBuffer {
    /// Writes what waits at once, before the process ends.
    ///
    /// # Errors
    ///
    /// Fails as `out` does.
    pub fn drain<W: Write>(&self, mut out: W) -> io::Result<()> {
        out.write_all(&self.take())?;
        out.flush()
    }
}
