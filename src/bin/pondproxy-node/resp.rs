//! Parsing and encoding of RESP2. Implemented here because the available decoders recurse without a limit on
//! depth and accept any stated length: input from a peer must not overflow the stack, and a length that it
//! only states must not cause memory to be reserved.

use bytes::{BufMut, Bytes, BytesMut};

/// Maximum size of a value in a command of a client.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;
/// Maximum number of arguments in a command, and of elements in an array of a reply.
const MAX_ELEMENTS: usize = 16;
/// Maximum size of a line that states a length.
const MAX_LENGTH_LINE_BYTES: usize = 24;
/// Maximum size of a simple string, error or integer in a reply.
const MAX_LINE_BYTES: usize = 4096;
/// Maximum nesting depth of arrays in a reply.
const MAX_DEPTH: u8 = 3;

/// The input violates the protocol or a limit, and cannot be parsed any further: where the next command or
/// reply begins is unknown.
#[derive(Debug, PartialEq, Clone, Copy)]
pub struct ProtocolError(pub &'static str);

const UNTERMINATED_BULK: ProtocolError = ProtocolError("bulk string not ended");
const NULL_IN_COMMAND: ProtocolError = ProtocolError("null in a command");

/// A reply of a cache server.
#[derive(Debug, PartialEq, Clone)]
pub enum Value {
    /// A bulk string, or null.
    Bulk(Option<Bytes>),
    /// An array; a null array is parsed as an empty one.
    Array(Vec<Value>),
    SimpleString(Bytes),
    Error(Bytes),
    Integer(i64),
}

/// Removes one command, an array of bulk strings, from the front of `buffer`; returns `None` while it is
/// incomplete.
pub fn take_command(buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, ProtocolError> {
    let mut parser = Parser { input: buffer, position: 0, max_bulk_bytes: MAX_VALUE_BYTES };
    let Some(arguments) = parser.read_command()? else { return Ok(None) };
    let end = parser.position;
    // Each argument is copied: slices of the buffer would keep all of it allocated while any of them lives.
    let command = buffer.split_to(end);
    Ok(Some(arguments.into_iter().map(|(from, to)| Bytes::copy_from_slice(&command[from..to])).collect()))
}

/// Removes one reply from the front of `buffer`, with bulk strings of at most `max_bulk_bytes`; returns
/// `None` while it is incomplete.
pub fn take_value(buffer: &mut BytesMut, max_bulk_bytes: usize) -> Result<Option<Value>, ProtocolError> {
    let mut parser = Parser { input: buffer, position: 0, max_bulk_bytes };
    let Some(value) = parser.read_value(0)? else { return Ok(None) };
    let end = parser.position;
    let _ = buffer.split_to(end);
    Ok(Some(value))
}

/// Returns the length that a reply states for its value, the first element of the array; `None` if that has
/// not arrived, is malformed or states a null.
pub fn declared_length(buffer: &[u8]) -> Option<usize> {
    let mut parser = Parser { input: buffer, position: 0, max_bulk_bytes: usize::MAX };
    parser.read_length(b'*', MAX_ELEMENTS).ok()??;
    parser.read_length(b'$', usize::MAX).ok()??
}

struct Parser<'a> {
    input: &'a [u8],
    position: usize,
    max_bulk_bytes: usize,
}

impl<'a> Parser<'a> {
    fn read_line(&mut self, max_bytes: usize) -> Result<Option<&'a [u8]>, ProtocolError> {
        let rest = &self.input[self.position..];
        match rest.windows(2).take(max_bytes + 1).position(|pair| pair == b"\r\n") {
            Some(end) => {
                self.position += end + 2;
                Ok(Some(&rest[..end]))
            }
            None if rest.len() > max_bytes + 1 => Err(ProtocolError("line too long")),
            None => Ok(None),
        }
    }

    /// Reads a line that consists of a type byte and a length. The outer `None` means that the line is
    /// incomplete, the inner `None` that it states a null.
    fn read_length(
        &mut self,
        type_byte: u8,
        max_length: usize,
    ) -> Result<Option<Option<usize>>, ProtocolError> {
        match self.input.get(self.position) {
            None => return Ok(None),
            Some(found) if *found != type_byte => return Err(ProtocolError("unexpected type")),
            Some(_) => {}
        }
        let Some(line) = self.read_line(MAX_LENGTH_LINE_BYTES)? else { return Ok(None) };
        if &line[1..] == b"-1" {
            return Ok(Some(None));
        }
        let digits = line.len() > 1 && line[1..].iter().all(u8::is_ascii_digit);
        let number =
            std::str::from_utf8(&line[1..]).ok().filter(|_| digits).and_then(|text| text.parse().ok());
        let number: usize = number.ok_or(ProtocolError("invalid length"))?;
        if number > max_length {
            Err(ProtocolError("value or command too long"))
        } else {
            Ok(Some(Some(number)))
        }
    }

    /// Reads a bulk string and returns the bounds of its content. The outer `None` means incomplete, the
    /// inner `None` a null.
    fn read_bulk(&mut self) -> Result<Option<Option<(usize, usize)>>, ProtocolError> {
        let length = match self.read_length(b'$', self.max_bulk_bytes)? {
            None => return Ok(None),
            Some(None) => return Ok(Some(None)),
            Some(Some(length)) => length,
        };
        let (from, to) = (self.position, self.position + length);
        let Some(end) = self.input.get(to..to + 2) else { return Ok(None) };
        if end != b"\r\n" {
            return Err(UNTERMINATED_BULK);
        }
        self.position = to + 2;
        Ok(Some(Some((from, to))))
    }

    /// Reads the number of arguments of a command; returns `None` while it is incomplete.
    fn read_argument_count(&mut self) -> Result<Option<usize>, ProtocolError> {
        match self.read_length(b'*', MAX_ELEMENTS)? {
            // Prevents floods of empty commands, which have no effect and are cheap to send.
            Some(None | Some(0)) => Err(ProtocolError("empty command")),
            count => Ok(count.flatten()),
        }
    }

    fn read_command(&mut self) -> Result<Option<Vec<(usize, usize)>>, ProtocolError> {
        let Some(count) = self.read_argument_count()? else { return Ok(None) };
        let mut arguments = Vec::with_capacity(count);
        for _ in 0..count {
            match self.read_bulk()? {
                None => return Ok(None),
                Some(argument) => arguments.push(argument.ok_or(NULL_IN_COMMAND)?),
            }
        }
        Ok(Some(arguments))
    }

    fn read_value(&mut self, depth: u8) -> Result<Option<Value>, ProtocolError> {
        let Some(type_byte) = self.input.get(self.position) else { return Ok(None) };
        match type_byte {
            b'$' => Ok(self.read_bulk()?.map(|bounds| {
                Value::Bulk(bounds.map(|(from, to)| Bytes::copy_from_slice(&self.input[from..to])))
            })),
            b'*' if depth < MAX_DEPTH => {
                let Some(count) = self.read_length(b'*', MAX_ELEMENTS)? else { return Ok(None) };
                let mut items = Vec::new();
                for _ in 0..count.unwrap_or(0) {
                    match self.read_value(depth + 1)? {
                        None => return Ok(None),
                        Some(item) => items.push(item),
                    }
                }
                Ok(Some(Value::Array(items)))
            }
            b'+' | b'-' | b':' => {
                let Some(line) = self.read_line(MAX_LINE_BYTES)? else { return Ok(None) };
                let text = &line[1..];
                Ok(Some(match type_byte {
                    b'+' => Value::SimpleString(Bytes::copy_from_slice(text)),
                    b'-' => Value::Error(Bytes::copy_from_slice(text)),
                    _ => {
                        let number = std::str::from_utf8(text).ok().and_then(|t| t.parse().ok());
                        Value::Integer(number.ok_or(ProtocolError("invalid number"))?)
                    }
                }))
            }
            _ => Err(ProtocolError("unexpected type")),
        }
    }
}

/// Skips and counts commands without keeping their contents; the input may be split anywhere.
#[derive(Default)]
pub struct CommandSkipper {
    /// The received part of an incomplete line that states a length.
    length_line: Vec<u8>,
    /// Arguments of the present command that have not been skipped yet.
    remaining_arguments: usize,
    /// Bytes of the present argument that have not been skipped yet, its line end included.
    remaining_bytes: usize,
    /// Number of complete commands that were skipped.
    pub skipped_commands: u64,
}

impl CommandSkipper {
    /// Whether a command has begun and is incomplete.
    pub fn has_partial_command(&self) -> bool {
        self.remaining_arguments > 0 || !self.length_line.is_empty()
    }

    /// Skips a piece of input; returns the position in it where the last command ended, or 0.
    pub fn skip(&mut self, piece: &[u8]) -> Result<usize, ProtocolError> {
        let (mut position, mut command_end) = (0, 0);
        while position < piece.len() {
            if self.remaining_bytes > 2 {
                let content = (self.remaining_bytes - 2).min(piece.len() - position);
                (position, self.remaining_bytes) = (position + content, self.remaining_bytes - content);
                continue;
            }
            if self.remaining_bytes == 0 {
                position += self.read_length_line(&piece[position..])?;
                continue;
            }
            // The last two bytes of an argument are its line end, `\r\n`.
            if piece[position] != b"\n\r"[self.remaining_bytes - 1] {
                return Err(UNTERMINATED_BULK);
            }
            (position, self.remaining_bytes) = (position + 1, self.remaining_bytes - 1);
            if self.remaining_bytes == 0 {
                self.remaining_arguments -= 1;
            }
            if self.remaining_arguments == 0 {
                (self.skipped_commands, command_end) = (self.skipped_commands + 1, position);
            }
        }
        Ok(command_end)
    }

    /// Reads a line that states a length and may have begun in an earlier piece; returns the number of bytes
    /// consumed.
    fn read_length_line(&mut self, input: &[u8]) -> Result<usize, ProtocolError> {
        let earlier_bytes = self.length_line.len();
        self.length_line
            .extend_from_slice(&input[..input.len().min(MAX_LENGTH_LINE_BYTES + 2 - earlier_bytes)]);
        let mut parser = Parser { input: &self.length_line, position: 0, max_bulk_bytes: MAX_VALUE_BYTES };
        let progress = match self.remaining_arguments {
            0 => parser.read_argument_count()?.map(|count| (count, 0)),
            arguments => match parser.read_length(b'$', MAX_VALUE_BYTES)? {
                Some(length) => Some((arguments, length.ok_or(NULL_IN_COMMAND)? + 2)),
                None => None,
            },
        };
        let Some(progress) = progress else { return Ok(self.length_line.len() - earlier_bytes) };
        (self.remaining_arguments, self.remaining_bytes) = progress;
        let consumed = parser.position - earlier_bytes;
        self.length_line.clear();
        Ok(consumed)
    }
}

/// Appends a bulk string to `output`.
pub fn put_bulk(output: &mut BytesMut, value: &[u8]) {
    output.put_slice(format!("${}\r\n", value.len()).as_bytes());
    output.put_slice(value);
    output.put_slice(b"\r\n");
}

/// Encodes a command as an array of bulk strings.
pub fn encode_command(arguments: &[&[u8]]) -> Bytes {
    let size = arguments.iter().map(|argument| argument.len() + 16).sum::<usize>() + 16;
    let mut output = BytesMut::with_capacity(size);
    output.put_slice(format!("*{}\r\n", arguments.len()).as_bytes());
    arguments.iter().for_each(|argument| put_bulk(&mut output, argument));
    output.freeze()
}

#[cfg(test)]
mod tests;
