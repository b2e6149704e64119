//! Reads and writes that wait only when a system call reports that it would block. tokio takes a short
//! read or write as a sign that the socket is drained or full, and then waits for a readiness event that may
//! not come. It also reports an interrupted call as an error, which is retried here.
//!
//! Each transfer uses up a part of its task's cooperative budget, as tokio's own reads and writes do. A peer
//! that sends without pause therefore cannot keep the other tasks of the thread from running.

use std::io::{self, ErrorKind, Read, Write};
use std::mem::MaybeUninit;

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Maximum number of bytes that `read` reads at once.
const MAX_READ_BYTES: usize = 8 * 1024;

/// Waits for input and reads as much as fits the buffer's spare capacity, but at least one byte and at most
/// `MAX_READ_BYTES`; returns 0 at the end of the input.
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

/// Waits until the socket is writable and writes as much as its send buffer takes.
pub async fn write(stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    transfer(stream, Interest::WRITABLE, || write_now(stream, bytes)).await
}

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

/// Reads available input into `chunk` without waiting; fails with `WouldBlock` if there is none.
pub fn read_now(stream: &TcpStream, chunk: &mut [u8]) -> io::Result<usize> {
    retry_interrupted(|| (&*SockRef::from(stream)).read(chunk))
}

/// Writes what the send buffer takes without waiting; fails with `WouldBlock` if it is full.
pub fn write_now(stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    retry_interrupted(|| (&*SockRef::from(stream)).write(bytes))
}

/// What peeking at the unread input of a connection shows.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PeekResult {
    /// There is no unread input.
    Empty,
    /// There is unread input; the end of the connection may follow it.
    DataAvailable,
    /// The peer has closed its sending side or reset the connection.
    Closed,
}

/// Peeks at the unread input by asking the kernel, not the runtime.
pub fn peek(stream: &TcpStream) -> PeekResult {
    match retry_interrupted(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit()])) {
        Ok(0) => PeekResult::Closed,
        Ok(_) => PeekResult::DataAvailable,
        Err(e) if e.kind() == ErrorKind::WouldBlock => PeekResult::Empty,
        Err(_) => PeekResult::Closed,
    }
}

/// Repeats a system call while signals interrupt it.
fn retry_interrupted(mut call: impl FnMut() -> io::Result<usize>) -> io::Result<usize> {
    loop {
        match call() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Repeats a system call until it transfers something or fails. Waits only when the kernel reports that the
/// call would block.
async fn transfer(
    stream: &TcpStream,
    interest: Interest,
    mut call: impl FnMut() -> io::Result<usize>,
) -> io::Result<usize> {
    loop {
        // Waiting for readiness does not yield while the socket stays ready.
        tokio::task::consume_budget().await;
        stream.ready(interest).await?;
        match stream.try_io(interest, &mut call) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

#[cfg(test)]
pub mod tests;
