//! Measures the latency and processor time that the gateway adds to a request, compared with a
//! direct call to the engine, and the memory of open streams.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, ensure};
use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::time::Instant;

use crate::caller::{Caller, Completion, Payload, Request};
use crate::engine::Pace;
use crate::fleet::Fleet;
use crate::operator::Operator;
use crate::quickstart::default_fleet_spec;
use crate::workload::{Kind, MODEL, Workload};

const ROOT_TOKEN: &str = "overhead-root-token";
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Rate and burst in tokens that no measurement reaches.
const UNLIMITED_RATE: u64 = 1_000_000_000;
/// Number of concurrent callers, each of which sends one request after another.
const CONCURRENT_CALLERS: usize = 16;
/// An engine that answers immediately.
const FAST_ENGINE: Pace = Pace {
    tokens_per_second: 1e9,
    tokens_per_second_each: 1e9,
    prefill_per_second: 1e9,
    slots: 4096,
    cache_blocks: 64,
};

/// An engine that generates two tokens per second for each request, so that streams stay open.
const SLOW_ENGINE: Pace = Pace {
    tokens_per_second: 1e9,
    tokens_per_second_each: 2.0,
    prefill_per_second: 1e9,
    slots: 16_384,
    cache_blocks: 64,
};
/// Tokens of each answer that is kept open; at two tokens per second it takes 30 s.
const OPEN_STREAM_TOKENS: usize = 60;
/// Time for all streams to start before the memory is read.
const OPEN_STREAM_SETTLE_TIME: Duration = Duration::from_secs(8);

/// The memory of an instance with open streams.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct StreamMemory {
    /// Number of open streams.
    pub streams: usize,
    /// Resident memory of the instance, in MB.
    pub memory_mb: f64,
}

/// Measures the memory of an instance with `streams` open streams and prints one JSON line.
///
/// # Errors
///
/// If the fleet does not start or a request does not get its correct answer.
pub async fn measure_stream_memory(daemon: PathBuf, streams: usize) -> Result<()> {
    let (fleet, key) = start_single_instance(daemon, SLOW_ENGINE).await?;
    let caller = Caller::new(Duration::from_secs(120))?;
    let front = fleet.instances[0].front;
    let mut callers = Vec::new();
    for n in 0..streams {
        let (caller, request) = (
            caller.clone(),
            request(Some(key.clone()), n, OPEN_STREAM_TOKENS),
        );
        callers.push(tokio::spawn(
            async move { caller.send(front, &request).await },
        ));
    }
    tokio::time::sleep(OPEN_STREAM_SETTLE_TIME).await;
    let memory = fleet.instances[0].usage()?.memory;
    for caller in callers {
        let outcome = caller.await?;
        ensure!(
            outcome.end == Completion::Answered,
            "request failed: {:?}",
            outcome.end
        );
    }
    let stream_memory = StreamMemory {
        streams,
        memory_mb: memory as f64 / 1e6,
    };
    println!("{}", serde_json::to_string(&stream_memory)?);
    Ok(())
}

/// The measurement of one path to the engine: direct or through the gateway.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Overhead {
    /// `gateway` or `engine`.
    pub asked: &'static str,
    /// Tokens of each streamed answer.
    pub tokens: usize,
    /// Answered requests.
    pub requests: u64,
    /// Answered requests per second.
    pub requests_per_second: f64,
    /// Median time to the end of the answer, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time to the end of the answer, in milliseconds.
    pub p99_ms: f64,
    /// Processor time of the instance per request, in microseconds; `None` for the engine.
    pub cpu_us: Option<f64>,
}

/// Measures answers of each length in `lengths` for `length`, directly from the engine and through
/// one instance, and prints one JSON line for each.
///
/// # Errors
///
/// If the fleet does not start or a request does not get its correct answer.
pub async fn measure(daemon: PathBuf, lengths: &[usize], length: Duration) -> Result<()> {
    let (fleet, key) = start_single_instance(daemon, FAST_ENGINE).await?;
    for tokens in lengths {
        let engine = fleet.engines[0].address();
        let direct = measure_requests(&fleet, engine, None, *tokens, length).await?;
        println!("{}", serde_json::to_string(&direct)?);
        let front = fleet.instances[0].front;
        let through_gateway = measure_requests(&fleet, front, Some(&key), *tokens, length).await?;
        println!("{}", serde_json::to_string(&through_gateway)?);
    }
    Ok(())
}

/// Starts one instance with two engines; returns a key whose limit is never reached.
async fn start_single_instance(daemon: PathBuf, pace: Pace) -> Result<(Fleet, String)> {
    let mut workload = Workload::new(Kind::Survey, 1, 0.0);
    workload.regions.truncate(1);
    let mut spec = default_fleet_spec(daemon, &workload, ROOT_TOKEN);
    spec.instances = 1;
    spec.engines_per_region = 2;
    spec.pace = pace;
    spec.prices.truncate(1);
    let fleet = Fleet::start(spec).await?;
    let key = put_documents(&fleet, &workload).await?;
    Ok((fleet, key))
}

async fn put_documents(fleet: &Fleet, workload: &Workload) -> Result<String> {
    let operator = Operator::new(ROOT_TOKEN)?;
    let admin = fleet.instances[0].admin;
    let key = workload.organisations[0].key.clone();
    let organisation =
        format!("[organisations.load]\nrate = {UNLIMITED_RATE}\nburst = {UNLIMITED_RATE}\n");
    let route = format!("[routes.chat]\nmodel = \"{MODEL}\"\n");
    let text = format!(
        "{organisation}{route}{}",
        crate::workload::key_entry(&key, "load")
    );
    let revision = operator.put_accepted(admin, "load", &text).await?;
    operator.wait(admin, revision, IN_FORCE_TIMEOUT).await?;
    Ok(key)
}

async fn measure_requests(
    fleet: &Fleet,
    address: SocketAddr,
    key: Option<&str>,
    tokens: usize,
    length: Duration,
) -> Result<Overhead> {
    let caller = Caller::new(ANSWER_TIMEOUT)?;
    let before = fleet.instances[0].usage()?.cpu;
    let started = Instant::now();
    let key = key.map(str::to_owned);
    let mut callers = Vec::new();
    for n in 0..CONCURRENT_CALLERS {
        let request = Arc::new(request(key.clone(), n, tokens));
        callers.push(tokio::spawn(send_until(
            caller.clone(),
            address,
            request,
            started + length,
        )));
    }
    let mut latencies = Histogram::<u64>::new(3)?;
    for caller in callers {
        latencies.add(caller.await??)?;
    }
    let seconds = started.elapsed().as_secs_f64();
    let cpu_time = fleet.instances[0].usage()?.cpu.saturating_sub(before);
    let requests = latencies.len();
    Ok(Overhead {
        asked: if key.is_some() { "gateway" } else { "engine" },
        tokens,
        requests,
        requests_per_second: requests as f64 / seconds,
        p50_ms: latencies.value_at_quantile(0.5) as f64 / 1e3,
        p99_ms: latencies.value_at_quantile(0.99) as f64 / 1e3,
        cpu_us: key
            .is_some()
            .then(|| cpu_time.as_secs_f64() * 1e6 / requests.max(1) as f64),
    })
}

fn request(key: Option<String>, n: usize, tokens: usize) -> Request {
    let payload = Payload::Chat {
        prompt: format!("a plate for table {n}"),
        tokens,
        stream: true,
    };
    Request {
        payload,
        route: MODEL.to_owned(),
        key,
        headers: Vec::new(),
    }
}

/// Sends requests one after another until `end`; returns their latencies in microseconds.
async fn send_until(
    caller: Caller,
    address: SocketAddr,
    request: Arc<Request>,
    end: Instant,
) -> Result<Histogram<u64>> {
    let mut latencies = Histogram::<u64>::new(3)?;
    while Instant::now() < end {
        let outcome = caller.send(address, &request).await;
        ensure!(
            outcome.end == Completion::Answered,
            "request failed: {:?}",
            outcome.end
        );
        latencies.record(u64::try_from(outcome.total_time.as_micros())?)?;
    }
    Ok(latencies)
}
