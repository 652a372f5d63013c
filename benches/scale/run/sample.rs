//! What a process has taken, as the system counts it.

use super::error::{Error, Result};
use std::iter::Sum;
use std::ops::{Add, Sub};

/// Ticks a second of the system's count of processor time; the same on every Linux machine.
const TICKS: f64 = 100.0;

/// What one process, or several together, have taken.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Processor time, s.
    pub cpu_s: f64,
    /// Resident memory, MiB.
    pub resident_mib: f64,
    /// Its highest value since the start or the last reset, MiB.
    pub peak_mib: f64,
}

impl Sample {
    /// Of one process.
    pub fn of(pid: u32) -> Result<Sample> {
        let read = |file: &str| {
            let path = format!("/proc/{pid}/{file}");
            std::fs::read_to_string(&path).map_err(|source| Error::File { path, source })
        };
        Ok(Sample::parse(&read("stat")?, &read("status")?))
    }

    /// From the texts of `stat` and `status`.
    pub fn parse(stat: &str, status: &str) -> Sample {
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let ticks = after_name.split_whitespace().skip(11).take(2).filter_map(|t| t.parse::<f64>().ok());
        let mib = |key: &str| {
            let line = status.lines().find(|line| line.starts_with(key));
            let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
            kib.unwrap_or_default() / 1024.0
        };
        let cpu_s = ticks.sum::<f64>() / TICKS;
        Sample { cpu_s, resident_mib: mib("VmRSS:"), peak_mib: mib("VmHWM:") }
    }
}

/// Begins a process's peak anew. Where the system does not allow it, the peak is that since the start.
pub fn reset_peak(pid: u32) {
    let _ = std::fs::write(format!("/proc/{pid}/clear_refs"), "5");
}

impl Add for Sample {
    type Output = Sample;

    fn add(self, other: Sample) -> Sample {
        Sample {
            cpu_s: self.cpu_s + other.cpu_s,
            resident_mib: self.resident_mib + other.resident_mib,
            peak_mib: self.peak_mib + other.peak_mib,
        }
    }
}

impl Sub for Sample {
    type Output = Sample;

    /// The processor time between two samples, with the memory of the later one.
    fn sub(self, earlier: Sample) -> Sample {
        Sample { cpu_s: self.cpu_s - earlier.cpu_s, ..self }
    }
}

impl Sum for Sample {
    fn sum<I: Iterator<Item = Sample>>(samples: I) -> Sample {
        samples.fold(Sample::default(), Add::add)
    }
}
