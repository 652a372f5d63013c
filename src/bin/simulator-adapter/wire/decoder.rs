//! Decodes records, one function per record type, and keeps the numbered endpoint lists that records refer to.
//!
//! Errors name fields as the simulator does. Every field is read, even if no decision needs it, so that a malformed
//! record is an error and the next record begins at the right byte.

use super::frame::{Frame, HEADER_LENGTH};
use super::reader::Reader;
use crate::error::{Error, FieldError, InstanceError};
use load_balancer::interface::{Arrival, Entry, Event, ListKind, Resolved};

/// Maximum number of numbered endpoint lists.
const MAX_LISTS: usize = 16;

/// Decoded record.
pub enum Record {
    /// An instance starts.
    Launch {
        /// Number of the instance.
        instance: u16,
        /// Seed of the instance's random numbers.
        seed: u64,
        /// Settings of the instance as JSON text.
        facts: Vec<u8>,
    },
    /// An instance was killed.
    Shutdown {
        /// Number of the instance.
        instance: u16,
    },
    /// A numbered endpoint list is defined; the decoder keeps it.
    Census,
    /// An instance receives something that no decision needs.
    Unused {
        /// Number of the instance.
        instance: u16,
    },
    /// An instance receives an event.
    Event {
        /// Number of the instance.
        instance: u16,
        /// Event to handle.
        event: Event,
    },
}

/// Decodes records, and holds the numbered endpoint lists, which all instances share and which outlive a frame.
#[derive(Default)]
pub struct Decoder {
    lists: [Option<Vec<Entry>>; MAX_LISTS],
}

impl Decoder {
    /// Decodes a frame record by record and passes each to `handle`, in order. Errors name the record and the byte.
    pub fn decode(
        &mut self,
        frame: &Frame,
        mut handle: impl FnMut(Record) -> Result<(), InstanceError>,
    ) -> Result<(), Error> {
        let mut reader = Reader { bytes: &frame.body, position: 0, frame_offset: HEADER_LENGTH };
        for number in 0..frame.count {
            let byte = reader.offset();
            let record = self.record(&mut reader).map_err(|source| Error::Decode { number, source })?;
            handle(record).map_err(|source| Error::Handle { number, byte, source })?;
        }
        match frame.body.len() - reader.position {
            0 => Ok(()),
            count => Err(Error::LeftOver { byte: reader.offset(), count }),
        }
    }

    fn record(&mut self, reader: &mut Reader) -> Result<Record, FieldError> {
        let code = reader.u16("code")?;
        if code == 11 {
            return self.census(reader);
        }
        if !(1..=10).contains(&code) {
            return Err(reader.unknown(2, "event", code));
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

    /// Decodes `Census` (code 11): a numbered endpoint list is defined, for all instances.
    fn census(&mut self, reader: &mut Reader) -> Result<Record, FieldError> {
        let page = reader.u32("page")?;
        let Some(list) = self.lists.get_mut(page as usize) else {
            return Err(FieldError::PageOutOfRange { byte: reader.offset() - 4, page });
        };
        let lines = reader.u32("lines")?;
        *list = Some((0..lines).map(|_| reader.entry()).collect::<Result<_, _>>()?);
        Ok(Record::Census)
    }

    /// Decodes `Discovery` (code 2): an instance receives a numbered list, or learns that its poll failed.
    fn list(&self, reader: &mut Reader) -> Result<Event, FieldError> {
        let page = reader.u32("page")?;
        let kind = match reader.u8("kind")? {
            0 => ListKind::Full,
            1 => ListKind::Delta,
            2 => ListKind::Failed,
            3 => ListKind::Cached,
            other => return Err(reader.unknown(1, "list kind", other.into())),
        };
        let entries = match self.lists.get(page as usize) {
            _ if kind == ListKind::Failed => Vec::new(),
            Some(Some(entries)) => entries.clone(),
            // The kind, of 1 byte, has been read after the page, of 4.
            _ => return Err(FieldError::UndefinedPage { byte: reader.offset() - 5, page }),
        };
        reader.u64("serial")?;
        Ok(Event::List { kind, entries })
    }
}

/// Decodes `Launch` (code 1): an instance starts.
fn launch(reader: &mut Reader, instance: u16) -> Result<Record, FieldError> {
    let seed = reader.u64("rngSeed")?;
    let length = reader.u32("facts")? as usize;
    let facts = reader.take(length, "facts")?.to_vec();
    Ok(Record::Launch { instance, seed, facts })
}

/// Decodes `Ingress` (code 3): a request arrives.
fn request(reader: &mut Reader) -> Result<Event, FieldError> {
    let request = reader.u64("xid")?;
    let key = reader.u64("nameKey")?;
    let class = reader.u16("qos")?;
    reader.u8("stateBits")?;
    reader.f64("predicted")?;
    let tenant = reader.u16("customer")?;
    let deadline_ms = reader.f64("clientDeadline")?;
    Ok(Event::Request(Arrival { request, key, class, tenant, deadline_ms, body_pending: false }))
}

/// Decodes `FirstByte` (code 4): the response to an attempt has begun. No decision needs it.
fn first_byte(reader: &mut Reader, instance: u16) -> Result<Record, FieldError> {
    reader.u64("xid")?;
    reader.u8("hop")?;
    reader.u32("backend")?;
    reader.f64("waitTime")?;
    Ok(Record::Unused { instance })
}

/// Decodes `Resolved` (code 5): an attempt has ended.
fn resolved(reader: &mut Reader) -> Result<Event, FieldError> {
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

/// Decodes `Sampled` (code 8): a health check has ended. The decision module sends no health checks.
fn sampled(reader: &mut Reader, instance: u16) -> Result<Record, FieldError> {
    reader.f64("waitTime")?;
    reader.u32("backend")?;
    reader.outcome()?;
    reader.skip_load_report()?;
    Ok(Record::Unused { instance })
}

/// Decodes `Datagram` (code 9): a message from another instance. The decision module sends no messages.
fn datagram(reader: &mut Reader, instance: u16) -> Result<Record, FieldError> {
    reader.u32("originPeer")?;
    let length = reader.u16("bytes")? as usize;
    reader.take(length, "bytes")?;
    Ok(Record::Unused { instance })
}
