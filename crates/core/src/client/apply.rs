//! `check`, `apply` and `diff`, and how every command that changes the configuration publishes it.

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
    command::PublishOptions,
    error::{
        ClientError, ConflictSnafu, EXIT_DIFFERENCES, EXIT_NOT_IN_FORCE, FolderSnafu, PublishSnafu,
        ReadSnafu, RevisionsLostSnafu,
    },
    output::{Output, push_line},
    remote,
    state::{FolderState, LockedState, PendingWrite},
    wait,
};

/// Outcome of publishing a catalog that is now in force.
pub(super) struct AcceptedChange {
    /// Revision of the catalog.
    pub(super) revision: u64,
    /// Differences from the revision before; empty if the catalog was already in force.
    pub(super) changes: Vec<Change>,
}

/// Reads and checks a folder without calling the key-value service.
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
    output.print_result(&text, &json!({ "mistakes": [], "items": json }));
    Ok(ExitCode::SUCCESS)
}

/// Publishes a folder as the next revision.
pub(super) async fn apply(
    dir: &Path,
    options: &PublishOptions,
    output: Output,
) -> Result<ExitCode, ClientError> {
    let catalog = folder::read(dir).context(FolderSnafu)?;
    let mut locked = LockedState::open(dir)?;
    let accepted = publish_catalog(&mut locked, catalog, options).await?;
    Ok(wait_and_report(&accepted, "", json!({}), options, output).await)
}

/// Compares a folder with the revision in force.
pub(super) async fn diff(
    dir: &Path,
    kv: std::net::SocketAddr,
    output: Output,
) -> Result<ExitCode, ClientError> {
    let catalog = folder::read(dir).context(FolderSnafu)?;
    let in_force = read(&remote::kv_client(kv)).await.context(ReadSnafu)?;
    let seen = LockedState::open(dir)?.state.revision;
    let changes = changes::between(&in_force.catalog, &catalog);
    let mut text = change_lines(&changes);
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
    output.print_result(&text, &json);
    if changes.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::from(EXIT_DIFFERENCES))
}

/// Publishes a catalog as the next revision, unless it is in force already.
///
/// Without `overwrite`, refuses with [`ClientError::Conflict`] if others have published revisions
/// that the folder has not seen. [`PublishError::Unknown`] means that the write may still take
/// effect; it then stays pending in the state of the folder.
pub(super) async fn publish_catalog(
    locked: &mut LockedState,
    catalog: Catalog,
    options: &PublishOptions,
) -> Result<AcceptedChange, ClientError> {
    let kv = remote::kv_client(options.kv);
    resolve_pending_write(&kv, locked).await?;
    let in_force = match read(&kv).await {
        // With --overwrite an unreadable configuration is no error: it is replaced.
        Err(ReadError::Chunk { .. } | ReadError::Decode { .. }) if options.overwrite => {
            Snapshot::default()
        }
        read => read.context(ReadSnafu)?,
    };
    if in_force.revision > 0 && in_force.catalog == catalog {
        let revision = in_force.revision;
        record_seen_revision(locked, revision, catalog);
        return Ok(AcceptedChange {
            revision,
            changes: Vec::new(),
        });
    }
    let seen = options.over.unwrap_or(locked.state.revision);
    if !options.overwrite {
        ensure_no_unseen_changes(&locked.state, seen, &in_force)?;
    }
    let changes = changes::between(&in_force.catalog, &catalog);
    let write_id = record_pending_write(locked, &catalog)?;
    let published = if options.overwrite {
        overwrite(&kv, &catalog, seen, &write_id).await
    } else {
        publish(&kv, &catalog, seen, &write_id).await
    };
    match published {
        Ok(published) => {
            record_seen_revision(locked, published.revision, catalog);
            Ok(AcceptedChange {
                revision: published.revision,
                changes,
            })
        }
        // The write may still take effect, so it stays pending for the next command to resolve.
        Err(e @ PublishError::Unknown { .. }) => Err(e).context(PublishSnafu),
        Err(e) => {
            locked.state.pending = None;
            locked.save()?;
            let PublishError::Conflict { .. } = e else {
                return Err(e).context(PublishSnafu);
            };
            // Another operator published first. Report their changes if they can be read.
            if let Ok(now) = read(&kv).await {
                ensure_no_unseen_changes(&locked.state, seen, &now)?;
            }
            Err(e).context(PublishSnafu)
        }
    }
}

/// Waits until the change is in force if `--wait` was given, then prints the result. `text` and
/// `json` hold further output of the command. Returns the exit code.
pub(super) async fn wait_and_report(
    accepted: &AcceptedChange,
    text: &str,
    mut json: Value,
    options: &PublishOptions,
    output: Output,
) -> ExitCode {
    let AcceptedChange { revision, changes } = accepted;
    let mut code = ExitCode::SUCCESS;
    let mut report = if changes.is_empty() {
        format!("nothing to change: revision {revision} is in force\n")
    } else {
        format!("accepted as revision {revision}\n{}", change_lines(changes))
    };
    report += text;
    json["outcome"] = json!("accepted");
    json["revision"] = json!(revision);
    json["changes"] = json!(changes);
    if let Some(wait) = &options.wait {
        match wait::until_in_force(*revision, &wait.admin_addrs, wait.timeout).await {
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
    output.print_result(&report, &json);
    code
}

/// Fails unless the revision in force is `seen`, the revision that the operator knows.
fn ensure_no_unseen_changes(
    state: &FolderState,
    seen: u64,
    in_force: &Snapshot,
) -> Result<(), ClientError> {
    let current = in_force.revision;
    ensure!(current >= seen, RevisionsLostSnafu { seen, current });
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

/// Records a write in the state of the folder before it is sent, and returns its identifier. An
/// unresolved write of the same catalog keeps its identifier, so that it cannot take effect twice.
fn record_pending_write(
    locked: &mut LockedState,
    catalog: &Catalog,
) -> Result<String, ClientError> {
    let unresolved = locked.state.pending.take();
    let same_catalog = unresolved.filter(|p| p.catalog == *catalog);
    let write_id = same_catalog.map_or_else(new_write_id, |p| p.write_id);
    locked.state.pending = Some(PendingWrite {
        write_id: write_id.clone(),
        catalog: catalog.clone(),
    });
    locked.save()?;
    Ok(write_id)
}

/// Records a revision as seen. Only prints a note if the state cannot be saved, because the change
/// is accepted all the same.
fn record_seen_revision(locked: &mut LockedState, revision: u64, catalog: Catalog) {
    locked.state = FolderState {
        revision,
        catalog,
        pending: None,
    };
    if let Err(e) = locked.save() {
        Output::print_note(&format!(
            "revision {revision} is accepted, but cannot be recorded in the folder: {e}"
        ));
    }
}

/// Finds out whether a write whose outcome was unknown to an earlier command took effect. It stays
/// pending if it still may take effect.
async fn resolve_pending_write(kv: &HttpKv, locked: &mut LockedState) -> Result<(), ClientError> {
    let Some(pending) = locked.state.pending.clone() else {
        return Ok(());
    };
    let found = read_root(kv).await.context(ReadSnafu)?;
    let root = found.map(|(_, root)| root).unwrap_or_default();
    if let Some(revision) = root.revision_of(&pending.write_id) {
        Output::print_note(&format!(
            "the change of the last command was accepted as revision {revision}"
        ));
        record_seen_revision(locked, revision, pending.catalog);
        return Ok(());
    }
    // A write replaces one given revision only. Once another one is in force, it cannot take effect
    // any more.
    if root.revision != locked.state.revision {
        Output::print_note("the change of the last command was not accepted");
        locked.state.pending = None;
        locked.save()?;
    }
    Ok(())
}

fn change_lines(changes: &[Change]) -> String {
    let mut text = String::new();
    for change in changes {
        push_line(&mut text, &change.to_string());
    }
    text
}
