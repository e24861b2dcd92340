//! A fleet on loopback addresses: instances run as processes, the stand-ins as tasks.

mod address;
mod process;
mod usage;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use eyre::{Result, WrapErr};
use sha2::{Digest, Sha256};

use crate::engine::{Engine, Pace};
use crate::link::{Links, RegionIndex, Relay};
use crate::platform::{Group, Platform};
use crate::service::Service;
use crate::store::Store;
pub use address::AddressBlock;
pub use process::{Instance, ProcessState, find_daemon};
pub use usage::Usage;

/// One-way delay between regions.
pub const INTER_REGION_DELAY: Duration = Duration::from_millis(80);
/// One-way delay inside a region.
pub const INTRA_REGION_DELAY: Duration = Duration::from_millis(1);

const LINK_BITS_PER_SECOND: f64 = 2e9;
const READY_TIMEOUT: Duration = Duration::from_secs(15);

// Last octets of the addresses in the fleet's block; an instance has its index plus 1.
const STORE_HOST: u8 = 250;
const PLATFORM_HOST: u8 = 251;
const SERVICE_HOST: u8 = 240;
const ENGINE_HOST: u8 = 200;

// A relay port forwards to the port of the same server over the simulated links.
const FRONT_PORT: u16 = 8080;
const PEER_PORT: u16 = 8081;
const ADMIN_PORT: u16 = 8082;
const PEER_RELAY_PORT: u16 = 9081;
const TARGET_PORT: u16 = 8000;
const TARGET_RELAY_PORT: u16 = 9000;
const STORE_PORT: u16 = 2379;
const STORE_RELAY_PORT: u16 = 2380;
const PLATFORM_PORT: u16 = 7000;

/// Most instances that one fleet can start, exited ones included.
pub const MAX_INSTANCES: usize = 190;

/// Policies in the daemons' settings; an empty name selects the default.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Policy {
    /// Name of the limiter.
    pub limit: String,
    /// Name of the route scorer.
    pub route: String,
    /// Name of the attempt policy.
    pub attempt: String,
}

/// Configuration of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    /// Path of the `limpetstandd` executable.
    pub daemon: PathBuf,
    /// Names of the regions; the store is in the first region.
    pub regions: Vec<String>,
    /// Number of instances, distributed over all regions.
    pub instances: usize,
    /// Number of engines in each region.
    pub engines_per_region: usize,
    /// Speed and capacity of each engine.
    pub pace: Pace,
    /// Model that all engines have loaded.
    pub model: String,
    /// Name of the plain service; each region has one target that provides it.
    pub service: String,
    /// Price of a thousand tokens in each region.
    pub prices: Vec<f64>,
    /// Texts, such as API keys, that must never reach a target.
    pub secrets: Vec<String>,
    /// Root token of the admin interface.
    pub root_token: String,
    /// Policies of the daemons.
    pub policy: Policy,
    /// Drain time of the daemons; the default if `None`.
    pub drain: Option<Duration>,
}

/// A running fleet; dropping it kills its processes.
pub struct Fleet {
    /// Configuration of the fleet.
    pub spec: FleetSpec,
    /// Stand-in for the store.
    pub store: Store,
    /// Stand-in for the instance list, the directory and the weight store.
    pub platform: Platform,
    /// Simulated links between and inside the regions.
    pub links: Links,
    /// Engines, ordered by region.
    pub engines: Vec<Engine>,
    /// Plain services, one in each region.
    pub services: Vec<Service>,
    /// Instances in the order of their start, exited ones included.
    pub instances: Vec<Instance>,
    block: AddressBlock,
    relays: Vec<Relay>,
    client: reqwest::Client,
    dir: PathBuf,
}

impl Fleet {
    /// Starts the stand-ins and the instances, and waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound or an instance does not become ready.
    pub async fn start(spec: FleetSpec) -> Result<Self> {
        let mut fleet = Self::start_without_instances(spec).await?;
        for n in 0..fleet.spec.instances {
            let region = RegionIndex(n % fleet.spec.regions.len());
            fleet.spawn_instance(region)?;
        }
        for instance in &mut fleet.instances {
            instance.wait_ready(&fleet.client, READY_TIMEOUT).await?;
        }
        Ok(fleet)
    }

    /// Starts the store, the platform, the links and the targets, but no instances.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    pub async fn start_without_instances(spec: FleetSpec) -> Result<Self> {
        let block = AddressBlock::reserve()
            .await
            .wrap_err("no free block of loopback addresses")?;
        let regions = spec.regions.len();
        let links = Links::new(
            regions,
            INTER_REGION_DELAY,
            INTRA_REGION_DELAY,
            LINK_BITS_PER_SECOND,
        );
        let store = Store::start(block.socket_addr(STORE_HOST, STORE_PORT)).await?;
        let platform = Platform::start(block.socket_addr(PLATFORM_HOST, PLATFORM_PORT)).await?;
        let name = format!("limpetstand-{}-{}", std::process::id(), block.ip(1));
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).wrap_err("cannot create the folder for settings files")?;
        let mut fleet = Self {
            store,
            platform,
            links,
            engines: Vec::new(),
            services: Vec::new(),
            instances: Vec::new(),
            block,
            relays: Vec::new(),
            client: reqwest::Client::new(),
            dir,
            spec,
        };
        let store_relay = fleet.block.socket_addr(STORE_HOST, STORE_RELAY_PORT);
        fleet.add_relay(store_relay, fleet.store.address(), RegionIndex(0))?;
        for region in 0..regions {
            fleet.start_targets(RegionIndex(region)).await?;
        }
        Ok(fleet)
    }

    /// Returns the name of a region.
    pub fn region_name(&self, region: RegionIndex) -> &str {
        &self.spec.regions[region.0]
    }

    /// Starts an instance in a region and waits until it is ready; returns its index.
    ///
    /// # Errors
    ///
    /// If the instance does not become ready.
    pub async fn add_instance(&mut self, region: RegionIndex) -> Result<usize> {
        let index = self.spawn_instance(region)?;
        let instance = &mut self.instances[index];
        instance.wait_ready(&self.client, READY_TIMEOUT).await?;
        Ok(index)
    }

    /// Starts the process of an instance and adds it to the instance list; returns its index.
    ///
    /// # Errors
    ///
    /// If the process cannot be started.
    pub fn spawn_instance(&mut self, region: RegionIndex) -> Result<usize> {
        let index = self.instances.len();
        eyre::ensure!(
            index < MAX_INSTANCES,
            "a fleet has at most {MAX_INSTANCES} instances"
        );
        let host = u8::try_from(index + 1).wrap_err("too many instances")?;
        let id = format!("{}-{}", self.region_name(region), index + 1);
        let front = self.block.socket_addr(host, FRONT_PORT);
        let peer = self.block.socket_addr(host, PEER_PORT);
        let admin = self.block.socket_addr(host, ADMIN_PORT);
        let peer_relay = self.block.socket_addr(host, PEER_RELAY_PORT);
        self.links.set_source(front.ip(), region);
        let relay = self.links.relay(peer_relay, peer, region)?;
        let settings = self.dir.join(format!("{id}.toml"));
        let text = self.settings_text(&id, region, [front, peer, admin, peer_relay]);
        std::fs::write(&settings, text).wrap_err("cannot write the settings file")?;
        let output_file = self.dir.join(format!("{id}.err"));
        let child = Instance::spawn(&self.spec.daemon, &settings, &output_file)?;
        let group = Group::new(front)
            .label("kind", "instance")
            .label("id", id.as_str())
            .label("region", self.region_name(region))
            .label("data_centre", self.data_centre(region, index))
            .label("state", "live")
            .label("peer", peer_relay.to_string());
        self.platform.add(group);
        self.instances.push(Instance {
            id,
            region,
            front,
            admin,
            state: ProcessState::Running,
            output_file,
            child,
            _relay: relay,
        });
        Ok(index)
    }

    /// Returns the folder of the settings and log files.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    fn data_centre(&self, region: RegionIndex, n: usize) -> String {
        let letter = if (n / self.spec.regions.len()).is_multiple_of(2) {
            'a'
        } else {
            'b'
        };
        format!("{}-{letter}", self.region_name(region))
    }

    fn settings_text(&self, id: &str, region: RegionIndex, addresses: [SocketAddr; 4]) -> String {
        let [front, peer, admin, advertised] = addresses;
        let log = self.dir.join(format!("{id}.log"));
        let mut policy = String::new();
        let names = [
            ("limit", &self.spec.policy.limit),
            ("route", &self.spec.policy.route),
            ("attempt", &self.spec.policy.attempt),
        ];
        for (name, value) in names {
            if !value.is_empty() {
                policy.push_str(&format!("{name} = \"{value}\"\n"));
            }
        }
        let front_settings = self.spec.drain.map_or(String::new(), |drain| {
            format!("[front]\ndrain_ms = {}\n", drain.as_millis())
        });
        format!(
            r#"[instance]
id = "{id}"
region = "{region}"
data_centre = "{data_centre}"
front = "{front}"
peer = "{peer}"
admin = "{admin}"
advertise_peer = "{advertised}"
source = "{source}"

[store]
kind = "etcd"
address = "http://{store}"

[platform]
list = "http://{platform}/instances"
directory = "http://{platform}/directory"
weights = "http://{platform}/weights"

[admin]
root_hash = "{root_hash}"

[log]
file = "{log}"

{front_settings}
[policy]
{policy}"#,
            region = self.region_name(region),
            data_centre = self.data_centre(region, self.instances.len()),
            source = front.ip(),
            store = self.block.socket_addr(STORE_HOST, STORE_RELAY_PORT),
            platform = self.platform.address(),
            root_hash = sha256_hex(&self.spec.root_token),
            log = log.display(),
        )
    }

    fn add_relay(&mut self, listen: SocketAddr, to: SocketAddr, region: RegionIndex) -> Result<()> {
        self.relays.push(self.links.relay(listen, to, region)?);
        Ok(())
    }

    async fn start_targets(&mut self, region: RegionIndex) -> Result<()> {
        for n in 0..self.spec.engines_per_region {
            self.start_engine(region, n).await?;
        }
        let host = SERVICE_HOST + u8::try_from(region.0).wrap_err("too many regions")?;
        let name = self.region_name(region).to_owned();
        let address = self.block.socket_addr(host, TARGET_PORT);
        let service = Service::start(address, &name, &self.spec.secrets).await?;
        let relay_address = self.block.socket_addr(host, TARGET_RELAY_PORT);
        self.add_relay(relay_address, address, region)?;
        let id = format!("{name}-{}", self.spec.service);
        let group = self
            .target_group(&id, region, 0, relay_address)
            .label("plugin", "plain")
            .label("service", self.spec.service.as_str())
            .label("capacity", "200")
            .label("slots", "64")
            .label("price", "0");
        self.platform.add(group);
        self.services.push(service);
        Ok(())
    }

    async fn start_engine(&mut self, region: RegionIndex, n: usize) -> Result<()> {
        let index = self.engines.len();
        let host = ENGINE_HOST + u8::try_from(index).wrap_err("too many engines")?;
        eyre::ensure!(host < SERVICE_HOST, "too many engines");
        let id = format!("{}-engine-{}", self.region_name(region), n + 1);
        let address = self.block.socket_addr(host, TARGET_PORT);
        let engine = Engine::builder(&id, self.region_name(region))
            .pace(self.spec.pace)
            .model(&self.spec.model, "1")
            .refuses_stale_orders(n.is_multiple_of(2))
            .secrets(&self.spec.secrets)
            .start(address)
            .await?;
        let relay_address = self.block.socket_addr(host, TARGET_RELAY_PORT);
        self.add_relay(relay_address, address, region)?;
        let group = self
            .target_group(&id, region, n, relay_address)
            .label("plugin", "openai")
            .label("models", self.spec.model.as_str())
            .label("capacity", self.spec.pace.tokens_per_second.to_string())
            .label("slots", self.spec.pace.slots.to_string())
            .label("price", self.price(region).to_string());
        self.platform.add(group);
        self.engines.push(engine);
        Ok(())
    }

    /// Returns the price of a thousand tokens in a region.
    pub fn price(&self, region: RegionIndex) -> f64 {
        self.spec.prices.get(region.0).copied().unwrap_or(1.0)
    }

    fn target_group(&self, id: &str, region: RegionIndex, n: usize, address: SocketAddr) -> Group {
        Group::new(address)
            .label("kind", "target")
            .label("id", id)
            .label("region", self.region_name(region))
            .label(
                "data_centre",
                self.data_centre(region, n * self.spec.regions.len()),
            )
            .label("state", "live")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            // The kill fails if the process has exited already.
            drop(instance.child.start_kill());
        }
        if std::env::var_os("LIMPETSTAND_KEEP").is_none() {
            drop(std::fs::remove_dir_all(&self.dir));
        }
    }
}

/// Returns the SHA-256 of a text as hexadecimal digits.
pub fn sha256_hex(text: &str) -> String {
    let mut hex = String::new();
    for byte in Sha256::digest(text.as_bytes()) {
        hex.push_str(&format!("{byte:02x}"));
    }
    hex
}
