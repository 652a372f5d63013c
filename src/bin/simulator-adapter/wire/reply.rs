//! Encodes replies: one per frame, with the actions that its events caused, in order.

use load_balancer::interface::Action;

/// Size of the length field in front of a reply's actions, in bytes.
const LENGTH_BYTES: usize = 4;

/// Reply under construction.
pub struct Reply {
    /// Length field, which is 0 until [`Reply::finish`], followed by the encoded actions.
    bytes: Vec<u8>,
}

impl Default for Reply {
    fn default() -> Self {
        Reply { bytes: vec![0; LENGTH_BYTES] }
    }
}

impl Reply {
    /// Appends a failure of an instance's decision code.
    pub fn push_failure(&mut self, instance: u16, text: &str) {
        self.push_header(10, instance);
        self.push_counted(text.as_bytes());
    }

    /// Appends an action of an instance. Withdrawals and resyncs, for which the simulator has no record, are left out:
    /// the simulator follows its own list, and the list guard, which requests resyncs, is off there.
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

    /// Returns the encoded reply, which starts with its length.
    pub fn finish(mut self) -> Vec<u8> {
        let length = (self.bytes.len() - LENGTH_BYTES) as u32;
        self.bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        self.bytes
    }

    fn push_header(&mut self, code: u16, instance: u16) {
        self.bytes.extend(code.to_le_bytes());
        self.bytes.extend(instance.to_le_bytes());
    }

    /// Appends a 16-bit count and the bytes, truncated to the largest count.
    fn push_counted(&mut self, bytes: &[u8]) {
        let count = bytes.len().min(usize::from(u16::MAX));
        self.bytes.extend((count as u16).to_le_bytes());
        self.bytes.extend(&bytes[..count]);
    }
}
