//! Processor time and memory of a process, read from `/proc`.

use std::time::Duration;

use eyre::{Result, WrapErr, eyre};

/// Ticks a second in which `/proc` counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;
const BYTES_PER_KIB: u64 = 1024;

/// Positions of user and system time in `/proc/PID/stat`, counted from 0 after the name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// User and system time since the process started.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub memory: u64,
}

impl Usage {
    /// Reads the usage of the process with this ID.
    pub(super) fn of_process(pid: u32) -> Result<Self> {
        let stat = read_proc(pid, "stat")?;
        let status = read_proc(pid, "status")?;
        Ok(Self {
            cpu: parse_cpu(&stat)?,
            memory: parse_memory(&status)?,
        })
    }
}

fn read_proc(pid: u32, file: &str) -> Result<String> {
    let path = format!("/proc/{pid}/{file}");
    std::fs::read_to_string(&path).wrap_err(path)
}

fn parse_cpu(stat: &str) -> Result<Duration> {
    // The name is in parentheses and may contain spaces and parentheses.
    let (_, rest) = stat
        .rsplit_once(')')
        .ok_or_else(|| eyre!("no process name in stat"))?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let mut ticks = 0.0;
    for index in [USER_TIME_FIELD, SYSTEM_TIME_FIELD] {
        let field = fields
            .get(index)
            .ok_or_else(|| eyre!("stat has too few fields"))?;
        ticks += field.parse::<f64>().wrap_err("malformed time in stat")?;
    }
    Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
}

fn parse_memory(status: &str) -> Result<u64> {
    for line in status.lines() {
        let Some(value) = line.strip_prefix("VmRSS:") else {
            continue;
        };
        let kib: u64 = value
            .trim()
            .trim_end_matches("kB")
            .trim()
            .parse()
            .wrap_err("malformed VmRSS")?;
        return Ok(kib * BYTES_PER_KIB);
    }
    Err(eyre!("no VmRSS in status"))
}
