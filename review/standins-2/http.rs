//! A small HTTP/1.1 server and client on blocking sockets, enough for the stand-ins.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Longest time for which a server keeps an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// A request as a server receives it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    /// Header names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }
}

/// Connection on which a handler answers.
pub struct Reply<'conn> {
    stream: &'conn TcpStream,
    /// Whether the connection can serve another request.
    pub keep: bool,
}

impl Reply<'_> {
    /// Sends a complete answer.
    pub fn send(&mut self, status: u16, headers: &[(&str, String)], body: &[u8]) -> io::Result<()> {
        let mut out = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str("\r\n");
        let mut bytes = out.into_bytes();
        bytes.extend_from_slice(body);
        let sent = (&mut &*self.stream).write_all(&bytes);
        self.keep &= sent.is_ok();
        sent
    }

    pub fn json(&mut self, status: u16, body: &str) -> io::Result<()> {
        self.send(
            status,
            &[("Content-Type", "application/json".into())],
            body.as_bytes(),
        )
    }

    /// Begins an answer in chunks.
    pub fn begin(&mut self, status: u16, headers: &[(&str, String)]) -> io::Result<()> {
        let mut out = format!("HTTP/1.1 {status} X\r\nTransfer-Encoding: chunked\r\n");
        for (name, value) in headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str("\r\n");
        self.keep = false;
        (&mut &*self.stream).write_all(out.as_bytes())
    }

    /// Sends one chunk; an empty one ends the answer.
    pub fn chunk(&mut self, data: &[u8]) -> io::Result<()> {
        let mut out = format!("{:x}\r\n", data.len()).into_bytes();
        out.extend_from_slice(data);
        out.extend_from_slice(b"\r\n");
        (&mut &*self.stream).write_all(&out)?;
        if data.is_empty() {
            self.keep = true;
        }
        Ok(())
    }

    /// Whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0; 1];
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(length) => length == 0,
            Err(err) => err.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Serves connections to `address` by `handler`, a thread each.
pub fn serve<Handler>(address: SocketAddr, handler: Handler) -> io::Result<SocketAddr>
where
    Handler: Fn(&Request, &mut Reply) + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(&stream, &*handler);
            });
        }
    });
    Ok(bound)
}

fn serve_connection<Handler>(stream: &TcpStream, handler: &Handler) -> io::Result<()>
where
    Handler: Fn(&Request, &mut Reply),
{
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
    let mut reader = BufReader::new(stream);
    loop {
        let Some((first, headers)) = read_head(&mut reader)? else {
            return Ok(());
        };
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = query
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        let body = read_body(&mut reader, &headers)?;
        let close = headers
            .get("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let request = Request {
            method,
            path: path.to_owned(),
            query,
            headers,
            body,
        };
        let mut reply = Reply { stream, keep: true };
        handler(&request, &mut reply);
        if !reply.keep || close {
            let _ = stream.shutdown(std::net::Shutdown::Write);
            return Ok(());
        }
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

type Head = (String, BTreeMap<String, String>);

fn read_head<Input: BufRead>(reader: &mut Input) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body<Input: BufRead>(
    reader: &mut Input,
    headers: &BTreeMap<String, String>,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if headers
        .get("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"))
    {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let length = usize::from_str_radix(line.trim(), 16);
            let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Answer as a client receives it.
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Sends a request over a new connection and reads the whole answer, within `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let left = limit
        .saturating_sub(started.elapsed())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut out = format!(
        "{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(Timed {
        stream,
        until: started + limit,
    });
    let head = read_head(&mut reader)?;
    let (first, headers) = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let body = read_body(&mut reader, &headers)?;
    Ok(Answer {
        status,
        headers,
        body,
    })
}

/// A stream that fails once its time is over.
struct Timed {
    stream: TcpStream,
    until: Instant,
}

impl Read for Timed {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buf)
    }
}
