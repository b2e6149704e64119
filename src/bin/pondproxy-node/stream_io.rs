//! Reads and writes that go by what the system says. The runtime takes a call that moved less than it could to mean that
//! the socket is drained or full, and waits for news that may not come; and it takes an interrupted one for an error.

use std::io::{self, ErrorKind, Read, Write};
use std::mem::MaybeUninit;

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Input is read in pieces of this size at the most.
const MAX_READ_BYTES: usize = 8 * 1024;

/// Reads what is there, as far as a buffer has room, to its end; 0 at the end of the input.
pub async fn read(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    let read_limit = (buffer.capacity() - buffer.len()).clamp(1, MAX_READ_BYTES);
    let read_chunk = || {
        let mut chunk = [0; MAX_READ_BYTES];
        let count = read_now(stream, &mut chunk[..read_limit])?;
        buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    };
    transfer(stream, Interest::READABLE, read_chunk).await
}

/// Writes as much as there is room for.
pub async fn write(stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    transfer(stream, Interest::WRITABLE, || write_now(stream, bytes)).await
}

/// Writes all of it.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = write(stream, bytes).await?;
        if written == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        bytes = &bytes[written..];
    }
    Ok(())
}

/// Reads what is there now.
pub fn read_now(stream: &TcpStream, chunk: &mut [u8]) -> io::Result<usize> {
    retry_interrupted(|| (&*SockRef::from(stream)).read(chunk))
}

/// Writes what there is room for now.
pub fn write_now(stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    retry_interrupted(|| (&*SockRef::from(stream)).write(bytes))
}

/// What a look at the input of a connection shows.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PeekResult {
    /// Nothing has come that was not read.
    Empty,
    /// Something has come; an end may lie behind it.
    DataAvailable,
    /// The other side sends no more, or has reset the connection.
    Closed,
}

/// Looks, by the machine's word, at what was not read yet.
pub fn peek(stream: &TcpStream) -> PeekResult {
    match retry_interrupted(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit()])) {
        Ok(0) => PeekResult::Closed,
        Ok(_) => PeekResult::DataAvailable,
        Err(e) if e.kind() == ErrorKind::WouldBlock => PeekResult::Empty,
        Err(_) => PeekResult::Closed,
    }
}

/// Makes a call again for as long as signals interrupt it.
fn retry_interrupted(mut call: impl FnMut() -> io::Result<usize>) -> io::Result<usize> {
    loop {
        match call() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Tries a call again until it moves something or fails. Only the system's word that it would block makes it wait.
async fn transfer(
    stream: &TcpStream,
    interest: Interest,
    mut call: impl FnMut() -> io::Result<usize>,
) -> io::Result<usize> {
    loop {
        stream.ready(interest).await?;
        match stream.try_io(interest, &mut call) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}
