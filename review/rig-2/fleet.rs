//! Instances of the system as separate processes, and addresses on the loopback interface.

use std::{
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setrlimit(resource: i32, limit: *const [u64; 2]) -> i32;
    fn getrlimit(resource: i32, limit: *mut [u64; 2]) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
const RLIMIT_NOFILE: i32 = 7;

/// Lets this program have as many descriptors as it may. Returns their number.
pub fn raise_own_descriptors() -> u64 {
    let mut limit = [0; 2];
    // Both calls concern this process only.
    unsafe {
        if getrlimit(RLIMIT_NOFILE, &mut limit) != 0 {
            return 0;
        }
        let raised = [limit[1], limit[1]];
        if setrlimit(RLIMIT_NOFILE, &raised) == 0 {
            limit = raised;
        }
    }
    limit[0]
}

/// Loopback addresses of which nothing else of this machine uses the network part.
pub struct Net {
    block: (u8, u8),
    _claim: TcpListener,
}

impl Net {
    pub fn claim() -> io::Result<Self> {
        let offset = std::process::id();
        for attempt in 0..2_000 {
            let index = offset.wrapping_mul(97).wrapping_add(attempt) % (200 * 256);
            let block = ((1 + index / 256) as u8, (index % 256) as u8);
            let claim = Ipv4Addr::new(127, block.0, block.1, 1);
            if let Ok(claim) = TcpListener::bind((claim, 7999)) {
                return Ok(Self {
                    block,
                    _claim: claim,
                });
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block.0, self.block.1, host)
    }

    /// Listens on a free port.
    pub fn listen(&self, host: u8) -> io::Result<TcpListener> {
        TcpListener::bind((self.ip(host), 0))
    }
}

/// What the platform gives an instance.
#[derive(Clone, Debug)]
pub struct Machine {
    pub cores: f64,
    pub memory_mb: u64,
    pub max_fds: Option<u64>,
}

/// The machines of the small sites.
pub const SMALL: Machine = Machine {
    cores: 0.25,
    memory_mb: 260,
    max_fds: None,
};

/// One instance, and its process while that runs.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub machine: Machine,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Instance {
    /// Writes the settings as the platform fills them in. `host` is the last part of the address.
    pub fn new(
        net: &Net,
        (name, host): (&str, u8),
        machine: Machine,
        store: SocketAddr,
        folder: &std::path::Path,
    ) -> io::Result<Self> {
        let ip = net.ip(host);
        let addr = |port: u16| SocketAddr::from((ip, port));
        let text = format!(
            "[instance]\nname = \"{name}\"\nzone = \"mid-a\"\nregion = \"midlands\"\n\
             zones = {{ \"mid-a\" = \"midlands\" }}\ncores = {}\nlink_mbps = 1000.0\nmemory_mb = {}\n\n\
             [listen]\ncallers = \"{}\"\nready = \"{}\"\npeer = \"{}\"\nadmin = \"{}\"\n\n\
             [store]\naddr = \"{store}\"\nmin_lease_ms = 1000\n\n[limits]\nhead_ms = 3000\n\n\
             [timing]\ngrace_s = 8\ndrain_ms = 2000\nupstream_heartbeat_ms = 1200\nconfig_ms = 2000\n\
             order_rest_ms = 3000\nthaw_ms = 300\n\n[repeats]\nratio = 0.2\nwindow_s = 10\nextra = 56\n",
            machine.cores,
            machine.memory_mb,
            addr(8221),
            addr(8224),
            addr(8229),
            addr(7600),
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        Ok(Self {
            name: name.to_owned(),
            front: addr(8221),
            ready: addr(8224),
            machine,
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        })
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new("target/release/comfreyweir-entry");
        command.arg("--config").arg(&self.settings);
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        if let Some(max) = self.machine.max_fds {
            let limit = [max, max];
            // Sets the limit of the new process only.
            unsafe {
                command.pre_exec(move || match setrlimit(RLIMIT_NOFILE, &limit) {
                    0 => Ok(()),
                    _ => Err(io::Error::last_os_error()),
                });
            }
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid() {
            // A process that this program has started and not waited for.
            unsafe { kill(pid as i32, signal) };
        }
    }

    /// Ends the process by SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        matches!(child.try_wait(), Ok(Some(_)))
    }

    /// What the platform's readiness check gets.
    pub fn is_ready(&self) -> bool {
        let req = format!(
            "GET /-/ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.ready
        );
        let answer = http::call(self.ready, req.as_bytes(), Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Number of open descriptors of the process.
    pub fn descriptors(&self) -> Option<usize> {
        let open = fs::read_dir(format!("/proc/{}/fd", self.pid()?)).ok()?;
        Some(open.count())
    }

    /// Resident memory of the process in kB, as the platform measures it.
    pub fn memory_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}
