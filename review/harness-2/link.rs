//! A proxy in front of the store of which an open connection can go silent for good.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    /// The connection of this number carries nothing any more.
    silent: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
    /// When the directory was last asked for, and on which connection.
    asked: Arc<Mutex<Option<(Instant, u64)>>>,
}

impl Link {
    pub fn start(target: SocketAddr) -> Self {
        let listener = http::listen();
        let address = listener.local_addr().expect("an address");
        let silent = Arc::new(AtomicU64::new(u64::MAX));
        let link = Self { address, silent, opened: Arc::default(), asked: Arc::default() };
        let accepting = link.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let number = accepting.opened.fetch_add(1, Ordering::SeqCst);
                let Ok(other) = TcpStream::connect(target) else { continue };
                let _ = (stream.set_nodelay(true), other.set_nodelay(true));
                accepting.carry(&stream, &other, number);
                accepting.carry(&other, &stream, number);
            }
        });
        link
    }

    /// The connection on which the directory was last asked for goes silent; all others
    /// work. Returns how many were opened.
    pub fn silence(&self) -> u64 {
        if let Some((_, number)) = *self.asked.lock().expect("no thread panics") {
            self.silent.store(number, Ordering::SeqCst);
        }
        self.opened.load(Ordering::SeqCst)
    }

    /// Waits until the directory has been asked for.
    pub fn wait_for_directory_call(&self) {
        let before = *self.asked.lock().expect("no thread panics");
        while *self.asked.lock().expect("no thread panics") == before {
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn carry(&self, from: &TcpStream, to: &TcpStream, number: u64) {
        let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { return };
        let silent = self.silent.clone();
        let asked = self.asked.clone();
        thread::spawn(move || {
            let mut buffer = [0; 16 << 10];
            loop {
                let read = from.read(&mut buffer).unwrap_or(0);
                let is_silent = number == silent.load(Ordering::SeqCst);
                if read == 0 {
                    // Not even the end of a silent connection is carried.
                    if !is_silent {
                        let _ = to.shutdown(Shutdown::Both);
                    }
                    return;
                }
                if buffer[..read].windows(13).any(|part| part == b"Table=servers") {
                    *asked.lock().expect("no thread panics") = Some((Instant::now(), number));
                }
                if !is_silent && to.write_all(&buffer[..read]).is_err() {
                    return;
                }
            }
        });
    }
}
