//! Command-line options and commands, parsed by gumdrop.

use std::{net, path};

use gumdrop::Options;

/// Options with a value that every command accepts, before or after its name.
const GLOBAL_OPTIONS_WITH_VALUE: &[&str] = &["--control", "--key-file", "--timeout-ms"];
/// Flags that every command accepts, before or after its name.
const GLOBAL_FLAGS: &[&str] = &["--json"];

/// Options of the program.
#[derive(Debug, Options)]
pub struct Program {
    #[options(help = "print help", short = "h")]
    pub help: bool,
    #[options(
        help = "admin address of a control daemon; if repeated, the addresses are tried in order",
        no_short
    )]
    pub control: Vec<net::SocketAddr>,
    #[options(help = "file with the operator key", meta = "FILE", no_short)]
    pub key_file: Option<path::PathBuf>,
    #[options(
        help = "time limit of a request, including its retries",
        default = "15000",
        no_short
    )]
    pub timeout_ms: u64,
    #[options(help = "print JSON", no_short)]
    pub json: bool,
    #[options(command)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Debug, Options)]
pub enum Command {
    #[options(help = "check files of records or settings without submitting them")]
    Check(Check),
    #[options(help = "create or update a record")]
    Put(Put),
    #[options(help = "print a record")]
    Get(Get),
    #[options(help = "list all records")]
    List(NoOptions),
    #[options(help = "list the stored versions of a record")]
    History(Get),
    #[options(help = "drain a VM or a target, or end its drain")]
    Drain(Drain),
    #[options(help = "print the state of the cluster")]
    Status(Status),
    #[options(help = "merge the events of several processes in causal order")]
    Timeline(Timeline),
    #[options(help = "show the log lines of all VMs that concern one call")]
    Explain(Explain),
    #[options(help = "show where a VM would send a call now, and why, without sending it")]
    ExplainCall(ExplainCall),
    #[options(help = "run a benchmark")]
    Bench(Bench),
    #[options(help = "run a small cluster on this machine")]
    Demo(NoOptions),
    #[options(help = "run a scenario")]
    Scenario(Scenario),
}

/// Options of a command that has none but `--help`.
#[derive(Debug, Options)]
pub struct NoOptions {
    #[options(help = "print help", short = "h")]
    pub help: bool,
}

/// Options of `check`.
#[derive(Debug, Options)]
pub struct Check {
    #[options(help = "print help", short = "h")]
    pub help: bool,
    #[options(
        help = "check the files as settings of a `gateway` or `control` daemon",
        meta = "DAEMON"
    )]
    pub settings: Option<String>,
    #[options(free, help = "files to check")]
    pub files: Vec<path::PathBuf>,
}

/// Options of `put`.
#[derive(Debug, Options)]
pub struct Put {
    #[options(help = "print help", short = "h")]
    pub help: bool,
    #[options(
        help = "current revision of the record; omit for a new record",
        meta = "REVISION"
    )]
    pub expect: Option<u64>,
    #[options(
        help = "wait until the change is in force on every VM (the default)",
        no_short
    )]
    pub wait: bool,
    #[options(help = "return once the change is durable", no_short)]
    pub no_wait: bool,
    #[options(
        help = "id of an earlier request to resend, if its response was lost",
        meta = "UUID",
        no_short
    )]
    pub request_id: Option<String>,
    #[options(
        help = "operator name recorded in the history",
        meta = "NAME",
        no_short
    )]
    pub actor: Option<String>,
    #[options(free, required, help = "file with the record")]
    pub file: path::PathBuf,
}

/// Options of `get` and `history`.
#[derive(Debug, Options)]
pub struct Get {
    #[options(help = "print help", short = "h")]
    pub help: bool,
    #[options(free, required, help = "KIND/NAME, such as service/bookings")]
    pub record: String,
}

/// Options of `drain`.
#[derive(Debug, Options)]
pub struct Drain {
    #[options(help = "print help", short = "h")]
    pub help: bool,
    #[options(help = "end the drain", no_short)]
    pub undo: bool,
    #[options(help = "return once the change is durable", no_short)]
    pub no_wait: bool,
    #[options(
        help = "operator name recorded in the history",
        meta = "NAME",
        no_short
    )]
    pub actor: Option<String>,
    #[options(free, help = "vm ID, or target SERVICE TARGET")]
    pub what: Vec<String>,
}

/// Options of `status`.
#[derive(Debug, Options)]
pub struct Status {
    #[options(help = "print help", short = "h")]
    pub help: bool,
    #[options(
        help = "status of the contacted control VM only; needs no leader",
        no_short
    )]
    pub local: bool,
}

/// Options of `timeline`.
#[derive(Debug, Options)]
pub struct Timeline {
    #[options(help = "print help", short = "h")]
    pub help: bool,
    #[options(help = "admin address of a process to fetch events from", no_short)]
    pub from: Vec<net::SocketAddr>,
    #[options(free, help = "files with JSON lines")]
    pub files: Vec<path::PathBuf>,
}

/// Options of `explain`.
#[derive(Debug, Options)]
pub struct Explain {
    #[options(help = "print help", short = "h")]
    pub help: bool,
    #[options(
        help = "show events from this long before the first line of the call",
        default = "3000",
        no_short
    )]
    pub before_ms: u64,
    #[options(free, help = "id of the call, followed by log files")]
    pub words: Vec<String>,
}

/// Options of `explain-call`.
#[derive(Debug, Options)]
pub struct ExplainCall {
    #[options(help = "print help", short = "h")]
    pub help: bool,
    #[options(help = "metrics address of the VM", meta = "ADDRESS", no_short)]
    pub metrics: Option<net::SocketAddr>,
    #[options(help = "workspace that sends the call", meta = "NAME", no_short)]
    pub workspace: Option<String>,
    #[options(
        help = "remaining time of the call; default: the timeout of its route",
        meta = "MS",
        no_short
    )]
    pub time_left_ms: Option<u64>,
    #[options(free, required, help = "HOST/PATH of the call")]
    pub call: String,
}

/// Options of `scenario`.
#[derive(Debug, Options)]
pub struct Scenario {
    #[options(help = "print help", short = "h")]
    pub help: bool,
    #[options(help = "seed that overrides the seed of the script", no_short)]
    pub seed: Option<u64>,
    #[options(
        help = "setting applied after those of the script",
        meta = "KEY=VALUE",
        no_short
    )]
    pub set: Vec<String>,
    #[options(free, required, help = "the script")]
    pub file: path::PathBuf,
}

/// Options of `bench`.
#[derive(Debug, Options)]
pub struct Bench {
    #[options(help = "print help", short = "h")]
    pub help: bool,
    #[options(command)]
    pub command: Option<BenchCommand>,
}

/// The benchmarks.
#[derive(Debug, Options)]
pub enum BenchCommand {
    #[options(help = "compare policies on one generated load")]
    Policy(Policy),
    #[options(help = "latency of calls, directly and through gateways")]
    RequestPath(RequestPath),
    #[options(help = "traffic, CPU time and memory of the control plane")]
    Control(Control),
    #[options(help = "elections, commits with real disk syncs and restarts of the replicated log")]
    Log(Log),
    #[options(help = "time from accepting a change until it is in force")]
    InForce(InForce),
    #[options(help = "time and memory of the idempotency ledger")]
    Ledger(Ledger),
}

/// Options of `bench policy`.
#[derive(Debug, Options)]
pub struct Policy {
    #[options(help = "print help", short = "h")]
    pub help: bool,
    #[options(help = "deployment (default all)", meta = "NAME", no_short)]
    pub deployment: Vec<String>,
    #[options(help = "situation (default all)", meta = "NAME", no_short)]
    pub situation: Vec<String>,
    #[options(
        help = "policy to compare with the reference (default all)",
        meta = "NAME",
        no_short
    )]
    pub contender: Vec<String>,
    #[options(help = "first seed", default = "1", no_short)]
    pub seed: u64,
    #[options(help = "number of seeds", default = "5", no_short)]
    pub seeds: u64,
    #[options(help = "measured virtual time of a run", default = "6000", no_short)]
    pub length_ms: u64,
    #[options(help = "number of threads; does not affect the result", no_short)]
    pub threads: Option<usize>,
    #[options(help = "code revision for the report", default = "unknown", no_short)]
    pub revision: String,
}

/// Options of `bench in-force`.
#[derive(Debug, Options)]
pub struct InForce {
    #[options(help = "print help", short = "h")]
    pub help: bool,
    #[options(help = "control VMs", default = "5", no_short)]
    pub controls: u32,
    #[options(help = "gateways", default = "9", no_short)]
    pub gateways: u32,
    #[options(help = "changes in each situation", default = "100", no_short)]
    pub changes: u32,
    #[options(help = "code revision for the report", default = "unknown", no_short)]
    pub revision: String,
}

/// Options of `bench ledger`.
#[derive(Debug, Options)]
pub struct Ledger {
    #[options(help = "print help", short = "h")]
    pub help: bool,
    #[options(help = "idempotency keys", default = "100000", no_short)]
    pub keys: usize,
    #[options(help = "seed", default = "1", no_short)]
    pub seed: u64,
}

/// Options of `bench control`.
#[derive(Debug, Options)]
pub struct Control {
    #[options(help = "print help", short = "h")]
    pub help: bool,
    #[options(help = "seed", default = "1", no_short)]
    pub seed: u64,
}

/// Options of `bench log`.
#[derive(Debug, Options)]
pub struct Log {
    #[options(help = "print help", short = "h")]
    pub help: bool,
    #[options(
        help = "directory on the disk to measure (default: temporary)",
        no_short
    )]
    pub folder: Option<path::PathBuf>,
    #[options(help = "number of proposing clients (default 1, 16 and 64)", no_short)]
    pub proposers: Vec<usize>,
    #[options(
        help = "duration for each number of clients",
        default = "2000",
        no_short
    )]
    pub duration_ms: u64,
    #[options(help = "elections in virtual time", default = "200", no_short)]
    pub elections: u32,
    #[options(
        help = "log entries that a restart replays",
        default = "10000",
        no_short
    )]
    pub entries: u64,
    #[options(help = "seed", default = "1", no_short)]
    pub seed: u64,
}

/// Options of `bench request-path`.
#[derive(Debug, Options)]
pub struct RequestPath {
    #[options(help = "print help", short = "h")]
    pub help: bool,
    #[options(
        help = "address of a gateway; starts a local system if neither this nor --direct is given",
        no_short
    )]
    pub gateway: Vec<net::SocketAddr>,
    #[options(help = "address of a target, called directly", no_short)]
    pub direct: Vec<net::SocketAddr>,
    #[options(help = "targets of the started system", default = "10", no_short)]
    pub targets: u32,
    #[options(help = "service time of its targets", default = "0", no_short)]
    pub service_us: u64,
    #[options(help = "slots of each of its targets", default = "1000", no_short)]
    pub slots: u32,
    #[options(help = "policy of its service", default = "association", no_short)]
    pub policy: String,
    #[options(help = "Host header", default = "service", no_short)]
    pub host: String,
    #[options(help = "method", default = "GET", no_short)]
    pub method: String,
    #[options(help = "path", default = "/", no_short)]
    pub path: String,
    #[options(help = "give each call an idempotency key", no_short)]
    pub keyed: bool,
    #[options(
        help = "closed loop with this many callers (default 1, 32 and 256)",
        no_short
    )]
    pub callers: Vec<usize>,
    #[options(help = "open loop with this many calls per second", no_short)]
    pub rate: Vec<f64>,
    #[options(help = "duration of each repetition", default = "2000", no_short)]
    pub duration_ms: u64,
    #[options(
        help = "warm-up before each repetition, not counted",
        default = "500",
        no_short
    )]
    pub warm_up_ms: u64,
    #[options(help = "repetitions", default = "3", no_short)]
    pub repetitions: usize,
    #[options(help = "seed", default = "1", no_short)]
    pub seed: u64,
    #[options(help = "code revision for the report", default = "unknown", no_short)]
    pub revision: String,
}

/// Moves global options in front of the command, where the parser expects them. Arguments after
/// `--` stay in place.
pub fn move_global_options_first(args: Vec<String>) -> Vec<String> {
    let mut global = Vec::new();
    let mut rest = Vec::new();
    let mut args = args.into_iter();
    while let Some(arg) = args.next() {
        let name = arg.split('=').next().unwrap_or_default();
        if arg == "--" {
            rest.push(arg);
            rest.extend(args);
            break;
        } else if GLOBAL_OPTIONS_WITH_VALUE.contains(&name) {
            let has_value = name.len() < arg.len();
            global.push(arg);
            if !has_value {
                global.extend(args.next());
            }
        } else if GLOBAL_FLAGS.contains(&arg.as_str()) {
            global.push(arg);
        } else {
            rest.push(arg);
        }
    }
    global.extend(rest);
    global
}

/// Returns the help text of the innermost command in `opts`.
pub fn help(opts: &Program) -> String {
    let mut command: &dyn Options = opts;
    let mut name = "wagtailshunt".to_owned();
    while let Some(inner) = command.command() {
        command = inner;
        if let Some(inner) = inner.command_name() {
            name.push(' ');
            name.push_str(inner);
        }
    }
    let mut text = format!("Usage: {name} [OPTIONS]\n\n{}", command.self_usage());
    if let Some(commands) = command.self_command_list() {
        text.push_str("\n\nCommands:\n");
        text.push_str(commands);
    }
    text.push_str("\n\nThe global options of `wagtailshunt --help` apply to all commands.");
    text.push_str("\nExit codes: 0 ok, 1 refused or failed, 2 usage or settings, ");
    text.push_str("3 not reachable, 4 conflict.");
    text
}
