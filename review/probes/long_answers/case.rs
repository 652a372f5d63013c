//! Backends give long answers slowly, in small pieces. The proxy may not cut off what a backend still gives.

#[path = "../../common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// Length of an answer, in bytes: more than 64 KiB.
const LENGTH: usize = 300_000;
/// What a backend gives at once.
const AT_ONCE: usize = 100_000;
/// The rest comes in such pieces, at 64 kB a second.
const PIECE: usize = 8_000;
const PIECE_EVERY_MS: u64 = 125;
const DEADLINE_MS: u64 = 2_000;
const CLIENTS: usize = 4;
const CALLS: usize = 4;

/// How far a backend came with an answer.
#[derive(Clone)]
struct Given {
    bytes: usize,
    refused: Option<String>,
}

fn main() {
    main_of(case)
}

fn case(stage: &Stage) -> Result<bool, String> {
    let given: Arc<Mutex<HashMap<String, Given>>> = Arc::default();
    let mut hosts = Vec::new();
    for (n, zone) in ZONES.iter().enumerate() {
        let given = given.clone();
        let trouble = stage.trouble;
        let address = start_backend(move |stream, request| {
            thread::sleep(ms(50));
            let body = vec![b'p'; LENGTH];
            let message = answer("200 OK", &body);
            let head = message.len() - LENGTH;
            let first = if trouble { head + AT_ONCE } else { message.len() };
            let mut sent = 0;
            let mut refused = None;
            for piece in std::iter::once(&message[..first]).chain(message[first..].chunks(PIECE)) {
                if sent > 0 {
                    thread::sleep(ms(PIECE_EVERY_MS));
                }
                if let Err(error) = stream.write_all(piece) {
                    refused = Some(format!("{:?}", error.kind()));
                    break;
                }
                sent += piece.len();
            }
            let bytes = sent.saturating_sub(head);
            let whole = refused.is_none();
            given.lock().unwrap().insert(request.id(), Given { bytes, refused });
            whole
        });
        hosts.push(Host {
            name: format!("s-{n}"),
            address,
            zone: zone.to_string(),
            cell: n as u16,
            health: "SERVING",
        });
    }
    let discovery = Discovery::start(hosts);
    let proxy = stage.start_proxy(&ProxyConfig {
        name: "n1".into(),
        discovery: discovery.address,
        settings: addis_settings(0, 1),
        known: discovery.known(),
    })?;
    thread::sleep(ms(500));

    let cut = Mutex::new(0_u64);
    let whole = Mutex::new(0_u64);
    let other = Mutex::new(0_u64);
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (cut, whole, other, given) = (&cut, &whole, &other, &given);
            scope.spawn(move || {
                for call in 0..CALLS {
                    let id = format!("{client:02}{call:02}{:012x}", stage.number());
                    let Ok(mut connection) = Client::connect(proxy.address) else { continue };
                    let began = Instant::now();
                    // The client waits on for as long as bytes come.
                    let head = post("page-save", &id, TENANTS[client], DEADLINE_MS, 4);
                    let seen = connection.call(&head, b"page", ms(5000));
                    let ended = began.elapsed();
                    // What the backend gave until its connection ended is known soon after.
                    let known = Instant::now();
                    while !given.lock().unwrap().contains_key(&id) && known.elapsed() < ms(3000) {
                        thread::sleep(ms(20));
                    }
                    let backend = given.lock().unwrap().get(&id).cloned();
                    let in_time = seen.first_byte.is_some_and(|first| first < ms(DEADLINE_MS));
                    stage.note(&format!(
                        "request {id}: status {:?}, first bytes after {:?}, {} of {:?} bytes, {}, after {:.3} s; the \
                         backend {}",
                        seen.status,
                        seen.first_byte,
                        seen.body.len(),
                        seen.announced,
                        seen.error.clone().map_or("whole".into(), |error| format!("CUT OFF ({error})")),
                        ended.as_secs_f64(),
                        backend.as_ref().map_or("had not ended".into(), |backend| match &backend.refused {
                            Some(why) => format!("gave {} bytes, then its connection was ended ({why})", backend.bytes),
                            None => format!("gave all {} bytes", backend.bytes),
                        })
                    ));
                    let counter = match (seen.status, seen.whole) {
                        (Some(200), true) => whole,
                        (Some(200), false) if in_time => cut,
                        _ => other,
                    };
                    *counter.lock().unwrap() += 1;
                }
            });
        }
    });
    stage.note_log(&proxy);
    let (cut, whole, other) = (*cut.lock().unwrap(), *whole.lock().unwrap(), *other.lock().unwrap());
    stage.note(&format!("{whole} answers came whole, {cut} were CUT OFF, {other} calls were refused or failed"));
    println!("{whole} answers came whole, {cut} were cut off, {other} calls were refused or failed");
    if !stage.all_run() {
        return Err("the proxy has ended".into());
    }
    if cut + whole < 8 {
        return Err("too little was served for a judgement".into());
    }
    Ok(cut == 0)
}
