//! What discovery's agent has at its return is known within the grace of a drain, whatever became of earlier calls.

use super::agent_rig::Agent;
use super::clock::{flowing, standing};
use super::program::Program;
use super::rig::{BackendControl, TestBackend, refusing_address, settings, within_deadline};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The rig's `stopSendingWithin`, and the protocol's slack on every limit.
const GRACE: Duration = Duration::from_millis(550);

/// The agent falls silent for a while and has news at its return. What it was asked meanwhile is never answered.
#[tokio::test(start_paused = true)]
async fn what_an_agent_has_at_its_return_is_known_within_the_grace_whatever_stays_unanswered() {
    standing(async {
        let orders = Arc::new(BackendControl::default());
        let (a, b) = (TestBackend::start("a", &orders).await, TestBackend::start("b", &orders).await);
        let agent = Agent::start(vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
        let program = Program::start(&agent.proxy_config(settings())).await;
        flowing(agent.wait_until_list_held()).await;
        for (drains, serves) in [(&a, &b), (&b, &a)].into_iter().cycle().take(8) {
            agent.toggle_outage();
            let before = agent.calls().len();
            // The third call of the outage has just begun: its time is before it.
            flowing(agent.wait_for_calls(before + 3)).await;
            agent.toggle_outage();
            let back = Instant::now();
            agent.set_list(vec![drains.endpoint_entry("DRAINING"), serves.endpoint_entry("SERVING")]);
            flowing(agent.wait_until_list_held()).await;
            assert!(back.elapsed() < GRACE, "known only {:?} after the return", back.elapsed());
            assert_eq!(flowing(program.call("look")).await, (200, serves.name.into()));
        }
    })
    .await;
}

/// The agent refuses for so long that pauses have grown to their longest, and then listens.
#[tokio::test(start_paused = true)]
async fn an_agent_that_refused_for_long_is_asked_within_the_grace_of_its_return() {
    for outage_ms in (3000..4000).step_by(100) {
        standing(async {
            let orders = Arc::new(BackendControl::default());
            let a = TestBackend::start("a", &orders).await;
            let (place, there) = refusing_address();
            let mut config = Agent::start(Vec::new()).await.proxy_config(settings());
            config["discovery"] = there.to_string().into();
            let program = Program::start(&config).await;
            flowing(sleep(Duration::from_millis(outage_ms))).await;
            let back = Instant::now();
            let agent = Agent::from_listener(
                place.listen(64).expect("it listens"),
                vec![a.endpoint_entry("SERVING")],
            );
            flowing(within_deadline(agent.wait_until_list_held())).await;
            assert!(back.elapsed() < GRACE, "held only {:?} after the return", back.elapsed());
            assert_eq!(flowing(program.call("look")).await, (200, "a".into()));
        })
        .await;
    }
}
