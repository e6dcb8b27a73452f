//! `nutmegctl --help` and `nutmegctl COMMAND --help`.

use std::process::ExitCode;

use crate::line::say;
use crate::settings::Settings;

/// One subcommand as the help shows it.
struct Command {
    /// Its words; capitals stand for what the operator names.
    words: &'static str,
    /// What it does.
    brief: &'static str,
    /// A line to try.
    example: &'static str,
}

const fn command(words: &'static str, brief: &'static str, example: &'static str) -> Command {
    Command { words, brief, example }
}

const CHANGE: &str = "--platform 10.0.0.9:8080 --who anna --why 'switch work'";
const LOOK: &str = "--platform 10.0.0.9:8080";

const COMMANDS: &[Command] = &[
    command("preset list", "lists the presets; the one in force has a star", LOOK),
    command("preset show NAME", "prints a preset", LOOK),
    command("preset put NAME FILE", "adds or replaces a preset (JSON)", CHANGE),
    command("preset use NAME", "puts a preset in force", CHANGE),
    command("domain out NAME", "takes a failure domain out of service", CHANGE),
    command("domain in NAME", "brings a failure domain back", CHANGE),
    command("endpoint out NAME", "takes an endpoint out of service", CHANGE),
    command("endpoint in NAME", "brings an endpoint back", CHANGE),
    command("order show NAME", "lists the orders to an engine and their effect", LOOK),
    command("order load NAME LOAD", "orders to load MODEL[@VERSION][+ADAPTER]", CHANGE),
    command("order unload NAME LOAD", "orders to unload it", CHANGE),
    command("order role NAME ROLE", "orders the role prefill, decode or both", CHANGE),
    command(
        "rollout list",
        "lists services that move to another version",
        "--admin 10.0.1.1:8748,10.0.1.2:8748",
    ),
    command("status", "shows what each instance has in force", LOOK),
    command("watch", "repeats status each second", "--platform 10.0.0.9:8080 --rounds 10"),
    command(
        "audit",
        "lists every accepted change; during an outage, what the instances keep",
        "--platform 10.0.0.9:8080 --admin 10.0.1.1:9000,10.0.1.2:9000",
    ),
    command("explain REQUEST", "tells what was decided about a request", LOOK),
];

const REST: &str = "
A change needs --who and --why. It is accepted once the platform has it; then every
instance is told, and a line in_force or not_in_force names each. The token comes from
NUTMEGGRADE_OPERATOR_TOKEN or NUTMEGGRADE_OPERATOR_TOKEN_FILE.

Exit codes: 0 done, 1 other fault, 2 usage, 3 refused, 4 conflict (another change came
first), 5 accepted but not in force everywhere, 6 unknown whether accepted,
7 platform down.";

/// Prints the help of a subcommand or of all, or the version if asked.
pub fn help(words: &[String], flags: &[String]) -> ExitCode {
    if flags.iter().any(|f| f == "--version") {
        say(&format!("nutmegctl {}", env!("CARGO_PKG_VERSION")));
        return ExitCode::SUCCESS;
    }
    let start: Vec<&str> = words.iter().map(String::as_str).filter(|w| *w != "help").collect();
    let start = start.join(" ");
    let found: Vec<_> = COMMANDS.iter().filter(|c| c.words.starts_with(&start)).collect();
    let shown = if found.is_empty() { COMMANDS.iter().collect() } else { found };
    let lines: Vec<_> = shown.iter().map(|c| format!("  {:<24} {}", c.words, c.brief)).collect();
    let examples: Vec<_> =
        shown.iter().map(|c| format!("  nutmegctl {} {}", c.words, c.example)).collect();
    let (lines, examples) = (lines.join("\n"), examples.join("\n"));
    let text =
        format!("Usage: nutmegctl COMMAND [--FLAG VALUE]...\n\n{lines}\n\nExamples:\n{examples}\n");
    say(&Settings::usage(&format!("{text}{REST}")));
    ExitCode::SUCCESS
}

/// Says whether the words are a subcommand with its names.
pub fn exists(words: &[String]) -> bool {
    let fits = |pattern: &str, word: &String| {
        pattern == word || (pattern == pattern.to_uppercase() && !word.is_empty())
    };
    COMMANDS.iter().any(|c| {
        let patterns: Vec<_> = c.words.split(' ').collect();
        patterns.len() == words.len() && patterns.iter().zip(words).all(|(p, w)| fits(p, w))
    })
}
