//! Processor time, memory and threads of a process, read from `/proc`.

use std::time::Duration;

use rustix::param::{clock_ticks_per_second, page_size};

/// Index of the user time among the fields of `/proc/PID/stat` after the program's name. The system
/// time follows it.
const USER_TIME_FIELD: usize = 11;

/// Resources that a process has used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessUsage {
    /// User and system time of all threads, including ended ones.
    pub processor: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// Number of running threads.
    pub threads: usize,
}

impl ProcessUsage {
    /// Reads the usage of a process, which must belong to this user.
    ///
    /// # Panics
    /// If the process has exited.
    #[must_use]
    pub fn of(pid: u32) -> Self {
        let read = |file: &str| {
            let text = std::fs::read_to_string(format!("/proc/{pid}/{file}"));
            text.expect("the process runs")
        };
        let stat = read("stat");
        let (_, fields) = stat.rsplit_once(')').expect("a name in brackets");
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks: u64 =
            parse_number(fields[USER_TIME_FIELD]) + parse_number(fields[USER_TIME_FIELD + 1]);
        let statm = read("statm");
        let pages = parse_number(statm.split_whitespace().nth(1).expect("resident pages"));
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

fn parse_number(text: &str) -> u64 {
    text.parse().expect("a number")
}

/// Returns the load average of the machine over the last minute.
///
/// # Panics
/// If `/proc/loadavg` can't be read.
#[must_use]
pub fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").expect("a load average");
    let first = text.split_whitespace().next().expect("a load average");
    first.parse().expect("a number")
}
