//! Watches of the endpoint list at one registry.

use super::agent_rig::{Agent, CallAction};
use super::client_rig::Client;
use super::clock::{advance_until, with_stopped_clock};
use super::{
    DELIVERY_DEADLINE, MAX_CALLS_IN_FLIGHT, Polling, change, list, settings, start_slow_agent,
    wait_until_actions_taken, wait_until_held,
};
use rstest::rstest;
use std::time::Duration;
use tokio::time::sleep;

/// Guards against review case 2: each call was given up before its late answer, so that no change was ever applied.
#[rstest]
#[tokio::test(start_paused = true)]
async fn changes_are_in_force_in_time_although_every_answer_is_late(
    #[values(300, 1200, 1900, 2500)] lateness_ms: u64,
    #[values(Polling::Pushed, Polling::ShortGrace, Polling::OnDemand, Polling::WithBackoff)] polling: Polling,
) {
    with_stopped_clock(async {
        let agent = Agent::start(list("a")).await;
        let client = Client::start(agent.addr, settings(polling));
        wait_until_held(&client, "a").await;
        agent.set_answer_delay(Duration::from_millis(lateness_ms));
        for (round, name) in ["b", "a"].into_iter().cycle().take(8).enumerate() {
            let elapsed = change(&agent, &client, name).await;
            assert!(elapsed < DELIVERY_DEADLINE, "change {round} was applied after {elapsed:?}");
            // Changes come at different times of a poll.
            advance_until(sleep(Duration::from_millis(170 * round as u64))).await;
        }
        assert!(
            agent.max_open_connections() <= MAX_CALLS_IN_FLIGHT,
            "{} connections were open",
            agent.max_open_connections()
        );
        assert_eq!(client.full_list_count(), 1 + 8, "the test registry answers changes with full lists");
    })
    .await;
}

/// Guards against hedges that load a registry only because it is slow: each call was followed by six more.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_slow_registry_gets_no_more_calls_than_a_prompt_one(
    #[values(300, 1200, 1900, 2500, 5000)] lateness_ms: u64,
    #[values(Polling::Pushed, Polling::ShortGrace, Polling::OnDemand, Polling::WithBackoff)] polling: Polling,
) {
    const MEASURED: Duration = Duration::from_secs(60);
    with_stopped_clock(async {
        let (prompt, slow) = (Agent::start(list("a")).await, Agent::start(list("a")).await);
        let clients = [&prompt, &slow].map(|agent| Client::start(agent.addr, settings(polling)));
        slow.set_answer_delay(Duration::from_millis(lateness_ms));
        for client in &clients {
            wait_until_held(client, "a").await;
        }
        let before = clients.each_ref().map(Client::call_count);
        advance_until(sleep(MEASURED)).await;
        let [prompt_calls, slow_calls] = [0, 1].map(|n| clients[n].call_count() - before[n]);
        assert!(slow_calls <= prompt_calls, "{slow_calls} calls, {prompt_calls} at a prompt registry");
        assert!(slow_calls > 0, "the list is still watched");
        assert!(slow.max_open_connections() <= MAX_CALLS_IN_FLIGHT);
    })
    .await;
}

/// Guards against a lateness that is learnt only from answers within the time limit: a later one would never be used.
#[rstest]
#[tokio::test(start_paused = true)]
async fn the_first_list_and_changes_are_used_however_late_they_are(
    #[values(1200, 4000, 6500, 10_000)] lateness_ms: u64,
    #[values(Polling::Pushed, Polling::OnDemand, Polling::WithBackoff)] polling: Polling,
) {
    const READY_WITHIN: Duration = Duration::from_secs(30);
    with_stopped_clock(async {
        let agent = start_slow_agent("a", Duration::from_millis(lateness_ms)).await;
        let client = Client::start(agent.addr, settings(polling));
        let first_list = change(&agent, &client, "b").await;
        assert!(first_list < READY_WITHIN, "the first list was applied after {first_list:?}");
        for name in ["a", "b"] {
            let elapsed = change(&agent, &client, name).await;
            assert!(elapsed < READY_WITHIN, "applied after {elapsed:?}");
        }
    })
    .await;
}

/// A watch that is never answered must be noticed also where every other answer is late, which a longer time limit alone
/// would prevent.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_watch_that_is_never_answered_is_replaced_in_time_at_a_slow_registry(
    #[values(0, 300, 1200, 1900)] lateness_ms: u64,
    #[values(Polling::Pushed, Polling::ShortGrace, Polling::OnDemand, Polling::WithBackoff)] polling: Polling,
    #[values(true, false)] is_slow_before: bool,
) {
    with_stopped_clock(async {
        let agent = Agent::start(list("a")).await;
        let client = Client::start(agent.addr, settings(polling));
        wait_until_held(&client, "a").await;
        if is_slow_before {
            agent.set_answer_delay(Duration::from_millis(lateness_ms));
            advance_until(sleep(Duration::from_secs(15))).await;
        }
        agent.enqueue([CallAction::NoAnswer]);
        advance_until(wait_until_actions_taken(&agent)).await;
        agent.set_answer_delay(Duration::from_millis(lateness_ms));
        let elapsed = change(&agent, &client, "b").await;
        assert!(elapsed < DELIVERY_DEADLINE, "applied after {elapsed:?}");
        assert!(agent.max_open_connections() <= MAX_CALLS_IN_FLIGHT);
    })
    .await;
}

/// A registry that comes back after an outage may be slow, as all clients call it then.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_change_is_in_force_in_time_after_an_outage_that_ends_with_late_answers(
    #[values(3, 8, 20)] outage_s: u64,
    #[values(0, 500, 1200, 1900)] lateness_ms: u64,
    #[values(Polling::Pushed, Polling::OnDemand)] polling: Polling,
) {
    with_stopped_clock(async {
        let agent = Agent::start(list("a")).await;
        let client = Client::start(agent.addr, settings(polling));
        wait_until_held(&client, "a").await;
        agent.toggle_outage();
        advance_until(sleep(Duration::from_secs(outage_s))).await;
        agent.set_answer_delay(Duration::from_millis(lateness_ms));
        agent.toggle_outage();
        let elapsed = change(&agent, &client, "b").await;
        assert!(elapsed < DELIVERY_DEADLINE, "applied after {elapsed:?}");
        assert!(agent.max_open_connections() <= MAX_CALLS_IN_FLIGHT);
    })
    .await;
}
