//! Tests that the list of a discovery agent that is available again is applied within the grace of a drain,
//! whatever happened to earlier calls.

use super::agent_rig::Agent;
use super::clock::{advance_until, with_stopped_clock};
use super::program::InProcessProxy;
use super::rig::{BackendControl, TestBackend, refusing_address, settings, within_deadline};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The test settings' `stopSendingWithin`, plus the protocol's tolerance on every limit.
const GRACE: Duration = Duration::from_millis(550);

/// The agent does not respond for a while and has a changed list afterwards. Calls that were made meanwhile are never
/// answered.
#[tokio::test(start_paused = true)]
async fn a_changed_list_is_applied_within_the_grace_after_an_outage_with_unanswered_calls() {
    with_stopped_clock(async {
        let control = Arc::new(BackendControl::default());
        let (a, b) = (TestBackend::start("a", &control).await, TestBackend::start("b", &control).await);
        let agent = Agent::start(vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
        let proxy = InProcessProxy::start(&agent.proxy_config(settings())).await;
        advance_until(agent.wait_until_list_held()).await;
        for (drains, serves) in [(&a, &b), (&b, &a)].into_iter().cycle().take(8) {
            agent.toggle_outage();
            let before = agent.calls().len();
            // The third call of the outage has just begun, so that its whole timeout is still ahead.
            advance_until(agent.wait_for_calls(before + 3)).await;
            agent.toggle_outage();
            let available_at = Instant::now();
            agent.set_list(vec![drains.endpoint_entry("DRAINING"), serves.endpoint_entry("SERVING")]);
            advance_until(agent.wait_until_list_held()).await;
            assert!(
                available_at.elapsed() < GRACE,
                "list applied {:?} after the agent was available",
                available_at.elapsed()
            );
            assert_eq!(advance_until(proxy.call("look")).await, (200, serves.name.into()));
        }
    })
    .await;
}

/// The agent refuses connections until the backoff has reached its maximum, and then listens.
#[tokio::test(start_paused = true)]
async fn an_agent_that_listens_after_a_long_outage_is_called_within_the_grace() {
    for outage_ms in (3000..4000).step_by(100) {
        with_stopped_clock(async {
            let control = Arc::new(BackendControl::default());
            let a = TestBackend::start("a", &control).await;
            let (reserved, agent_addr) = refusing_address();
            let mut config = Agent::start(Vec::new()).await.proxy_config(settings());
            config["discovery"] = agent_addr.to_string().into();
            let proxy = InProcessProxy::start(&config).await;
            advance_until(sleep(Duration::from_millis(outage_ms))).await;
            let available_at = Instant::now();
            let agent = Agent::from_listener(
                reserved.listen(64).expect("listen on the reserved port"),
                vec![a.endpoint_entry("SERVING")],
            );
            advance_until(within_deadline(agent.wait_until_list_held())).await;
            assert!(
                available_at.elapsed() < GRACE,
                "watch began {:?} after the agent was available",
                available_at.elapsed()
            );
            assert_eq!(advance_until(proxy.call("look")).await, (200, "a".into()));
        })
        .await;
    }
}
