//! The command line: the quickstart, the bench scenarios and the measurements.

use std::process::ExitCode;
use std::time::Duration;

use eyre::{Result, WrapErr, ensure};
use limpetstand_standin::bench::{self, BenchOptions, Scenario};
use limpetstand_standin::workload::Kind;
use limpetstand_standin::{fleet, overhead, quickstart, slopes};

const HELP: &str = "\
Stand-ins for limpetstand's platform, targets and links, on loopback.

USAGE:
  limpetstand-standin quickstart [--stay]
  limpetstand-standin bench NAME [--seed N] [--json] [--baseline NAME]
      [--workload bookings|survey] [--instances N] [--organisations N] [--skew F] [--seconds N]
  limpetstand-standin slopes [--instances N,N,...] [--organisations N,N,...] [--seconds N]
  limpetstand-standin overhead [--tokens N,N,...] [--seconds N]
  limpetstand-standin held [--streams N,N,...]
  limpetstand-standin --help

COMMANDS:
  quickstart   Starts three regions with nine limpetstandd processes, puts a settings tree,
               sends requests and checks each answer. --stay keeps the fleet up and prints
               curl lines to try.
  bench        Runs a scenario against a fleet and prints its figures: steady, greedy, partition,
               store-outage, crash, silent, replace, churn or peaks.
  slopes       Measures what control costs an idle fleet at each size; one JSON line a size.
  overhead     Measures what one instance adds to a streamed answer of each length, with the
               engine called directly as the comparison; one JSON line a measurement.
  held         Measures the memory of one instance with so many answers under way; one JSON line
               a size.

BENCH OPTIONS:
  --seed N           seed of the arrivals (1)
  --json             print one JSON object instead of a table
  --baseline NAME    a naive policy in place of the product's: static-split, local-whole, random,
                     nearest-only or reckless (ignores residency, sends all again, and
                     each instance enforces the whole rate by itself)
  --workload NAME    bookings or survey (bookings)
  --instances N      instances over the three regions (9)
  --organisations N  organisations (5)
  --skew F           the n-th organisation has a rate of 1/n^F of the first (1.0)
  --seconds N        how long requests arrive (20)

The daemon limpetstandd is taken from beside this program.

EXIT CODES:
  0  all was as expected
  1  something was not, or could not be started; for bench without a baseline, a count that must
     be 0 was not, or an organisation got more than its limit
  2  wrong arguments
";

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let command = match args.subcommand() {
        Ok(Some(command)) => command,
        Ok(None) => return usage("a command is needed"),
        Err(e) => return usage(&e.to_string()),
    };
    match command.as_str() {
        "quickstart" => {
            let stay = args.contains("--stay");
            let rest = args.finish();
            if !rest.is_empty() {
                return usage(&format!("unknown arguments {rest:?}"));
            }
            finish(run_quickstart(stay))
        }
        "bench" => match parse_options(&mut args) {
            Ok(options) => finish(run_bench(options, args)),
            Err(e) => usage(&e.to_string()),
        },
        "slopes" => match parse_sizes(&mut args) {
            Ok(sizes) => finish(run_slopes(&sizes)),
            Err(e) => usage(&e.to_string()),
        },
        "overhead" => match parse_overhead_options(&mut args) {
            Ok((lengths, time)) => finish(run_overhead(&lengths, time)),
            Err(e) => usage(&e.to_string()),
        },
        "held" => match parse_held_options(&mut args) {
            Ok(streams) => finish(run_held(&streams)),
            Err(e) => usage(&e.to_string()),
        },
        other => usage(&format!("unknown command `{other}`")),
    }
}

fn run_quickstart(stay: bool) -> Result<()> {
    let daemon = fleet::find_daemon()?;
    runtime()?.block_on(quickstart::run(daemon, stay))
}

fn parse_options(args: &mut pico_args::Arguments) -> Result<BenchOptions> {
    let check_baseline = |text: Option<String>| {
        text.map(|t| bench::baseline_policy(&t).map(|_| t))
            .transpose()
    };
    let workload: Option<String> = args.opt_value_from_str("--workload")?;
    let seconds: Option<f64> = args.opt_value_from_str("--seconds")?;
    let options = BenchOptions {
        daemon: fleet::find_daemon()?,
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        json: args.contains("--json"),
        baseline: check_baseline(args.opt_value_from_str("--baseline")?)?,
        workload: Kind::parse(workload.as_deref().unwrap_or("bookings"))?,
        instances: args.opt_value_from_str("--instances")?.unwrap_or(9),
        organisations: args.opt_value_from_str("--organisations")?.unwrap_or(5),
        skew: args.opt_value_from_str("--skew")?.unwrap_or(1.0),
        load_duration: Duration::try_from_secs_f64(seconds.unwrap_or(20.0))?,
        scenario: Scenario::parse(&args.free_from_str::<String>()?)?,
    };
    ensure!(options.instances >= 3, "--instances must be 3 or more");
    ensure!(
        options.organisations >= 1,
        "--organisations must be 1 or more"
    );
    ensure!(options.skew.is_finite(), "--skew must be a number");
    ensure!(
        !options.load_duration.is_zero(),
        "--seconds must be greater than 0"
    );
    Ok(options)
}

fn run_bench(options: BenchOptions, args: pico_args::Arguments) -> Result<()> {
    let rest = args.finish();
    ensure!(rest.is_empty(), "unknown arguments {rest:?}");
    let is_baseline = options.baseline.is_some();
    let invariants_held = runtime()?.block_on(bench::run(options))?;
    ensure!(invariants_held || is_baseline, "the run broke an invariant");
    Ok(())
}

/// Fleet sizes to measure, and how long each measurement takes.
struct Sizes {
    instances: Vec<usize>,
    organisations: Vec<usize>,
    time: Duration,
}

fn parse_sizes(args: &mut pico_args::Arguments) -> Result<Sizes> {
    let instances: Option<String> = args.opt_value_from_str("--instances")?;
    let organisations: Option<String> = args.opt_value_from_str("--organisations")?;
    Ok(Sizes {
        instances: parse_numbers(instances.as_deref().unwrap_or("9,27,81"))?,
        organisations: parse_numbers(organisations.as_deref().unwrap_or("5"))?,
        time: parse_seconds(args, 20.0)?,
    })
}

fn parse_overhead_options(args: &mut pico_args::Arguments) -> Result<(Vec<usize>, Duration)> {
    let tokens: Option<String> = args.opt_value_from_str("--tokens")?;
    let lengths = parse_numbers(tokens.as_deref().unwrap_or("1,64,256"))?;
    Ok((lengths, parse_seconds(args, 10.0)?))
}

fn parse_held_options(args: &mut pico_args::Arguments) -> Result<Vec<usize>> {
    let streams: Option<String> = args.opt_value_from_str("--streams")?;
    parse_numbers(streams.as_deref().unwrap_or("10,200,800"))
}

fn run_held(streams: &[usize]) -> Result<()> {
    let daemon = fleet::find_daemon()?;
    for streams in streams {
        runtime()?.block_on(overhead::measure_stream_memory(daemon.clone(), *streams))?;
    }
    Ok(())
}

fn parse_seconds(args: &mut pico_args::Arguments, default: f64) -> Result<Duration> {
    let seconds: Option<f64> = args.opt_value_from_str("--seconds")?;
    Ok(Duration::try_from_secs_f64(seconds.unwrap_or(default))?)
}

fn parse_numbers(list: &str) -> Result<Vec<usize>> {
    let mut numbers = Vec::new();
    for item in list.split(',') {
        let number: usize = item
            .trim()
            .parse()
            .wrap_err_with(|| format!("malformed number `{item}`"))?;
        ensure!(number > 0, "number `{item}` must be greater than 0");
        numbers.push(number);
    }
    Ok(numbers)
}

fn run_slopes(sizes: &Sizes) -> Result<()> {
    let daemon = fleet::find_daemon()?;
    for instances in &sizes.instances {
        for organisations in &sizes.organisations {
            let measured = slopes::measure(daemon.clone(), *instances, *organisations, sizes.time);
            runtime()?.block_on(measured)?;
        }
    }
    Ok(())
}

fn run_overhead(lengths: &[usize], time: Duration) -> Result<()> {
    let daemon = fleet::find_daemon()?;
    runtime()?.block_on(overhead::measure(daemon, lengths, time))
}

fn runtime() -> Result<tokio::runtime::Runtime> {
    Ok(tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?)
}

fn finish(result: Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("limpetstand-standin: {e:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn usage(message: &str) -> ExitCode {
    eprintln!("limpetstand-standin: {message}\n\n{HELP}");
    ExitCode::from(EXIT_USAGE)
}
