//! A client's socket, whose end is noticed also while nothing is read from it.
//!
//! tokio tells of input until it has been read, so that nobody can wait for the end of a connection whose input
//! is left with the machine. Here each piece of news is taken once, and what is still to be read is kept in mind.

use std::io::{self, ErrorKind, Read};
use std::time::Duration;

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;

/// Input is read in pieces of this size; a command that is longer has to wait for memory.
pub const PIECE: usize = 4096;

/// A client's socket.
pub struct Socket {
    stream: TcpStream,
    /// There may be input that was not read.
    unread: bool,
    /// The client sends no more, behind what may still be unread, or has reset the connection.
    ended: bool,
}

impl Socket {
    /// The socket of a connection of which nothing has been read.
    pub fn new(stream: TcpStream) -> Self {
        Socket { stream, unread: true, ended: false }
    }

    /// Whether there may be input to read.
    pub fn unread(&self) -> bool {
        self.unread
    }

    /// There may be input of which no news has come yet.
    pub fn look_again(&mut self) {
        self.unread = true;
    }

    /// Whether the client has closed the connection or its half of it.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Waits until something has come in, the client has closed or, if that is asked, something can be written.
    pub async fn news(&mut self, to_write: bool) -> io::Result<()> {
        let interest = match (self.ended, to_write) {
            (false, false) => Interest::READABLE,
            (false, true) => Interest::READABLE | Interest::WRITABLE,
            (true, true) => Interest::WRITABLE,
            (true, false) => std::future::pending().await,
        };
        let ready = self.stream.ready(interest).await?;
        if ready.is_readable() {
            // Taken: from here on only what comes later is news. What has ended stays so.
            let taken = || Err::<(), _>(ErrorKind::WouldBlock.into());
            let _ = self.stream.try_io(Interest::READABLE, taken);
            (self.unread, self.ended) = (true, ready.is_read_closed());
        }
        Ok(())
    }

    /// Reads a piece of what is there; nothing at the end of the input.
    pub fn try_read(&mut self, into: &mut BytesMut) -> io::Result<usize> {
        let mut piece = [0; PIECE];
        // Not through tokio, which takes it that what was told once has been read.
        let read = (&*SockRef::from(&self.stream)).read(&mut piece);
        // Less than was asked for is all there was, but for the end behind it.
        self.unread = read.as_ref().is_ok_and(|count| self.ended || *count == PIECE);
        into.extend_from_slice(&piece[..*read.as_ref().unwrap_or(&0)]);
        read
    }

    /// Writes what there is room for.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.try_write(bytes)
    }

    /// Reads on for a moment, and so much, after the last answer: a close with input unread would reset the
    /// connection and could take the answer away from the client.
    pub async fn linger(&mut self, (time, bytes): (Duration, usize)) {
        let _ = self.stream.shutdown().await;
        let rest = async {
            let (mut left, mut sink) = (bytes, BytesMut::new());
            while left > 0 {
                match self.try_read(&mut sink) {
                    Ok(0) => return,
                    Ok(count) => left = left.saturating_sub(count),
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {
                        if self.news(false).await.is_err() {
                            return;
                        }
                    }
                    Err(_) => return,
                }
                sink.clear();
                tokio::task::yield_now().await;
            }
        };
        let _ = tokio::time::timeout(time, rest).await;
    }
}
