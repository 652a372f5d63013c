//! Tests that lists of a discovery agent whose answers are late are applied in time, by the whole proxy.

use super::agent_rig::Agent;
use super::clock::{advance_until, with_stopped_clock};
use super::program::InProcessProxy;
use super::rig::{BackendControl, TestBackend, settings};
use rstest::rstest;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time after which the platform counts a change as delivered.
const DELIVERY_DEADLINE: Duration = Duration::from_secs(6);

/// Guards against review case 2: with every answer 1.2 s late, the proxy sent to a draining backend for ever.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_drain_is_applied_in_time_although_every_answer_of_discovery_is_late(
    #[values("automatic", "subscribe")] discovery_mode: &str,
    #[values(300, 1200, 1900)] lateness_ms: u64,
    #[values(50.0, 500.0)] drain_grace_ms: f64,
) {
    with_stopped_clock(async {
        let control = Arc::new(BackendControl::default());
        let (a, b) = (TestBackend::start("a", &control).await, TestBackend::start("b", &control).await);
        let agent = Agent::start(vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
        let mut settings = settings();
        settings["discovery"] = discovery_mode.into();
        settings["guarantees"]["askWithin"] = json!(10_000.0);
        settings["guarantees"]["stopSendingWithin"] = json!(drain_grace_ms);
        let proxy = InProcessProxy::start(&agent.proxy_config(settings)).await;
        advance_until(agent.wait_until_list_held()).await;
        agent.set_answer_delay(Duration::from_millis(lateness_ms));
        for (drains, serves) in [(&a, &b), (&b, &a)].into_iter().cycle().take(4) {
            advance_until(sleep(Duration::from_millis(3210))).await;
            let changed_at = Instant::now();
            agent.set_list(vec![drains.endpoint_entry("DRAINING"), serves.endpoint_entry("SERVING")]);
            advance_until(agent.wait_until_list_held()).await;
            assert!(changed_at.elapsed() < DELIVERY_DEADLINE, "applied {:?} after it", changed_at.elapsed());
            assert_eq!(advance_until(proxy.call("look")).await, (200, serves.name.into()));
        }
        let open = agent.max_open_connections();
        assert!(open <= 4, "{open} connections were open, three calls may be in flight and one closing");
    })
    .await;
}
