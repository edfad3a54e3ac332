//! Reading a revision completely and putting it in force.

use std::{collections::HashMap, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use comfreyweir_clock::Clock;
use comfreyweir_external::kv::{self, Kv, Recorded};
use snafu::{OptionExt, ResultExt};

use super::{Follow, state::Part};
use crate::{
    chunk::{self, ROOT_KEY, Root},
    error::{ChunkSnafu, DecodeSnafu, ReadError, ServiceSnafu},
    peers::Peers,
};

impl<K, C, P> Follow<K, C, P>
where
    K: Kv,
    C: Clock,
    P: Peers,
{
    /// Puts a revision in force if it is higher than the present one. The peer that offered it is
    /// asked first for its chunks, because the service may be down.
    pub(super) async fn adopt(
        &self,
        root: Root,
        stored: Bytes,
        peer: Option<SocketAddr>,
    ) -> Result<(), ReadError> {
        if root.revision <= self.state.revision() {
            return Ok(());
        }
        let mut parts = HashMap::with_capacity(root.chunks.len());
        for hash in &root.chunks {
            let part = self.part(hash, root.revision, peer).await?;
            parts.insert(hash.clone(), part);
        }
        self.state.install(&root, stored, parts);
        Ok(())
    }

    async fn part(
        &self,
        hash: &str,
        revision: u64,
        peer: Option<SocketAddr>,
    ) -> Result<Part, ReadError> {
        if let Some(part) = self.state.chunks.borrow().get(hash) {
            return Ok(part.clone());
        }
        let content = self.content(hash, peer).await;
        let content = content.context(ChunkSnafu { revision, hash })?;
        let catalog = chunk::decode(&content).context(DecodeSnafu)?;
        Ok(Part {
            content,
            catalog: Rc::new(catalog),
        })
    }

    async fn content(&self, hash: &str, peer: Option<SocketAddr>) -> Option<Bytes> {
        if let Some(addr) = peer
            && let Some(content) = self.content_of_peer(addr, hash).await
        {
            return Some(content);
        }
        if let Some(content) = self.content_of_service(hash).await {
            return Some(content);
        }
        let asked = self.state.asked.borrow().clone();
        for other in asked.iter().filter(|p| Some(p.addr) != peer) {
            if let Some(content) = self.content_of_peer(other.addr, hash).await {
                return Some(content);
            }
        }
        None
    }

    async fn content_of_service(&self, hash: &str) -> Option<Bytes> {
        let found = self.kv.get(&chunk::chunk_key(hash)).await.ok()??;
        verified(found.value, hash)
    }

    async fn content_of_peer(&self, addr: SocketAddr, hash: &str) -> Option<Bytes> {
        let content = self.peers.chunk(addr, hash).await?;
        verified(content, hash)
    }
}

fn verified(content: Bytes, hash: &str) -> Option<Bytes> {
    (chunk::content_hash(&content) == hash).then_some(content)
}

/// Decodes a stored root record.
pub(super) fn decode_root(stored: &[u8]) -> Result<Root, ReadError> {
    let record: Recorded<Root> = kv::decode(ROOT_KEY, stored).context(ServiceSnafu)?;
    Ok(record.body)
}
