#!/usr/bin/env python3
"""Runs the same days and seeds with several checkouts and compares the results.

  scripts/compare.py --bench PROGRAM --site FILE --days D,D --seeds 11-20 \
      --why TEXT CHECKOUT [CHECKOUT...]

The first checkout is the baseline. All checkouts play one day and seed at the same time,
and the next begins when all have ended: plays beside different loads differ by more than
most changes do. With --noise the baseline is played twice, as if it were another checkout:
its difference from itself is what the same code varies by. For each checkout the script
prints the mean worth (the score of a day), the mean difference from the baseline with its
standard error over the pairs of day and seed, the components of the worth, and by queue the
shares of the work owed that were done in time, late and not at all. CPU time is not counted
unless --cpu is given.
"""
import argparse
import concurrent.futures
import json
import os
import statistics
import subprocess
import sys
import tempfile


def seeds_of(text):
    """Returns the numbers of a list such as 11-15,22."""
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def play(args, label, checkout, day, seed):
    """Runs one day in a checkout and returns its report, or None if the run wrote none."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [args.bench, "run", args.site, day, "--seed", str(seed), "--report", report.name, "--why", args.why]
        if args.log:
            command += ["--log", args.log]
        if not args.cpu:
            command.append("--no-cpu")
        done = subprocess.run(command, cwd=checkout, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, check=False)
        text = open(report.name, encoding="utf-8").read()
        if not text:
            print(f"{checkout} {day} {seed}: {done.stdout[-300:]}", file=sys.stderr)
            return None
        if args.keep:
            name = f"{os.path.basename(label)}-{os.path.basename(day)}-{seed}"
            with open(os.path.join(args.keep, name + ".json"), "w", encoding="utf-8") as kept:
                kept.write(text)
            with open(os.path.join(args.keep, name + ".log"), "w", encoding="utf-8") as kept:
                kept.write(done.stdout)
        return json.loads(text)


def play_side_by_side(args, checkouts, day, seed):
    """Returns the reports of one day and seed by label of the checkout, played at the same time."""
    with concurrent.futures.ThreadPoolExecutor(len(checkouts)) as pool:
        plays = {label: pool.submit(play, args, label, folder, day, seed) for label, folder in checkouts.items()}
        reports = {label: future.result() for label, future in plays.items()}
    load = os.getloadavg()[0]
    worth = {label: round(report["G"], 3) if report else None for label, report in reports.items()}
    print(f"{day}/{seed}, load {load:.0f}: {worth}", flush=True)
    return reports, load


def queue_shares(reports):
    """Returns a line per queue: the number owed, and the shares in time, late and not at all."""
    sums = {}
    for report in reports:
        for queue in report["classes"]:
            total = sums.setdefault(queue["name"], [0, 0, 0])
            owed = queue["n"] - queue["not_owed"]
            total[0] += owed
            total[1] += queue["in_aim"]
            total[2] += queue["late"]
    lines = []
    for name, (owed, in_time, late) in sums.items():
        owed = max(owed, 1)
        lines.append(f"    {name}: owed {owed}, in time {in_time / owed:.3f}, late {late / owed:.3f}, not at all {1 - (in_time + late) / owed:.3f}")
    return lines


def part_means(reports):
    """Returns the mean of each component of the worth and of each cost, if at least 0.004."""
    means = {}
    for report in reports:
        for name, _, value in report["parts"]:
            means.setdefault(name, []).append(value)
        for name, _, price in report["prices"]:
            means.setdefault("- " + name, []).append(price)
    shown = [(name, statistics.mean(values)) for name, values in means.items()]
    return "    " + ", ".join(f"{name} {mean:.3f}" for name, mean in shown if abs(mean) >= 0.004)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--days", required=True)
    parser.add_argument("--seeds", required=True)
    parser.add_argument("--noise", action="store_true", help="play the baseline twice")
    parser.add_argument("--cpu", action="store_true", help="count CPU time")
    parser.add_argument("--keep", help="folder for the reports and the output of the runs")
    parser.add_argument("--log", help="machines whose output is kept")
    parser.add_argument("--why", required=True)
    parser.add_argument("checkouts", nargs="+")
    args = parser.parse_args()
    args.bench, args.site = os.path.abspath(args.bench), os.path.abspath(args.site)
    for checkout in args.checkouts:
        subprocess.run([args.bench, "build"], cwd=checkout, capture_output=True, check=True)
    pairs = [(day, seed) for seed in seeds_of(args.seeds) for day in args.days.split(",")]
    checkouts = {checkout: checkout for checkout in args.checkouts}
    base = args.checkouts[0]
    if args.noise:
        checkouts[base + " (again)"] = base
    results, loads = {}, []
    for pair in pairs:
        reports, load = play_side_by_side(args, checkouts, *pair)
        results |= {(label, pair): report for label, report in reports.items()}
        loads.append(load)
    print(f"load average after each pair: mean {statistics.mean(loads):.1f}, highest {max(loads):.1f}")
    for checkout in checkouts:
        whole = [pair for pair in pairs if results[checkout, pair] and results[base, pair]]
        reports = [results[checkout, pair] for pair in whole]
        worth = [report["G"] for report in reports]
        differences = [results[checkout, pair]["G"] - results[base, pair]["G"] for pair in whole]
        error = statistics.stdev(differences) / len(differences) ** 0.5 if len(differences) > 1 else 0
        print(f"{checkout}: mean worth {statistics.mean(worth):.4f} of {len(worth)} days; difference {statistics.mean(differences):+.4f}, standard error {error:.4f}")
        print(part_means(reports))
        print("\n".join(queue_shares(reports)))
        for pair, report in zip(whole, reports):
            if report["breaks"] or report["exits_n"]:
                print(f"    BROKEN {pair}: {report['breaks']} exits {report['exits_n']}")
    print("by day:", {f"{d}/{s}": [round(results[c, (d, s)]["G"], 3) if results[c, (d, s)] else None for c in checkouts] for d, s in pairs})


if __name__ == "__main__":
    main()
