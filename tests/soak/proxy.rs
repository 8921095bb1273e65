//! TCP proxy on loopback that delays, resets, silences and refuses.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval at which a connection looks whether its link has changed.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// State of the link behind a proxy.
#[derive(Debug, Clone, Copy, Default)]
struct Link {
    /// Delay of each piece of data.
    delay: Duration,
    /// Whether new connections are closed at once.
    is_refusing: bool,
    /// Whether data towards the server, or from it, is held back.
    is_held: (bool, bool),
    connections: u64,
    /// Connections with smaller numbers are reset.
    reset_below: u64,
    /// Connections with smaller numbers carry nothing any more.
    mute_below: u64,
}

/// Running proxy.
#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    link: Arc<Mutex<Link>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback port");
        let proxy = Self {
            address: listener.local_addr().expect("address"),
            link: Arc::default(),
        };
        let handle = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                handle.open(&stream, target);
            }
        });
        proxy
    }

    fn change(&self, act: impl FnOnce(&mut Link)) {
        act(&mut self.link.lock().expect("lock"));
    }

    pub fn delay(&self, delay: Duration) {
        self.change(|link| link.delay = delay);
    }

    pub fn refuse(&self) {
        self.change(|link| link.is_refusing = true);
    }

    pub fn hold(&self, to_server: bool, from_server: bool) {
        self.change(|link| link.is_held = (to_server, from_server));
    }

    pub fn reset(&self) {
        self.change(|link| link.reset_below = link.connections);
    }

    pub fn mute(&self) {
        self.change(|link| link.mute_below = link.connections);
    }

    /// Ends all disturbances; connections that went silent are reset.
    pub fn restore(&self) {
        self.change(|link| {
            link.delay = Duration::ZERO;
            link.is_refusing = false;
            link.is_held = (false, false);
            link.reset_below = link.reset_below.max(link.mute_below);
        });
    }

    fn open(&self, caller: &TcpStream, target: SocketAddr) {
        let number = {
            let mut link = self.link.lock().expect("lock");
            link.connections += 1;
            if link.is_refusing {
                return;
            }
            link.connections - 1
        };
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        for (from, to, is_to_server) in [(caller, &server, true), (&server, caller, false)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let proxy = self.clone();
            thread::spawn(move || proxy.pump(number, from, to, is_to_server));
        }
    }

    fn pump(&self, number: u64, mut from: TcpStream, mut to: TcpStream, is_to_server: bool) {
        let _ = from.set_read_timeout(Some(LOOK_INTERVAL));
        let mut buffer = [0; 16 * 1024];
        loop {
            let link = *self.link.lock().expect("lock");
            if number < link.reset_below {
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
            let (to_server, from_server) = link.is_held;
            let is_held = if is_to_server { to_server } else { from_server };
            if is_held || number < link.mute_below {
                thread::sleep(LOOK_INTERVAL);
                continue;
            }
            match from.read(&mut buffer) {
                Ok(0) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(length) => {
                    thread::sleep(link.delay);
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
