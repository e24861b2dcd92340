//! Simulated links between and inside regions: TCP relays with delay, bandwidth and partitions.
//!
//! Each destination has its own relay. The source address of a connection tells its region. A cut
//! link holds all bytes until the cut is removed, like retransmission after packet loss. A silenced
//! link holds the bytes of the connections that are open at that time forever.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

const CHUNK_BYTES: usize = 64 * 1024;
/// Most chunks in flight in one direction of a connection.
const WINDOW_CHUNKS: usize = 64;

/// Index of a region, below the number of regions given to [`Links::new`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RegionIndex(pub usize);

/// Source and destination of a link.
type Direction = (RegionIndex, RegionIndex);

#[derive(Debug, Clone, Copy, PartialEq)]
struct Condition {
    cut: bool,
    /// Connections that were opened in an earlier epoch are silent.
    epoch: u64,
}

#[derive(Debug)]
struct LinkState {
    delay: Duration,
    bytes_per_second: f64,
    free_at: Instant,
    bytes: u64,
    condition: watch::Sender<Condition>,
}

#[derive(Debug)]
struct Inner {
    links: HashMap<Direction, LinkState>,
    sources: HashMap<IpAddr, RegionIndex>,
    unknown_sources: u64,
}

/// The links between all regions.
#[derive(Debug, Clone)]
pub struct Links {
    inner: Arc<Mutex<Inner>>,
    regions: usize,
}

impl Links {
    /// Creates the links of `regions` regions; `between` and `inside` are one-way delays.
    pub fn new(regions: usize, between: Duration, inside: Duration, bits_per_second: f64) -> Self {
        let mut links = HashMap::new();
        for from in 0..regions {
            for to in 0..regions {
                let link = LinkState {
                    delay: if from == to { inside } else { between },
                    bytes_per_second: bits_per_second / 8.0,
                    free_at: Instant::now(),
                    bytes: 0,
                    condition: watch::Sender::new(Condition {
                        cut: false,
                        epoch: 0,
                    }),
                };
                links.insert((RegionIndex(from), RegionIndex(to)), link);
            }
        }
        let inner = Inner {
            links,
            sources: HashMap::new(),
            unknown_sources: 0,
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            regions,
        }
    }

    /// Sets the region of connections from a source address.
    pub fn set_source(&self, ip: IpAddr, region: RegionIndex) {
        self.lock().sources.insert(ip, region);
    }

    /// Sets the one-way delay from one region to another.
    pub fn set_delay(&self, from: RegionIndex, to: RegionIndex, delay: Duration) {
        if let Some(link) = self.lock().links.get_mut(&(from, to)) {
            link.delay = delay;
        }
    }

    /// Sets the bandwidth of the link from one region to another.
    pub fn set_rate(&self, from: RegionIndex, to: RegionIndex, bits_per_second: f64) {
        if let Some(link) = self.lock().links.get_mut(&(from, to)) {
            link.bytes_per_second = bits_per_second / 8.0;
        }
    }

    /// Cuts or restores the link from one region to another, in this direction only.
    pub fn set_cut(&self, from: RegionIndex, to: RegionIndex, cut: bool) {
        if let Some(link) = self.lock().links.get(&(from, to)) {
            link.condition.send_modify(|c| c.cut = cut);
        }
    }

    /// Cuts or restores all links between a region and the others, in both directions.
    pub fn set_isolated(&self, region: RegionIndex, cut: bool) {
        for other in 0..self.regions {
            let other = RegionIndex(other);
            if other == region {
                continue;
            }
            self.set_cut(region, other, cut);
            self.set_cut(other, region, cut);
        }
    }

    /// Silences the connections that are open now between two regions, in both directions.
    pub fn silence_open_connections(&self, a: RegionIndex, b: RegionIndex) {
        let inner = self.lock();
        for link in [(a, b), (b, a)] {
            if let Some(link) = inner.links.get(&link) {
                link.condition.send_modify(|c| c.epoch += 1);
            }
            if a == b {
                return;
            }
        }
    }

    /// Returns the number of bytes carried between different regions.
    pub fn inter_region_bytes(&self) -> u64 {
        let inner = self.lock();
        let mut bytes = 0;
        for ((from, to), link) in &inner.links {
            if from != to {
                bytes += link.bytes;
            }
        }
        bytes
    }

    /// Returns the number of bytes carried from one region to another.
    pub fn bytes_between(&self, from: RegionIndex, to: RegionIndex) -> u64 {
        let inner = self.lock();
        inner.links.get(&(from, to)).map_or(0, |link| link.bytes)
    }

    /// Returns the number of bytes carried between and inside regions.
    pub fn bytes(&self) -> u64 {
        self.lock().links.values().map(|link| link.bytes).sum()
    }

    /// Returns the number of connections whose source address has no region.
    pub fn unknown_sources(&self) -> u64 {
        self.lock().unknown_sources
    }

    /// Starts a relay from `listen` to the address `to` in a region.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn relay(
        &self,
        listen: SocketAddr,
        to: SocketAddr,
        region: RegionIndex,
    ) -> io::Result<Relay> {
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let (alive, closed) = watch::channel(());
        tokio::spawn(accept_connections(
            listener,
            self.clone(),
            to,
            region,
            closed,
        ));
        Ok(Relay {
            address,
            _alive: alive,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn source_region(&self, ip: IpAddr, default: RegionIndex) -> RegionIndex {
        let mut inner = self.lock();
        if let Some(region) = inner.sources.get(&ip) {
            return *region;
        }
        inner.unknown_sources += 1;
        default
    }

    fn condition(&self, link: Direction) -> watch::Receiver<Condition> {
        self.lock().links[&link].condition.subscribe()
    }

    fn delay(&self, link: Direction) -> Duration {
        self.lock().links[&link].delay
    }

    /// Occupies the link for the transmission of `bytes`; returns when the last byte arrives.
    fn transmit(&self, link: Direction, bytes: usize) -> Instant {
        let mut inner = self.lock();
        let Some(state) = inner.links.get_mut(&link) else {
            return Instant::now();
        };
        let time = Duration::from_secs_f64(bytes as f64 / state.bytes_per_second);
        state.free_at = state.free_at.max(Instant::now()) + time;
        state.bytes += bytes as u64;
        state.free_at + state.delay
    }
}

/// A running relay; dropping it closes its port and its connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    _alive: watch::Sender<()>,
}

impl Relay {
    /// Returns the address at which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept_connections(
    listener: TcpListener,
    links: Links,
    to: SocketAddr,
    region: RegionIndex,
    mut closed: watch::Receiver<()>,
) {
    let mut conns = JoinSet::new();
    loop {
        tokio::select! {
            _ = closed.changed() => return,
            accepted = listener.accept() => {
                let Ok((stream, from)) = accepted else {
                    continue;
                };
                let source = links.source_region(from.ip(), region);
                let link = (source, region);
                conns.spawn(relay_connection(stream, from.ip(), links.clone(), to, link));
            }
            Some(_) = conns.join_next() => {}
        }
    }
}

/// Relays one connection in both directions.
async fn relay_connection(
    client: TcpStream,
    client_ip: IpAddr,
    links: Links,
    to: SocketAddr,
    to_server: Direction,
) {
    let (source, region) = to_server;
    let to_client = (region, source);
    let epochs = [to_server, to_client].map(|link| links.condition(link).borrow().epoch);
    // A TCP handshake takes a round trip before the first byte.
    let round_trip = links.delay(to_server) + links.delay(to_client);
    tokio::time::sleep(round_trip).await;
    for (link, epoch) in [to_server, to_client].into_iter().zip(epochs) {
        if wait_until_open(&mut links.condition(link), epoch)
            .await
            .is_none()
        {
            return;
        }
    }
    let Ok(server) = connect_from(client_ip, to).await else {
        return;
    };
    if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let upload = copy_one_way(
        client_read,
        server_write,
        links.clone(),
        to_server,
        epochs[0],
    );
    let download = copy_one_way(server_read, client_write, links, to_client, epochs[1]);
    tokio::join!(upload, download);
}

/// Connects from the address of the client, by which the destination tells its clients apart.
async fn connect_from(client_ip: IpAddr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = if to.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.bind(SocketAddr::new(client_ip, 0))?;
    socket.connect(to).await
}

/// Waits until a connection can transmit; `None` if the links are gone.
///
/// For a silenced connection the wait never ends.
async fn wait_until_open(condition: &mut watch::Receiver<Condition>, epoch: u64) -> Option<()> {
    let now = *condition.wait_for(|c| !c.cut).await.ok()?;
    if now.epoch > epoch {
        // A silenced connection stays open and transmits nothing.
        std::future::pending::<()>().await;
    }
    Some(())
}

async fn copy_one_way(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    links: Links,
    link: Direction,
    epoch: u64,
) {
    let (tx, mut rx) = mpsc::channel::<(Instant, BytesMut)>(WINDOW_CHUNKS);
    let mut condition = links.condition(link);
    let eof_delay = links.delay(link);
    let read = async move {
        loop {
            let mut buf = BytesMut::with_capacity(CHUNK_BYTES);
            match from.read_buf(&mut buf).await {
                Ok(0) | Err(_) => return,
                Ok(n) => {
                    let at = links.transmit(link, n);
                    if tx.send((at, buf)).await.is_err() {
                        return;
                    }
                }
            }
        }
    };
    let write = async move {
        while let Some((at, buf)) = rx.recv().await {
            tokio::time::sleep_until(at).await;
            if wait_until_open(&mut condition, epoch).await.is_none() {
                return;
            }
            if to.write_all(&buf).await.is_err() {
                return;
            }
        }
        // The end of the stream is subject to the same delay and cuts as the bytes.
        tokio::time::sleep(eof_delay).await;
        if wait_until_open(&mut condition, epoch).await.is_some() {
            drop(to.shutdown().await);
        }
    };
    tokio::join!(read, write);
}
