//! The socket of a connection to the node, on which a disconnect is noticed even while its input is not read.
//!
//! tokio reports a socket as readable until its input has been read, so a task cannot wait for the disconnect
//! of a client while input is left in the kernel. Here each readiness event is consumed at once, and a flag
//! records that input may be unread.

use std::future::Future;
use std::io::{self, ErrorKind};
use std::net::Shutdown;
use std::pin::pin;
use std::sync::{Arc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::stream_io::{self, PeekResult};

/// Size of one read of input, and of the input that a connection may buffer without a reservation of memory.
/// A longer command waits until memory is reserved.
pub const READ_CHUNK_BYTES: usize = 4096;
/// Size of one read of input that is discarded.
const DISCARD_CHUNK_BYTES: usize = 64 * 1024;

/// Maximum time for which an attempt waits until its client's input has been read. The client's disconnect
/// may follow that input, and is reported only once the kernel has buffer space for all input before the
/// disconnect. After this time the attempt is not sent.
const MAX_UNREAD_INPUT_WAIT: Duration = Duration::from_millis(50);

/// The socket of a connection to the node, which only its session reads and writes.
pub struct ClientSocket {
    stream: Arc<TcpStream>,
    /// Whether there may be unread input.
    unread: bool,
    /// Whether the client was seen to have closed its sending side, possibly behind unread input, or to have
    /// reset the connection.
    read_close_seen: bool,
}

impl ClientSocket {
    /// Wraps a connection from which nothing has been read.
    pub fn new(stream: TcpStream) -> Self {
        ClientSocket { stream: Arc::new(stream), unread: true, read_close_seen: false }
    }

    /// Returns a handle that tells whether the client is still connected.
    pub fn liveness(&self) -> ClientLiveness {
        ClientLiveness(Arc::downgrade(&self.stream))
    }

    /// Whether there may be unread input. `true` does not mean that there is some: the kernel may have none.
    pub fn unread(&self) -> bool {
        self.unread
    }

    /// Records that there may be input that the runtime has not reported yet.
    pub fn assume_unread(&mut self) {
        self.unread = true;
    }

    /// Whether the client is known to have closed the connection or its sending side.
    pub fn read_closed(&self) -> bool {
        self.read_close_seen || readiness_shows_close(&self.stream)
    }

    /// Waits until input arrives, the client closes or, with `to_write`, something can be written. Never
    /// returns without `to_write` once the client was seen to have closed.
    pub async fn wait_ready(&mut self, to_write: bool) -> io::Result<()> {
        let interest = match (self.read_close_seen, to_write) {
            (false, false) => Interest::READABLE,
            (false, true) => Interest::READABLE | Interest::WRITABLE,
            (true, true) => Interest::WRITABLE,
            (true, false) => std::future::pending().await,
        };
        let ready = self.stream.ready(interest).await?;
        if ready.is_readable() {
            // Consumes the readiness, so that only later events count as new. tokio does not clear the
            // readiness of a closed sending side.
            let consume_readiness = || Err::<(), _>(ErrorKind::WouldBlock.into());
            let _ = self.stream.try_io(Interest::READABLE, consume_readiness);
            (self.unread, self.read_close_seen) = (true, ready.is_read_closed());
        }
        Ok(())
    }

    /// Reads a chunk of the available input and passes it to `on_chunk`; returns 0 at the end of the input.
    pub fn read(&mut self, on_chunk: impl FnOnce(&[u8])) -> io::Result<usize> {
        self.read_into(&mut [0; READ_CHUNK_BYTES], on_chunk)
    }

    /// As `read`, with a longer chunk, for input that the caller discards.
    pub fn read_discarded(&mut self, on_chunk: impl FnOnce(&[u8])) -> io::Result<usize> {
        self.read_into(&mut [0; DISCARD_CHUNK_BYTES], on_chunk)
    }

    fn read_into(&mut self, chunk: &mut [u8], on_chunk: impl FnOnce(&[u8])) -> io::Result<usize> {
        // Does not read through tokio, because the readiness was consumed and tokio would report that nothing
        // can be read.
        let read = stream_io::read_now(&self.stream, chunk);
        // A short read does not show that no input is left: urgent data or a signal can end a read early.
        self.unread = match &read {
            Ok(count) => {
                self.read_closed()
                    || *count == chunk.len()
                    || stream_io::peek(&self.stream) != PeekResult::Empty
            }
            Err(_) => false,
        };
        on_chunk(&chunk[..*read.as_ref().unwrap_or(&0)]);
        read
    }

    /// Writes as much as the socket's send buffer takes, without waiting for space. Uses up a part of the
    /// task's cooperative budget, so that a client that reads without pause cannot keep the other tasks of
    /// the thread from running.
    pub async fn write_available(&self, bytes: &[u8]) -> io::Result<usize> {
        tokio::task::consume_budget().await;
        self.stream.try_io(Interest::WRITABLE, || stream_io::write_now(&self.stream, bytes))
    }

    /// Closes the sending side and keeps the connection for a limited time without reading. Closing with
    /// unread input would reset the connection, and the client could lose replies that it has not received
    /// yet.
    pub async fn close_sending_side(&self, max_time: Duration) {
        let _ = SockRef::from(&*self.stream).shutdown(Shutdown::Write);
        tokio::time::sleep(max_time).await;
    }

    /// Closes the sending side and then discards input for a limited time and number of bytes. Closing with
    /// unread input would reset the connection, and the client could lose its last reply.
    pub async fn lingering_close(&mut self, max_time: Duration, max_bytes: usize) {
        let _ = SockRef::from(&*self.stream).shutdown(Shutdown::Write);
        let read_remaining = async {
            let mut remaining = max_bytes;
            while remaining > 0 {
                match self.read(|_| {}) {
                    Ok(0) => return,
                    Ok(count) => remaining = remaining.saturating_sub(count),
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {
                        if self.wait_ready(false).await.is_err() {
                            return;
                        }
                    }
                    Err(_) => return,
                }
                tokio::task::yield_now().await;
            }
        };
        let _ = tokio::time::timeout(max_time, read_remaining).await;
    }
}

/// Whether the runtime's last poll of the kernel reported the end of a connection's input.
fn readiness_shows_close(stream: &TcpStream) -> bool {
    let ready = pin!(stream.ready(Interest::READABLE));
    let poll = ready.poll(&mut Context::from_waker(Waker::noop()));
    matches!(poll, Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

/// Whether a client is still connected.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ClientPresence {
    /// All input was read, and the client has not closed the connection.
    Connected,
    /// The client has closed the connection or its sending side.
    Disconnected,
    /// Input is unread, behind which the client may have closed the connection.
    Unknown,
}

/// Tells whether a client is still connected, for tasks that are about to do work for it. The task of its
/// connection may learn of a disconnect later than the kernel.
#[derive(Clone, Debug)]
pub struct ClientLiveness(Weak<TcpStream>);

impl ClientLiveness {
    fn peek(&self) -> PeekResult {
        // The session has ended and dropped the socket, so the client counts as disconnected.
        let Some(stream) = self.0.upgrade() else { return PeekResult::Closed };
        // Shows a disconnect behind unread input, if the kernel had reported it when the runtime last polled.
        if readiness_shows_close(&stream) {
            return PeekResult::Closed;
        }
        // Shows a disconnect that has no unread input before it, also one that the runtime has not polled
        // yet.
        stream_io::peek(&stream)
    }

    /// Whether the client is known to have disconnected. A client that shuts only its sending side counts as
    /// disconnected too, and so does one whose session has ended.
    pub fn disconnected(&self) -> bool {
        self.peek() == PeekResult::Closed
    }

    /// Waits until the client's input has been read, for at most `MAX_UNREAD_INPUT_WAIT`, and returns whether
    /// the client is still connected.
    pub async fn presence_after_unread_input(&self) -> ClientPresence {
        let deadline = Instant::now() + MAX_UNREAD_INPUT_WAIT;
        // The first wait only lets all ready tasks run and the runtime poll the kernel.
        let mut pause = Duration::ZERO;
        loop {
            match self.peek() {
                PeekResult::Closed => return ClientPresence::Disconnected,
                PeekResult::Empty => return ClientPresence::Connected,
                PeekResult::DataAvailable if Instant::now() >= deadline => return ClientPresence::Unknown,
                PeekResult::DataAvailable if pause.is_zero() => tokio::task::yield_now().await,
                PeekResult::DataAvailable => tokio::time::sleep(pause).await,
            }
            pause = Duration::from_millis(1);
        }
    }
}

#[cfg(test)]
mod tests;
