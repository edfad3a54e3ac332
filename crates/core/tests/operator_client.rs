//! Commands of the operators' client, most of them run against a cluster.

mod operator;
mod support;

use std::fs;

use awc::http::StatusCode;
use comfreyweir_external::kv::Kv;
use operator::{Operator, client_command, wait_for_output};
use support::{Caller, Cluster, ClusterSpec, start};

const PROMPT: &str = "Which sizes are in stock?";

async fn cluster() -> Cluster {
    let spec = ClusterSpec::new(2)
        .engines(1, 1_000)
        .model("assistant", 400, 1)
        .workspace("school", 100_000, 100_000);
    start(spec).await
}

fn run_without_cluster(args: &[&str]) -> operator::ClientOutput {
    wait_for_output(client_command().args(args).spawn().unwrap())
}

#[test]
fn every_command_has_short_and_long_help() {
    let commands: [&[&str]; 8] = [
        &[],
        &["check"],
        &["apply"],
        &["diff"],
        &["key", "issue"],
        &["key", "withdraw"],
        &["drain"],
        &["status"],
    ];
    for command in commands {
        let short = run_without_cluster(&[command, &["-h"]].concat());
        let long = run_without_cluster(&[command, &["--help"]].concat());
        assert_eq!((short.code, long.code), (0, 0), "{command:?}");
        assert!(short.stdout.contains("USAGE:"), "{short:?}");
        assert!(long.stdout.contains("EXIT CODES:"), "{long:?}");
        assert!(long.stdout.len() > short.stdout.len(), "{command:?}");
        assert!(long.stdout.lines().all(|l| l.len() <= 82), "{command:?}");
    }
}

#[test]
fn command_line_errors_are_reported() {
    let cases: [(&[&str], &str); 7] = [
        (&[], "name a command"),
        (&["aply"], "there is no command `aply`"),
        (&["apply"], "DIR is missing"),
        (&["apply", "x"], "--kv is missing"),
        (
            &["apply", "x", "--kv", "here"],
            "`here` is not an IP address with a port",
        ),
        (&["check", "x", "--wait"], "--wait"),
        (&["check", "x", "y"], "`y` is one too many"),
    ];
    for (args, text) in cases {
        let done = run_without_cluster(args);
        assert_eq!(done.code, 2, "{args:?}: {done:?}");
        assert!(done.stderr.contains(text), "{args:?}: {done:?}");
        assert!(done.stderr.contains("--help"), "{args:?}: {done:?}");
    }
}

#[test]
fn check_reports_all_findings_with_their_lines() {
    let dir = tempfile::TempDir::new().unwrap();
    let text = "[workspaces.a]\nrate = 0\nburst = 1\nsize = 2\n";
    fs::write(dir.path().join("10.toml"), text).unwrap();
    let dir = dir.path().to_str().unwrap();
    let done = run_without_cluster(&["check", dir]);
    assert_eq!(done.code, 2);
    assert!(
        done.stderr
            .contains("10.toml:2:8: workspace `a` needs `rate`"),
        "{done:?}"
    );
    assert!(
        done.stderr
            .contains("10.toml:4:1: workspace `a` has an unknown"),
        "{done:?}"
    );
    let json = run_without_cluster(&["check", dir, "--json"]).json();
    assert_eq!(json["mistakes"][1]["line"], 4);
}

#[actix_rt::test]
async fn folder_is_compared_applied_and_takes_effect() {
    let cluster = cluster().await;
    let operator = Operator::without_seen_revision(&cluster);
    assert_eq!(operator.run(&["diff", "DIR"]).code, 0);
    assert_eq!(operator.run(&["apply", "DIR"]).json()["revision"], 1);

    operator.write("20.toml", "[workspaces.school]\nweight = 3\n");
    let diff = operator.run(&["diff", "DIR"]);
    assert_eq!(diff.code, 6);
    assert_eq!(diff.json()["changes"][0]["item"], "workspaces.school");

    let applied = operator.run(&["apply", "DIR", "--wait"]);
    assert_eq!(applied.code, 0, "{applied:?}");
    let in_force = applied.json()["in_force"].clone();
    assert_eq!(in_force.as_object().unwrap().len(), 2);
    assert!(in_force.as_object().unwrap().values().all(|r| *r == 2));

    let status = operator.run(&["status"]);
    assert_eq!(status.code, 0, "{status:?}");
    let instance_status = &status.json()["instances"][0]["status"];
    assert_eq!(instance_status["configuration"]["revision"], 2);
}

#[actix_rt::test]
async fn instance_behind_the_applied_revision_is_reported() {
    let cluster = cluster().await;
    let operator = Operator::new(&cluster);
    cluster.freeze("gate-1").unwrap();
    operator.write("20.toml", "[workspaces.school]\nweight = 3\n");
    let applied = operator.run(&["apply", "DIR", "--wait", "--timeout", "2"]);
    assert_eq!(applied.code, 5, "{applied:?}");
    let json = applied.json();
    assert_eq!(json["outcome"], "accepted");
    let behind = cluster.layout().gate_admin(1).to_string();
    assert_eq!(json["behind"], serde_json::json!([behind]));
    assert_eq!(operator.run(&["status"]).code, 1);
    cluster.thaw("gate-1").unwrap();
    assert_eq!(operator.run(&["apply", "DIR", "--wait"]).code, 0);
}

#[actix_rt::test]
async fn issued_key_works_until_it_is_withdrawn() {
    let cluster = cluster().await;
    let operator = Operator::new(&cluster);
    let issued = operator.run(&["key", "issue", "DIR", "--workspace", "school", "--wait"]);
    assert_eq!(issued.code, 0, "{issued:?}");
    let json = issued.json();
    let (key, id) = (json["key"].as_str().unwrap(), json["id"].as_str().unwrap());
    let written = fs::read_to_string(json["file"].as_str().unwrap()).unwrap();
    assert!(!written.contains(key), "only the hash is stored");
    let callers = [0, 1].map(|gate| Caller::new(cluster.layout().gate(gate), Some(key)));
    for caller in &callers {
        let answer = caller.chat("assistant", PROMPT, 4).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
    }
    let withdrawn = operator.run(&["key", "withdraw", "DIR", id, "--wait"]);
    assert_eq!(withdrawn.code, 0, "{withdrawn:?}");
    for caller in &callers {
        let answer = caller.chat("assistant", PROMPT, 4).await.unwrap();
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
    }
    let unknown = operator.run(&["key", "withdraw", "DIR", "nobody"]);
    assert_eq!(unknown.code, 2, "{unknown:?}");
}

#[actix_rt::test]
async fn rejected_key_is_not_printed_or_saved() {
    let cluster = cluster().await;
    let operator = Operator::without_seen_revision(&cluster);
    operator.write("20.toml", "[workspaces.school]\nweight = 3\n");
    let issued = operator.run(&["key", "issue", "DIR", "--workspace", "school", "--id", "k9"]);
    assert_eq!(issued.code, 3, "revision 1 was not seen: {issued:?}");
    assert!(issued.json()["key"].is_null());
    assert!(!operator.dir().join("99-key-k9.toml").exists());
}

#[actix_rt::test]
async fn upstream_is_drained_and_restored() {
    let cluster = cluster().await;
    let operator = Operator::new(&cluster);
    for (args, draining) in [
        (&["drain", "DIR", "engine-0"][..], true),
        (&["drain", "DIR", "engine-0", "--undo"][..], false),
    ] {
        let done = operator.run(args);
        assert_eq!(done.code, 0, "{done:?}");
        let snapshot = comfreyweir_store::read(&cluster.kv()).await.unwrap();
        assert_eq!(snapshot.catalog.upstreams["engine-0"].draining, draining);
    }
}

#[actix_rt::test]
async fn configuration_with_a_lost_chunk_can_be_overwritten() {
    let cluster = cluster().await;
    let operator = Operator::new(&cluster);
    let kv = cluster.kv();
    let root = comfreyweir_store::read_root(&kv).await.unwrap().unwrap().1;
    let key = comfreyweir_store::chunk_key(&root.chunks[0]);
    let found = kv.get(&key).await.unwrap().unwrap();
    kv.swap(&key, found.version, Vec::new().into())
        .await
        .unwrap();

    let done = operator.run(&["apply", "DIR"]);
    assert_eq!(done.code, 1, "{done:?}");
    let done = operator.run(&["apply", "DIR", "--overwrite", "--wait"]);
    assert_eq!(done.code, 0, "{done:?}");
    assert_eq!(done.json()["revision"], 2);
    assert!(comfreyweir_store::read(&kv).await.is_ok());
}
