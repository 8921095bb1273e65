//! TCP proxy on loopback that delays, holds back, mutes, resets and refuses connections.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval at which a connection checks for changed faults.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Faults that a proxy injects.
#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    /// Delay of each read piece of data.
    delay: Duration,
    /// Whether new connections are closed at once.
    is_refusing: bool,
    /// Whether data is held back on the way to the server and on the way from it.
    is_held_back: (bool, bool),
    /// Number of connections so far, and so the number of the next one.
    connections: u64,
    /// Connections with smaller numbers are closed.
    reset_below: u64,
    /// Connections with smaller numbers stay open but transfer no more data.
    mute_below: u64,
}

/// Handle of a running proxy.
#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    faults: Arc<Mutex<Faults>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback port");
        let proxy = Self {
            address: listener.local_addr().expect("address"),
            faults: Arc::default(),
        };
        let handle = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                handle.forward(&stream, target);
            }
        });
        proxy
    }

    fn update(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.faults.lock().expect("lock"));
    }

    /// Delays each piece of data.
    pub fn delay(&self, delay: Duration) {
        self.update(|faults| faults.delay = delay);
    }

    /// Closes new connections at once.
    pub fn refuse(&self) {
        self.update(|faults| faults.is_refusing = true);
    }

    /// Holds back data in the given directions.
    pub fn hold_back(&self, to_server: bool, from_server: bool) {
        self.update(|faults| faults.is_held_back = (to_server, from_server));
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        self.update(|faults| faults.reset_below = faults.connections);
    }

    /// Stops the transfer of data on all open connections without closing them.
    pub fn mute(&self) {
        self.update(|faults| faults.mute_below = faults.connections);
    }

    /// Ends all faults and closes the muted connections.
    pub fn restore(&self) {
        self.update(|faults| {
            faults.delay = Duration::ZERO;
            faults.is_refusing = false;
            faults.is_held_back = (false, false);
            faults.reset_below = faults.reset_below.max(faults.mute_below);
        });
    }

    fn forward(&self, caller: &TcpStream, target: SocketAddr) {
        let number = {
            let mut faults = self.faults.lock().expect("lock");
            faults.connections += 1;
            if faults.is_refusing {
                return;
            }
            faults.connections - 1
        };
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        for (from, to, is_to_server) in [(caller, &server, true), (&server, caller, false)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let proxy = self.clone();
            thread::spawn(move || proxy.copy(number, from, to, is_to_server));
        }
    }

    /// Copies data in one direction of the connection `number` until it ends.
    fn copy(&self, number: u64, mut from: TcpStream, mut to: TcpStream, is_to_server: bool) {
        let _ = from.set_read_timeout(Some(POLL_INTERVAL));
        let mut buffer = [0; 16 * 1024];
        loop {
            let faults = *self.faults.lock().expect("lock");
            if number < faults.reset_below {
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
            let (to_server, from_server) = faults.is_held_back;
            let is_held_back = if is_to_server { to_server } else { from_server };
            if is_held_back || number < faults.mute_below {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            match from.read(&mut buffer) {
                Ok(0) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(length) => {
                    thread::sleep(faults.delay);
                    if to.write_all(&buffer[..length]).is_err() {
                        let _ = from.shutdown(Shutdown::Both);
                        return;
                    }
                }
                Err(error) if is_timeout(&error) => {}
                Err(_) => {
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
    matches!(error.kind(), WouldBlock | TimedOut | Interrupted)
}
