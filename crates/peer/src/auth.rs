//! Mutual authentication of two processes that share a secret.
//!
//! Each side proves knowledge of the secret over both sides' nonces, bound to its role, so that
//! a proof cannot be replayed or reflected.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use hmac::{Hmac, KeyInit, Mac};
use rand::Rng;
use sha2::Sha256;
use snafu::{ResultExt, Snafu};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;
const MIN_SECRET_BYTES: usize = 16;

/// The secret that processes of one fleet share.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

/// Why a secret cannot be used.
#[derive(Debug)]
#[derive(Snafu)]
pub enum SecretError {
    /// The file cannot be read.
    #[snafu(display("peer secret {} cannot be read: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// What failed.
        source: io::Error,
    },
    /// The secret is shorter than 16 bytes.
    #[snafu(display("peer secret {} is too short: write at least 16 random bytes", path.display()))]
    TooShort {
        /// The file.
        path: PathBuf,
    },
}

/// Why the other side was not let in.
#[derive(Debug)]
#[derive(Snafu)]
pub enum AuthError {
    /// The connection failed.
    #[snafu(display("connection failed while authenticating: {source}"))]
    Io {
        /// What failed.
        source: io::Error,
    },
    /// The other side does not know the secret.
    #[snafu(display("peer does not know the secret"))]
    WrongProof,
}

impl Secret {
    /// Takes a secret from memory.
    pub fn from_bytes(bytes: &[u8]) -> Self {
        Self(bytes.to_vec())
    }

    /// Reads a secret from a file; white space at its ends does not count.
    pub fn read(path: &Path) -> Result<Self, SecretError> {
        let bytes = fs::read(path).context(ReadSnafu { path })?;
        let trimmed = bytes.trim_ascii();
        if trimmed.len() < MIN_SECRET_BYTES {
            return TooShortSnafu { path }.fail();
        }
        Ok(Self(trimmed.to_vec()))
    }

    fn mac(&self, role: &[u8], nonces: &Nonces) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(role);
        mac.update(&nonces.client);
        mac.update(&nonces.server);
        mac
    }

    fn prove(&self, role: &[u8], nonces: &Nonces) -> [u8; PROOF_BYTES] {
        self.mac(role, nonces).finalize().into_bytes().into()
    }

    fn check(&self, role: &[u8], nonces: &Nonces, proof: &[u8]) -> Result<(), AuthError> {
        let mac = self.mac(role, nonces);
        mac.verify_slice(proof).map_err(|_| AuthError::WrongProof)
    }
}

struct Nonces {
    client: [u8; NONCE_BYTES],
    server: [u8; NONCE_BYTES],
}

const CLIENT: &[u8] = b"client";
const SERVER: &[u8] = b"server";

/// Authenticates an accepted connection.
pub(crate) async fn accept(stream: &mut TcpStream, secret: &Secret) -> Result<(), AuthError> {
    let mut nonces = Nonces {
        client: [0; NONCE_BYTES],
        server: rand::random(),
    };
    stream.write_all(&nonces.server).await.context(IoSnafu)?;
    stream
        .read_exact(&mut nonces.client)
        .await
        .context(IoSnafu)?;
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await.context(IoSnafu)?;
    secret.check(CLIENT, &nonces, &proof)?;
    let own = secret.prove(SERVER, &nonces);
    stream.write_all(&own).await.context(IoSnafu)
}

/// Authenticates a connection that this process opened.
pub(crate) async fn connect(stream: &mut TcpStream, secret: &Secret) -> Result<(), AuthError> {
    let mut nonces = Nonces {
        client: [0; NONCE_BYTES],
        server: [0; NONCE_BYTES],
    };
    rand::rng().fill_bytes(&mut nonces.client);
    stream
        .read_exact(&mut nonces.server)
        .await
        .context(IoSnafu)?;
    stream.write_all(&nonces.client).await.context(IoSnafu)?;
    let own = secret.prove(CLIENT, &nonces);
    stream.write_all(&own).await.context(IoSnafu)?;
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await.context(IoSnafu)?;
    secret.check(SERVER, &nonces, &proof)
}
