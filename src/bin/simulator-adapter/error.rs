//! Errors that end the adapter. Each message is one line that names the frame's field, byte or record at fault.
//!
//! Messages name fields as the simulator does.

use load_balancer::interface::SettingsError;
use load_balancer::platform_settings;
use std::io;

/// Error that ends the adapter.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// Standard input can't be read.
    #[error("frame: {0}")]
    ReadFrame(io::Error),
    /// Standard input ends within a frame's header.
    #[error("frame: truncated in its header, {read} of {expected} bytes")]
    TruncatedHeader {
        /// Number of header bytes before the end of input.
        read: usize,
        /// Length of a header in bytes.
        expected: usize,
    },
    /// A field of a frame's header is malformed.
    #[error(transparent)]
    Header(#[from] FieldError),
    /// The length in a frame's header doesn't cover the clock, which it counts.
    #[error("frame: byte 4: length {0} is shorter than the clock")]
    LengthWithoutClock(usize),
    /// Standard input ends within a frame's records.
    #[error("frame: truncated, {read} of {expected} bytes after the header")]
    TruncatedRecords {
        /// Number of record bytes before the end of input.
        read: usize,
        /// Length of the records in bytes, according to the header.
        expected: usize,
    },
    /// A record can't be decoded.
    #[error("record {number}: {source}")]
    Decode {
        /// Number of the record in its frame, from 0.
        number: u32,
        /// Field of the record that is malformed.
        source: FieldError,
    },
    /// An instance can't handle a record.
    #[error("record {number}: byte {byte}: {source}")]
    Handle {
        /// Number of the record in its frame, from 0.
        number: u32,
        /// Offset of the record's first byte in its frame.
        byte: usize,
        /// Reason why the record can't be handled.
        source: InstanceError,
    },
    /// Bytes follow the last record of a frame.
    #[error("byte {byte}: {count} bytes left over after the last record")]
    LeftOver {
        /// Offset of the first of these bytes in the frame.
        byte: usize,
        /// Number of bytes after the last record.
        count: usize,
    },
    /// Standard output can't be written.
    #[error("reply: {0}")]
    WriteReply(io::Error),
}

/// Error in a field of a header or a record. `byte` is the offset in the frame at which the field begins.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FieldError {
    /// The header or the records end before the field does.
    #[error("byte {byte}: truncated in {field}")]
    Truncated {
        /// Offset of the field in its frame.
        byte: usize,
        /// Name of the field.
        field: &'static str,
    },
    /// The field is a number without a meaning.
    #[error("byte {byte}: {field} {value} is unknown")]
    Unknown {
        /// Offset of the field in its frame.
        byte: usize,
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: u16,
    },
    /// The field is infinite or NaN.
    #[error("byte {byte}: {field} is not finite")]
    NotFinite {
        /// Offset of the field in its frame.
        byte: usize,
        /// Name of the field.
        field: &'static str,
    },
    /// A list is to be defined under a number that is too large.
    #[error("byte {byte}: page {page} is out of range")]
    PageOutOfRange {
        /// Offset of the field in its frame.
        byte: usize,
        /// Number of the endpoint list.
        page: u32,
    },
    /// A record refers to a list that no earlier record has defined.
    #[error("byte {byte}: page {page} was never defined")]
    UndefinedPage {
        /// Offset of the field in its frame.
        byte: usize,
        /// Number of the endpoint list.
        page: u32,
    },
}

/// Reason why an instance can't handle a record.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InstanceError {
    /// No instance of this number runs.
    #[error("instance {0} is unknown")]
    Unknown(u16),
    /// The text of the settings is malformed.
    #[error(transparent)]
    MalformedSettings(#[from] platform_settings::Error),
    /// The balancer rejects the settings.
    #[error(transparent)]
    RejectedSettings(#[from] SettingsError),
}
