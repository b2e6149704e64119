//! A client's socket, whose end is noticed also while nothing is read from it.
//!
//! tokio tells of input until it has been read, so that nobody can wait for the end of a connection whose input
//! is left with the machine. Here each piece of news is taken once, and what is still to be read is kept in mind.

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

/// Input is read in pieces of this size; a command that is longer has to wait for memory.
pub const READ_CHUNK_BYTES: usize = 4096;
/// Input that is not kept is read in pieces of this size.
const DISCARD_CHUNK_BYTES: usize = 64 * 1024;

/// An attempt waits for so long at the most for the rest of its client's input to be read: the client's end may
/// lie behind it, and the machine tells of that end only once it has room for all that is ahead of it.
const MAX_UNREAD_INPUT_WAIT: Duration = Duration::from_millis(50);

/// A client's socket.
pub struct ClientSocket {
    stream: Arc<TcpStream>,
    /// There may be input that was not read.
    unread: bool,
    /// The client sends no more, behind what may still be unread, or has reset the connection.
    read_close_seen: bool,
}

impl ClientSocket {
    /// The socket of a connection of which nothing has been read.
    pub fn new(stream: TcpStream) -> Self {
        ClientSocket { stream: Arc::new(stream), unread: true, read_close_seen: false }
    }

    /// Lets others look whether the client is still there.
    pub fn liveness(&self) -> ClientLiveness {
        ClientLiveness(Arc::downgrade(&self.stream))
    }

    /// Whether there may be input to read.
    pub fn unread(&self) -> bool {
        self.unread
    }

    /// There may be input of which no news has come yet.
    pub fn assume_unread(&mut self) {
        self.unread = true;
    }

    /// Whether the client has closed the connection or its half of it.
    pub fn read_closed(&self) -> bool {
        self.read_close_seen || readiness_shows_close(&self.stream)
    }

    /// Waits until something has come in, the client has closed or, if that is asked, something can be written.
    pub async fn wait_ready(&mut self, to_write: bool) -> io::Result<()> {
        let interest = match (self.read_close_seen, to_write) {
            (false, false) => Interest::READABLE,
            (false, true) => Interest::READABLE | Interest::WRITABLE,
            (true, true) => Interest::WRITABLE,
            (true, false) => std::future::pending().await,
        };
        let ready = self.stream.ready(interest).await?;
        if ready.is_readable() {
            // Taken: from here on only what comes later is news. What has ended stays so.
            let consume_readiness = || Err::<(), _>(ErrorKind::WouldBlock.into());
            let _ = self.stream.try_io(Interest::READABLE, consume_readiness);
            (self.unread, self.read_close_seen) = (true, ready.is_read_closed());
        }
        Ok(())
    }

    /// Reads a piece of what is there; nothing at the end of the input.
    pub fn read(&mut self, take: impl FnOnce(&[u8])) -> io::Result<usize> {
        self.read_into(&mut [0; READ_CHUNK_BYTES], take)
    }

    /// Reads a long piece that is not kept.
    pub fn read_discarded(&mut self, take: impl FnOnce(&[u8])) -> io::Result<usize> {
        self.read_into(&mut [0; DISCARD_CHUNK_BYTES], take)
    }

    fn read_into(&mut self, chunk: &mut [u8], take: impl FnOnce(&[u8])) -> io::Result<usize> {
        // Not through tokio, which takes it that what was told once has been read.
        let read = stream_io::read_now(&self.stream, chunk);
        // Less than was asked for need not be all there was: urgent data or a signal can end a read early.
        self.unread = match &read {
            Ok(count) => {
                self.read_closed()
                    || *count == chunk.len()
                    || stream_io::peek(&self.stream) != PeekResult::Empty
            }
            Err(_) => false,
        };
        take(&chunk[..*read.as_ref().unwrap_or(&0)]);
        read
    }

    /// Writes what there is room for.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.try_io(Interest::WRITABLE, || stream_io::write_now(&self.stream, bytes))
    }

    /// Reads on for a moment, and so much, after the last answer: a close with input unread would reset the
    /// connection and could take the answer away from the client.
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

/// Whether the runtime has been told of the end of a connection, when it last asked the machine.
fn readiness_shows_close(stream: &TcpStream) -> bool {
    let ready = pin!(stream.ready(Interest::READABLE));
    let poll = ready.poll(&mut Context::from_waker(Waker::noop()));
    matches!(poll, Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

/// Whether a client is still there, for those who are about to do something for it: its connection's task may
/// be told later than the machine.
#[derive(Clone, Debug)]
pub struct ClientLiveness(Weak<TcpStream>);

impl ClientLiveness {
    fn peek(&self) -> PeekResult {
        // A connection that has ended with a request open has lost its client.
        let Some(stream) = self.0.upgrade() else { return PeekResult::Closed };
        // An end behind unread input is in what the runtime has last heard of the machine ...
        if readiness_shows_close(&stream) {
            return PeekResult::Closed;
        }
        // ... and one behind nothing in what it says now.
        stream_io::peek(&stream)
    }

    /// Whether the client is known to have gone.
    pub fn disconnected(&self) -> bool {
        self.peek() == PeekResult::Closed
    }

    /// Whether the client has gone, once its input has been read, or after a moment.
    pub async fn disconnected_after_unread_input(&self) -> bool {
        let deadline = Instant::now() + MAX_UNREAD_INPUT_WAIT;
        // At first only until all that is ready has run, and the machine has been asked.
        let mut pause = Duration::ZERO;
        loop {
            match self.peek() {
                PeekResult::Closed => return true,
                PeekResult::Empty => return false,
                PeekResult::DataAvailable if Instant::now() >= deadline => return false,
                PeekResult::DataAvailable if pause.is_zero() => tokio::task::yield_now().await,
                PeekResult::DataAvailable => tokio::time::sleep(pause).await,
            }
            pause = Duration::from_millis(1);
        }
    }
}
