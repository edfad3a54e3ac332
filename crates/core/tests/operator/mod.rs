//! An operator with a folder and the client of this build.

// Each test file uses its own part.
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

/// What a command of the client ended with.
#[derive(Debug)]
pub struct Done {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Done {
    /// The object that `--json` prints.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }
}

/// A folder and the addresses of a cluster.
pub struct Operator {
    dir: TempDir,
    kv: SocketAddr,
    admin: Vec<SocketAddr>,
}

impl Operator {
    /// An operator whose folder holds the whole catalog of a cluster, applied and seen.
    pub fn new(cluster: &Cluster) -> Self {
        let operator = Self::unseen(cluster);
        let done = operator.run(&["apply", "DIR"]);
        assert_eq!(done.code, 0, "{done:?}");
        operator
    }

    /// An operator whose folder has seen no revision.
    pub fn unseen(cluster: &Cluster) -> Self {
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

    /// Runs the client; `DIR` stands for the folder. Every answer is JSON.
    pub fn run(&self, args: &[&str]) -> Done {
        finish(self.start(args))
    }

    /// Starts the client without waiting for its end.
    pub fn start(&self, args: &[&str]) -> Child {
        let admin: Vec<String> = self.admin.iter().map(ToString::to_string).collect();
        let dir = self.dir.path().to_str().unwrap();
        let args = args.iter().map(|a| if *a == "DIR" { dir } else { a });
        program()
            .args(args)
            .arg("--json")
            .env("COMFREYWEIR_KV", self.kv.to_string())
            .env("COMFREYWEIR_ADMIN", admin.join(","))
            .spawn()
            .unwrap()
    }
}

/// The client with its outputs caught.
pub fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_comfreyweir"));
    command
        .env_remove("COMFREYWEIR_KV")
        .env_remove("COMFREYWEIR_ADMIN")
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

/// Waits for the end of a started client.
pub fn finish(child: Child) -> Done {
    let output = child.wait_with_output().unwrap();
    Done {
        code: output.status.code().unwrap_or(-1),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}
