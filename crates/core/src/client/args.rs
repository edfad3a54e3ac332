//! The raw arguments.

use std::ffi::OsString;

use lexopt::{Arg, Parser, ValueExt};
use snafu::{ResultExt, Snafu};

use super::help;

/// Name of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Name {
    /// `check`
    Check,
    /// `apply`
    Apply,
    /// `diff`
    Diff,
    /// `key issue`
    KeyIssue,
    /// `key withdraw`
    KeyWithdraw,
    /// `drain`
    Drain,
    /// `status`
    Status,
}

impl Name {
    /// The command as it is typed.
    pub fn words(self) -> &'static str {
        match self {
            Self::Check => "check",
            Self::Apply => "apply",
            Self::Diff => "diff",
            Self::KeyIssue => "key issue",
            Self::KeyWithdraw => "key withdraw",
            Self::Drain => "drain",
            Self::Status => "status",
        }
    }

    fn has_wait(self) -> bool {
        matches!(
            self,
            Self::Apply | Self::KeyIssue | Self::KeyWithdraw | Self::Drain
        )
    }

    fn has_kv(self) -> bool {
        self.has_wait() || self == Self::Diff
    }

    fn has_admin(self) -> bool {
        self.has_wait() || self == Self::Status
    }
}

/// What the command line asks for.
pub enum Request {
    /// To run a command.
    Run(Raw),
    /// To print a text.
    Print(String),
}

/// Arguments as they were given. Each flag is a field of its own.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Debug)]
pub struct Raw {
    /// The command.
    pub command: Name,
    /// Arguments without a flag.
    pub operands: Vec<OsString>,
    /// `--json`
    pub json: bool,
    /// `--kv`
    pub kv: Option<String>,
    /// `--admin`, each time it was given.
    pub admin: Vec<String>,
    /// `--wait`
    pub wait: bool,
    /// `--timeout`
    pub timeout: Option<String>,
    /// `--over`
    pub over: Option<String>,
    /// `--overwrite`
    pub overwrite: bool,
    /// `--workspace`
    pub workspace: Option<String>,
    /// `--id`
    pub id: Option<String>,
    /// `--undo`
    pub undo: bool,
}

/// Why the arguments cannot be read.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ArgsError {
    /// A flag is unknown or lacks its value.
    #[snafu(display("{source}; see `comfreyweir {command} --help`"))]
    Flag {
        /// The command.
        command: &'static str,
        /// What is wrong.
        source: lexopt::Error,
    },
    /// There is no such command.
    #[snafu(display("there is no command `{name}`; see `comfreyweir --help`"))]
    UnknownCommand {
        /// What was given.
        name: String,
    },
    /// No command was given.
    #[snafu(display("name a command; see `comfreyweir --help`"))]
    NoCommand,
}

impl Raw {
    /// Reads the arguments.
    pub fn parse<I>(args: I) -> Result<Request, ArgsError>
    where
        I: IntoIterator<Item = OsString>,
    {
        let mut parser = Parser::from_args(args);
        match parser.next().context(FlagSnafu { command: "" })? {
            None => NoCommandSnafu.fail(),
            Some(Arg::Short('h')) => Ok(Request::Print(help::short())),
            Some(Arg::Long("help")) => Ok(Request::Print(help::long())),
            Some(Arg::Short('V') | Arg::Long("version")) => Ok(Request::Print(help::version())),
            Some(Arg::Value(name)) => match name.to_str() {
                Some("help") => Ok(Request::Print(help::long())),
                Some("check") => Self::options(Name::Check, &mut parser),
                Some("apply") => Self::options(Name::Apply, &mut parser),
                Some("diff") => Self::options(Name::Diff, &mut parser),
                Some("drain") => Self::options(Name::Drain, &mut parser),
                Some("status") => Self::options(Name::Status, &mut parser),
                Some("key") => Self::key(&mut parser),
                _ => UnknownCommandSnafu {
                    name: name.to_string_lossy(),
                }
                .fail(),
            },
            Some(other) => Err(other.unexpected()).context(FlagSnafu { command: "" }),
        }
    }

    fn key(parser: &mut Parser) -> Result<Request, ArgsError> {
        const COMMAND: &str = "key";
        match parser.next().context(FlagSnafu { command: COMMAND })? {
            Some(Arg::Value(name)) if name == "issue" => Self::options(Name::KeyIssue, parser),
            Some(Arg::Value(name)) if name == "withdraw" => {
                Self::options(Name::KeyWithdraw, parser)
            }
            Some(Arg::Value(name)) => UnknownCommandSnafu {
                name: format!("key {}", name.to_string_lossy()),
            }
            .fail(),
            Some(Arg::Short('h') | Arg::Long("help")) | None => Ok(Request::Print(help::key())),
            Some(other) => Err(other.unexpected()).context(FlagSnafu { command: COMMAND }),
        }
    }

    fn options(command: Name, parser: &mut Parser) -> Result<Request, ArgsError> {
        let words = command.words();
        let mut raw = Self::new(command);
        while let Some(arg) = parser.next().context(FlagSnafu { command: words })? {
            match arg {
                Arg::Short('h') => return Ok(Request::Print(help::short_of(command))),
                Arg::Long("help") => return Ok(Request::Print(help::long_of(command))),
                Arg::Value(operand) => raw.operands.push(operand),
                // The name borrows from the parser, which gives the value.
                Arg::Long(name) => {
                    let name = name.to_owned();
                    raw.flag(&name, parser)
                        .context(FlagSnafu { command: words })?;
                }
                other @ Arg::Short(_) => {
                    return Err(other.unexpected()).context(FlagSnafu { command: words });
                }
            }
        }
        Ok(Request::Run(raw))
    }

    fn flag(&mut self, flag: &str, parser: &mut Parser) -> Result<(), lexopt::Error> {
        let command = self.command;
        let mut value = || parser.value().and_then(ValueExt::string);
        match flag {
            "json" => self.json = true,
            "kv" if command.has_kv() => self.kv = Some(value()?),
            "admin" if command.has_admin() => self.admin.push(value()?),
            "wait" if command.has_wait() => self.wait = true,
            "timeout" if command.has_wait() => self.timeout = Some(value()?),
            "over" if command.has_wait() => self.over = Some(value()?),
            "overwrite" if command.has_wait() => self.overwrite = true,
            "workspace" if command == Name::KeyIssue => self.workspace = Some(value()?),
            "id" if command == Name::KeyIssue => self.id = Some(value()?),
            "undo" if command == Name::Drain => self.undo = true,
            unknown => return Err(lexopt::Error::UnexpectedOption(format!("--{unknown}"))),
        }
        Ok(())
    }

    fn new(command: Name) -> Self {
        Self {
            command,
            operands: Vec::new(),
            json: false,
            kv: None,
            admin: Vec::new(),
            wait: false,
            timeout: None,
            over: None,
            overwrite: false,
            workspace: None,
            id: None,
            undo: false,
        }
    }
}
