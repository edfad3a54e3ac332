//! Commands that write a small file into the folder and apply it: `key issue`, `key withdraw` and
//! `drain`.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::ExitCode,
};

use comfreyweir_config::{catalog::Catalog, folder, keys};
use serde_json::json;
use snafu::{ResultExt, ensure};

use super::{
    apply::{accept, finish},
    command::Target,
    error::{
        ClientError, EXIT_UNKNOWN, FileSnafu, FolderSnafu, KeyExistsSnafu, NotDeclaredSnafu,
        OverriddenSnafu,
    },
    output::Output,
    state::LockedState,
};

/// Start of the names of files that the client writes; they are merged late.
const PREFIX: &str = "99";
/// Random bytes of a generated identifier.
const ID_BYTES: usize = 4;

/// Issues a key: writes its hash into the folder, applies, and shows the key once.
pub(super) async fn issue_key(
    dir: &Path,
    workspace: &str,
    id: Option<String>,
    target: &Target,
    output: Output,
) -> Result<ExitCode, ClientError> {
    let mut locked = LockedState::open(dir)?;
    let before = folder::read(dir).context(FolderSnafu)?;
    declared(
        "workspace",
        workspace,
        before.workspaces.contains_key(workspace),
        dir,
    )?;
    let id = id.unwrap_or_else(|| generated_id(workspace));
    ensure!(!before.keys.contains_key(&id), KeyExistsSnafu { id, dir });
    let key = keys::generate();
    let hash = keys::hex(&keys::hash(&key));
    let text = format!("[keys.\"{id}\"]\nworkspace = \"{workspace}\"\nsha256 = \"{hash}\"\n");
    let path = file(dir, "key", &id, "");
    let catalog = write_checked(&path, &text, dir)?;
    let shown =
        format!("key {key}\nidentifier {id}\nThe key is shown this once and stored nowhere.\n");
    let json = json!({ "key": key, "id": id, "workspace": workspace, "file": path });
    match accept(&mut locked, catalog, target).await {
        Ok(accepted) => Ok(finish(&accepted, &shown, json, target, output).await),
        Err(e) if e.exit_code() == EXIT_UNKNOWN => {
            // The key may be valid, so its owner needs it.
            let mut json = json;
            json["outcome"] = json!("unknown");
            json["error"] = json!(e.to_string());
            let text = format!("{e}\n{shown}`comfreyweir apply` settles whether it is valid.\n");
            output.done(&text, &json);
            Ok(ExitCode::from(EXIT_UNKNOWN))
        }
        Err(e) => {
            remove(&path)?;
            Err(e)
        }
    }
}

/// Withdraws a key.
pub(super) async fn withdraw_key(
    dir: &Path,
    id: &str,
    target: &Target,
    output: Output,
) -> Result<ExitCode, ClientError> {
    let mut locked = LockedState::open(dir)?;
    let before = folder::read(dir).context(FolderSnafu)?;
    declared("key", id, before.keys.contains_key(id), dir)?;
    let path = file(dir, "key", id, "-withdrawn");
    let text = format!("[keys.\"{id}\"]\nwithdrawn = true\n");
    let catalog = write_checked(&path, &text, dir)?;
    if !catalog.keys[id].withdrawn {
        remove(&path)?;
        return OverriddenSnafu { path }.fail();
    }
    let json = json!({ "id": id, "file": path });
    keep_and_accept(&mut locked, catalog, json, target, output).await
}

/// Takes an upstream out of service, or puts it back.
pub(super) async fn drain(
    dir: &Path,
    upstream: &str,
    undo: bool,
    target: &Target,
    output: Output,
) -> Result<ExitCode, ClientError> {
    let mut locked = LockedState::open(dir)?;
    let before = folder::read(dir).context(FolderSnafu)?;
    declared(
        "upstream",
        upstream,
        before.upstreams.contains_key(upstream),
        dir,
    )?;
    let path = file(dir, "upstream", upstream, "-draining");
    let text = format!("[upstreams.\"{upstream}\"]\ndraining = {}\n", !undo);
    let catalog = write_checked(&path, &text, dir)?;
    if catalog.upstreams[upstream].draining == undo {
        remove(&path)?;
        return OverriddenSnafu { path }.fail();
    }
    let json = json!({ "upstream": upstream, "draining": !undo, "file": path });
    keep_and_accept(&mut locked, catalog, json, target, output).await
}

/// Applies a change whose file stays in the folder even when it is not accepted: what the
/// operator wants is on record, and applying again brings it about.
async fn keep_and_accept(
    locked: &mut LockedState,
    catalog: Catalog,
    json: serde_json::Value,
    target: &Target,
    output: Output,
) -> Result<ExitCode, ClientError> {
    match accept(locked, catalog, target).await {
        Ok(accepted) => Ok(finish(&accepted, "", json, target, output).await),
        Err(e) => {
            Output::note("the change stays in the folder; `comfreyweir apply` tries it again");
            Err(e)
        }
    }
}

fn declared(
    what: &'static str,
    name: &str,
    is_declared: bool,
    dir: &Path,
) -> Result<(), ClientError> {
    ensure!(is_declared, NotDeclaredSnafu { what, name, dir });
    Ok(())
}

fn generated_id(workspace: &str) -> String {
    let random = rand::random::<[u8; ID_BYTES]>();
    format!("{workspace}-{}", keys::hex(&random))
}

/// Path of a file of the client. Names of items may hold characters that file names may not.
fn file(dir: &Path, what: &str, name: &str, suffix: &str) -> PathBuf {
    let safe = |c: char| if c == '/' || c == ':' { '_' } else { c };
    let name: String = name.chars().map(safe).collect();
    dir.join(format!("{PREFIX}-{what}-{name}{suffix}.toml"))
}

/// Writes a file and reads the folder with it. The file is removed again when the folder then has
/// mistakes.
fn write_checked(path: &Path, text: &str, dir: &Path) -> Result<Catalog, ClientError> {
    fs::write(path, text).context(FileSnafu { path })?;
    match folder::read(dir) {
        Ok(catalog) => Ok(catalog),
        Err(e) => {
            remove(path)?;
            Err(e).context(FolderSnafu)
        }
    }
}

fn remove(path: &Path) -> Result<(), ClientError> {
    match fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e).context(FileSnafu { path }),
        _ => Ok(()),
    }
}
