//! Commands that write a small file into the folder and then publish the folder: `key issue`,
//! `key withdraw` and `drain`.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::ExitCode,
};

use comfreyweir_config::{catalog::Catalog, folder, keys};
use serde_json::json;
use snafu::{ResultExt, ensure};

use super::{
    apply::{publish_catalog, wait_and_report},
    command::PublishOptions,
    error::{
        ClientError, EXIT_OUTCOME_UNKNOWN, FileSnafu, FolderSnafu, KeyExistsSnafu,
        NotDeclaredSnafu, OverriddenSnafu,
    },
    output::Output,
    state::LockedState,
};

/// Prefix of the names of files that the client writes. Files are merged in the order of their
/// names, so that these override most others.
const FILE_PREFIX: &str = "99";
/// Number of random bytes in a generated key identifier.
const ID_BYTES: usize = 4;

/// Issues a key: writes its hash into the folder, publishes the folder, and prints the key. The key
/// itself is not stored.
pub(super) async fn issue_key(
    dir: &Path,
    workspace: &str,
    id: Option<String>,
    options: &PublishOptions,
    output: Output,
) -> Result<ExitCode, ClientError> {
    let mut locked = LockedState::open(dir)?;
    let before = folder::read(dir).context(FolderSnafu)?;
    ensure_declared(
        "workspace",
        workspace,
        before.workspaces.contains_key(workspace),
        dir,
    )?;
    let id = id.unwrap_or_else(|| generate_id(workspace));
    ensure!(!before.keys.contains_key(&id), KeyExistsSnafu { id, dir });
    let key = keys::generate();
    let hash = keys::hex(&keys::hash(&key));
    let text = format!("[keys.\"{id}\"]\nworkspace = \"{workspace}\"\nsha256 = \"{hash}\"\n");
    let path = client_file_path(dir, "key", &id, "");
    let catalog = write_and_check(&path, &text, dir)?;
    let key_text =
        format!("key {key}\nidentifier {id}\nThe key is shown this once and stored nowhere.\n");
    let json = json!({ "key": key, "id": id, "workspace": workspace, "file": path });
    match publish_catalog(&mut locked, catalog, options).await {
        Ok(accepted) => Ok(wait_and_report(&accepted, &key_text, json, options, output).await),
        Err(e) if e.exit_code() == EXIT_OUTCOME_UNKNOWN => {
            // The key may have become valid, so it is printed all the same.
            let mut json = json;
            json["outcome"] = json!("unknown");
            json["error"] = json!(e.to_string());
            let text = format!("{e}\n{key_text}`comfreyweir apply` settles whether it is valid.\n");
            output.print_result(&text, &json);
            Ok(ExitCode::from(EXIT_OUTCOME_UNKNOWN))
        }
        Err(e) => {
            remove_if_exists(&path)?;
            Err(e)
        }
    }
}

/// Withdraws a key by a file that overrides the one that declares it.
pub(super) async fn withdraw_key(
    dir: &Path,
    id: &str,
    options: &PublishOptions,
    output: Output,
) -> Result<ExitCode, ClientError> {
    let mut locked = LockedState::open(dir)?;
    let before = folder::read(dir).context(FolderSnafu)?;
    ensure_declared("key", id, before.keys.contains_key(id), dir)?;
    let path = client_file_path(dir, "key", id, "-withdrawn");
    let text = format!("[keys.\"{id}\"]\nwithdrawn = true\n");
    let catalog = write_and_check(&path, &text, dir)?;
    if !catalog.keys[id].withdrawn {
        remove_if_exists(&path)?;
        return OverriddenSnafu { path }.fail();
    }
    let json = json!({ "id": id, "file": path });
    publish_keeping_file(&mut locked, catalog, json, options, output).await
}

/// Takes an upstream out of service, or with `undo` puts it back.
pub(super) async fn drain(
    dir: &Path,
    upstream: &str,
    undo: bool,
    options: &PublishOptions,
    output: Output,
) -> Result<ExitCode, ClientError> {
    let mut locked = LockedState::open(dir)?;
    let before = folder::read(dir).context(FolderSnafu)?;
    ensure_declared(
        "upstream",
        upstream,
        before.upstreams.contains_key(upstream),
        dir,
    )?;
    let path = client_file_path(dir, "upstream", upstream, "-draining");
    let text = format!("[upstreams.\"{upstream}\"]\ndraining = {}\n", !undo);
    let catalog = write_and_check(&path, &text, dir)?;
    if catalog.upstreams[upstream].draining == undo {
        remove_if_exists(&path)?;
        return OverriddenSnafu { path }.fail();
    }
    let json = json!({ "upstream": upstream, "draining": !undo, "file": path });
    publish_keeping_file(&mut locked, catalog, json, options, output).await
}

/// Publishes a change whose file stays in the folder even if the change is not accepted, so that
/// the next `apply` tries it again.
async fn publish_keeping_file(
    locked: &mut LockedState,
    catalog: Catalog,
    json: serde_json::Value,
    options: &PublishOptions,
    output: Output,
) -> Result<ExitCode, ClientError> {
    match publish_catalog(locked, catalog, options).await {
        Ok(accepted) => Ok(wait_and_report(&accepted, "", json, options, output).await),
        Err(e) => {
            Output::print_note(
                "the change stays in the folder; `comfreyweir apply` tries it again",
            );
            Err(e)
        }
    }
}

fn ensure_declared(
    kind: &'static str,
    name: &str,
    is_declared: bool,
    dir: &Path,
) -> Result<(), ClientError> {
    ensure!(is_declared, NotDeclaredSnafu { kind, name, dir });
    Ok(())
}

fn generate_id(workspace: &str) -> String {
    let random = rand::random::<[u8; ID_BYTES]>();
    format!("{workspace}-{}", keys::hex(&random))
}

/// Path of a file that the client writes for an item. Replaces `/` and `:`, which names of items
/// may contain but file names may not.
fn client_file_path(dir: &Path, kind: &str, name: &str, suffix: &str) -> PathBuf {
    let replace_unsafe = |c: char| if c == '/' || c == ':' { '_' } else { c };
    let name: String = name.chars().map(replace_unsafe).collect();
    dir.join(format!("{FILE_PREFIX}-{kind}-{name}{suffix}.toml"))
}

/// Writes a file into the folder and returns the catalog of the folder with it. Removes the file
/// again if the folder is then invalid.
fn write_and_check(path: &Path, text: &str, dir: &Path) -> Result<Catalog, ClientError> {
    fs::write(path, text).context(FileSnafu { path })?;
    match folder::read(dir) {
        Ok(catalog) => Ok(catalog),
        Err(e) => {
            remove_if_exists(path)?;
            Err(e).context(FolderSnafu)
        }
    }
}

fn remove_if_exists(path: &Path) -> Result<(), ClientError> {
    match fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e).context(FileSnafu { path }),
        _ => Ok(()),
    }
}
