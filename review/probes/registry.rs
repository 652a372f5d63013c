//! Not cases: two probes of the registry, which show what was found by reading. `double-start`: the registry is started a
//! second time beside the first; `snapshot-kill`: it is killed between a snapshot's rename and the cut of its log. Exits
//! with 1 if something that was answered as stored is gone after a restart, 0 if not, 2 if the probe could not run.

#[path = "../common.rs"]
#[allow(unused)]
mod common;

use common::{Client, free_address, ms};
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

fn main() {
    let which = std::env::args().nth(1).unwrap_or_default();
    let folder = std::env::temp_dir().join(format!("review-probe-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let result = match which.as_str() {
        "double-start" => double_start(&folder),
        "snapshot-kill" => snapshot_kill(&folder),
        _ => Err("double-start or snapshot-kill?".into()),
    };
    let _ = std::fs::remove_dir_all(&folder);
    match result {
        Ok(lost) => std::process::exit(i32::from(lost)),
        Err(why) => {
            println!("could not run: {why}");
            std::process::exit(2)
        }
    }
}

/// A registry that is killed when it is dropped.
struct Registry(Child);

impl Drop for Registry {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn spawn(address: SocketAddr, data: &Path, config: &Path) -> Result<Child, String> {
    Command::new("target/release/registry")
        .arg("--listen")
        .arg(address.to_string())
        .arg("--data")
        .arg(data)
        .arg("--config")
        .arg(config)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .map_err(|e| e.to_string())
}

fn start(address: SocketAddr, data: &Path, config: &Path) -> Result<Registry, String> {
    let registry = Registry(spawn(address, data, config)?);
    let began = Instant::now();
    while Client::connect(address).is_err() {
        if began.elapsed() > Duration::from_secs(10) {
            return Err("the registry does not listen".into());
        }
        thread::sleep(ms(10));
    }
    Ok(registry)
}

fn entry(name: &str, share: u64) -> String {
    format!("{{\"host\":\"{name}\",\"dial\":\"127.0.0.1:9000\",\"site\":\"local\",\"health\":\"SERVING\",\"share\":{share}.0}}")
}

fn put(address: SocketAddr, ttl_ms: u64, entries: &[String]) -> Result<(), String> {
    let body = format!("{{\"ttl_ms\":{ttl_ms},\"hosts\":[{}]}}", entries.join(","));
    let head = format!(
        "PUT /registry/instances HTTP/1.1\r\nHost: r\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut client = Client::connect(address).map_err(|e| e.to_string())?;
    let seen = client.call(&head, body.as_bytes(), ms(5000));
    if seen.status == Some(200) { Ok(()) } else { Err(format!("{:?}", seen.status)) }
}

fn is_listed(address: SocketAddr, name: &str) -> Result<bool, String> {
    let mut client = Client::connect(address).map_err(|e| e.to_string())?;
    let seen = client.call("GET /registry/instances HTTP/1.1\r\nHost: r\r\n\r\n", b"", ms(5000));
    Ok(String::from_utf8_lossy(&seen.body).contains(&format!("\"{name}\"")))
}

/// The second start ends at once, since the address is taken, but has written its start record into the log of the first.
fn double_start(folder: &Path) -> Result<bool, String> {
    let (address, data, config) = (free_address(), folder.join("data"), folder.join("config.toml"));
    std::fs::write(&config, "").map_err(|e| e.to_string())?;
    let first = start(address, &data, &config)?;
    put(address, 600_000, &[entry("before", 1)])?;
    let second = spawn(address, &data, &config)?.wait().map_err(|e| e.to_string())?;
    println!("the second start ended: {second}");
    put(address, 600_000, &[entry("after-1", 1)])?;
    put(address, 600_000, &[entry("after-2", 1)])?;
    println!("the first one has answered 200 to after-1 and after-2; it is killed and started again");
    drop(first);
    let _again = start(address, &data, &config)?;
    let mut lost = false;
    for name in ["before", "after-1", "after-2"] {
        let listed = is_listed(address, name)?;
        println!("{name}: {}", if listed { "listed" } else { "LOST" });
        lost |= !listed;
    }
    Ok(lost)
}

/// An entry is renewed with a TTL of 1 s, then changed with a TTL of 60 s; a later write makes a snapshot due.
fn snapshot_kill(folder: &Path) -> Result<bool, String> {
    const EVERY: u64 = 200;
    let (address, data, config) = (free_address(), folder.join("data"), folder.join("config.toml"));
    std::fs::write(&config, format!("snapshot_every = {EVERY}\n")).map_err(|e| e.to_string())?;
    let others = |share| (0..EVERY).map(|n| entry(&format!("other-{n}"), share)).collect::<Vec<_>>();
    let snapshot: PathBuf = data.join("snapshot");
    let mut lost = 0;
    for round in 1..=5 {
        let mut registry = start(address, &data, &config)?;
        put(address, 600_000, &others(3 * round))?;
        put(address, 60_000, &[entry("web", 3 * round)])?;
        put(address, 1_000, &[entry("web", 3 * round)])?;
        put(address, 60_000, &[entry("web", 3 * round + 1)])?;
        let before = std::fs::metadata(&snapshot).map_err(|e| e.to_string())?.ino();
        let writer = {
            let entries = others(3 * round + 1);
            thread::spawn(move || put(address, 600_000, &entries))
        };
        let began = Instant::now();
        while std::fs::metadata(&snapshot).map_or(true, |found| found.ino() == before) {
            if began.elapsed() > Duration::from_secs(5) {
                return Err("no snapshot was written".into());
            }
        }
        let _ = registry.0.kill();
        let _ = writer.join();
        drop(registry);
        let in_window = std::fs::metadata(data.join("log")).map_or(0, |log| log.len()) > 0;
        let registry = start(address, &data, &config)?;
        thread::sleep(ms(2500));
        let listed = is_listed(address, "web")?;
        println!(
            "round {round}: killed {} the cut of the log; 2.5 s after the restart the entry of 60 s is {}",
            if in_window { "before" } else { "after" },
            if listed { "listed" } else { "GONE" }
        );
        lost += u32::from(!listed);
        drop(registry);
    }
    Ok(lost > 0)
}
