//! Checks raw arguments and turns them into a command.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use super::{
    args::{CommandName, RawArgs},
    error::ClientError,
};

/// Environment variable that is used without `--kv`.
pub const KV_ENV_VAR: &str = "COMFREYWEIR_KV";
/// Environment variable that is used without `--admin`: addresses separated by commas.
pub const ADMIN_ENV_VAR: &str = "COMFREYWEIR_ADMIN";
/// Timeout of `--wait` without `--timeout`. At its design size, the fleet has a revision in force
/// within this time.
const DEFAULT_WAIT_TIMEOUT: Duration = Duration::from_secs(17);

/// Command with its checked arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Checks a folder without calling the key-value service.
    Check {
        /// Folder of the configuration.
        dir: PathBuf,
    },
    /// Publishes a folder as the next revision.
    Apply {
        /// Folder of the configuration.
        dir: PathBuf,
        /// Where and how to publish.
        options: PublishOptions,
    },
    /// Compares a folder with the revision in force.
    Diff {
        /// Folder of the configuration.
        dir: PathBuf,
        /// Address of the key-value service.
        kv: SocketAddr,
    },
    /// Issues or withdraws a key.
    Key(KeyCommand),
    /// Takes an upstream out of service, or puts it back.
    Drain {
        /// Folder of the configuration.
        dir: PathBuf,
        /// Name of the upstream.
        upstream: String,
        /// Whether to put it back into service.
        undo: bool,
        /// Where and how to publish.
        options: PublishOptions,
    },
    /// Shows the status pages of gates and planners.
    Status {
        /// Admin addresses of the gates and planners.
        admin_addrs: Vec<SocketAddr>,
    },
}

/// Subcommand of `key`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyCommand {
    /// Issues a key.
    Issue {
        /// Folder of the configuration.
        dir: PathBuf,
        /// Workspace that the key authenticates.
        workspace: String,
        /// Identifier of the key; generated if it is `None`.
        id: Option<String>,
        /// Where and how to publish.
        options: PublishOptions,
    },
    /// Withdraws a key.
    Withdraw {
        /// Folder of the configuration.
        dir: PathBuf,
        /// Identifier of the key.
        id: String,
        /// Where and how to publish.
        options: PublishOptions,
    },
}

/// Where and how a change is published.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PublishOptions {
    /// Address of the key-value service.
    pub kv: SocketAddr,
    /// Revision that may be replaced, instead of the one that the folder has seen last (`--over`).
    pub over: Option<u64>,
    /// Whether to replace whatever the service holds (`--overwrite`).
    pub overwrite: bool,
    /// Waits until the change is in force (`--wait`).
    pub wait: Option<WaitOptions>,
}

/// Instances to wait for, and for how long.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitOptions {
    /// Admin addresses of the instances.
    pub admin_addrs: Vec<SocketAddr>,
    /// Longest time to wait.
    pub timeout: Duration,
}

impl Command {
    /// Checks the raw arguments. `env_var` reads an environment variable.
    pub fn from_raw<E>(raw: &RawArgs, env_var: E) -> Result<Self, ClientError>
    where
        E: Fn(&str) -> Option<String>,
    {
        let checker = ArgsChecker {
            command: raw.command,
            env_var,
        };
        checker.build_command(raw)
    }
}

struct ArgsChecker<E> {
    command: CommandName,
    env_var: E,
}

impl<E> ArgsChecker<E>
where
    E: Fn(&str) -> Option<String>,
{
    fn build_command(&self, raw: &RawArgs) -> Result<Command, ClientError> {
        let mut operands = raw.operands.clone().into_iter();
        let mut operand = |what: &str| {
            let missing = || self.usage_error(&format!("{what} is missing"));
            operands.next().ok_or_else(missing)
        };
        let command = match raw.command {
            CommandName::Check => Command::Check {
                dir: operand("DIR")?.into(),
            },
            CommandName::Apply => Command::Apply {
                dir: operand("DIR")?.into(),
                options: self.publish_options(raw)?,
            },
            CommandName::Diff => Command::Diff {
                dir: operand("DIR")?.into(),
                kv: self.kv_addr(raw)?,
            },
            CommandName::KeyIssue => Command::Key(KeyCommand::Issue {
                dir: operand("DIR")?.into(),
                workspace: raw
                    .workspace
                    .clone()
                    .ok_or_else(|| self.usage_error("--workspace is missing"))?,
                id: raw.id.clone(),
                options: self.publish_options(raw)?,
            }),
            CommandName::KeyWithdraw => Command::Key(KeyCommand::Withdraw {
                dir: operand("DIR")?.into(),
                id: self.parse_utf8(operand("ID")?)?,
                options: self.publish_options(raw)?,
            }),
            CommandName::Drain => Command::Drain {
                dir: operand("DIR")?.into(),
                upstream: self.parse_utf8(operand("UPSTREAM")?)?,
                undo: raw.undo,
                options: self.publish_options(raw)?,
            },
            CommandName::Status => Command::Status {
                admin_addrs: self.admin_addrs(raw)?,
            },
        };
        match operands.next() {
            None => Ok(command),
            Some(extra) => Err(self.usage_error(&format!("`{}` is one too many", extra.display()))),
        }
    }

    fn publish_options(&self, raw: &RawArgs) -> Result<PublishOptions, ClientError> {
        if raw.over.is_some() && raw.overwrite {
            return Err(self.usage_error("--over and --overwrite exclude each other"));
        }
        if raw.timeout.is_some() && !raw.wait {
            return Err(self.usage_error("--timeout needs --wait"));
        }
        let over = raw
            .over
            .as_deref()
            .map(|text| self.parse_number("--over", text));
        let timeout_secs = raw
            .timeout
            .as_deref()
            .map(|t| self.parse_number("--timeout", t));
        let timeout = timeout_secs
            .transpose()?
            .map_or(DEFAULT_WAIT_TIMEOUT, Duration::from_secs);
        let wait = if raw.wait {
            let admin_addrs = self.admin_addrs(raw)?;
            Some(WaitOptions {
                admin_addrs,
                timeout,
            })
        } else {
            None
        };
        Ok(PublishOptions {
            kv: self.kv_addr(raw)?,
            over: over.transpose()?,
            overwrite: raw.overwrite,
            wait,
        })
    }

    fn kv_addr(&self, raw: &RawArgs) -> Result<SocketAddr, ClientError> {
        let given = raw.kv.clone().or_else(|| (self.env_var)(KV_ENV_VAR));
        let missing = || self.usage_error(&format!("--kv is missing, and {KV_ENV_VAR} is not set"));
        self.parse_addr("--kv", &given.ok_or_else(missing)?)
    }

    fn admin_addrs(&self, raw: &RawArgs) -> Result<Vec<SocketAddr>, ClientError> {
        let mut given = raw.admin.clone();
        if given.is_empty() {
            let variable = (self.env_var)(ADMIN_ENV_VAR).unwrap_or_default();
            let addresses = variable.split(',').map(str::trim);
            given.extend(addresses.filter(|a| !a.is_empty()).map(str::to_owned));
        }
        if given.is_empty() {
            let text = format!("--admin is missing, and {ADMIN_ENV_VAR} is not set");
            return Err(self.usage_error(&text));
        }
        given
            .iter()
            .map(|a| self.parse_addr("--admin", a))
            .collect()
    }

    fn parse_addr(&self, flag: &str, text: &str) -> Result<SocketAddr, ClientError> {
        text.parse().map_err(|_| {
            self.usage_error(&format!(
                "{flag}: `{text}` is not an IP address with a port"
            ))
        })
    }

    fn parse_number(&self, flag: &str, text: &str) -> Result<u64, ClientError> {
        text.parse()
            .map_err(|_| self.usage_error(&format!("{flag}: `{text}` is not a whole number")))
    }

    fn parse_utf8(&self, operand: std::ffi::OsString) -> Result<String, ClientError> {
        operand
            .into_string()
            .map_err(|_| self.usage_error("a name is not UTF-8"))
    }

    fn usage_error(&self, message: &str) -> ClientError {
        ClientError::Usage {
            command: self.command.as_str(),
            message: message.to_owned(),
        }
    }
}
