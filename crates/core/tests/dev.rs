//! `comfreyweir dev` serves requests and stops gracefully.

use std::{
    io::{BufRead, BufReader},
    process::{Child, Command, Stdio},
};

use comfreyweir_testbed::Caller;
use rustix::process::{Pid, Signal, kill_process};

/// A running `comfreyweir dev`, killed on drop.
struct DevProcess(Child);

impl Drop for DevProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts `comfreyweir dev` on a free port and returns it with its first output line.
fn spawn_dev() -> (DevProcess, String) {
    let child = Command::new(env!("CARGO_BIN_EXE_comfreyweir"))
        .args(["dev", "--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut dev = DevProcess(child);
    let mut line = String::new();
    let stdout = dev.0.stdout.take().unwrap();
    BufReader::new(stdout).read_line(&mut line).unwrap();
    (dev, line)
}

#[actix_rt::test]
async fn dev_serves_requests_and_exits_with_code_zero() {
    let (mut dev, line) = spawn_dev();
    let words: Vec<&str> = line.split_whitespace().collect();
    let ["ready", url, "key", key] = words[..] else {
        panic!("unexpected line {line:?}");
    };
    let addr = url.strip_prefix("http://").unwrap().parse().unwrap();
    let caller = Caller::new(addr, Some(key));
    let answer = caller
        .chat("assistant", "Which oil for the mast?", 4)
        .await
        .unwrap();
    assert!(answer.status.is_success(), "{:?}", answer.body);
    let streamed = caller
        .stream("assistant-dispatch", "Which oil?", 4)
        .await
        .unwrap();
    assert!(streamed.done, "{streamed:?}");

    let pid = Pid::from_child(&dev.0);
    kill_process(pid, Signal::INT).unwrap();
    assert_eq!(dev.0.wait().unwrap().code(), Some(0));
}

#[test]
fn unknown_option_is_reported_with_exit_code_two() {
    let output = Command::new(env!("CARGO_BIN_EXE_comfreyweir"))
        .args(["dev", "--lisen", "127.0.0.1:0"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("--lisen"), "{text}");
}
