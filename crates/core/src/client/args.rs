//! Parses the command line into raw arguments, whose values are checked later.

use std::ffi::OsString;

use lexopt::{Arg, Parser, ValueExt};
use snafu::{ResultExt, Snafu};

use super::help;

/// Command named on the command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommandName {
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

impl CommandName {
    /// The command as it is typed.
    pub fn as_str(self) -> &'static str {
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

    fn publishes_config(self) -> bool {
        matches!(
            self,
            Self::Apply | Self::KeyIssue | Self::KeyWithdraw | Self::Drain
        )
    }

    fn accepts_kv(self) -> bool {
        self.publishes_config() || self == Self::Diff
    }

    fn accepts_admin(self) -> bool {
        self.publishes_config() || self == Self::Status
    }
}

/// Result of parsing the command line.
pub enum ParsedArgs {
    /// Run the command with these arguments.
    Run(RawArgs),
    /// Print a help text or the version, and exit.
    Print(String),
}

/// Arguments as they were given, with a field for each option.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Debug)]
pub struct RawArgs {
    /// The command.
    pub command: CommandName,
    /// Positional arguments, in order.
    pub operands: Vec<OsString>,
    /// `--json`
    pub json: bool,
    /// `--kv`
    pub kv: Option<String>,
    /// `--admin`, which may be given more than once.
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

/// Error while parsing the command line.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ArgsError {
    /// An option is unknown or lacks its value.
    #[snafu(display("{source}; see `comfreyweir {command} --help`"))]
    Flag {
        /// Command to which the option was given; empty when it came before any command.
        command: &'static str,
        /// What is wrong.
        source: lexopt::Error,
    },
    /// The command does not exist.
    #[snafu(display("there is no command `{name}`; see `comfreyweir --help`"))]
    UnknownCommand {
        /// Command as it was given.
        name: String,
    },
    /// No command was given.
    #[snafu(display("name a command; see `comfreyweir --help`"))]
    NoCommand,
}

impl RawArgs {
    /// Parses the arguments that follow the name of the program.
    pub fn parse<I>(args: I) -> Result<ParsedArgs, ArgsError>
    where
        I: IntoIterator<Item = OsString>,
    {
        let mut parser = Parser::from_args(args);
        match parser.next().context(FlagSnafu { command: "" })? {
            None => NoCommandSnafu.fail(),
            Some(Arg::Short('h')) => Ok(ParsedArgs::Print(help::short())),
            Some(Arg::Long("help")) => Ok(ParsedArgs::Print(help::long())),
            Some(Arg::Short('V') | Arg::Long("version")) => Ok(ParsedArgs::Print(help::version())),
            Some(Arg::Value(name)) => match name.to_str() {
                Some("help") => Ok(ParsedArgs::Print(help::long())),
                Some("check") => Self::parse_options(CommandName::Check, &mut parser),
                Some("apply") => Self::parse_options(CommandName::Apply, &mut parser),
                Some("diff") => Self::parse_options(CommandName::Diff, &mut parser),
                Some("drain") => Self::parse_options(CommandName::Drain, &mut parser),
                Some("status") => Self::parse_options(CommandName::Status, &mut parser),
                Some("key") => Self::parse_key_command(&mut parser),
                _ => UnknownCommandSnafu {
                    name: name.to_string_lossy(),
                }
                .fail(),
            },
            Some(other) => Err(other.unexpected()).context(FlagSnafu { command: "" }),
        }
    }

    fn parse_key_command(parser: &mut Parser) -> Result<ParsedArgs, ArgsError> {
        const COMMAND: &str = "key";
        match parser.next().context(FlagSnafu { command: COMMAND })? {
            Some(Arg::Value(name)) if name == "issue" => {
                Self::parse_options(CommandName::KeyIssue, parser)
            }
            Some(Arg::Value(name)) if name == "withdraw" => {
                Self::parse_options(CommandName::KeyWithdraw, parser)
            }
            Some(Arg::Value(name)) => UnknownCommandSnafu {
                name: format!("key {}", name.to_string_lossy()),
            }
            .fail(),
            Some(Arg::Short('h') | Arg::Long("help")) | None => Ok(ParsedArgs::Print(help::key())),
            Some(other) => Err(other.unexpected()).context(FlagSnafu { command: COMMAND }),
        }
    }

    fn parse_options(command: CommandName, parser: &mut Parser) -> Result<ParsedArgs, ArgsError> {
        let command_str = command.as_str();
        let mut raw = Self::new(command);
        while let Some(arg) = parser.next().context(FlagSnafu {
            command: command_str,
        })? {
            match arg {
                Arg::Short('h') => return Ok(ParsedArgs::Print(help::short_of(command))),
                Arg::Long("help") => return Ok(ParsedArgs::Print(help::long_of(command))),
                Arg::Value(operand) => raw.operands.push(operand),
                // The name borrows the parser, which is needed again to read the value.
                Arg::Long(name) => {
                    let name = name.to_owned();
                    raw.set_option(&name, parser).context(FlagSnafu {
                        command: command_str,
                    })?;
                }
                other @ Arg::Short(_) => {
                    return Err(other.unexpected()).context(FlagSnafu {
                        command: command_str,
                    });
                }
            }
        }
        Ok(ParsedArgs::Run(raw))
    }

    fn set_option(&mut self, name: &str, parser: &mut Parser) -> Result<(), lexopt::Error> {
        let command = self.command;
        let mut value = || parser.value().and_then(ValueExt::string);
        match name {
            "json" => self.json = true,
            "kv" if command.accepts_kv() => self.kv = Some(value()?),
            "admin" if command.accepts_admin() => self.admin.push(value()?),
            "wait" if command.publishes_config() => self.wait = true,
            "timeout" if command.publishes_config() => self.timeout = Some(value()?),
            "over" if command.publishes_config() => self.over = Some(value()?),
            "overwrite" if command.publishes_config() => self.overwrite = true,
            "workspace" if command == CommandName::KeyIssue => self.workspace = Some(value()?),
            "id" if command == CommandName::KeyIssue => self.id = Some(value()?),
            "undo" if command == CommandName::Drain => self.undo = true,
            unknown => return Err(lexopt::Error::UnexpectedOption(format!("--{unknown}"))),
        }
        Ok(())
    }

    fn new(command: CommandName) -> Self {
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
