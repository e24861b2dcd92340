//! Whole fleets in virtual time: who learns of a harmful prompt part, how soon, and what it costs.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use limpetstand::call::{Answer, Call};
use limpetstand::clock::Clock;
use limpetstand::id::RegionId;
use limpetstand::member::{Fleet, Health, Member};
use limpetstand::peer::{PeerError, Peers};
use limpetstand::quarantine::Suspect;
use limpetstand::quarantine::blame::Crash;
use limpetstand::quarantine::service::{QuarantineDeps, QuarantineHandler, QuarantineService};
use limpetstand::refusal::Refusal;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::local_peers::Links;
use super::{FIRST, HARMFUL, ms, part, request};

const REGIONS: usize = 3;

/// Number of sound parts that requests have as their second part.
const SOUND_PARTS: u64 = 60;

/// Time within which all instances know of a quarantine after the fifth crash.
const CONTACT_TIME: Duration = Duration::from_secs(6);

const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Counts the messages of one kind of work.
struct CountedPeers {
    peers: Arc<dyn Peers>,
    sent: Arc<AtomicUsize>,
}

#[async_trait]
impl Peers for CountedPeers {
    async fn ask(
        &self,
        to: SocketAddr,
        kind: &'static str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, PeerError> {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.peers.ask(to, kind, body, timeout).await
    }

    async fn forward(&self, to: SocketAddr, call: &Call) -> Result<Answer, Refusal> {
        self.peers.forward(to, call).await
    }
}

struct TestFleet {
    links: Arc<Links>,
    members: Vec<Member>,
    services: Vec<Arc<QuarantineService>>,
    fleet_tx: watch::Sender<Arc<Fleet>>,
    clock: Clock,
    sent: Arc<AtomicUsize>,
    rng: SmallRng,
    next_request: u64,
    next_target: u64,
}

fn region(n: usize) -> RegionId {
    format!("r{}", n % REGIONS).into()
}

impl TestFleet {
    fn start(count: usize, seed: u64) -> Self {
        let links = Links::new();
        links.set_round_trip(ms(80));
        let mut members = Vec::new();
        for n in 0..count {
            let ip = IpAddr::from(Ipv4Addr::from(0x0a00_0001 + u32::try_from(n).expect("few")));
            members.push(Member {
                id: format!("i{n}").into(),
                incarnation: 1,
                front: SocketAddr::new(ip, 1),
                peer: SocketAddr::new(ip, 2),
                region: region(n),
                data_centre: "a".into(),
                health: Health::Live,
            });
        }
        let fleet = Fleet {
            members: members.clone(),
            targets: Vec::new(),
        };
        let mut test = Self {
            links,
            members,
            services: Vec::new(),
            fleet_tx: watch::Sender::new(Arc::new(fleet)),
            clock: Clock::start(),
            sent: Arc::default(),
            rng: SmallRng::seed_from_u64(seed),
            next_request: 0,
            next_target: 0,
        };
        for n in 0..count {
            let service = test.start_service(n);
            test.services.push(service);
        }
        test
    }

    fn start_service(&self, n: usize) -> Arc<QuarantineService> {
        let member = &self.members[n];
        let service = QuarantineService::start(QuarantineDeps {
            id: member.id.clone(),
            region: member.region.clone(),
            clock: self.clock,
            fleet: self.fleet_tx.subscribe(),
            peers: Arc::new(CountedPeers {
                peers: self.links.from(member.peer),
                sent: Arc::clone(&self.sent),
            }),
            quarantine_time: QUARANTINE_TIME,
        });
        let handler = Arc::new(QuarantineHandler(Arc::clone(&service)));
        self.links.serve(member.peer, handler);
        service
    }

    /// Replaces an instance by one that knows nothing.
    fn restart(&mut self, n: usize) {
        self.services[n] = self.start_service(n);
    }

    fn set_partition(&self, is_cut: bool) {
        for a in &self.members {
            for b in &self.members {
                if a.region != b.region {
                    self.links.set_cut(a.peer, b.peer, is_cut);
                }
            }
        }
    }

    fn draw(&mut self, n: usize) -> usize {
        self.rng.random_range(0..n)
    }

    /// Returns an instance of a region.
    fn draw_instance(&mut self, in_region: &RegionId) -> usize {
        loop {
            let n = self.draw(self.members.len());
            if self.members[n].region == *in_region {
                return n;
            }
        }
    }

    fn sound_part(&mut self) -> u64 {
        let n = u64::try_from(self.draw(60)).expect("few");
        100 + n % SOUND_PARTS
    }

    /// Answers some sound requests completely, at random instances.
    fn complete_some(&mut self, count: usize) {
        for _ in 0..count {
            let second = self.sound_part();
            let n = self.draw(self.services.len());
            self.next_request += 1;
            let suspects = request(self.next_request, &[FIRST, second]);
            self.services[n].record_complete(self.clock.now(), &suspects);
        }
    }

    /// Ends a target of a region under a request with the harmful part and some sound ones.
    fn crash(&mut self, in_region: &RegionId) {
        self.next_request += 1;
        let harmful = request(self.next_request, &[FIRST, HARMFUL]);
        self.crash_under(in_region, harmful);
    }

    /// Ends a target of a region under a harmful request and some sound ones.
    fn crash_under(&mut self, in_region: &RegionId, harmful: Vec<Suspect>) {
        self.next_target += 1;
        let mut in_flight = vec![harmful];
        for _ in 0..4 {
            let second = self.sound_part();
            self.next_request += 1;
            in_flight.push(request(self.next_request, &[FIRST, second]));
        }
        for suspects in in_flight {
            let crash = Crash {
                target: format!("t{}", self.next_target).into(),
                started_unix_ms: 1,
                suspects,
            };
            let n = self.draw_instance(in_region);
            self.services[n].report(self.clock.now(), crash);
        }
    }

    /// Answers a request completely at a random instance.
    fn complete(&mut self, suspects: &[Suspect]) {
        let n = self.draw(self.services.len());
        self.services[n].record_complete(self.clock.now(), suspects);
    }

    /// Returns the instances that refuse a request as a whole.
    fn refusing_request(&self, suspects: &[Suspect]) -> usize {
        let whole = suspects[0].fingerprint;
        let services = self.services.iter();
        let refusing = services.filter(|s| s.find(suspects).is_some_and(|found| found.0 == whole));
        refusing.count()
    }

    /// Returns the instances that refuse requests with a part.
    fn refusing(&self, id: u64) -> Vec<usize> {
        let suspects = request(u64::MAX / 2, &[id]);
        let services = self.services.iter().enumerate();
        let refusing = services.filter(|(_, s)| s.find(&suspects).is_some_and(|f| f.0 == part(id)));
        refusing.map(|(n, _)| n).collect()
    }

    fn check_no_sound_part_is_refused(&self) {
        for id in (100..100 + SOUND_PARTS).chain([FIRST]) {
            assert_eq!(self.refusing(id), Vec::<usize>::new(), "part {id}");
        }
    }

    /// Waits until instances that `is_meant` selects refuse the harmful part.
    async fn wait_until_refused(&self, limit: Duration, is_meant: impl Fn(usize) -> bool) {
        let began = Instant::now();
        loop {
            let refusing = self.refusing(HARMFUL);
            let meant = (0..self.services.len()).filter(|n| is_meant(*n));
            let lacking: Vec<usize> = meant.filter(|n| !refusing.contains(n)).collect();
            if lacking.is_empty() {
                return;
            }
            assert!(began.elapsed() < limit, "{lacking:?} after {limit:?}");
            sleep(ms(20)).await;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn all_instances_refuse_a_harmful_part_and_no_sound_one() {
    for (count, seed) in [(1, 1), (2, 2), (9, 3), (9, 4), (100, 5), (300, 6)] {
        let mut fleet = TestFleet::start(count, seed);
        sleep(ms(1_000)).await;
        for _ in 0..20 {
            fleet.complete_some(40);
            sleep(ms(100)).await;
        }
        let sent_before = fleet.sent.load(Ordering::Relaxed);
        let began = Instant::now();
        let mut all_refuse = None;
        for n in 0..5 {
            fleet.crash(&region(if count < REGIONS { 0 } else { n }));
            for _ in 0..10 {
                sleep(ms(50)).await;
                if all_refuse.is_none() && fleet.refusing(HARMFUL).len() == count {
                    all_refuse = Some((n + 1, began.elapsed()));
                }
            }
        }
        fleet
            .wait_until_refused(CONTACT_TIME - ms(500), |_| true)
            .await;
        let sent = fleet.sent.load(Ordering::Relaxed) - sent_before;
        fleet.check_no_sound_part_is_refused();
        println!("{count} instances: all refuse after {all_refuse:?}; {sent} messages");
        // Two judges in each region ask all instances after each crash from the third on and tell
        // them once; five reports of each crash reach each judge; each instance compares its
        // quarantines with another's twice.
        let judges = 2 * REGIONS;
        assert!(
            sent <= judges * (count * 4 + 5 * 5) + 2 * count,
            "{sent} messages"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn all_instances_refuse_a_part_that_becomes_harmful_and_no_sound_one() {
    for (count, seed) in [(2, 12), (9, 13), (9, 14), (100, 15), (300, 16)] {
        let mut fleet = TestFleet::start(count, seed);
        sleep(ms(1_000)).await;
        for n in 0..20 {
            fleet.complete_some(40);
            fleet.complete(&request(1_000_000 + n, &[FIRST, HARMFUL]));
            sleep(ms(100)).await;
        }
        let mut fifth_at = None;
        for n in 0..20 {
            let refusing = fleet.refusing(HARMFUL).len();
            if fifth_at.is_some_and(|at: Instant| at.elapsed() >= CONTACT_TIME) {
                assert_eq!(refusing, count, "{n} crashes");
            }
            if refusing == count {
                println!("{count} instances: all refuse after {n} crashes");
                break;
            }
            fleet.crash(&region(n % REGIONS.min(count)));
            if n == 4 {
                fifth_at = Some(Instant::now());
            }
            // Few sound requests are served while targets crash.
            if n % 4 == 3 {
                fleet.complete_some(2);
            }
            sleep(ms(400)).await;
        }
        fleet.wait_until_refused(ms(100), |_| true).await;
        fleet.check_no_sound_part_is_refused();
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_becomes_harmful_is_refused_and_the_parts_that_it_shares_are_not() {
    for (count, seed) in [(2, 22), (9, 23), (100, 25), (300, 26)] {
        let mut fleet = TestFleet::start(count, seed);
        sleep(ms(1_000)).await;
        let harmful = request(2_000_000, &[FIRST, 101]);
        for _ in 0..20 {
            fleet.complete_some(40);
            fleet.complete(&harmful);
            sleep(ms(100)).await;
        }
        let began = Instant::now();
        let mut crashes = 0;
        while fleet.refusing_request(&harmful) < count {
            assert!(
                began.elapsed() < CONTACT_TIME + ms(1_000),
                "{crashes} crashes"
            );
            fleet.crash_under(&region(crashes % REGIONS.min(count)), harmful.clone());
            crashes += 1;
            sleep(ms(400)).await;
        }
        println!("{count} instances: all refuse after {crashes} crashes");
        sleep(ms(8_000)).await;
        fleet.check_no_sound_part_is_refused();
    }
}

#[tokio::test(start_paused = true)]
async fn an_instance_that_starts_later_refuses_a_harmful_part_within_seconds() {
    let mut fleet = TestFleet::start(9, 7);
    sleep(ms(1_000)).await;
    fleet.complete_some(600);
    for n in 0..5 {
        fleet.crash(&region(n));
        sleep(ms(500)).await;
    }
    fleet.wait_until_refused(CONTACT_TIME, |_| true).await;
    for n in 0..9 {
        fleet.restart(n);
        fleet.wait_until_refused(ms(3_000), |_| true).await;
    }
    sleep(QUARANTINE_TIME).await;
    sleep(ms(3_000)).await;
    assert_eq!(fleet.refusing(HARMFUL), Vec::<usize>::new());
    // One more crash is enough, and still tells the harmful part from sound ones.
    fleet.complete_some(600);
    fleet.crash(&region(0));
    fleet.wait_until_refused(ms(1_000), |_| true).await;
    fleet.check_no_sound_part_is_refused();
}

#[tokio::test(start_paused = true)]
async fn a_region_that_is_cut_off_judges_alone_and_tells_the_others_later() {
    let mut fleet = TestFleet::start(9, 8);
    sleep(ms(1_000)).await;
    fleet.complete_some(600);
    fleet.set_partition(true);
    for _ in 0..5 {
        fleet.crash(&region(1));
        sleep(ms(500)).await;
    }
    let members = fleet.members.clone();
    fleet
        .wait_until_refused(CONTACT_TIME, |n| members[n].region == region(1))
        .await;
    assert_eq!(fleet.refusing(HARMFUL).len(), 3);
    fleet.set_partition(false);
    fleet.wait_until_refused(ms(12_000), |_| true).await;
    fleet.check_no_sound_part_is_refused();
}
