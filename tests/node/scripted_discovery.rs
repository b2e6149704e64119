//! A stand-in for discovery that follows a script for each call.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Duration;

use socket2::SockRef;

use crate::stand_ins::*;

/// A step of what a scripted discovery does on a connection, which stays open after the last step.
pub enum Step {
    Sleep(Duration),
    /// Sends empty lines until a message arrives on the channel.
    SendEmptyLinesUntil(Receiver<()>),
    Send(Vec<u8>),
    /// Sends a byte of TCP urgent data, which is not part of an answer. A read ends before the urgent byte,
    /// though more data follows.
    SendUrgentByte,
    /// Waits for a message on the channel, and sends nothing meanwhile.
    WaitFor(Receiver<()>),
    /// Reports that the script has reached this step.
    Notify(Sender<()>),
    /// Closes the connection.
    Close,
    /// Resets the connection and ends the script.
    Reset,
}

/// What a scripted discovery reports when a call's connection has ended.
pub const CALL_ENDED: &str = "ended";

/// Starts a discovery service that runs one script for each call. The receiver gets the request line of each
/// call, and [`CALL_ENDED`] when its connection has ended after the script.
pub fn scripted_discovery(scripts: Vec<Vec<Step>>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (address, run_scripts_on(listener, scripts))
}

/// Runs one script for each call that arrives on `listener`. The receiver is that of [`scripted_discovery`].
pub fn run_scripts_on(listener: TcpListener, scripts: Vec<Vec<Step>>) -> Receiver<String> {
    let (call_sender, calls) = channel();
    std::thread::spawn(move || {
        for (script, stream) in scripts.into_iter().zip(listener.incoming().flatten()) {
            let call_sender = call_sender.clone();
            std::thread::spawn(move || run_script(script, stream, &call_sender));
        }
        // Further calls are accepted and never answered.
        listener.incoming().flatten().for_each(std::mem::forget);
    });
    calls
}

fn run_script(script: Vec<Step>, mut stream: TcpStream, call_sender: &Sender<String>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let request = read_http_request(&mut reader).unwrap_or_default();
    let _ = call_sender.send(request.first().cloned().unwrap_or_default());
    for step in script {
        match step {
            Step::Sleep(time) => std::thread::sleep(time),
            Step::SendEmptyLinesUntil(signal) => {
                while let Err(RecvTimeoutError::Timeout) = signal.recv_timeout(Duration::from_millis(500)) {
                    let _ = stream.write_all(&chunk("\n"));
                }
            }
            Step::Send(bytes) => drop(stream.write_all(&bytes)),
            Step::SendUrgentByte => drop(SockRef::from(&stream).send_out_of_band(b"!")),
            Step::WaitFor(signal) => drop(signal.recv_timeout(LONG_TIMEOUT)),
            Step::Notify(sender) => drop(sender.send(())),
            Step::Close => drop(stream.shutdown(Shutdown::Both)),
            // A socket that does not linger is reset when it is closed.
            Step::Reset => return drop(SockRef::from(&stream).set_linger(Some(Duration::ZERO))),
        }
    }
    // Waits until the node closes the connection.
    while read_http_request(&mut reader).is_some() {}
    let _ = call_sender.send(CALL_ENDED.into());
}

pub fn refuse_call() -> Step {
    Step::Send(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".to_vec())
}
