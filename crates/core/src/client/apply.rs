//! `check`, `apply` and `diff`, and what the commands that change a folder share with them.

use std::{path::Path, process::ExitCode};

use comfreyweir_config::{catalog::Catalog, folder};
use comfreyweir_external::kv_http::HttpKv;
use comfreyweir_store::{
    PublishError, ReadError, Snapshot, new_write_id, overwrite, publish, read, read_root,
};
use serde_json::{Value, json};
use snafu::{ResultExt, ensure};

use super::{
    changes::{self, Change},
    command::Target,
    error::{
        ClientError, ConflictSnafu, EXIT_DIFFERENT, EXIT_NOT_IN_FORCE, FolderSnafu, LostSnafu,
        PublishSnafu, ReadSnafu,
    },
    output::{Output, push_line},
    remote,
    state::{LockedState, Pending, State},
    wait,
};

/// A catalog that is in force.
pub(super) struct Accepted {
    /// Its revision.
    pub(super) revision: u64,
    /// What changed with it; empty when it was in force before.
    pub(super) changes: Vec<Change>,
}

/// Checks a folder.
pub(super) fn check(dir: &Path, output: Output) -> Result<ExitCode, ClientError> {
    let catalog = folder::read(dir).context(FolderSnafu)?;
    let counts = [
        ("models", catalog.models.len()),
        ("adapters", catalog.adapters.len()),
        ("workspaces", catalog.workspaces.len()),
        ("keys", catalog.keys.len()),
        ("upstreams", catalog.upstreams.len()),
        ("routes", catalog.routes.len()),
    ];
    let text: Vec<String> = counts.iter().map(|(n, c)| format!("{c} {n}")).collect();
    let json: serde_json::Map<String, Value> = counts
        .iter()
        .map(|(name, count)| ((*name).to_owned(), json!(count)))
        .collect();
    let text = format!("{}: no mistakes in {}", dir.display(), text.join(", "));
    output.done(&text, &json!({ "mistakes": [], "items": json }));
    Ok(ExitCode::SUCCESS)
}

/// Applies a folder.
pub(super) async fn apply(
    dir: &Path,
    target: &Target,
    output: Output,
) -> Result<ExitCode, ClientError> {
    let catalog = folder::read(dir).context(FolderSnafu)?;
    let mut locked = LockedState::open(dir)?;
    let accepted = accept(&mut locked, catalog, target).await?;
    Ok(finish(&accepted, "", json!({}), target, output).await)
}

/// Compares a folder with the revision in force.
pub(super) async fn diff(
    dir: &Path,
    kv: std::net::SocketAddr,
    output: Output,
) -> Result<ExitCode, ClientError> {
    let catalog = folder::read(dir).context(FolderSnafu)?;
    let in_force = read(&remote::kv(kv)).await.context(ReadSnafu)?;
    let seen = LockedState::open(dir)?.state.revision;
    let changes = changes::between(&in_force.catalog, &catalog);
    let mut text = lines(&changes);
    let revision = in_force.revision;
    if changes.is_empty() {
        text = format!("the folder is revision {revision}, which is in force");
    } else if seen != revision {
        let note = format!(
            "revision {revision} is in force, and this folder has seen revision {seen}: lines may \
             show changes of others in reverse"
        );
        push_line(&mut text, &note);
    }
    let json = json!({ "revision": revision, "seen": seen, "changes": changes });
    output.done(&text, &json);
    if changes.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::from(EXIT_DIFFERENT))
}

/// Has a catalog accepted, or tells why it was not.
pub(super) async fn accept(
    locked: &mut LockedState,
    catalog: Catalog,
    target: &Target,
) -> Result<Accepted, ClientError> {
    let kv = remote::kv(target.kv);
    settle_pending(&kv, locked).await?;
    let in_force = match read(&kv).await {
        // What cannot be read is what is to be replaced.
        Err(ReadError::Chunk { .. } | ReadError::Decode { .. }) if target.overwrite => {
            Snapshot::default()
        }
        read => read.context(ReadSnafu)?,
    };
    if in_force.revision > 0 && in_force.catalog == catalog {
        let revision = in_force.revision;
        remember(locked, revision, catalog);
        return Ok(Accepted {
            revision,
            changes: Vec::new(),
        });
    }
    let seen = target.over.unwrap_or(locked.state.revision);
    if !target.overwrite {
        refuse_unseen(&locked.state, seen, &in_force)?;
    }
    let changes = changes::between(&in_force.catalog, &catalog);
    let write_id = begin(locked, &catalog)?;
    let published = if target.overwrite {
        overwrite(&kv, &catalog, seen, &write_id).await
    } else {
        publish(&kv, &catalog, seen, &write_id).await
    };
    match published {
        Ok(published) => {
            remember(locked, published.revision, catalog);
            Ok(Accepted {
                revision: published.revision,
                changes,
            })
        }
        // The write may still take effect, so the next command looks for it.
        Err(e @ PublishError::Unknown { .. }) => Err(e).context(PublishSnafu),
        Err(e) => {
            locked.state.pending = None;
            locked.save()?;
            let PublishError::Conflict { .. } = e else {
                return Err(e).context(PublishSnafu);
            };
            // Another operator was faster; what changed can be told if it can be read.
            if let Ok(now) = read(&kv).await {
                refuse_unseen(&locked.state, seen, &now)?;
            }
            Err(e).context(PublishSnafu)
        }
    }
}

/// Reports an accepted change, and waits for it if asked to.
pub(super) async fn finish(
    accepted: &Accepted,
    text: &str,
    mut json: Value,
    target: &Target,
    output: Output,
) -> ExitCode {
    let Accepted { revision, changes } = accepted;
    let mut code = ExitCode::SUCCESS;
    let mut report = if changes.is_empty() {
        format!("nothing to change: revision {revision} is in force\n")
    } else {
        format!("accepted as revision {revision}\n{}", lines(changes))
    };
    report += text;
    json["outcome"] = json!("accepted");
    json["revision"] = json!(revision);
    json["changes"] = json!(changes);
    if let Some(wait) = &target.wait {
        match wait::until_in_force(*revision, &wait.admin, wait.limit).await {
            Ok(in_force) => {
                json["in_force"] = json!(in_force);
                for (addr, revision) in &in_force {
                    let line = format!("in force on {addr}: revision {revision}");
                    push_line(&mut report, &line);
                }
            }
            Err(e) => {
                json["behind"] = e.json()["behind"].clone();
                push_line(&mut report, &e.to_string());
                code = ExitCode::from(EXIT_NOT_IN_FORCE);
            }
        }
    }
    output.done(&report, &json);
    code
}

/// Refuses to write over a revision that the folder has not seen.
fn refuse_unseen(state: &State, seen: u64, in_force: &Snapshot) -> Result<(), ClientError> {
    let current = in_force.revision;
    ensure!(current >= seen, LostSnafu { seen, current });
    if current == seen {
        return Ok(());
    }
    let known = state.revision > 0;
    let changes = known.then(|| changes::between(&state.catalog, &in_force.catalog));
    ConflictSnafu {
        seen,
        current,
        changes: changes.unwrap_or_default(),
    }
    .fail()
}

/// Remembers a write before it is sent. The identifier of an unsettled write of the same catalog
/// is used again, so that it cannot be made twice.
fn begin(locked: &mut LockedState, catalog: &Catalog) -> Result<String, ClientError> {
    let unsettled = locked.state.pending.take();
    let same = unsettled.filter(|p| p.catalog == *catalog);
    let write_id = same.map_or_else(new_write_id, |p| p.write_id);
    locked.state.pending = Some(Pending {
        write_id: write_id.clone(),
        catalog: catalog.clone(),
    });
    locked.save()?;
    Ok(write_id)
}

/// Remembers a revision as seen. The change is accepted whether or not this works.
fn remember(locked: &mut LockedState, revision: u64, catalog: Catalog) {
    locked.state = State {
        revision,
        catalog,
        pending: None,
    };
    if let Err(e) = locked.save() {
        Output::note(&format!(
            "revision {revision} is accepted, but the folder cannot remember it: {e}"
        ));
    }
}

/// Learns what became of a write whose outcome an earlier command did not know.
async fn settle_pending(kv: &HttpKv, locked: &mut LockedState) -> Result<(), ClientError> {
    let Some(pending) = locked.state.pending.clone() else {
        return Ok(());
    };
    let found = read_root(kv).await.context(ReadSnafu)?;
    let root = found.map(|(_, root)| root).unwrap_or_default();
    if let Some(revision) = root.revision_of(&pending.write_id) {
        Output::note(&format!(
            "the change of the last command was accepted as revision {revision}"
        ));
        remember(locked, revision, pending.catalog);
        return Ok(());
    }
    // Over another revision than the one it was made for, the write cannot take effect any more.
    if root.revision != locked.state.revision {
        Output::note("the change of the last command was not accepted");
        locked.state.pending = None;
        locked.save()?;
    }
    Ok(())
}

fn lines(changes: &[Change]) -> String {
    let mut text = String::new();
    for change in changes {
        push_line(&mut text, &change.to_string());
    }
    text
}
