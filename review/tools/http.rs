//! HTTP/1.1 on blocking sockets, for the stand-ins.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// The head of a request or of an answer, and the body of a request.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        for pair in query.split('&') {
            if let Some((n, value)) = pair.split_once('=')
                && n == name
            {
                return Some(decode(value));
            }
        }
        None
    }

    fn is_chunked(&self) -> bool {
        let coding = self.header("transfer-encoding").unwrap_or_default();
        coding.eq_ignore_ascii_case("chunked")
    }

    fn length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|l| l.parse().ok()).unwrap_or(0)
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = text.get(i + 1..i + 3);
        match (bytes[i], hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 2;
            }
            (b'+', _) => out.push(b' '),
            (byte, _) => out.push(byte),
        }
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if message.first.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads a request with its body.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if message.is_chunked() {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend_from_slice(&chunk);
        }
    } else {
        message.body = vec![0; message.length()];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Reads a chunk; `None` for the last one.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16);
    let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// The body of an answer, which is read part by part.
pub struct Body {
    reader: BufReader<TcpStream>,
    chunked: bool,
    left: usize,
}

impl Body {
    /// Returns the next bytes; `None` at the end of a complete body.
    pub fn next(&mut self) -> io::Result<Option<Vec<u8>>> {
        if self.chunked {
            return read_chunk(&mut self.reader);
        }
        if self.left == 0 {
            return Ok(None);
        }
        let mut buf = vec![0; self.left.min(65_536)];
        let n = self.reader.read(&mut buf)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.left -= n;
        buf.truncate(n);
        Ok(Some(buf))
    }

    pub fn read_all(mut self) -> io::Result<Vec<u8>> {
        let mut all = Vec::new();
        while let Some(part) = self.next()? {
            all.extend_from_slice(&part);
        }
        Ok(all)
    }
}

/// Sends a request on a new connection and reads the head of the answer.
pub fn send(to: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<(Message, Body)> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1).min(timeout))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let (chunked, left) = (head.is_chunked(), head.length());
    Ok((
        head,
        Body {
            reader,
            chunked,
            left,
        },
    ))
}

pub fn get(to: SocketAddr, target: &str, timeout: Duration) -> io::Result<(u16, Vec<u8>)> {
    let request = format!("GET {target} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    let (head, body) = send(to, request.as_bytes(), timeout)?;
    Ok((head.status(), body.read_all()?))
}

/// Serves connections, each in a thread of its own.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(TcpStream, IpAddr) -> io::Result<()> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                continue;
            };
            let Ok(from) = stream.peer_addr() else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                // The other side may close the connection at any time.
                let _ = handler(stream, from.ip());
            });
        }
    });
}
