//! Reads the fields of frames and records, all little-endian.

use load_balancer::interface::{Entry, Outcome, Phase};

/// Reads fields one after another; an error names the field and its byte.
pub(super) struct Reader<'a> {
    /// The bytes to read.
    pub(super) bytes: &'a [u8],
    /// The next byte to read.
    pub(super) at: usize,
    /// The place of the first byte in its frame, for errors.
    pub(super) start: usize,
}

impl<'a> Reader<'a> {
    /// The next `length` bytes.
    pub(super) fn take(&mut self, length: usize, field: &str) -> Result<&'a [u8], String> {
        let taken = self.at.checked_add(length).and_then(|end| self.bytes.get(self.at..end));
        let taken = taken.ok_or_else(|| format!("byte {}: truncated in {field}", self.start + self.at))?;
        self.at += length;
        Ok(taken)
    }
    pub(super) fn array<const N: usize>(&mut self, field: &str) -> Result<[u8; N], String> {
        Ok(self.take(N, field)?.try_into().expect("length was asked for"))
    }
    pub(super) fn u8(&mut self, field: &str) -> Result<u8, String> {
        Ok(self.array::<1>(field)?[0])
    }
    pub(super) fn u16(&mut self, field: &str) -> Result<u16, String> {
        Ok(u16::from_le_bytes(self.array(field)?))
    }
    pub(super) fn u32(&mut self, field: &str) -> Result<u32, String> {
        Ok(u32::from_le_bytes(self.array(field)?))
    }
    pub(super) fn u64(&mut self, field: &str) -> Result<u64, String> {
        Ok(u64::from_le_bytes(self.array(field)?))
    }
    pub(super) fn f32(&mut self, field: &str) -> Result<f32, String> {
        Ok(f32::from_le_bytes(self.array(field)?))
    }
    pub(super) fn f64(&mut self, field: &str) -> Result<f64, String> {
        let number = f64::from_le_bytes(self.array(field)?);
        if number.is_finite() { Ok(number) } else { self.bad(8, field, "is not finite") }
    }
    /// An error about the field of `width` bytes that was just read.
    pub(super) fn bad<T>(&self, width: usize, field: &str, why: impl std::fmt::Display) -> Result<T, String> {
        Err(format!("byte {}: {field} {why}", self.start + self.at - width))
    }
    /// Skips a load report, which no decision needs.
    pub(super) fn skip_load_report(&mut self) -> Result<(), String> {
        let count = self.u8("healthInfo")?;
        (0..count).try_for_each(|_| self.f32("healthInfo").map(drop))
    }
    /// How an attempt ended.
    pub(super) fn outcome(&mut self) -> Result<Outcome, String> {
        Ok(match self.u16("disposition")? {
            0 => Outcome::Ok,
            1 => Outcome::Error,
            2 => Outcome::Rejected,
            3 => Outcome::Timeout,
            4 => Outcome::ConnectFailed,
            5 => Outcome::Reset,
            6 => Outcome::Cancelled,
            7 => Outcome::NotSent,
            other => return self.bad(2, "disposition", format_args!("{other} is unknown")),
        })
    }
    /// An endpoint of a numbered list.
    pub(super) fn entry(&mut self) -> Result<Entry, String> {
        let phase = match self.u8("phase")? {
            0 => Phase::Ready,
            1 => Phase::Gone,
            2 => Phase::Draining,
            other => return self.bad(1, "phase", format_args!("{other} is unknown")),
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
