//! Claims blocks of loopback addresses.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

use crate::error::{NoBlockSnafu, TestbedError};

// A block belongs to whoever listens on this address of it.
const CLAIM_HOST: u8 = 1;
const CLAIM_PORT: u16 = 7999;
/// Blocks 127.1.0.0/24 to 127.254.255.0/24.
const BLOCK_COUNT: u32 = 254 * 256;

static CLAIM_ATTEMPTS: AtomicU32 = AtomicU32::new(0);

/// A claimed block of 256 loopback addresses. Nobody on the machine can claim it again until it is
/// dropped.
#[derive(Debug)]
pub struct LoopbackBlock {
    prefix: (u8, u8),
    _claim: TcpListener,
}

impl LoopbackBlock {
    /// Claims the first free block, or fails if none is.
    pub fn claim() -> Result<Self, TestbedError> {
        // Each process starts its search at another block, so that few attempts find one taken.
        let offset = process::id().wrapping_mul(97);
        for _ in 0..BLOCK_COUNT {
            let attempt = CLAIM_ATTEMPTS.fetch_add(1, Ordering::Relaxed);
            let index = offset.wrapping_add(attempt) % BLOCK_COUNT;
            let high = u8::try_from(1 + index / 256).unwrap_or(u8::MAX);
            let low = u8::try_from(index % 256).unwrap_or(u8::MAX);
            let claim = Ipv4Addr::new(127, high, low, CLAIM_HOST);
            if let Ok(listener) = TcpListener::bind((claim, CLAIM_PORT)) {
                return Ok(Self {
                    prefix: (high, low),
                    _claim: listener,
                });
            }
        }
        NoBlockSnafu.fail()
    }

    /// The address with this last octet and port in the block.
    pub fn addr(&self, host: u8, port: u16) -> SocketAddr {
        let (high, low) = self.prefix;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, high, low, host)), port)
    }
}
