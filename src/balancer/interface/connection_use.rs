//! The use of the connections to backends, on which the proxy sends requests.

/// How many connections to backends there may be, and how many of them are taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Number of connections that there may be.
    pub most: u32,
    /// Number of those that a request may still take.
    pub free: u32,
    /// Number of those that are taken by responses whose attempts have ended.
    pub responses: u32,
}
