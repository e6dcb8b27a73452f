//! Finds the ends of events in the bytes of a stream.

/// Finds the empty lines that end events. A line ends with a line feed, a carriage return, or both.
#[derive(Debug, Default)]
pub struct LineScanner {
    position: Position,
    last: LastByte,
    /// Whether the stream ends lines with a carriage return alone.
    has_lone_returns: bool,
}

/// Where the next byte belongs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Position {
    /// Before the first line of an event.
    #[default]
    BetweenEvents,
    /// At the start of a later line of an event.
    LineStart,
    /// Within a line of an event.
    InLine,
}

/// What the last byte was.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum LastByte {
    #[default]
    Other,
    /// A carriage return, of whose line end a line feed may still be a part.
    Return,
    /// The same, and the line end ends an event.
    EventReturn,
}

impl LineScanner {
    /// Returns the ends of the events that the bytes complete, as offsets in the buffer that holds
    /// the bytes from `offset` on.
    ///
    /// An event that ends with a carriage return is complete only with the next byte, unless the
    /// stream ends lines so: that byte may come much later.
    pub fn event_ends(&mut self, bytes: &[u8], offset: usize) -> Vec<usize> {
        let mut ends = Vec::new();
        for (at, byte) in (offset..).zip(bytes) {
            let last = std::mem::take(&mut self.last);
            let completes_line_end = last != LastByte::Other && *byte == b'\n';
            if last == LastByte::EventReturn {
                ends.push(if completes_line_end { at + 1 } else { at });
            }
            if completes_line_end {
                continue;
            }
            self.has_lone_returns |= last != LastByte::Other;
            match byte {
                b'\n' => {
                    if self.end_line() {
                        ends.push(at + 1);
                    }
                }
                b'\r' => {
                    let ends_event = self.end_line();
                    self.last = LastByte::Return;
                    if ends_event && self.has_lone_returns {
                        ends.push(at + 1);
                    } else if ends_event {
                        self.last = LastByte::EventReturn;
                    }
                }
                _ => self.position = Position::InLine,
            }
        }
        ends
    }

    /// Returns whether the last byte ended an event to which the next byte may still belong.
    pub fn is_end_pending(&self) -> bool {
        self.last == LastByte::EventReturn
    }

    /// Ends the current line; returns whether that ends an event.
    fn end_line(&mut self) -> bool {
        let ends_event = self.position == Position::LineStart;
        self.position = match self.position {
            Position::InLine => Position::LineStart,
            Position::BetweenEvents | Position::LineStart => Position::BetweenEvents,
        };
        ends_event
    }
}
