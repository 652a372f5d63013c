//! Runs the decision module for the simulator: many balancer instances in one process, over the simulator's protocol.
//!
//! Reads frames of records from standard input and writes one reply for each to standard output. Input that can't be
//! decoded or handled ends the program with one line on standard error and a non-zero exit code; the frame that
//! contains it gets no reply.

#![forbid(unsafe_code)]
#![warn(clippy::cognitive_complexity)]

mod error;
mod wire;

use error::{Error, InstanceError};
use load_balancer::interface::{Action, Event};
use load_balancer::{Balancer, platform_settings};
use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use wire::{Decoder, Record, Reply};

/// Size of the buffer for standard input, in bytes.
const INPUT_BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to frames until the end of input.
fn serve() -> Result<(), Error> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut decoder = Decoder::default();
    let mut instances = Instances::default();
    while let Some(frame) = wire::read_frame(&mut input)? {
        let mut reply = Reply::default();
        decoder.decode(&frame, |record| instances.handle(frame.now_ms, record, &mut reply))?;
        output.write_all(&reply.finish()).and_then(|()| output.flush()).map_err(Error::WriteReply)?;
    }
    Ok(())
}

/// Balancer instances by their number on the simulator's wire.
#[derive(Default)]
struct Instances {
    balancers: HashMap<u16, Balancer>,
    /// Actions of the event that is being handled; kept between events to reuse its memory.
    actions: Vec<Action>,
}

impl Instances {
    /// Handles a record and appends the resulting actions to the reply.
    fn handle(&mut self, now_ms: f64, record: Record, reply: &mut Reply) -> Result<(), InstanceError> {
        match record {
            Record::Census => Ok(()),
            Record::Unused { instance } if self.balancers.contains_key(&instance) => Ok(()),
            Record::Unused { instance } => Err(InstanceError::Unknown(instance)),
            Record::Launch { instance, seed, facts } => self.launch(instance, seed, &facts),
            Record::Shutdown { instance } => {
                self.balancers.remove(&instance).map(drop).ok_or(InstanceError::Unknown(instance))
            }
            Record::Event { instance, event } => self.handle_event(now_ms, instance, event, reply),
        }
    }

    /// Starts an instance; one that already runs under this number is replaced.
    fn launch(&mut self, instance: u16, seed: u64, facts: &[u8]) -> Result<(), InstanceError> {
        let settings = platform_settings::parse(facts)?.settings;
        self.balancers.insert(instance, Balancer::new(settings, seed)?);
        Ok(())
    }

    /// Passes an event to its instance and appends the actions to the reply.
    ///
    /// Failure: a panic in the decision code of one instance would end the process that hosts all of them. The panic is
    /// caught and reported to the simulator as a failure of this instance.
    fn handle_event(
        &mut self,
        now_ms: f64,
        instance: u16,
        event: Event,
        reply: &mut Reply,
    ) -> Result<(), InstanceError> {
        let balancer = self.balancers.get_mut(&instance).ok_or(InstanceError::Unknown(instance))?;
        let actions = &mut self.actions;
        actions.clear();
        match catch_unwind(AssertUnwindSafe(|| balancer.handle(now_ms, event, actions))) {
            Ok(()) => self.actions.iter().for_each(|action| reply.push(instance, action)),
            Err(panic) => reply.push_failure(instance, panic_text(&*panic)),
        }
        Ok(())
    }
}

/// Returns the message of a panic, or a fixed text where the payload is no string.
fn panic_text(panic: &(dyn std::any::Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic without a text")
}
