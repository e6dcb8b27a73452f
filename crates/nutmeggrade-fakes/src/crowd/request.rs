//! What each client of a crowd sends.

/// How a body is framed and in which portions it is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// With a length, in one write.
    Whole,
    /// With a length, in writes of this many bytes.
    Pieces(usize),
    /// In chunks of this many bytes.
    Chunks(usize),
}

/// A request that every client of a crowd sends.
#[derive(Debug, Clone)]
pub struct CrowdRequest {
    head: String,
    framing: Framing,
    body: usize,
    sent: usize,
    text: Option<String>,
}

impl CrowdRequest {
    /// Creates a request with the lines of its head, each with its line end, and no body. The head is
    /// not completed.
    pub fn new(head: &str) -> Self {
        Self { head: head.to_owned(), framing: Framing::Whole, body: 0, sent: 0, text: None }
    }

    /// Adds a body, which completes the head.
    #[must_use]
    pub fn with_body(mut self, framing: Framing, bytes: usize) -> Self {
        let framing_header = match framing {
            Framing::Chunks(_) => "Transfer-Encoding: chunked".to_owned(),
            Framing::Whole | Framing::Pieces(_) => format!("Content-Length: {bytes}"),
        };
        self.head.extend([framing_header.as_str(), "\r\n\r\n"]);
        Self { framing, body: bytes, sent: bytes, ..self }
    }

    /// Adds a body with this text, which completes the head.
    #[must_use]
    pub fn with_text(self, text: &str) -> Self {
        let request = self.with_body(Framing::Whole, text.len());
        Self { text: Some(text.to_owned()), ..request }
    }

    /// Stops one byte before the end of the body and keeps the connection open.
    #[must_use]
    pub fn without_end(self) -> Self {
        Self { sent: self.body.saturating_sub(1), ..self }
    }

    /// Returns the writes in their order.
    pub fn writes(&self) -> impl Iterator<Item = Vec<u8>> {
        let (framing, sent) = (self.framing, self.sent);
        let portion = match framing {
            Framing::Whole => sent,
            Framing::Pieces(bytes) | Framing::Chunks(bytes) => bytes,
        };
        let portions = (0..sent).step_by(portion.max(1)).map(move |at| portion.min(sent - at));
        let ends = matches!(framing, Framing::Chunks(_)) && sent == self.body && sent > 0;
        let last = ends.then(|| b"0\r\n\r\n".to_vec());
        let body: Vec<Vec<u8>> = match &self.text {
            Some(text) => vec![text.clone().into_bytes()],
            None => Batches { portions, framing }.collect(),
        };
        std::iter::once(self.head.clone().into_bytes()).chain(body).chain(last)
    }
}

/// Joins small chunks into writes, so that a crowd needs little time to send them.
struct Batches<I> {
    portions: I,
    framing: Framing,
}

/// Size from which chunks are not joined further.
const BATCH_BYTES: usize = 16 << 10;

impl<I: Iterator<Item = usize>> Iterator for Batches<I> {
    type Item = Vec<u8>;

    fn next(&mut self) -> Option<Vec<u8>> {
        let mut bytes = Vec::new();
        for size in self.portions.by_ref() {
            if matches!(self.framing, Framing::Chunks(_)) {
                bytes.extend(format!("{size:x}\r\n").into_bytes());
                bytes.resize(bytes.len() + size, b'x');
                bytes.extend(b"\r\n");
                if bytes.len() < BATCH_BYTES {
                    continue;
                }
            } else {
                bytes.resize(size, b'x');
            }
            return Some(bytes);
        }
        (!bytes.is_empty()).then_some(bytes)
    }
}
