//! The framing headers of a request's head, read as the bytes pass.

/// Bytes of a line that are kept: longer names than this have no meaning here, nor has what follows the name.
const MAX_LINE_START: usize = 32;

/// Whether a request's head has framing headers.
///
/// Failure: a request announces both a length and chunks. The HTTP library reads the chunks and hides the length, while
/// another server on the way may have used the length: the two would part the stream into other requests. Both headers
/// are therefore read here, from the bytes themselves.
#[derive(Default)]
pub(super) struct RequestHead {
    /// The beginning of the line that is being read, in lower case.
    line: Vec<u8>,
    /// Whether a line that is not empty has been read.
    has_begun: bool,
    /// Whether it has a `Content-Length`.
    pub(super) has_length: bool,
    /// Whether it has a `Transfer-Encoding`.
    pub(super) has_encoding: bool,
    /// Whether its last line has been read.
    pub(super) is_complete: bool,
}

impl RequestHead {
    /// Reads on, up to the end of the head.
    pub(super) fn read(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            if self.is_complete {
                return;
            }
            if byte == b'\n' {
                self.end_line();
            } else if self.line.len() < MAX_LINE_START {
                self.line.push(byte.to_ascii_lowercase());
            }
        }
    }

    fn end_line(&mut self) {
        self.has_length |= self.line.starts_with(b"content-length:");
        self.has_encoding |= self.line.starts_with(b"transfer-encoding:");
        let is_empty = self.line.is_empty() || self.line == b"\r";
        // Empty lines before a request are not the end of its head.
        self.is_complete = is_empty && self.has_begun;
        self.has_begun |= !is_empty;
        self.line.clear();
    }
}
