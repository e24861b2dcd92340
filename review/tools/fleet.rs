//! Instances as processes, with settings as the deploy file's template renders them.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::Json;
use crate::net::Net;

pub const BINARY: &str = "target/release/limpetstand-hosted";

const FRONT_PORT: u16 = 8_221;
const READY_PORT: u16 = 8_224;
const DIRECTORY_PORT: u16 = 8_220;
const PEER_PORT: u16 = 7_600;
const ADMIN_PORT: u16 = 7_601;
/// The port at which the other instances reach an instance, through a relay.
const RELAYED_PORT: u16 = 7_610;

/// Returns the `n`th loopback address of this process.
pub fn address(n: u8) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 128, low, n).into()
}

pub struct Instance {
    pub id: String,
    pub region: String,
    pub ip: IpAddr,
    settings: PathBuf,
    journal: PathBuf,
    child: Option<Child>,
    starts: u32,
}

/// The region of each data centre.
pub type DataCentres = [(&'static str, &'static str)];

impl Instance {
    /// Prepares an instance. With `net`, the other instances reach it through a relay.
    pub fn new(
        n: u8,
        id: &str,
        (zone, region): (&str, &str),
        centres: &DataCentres,
        store: SocketAddr,
        dir: &Path,
        net: Option<&Arc<Net>>,
    ) -> Self {
        let ip = address(n);
        let advertised = match net {
            Some(_) => format!("advertise_peer = \"{ip}:{RELAYED_PORT}\"\n"),
            None => String::new(),
        };
        let centres: String = centres
            .iter()
            .map(|(z, r)| format!("\"{z}\" = \"{r}\"\n"))
            .collect();
        let settings = format!(
            r#"[instance]
id = "{id}"
region = "{region}"
data_centre = "{zone}"
front = "{ip}:{FRONT_PORT}"
peer = "{ip}:{PEER_PORT}"
{advertised}admin = "{ip}:{ADMIN_PORT}"
source = "{ip}"

[store]
kind = "kv"
address = "http://{store}"
timeout_ms = 1000

[policy]
limit = "few-holders"

[log]
level = "warn"
json = true

[gateway]
platform = "kv"
ready = "{ip}:{READY_PORT}"
directory = "{ip}:{DIRECTORY_PORT}"
first_start = true
grace_ms = 8000
retry_ratio = 0.2
retry_slack = 56
retry_window_s = 10
limit_overshoot = 0.1
limit_slack = 110000
limit_window_s = 8
warmup_overshoot = 1.5
warmup_slack = 3

[gateway.data_centres]
{centres}"#
        );
        let path = dir.join(format!("{id}.toml"));
        std::fs::write(&path, settings).expect("settings written");
        if let Some(net) = net {
            net.relay(
                SocketAddr::new(ip, RELAYED_PORT),
                SocketAddr::new(ip, PEER_PORT),
            );
        }
        Self {
            id: id.to_owned(),
            region: region.to_owned(),
            ip,
            settings: path,
            journal: dir.join(format!("{id}.journal")),
            child: None,
            starts: 0,
        }
    }

    pub fn start(&mut self) {
        if self.starts == 1 {
            // Only the first start of the system has `bootstrap`.
            let text = std::fs::read_to_string(&self.settings).expect("settings");
            let text = text.replace("first_start = true", "first_start = false");
            std::fs::write(&self.settings, text).expect("settings written");
        }
        self.starts += 1;
        let out = File::options()
            .create(true)
            .append(true)
            .open(&self.journal);
        let out = out.expect("a journal");
        let child = Command::new(BINARY)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(out.try_clone().expect("a journal"))
            .stderr(out)
            .spawn();
        self.child = Some(child.expect("the instance starts"));
    }

    pub fn directory(&self) -> SocketAddr {
        SocketAddr::new(self.ip, DIRECTORY_PORT)
    }

    pub fn is_ready(&self) -> bool {
        let ready = SocketAddr::new(self.ip, READY_PORT);
        let answer = http::get(ready, "/api/readyz", Duration::from_secs(1));
        matches!(answer, Ok((200, _)))
    }

    pub fn metrics(&self) -> String {
        let admin = SocketAddr::new(self.ip, ADMIN_PORT);
        let answer = http::get(admin, "/metrics", Duration::from_secs(1));
        answer.map_or_else(
            |_| String::new(),
            |(_, body)| String::from_utf8_lossy(&body).into(),
        )
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all instances are ready and their directories name all of them.
pub fn wait_until_up(instances: &[Instance]) -> bool {
    let began = Instant::now();
    let is_up = |i: &Instance| {
        let same = instances.iter().filter(|o| o.region == i.region).count();
        i.is_ready() && resolve(i.directory(), &i.region).len() >= same
    };
    while !instances.iter().all(is_up) {
        if began.elapsed() > Duration::from_secs(20) {
            return false;
        }
        sleep(Duration::from_millis(50));
    }
    true
}

/// Asks a directory which instances a client in the first data centre of a region should use.
pub fn resolve(directory: SocketAddr, region: &str) -> Vec<SocketAddr> {
    let target = format!("/api/resolve?name=ficu95.example&region={region}&zone={region}-a");
    let Ok((200, body)) = http::get(directory, &target, Duration::from_secs(1)) else {
        return Vec::new();
    };
    let body = String::from_utf8_lossy(&body).into_owned();
    let body = Json::parse(&body).unwrap_or(Json::Null);
    let addresses = body.get("addresses").list();
    addresses
        .iter()
        .filter_map(|a| a.text().parse().ok())
        .collect()
}
