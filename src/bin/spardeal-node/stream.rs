//! Reads and writes that go by what the system says. The runtime takes a call that moved less than it could to mean that
//! the socket is drained or full, and waits for news that may not come; and it takes an interrupted one for an error.

use std::io::{self, ErrorKind, Read, Write};

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Input is read in pieces of this size.
const PIECE: usize = 16 * 1024;

/// Reads a piece of what is there to the end of a buffer; 0 at the end of the input.
pub async fn read(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    let read_piece = || {
        let mut piece = [0; PIECE];
        let count = (&*SockRef::from(stream)).read(&mut piece)?;
        buffer.extend_from_slice(&piece[..count]);
        Ok(count)
    };
    transfer(stream, Interest::READABLE, read_piece).await
}

/// Writes all of it.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = transfer(stream, Interest::WRITABLE, || (&*SockRef::from(stream)).write(bytes)).await?;
        if written == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        bytes = &bytes[written..];
    }
    Ok(())
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
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            ended => return ended,
        }
    }
}
