//! As much HTTP/1.1 over blocking sockets as the stand-ins need.

use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::TcpStream;

/// A connection that is read line by line.
pub(crate) struct Connection {
    reader: BufReader<TcpStream>,
}

/// A head of a request or an answer.
#[derive(Debug)]
pub(crate) struct Head {
    /// First line.
    pub first: String,
    fields: Vec<(String, String)>,
}

impl Head {
    /// The value of a field, by its name in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields.find_map(|(key, value)| (key == name).then_some(value.as_str()))
    }

    /// A word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    /// Bytes of the body, where its length is given.
    pub fn length(&self) -> usize {
        let length = self.field("content-length");
        length.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Whether the body comes in chunks.
    pub fn is_chunked(&self) -> bool {
        self.field("transfer-encoding").is_some()
    }

    /// Whether the connection ends with this message.
    pub fn closes(&self) -> bool {
        let field = self.field("connection");
        field.is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

impl Connection {
    /// Reads and writes on a stream.
    pub fn new(stream: TcpStream) -> Self {
        // Small messages only: delay would be the stand-in's, not the gateway's.
        let _ = stream.set_nodelay(true);
        Connection {
            reader: BufReader::new(stream),
        }
    }

    /// The stream.
    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    /// Whether bytes were read that nobody asked for yet.
    pub fn has_buffered(&self) -> bool {
        !self.reader.buffer().is_empty()
    }

    /// Writes bytes.
    pub fn send(&mut self, bytes: &[u8]) -> Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Waits for the next byte; `false` at the end.
    pub fn has_more(&mut self) -> Result<bool> {
        Ok(!self.reader.fill_buf()?.is_empty())
    }

    /// Reads a head.
    pub fn head(&mut self) -> Result<Head> {
        let first = self.line()?;
        let mut fields = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Head { first, fields });
            }
            if let Some((key, value)) = line.split_once(':') {
                fields.push((key.to_ascii_lowercase(), value.trim().to_string()));
            }
        }
    }

    /// Reads so many bytes.
    pub fn bytes(&mut self, length: usize) -> Result<Vec<u8>> {
        let mut bytes = vec![0; length];
        self.reader.read_exact(&mut bytes)?;
        Ok(bytes)
    }

    /// Reads a chunk; an empty one is the marked end.
    pub fn chunk(&mut self) -> Result<Vec<u8>> {
        let line = self.line()?;
        let length = usize::from_str_radix(line.trim(), 16);
        let length = length.map_err(|_| std::io::Error::other("no chunk"))?;
        let bytes = self.bytes(length)?;
        self.line()?;
        Ok(bytes)
    }

    fn line(&mut self) -> Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_string())
    }
}
