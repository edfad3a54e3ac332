//! Mutual authentication of two processes that share a secret.
//!
//! Each side sends a random nonce. A proof is the HMAC-SHA-256, keyed with the secret, of the
//! prover's role and both nonces: the nonces prevent replay on another connection, and the role
//! prevents a peer from reflecting a proof to its sender. Only the handshake is protected: later
//! traffic is neither encrypted nor signed.

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

/// Secret that the processes of one deployment share.
#[derive(Clone)]
pub struct PeerSecret(Vec<u8>);

/// Why a secret file cannot be used.
#[derive(Debug)]
#[derive(Snafu)]
pub enum SecretError {
    /// The file cannot be read.
    #[snafu(display("peer secret {} cannot be read: {source}", path.display()))]
    Read {
        /// Path of the secret file.
        path: PathBuf,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The secret is shorter than 16 bytes without leading and trailing white space.
    #[snafu(display("peer secret {} is too short: write at least 16 random bytes", path.display()))]
    TooShort {
        /// Path of the secret file.
        path: PathBuf,
    },
}

/// Why a peer could not be authenticated.
#[derive(Debug)]
#[derive(Snafu)]
pub enum AuthError {
    /// The connection failed during the handshake.
    #[snafu(display("connection failed while authenticating: {source}"))]
    Io {
        /// Cause of the failure.
        source: io::Error,
    },
    /// The proof of the other side does not match, so it does not know the secret.
    #[snafu(display("peer does not know the secret"))]
    WrongProof,
}

impl PeerSecret {
    /// Creates a secret from bytes of any length, without the checks of [`PeerSecret::read`].
    pub fn from_bytes(bytes: &[u8]) -> Self {
        Self(bytes.to_vec())
    }

    /// Reads a secret of at least 16 bytes from a file, without leading and trailing white space.
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

    fn create_proof(&self, role: &[u8], nonces: &Nonces) -> [u8; PROOF_BYTES] {
        self.mac(role, nonces).finalize().into_bytes().into()
    }

    fn verify_proof(&self, role: &[u8], nonces: &Nonces, proof: &[u8]) -> Result<(), AuthError> {
        let mac = self.mac(role, nonces);
        mac.verify_slice(proof).map_err(|_| AuthError::WrongProof)
    }
}

struct Nonces {
    client: [u8; NONCE_BYTES],
    server: [u8; NONCE_BYTES],
}

const CLIENT_ROLE: &[u8] = b"client";
const SERVER_ROLE: &[u8] = b"server";

/// Performs the server's side of the handshake. The client proves its knowledge of the secret
/// first.
pub(crate) async fn authenticate_client(
    stream: &mut TcpStream,
    secret: &PeerSecret,
) -> Result<(), AuthError> {
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
    secret.verify_proof(CLIENT_ROLE, &nonces, &proof)?;
    let own_proof = secret.create_proof(SERVER_ROLE, &nonces);
    stream.write_all(&own_proof).await.context(IoSnafu)
}

/// Performs the client's side of the handshake.
pub(crate) async fn authenticate_server(
    stream: &mut TcpStream,
    secret: &PeerSecret,
) -> Result<(), AuthError> {
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
    let own_proof = secret.create_proof(CLIENT_ROLE, &nonces);
    stream.write_all(&own_proof).await.context(IoSnafu)?;
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await.context(IoSnafu)?;
    secret.verify_proof(SERVER_ROLE, &nonces, &proof)
}
