//! Reads the fields of frames and records, which are all little-endian.

use crate::error::FieldError;
use load_balancer::interface::{Entry, Outcome, Phase};

/// Reads fields one after another; an error names the field and its offset in the frame.
pub(super) struct Reader<'a> {
    /// Bytes to read from.
    pub(super) bytes: &'a [u8],
    /// Index of the next byte to read.
    pub(super) position: usize,
    /// Offset of the first byte in its frame, for errors.
    pub(super) frame_offset: usize,
}

impl<'a> Reader<'a> {
    /// Returns the offset in the frame of the next byte to read.
    pub(super) fn offset(&self) -> usize {
        self.frame_offset + self.position
    }
    /// Reads the next `length` bytes.
    pub(super) fn take(&mut self, length: usize, field: &'static str) -> Result<&'a [u8], FieldError> {
        let taken = self.position.checked_add(length).and_then(|end| self.bytes.get(self.position..end));
        let taken = taken.ok_or_else(|| FieldError::Truncated { byte: self.offset(), field })?;
        self.position += length;
        Ok(taken)
    }
    pub(super) fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], FieldError> {
        Ok(self.take(N, field)?.try_into().expect("take returns the requested length"))
    }
    pub(super) fn u8(&mut self, field: &'static str) -> Result<u8, FieldError> {
        Ok(self.array::<1>(field)?[0])
    }
    pub(super) fn u16(&mut self, field: &'static str) -> Result<u16, FieldError> {
        Ok(u16::from_le_bytes(self.array(field)?))
    }
    pub(super) fn u32(&mut self, field: &'static str) -> Result<u32, FieldError> {
        Ok(u32::from_le_bytes(self.array(field)?))
    }
    pub(super) fn u64(&mut self, field: &'static str) -> Result<u64, FieldError> {
        Ok(u64::from_le_bytes(self.array(field)?))
    }
    pub(super) fn f32(&mut self, field: &'static str) -> Result<f32, FieldError> {
        Ok(f32::from_le_bytes(self.array(field)?))
    }
    pub(super) fn f64(&mut self, field: &'static str) -> Result<f64, FieldError> {
        let number = f64::from_le_bytes(self.array(field)?);
        if number.is_finite() {
            Ok(number)
        } else {
            Err(FieldError::NotFinite { byte: self.offset() - 8, field })
        }
    }
    /// Returns the error for an unknown value of the last field read, which has `width` bytes.
    pub(super) fn unknown(&self, width: usize, field: &'static str, value: u16) -> FieldError {
        FieldError::Unknown { byte: self.offset() - width, field, value }
    }
    /// Skips a load report, which no decision needs.
    pub(super) fn skip_load_report(&mut self) -> Result<(), FieldError> {
        let count = self.u8("healthInfo")?;
        (0..count).try_for_each(|_| self.f32("healthInfo").map(drop))
    }
    /// Reads the outcome of an attempt or a health check.
    pub(super) fn outcome(&mut self) -> Result<Outcome, FieldError> {
        Ok(match self.u16("disposition")? {
            0 => Outcome::Ok,
            1 => Outcome::Error,
            2 => Outcome::Rejected,
            3 => Outcome::Timeout,
            4 => Outcome::ConnectFailed,
            5 => Outcome::Reset,
            6 => Outcome::Cancelled,
            7 => Outcome::NotSent,
            other => return Err(self.unknown(2, "disposition", other)),
        })
    }
    /// Reads an endpoint of a numbered list.
    pub(super) fn entry(&mut self) -> Result<Entry, FieldError> {
        let phase = match self.u8("phase")? {
            0 => Phase::Ready,
            1 => Phase::Gone,
            2 => Phase::Draining,
            other => return Err(self.unknown(1, "phase", other.into())),
        };
        let entry = Entry {
            phase,
            backend: self.u32("backend")?,
            zone: self.u16("hall")?,
            started_at_ms: self.f64("startedAt")?,
            weight: f64::from(self.f32("weight")?),
            cell: self.u16("cluster")?,
        };
        self.u16("hw")?;
        Ok(entry)
    }
}
