//! Idle clients fill the descriptors while discovery is away: the connections to it and to the backends still come up.

mod agent_rig;
mod rig;
mod waits;

use agent_rig::Agent;
use rig::{
    BackendControl, ProxyProcess, TestBackend, accept_queue_len, refusing_address, settings, within_deadline,
};
use rstest::rstest;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A change counts as told so long after discovery had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);

/// Calls to discovery that may be out at once, or on their way out.
const DISCOVERY: usize = 3;

/// More clients than any case has places for.
const MOST_CLIENTS: usize = 2048;

/// Discovery refuses at first. Some clients have had an answer and rest, the others never say a word and come until the
/// program takes nobody more. The system allows as many descriptors as the configuration has, or fewer.
#[rstest]
#[case::many(512, 512)]
#[case::few(256, 256)]
#[case::least(64, 64)]
#[case::fewer_allowed(1024, 128)]
#[tokio::test]
async fn idle_clients_keep_neither_discovery_nor_a_backend_away(
    #[case] sockets: usize,
    #[case] allowed: usize,
) {
    let orders = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &orders).await;
    let (place, there) = refusing_address();
    let mut config = Agent::start(Vec::new()).await.proxy_config(settings());
    config["discovery"] = there.to_string().into();
    config["limits"]["sockets"] = sockets.into();
    let mut proxy =
        ProxyProcess::start_with_command(&config, &format!("ulimit -n {allowed}; exec \"$0\"")).await;
    proxy.wait_for_log("Connection refused").await;
    let (mut resting, mut silent) = (Vec::new(), Vec::new());
    let ready = || hyper::Request::get("/health/ready").header("host", "p").body(Default::default());
    for _ in 0..allowed / 4 {
        let mut caller = proxy.connect_client().await;
        assert_eq!(caller.send(ready().expect("well formed")).await.0, 503);
        resting.push(caller);
    }
    within_deadline(async {
        while !proxy.has_stopped_accepting() {
            // Where nobody waits, some may have been closed for want of a word.
            let come = if accept_queue_len(proxy.addr) == 0 { allowed } else { 0 };
            for _ in 0..come {
                silent.push(TcpStream::connect(proxy.addr).await.expect("the queue takes it"));
            }
            silent.drain(..silent.len().saturating_sub(MOST_CLIENTS));
        }
    })
    .await;
    // Clients hold all that is theirs: the backends have no more than the other half, and discovery what it needs.
    let held = proxy.descriptors();
    assert!((allowed / 2..=allowed - allowed / 8 - DISCOVERY).contains(&held), "{held} descriptors");
    let back = Instant::now();
    let agent =
        Agent::from_listener(place.listen(64).expect("it listens"), vec![a.endpoint_entry("SERVING")]);
    // How soon it is asked, `paused::returns` judges on the program's own clock: no call may fail in another way first.
    agent.wait_until_list_held().await;
    let log = proxy.log_until("answers after failed calls; received the full list").await;
    assert!(log.iter().all(|line| !line.contains("discovery") || line.contains("answers")), "{log:?}");
    assert!(proxy.descriptors() <= allowed);
    // A caller that is there already is served; it may have been closed to make room, and then comes again.
    let served = async { while proxy.call("look").await != (200, "a".into()) {} };
    timeout(TOLD, served).await.expect("served in time");
    assert!(back.elapsed() < TOLD);
    drop((resting, silent));
}
