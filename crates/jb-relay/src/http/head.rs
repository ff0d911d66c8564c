//! Parsing and writing of request and response heads.

use std::ops::RangeInclusive;

use bytes::{BufMut as _, Bytes, BytesMut};

use super::{Error, Framing};

/// Maximum number of header lines in a head; a head with more is rejected as malformed.
const MAX_HEADERS: usize = 96;
/// Status codes of HTTP (RFC 9110, section 15). Responses with any other one, or with 101, have no defined end.
const STATUSES: RangeInclusive<u16> = 100..=599;
/// Status of a response after which the connection carries another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;
/// Hop-by-hop headers, which are never forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// One header line.
#[derive(Clone, Debug)]
pub struct Header {
    /// Name as received.
    pub name: Bytes,
    /// Value without surrounding whitespace.
    pub value: Bytes,
}

/// Header lines in the order received.
#[derive(Clone, Debug, Default)]
pub struct Headers(pub Vec<Header>);

impl Headers {
    /// Returns the value of the first line with this name, ignoring case.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let found = self
            .0
            .iter()
            .find(|h| h.name.eq_ignore_ascii_case(name.as_bytes()));
        found.map(|h| h.value.as_ref())
    }

    /// Returns the value of the first line with this name as trimmed text; `None` if it is not UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok().map(str::trim)
    }

    /// Returns the values of all lines with this name as trimmed text, without those that are not UTF-8.
    pub fn all(&self, name: &str) -> impl Iterator<Item = &str> {
        let lines = self
            .0
            .iter()
            .filter(move |h| h.name.eq_ignore_ascii_case(name.as_bytes()));
        lines
            .filter_map(|h| std::str::from_utf8(&h.value).ok())
            .map(str::trim)
    }

    /// Returns the value of the first line with this name as a number; `None` if it is not one.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }

    /// Returns whether a comma-separated header contains a token, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Returns the lines that can be forwarded: neither hop-by-hop headers nor named by `Connection`.
    pub fn end_to_end(&self) -> impl Iterator<Item = &Header> {
        self.0.iter().filter(|h| {
            let name = std::str::from_utf8(&h.name).unwrap_or_default();
            !HOP_BY_HOP.iter().any(|hop| hop.eq_ignore_ascii_case(name))
                && !self.has_token("connection", name)
        })
    }

    fn count(&self, name: &str) -> usize {
        self.0
            .iter()
            .filter(|h| h.name.eq_ignore_ascii_case(name.as_bytes()))
            .count()
    }

    /// Returns the framing stated by the headers; `None` if they state none.
    fn framing(&self) -> Result<Option<Framing>, Error> {
        let codings = self.count("transfer-encoding");
        let lengths = self.count("content-length");
        if codings > 1 || lengths > 1 || (codings > 0 && lengths > 0) {
            return Err(Error::Malformed("conflicting body lengths"));
        }
        if codings == 1 {
            let chunked = self
                .text("transfer-encoding")
                .is_some_and(|c| c.eq_ignore_ascii_case("chunked"));
            return if chunked {
                Ok(Some(Framing::Chunked))
            } else {
                Err(Error::Malformed("unsupported transfer coding"))
            };
        }
        let Some(length) = self.get("content-length") else {
            return Ok(None);
        };
        let digits = !length.is_empty() && length.len() < 19 && length.iter().all(u8::is_ascii_digit);
        let length = std::str::from_utf8(length)
            .ok()
            .filter(|_| digits)
            .and_then(|l| l.parse().ok());
        length
            .map(|l| Some(Framing::Length(l)))
            .ok_or(Error::Malformed("invalid content length"))
    }
}

/// Head of an HTTP request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method as received.
    pub method: Bytes,
    /// Path with the query, as received.
    pub target: Bytes,
    /// Header lines.
    pub headers: Headers,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
}

impl RequestHead {
    /// Parses one complete head and removes it from `buffer`; `None` while it is incomplete.
    ///
    /// # Errors
    /// Returns [`Error::Malformed`] for invalid bytes, and for anything that two parsers could interpret differently.
    pub fn parse(buffer: &mut BytesMut) -> Result<Option<Self>, Error> {
        let Some(raw) = take_head(buffer)? else {
            return Ok(None);
        };
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut lines);
        let status = parsed
            .parse(&raw)
            .map_err(|_| Error::Malformed("invalid request head"))?;
        if status.is_partial() {
            return Err(Error::Malformed("invalid request head"));
        }
        let method = raw.slice_ref(parsed.method.unwrap_or_default().as_bytes());
        let target = raw.slice_ref(parsed.path.unwrap_or_default().as_bytes());
        if !target.starts_with(b"/") {
            return Err(Error::Malformed("request target is not a path"));
        }
        let is_http_1_0 = parsed.version == Some(0);
        let headers = to_headers(&raw, parsed.headers);
        if headers.count("host") != 1 {
            return Err(Error::Malformed("missing or duplicate host header"));
        }
        let framing = headers.framing()?.unwrap_or(Framing::Length(0));
        let keep_alive = !is_http_1_0 && !headers.has_token("connection", "close");
        Ok(Some(Self {
            method,
            target,
            headers,
            framing,
            keep_alive,
        }))
    }

    /// Returns the target without its query.
    pub fn path(&self) -> &[u8] {
        let end = memchr::memchr(b'?', &self.target).unwrap_or(self.target.len());
        &self.target[..end]
    }
}

/// Head of an HTTP response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Header lines.
    pub headers: Headers,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// Parses one complete head and removes it from `buffer`; `None` while it is incomplete.
    ///
    /// # Errors
    /// Returns [`Error::Malformed`] for bytes that are not a response head.
    pub fn parse(buffer: &mut BytesMut) -> Result<Option<Self>, Error> {
        let Some(raw) = take_head(buffer)? else {
            return Ok(None);
        };
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut lines);
        let status = parsed
            .parse(&raw)
            .map_err(|_| Error::Malformed("invalid response head"))?;
        if status.is_partial() {
            return Err(Error::Malformed("invalid response head"));
        }
        let status = parsed.code.unwrap_or_default();
        if !STATUSES.contains(&status) {
            return Err(Error::Malformed("status outside the classes of HTTP"));
        }
        if status == SWITCHING_PROTOCOLS {
            return Err(Error::Malformed("switch to a protocol that was not requested"));
        }
        let is_http_1_0 = parsed.version == Some(0);
        let headers = to_headers(&raw, parsed.headers);
        let empty = status < 200 || status == 204 || status == 304;
        let stated = headers.framing()?;
        let framing = if empty {
            Framing::Length(0)
        } else {
            stated.unwrap_or(Framing::UntilClose)
        };
        let keep_alive = !is_http_1_0
            && !headers.has_token("connection", "close")
            && !matches!(framing, Framing::UntilClose);
        Ok(Some(Self {
            status,
            headers,
            framing,
            keep_alive,
        }))
    }
}

/// Removes the bytes up to and including the blank line from `buffer`; `None` while there is none.
fn take_head(buffer: &mut BytesMut) -> Result<Option<Bytes>, Error> {
    if buffer.first().is_some_and(|b| !b.is_ascii_alphabetic()) {
        return Err(Error::Malformed("head does not start with a letter"));
    }
    let Some(end) = memchr::memmem::find(buffer, b"\r\n\r\n") else {
        return if has_bare_line_end(buffer) {
            Err(Error::Malformed("line end without CR"))
        } else {
            Ok(None)
        };
    };
    let raw = buffer.split_to(end + 4).freeze();
    if has_bare_line_end(&raw) {
        return Err(Error::Malformed("line end without CR"));
    }
    Ok(Some(raw))
}

fn has_bare_line_end(bytes: &[u8]) -> bool {
    memchr::memchr_iter(b'\n', bytes).any(|at| at == 0 || bytes[at - 1] != b'\r')
}

fn to_headers(raw: &Bytes, lines: &[httparse::Header<'_>]) -> Headers {
    let to_header = |line: &httparse::Header<'_>| Header {
        name: raw.slice_ref(line.name.as_bytes()),
        value: if line.value.is_empty() {
            Bytes::new()
        } else {
            raw.slice_ref(line.value)
        },
    };
    Headers(lines.iter().map(to_header).collect())
}

/// Appends one header line. Bytes that would end the line become blanks (RFC 9110, section 5.5).
fn write_line(out: &mut BytesMut, name: &[u8], value: &[u8]) {
    out.put_slice(name);
    out.put_slice(b": ");
    let begin = out.len();
    out.put_slice(value);
    for byte in &mut out[begin..] {
        if matches!(byte, b'\r' | b'\n' | b'\0') {
            *byte = b' ';
        }
    }
    out.put_slice(b"\r\n");
}

fn write_framing(out: &mut BytesMut, framing: Framing) {
    match framing {
        Framing::Length(length) => write_line(out, b"Content-Length", length.to_string().as_bytes()),
        Framing::Chunked | Framing::UntilClose => write_line(out, b"Transfer-Encoding", b"chunked"),
    }
}

/// Appends the head of a request; `framing` is `None` for a request without a body.
pub fn write_request_head<'a>(
    out: &mut BytesMut,
    method: &[u8],
    target: &[u8],
    lines: impl Iterator<Item = (&'a [u8], &'a [u8])>,
    framing: Option<Framing>,
) {
    out.put_slice(method);
    out.put_u8(b' ');
    out.put_slice(target);
    out.put_slice(b" HTTP/1.1\r\n");
    for (name, value) in lines {
        write_line(out, name, value);
    }
    if let Some(framing) = framing {
        write_framing(out, framing);
    }
    out.put_slice(b"\r\n");
}

/// Appends the head of a response. A body without a known length is sent in chunks.
pub fn write_response_head<'a>(
    out: &mut BytesMut,
    status: u16,
    lines: impl Iterator<Item = (&'a [u8], &'a [u8])>,
    framing: Framing,
    keep_alive: bool,
) {
    out.put_slice(b"HTTP/1.1 ");
    out.put_slice(status.to_string().as_bytes());
    out.put_u8(b' ');
    out.put_slice(reason(status).as_bytes());
    out.put_slice(b"\r\n");
    for (name, value) in lines {
        write_line(out, name, value);
    }
    write_framing(out, framing);
    if !keep_alive {
        write_line(out, b"Connection", b"close");
    }
    out.put_slice(b"\r\n");
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
