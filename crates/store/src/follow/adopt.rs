//! Reads all chunks of a revision and puts it in force.

use std::{collections::HashMap, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use comfreyweir_clock::Clock;
use comfreyweir_external::kv::{self, Kv, RecordedValue};
use snafu::{OptionExt, ResultExt};

use super::{FollowLoop, state::LoadedChunk};
use crate::{
    chunk::{self, ROOT_KEY, RootRecord},
    error::{ChunkSnafu, DecodeSnafu, ReadError, ServiceSnafu},
    peers::Peers,
};

impl<K, C, P> FollowLoop<K, C, P>
where
    K: Kv,
    C: Clock,
    P: Peers,
{
    /// Reads a revision and puts it in force if it is higher than the current one. `peer` is the
    /// peer that the root record came from; it is asked first for the chunks, because the service
    /// may be down.
    pub(super) async fn adopt(
        &self,
        root: RootRecord,
        stored: Bytes,
        peer: Option<SocketAddr>,
    ) -> Result<(), ReadError> {
        if root.revision <= self.state.revision() {
            return Ok(());
        }
        let mut chunks = HashMap::with_capacity(root.chunks.len());
        for hash in &root.chunks {
            let chunk = self.load_chunk(hash, root.revision, peer).await?;
            chunks.insert(hash.clone(), chunk);
        }
        self.state.install(&root, stored, chunks);
        Ok(())
    }

    async fn load_chunk(
        &self,
        hash: &str,
        revision: u64,
        peer: Option<SocketAddr>,
    ) -> Result<LoadedChunk, ReadError> {
        if let Some(chunk) = self.state.chunks.borrow().get(hash) {
            return Ok(chunk.clone());
        }
        let content = self.fetch_chunk(hash, peer).await;
        let content = content.context(ChunkSnafu { revision, hash })?;
        let catalog = chunk::decode(&content).context(DecodeSnafu)?;
        Ok(LoadedChunk {
            content,
            catalog: Rc::new(catalog),
        })
    }

    async fn fetch_chunk(&self, hash: &str, peer: Option<SocketAddr>) -> Option<Bytes> {
        if let Some(addr) = peer
            && let Some(content) = self.fetch_from_peer(addr, hash).await
        {
            return Some(content);
        }
        if let Some(content) = self.fetch_from_service(hash).await {
            return Some(content);
        }
        let polled_peers = self.state.polled_peers.borrow().clone();
        for other in polled_peers.iter().filter(|p| Some(p.addr) != peer) {
            if let Some(content) = self.fetch_from_peer(other.addr, hash).await {
                return Some(content);
            }
        }
        None
    }

    async fn fetch_from_service(&self, hash: &str) -> Option<Bytes> {
        let found = self.kv.get(&chunk::chunk_key(hash)).await.ok()??;
        verify_hash(found.value, hash)
    }

    async fn fetch_from_peer(&self, addr: SocketAddr, hash: &str) -> Option<Bytes> {
        let content = self.peers.chunk(addr, hash).await?;
        verify_hash(content, hash)
    }
}

fn verify_hash(content: Bytes, hash: &str) -> Option<Bytes> {
    (chunk::content_hash(&content) == hash).then_some(content)
}

/// Decodes a stored root record.
pub(super) fn decode_root(stored: &[u8]) -> Result<RootRecord, ReadError> {
    let record: RecordedValue<RootRecord> = kv::decode(ROOT_KEY, stored).context(ServiceSnafu)?;
    Ok(record.body)
}
