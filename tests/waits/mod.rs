//! How long tests wait for what must come.

use std::time::Duration;
use tokio::time::timeout;

/// No test waits longer than this for what must come.
pub const TEST_DEADLINE: Duration = Duration::from_secs(30);

/// Waits for what must come.
pub async fn within_deadline<T>(what: impl Future<Output = T>) -> T {
    timeout(TEST_DEADLINE, what).await.expect("it comes")
}
