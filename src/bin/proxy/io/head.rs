//! A request's head, as far as this program looks at it.

/// A request's head as it comes in, read only for what the HTTP library settles by itself: told both a length and
/// chunks, it takes the chunks and hides the length. Others on the way may have taken the length.
#[derive(Default)]
pub(super) struct Head {
    line: Vec<u8>,
    begun: bool,
    pub(super) length: bool,
    pub(super) encoding: bool,
    pub(super) over: bool,
}

impl Head {
    pub(super) fn read(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            if self.over {
                return;
            }
            if byte != b'\n' {
                // Longer names than these mean nothing here, and nor does what follows the name.
                if self.line.len() < 32 {
                    self.line.push(byte.to_ascii_lowercase());
                }
                continue;
            }
            self.length |= self.line.starts_with(b"content-length:");
            self.encoding |= self.line.starts_with(b"transfer-encoding:");
            let empty = self.line.is_empty() || self.line == b"\r";
            // Empty lines before a request are passed over.
            self.over = empty && self.begun;
            self.begun |= !empty;
            self.line.clear();
        }
    }
}
