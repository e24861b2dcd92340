//! Partitions between loopback addresses, and the relays in front of instances that keep to them.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crate::http;

const POLL: Duration = Duration::from_millis(10);

/// Which addresses reach each other: those on the same island. All are on island 0 unless set.
#[derive(Debug, Default)]
pub struct Net(Mutex<HashMap<IpAddr, u32>>);

impl Net {
    pub fn set_island(&self, ip: IpAddr, island: u32) {
        self.0.lock().expect("unpoisoned").insert(ip, island);
    }

    pub fn is_cut(&self, a: IpAddr, b: IpAddr) -> bool {
        let islands = self.0.lock().expect("unpoisoned");
        let of = |ip| islands.get(&ip).copied().unwrap_or(0);
        of(a) != of(b)
    }

    /// Waits until there is a way.
    pub fn wait(&self, a: IpAddr, b: IpAddr) {
        while self.is_cut(a, b) {
            sleep(POLL);
        }
    }

    /// Relays connections from `listen` to `to`, and holds up their bytes while the way is cut.
    pub fn relay(self: &Arc<Self>, listen: SocketAddr, to: SocketAddr) {
        let listener = TcpListener::bind(listen).expect("a free address");
        let net = Arc::clone(self);
        http::serve(listener, move |stream, from| {
            net.wait(from, to.ip());
            let target = TcpStream::connect_timeout(&to, Duration::from_secs(1));
            let Ok(target) = target else {
                return reset(&stream);
            };
            target.set_nodelay(true)?;
            let (a, b) = (stream.try_clone()?, target.try_clone()?);
            let back = Arc::clone(&net);
            std::thread::spawn(move || back.copy(b, a, from, to.ip()));
            net.copy(stream, target, from, to.ip());
            Ok(())
        });
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, a: IpAddr, b: IpAddr) {
        let mut buf = vec![0; 64 * 1024];
        loop {
            let n = match from.read(&mut buf) {
                Ok(0) => {
                    self.wait(a, b);
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(n) => n,
                Err(_) => {
                    self.wait(a, b);
                    let _ = reset(&to);
                    return;
                }
            };
            self.wait(a, b);
            if to.write_all(&buf[..n]).is_err() {
                let _ = reset(&from);
                return;
            }
        }
    }
}

fn reset(stream: &TcpStream) -> io::Result<()> {
    stream.shutdown(Shutdown::Both)
}
