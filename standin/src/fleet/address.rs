//! Blocks of loopback addresses that are reserved for one fleet at a time.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::net::TcpListener;

/// The second octet of a block is one of `NETS` values from here on.
const FIRST_NET: u32 = 64;
const NETS: u32 = 128;
/// Distance between successive candidates of one process, which keeps them apart from those of
/// processes with adjacent IDs.
const BLOCK_STEP: u32 = 7919;
const ATTEMPTS: u32 = 64;
/// A listener at this port and host of a block marks the block as reserved.
const LOCK_PORT: u16 = 7999;
const LOCK_HOST: u8 = 254;

static NEXT_CANDIDATE: AtomicU32 = AtomicU32::new(0);

/// A block of 253 loopback addresses, reserved until the value is dropped.
#[derive(Debug)]
pub struct AddressBlock {
    net: u8,
    subnet: u8,
    _lock: TcpListener,
}

impl AddressBlock {
    /// Reserves a block that no other process uses.
    ///
    /// # Errors
    ///
    /// If every block tried is in use.
    pub async fn reserve() -> io::Result<Self> {
        let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
        for _ in 0..ATTEMPTS {
            let n = NEXT_CANDIDATE.fetch_add(1, Ordering::Relaxed);
            let candidate = std::process::id().wrapping_add(n.wrapping_mul(BLOCK_STEP));
            let net = FIRST_NET + (candidate >> 8) % NETS;
            let [.., net] = net.to_be_bytes();
            let [.., subnet] = candidate.to_be_bytes();
            let lock_address = SocketAddr::new(ip(net, subnet, LOCK_HOST), LOCK_PORT);
            match TcpListener::bind(lock_address).await {
                Ok(lock) => {
                    return Ok(Self {
                        net,
                        subnet,
                        _lock: lock,
                    });
                }
                Err(e) => last_error = e,
            }
        }
        Err(last_error)
    }

    /// Returns the address of a host of the block; hosts are 1 to 253.
    pub fn ip(&self, host: u8) -> IpAddr {
        ip(self.net, self.subnet, host)
    }

    /// Returns the socket address of a host and port of the block.
    pub fn socket_addr(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }
}

fn ip(net: u8, subnet: u8, host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net, subnet, host))
}
