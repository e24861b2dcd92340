//! Tests of the dispatcher with scripted faults of targets, the store and another region, in
//! virtual time.
//!
//! A scenario starts with `setup`. `behave` sets the behaviour of targets, `send` sends one request
//! per input line concurrently and prints what each caller received, and `runs` prints the requests
//! that each target ran.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use datadriven::{TestCase, walk};
use limpetstand::attempt::Dispatcher;
use limpetstand::call::{Answer, Call, Dispatch, Operation};
use limpetstand::clock::Clock;
use limpetstand::config::{Document, Snapshot};
use limpetstand::departure::Departure;
use limpetstand::id::{RegionId, RequestId};
use limpetstand::member::{Fleet, Health, Member};
use limpetstand::peer::ForwardHandler;
use limpetstand::platform::{ListedTarget, ServiceState};
use limpetstand::refusal::Refusal;
use limpetstand::settings::PolicySettings;
use limpetstand::target::event_data;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

#[path = "attempt/fakes.rs"]
mod fakes;
#[path = "common/memory_store.rs"]
mod memory_store;

use fakes::{Behaviour, FakeCluster, FakePeers, FakeTarget};
use memory_store::MemoryStore;

const CONFIG: &str = r#"
    [organisations.shop]
    rate = 1000
    burst = 1000
    [organisations.homebody]
    rate = 1000
    burst = 1000
    regions = ["here"]
    [keys.k1]
    organisation = "shop"
    hash = ""
    [routes.chat]
    model = "m"
"#;

struct Scenario {
    dispatcher: Arc<Dispatcher>,
    cluster: Arc<FakeCluster>,
    store: Arc<MemoryStore>,
    fleet: watch::Sender<Arc<Fleet>>,
    snapshot: watch::Sender<Arc<Snapshot>>,
    departure: watch::Sender<Departure>,
    clock: Clock,
}

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], n))
}

fn target(name: &str, region: &str, slots: u32, n: u16) -> ListedTarget {
    ListedTarget {
        id: name.into(),
        address: address(n),
        region: region.into(),
        data_centre: "dc".into(),
        state: ServiceState::Live,
        plugin: "lab".into(),
        models: vec!["m".into()],
        service: None,
        capacity: 1_000.0,
        slots,
        price: 1.0,
    }
}

/// Returns the port of an instance of the other region; its port for peers is the next one.
fn there(n: u16) -> u16 {
    200 + 2 * (n - 1)
}

fn member(name: &str, region: &str, n: u16) -> Member {
    Member {
        id: name.into(),
        incarnation: 1,
        front: address(n),
        peer: address(n + 1),
        region: region.into(),
        data_centre: "dc".into(),
        health: Health::Live,
    }
}

fn arg<T: std::str::FromStr>(case: &mut TestCase, name: &str, default: T) -> T {
    match case.args.remove(name) {
        None => default,
        Some(values) => values[0].parse().ok().expect("valid directive argument"),
    }
}

fn setup(case: &mut TestCase) -> Scenario {
    let slots = arg(case, "slots", 4);
    let mut fleet = Fleet::default();
    fleet.members.push(member("i1", "here", 100));
    for (i, name) in case
        .args
        .remove("targets")
        .unwrap_or_default()
        .iter()
        .enumerate()
    {
        let target = target(name, "here", slots, 1_000 + i as u16);
        fleet.targets.push(target);
    }
    if let Some(values) = case.args.remove("there") {
        let instances = values
            .first()
            .map_or(1, |n| n.parse().expect("integer number of instances"));
        for n in 1..=instances {
            let name = format!("j{n}");
            fleet.members.push(member(&name, "there", there(n)));
        }
        fleet.targets.push(target("remote", "there", slots, 2_000));
    }
    let policy = PolicySettings {
        attempt: arg(case, "attempt", "careful".to_owned()).into(),
        ..PolicySettings::default()
    };
    let merged: Document = toml::from_str(CONFIG).expect("valid configuration");
    let snapshot = Snapshot {
        merged,
        ..Snapshot::default()
    };
    let cluster = Arc::new(FakeCluster::default());
    let store = MemoryStore::new();
    let clock = Clock::start();
    let departure = watch::Sender::new(Departure::default());
    let (fleet, fleet_rx) = watch::channel(Arc::new(fleet));
    let (snapshot, snapshot_rx) = watch::channel(Arc::new(snapshot));
    let dispatcher = Dispatcher::builder(
        "i1".into(),
        "here".into(),
        Arc::new(FakePeers(Arc::clone(&cluster))),
        Arc::clone(&store) as _,
    )
    .clock(clock)
    .departure(departure.subscribe())
    .fleet(fleet_rx)
    .snapshot(snapshot_rx, Arc::new(|| Duration::ZERO))
    .policy(&policy)
    .target("lab", Arc::new(FakeTarget(Arc::clone(&cluster))))
    .seed(7)
    .start()
    .expect("known policies");
    Scenario {
        dispatcher,
        cluster,
        store,
        fleet,
        snapshot,
        departure,
        clock,
    }
}

/// One input line of `send`, made of words and `name=value` pairs.
struct RequestLine<'a>(&'a str);

impl RequestLine<'_> {
    fn has(&self, word: &str) -> bool {
        self.0.split_whitespace().any(|candidate| candidate == word)
    }

    fn value(&self, name: &str) -> Option<&str> {
        let mut words = self.0.split_whitespace();
        words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
    }

    fn call(&self) -> Call {
        let prompt = self.value("prompt").unwrap_or("hello");
        let body = json!({ "model": "m", "prompt": prompt, "max_tokens": 6 });
        let mut regions: Vec<RegionId> = vec!["here".into(), "there".into()];
        if let Some(only) = self.value("regions") {
            regions = only.split(',').map(RegionId::from).collect();
        }
        let deadline = self.value("deadline_ms").unwrap_or("30000");
        Call {
            id: RequestId::random(),
            organisation: Some(self.value("org").unwrap_or("shop").into()),
            key: (!self.has("keyless")).then(|| "k1".into()),
            route: "chat".into(),
            operation: Operation::Model {
                model: self.value("model").unwrap_or("m").into(),
                path: "/v1/completions".into(),
                stream: self.has("stream"),
            },
            body: body.to_string().into(),
            repeatable: !self.has("once"),
            idempotency_key: self.value("key").map(str::to_owned),
            regions,
            tokens: 8,
            prompt_tokens: 2,
            priority: 0,
            time_left: Duration::from_millis(deadline.parse().expect("integer deadline_ms")),
            hops: u8::from(self.has("forwarded")),
        }
    }
}

async fn send(dispatcher: Arc<Dispatcher>, line: String) -> String {
    let line = RequestLine(&line);
    let start = line.value("start_ms").unwrap_or("0");
    sleep(Duration::from_millis(
        start.parse().expect("integer start_ms"),
    ))
    .await;
    let started = Instant::now();
    let call = line.call();
    let outcome = if line.has("forwarded") {
        ForwardHandler::run(&*dispatcher, call).await
    } else {
        dispatcher.dispatch(call).await
    };
    let leaves_after = line
        .value("leaves_after")
        .map(|n| n.parse().expect("integer leaves_after"));
    let result = match outcome {
        Ok(answer) => read(answer, leaves_after).await,
        Err(refusal) => match refusal.retry_after_ms() {
            Some(ms) if line.has("timed") => format!("{} retry={ms}", describe(&refusal)),
            _ => describe(&refusal),
        },
    };
    match line.has("timed") {
        true => format!("{result} after {} ms", started.elapsed().as_millis()),
        false => result,
    }
}

fn describe(refusal: &Refusal) -> String {
    format!("{} ran={}", refusal.code().as_str(), refusal.ran().as_str())
}

/// Reads an answer as a caller does, and disconnects after `leaves_after` chunks if given.
async fn read(mut answer: Answer, leaves_after: Option<usize>) -> String {
    let mut output = format!("{} from {}:", answer.head.status, answer.head.target);
    let mut chunks = 0;
    while let Some(chunk) = answer.body.recv().await {
        match chunk {
            Ok(bytes) => output.push_str(&describe_chunk(&bytes)),
            Err(refusal) => {
                output.push_str(&format!(" then {}", describe(&refusal)));
                return output;
            }
        }
        chunks += 1;
        if leaves_after == Some(chunks) {
            return output + " (left)";
        }
    }
    output + " whole"
}

fn describe_chunk(bytes: &[u8]) -> String {
    let data = event_data(bytes);
    if data.is_empty() {
        return format!(" {}", String::from_utf8_lossy(bytes));
    }
    if data == b"[DONE]" {
        return " [DONE]".to_owned();
    }
    let event: Value = serde_json::from_slice(&data).expect("JSON event");
    let text = event["choices"][0]["text"].as_str().unwrap_or_default();
    match event.get("usage") {
        Some(usage) => format!(
            "{text} ({} {}+{})",
            event["id"].as_str().unwrap_or_default(),
            usage["prompt_tokens"],
            usage["completion_tokens"]
        ),
        None => text.to_owned(),
    }
}

impl Scenario {
    async fn send_all(&self, input: &str) -> String {
        let mut tasks = Vec::new();
        for line in input.lines() {
            let dispatcher = Arc::clone(&self.dispatcher);
            tasks.push(tokio::spawn(send(dispatcher, line.to_owned())));
            // Each request reaches its target before the next request is sent.
            sleep(Duration::from_millis(1)).await;
        }
        let mut output = String::new();
        for task in tasks {
            output.push_str(&task.await.expect("request task panicked"));
            output.push('\n');
        }
        output
    }

    fn set_store(&self, word: &str) {
        self.store.faults(|faults| match word {
            "down" => faults.down = true,
            "up" => faults.down = false,
            "slow" => faults.delay = Duration::from_millis(200),
            "lose-answers" => faults.lose_answers = 1,
            "lose-all-answers" => faults.lose_answers = 1_000,
            "lose-writes" => faults.lose_writes = 1,
            "lose-nothing" => faults.lose_answers = 0,
            _ => panic!("unknown fault: {word}"),
        });
    }

    fn set_leaving(&self, name: &str) {
        self.fleet.send_modify(|fleet| {
            let mut next = Fleet::clone(fleet);
            for target in &mut next.targets {
                if target.id.as_str() == name {
                    target.state = ServiceState::Leaving;
                }
            }
            *fleet = Arc::new(next);
        });
    }

    /// Lets the instance begin to leave after a time, and give up after another one.
    fn leave(&self, times: &[&str]) {
        let ms = |text: &str| Duration::from_millis(text.parse().expect("integer ms"));
        let (begins_after, drain) = (ms(times[0]), ms(times[1]));
        let drained_at = self.clock.now() + begins_after + drain;
        let departure = self.departure.clone();
        tokio::spawn(async move {
            sleep(begins_after).await;
            departure.send_replace(Departure::Leaving {
                known_at: drained_at,
                drained_at,
            });
            sleep(drain).await;
            departure.send_replace(Departure::GivesUp);
        });
    }

    fn withdraw_key(&self) {
        self.snapshot.send_modify(|snapshot| {
            let mut next = Snapshot::clone(snapshot);
            next.merged.keys.clear();
            *snapshot = Arc::new(next);
        });
    }

    async fn run_directive(&self, case: &mut TestCase) -> String {
        let words: Vec<&str> = case.input.split_whitespace().collect();
        match case.directive.as_str() {
            "behave" => {
                for pair in words.chunks_exact(2) {
                    self.cluster
                        .set_behaviour(pair[0], Behaviour::parse(pair[1]));
                }
            }
            "up" => self.cluster.set_down(words[0], false),
            "down" => self.cluster.set_down(words[0], true),
            "cut-region" => self.cluster.set_region_down(true),
            "mend-region" => self.cluster.set_region_down(false),
            "leaving" => self.set_leaving(words[0]),
            "withdraw" => self.withdraw_key(),
            "leave" => {
                self.leave(&words);
                // The task of the leave begins.
                sleep(Duration::from_millis(1)).await;
            }
            "stay" => {
                self.departure.send_replace(Departure::NotLeaving);
            }
            "peers-leaving" => {
                let ports = words.iter().map(|n| there(n.parse().expect("number")) + 1);
                self.cluster.set_peers_leaving(ports.map(address).collect());
            }
            "store" => self.set_store(words[0]),
            "wait" => sleep(Duration::from_millis(words[0].parse().expect("integer ms"))).await,
            "send" => return self.send_all(&case.input).await,
            "runs" => return self.cluster.take_runs(),
            "resets" => return self.cluster.take_resets(),
            "cancelled" => return format!("{}\n", self.cluster.take_cancelled()),
            "told" => return format!("{:?}\n", self.cluster.take_messages()),
            "in-flight" => return format!("{}\n", self.dispatcher.in_flight()),
            "release" => {
                for (request, _) in self.dispatcher.quarantined() {
                    self.dispatcher.release(request);
                }
            }
            other => panic!("unknown directive: {other}"),
        }
        "ok\n".to_owned()
    }
}

#[test]
fn scenarios() {
    walk("tests/scenarios/attempt", |f| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("tokio runtime");
        let mut scenario = None;
        f.run(|case| {
            runtime.block_on(async {
                if case.directive == "setup" {
                    scenario = Some(setup(case));
                    return "ok\n".to_owned();
                }
                scenario
                    .as_ref()
                    .expect("`setup` is the first directive")
                    .run_directive(case)
                    .await
            })
        });
    });
}
