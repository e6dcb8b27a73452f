//! What the kernel knows of the bytes that were written to a connection.

use std::io;
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

/// Time without an acknowledgement after which the peer of a connection counts as gone.
const MAX_SILENCE: Duration = Duration::from_secs(3);
/// Unanswered probes of a closed window after which the peer counts as gone. Peers limit the rate of
/// their answers, so that single probes may go unanswered.
const MAX_PROBES: u8 = 2;
/// Multiple of the interval between retransmissions to a peer whose window is closed within which an
/// answer has to come.
const CLOSED_WINDOW_INTERVALS: u32 = 2;

/// State of the bytes that were written to a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Transmission {
    /// Bytes that the peer has acknowledged since the connection was opened.
    pub acked_bytes: u64,
    /// Bytes that were not sent yet.
    pub unsent_bytes: u32,
    /// Packets that were sent and not acknowledged.
    pub in_flight: u32,
    /// Retransmissions since the peer last acknowledged new bytes.
    pub retransmits: u8,
    /// Probes of a closed window since the peer last sent anything.
    pub probes: u8,
    /// Bytes that the peer accepts.
    pub window: u32,
    /// Interval until the next retransmission.
    pub interval: Duration,
    /// Time since the last acknowledgement of any kind.
    pub since_ack: Duration,
}

impl Transmission {
    /// Reads the state of a TCP socket.
    ///
    /// # Errors
    ///
    /// Fails if the kernel doesn't tell.
    pub fn of(socket: &impl AsFd) -> io::Result<Self> {
        let info = tcp_info(socket)?;
        Ok(Self {
            acked_bytes: info.tcpi_bytes_acked,
            unsent_bytes: info.tcpi_notsent_bytes,
            in_flight: info.tcpi_unacked,
            retransmits: info.tcpi_retransmits,
            probes: info.tcpi_probes,
            window: info.tcpi_snd_wnd,
            interval: Duration::from_micros(info.tcpi_rto.into()),
            since_ack: Duration::from_millis(info.tcpi_last_ack_recv.into()),
        })
    }

    /// Returns whether bytes wait to be sent or acknowledged.
    pub const fn is_pending(&self) -> bool {
        self.unsent_bytes > 0 || self.in_flight > 0
    }

    /// Returns whether the peer acknowledges what it gets, as far as known by now.
    pub const fn is_answered(&self) -> bool {
        if self.in_flight == 0 {
            return self.probes < MAX_PROBES;
        }
        self.retransmits == 0 || self.window == 0
    }

    /// Returns whether the peer counts as gone, if bytes have been pending for the given time.
    ///
    /// A peer that reads slowly closes its window, and acknowledges the probes that it gets from then
    /// on. One that is gone acknowledges nothing.
    pub fn is_peer_gone(&self, pending_for: Duration) -> bool {
        let silence = self.since_ack.min(pending_for);
        if silence < MAX_SILENCE {
            return false;
        }
        // A peer without memory drops what is in flight, closes its window, and acknowledges each
        // retransmission. The interval between them grows beyond the time in which a peer is gone.
        let is_overdue = self.in_flight > 0
            && self.retransmits > 0
            && silence >= self.interval * CLOSED_WINDOW_INTERVALS;
        !self.is_answered() || is_overdue
    }
}

#[expect(unsafe_code, reason = "no library offers this socket option")]
fn tcp_info(socket: &impl AsFd) -> io::Result<libc::tcp_info> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = libc::socklen_t::try_from(size_of::<libc::tcp_info>()).unwrap_or_default();
    // SAFETY: the descriptor is borrowed, so it is open. The kernel writes at most `length` bytes, which is
    // the size of `info`.
    let result = unsafe {
        libc::getsockopt(
            socket.as_fd().as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length,
        )
    };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: all fields are integers, for which zeros are valid where an older kernel writes less.
    Ok(unsafe { info.assume_init() })
}
