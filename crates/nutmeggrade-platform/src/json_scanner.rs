//! Finds the values of a JSON text without decoding them.

/// The text ends within a value, or a separator is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;

/// Finds the values of a JSON text without decoding them.
///
/// A value need not be valid: what is between its brackets or quotes is passed over. Nesting takes
/// no stack, and nothing is allocated.
#[derive(Debug, Clone)]
pub struct JsonScanner<'a> {
    text: &'a [u8],
    position: usize,
}

impl<'a> JsonScanner<'a> {
    /// Creates a scanner at the beginning of a text.
    pub const fn new(text: &'a [u8]) -> Self {
        Self { text, position: 0 }
    }

    /// Returns the next byte that is no white space.
    pub fn peek(&mut self) -> Option<u8> {
        while let Some(byte) = self.text.get(self.position) {
            if !byte.is_ascii_whitespace() {
                return Some(*byte);
            }
            self.position += 1;
        }
        None
    }

    /// Passes over the next byte if it is this one.
    pub fn take(&mut self, byte: u8) -> bool {
        let is_next = self.peek() == Some(byte);
        self.position += usize::from(is_next);
        is_next
    }

    /// Begins the next element of an array, or the next member of an object; returns whether there
    /// is one. `is_first` is set before the first call.
    ///
    /// # Errors
    ///
    /// Fails if neither a separator nor the end follows.
    pub fn begin_next(&mut self, end: u8, is_first: &mut bool) -> Result<bool, Malformed> {
        if self.take(end) {
            return Ok(false);
        }
        if *is_first {
            *is_first = false;
            return Ok(true);
        }
        if self.take(b',') { Ok(true) } else { Err(Malformed) }
    }

    /// Passes over the key of a member and returns it with its quotes.
    ///
    /// # Errors
    ///
    /// Fails if no key follows.
    pub fn key(&mut self) -> Result<&'a [u8], Malformed> {
        if self.peek() != Some(b'"') {
            return Err(Malformed);
        }
        let key = self.value()?;
        if self.take(b':') { Ok(key) } else { Err(Malformed) }
    }

    /// Passes over a value and returns its text.
    ///
    /// # Errors
    ///
    /// Fails if the text ends within the value, or if none follows.
    pub fn value(&mut self) -> Result<&'a [u8], Malformed> {
        let first = self.peek().ok_or(Malformed)?;
        let start = self.position;
        match first {
            b'"' => self.skip_string()?,
            b'{' | b'[' => self.skip_nested()?,
            _ => self.skip_literal(),
        }
        if self.position == start {
            return Err(Malformed);
        }
        Ok(&self.text[start..self.position])
    }

    fn skip_string(&mut self) -> Result<(), Malformed> {
        let rest = &self.text[self.position..];
        let mut index = 1;
        while let Some(byte) = rest.get(index) {
            match byte {
                b'"' => {
                    self.position += index + 1;
                    return Ok(());
                }
                b'\\' => index += 2,
                _ => index += 1,
            }
        }
        Err(Malformed)
    }

    fn skip_nested(&mut self) -> Result<(), Malformed> {
        let mut depth = 0_usize;
        while let Some(byte) = self.text.get(self.position) {
            match byte {
                b'"' => {
                    self.skip_string()?;
                    continue;
                }
                b'{' | b'[' => depth += 1,
                b'}' | b']' => depth -= 1,
                _ => {}
            }
            self.position += 1;
            if depth == 0 {
                return Ok(());
            }
        }
        Err(Malformed)
    }

    fn skip_literal(&mut self) {
        let rest = &self.text[self.position..];
        let is_end = |b: &u8| b.is_ascii_whitespace() || matches!(b, b',' | b':' | b']' | b'}');
        self.position += rest.iter().position(is_end).unwrap_or(rest.len());
    }
}

/// Returns the value of an object's member, the last one of several; `None` if there is none or if
/// the text is no object.
pub fn json_member<'a>(object: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let mut scanner = JsonScanner::new(object);
    if !scanner.take(b'{') {
        return None;
    }
    let (mut found, mut is_first) = (None, true);
    while scanner.begin_next(b'}', &mut is_first).ok()? {
        let key = scanner.key().ok()?;
        let value = scanner.value().ok()?;
        if key.get(1..key.len() - 1) == Some(name.as_bytes()) {
            found = Some(value);
        }
    }
    found
}
