//! Reads which software versions began streams, as the holder of the planning duty keeps it in the
//! store.

use std::rc::Rc;

use comfreyweir_fleet::stream_origins::ReportedOrigins;

use super::{ReadLimits, read_pages};
use crate::{
    platform::{Platform, PlatformError, StoreItem},
    state::EntryContext,
};

/// Reads all batches.
pub(crate) async fn read<P>(cx: &Rc<EntryContext<P>>) -> Result<Vec<ReportedOrigins>, PlatformError>
where
    P: Platform,
{
    let prefix = cx.platform.keys().origins_prefix;
    let limits = ReadLimits {
        call: cx.settings().timing.store_call_timeout(),
        bound: None,
    };
    let mut batches = Vec::new();
    read_pages(cx, prefix, limits, |items| {
        batches.extend(items.iter().filter_map(decode));
    })
    .await?;
    Ok(batches)
}

fn decode(item: &StoreItem) -> Option<ReportedOrigins> {
    match postcard::from_bytes(&item.value) {
        Ok(batch) => Some(batch),
        Err(e) => {
            let (key, reason) = (item.key.as_str(), e.to_string());
            spdlog::warn!("entry in the store is ignored", kv: {
                key, revision = item.revision, reason = reason.as_str()
            });
            None
        }
    }
}
