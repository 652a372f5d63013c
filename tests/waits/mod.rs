//! Deadline for events that a test waits for.

use std::time::Duration;
use tokio::time::timeout;

/// Longest time that a test waits for one event.
pub const TEST_DEADLINE: Duration = Duration::from_secs(30);

/// Awaits a future and panics if it takes longer than [`TEST_DEADLINE`].
pub async fn within_deadline<T>(future: impl Future<Output = T>) -> T {
    timeout(TEST_DEADLINE, future).await.expect("future completes within the test deadline")
}
