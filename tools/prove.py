#!/usr/bin/env python3
"""Takes each mechanism of tests/mutants.txt out of a scratch copy of the
sources and checks that the scenario it is meant for then fails. With names as
arguments only those are tried."""
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
COPY = ROOT / "build" / "mutant"
JOBS = 5


def read_mutants():
    """Yields name, edits and scenario; lines of one name are one mutant."""
    mutants = {}
    for line in (ROOT / "tests/mutants.txt").read_text().splitlines():
        if not line or line.startswith("#"):
            continue
        parts = [part.strip().replace("\\|", "|")
                 for part in re.split(r"(?<!\\)\|", line)]
        name, file, old, new, scenario = parts
        mutants.setdefault(name, ([], scenario))[0].append((file, old, new))
    for name, (edits, scenario) in mutants.items():
        yield name, edits, scenario


def mutate(path, old, new):
    """Replaces the one place that reads like `old`, whatever its line breaks."""
    text = path.read_text()
    pattern = r"\s+".join(re.escape(word) for word in old.split(" "))
    found = re.findall(pattern, text)
    if len(found) != 1:
        sys.exit(f"{path}: {len(found)} places read '{old}'")
    path.write_text(re.sub(pattern, lambda _: new, text))


def build(targets):
    subprocess.run(["cmake", "-S", COPY, "-B", COPY / "out", "-G", "Ninja"],
                   check=True, stdout=subprocess.DEVNULL)
    subprocess.run(["ninja", "-C", COPY / "out", *targets], check=True,
                   stdout=subprocess.DEVNULL)


def target_of(scenario):
    """The program that plays the scenario."""
    words = scenario.split()
    if words[0] == "unit":
        return f"unit_{words[1]}"
    return {"seeds": "run_schedules",
            "fleet": "run_fleet_schedules"}.get(words[0], "run_scenarios")


def random_schedules_fail(program, first, count):
    share = (count + JOBS - 1) // JOBS
    runs = [subprocess.Popen([program, str(first + i * share), str(share)],
                             stdout=subprocess.PIPE, text=True)
            for i in range(JOBS)]
    outputs = [run.communicate()[0] for run in runs]
    seed = re.search(r"^seed .*", "".join(outputs), re.M)
    failed = any(run.returncode != 0 for run in runs)
    return failed, seed.group(0)[:110] if seed else ""


def fails(scenario):
    words = scenario.split()
    out = COPY / "out" / "tests"
    if words[0] == "seeds":
        return random_schedules_fail(out / "run_schedules", int(words[1]),
                                     int(words[2]))
    if words[0] == "fleet":
        return random_schedules_fail(COPY / "out" / "run_fleet_schedules",
                                     int(words[1]), int(words[2]))
    if words[0] == "unit":
        run = subprocess.run([COPY / "out" / f"unit_{words[1]}", "--filter",
                              words[2]], capture_output=True, text=True)
        line = re.search(r"\[FAIL\] .*", run.stderr)
        return run.returncode != 0, line.group(0)[:110] if line else ""
    environment = dict(os.environ, PROMISE_SCENARIO=scenario)
    run = subprocess.run([out / "run_scenarios"], capture_output=True,
                         text=True, env=environment, cwd=COPY / "out")
    line = re.search(r"(VIOLATION|FAILED|golden).*", run.stderr)
    return run.returncode != 0, line.group(0)[:110] if line else ""


def copy_sources():
    """Writes only what differs, so that the build sees what changed."""
    for name in ["CMakeLists.txt", "packages", "platform", "apps", "tests", "bench"]:
        source = ROOT / name
        files = [source] if source.is_file() else source.rglob("*")
        for file in files:
            if not file.is_file():
                continue
            target = COPY / file.relative_to(ROOT)
            data = file.read_bytes()
            if name == "CMakeLists.txt":
                data = data.replace(b"-Werror", b"")
            if not target.exists() or target.read_bytes() != data:
                target.parent.mkdir(parents=True, exist_ok=True)
                target.write_bytes(data)


def main():
    only = sys.argv[1:]
    COPY.mkdir(parents=True, exist_ok=True)
    copy_sources()
    mutants = [m for m in read_mutants() if not only or m[0] in only]
    targets = sorted({target_of(scenario) for _, _, scenario in mutants})
    build(targets)
    whole = {"run_scenarios": "p0-whole-path", "run_schedules": "seeds 1 20",
             "run_fleet_schedules": "fleet 1 20"}
    for scenario in [whole.get(t, f"unit {t[5:]} *") for t in targets]:
        if fails(scenario)[0]:
            sys.exit(f"{scenario} fails with every mechanism in place")
    passed = failed = 0
    for name, edits, scenario in mutants:
        originals = {file: (COPY / file).read_text() for file, _, _ in edits}
        for file, old, new in edits:
            mutate(COPY / file, old, new)
        build([target_of(scenario)])
        caught, line = fails(scenario)
        for file, original in originals.items():
            (COPY / file).write_text(original)
        passed, failed = passed + caught, failed + (not caught)
        print(f"{'fails ' if caught else 'PASSES'} without {name}: "
              f"{scenario}: {line}", flush=True)
    build(targets)
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


main()
