//! The checked arguments.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use super::{
    args::{Name, Raw},
    error::ClientError,
};

/// Variable that stands in for `--kv`.
pub const KV_VARIABLE: &str = "COMFREYWEIR_KV";
/// Variable that stands in for `--admin`; addresses are separated by commas.
pub const ADMIN_VARIABLE: &str = "COMFREYWEIR_ADMIN";
/// Wait that `--wait` stands for unless `--timeout` says otherwise. The fleet has a revision in
/// force within this time at its design size.
const DEFAULT_WAIT: Duration = Duration::from_secs(17);

/// A command with all it needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Checks a folder.
    Check {
        /// The folder.
        dir: PathBuf,
    },
    /// Applies a folder.
    Apply {
        /// The folder.
        dir: PathBuf,
        /// Where and how to apply.
        target: Target,
    },
    /// Compares a folder with the revision in force.
    Diff {
        /// The folder.
        dir: PathBuf,
        /// Address of the key-value service.
        kv: SocketAddr,
    },
    /// Issues or withdraws a key.
    Key(KeyCommand),
    /// Takes an upstream out of service, or puts it back.
    Drain {
        /// The folder.
        dir: PathBuf,
        /// Name of the upstream.
        upstream: String,
        /// Whether it is put back.
        undo: bool,
        /// Where and how to apply.
        target: Target,
    },
    /// Shows the state of instances.
    Status {
        /// Their admin addresses.
        admin: Vec<SocketAddr>,
    },
}

/// A command about keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyCommand {
    /// Issues a key.
    Issue {
        /// The folder.
        dir: PathBuf,
        /// Workspace of the key.
        workspace: String,
        /// Identifier; generated when it is missing.
        id: Option<String>,
        /// Where and how to apply.
        target: Target,
    },
    /// Withdraws a key.
    Withdraw {
        /// The folder.
        dir: PathBuf,
        /// Identifier of the key.
        id: String,
        /// Where and how to apply.
        target: Target,
    },
}

/// Where and how a change is applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Address of the key-value service.
    pub kv: SocketAddr,
    /// Revision that the operator has seen, beside the one that the folder remembers.
    pub over: Option<u64>,
    /// Whether to replace whatever the service holds.
    pub overwrite: bool,
    /// Instances to wait for.
    pub wait: Option<Wait>,
}

/// Instances to wait for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wait {
    /// Their admin addresses.
    pub admin: Vec<SocketAddr>,
    /// How long to wait.
    pub limit: Duration,
}

impl Command {
    /// Checks the raw arguments; `environment` reads a variable.
    pub fn check<E>(raw: &Raw, environment: E) -> Result<Self, ClientError>
    where
        E: Fn(&str) -> Option<String>,
    {
        let check = Check {
            command: raw.command,
            environment,
        };
        check.command(raw)
    }
}

struct Check<E> {
    command: Name,
    environment: E,
}

impl<E> Check<E>
where
    E: Fn(&str) -> Option<String>,
{
    fn command(&self, raw: &Raw) -> Result<Command, ClientError> {
        let mut operands = raw.operands.clone().into_iter();
        let mut operand = |what: &str| {
            let missing = || self.usage(&format!("{what} is missing"));
            operands.next().ok_or_else(missing)
        };
        let command = match raw.command {
            Name::Check => Command::Check {
                dir: operand("DIR")?.into(),
            },
            Name::Apply => Command::Apply {
                dir: operand("DIR")?.into(),
                target: self.target(raw)?,
            },
            Name::Diff => Command::Diff {
                dir: operand("DIR")?.into(),
                kv: self.kv(raw)?,
            },
            Name::KeyIssue => Command::Key(KeyCommand::Issue {
                dir: operand("DIR")?.into(),
                workspace: raw
                    .workspace
                    .clone()
                    .ok_or_else(|| self.usage("--workspace is missing"))?,
                id: raw.id.clone(),
                target: self.target(raw)?,
            }),
            Name::KeyWithdraw => Command::Key(KeyCommand::Withdraw {
                dir: operand("DIR")?.into(),
                id: self.text(operand("ID")?)?,
                target: self.target(raw)?,
            }),
            Name::Drain => Command::Drain {
                dir: operand("DIR")?.into(),
                upstream: self.text(operand("UPSTREAM")?)?,
                undo: raw.undo,
                target: self.target(raw)?,
            },
            Name::Status => Command::Status {
                admin: self.admin(raw)?,
            },
        };
        match operands.next() {
            None => Ok(command),
            Some(extra) => Err(self.usage(&format!("`{}` is one too many", extra.display()))),
        }
    }

    fn target(&self, raw: &Raw) -> Result<Target, ClientError> {
        if raw.over.is_some() && raw.overwrite {
            return Err(self.usage("--over and --overwrite exclude each other"));
        }
        if raw.timeout.is_some() && !raw.wait {
            return Err(self.usage("--timeout needs --wait"));
        }
        let over = raw.over.as_deref().map(|text| self.number("--over", text));
        let timeout = raw.timeout.as_deref().map(|t| self.number("--timeout", t));
        let limit = timeout
            .transpose()?
            .map_or(DEFAULT_WAIT, Duration::from_secs);
        let wait = if raw.wait {
            let admin = self.admin(raw)?;
            Some(Wait { admin, limit })
        } else {
            None
        };
        Ok(Target {
            kv: self.kv(raw)?,
            over: over.transpose()?,
            overwrite: raw.overwrite,
            wait,
        })
    }

    fn kv(&self, raw: &Raw) -> Result<SocketAddr, ClientError> {
        let given = raw.kv.clone().or_else(|| (self.environment)(KV_VARIABLE));
        let missing = || self.usage(&format!("--kv is missing, and {KV_VARIABLE} is not set"));
        self.address("--kv", &given.ok_or_else(missing)?)
    }

    fn admin(&self, raw: &Raw) -> Result<Vec<SocketAddr>, ClientError> {
        let mut given = raw.admin.clone();
        if given.is_empty() {
            let variable = (self.environment)(ADMIN_VARIABLE).unwrap_or_default();
            let addresses = variable.split(',').map(str::trim);
            given.extend(addresses.filter(|a| !a.is_empty()).map(str::to_owned));
        }
        if given.is_empty() {
            let text = format!("--admin is missing, and {ADMIN_VARIABLE} is not set");
            return Err(self.usage(&text));
        }
        given.iter().map(|a| self.address("--admin", a)).collect()
    }

    fn address(&self, flag: &str, text: &str) -> Result<SocketAddr, ClientError> {
        text.parse().map_err(|_| {
            self.usage(&format!(
                "{flag}: `{text}` is not an IP address with a port"
            ))
        })
    }

    fn number(&self, flag: &str, text: &str) -> Result<u64, ClientError> {
        text.parse()
            .map_err(|_| self.usage(&format!("{flag}: `{text}` is not a whole number")))
    }

    fn text(&self, operand: std::ffi::OsString) -> Result<String, ClientError> {
        operand
            .into_string()
            .map_err(|_| self.usage("a name is not UTF-8"))
    }

    fn usage(&self, message: &str) -> ClientError {
        ClientError::Usage {
            command: self.command.words(),
            message: message.to_owned(),
        }
    }
}
