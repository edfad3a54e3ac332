//! Claims of loopback blocks.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

use crate::error::{NoBlockSnafu, TestbedError};

const CLAIM_HOST: u8 = 1;
const CLAIM_PORT: u16 = 7999;
/// Blocks 127.1.0.0/24 to 127.254.255.0/24.
const BLOCKS: u32 = 254 * 256;

static CLAIMS: AtomicU32 = AtomicU32::new(0);

/// A claimed block of 256 loopback addresses. Dropping it frees the block.
#[derive(Debug)]
pub struct Block {
    prefix: (u8, u8),
    _claim: TcpListener,
}

impl Block {
    /// Claims the next block that is free.
    pub fn claim() -> Result<Self, TestbedError> {
        // Spreads processes over the blocks, so that a claim rarely meets another.
        let start = process::id().wrapping_mul(97);
        for _ in 0..BLOCKS {
            let turn = CLAIMS.fetch_add(1, Ordering::Relaxed);
            let index = start.wrapping_add(turn) % BLOCKS;
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

    /// An address in the block.
    pub fn addr(&self, host: u8, port: u16) -> SocketAddr {
        let (high, low) = self.prefix;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, high, low, host)), port)
    }
}
