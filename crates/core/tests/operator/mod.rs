//! Runs the operators' client of this build with a configuration folder.

// Each test file uses only some of these items.
#![allow(dead_code)]

use std::{
    fs,
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
};

use comfreyweir_config::catalog::Catalog;
use comfreyweir_testbed::Cluster;
use serde_json::Value;
use tempfile::TempDir;

/// Exit code and output of a client command.
#[derive(Debug)]
pub struct ClientOutput {
    /// -1 if a signal ended the client.
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl ClientOutput {
    /// Parses the object that `--json` prints; panics if there is none.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }
}

/// A configuration folder, and the addresses at which the client reaches a cluster.
pub struct Operator {
    dir: TempDir,
    kv: SocketAddr,
    admin: Vec<SocketAddr>,
}

impl Operator {
    /// Writes the cluster's full catalog to a new folder and applies it, so that the folder has
    /// seen the latest revision.
    pub fn new(cluster: &Cluster) -> Self {
        let operator = Self::without_seen_revision(cluster);
        let done = operator.run(&["apply", "DIR"]);
        assert_eq!(done.code, 0, "{done:?}");
        operator
    }

    /// Writes the cluster's full catalog to a new folder that has seen no revision.
    pub fn without_seen_revision(cluster: &Cluster) -> Self {
        let layout = cluster.layout();
        let instances = 0..cluster.spec().gates;
        let operator = Self {
            dir: TempDir::new().unwrap(),
            kv: layout.kv(),
            admin: instances.map(|i| layout.gate_admin(i)).collect(),
        };
        operator.write_catalog(&cluster.full_catalog());
        operator
    }

    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.dir.path().join(name), text).unwrap();
    }

    pub fn write_catalog(&self, catalog: &Catalog) {
        self.write("10-all.toml", &toml::to_string(catalog).unwrap());
    }

    /// Runs the client with `--json` and waits for its end. The argument `DIR` is replaced by the
    /// folder's path.
    pub fn run(&self, args: &[&str]) -> ClientOutput {
        wait_for_output(self.start(args))
    }

    /// Like `run`, but does not wait for the client to end.
    pub fn start(&self, args: &[&str]) -> Child {
        let admin: Vec<String> = self.admin.iter().map(ToString::to_string).collect();
        let dir = self.dir.path().to_str().unwrap();
        let args = args.iter().map(|a| if *a == "DIR" { dir } else { a });
        client_command()
            .args(args)
            .arg("--json")
            .env("COMFREYWEIR_KV", self.kv.to_string())
            .env("COMFREYWEIR_ADMIN", admin.join(","))
            .spawn()
            .unwrap()
    }
}

/// A command that runs the client with its output captured and no address settings inherited.
pub fn client_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_comfreyweir"));
    command
        .env_remove("COMFREYWEIR_KV")
        .env_remove("COMFREYWEIR_ADMIN")
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

/// Waits until a started client ends.
pub fn wait_for_output(child: Child) -> ClientOutput {
    let output = child.wait_with_output().unwrap();
    ClientOutput {
        code: output.status.code().unwrap_or(-1),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}
