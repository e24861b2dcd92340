//! Stand-in for a model engine: OpenAI-compatible HTTP with continuous batching.
//!
//! A token of an answer is a space and a word; the tokens of a prompt are the words of all its
//! messages. A request can resume an earlier answer, and `max_tokens` then counts new tokens only.
//! A chat request resumes if its last message has the role `assistant` and
//! `continue_final_message` is true. A completion resumes if its prompt ends with the earlier
//! answer and `limpetstand_resume_from` is the number of tokens of that answer.

mod batch;
mod cache;
mod http_api;
mod text;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, watch};

use crate::server::Server;
use batch::Batch;
pub use batch::Pace;
pub(crate) use http_api::{contains_secret, header_text};
pub use text::{BLOCK_WORDS, block_hashes, count_words, text_hash, token, tokens};

/// Interval at which a busy batch advances.
const TICK: Duration = Duration::from_millis(4);

/// How a silent engine behaves; its connections stay open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Silence {
    /// The engine accepts requests and sends no answer.
    Answers,
    /// Streams stall after this many tokens, and answers that are not streamed never come.
    AfterTokens(usize),
}

/// One request that an engine received.
#[derive(Debug, Clone)]
pub struct Run {
    /// Header `x-request-id` of the request.
    pub request_id: Option<String>,
    /// Header `limpetstand-organisation` of the request.
    pub organisation: Option<String>,
    /// Hash of the prompt without the resumed answer; see [`text_hash`].
    pub prompt_hash: u64,
    /// When the request arrived.
    pub at: Instant,
    /// Number of words of the prompt.
    pub prompt_tokens: usize,
    /// Index of the first requested token; 0 unless the request resumes an answer.
    pub resume_from: usize,
    /// Number of tokens generated so far.
    pub generated: Arc<AtomicUsize>,
    /// Whether the request contained an API key or another secret.
    pub leaked_key: bool,
    /// Region of the engine.
    pub region: String,
}

impl Run {
    /// Returns the number of tokens generated so far.
    pub fn generated(&self) -> usize {
        self.generated.load(Ordering::Relaxed)
    }
}

/// An order to load a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: String,
    /// Fencing number of the lease whose holder sent the order.
    pub fencing: u64,
    /// Whether an earlier order had a greater fencing number.
    pub stale: bool,
    /// Whether the engine carried out the order.
    pub followed: bool,
}

struct Inner {
    batch: Batch,
    models: BTreeMap<String, String>,
    adapters: Vec<String>,
    orders: Vec<Order>,
    greatest_fencing: u64,
    refuses_stale_orders: bool,
    load_time: Duration,
    report_lag: Duration,
    events_lag: Duration,
    poison: Option<(String, Duration)>,
    crashes: u64,
    misdirect_next: u32,
    previous_request: (u64, String),
    wrong_resumes: u64,
    secrets: Vec<String>,
    runs: Vec<Run>,
}

struct Shared {
    id: String,
    region: String,
    inner: Mutex<Inner>,
    wake: Arc<Notify>,
    silence: watch::Sender<Option<Silence>>,
    server: Mutex<Option<Arc<Server>>>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops all connections and requests, and refuses connections for the time `down`.
    fn crash(self: &Arc<Self>, down: Duration) {
        {
            let mut inner = self.lock();
            inner.crashes += 1;
            inner.batch.clear();
        }
        let server = self.server.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(server) = server.clone() else {
            return;
        };
        server.down();
        tokio::spawn(async move {
            tokio::time::sleep(down).await;
            server.up();
        });
    }
}

/// Configuration of an engine that has not started yet.
#[derive(Debug, Clone)]
pub struct EngineBuilder {
    id: String,
    region: String,
    pace: Pace,
    models: BTreeMap<String, String>,
    refuses_stale_orders: bool,
    secrets: Vec<String>,
}

impl EngineBuilder {
    /// Sets the speed and capacity.
    pub fn pace(mut self, pace: Pace) -> Self {
        self.pace = pace;
        self
    }

    /// Adds a model that is loaded from the start.
    pub fn model(mut self, model: &str, version: &str) -> Self {
        self.models.insert(model.to_owned(), version.to_owned());
        self
    }

    /// Sets whether the engine refuses orders with an outdated fencing number.
    pub fn refuses_stale_orders(mut self, refuses: bool) -> Self {
        self.refuses_stale_orders = refuses;
        self
    }

    /// Sets the texts, such as API keys, that must never reach the engine.
    pub fn secrets(mut self, secrets: &[String]) -> Self {
        self.secrets = secrets.to_vec();
        self
    }

    /// Starts the engine.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start(self, address: SocketAddr) -> io::Result<Engine> {
        let inner = Inner {
            batch: Batch::new(self.pace),
            models: self.models,
            adapters: Vec::new(),
            orders: Vec::new(),
            greatest_fencing: 0,
            refuses_stale_orders: self.refuses_stale_orders,
            load_time: Duration::from_millis(100),
            report_lag: Duration::from_millis(200),
            events_lag: Duration::from_millis(200),
            poison: None,
            crashes: 0,
            misdirect_next: 0,
            previous_request: (0, String::new()),
            wrong_resumes: 0,
            secrets: self.secrets,
            runs: Vec::new(),
        };
        let shared = Arc::new(Shared {
            id: self.id,
            region: self.region,
            inner: Mutex::new(inner),
            wake: Arc::new(Notify::new()),
            silence: watch::Sender::new(None),
            server: Mutex::new(None),
        });
        let app = http_api::router(&shared);
        let server = Arc::new(Server::start(address, app).await?);
        let mut server_slot = shared.server.lock().unwrap_or_else(PoisonError::into_inner);
        *server_slot = Some(Arc::clone(&server));
        drop(server_slot);
        tokio::spawn(run_batch(Arc::downgrade(&shared)));
        Ok(Engine { server, shared })
    }
}

/// A running engine.
pub struct Engine {
    server: Arc<Server>,
    shared: Arc<Shared>,
}

impl Engine {
    /// Creates the configuration of an engine with this ID and region.
    pub fn builder(id: &str, region: &str) -> EngineBuilder {
        EngineBuilder {
            id: id.to_owned(),
            region: region.to_owned(),
            pace: Pace::default(),
            models: BTreeMap::new(),
            refuses_stale_orders: true,
            secrets: Vec::new(),
        }
    }

    /// Returns the ID of the engine.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Returns the region of the engine.
    pub fn region(&self) -> &str {
        &self.shared.region
    }

    /// Returns the address at which the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Drops all connections and requests, and refuses connections for the time `down`.
    pub fn crash(&self, down: Duration) {
        self.shared.crash(down);
    }

    /// Makes each request whose body contains `marker` crash the engine for the time `down`.
    pub fn set_poison(&self, marker: Option<&str>, down: Duration) {
        self.shared.lock().poison = marker.map(|m| (m.to_owned(), down));
    }

    /// Makes the engine silent, or answer again for `None`.
    pub fn set_silence(&self, silence: Option<Silence>) {
        self.shared.silence.send_replace(silence);
    }

    /// Divides the speed of the engine by a factor of at least 1.
    pub fn set_slowdown(&self, factor: f64) {
        self.shared.lock().batch.set_slowdown(factor);
    }

    /// Sets the delay with which the metrics show the load.
    pub fn set_report_lag(&self, lag: Duration) {
        self.shared.lock().report_lag = lag;
    }

    /// Sets the delay with which cache events become visible.
    pub fn set_events_lag(&self, lag: Duration) {
        self.shared.lock().events_lag = lag;
    }

    /// Sets the time that loading a model takes.
    pub fn set_load_time(&self, time: Duration) {
        self.shared.lock().load_time = time;
    }

    /// Drops the next `n` cache events, which leaves a gap in their sequence numbers.
    pub fn drop_cache_events(&self, n: u32) {
        self.shared.lock().batch.cache.drop_events(n);
    }

    /// Answers each of the next `n` requests with the answer to the request before it.
    pub fn misdirect_next_answers(&self, n: u32) {
        self.shared.lock().misdirect_next = n;
    }

    /// Returns the loaded models and their versions.
    pub fn models(&self) -> BTreeMap<String, String> {
        self.shared.lock().models.clone()
    }

    /// Returns the names of the loaded adapters.
    pub fn adapters(&self) -> Vec<String> {
        self.shared.lock().adapters.clone()
    }

    /// Returns all orders that the engine received.
    pub fn orders(&self) -> Vec<Order> {
        self.shared.lock().orders.clone()
    }

    /// Returns all requests that the engine received.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.clone()
    }

    /// Returns how often the engine crashed.
    pub fn crashes(&self) -> u64 {
        self.shared.lock().crashes
    }

    /// Returns how many requests resumed an answer that this engine would not have generated.
    pub fn wrong_resumes(&self) -> u64 {
        self.shared.lock().wrong_resumes
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        let mut server = self
            .shared
            .server
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *server = None;
        self.shared.wake.notify_one();
    }
}

/// Advances the batch while it has requests, until the engine is dropped.
async fn run_batch(shared: Weak<Shared>) {
    let mut last = Instant::now();
    let Some(wake) = shared.upgrade().map(|s| Arc::clone(&s.wake)) else {
        return;
    };
    loop {
        let Some(engine) = shared.upgrade() else {
            return;
        };
        let now = Instant::now();
        let is_idle = {
            let mut inner = engine.lock();
            inner.batch.advance(now - last);
            inner.batch.is_idle()
        };
        drop(engine);
        last = now;
        if is_idle {
            wake.notified().await;
            last = Instant::now();
        }
        tokio::time::sleep(TICK).await;
    }
}
