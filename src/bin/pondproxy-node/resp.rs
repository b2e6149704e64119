//! Parsing and encoding of RESP2. Implemented here because the available decoders recurse without a limit on
//! depth and accept any stated length: input from a peer must not overflow the stack, and a length that it
//! only states must not cause memory to be reserved.

use bytes::{BufMut, Bytes, BytesMut};

/// Maximum size of a value in a command of a client.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;
/// Maximum number of arguments in a command.
const MAX_ARGUMENTS: usize = 16;
/// Maximum size of all arguments of a command together: one value, and some room for the other arguments.
const MAX_COMMAND_BYTES: usize = MAX_VALUE_BYTES + 8 * 1024;
/// Maximum size of a line that states a length.
const MAX_LENGTH_LINE_BYTES: usize = 24;
/// Maximum size of an error in a reply.
const MAX_LINE_BYTES: usize = 4096;

/// The input violates the protocol or a limit, and cannot be parsed any further: where the next command or
/// reply begins is unknown.
#[derive(Debug, PartialEq, Clone, Copy)]
pub struct ProtocolError(pub &'static str);

const UNTERMINATED_BULK: ProtocolError = ProtocolError("bulk string not ended");
const NULL_IN_COMMAND: ProtocolError = ProtocolError("null in a command");
const TOO_LONG: ProtocolError = ProtocolError("value or command too long");
const UNEXPECTED_TYPE: ProtocolError = ProtocolError("unexpected type");

/// A reply of a cache server with `N` elements.
#[derive(Debug, PartialEq, Clone)]
pub enum Reply<const N: usize> {
    /// An array of bulk strings or nulls.
    Array([Option<Bytes>; N]),
    Error(Bytes),
}

/// Removes one command, an array of bulk strings, from the front of `buffer`; returns `None` while it is
/// incomplete.
pub fn take_command(buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, ProtocolError> {
    let mut parser = Parser { input: buffer, position: 0 };
    let Some(arguments) = parser.read_command()? else { return Ok(None) };
    let end = parser.position;
    // Each argument is copied: slices of the buffer would keep all of it allocated while any of them lives.
    let command = buffer.split_to(end);
    Ok(Some(arguments.into_iter().map(|(from, to)| Bytes::copy_from_slice(&command[from..to])).collect()))
}

/// Removes one reply from the front of `buffer`; returns `None` while it is incomplete. A reply is an error
/// or an array of `N` bulk strings, of which each may have the length that `max_element_bytes` states for it.
///
/// While a reply is incomplete, only the lines that state its lengths are read, and nothing is copied. It is
/// an error as soon as a line shows that the reply will not have this form, so its total length is limited.
pub fn take_reply<const N: usize>(
    buffer: &mut BytesMut,
    max_element_bytes: [usize; N],
) -> Result<Option<Reply<N>>, ProtocolError> {
    let mut parser = Parser { input: buffer, position: 0 };
    let Some(bounds) = parser.read_reply(max_element_bytes)? else { return Ok(None) };
    let end = parser.position;
    let reply = buffer.split_to(end);
    let copy = |(from, to): (usize, usize)| Bytes::copy_from_slice(&reply[from..to]);
    Ok(Some(match bounds {
        ReplyBounds::Array(elements) => Reply::Array(elements.map(|element| element.map(copy))),
        ReplyBounds::Error(text) => Reply::Error(copy(text)),
    }))
}

/// Returns the length that a reply states for its value, the first element of the array; `None` if that has
/// not arrived, is malformed or states a null.
pub fn declared_length(buffer: &[u8]) -> Option<usize> {
    let mut parser = Parser { input: buffer, position: 0 };
    parser.read_length(b'*', usize::MAX).ok()??;
    parser.read_length(b'$', usize::MAX).ok()??
}

/// Bounds of the content of a bulk string, or of the text of a line, in the input.
type Bounds = (usize, usize);

/// Where the elements of a complete reply are in the input.
enum ReplyBounds<const N: usize> {
    Array([Option<Bounds>; N]),
    Error(Bounds),
}

struct Parser<'a> {
    input: &'a [u8],
    position: usize,
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
            Some(found) if *found != type_byte => return Err(UNEXPECTED_TYPE),
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
        if number > max_length { Err(TOO_LONG) } else { Ok(Some(Some(number))) }
    }

    /// Reads a bulk string and returns the bounds of its content. The outer `None` means incomplete, the
    /// inner `None` a null.
    fn read_bulk(&mut self, max_bytes: usize) -> Result<Option<Option<Bounds>>, ProtocolError> {
        let length = match self.read_length(b'$', max_bytes)? {
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
        match self.read_length(b'*', MAX_ARGUMENTS)? {
            // Prevents floods of empty commands, which have no effect and are cheap to send.
            Some(None | Some(0)) => Err(ProtocolError("empty command")),
            count => Ok(count.flatten()),
        }
    }

    fn read_command(&mut self) -> Result<Option<Vec<Bounds>>, ProtocolError> {
        let Some(count) = self.read_argument_count()? else { return Ok(None) };
        let mut arguments = Vec::with_capacity(count);
        let mut remaining_bytes = MAX_COMMAND_BYTES;
        for _ in 0..count {
            let Some(argument) = self.read_bulk(remaining_bytes.min(MAX_VALUE_BYTES))? else {
                return Ok(None);
            };
            let (from, to) = argument.ok_or(NULL_IN_COMMAND)?;
            remaining_bytes -= to - from;
            arguments.push((from, to));
        }
        Ok(Some(arguments))
    }

    /// Reads a reply and returns its bounds; returns `None` while it is incomplete.
    fn read_reply<const N: usize>(
        &mut self,
        max_element_bytes: [usize; N],
    ) -> Result<Option<ReplyBounds<N>>, ProtocolError> {
        match self.input.get(self.position) {
            None => Ok(None),
            Some(b'*') => Ok(self.read_array(max_element_bytes)?.map(ReplyBounds::Array)),
            Some(b'-') => Ok(self.read_error()?.map(ReplyBounds::Error)),
            Some(_) => Err(UNEXPECTED_TYPE),
        }
    }

    /// Reads an array of `N` bulk strings or nulls; returns `None` while it is incomplete.
    fn read_array<const N: usize>(
        &mut self,
        max_element_bytes: [usize; N],
    ) -> Result<Option<[Option<Bounds>; N]>, ProtocolError> {
        let Some(count) = self.read_length(b'*', N)? else { return Ok(None) };
        if count != Some(N) {
            return Err(ProtocolError("wrong number of elements"));
        }
        let mut elements = [None; N];
        for (element, max_bytes) in elements.iter_mut().zip(max_element_bytes) {
            let Some(bounds) = self.read_bulk(max_bytes)? else { return Ok(None) };
            *element = bounds;
        }
        Ok(Some(elements))
    }

    /// Reads an error and returns the bounds of its text; returns `None` while it is incomplete.
    fn read_error(&mut self) -> Result<Option<Bounds>, ProtocolError> {
        let start = self.position + 1;
        let line = self.read_line(MAX_LINE_BYTES)?;
        Ok(line.map(|line| (start, start + line.len() - 1)))
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
        let mut parser = Parser { input: &self.length_line, position: 0 };
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
