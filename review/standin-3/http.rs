//! HTTP/1.1 on blocking sockets, for the store, the workers and the clients.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    /// Returns the path and the parts of the query.
    pub fn split(&self) -> (String, Vec<(String, String)>) {
        let (path, query) = self.target.split_once('?').unwrap_or((&self.target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        (
            decode(path),
            pairs.map(|(n, v)| (decode(n), decode(v))).collect(),
        )
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            if let Ok(byte) = u8::from_str_radix(&text[i + 1..i + 3], 16) {
                out.push(byte);
                i += 3;
                continue;
            }
        }
        out.push(if bytes[i] == b'+' { b' ' } else { bytes[i] });
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the head and the body of a request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((line, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let mut req = Request {
        method,
        target,
        headers,
        body: Vec::new(),
    };
    let chunked = req
        .header("transfer-encoding")
        .is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    if chunked {
        req.body = read_chunks(reader)?;
    } else {
        let length = req
            .header("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        req.body = vec![0; length];
        reader.read_exact(&mut req.body)?;
    }
    Ok(Some(req))
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some((first, headers)));
        }
        let (name, value) = text.split_once(':').unwrap_or((text, ""));
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size =
            usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Serves JSON calls on a connection; an answer of `None` closes it.
pub fn serve(stream: TcpStream, answer: impl Fn(Request) -> io::Result<Option<(u16, String)>>) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(req)) = read_request(&mut reader) {
        let Ok(Some((status, body))) = answer(req) else {
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if writer
            .write_all(format!("{head}{body}").as_bytes())
            .is_err()
        {
            return;
        }
    }
}

/// What a client got.
#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }
}

/// Sends a request on a new connection and reads its answer. Informational answers are skipped.
pub fn ask(to: SocketAddr, request: &[u8], patience: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_write_timeout(Some(patience))?;
    stream.write_all(request)?;
    read_answer(&mut BufReader::new(stream))
}

pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
    let (line, headers) = loop {
        let (line, headers) = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if !line.contains(" 1") || !line.starts_with("HTTP/1.1 1") {
            break (line, headers);
        }
    };
    let status = line
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let mut answer = Answer {
        status,
        headers,
        ..Answer::default()
    };
    if answer
        .header("transfer-encoding")
        .is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    {
        if let Ok(body) = read_chunks(reader) {
            answer.body = body;
            answer.whole = true;
        }
    } else if let Some(length) = answer.header("content-length").and_then(|v| v.parse().ok()) {
        let mut body = vec![0; length];
        answer.whole = reader.read_exact(&mut body).is_ok();
        answer.body = body;
    } else {
        answer.whole = reader.read_to_end(&mut answer.body).is_ok();
    }
    Ok(answer)
}

pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for three in bytes.chunks(3) {
        let n = three.iter().fold(0_u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - three.len()));
        for i in 0..4 {
            let letter = LETTERS[(n >> (18 - 6 * i)) as usize & 63] as char;
            out.push(if i <= three.len() { letter } else { '=' });
        }
    }
    out
}
