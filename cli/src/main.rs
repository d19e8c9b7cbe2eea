//! Operator command line of wagtailshunt: parses the arguments, runs one command and maps its
//! result to an exit code.

mod api;
mod bench;
mod bench_core;
mod check;
mod demo;
mod exchange;
mod exit;
mod explain;
mod explain_call;
mod options;
mod records;
mod scenario;
mod status;
mod temp_dir;
mod timeline;

use std::{env, process};

use gumdrop::Options;

fn main() {
    env_logger::init();
    let args: Vec<String> = env::args().skip(1).collect();
    let code = match run(&options::move_global_options_first(args)) {
        Ok(code) => code,
        Err(err) => {
            eprintln!("wagtailshunt: {err}");
            err.code()
        }
    };
    process::exit(code as i32);
}

fn run(args: &[String]) -> Result<exit::Code, exit::Error> {
    let opts = options::Program::parse_args_default(args)
        .map_err(|err| exit::Error::Usage(err.to_string()))?;
    if opts.help_requested() {
        println!("{}", options::help(&opts));
        return Ok(exit::Code::Ok);
    }
    let Some(command) = &opts.command else {
        let message = "no command given; `wagtailshunt --help` lists the commands";
        return Err(exit::Error::Usage(message.to_owned()));
    };
    let runtime = wagtailshunt::daemon::runtime().map_err(exit::Error::Runtime)?;
    runtime.block_on(dispatch(&opts, command))
}

async fn dispatch(
    global: &options::Program,
    command: &options::Command,
) -> Result<exit::Code, exit::Error> {
    match command {
        options::Command::Check(opts) => check::run(global, opts),
        options::Command::Put(opts) => records::put(global, opts).await,
        options::Command::Get(opts) => records::get(global, opts).await,
        options::Command::List(_) => records::list(global).await,
        options::Command::History(opts) => records::history(global, opts).await,
        options::Command::Drain(opts) => records::drain(global, opts).await,
        options::Command::Status(opts) => status::run(global, opts).await,
        options::Command::Timeline(opts) => timeline::run(global, opts).await,
        options::Command::Explain(opts) => explain::run(opts),
        options::Command::ExplainCall(opts) => explain_call::run(global, opts).await,
        options::Command::Bench(opts) => bench::run(global, opts).await,
        options::Command::Demo(_) => demo::run().await,
        options::Command::Scenario(opts) => scenario::run(global, opts),
    }
}
