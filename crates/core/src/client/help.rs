//! Texts that `-h`, `--help` and `--version` print.

use super::args::CommandName;

const SYNOPSIS: &str = "\
Operate comfreyweir: check and apply a folder of TOML files, issue and withdraw
keys, and look at what runs.

USAGE:
    comfreyweir COMMAND [OPTIONS] ...

COMMANDS:
    check           Report every mistake in a folder
    diff            Compare a folder with the revision in force
    apply           Put a folder in force
    key issue       Issue a key for a workspace
    key withdraw    Withdraw a key
    drain           Take an upstream out of service, or put it back
    status          Show what is loaded where, shares and revisions in force
    dev             Run the whole system in one process, to try it

OPTIONS:
    -h, --help       Print this help; --help prints more
    -V, --version    Print the version
";

const EXIT_CODES_AND_ENVIRONMENT: &str = "
EXIT CODES:
    0    done
    1    failed, and nothing was changed; `status`: an instance did not answer
    2    mistakes in the command line or in the folder, and nothing was changed
    3    not accepted: others have changed the configuration since this folder
         last saw it
    4    not known whether the change was accepted; run `apply` again to settle it
    5    accepted, but not in force on every instance within the wait
    6    `diff` found differences

ENVIRONMENT:
    COMFREYWEIR_KV       stands in for --kv
    COMFREYWEIR_ADMIN    stands in for --admin; addresses separated by commas
";

const PUBLISH_OPTIONS: &str = "\
    --kv ADDR:PORT
        Key-value service that holds the configuration. COMFREYWEIR_KV stands in
        for it.
    --wait
        Wait until every instance has the revision in force, and tell which ones
        have not. The instances are those of --admin.
    --admin ADDR:PORT
        Admin address of a gate or planner, once for each. COMFREYWEIR_ADMIN
        stands in for it.
    --timeout SECONDS
        Longest time of --wait. The default is 17.
    --over REVISION
        Write over this revision although the folder has not seen it. Look at
        `comfreyweir diff` first. The write is refused if yet another revision
        is in force by then.
    --overwrite
        Write over whatever the service holds. For a service that has lost
        revisions; otherwise use --over.
";

const COMMON_OPTIONS: &str = "\
    --json
        Print one JSON object on standard output, for errors as well.
    -h, --help
        Print this help; -h prints less.
";

/// Help texts of one command.
struct CommandHelp {
    usage: &'static str,
    about: &'static str,
    description: &'static str,
    /// Options that only this command takes.
    options: &'static str,
    /// Whether it publishes the configuration, and so takes [`PUBLISH_OPTIONS`].
    publishes_config: bool,
}

// Long only because it holds the texts of every command.
#[allow(clippy::too_many_lines)]
fn command_help(command: CommandName) -> CommandHelp {
    match command {
        CommandName::Check => CommandHelp {
            usage: "check DIR [--json]",
            about: "Report every mistake in a folder.",
            description: "\
All files of DIR that end in .toml are merged in the order of their names, a
setting of a later file over the same setting of an earlier one. Hidden files and
folders are left out. Every mistake is reported with its file, line and column:
syntax, unknown settings, references to what is not declared, sizes that cannot
work, hashes that are none. Nothing is read from or written to the service.
",
            options: "",
            publishes_config: false,
        },
        CommandName::Apply => CommandHelp {
            usage: "apply DIR --kv ADDR:PORT [--wait --admin ADDR:PORT...] [OPTIONS]",
            about: "Put a folder in force.",
            description: "\
The folder is checked, and then becomes the next revision as a whole. Instances
have it in force within seconds. `accepted` and `not accepted` are told only when
they are certain, also when the service's answer was lost. When the service stays
out of reach after the write was sent, the outcome is `unknown`; run `apply` again
to settle it.

A revision that this folder has not seen is not overwritten. What others changed
is shown instead; take it into the folder and apply with --over. The folder
remembers the last revision it has seen in DIR/.comfreyweir-state.json.
",
            options: "",
            publishes_config: true,
        },
        CommandName::Diff => CommandHelp {
            usage: "diff DIR --kv ADDR:PORT [--json]",
            about: "Compare a folder with the revision in force.",
            description: "\
Lists what applying the folder would add (+), remove (-) and change (~).
Exits with 6 when there are differences.
",
            options: "\
    --kv ADDR:PORT
        Key-value service that holds the configuration. COMFREYWEIR_KV stands in
        for it.
",
            publishes_config: false,
        },
        CommandName::KeyIssue => CommandHelp {
            usage: "key issue DIR --workspace NAME [--id ID] --kv ADDR:PORT [OPTIONS]",
            about: "Issue a key for a workspace.",
            description: "\
Generates a key, writes its hash into a new file DIR/99-key-ID.toml, applies the
folder with all else that has changed in it, and prints the key. The key is shown
this once and stored nowhere. If the change is not accepted, the file is removed
again and no key is shown.
",
            options: "\
    --workspace NAME
        Workspace that the key authenticates.
    --id ID
        Public identifier of the key, for logs and for `key withdraw`. One is
        generated from the name of the workspace by default.
",
            publishes_config: true,
        },
        CommandName::KeyWithdraw => CommandHelp {
            usage: "key withdraw DIR ID --kv ADDR:PORT [--wait ...] [OPTIONS]",
            about: "Withdraw a key.",
            description: "\
Writes DIR/99-key-ID-withdrawn.toml and applies the folder with all else that has
changed in it. Within seconds of acceptance the key admits nothing new, on open
connections too, and requests that still wait are refused. With --wait you see
where it is in force. If the change is not accepted the file stays, so that the
next `apply` tries it again.
",
            options: "",
            publishes_config: true,
        },
        CommandName::Drain => CommandHelp {
            usage: "drain DIR UPSTREAM [--undo] --kv ADDR:PORT [OPTIONS]",
            about: "Take an upstream out of service, or put it back.",
            description: "\
Writes DIR/99-upstream-UPSTREAM-draining.toml and applies the folder with all else
that has changed in it. Within seconds of acceptance the upstream receives no new
work; what runs on it ends undisturbed.
",
            options: "\
    --undo
        Put the upstream back into service.
",
            publishes_config: true,
        },
        CommandName::Status => CommandHelp {
            usage: "status --admin ADDR:PORT... [--json]",
            about: "Show what is loaded where and why, shares and revisions in force.",
            description: "\
Reads the status page of every gate and planner that is named, and prints them
one after the other. An instance that does not answer within a second is listed
as such, and the exit code is 1.
",
            options: "\
    --admin ADDR:PORT
        Admin address of a gate or planner, once for each. COMFREYWEIR_ADMIN
        stands in for it.
",
            publishes_config: false,
        },
    }
}

/// Help printed by `comfreyweir -h`.
pub fn short() -> String {
    format!("{}\n{SYNOPSIS}", version().trim_end())
}

/// Help printed by `comfreyweir --help`.
pub fn long() -> String {
    format!(
        "{}\n`comfreyweir COMMAND --help` tells all about a command.\n{EXIT_CODES_AND_ENVIRONMENT}",
        short()
    )
}

/// Help printed by `comfreyweir key` without a subcommand.
pub fn key() -> String {
    "\
Issue and withdraw keys.

USAGE:
    comfreyweir key issue DIR --workspace NAME [OPTIONS]
    comfreyweir key withdraw DIR ID [OPTIONS]

Each has its --help.
"
    .to_owned()
}

/// Line printed by `--version`.
pub fn version() -> String {
    format!("comfreyweir {}\n", env!("CARGO_PKG_VERSION"))
}

/// Help printed by `-h` after a command.
pub fn short_of(command: CommandName) -> String {
    let CommandHelp { usage, about, .. } = command_help(command);
    format!(
        "{about}\n\nUSAGE:\n    comfreyweir {usage}\n\n\
         `comfreyweir {} --help` lists the options.\n",
        command.as_str()
    )
}

/// Help printed by `--help` after a command.
pub fn long_of(command: CommandName) -> String {
    let CommandHelp {
        usage,
        about,
        description,
        options,
        publishes_config,
    } = command_help(command);
    let publish_options = if publishes_config {
        PUBLISH_OPTIONS
    } else {
        ""
    };
    format!(
        "{about}\n\nUSAGE:\n    comfreyweir {usage}\n\n{description}\nOPTIONS:\n\
         {options}{publish_options}{COMMON_OPTIONS}{EXIT_CODES_AND_ENVIRONMENT}"
    )
}
