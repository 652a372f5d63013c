//! A registry whose answers are 1.2 s late, as the proxy's other clients see it: the route table, reports, segments of
//! recorded traffic and the membership's registration all reach it, and their answers are used.

mod fault_relay;
mod registry_rig;
mod rig;
mod table_rig;
mod waits;

use fault_relay::Relay;
use load_balancer::replay::Segment;
use registry_rig::{Registry, data_dir};
use rig::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use table_rig::{StubRegistry, table_page};
use tokio::time::sleep;

const LATENESS: Duration = Duration::from_millis(1200);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

async fn start_slow_relay(target: SocketAddr) -> Relay {
    let relay = Relay::start(target).await;
    relay.set_answer_delay(LATENESS);
    relay
}

/// Waits until an operations page of the proxy fulfils a condition, and returns the page.
async fn wait_for_page(proxy: &ProxyProcess, name: &str, condition: impl Fn(&Value) -> bool) -> Value {
    within_deadline(async {
        loop {
            let answer = proxy.ops_call(name).await;
            let line = answer.lines().next().expect("the page has a line");
            let page = serde_json::from_str(line).expect("the page is JSON");
            if condition(&page) {
                return page;
            }
            sleep(POLL_INTERVAL).await;
        }
    })
    .await
}

/// Guards against tables that never arrive, and reports and segments that count as lost, at a slow registry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tables_are_applied_and_reports_and_segments_accepted_by_a_slow_registry() {
    let registry = StubRegistry::start(&table_page(3, &[("a", 0.0)])).await;
    let relay = start_slow_relay(registry.address).await;
    let fixture = start_fixture_with(settings(), |config| {
        config["ops"] = "127.0.0.1:0".into();
        config["routes"] = json!({"registries": [relay.address.to_string()], "name": "n0", "report_ms": 200});
        config["record"] = json!({"sampled": 1.0, "segment_ms": 1000});
    })
    .await;
    let mut client = fixture.proxy.connect_client().await;
    let calls = async {
        loop {
            assert_eq!(client.call("look").await.0, 200);
            sleep(POLL_INTERVAL).await;
        }
    };
    let applied = async {
        wait_for_page(&fixture.proxy, "routes", |page| page["revision"] == 3).await;
        registry.serve(table_page(4, &[("b", 0.0)]));
        wait_for_page(&fixture.proxy, "routes", |page| page["revision"] == 4).await;
        registry.wait_for_report(|report| report["revision"] == 4).await;
        let page =
            wait_for_page(&fixture.proxy, "routes", |page| page["reports"]["sent"].as_u64() >= Some(3)).await;
        assert_eq!((&page["reports"]["lost"], &page["error"]), (&json!(0), &Value::Null));
        registry.wait_for_segments(3).await
    };
    let segments = tokio::select! {
        segments = applied => segments,
        () = calls => unreachable!("the calls never end"),
    };
    let number = |bytes: &bytes::Bytes| Segment::decode(bytes).expect("the segment is valid").number;
    let numbers: Vec<u64> = segments.iter().map(number).collect();
    assert_eq!(numbers, Vec::from_iter(1..=numbers.len() as u64), "no segment is sent twice");
    let page = wait_for_page(&fixture.proxy, "record", |page| page["segments"].as_u64() >= Some(2)).await;
    assert_eq!(page["lost"], 0);
}

/// Guards against a registration whose list of the other proxies is given up before it arrives.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn proxies_find_each_other_through_a_slow_registry() {
    let registry = Registry::start(&data_dir("slow-membership"), &[]).await;
    let relay = start_slow_relay(registry.address).await;
    let mut proxies = Vec::new();
    for name in ["n0", "n1"] {
        let discovery = TestDiscovery::start(Vec::new()).await;
        let mut config = discovery.proxy_config(settings());
        config["ops"] = "127.0.0.1:0".into();
        let registries = [relay.address.to_string()];
        config["membership"] =
            json!({"bind": "127.0.0.1:0", "name": name, "cluster": "slow", "registries": registries});
        proxies.push(ProxyProcess::start_with_command(&config, "exec \"$0\"").await);
    }
    for (proxy, other) in proxies.iter().zip(["n1", "n0"]) {
        wait_for_page(proxy, "members", |page| {
            let members = page["members"].as_array().expect("the page lists members");
            members.iter().any(|member| member["name"] == other && member["standing"] == "alive")
        })
        .await;
    }
}
