//! Processor time and memory of a process, as the kernel counts them.

use std::time::Duration;

use rustix::param::{clock_ticks_per_second, page_size};

/// Place of the user time in `/proc/PID/stat` after the program's name.
const USER_TIME_FIELD: usize = 11;

/// What a process has used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time of all its threads, ended ones included.
    pub processor: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// Threads.
    pub threads: usize,
}

impl ProcessUsage {
    /// Reads the usage of a process of this user.
    ///
    /// # Panics
    /// If the process has ended.
    #[must_use]
    pub fn of(pid: u32) -> Self {
        let read = |file: &str| {
            let text = std::fs::read_to_string(format!("/proc/{pid}/{file}"));
            text.expect("the process runs")
        };
        let stat = read("stat");
        let (_, fields) = stat.rsplit_once(')').expect("a name in brackets");
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks: u64 = number(fields[USER_TIME_FIELD]) + number(fields[USER_TIME_FIELD + 1]);
        let statm = read("statm");
        let pages = number(statm.split_whitespace().nth(1).expect("resident pages"));
        let threads = std::fs::read_dir(format!("/proc/{pid}/task"));
        Self {
            processor: Duration::from_millis(ticks * 1_000 / clock_ticks_per_second()),
            resident_bytes: pages * page_size() as u64,
            threads: threads.expect("the process runs").count(),
        }
    }

    /// Reads the usage of this process.
    #[must_use]
    pub fn own() -> Self {
        Self::of(std::process::id())
    }
}

fn number(text: &str) -> u64 {
    text.parse().expect("a number")
}

/// Returns the machine's load average of the last minute.
///
/// # Panics
/// If the system doesn't tell.
#[must_use]
pub fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").expect("a load average");
    let first = text.split_whitespace().next().expect("a load average");
    first.parse().expect("a number")
}
