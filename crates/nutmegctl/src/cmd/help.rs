//! `nutmegctl --help` and `nutmegctl COMMAND --help`.

use std::process::ExitCode;

use crate::line::print_line;
use crate::settings::Settings;

/// A subcommand in the help text.
struct Command {
    /// Command words; words in capitals are placeholders for arguments.
    words: &'static str,
    /// One-line description.
    brief: &'static str,
    /// Flags of the example.
    example: &'static str,
}

const fn command(words: &'static str, brief: &'static str, example: &'static str) -> Command {
    Command { words, brief, example }
}

const CHANGE_EXAMPLE: &str = "--platform 10.0.0.9:8080 --who anna --why 'switch work'";
const READ_EXAMPLE: &str = "--platform 10.0.0.9:8080";

const COMMANDS: &[Command] = &[
    command("preset list", "lists the presets; the one in force has a star", READ_EXAMPLE),
    command("preset show NAME", "prints a preset", READ_EXAMPLE),
    command("preset put NAME FILE", "adds or replaces a preset (JSON)", CHANGE_EXAMPLE),
    command("preset use NAME", "puts a preset in force", CHANGE_EXAMPLE),
    command("domain out NAME", "takes a failure domain out of service", CHANGE_EXAMPLE),
    command("domain in NAME", "returns a failure domain to service", CHANGE_EXAMPLE),
    command("endpoint out NAME", "takes an endpoint out of service", CHANGE_EXAMPLE),
    command("endpoint in NAME", "returns an endpoint to service", CHANGE_EXAMPLE),
    command("order show NAME", "lists the orders to an engine and their effect", READ_EXAMPLE),
    command("order load NAME LOAD", "orders to load MODEL[@VERSION][+ADAPTER]", CHANGE_EXAMPLE),
    command("order unload NAME LOAD", "orders to unload MODEL[@VERSION][+ADAPTER]", CHANGE_EXAMPLE),
    command("order role NAME ROLE", "orders the role prefill, decode or both", CHANGE_EXAMPLE),
    command(
        "rollout list",
        "lists the roll-outs of services to another version",
        "--admin 10.0.1.1:8748,10.0.1.2:8748",
    ),
    command("status", "shows what each instance has in force", READ_EXAMPLE),
    command("watch", "repeats status every second", "--platform 10.0.0.9:8080 --rounds 10"),
    command(
        "audit",
        "lists every accepted change; during an outage, what the instances keep",
        "--platform 10.0.0.9:8080 --admin 10.0.1.1:9000,10.0.1.2:9000",
    ),
    command("explain REQUEST", "shows the decisions about a request", READ_EXAMPLE),
];

const NOTES: &str = "
A change needs --who and --why. It is accepted once the platform has stored it. It is then
pushed to every instance; a line in_force or not_in_force reports each. The token comes from
NUTMEGGRADE_OPERATOR_TOKEN or NUTMEGGRADE_OPERATOR_TOKEN_FILE.

Exit codes: 0 done, 1 other error, 2 usage, 3 refused, 4 conflict (another change came
first), 5 accepted but not in force everywhere, 6 unknown whether accepted,
7 platform down.";

/// Prints the help of the matching subcommands or of all, or the version with `--version`.
pub fn help(words: &[String], flags: &[String]) -> ExitCode {
    if flags.iter().any(|f| f == "--version") {
        print_line(&format!("nutmegctl {}", env!("CARGO_PKG_VERSION")));
        return ExitCode::SUCCESS;
    }
    let prefix: Vec<&str> = words.iter().map(String::as_str).filter(|w| *w != "help").collect();
    let prefix = prefix.join(" ");
    let matching: Vec<_> = COMMANDS.iter().filter(|c| c.words.starts_with(&prefix)).collect();
    let shown = if matching.is_empty() { COMMANDS.iter().collect() } else { matching };
    let lines: Vec<_> = shown.iter().map(|c| format!("  {:<24} {}", c.words, c.brief)).collect();
    let examples: Vec<_> =
        shown.iter().map(|c| format!("  nutmegctl {} {}", c.words, c.example)).collect();
    let (lines, examples) = (lines.join("\n"), examples.join("\n"));
    let text =
        format!("Usage: nutmegctl COMMAND [--FLAG VALUE]...\n\n{lines}\n\nExamples:\n{examples}\n");
    print_line(&Settings::usage(&format!("{text}{NOTES}")));
    ExitCode::SUCCESS
}

/// Returns whether the words are a subcommand with its arguments.
pub fn is_command(words: &[String]) -> bool {
    let is_match = |pattern: &str, word: &String| {
        pattern == word || (pattern == pattern.to_uppercase() && !word.is_empty())
    };
    COMMANDS.iter().any(|c| {
        let patterns: Vec<_> = c.words.split(' ').collect();
        patterns.len() == words.len() && patterns.iter().zip(words).all(|(p, w)| is_match(p, w))
    })
}
