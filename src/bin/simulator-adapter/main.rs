//! Runs the decision module for the simulator: many balancer instances in one process, on the simulator's wire.
//!
//! Frames of events come on standard input; each gets one reply on standard output. Input that cannot be decoded ends
//! the program with one line on standard error and a non-zero exit code, and the frame that it is in gets no reply.

#![forbid(unsafe_code)]
#![warn(clippy::cognitive_complexity)]

mod wire;

use load_balancer::interface::{Action, Event};
use load_balancer::{Balancer, platform_settings};
use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use wire::{Decoder, Record, Reply};

/// Bytes of the buffer for standard input.
const INPUT_BUFFER: usize = 1 << 16;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers frames until the end of input.
fn serve() -> Result<(), String> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut decoder = Decoder::default();
    let mut instances = Instances::default();
    while let Some(frame) = wire::read_frame(&mut input)? {
        let mut reply = Reply::default();
        decoder.decode(&frame, |record| instances.handle(frame.now_ms, record, &mut reply))?;
        let written = output.write_all(&reply.finish()).and_then(|()| output.flush());
        written.map_err(|error| format!("reply: {error}"))?;
    }
    Ok(())
}

/// The balancer instances by number.
#[derive(Default)]
struct Instances {
    balancers: HashMap<u16, Balancer>,
    /// Kept between events to reuse its memory.
    actions: Vec<Action>,
}

impl Instances {
    /// Handles a record and adds the actions that follow from it to the reply.
    fn handle(&mut self, now_ms: f64, record: Record, reply: &mut Reply) -> Result<(), String> {
        match record {
            Record::Census => Ok(()),
            Record::Unused { instance } if self.balancers.contains_key(&instance) => Ok(()),
            Record::Unused { instance } => Err(unknown(instance)),
            Record::Launch { instance, seed, facts } => self.launch(instance, seed, &facts),
            Record::Shutdown { instance } => {
                self.balancers.remove(&instance).map(drop).ok_or_else(|| unknown(instance))
            }
            Record::Event { instance, event } => self.handle_event(now_ms, instance, event, reply),
        }
    }

    fn launch(&mut self, instance: u16, seed: u64, facts: &[u8]) -> Result<(), String> {
        let settings = platform_settings::parse(facts).map_err(|error| error.to_string())?.settings;
        let balancer = Balancer::new(settings, seed).map_err(|error| error.to_string())?;
        self.balancers.insert(instance, balancer);
        Ok(())
    }

    /// Passes an event to its instance.
    ///
    /// Failure: the decision code of one instance panics, and the process that hosts them all ends. The panic is caught
    /// and reported to the simulator as this instance's failure.
    fn handle_event(
        &mut self,
        now_ms: f64,
        instance: u16,
        event: Event,
        reply: &mut Reply,
    ) -> Result<(), String> {
        let balancer = self.balancers.get_mut(&instance).ok_or_else(|| unknown(instance))?;
        let actions = &mut self.actions;
        actions.clear();
        match catch_unwind(AssertUnwindSafe(|| balancer.handle(now_ms, event, actions))) {
            Ok(()) => self.actions.iter().for_each(|action| reply.push(instance, action)),
            Err(panic) => reply.push_failure(instance, panic_text(&*panic)),
        }
        Ok(())
    }
}

fn unknown(instance: u16) -> String {
    format!("instance {instance} is unknown")
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic without a text")
}
