//! Detects the framing headers of a request's head as its bytes are read.

/// Most bytes of a line that are kept. Header names longer than this, and header values, are not needed here.
const MAX_LINE_START: usize = 32;

/// The framing headers found in a request's head.
///
/// A request may announce both a length and chunks. The HTTP library reads the chunks and hides the length, while
/// another server on the path may have used the length: the two would split the stream into different requests
/// (request smuggling). Both headers are therefore detected here in the raw bytes.
#[derive(Default)]
pub struct RequestHead {
    /// The beginning of the current line, in lower case.
    line: Vec<u8>,
    /// Whether a non-empty line has been read.
    has_begun: bool,
    /// Whether the head has a `Content-Length`.
    pub has_length: bool,
    /// The time for which the client waits, in milliseconds, if it can be read.
    pub client_timeout_ms: Option<u64>,
    /// The length that the head announces, if it can be read.
    pub content_length: Option<u64>,
    /// Whether the head has a `Transfer-Encoding`.
    pub has_encoding: bool,
    /// Whether the last line of the head has been read.
    pub is_complete: bool,
}

impl RequestHead {
    /// Processes the next bytes, up to the end of the head. Returns how many of them follow the head.
    pub fn read(&mut self, bytes: &[u8]) -> usize {
        for (index, &byte) in bytes.iter().enumerate() {
            if self.is_complete {
                return bytes.len() - index;
            }
            if byte == b'\n' {
                self.end_line();
            } else if self.line.len() < MAX_LINE_START {
                self.line.push(byte.to_ascii_lowercase());
            }
        }
        0
    }

    fn number_after(&self, name: &[u8]) -> Option<u64> {
        let value = self.line.strip_prefix(name)?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    }

    fn end_line(&mut self) {
        if self.line.starts_with(b"content-length:") {
            self.has_length = true;
            self.content_length = self.number_after(b"content-length:");
        }
        if self.line.starts_with(b"req-deadline-ms:") {
            self.client_timeout_ms = self.number_after(b"req-deadline-ms:");
        }
        self.has_encoding |= self.line.starts_with(b"transfer-encoding:");
        let is_empty = self.line.is_empty() || self.line == b"\r";
        // Empty lines before a request do not end its head.
        self.is_complete = is_empty && self.has_begun;
        self.has_begun |= !is_empty;
        self.line.clear();
    }
}
