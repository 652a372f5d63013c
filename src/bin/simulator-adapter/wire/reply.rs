//! Encodes replies: for each frame one, with the actions of its events in order.

use load_balancer::interface::Action;

/// Bytes of the length that stands before a reply's actions.
const LENGTH_BYTES: usize = 4;

/// A reply to which actions are added.
pub struct Reply {
    /// The length, 0 until the reply is finished, and the encoded actions.
    bytes: Vec<u8>,
}

impl Default for Reply {
    fn default() -> Self {
        Reply { bytes: vec![0; LENGTH_BYTES] }
    }
}

impl Reply {
    /// Adds the failure of an instance's decision code.
    pub fn push_failure(&mut self, instance: u16, text: &str) {
        self.push_header(10, instance);
        self.push_counted(text.as_bytes());
    }

    /// Adds an instance's action. Those that the simulator has no record for add nothing: it follows its own list, and
    /// the list guard, which asks for a resync, is off there.
    pub fn push(&mut self, instance: u16, action: &Action) {
        match action {
            Action::Send { request, backend, deadline_ms } => {
                self.push_header(1, instance);
                self.bytes.extend(request.to_le_bytes());
                self.bytes.extend(backend.to_le_bytes());
                self.bytes.extend(deadline_ms.to_le_bytes());
            }
            Action::Reject { request, retry_after_ms } => {
                self.push_header(2, instance);
                self.bytes.extend(request.to_le_bytes());
                self.bytes.extend(retry_after_ms.to_le_bytes());
            }
            Action::Fail { request } => {
                self.push_header(3, instance);
                self.bytes.extend(request.to_le_bytes());
            }
            Action::Cancel { request, attempt } => {
                self.push_header(4, instance);
                self.bytes.extend(request.to_le_bytes());
                self.bytes.push(*attempt);
            }
            Action::SetTimer { delay_ms, token } => {
                self.push_header(5, instance);
                self.bytes.extend(delay_ms.to_le_bytes());
                self.bytes.extend(token.to_le_bytes());
            }
            Action::CloseIdle { backend } => {
                self.push_header(7, instance);
                self.bytes.extend(backend.to_le_bytes());
            }
            Action::Watch { on } => {
                self.push_header(11, instance);
                self.bytes.push(u8::from(*on));
            }
            Action::Withdraw { .. } | Action::Resync => {}
        }
    }

    /// The reply's bytes, with its length before them.
    pub fn finish(mut self) -> Vec<u8> {
        let length = (self.bytes.len() - LENGTH_BYTES) as u32;
        self.bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        self.bytes
    }

    fn push_header(&mut self, code: u16, instance: u16) {
        self.bytes.extend(code.to_le_bytes());
        self.bytes.extend(instance.to_le_bytes());
    }

    /// Adds bytes after their count, cut to what the count can express.
    fn push_counted(&mut self, bytes: &[u8]) {
        let count = bytes.len().min(usize::from(u16::MAX));
        self.bytes.extend((count as u16).to_le_bytes());
        self.bytes.extend(&bytes[..count]);
    }
}
