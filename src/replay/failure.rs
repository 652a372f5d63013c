//! The ways in which a call fails that the replay tells apart.

use super::Reply;

/// Each of them once; figures by kind of failure are kept in this order.
pub(super) const FAILURES: [Reply; 5] =
    [Reply::Error, Reply::Full, Reply::ConnectFailed, Reply::Reset, Reply::Timeout];
