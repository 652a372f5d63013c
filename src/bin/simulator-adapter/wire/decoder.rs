//! Decodes records, one function for each, and keeps the numbered endpoint lists that they refer to.
//!
//! The names in errors are those of the simulator's fields. Every field is read, also one that no decision needs, so
//! that a malformed record is an error and the next one begins at the right byte.

use super::frame::{Frame, HEADER_LENGTH};
use super::reader::Reader;
use load_balancer::interface::{Arrival, Entry, Event, ListKind, Resolved};

/// How many numbered endpoint lists there can be.
const MAX_LISTS: usize = 16;

/// A decoded record.
pub enum Record {
    /// An instance starts.
    Launch {
        /// The instance.
        instance: u16,
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings as JSON text.
        facts: Vec<u8>,
    },
    /// An instance was killed.
    Shutdown {
        /// The instance.
        instance: u16,
    },
    /// A numbered endpoint list, which the decoder keeps.
    Census,
    /// A record for an instance that no decision needs.
    Unused {
        /// The instance.
        instance: u16,
    },
    /// An event for an instance.
    Event {
        /// The instance.
        instance: u16,
        /// The event.
        event: Event,
    },
}

/// Decodes records. It holds the numbered endpoint lists, which all instances share and which outlive a frame.
#[derive(Default)]
pub struct Decoder {
    lists: [Option<Vec<Entry>>; MAX_LISTS],
}

impl Decoder {
    /// Decodes a frame record by record and passes each to `handle`, in order. Errors name the record and the byte.
    pub fn decode(
        &mut self,
        frame: &Frame,
        mut handle: impl FnMut(Record) -> Result<(), String>,
    ) -> Result<(), String> {
        let mut reader = Reader { bytes: &frame.body, at: 0, start: HEADER_LENGTH };
        for number in 0..frame.count {
            let begin = HEADER_LENGTH + reader.at;
            let record = self.record(&mut reader).map_err(|error| format!("record {number}: {error}"))?;
            handle(record).map_err(|error| format!("record {number}: byte {begin}: {error}"))?;
        }
        match frame.body.len() - reader.at {
            0 => Ok(()),
            left => {
                let at = HEADER_LENGTH + reader.at;
                Err(format!("byte {at}: {left} bytes left over after the last record"))
            }
        }
    }

    fn record(&mut self, reader: &mut Reader) -> Result<Record, String> {
        let code = reader.u16("code")?;
        if code == 11 {
            return self.census(reader);
        }
        if !(1..=10).contains(&code) {
            return reader.bad(2, "event", format_args!("{code} is unknown"));
        }
        let instance = reader.u16("proxyId")?;
        let event = match code {
            1 => return launch(reader, instance),
            2 => self.list(reader)?,
            3 => request(reader)?,
            4 => return first_byte(reader, instance),
            5 => resolved(reader)?,
            6 => Event::ClientGone { request: reader.u64("xid")? },
            7 => Event::TimerFired { token: reader.u64("nonce")? },
            8 => return sampled(reader, instance),
            9 => return datagram(reader, instance),
            _ => return Ok(Record::Shutdown { instance }),
        };
        Ok(Record::Event { instance, event })
    }

    /// `Census` (code 11): defines a numbered endpoint list. It has no instance.
    fn census(&mut self, reader: &mut Reader) -> Result<Record, String> {
        let page = reader.u32("page")?;
        let Some(list) = self.lists.get_mut(page as usize) else {
            return reader.bad(4, "page", format_args!("{page} is out of range"));
        };
        let lines = reader.u32("lines")?;
        *list = Some((0..lines).map(|_| reader.entry()).collect::<Result<_, _>>()?);
        Ok(Record::Census)
    }

    /// `Discovery` (code 2): an instance receives a numbered list, or learns that its poll failed.
    fn list(&self, reader: &mut Reader) -> Result<Event, String> {
        let page = reader.u32("page")?;
        let kind = match reader.u8("kind")? {
            0 => ListKind::Full,
            1 => ListKind::Delta,
            2 => ListKind::Failed,
            3 => ListKind::Cached,
            other => return reader.bad(1, "list kind", format_args!("{other} is unknown")),
        };
        let entries = match self.lists.get(page as usize) {
            _ if kind == ListKind::Failed => Vec::new(),
            Some(Some(entries)) => entries.clone(),
            _ => return reader.bad(5, "page", format_args!("{page} was never defined")),
        };
        reader.u64("serial")?;
        Ok(Event::List { kind, entries })
    }
}

/// `Launch` (code 1): an instance starts.
fn launch(reader: &mut Reader, instance: u16) -> Result<Record, String> {
    let seed = reader.u64("rngSeed")?;
    let length = reader.u32("facts")? as usize;
    let facts = reader.take(length, "facts")?.to_vec();
    Ok(Record::Launch { instance, seed, facts })
}

/// `Ingress` (code 3): a request arrives.
fn request(reader: &mut Reader) -> Result<Event, String> {
    let request = reader.u64("xid")?;
    let key = reader.u64("nameKey")?;
    let class = reader.u16("qos")?;
    reader.u8("stateBits")?;
    reader.f64("predicted")?;
    let tenant = reader.u16("customer")?;
    let deadline_ms = reader.f64("clientDeadline")?;
    Ok(Event::Request(Arrival { request, key, class, tenant, deadline_ms, body_pending: false }))
}

/// `FirstByte` (code 4): an attempt's answer has begun. Nothing here waits for it.
fn first_byte(reader: &mut Reader, instance: u16) -> Result<Record, String> {
    reader.u64("xid")?;
    reader.u8("hop")?;
    reader.u32("backend")?;
    reader.f64("waitTime")?;
    Ok(Record::Unused { instance })
}

/// `Resolved` (code 5): an attempt has ended.
fn resolved(reader: &mut Reader) -> Result<Event, String> {
    let request = reader.u64("xid")?;
    let latency_ms = reader.f64("waitTime")?;
    let request_ended = reader.u8("final")? != 0;
    let outcome = reader.outcome()?;
    let attempt = reader.u8("hop")?;
    let backend = reader.u32("backend")?;
    reader.skip_load_report()?;
    Ok(Event::Resolved(Resolved {
        request,
        attempt,
        backend,
        outcome,
        latency_ms,
        request_ended,
        body_consumed: false,
    }))
}

/// `Sampled` (code 8): a health check has ended. Nothing here sends health checks.
fn sampled(reader: &mut Reader, instance: u16) -> Result<Record, String> {
    reader.f64("waitTime")?;
    reader.u32("backend")?;
    reader.outcome()?;
    reader.skip_load_report()?;
    Ok(Record::Unused { instance })
}

/// `Datagram` (code 9): a message from another instance. Nothing here sends messages.
fn datagram(reader: &mut Reader, instance: u16) -> Result<Record, String> {
    reader.u32("originPeer")?;
    let length = reader.u16("bytes")? as usize;
    reader.take(length, "bytes")?;
    Ok(Record::Unused { instance })
}
