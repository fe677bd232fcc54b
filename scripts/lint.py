"""Runs clang-tidy over source files in parallel and remembers the clean ones.

A file is checked again when its preprocessed text, the lint settings or the linter change, so that
repeated runs on one machine only cost the preprocessor. Nothing is remembered for a file with findings.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "ibisgw-lint"


def preprocessed(entry):
    """Returns the preprocessed text of one entry of compile_commands.json."""
    command = shlex.split(entry["command"])
    command = [it for it in command if not it.endswith("ccache")]
    output = command.index("-o")
    command = command[:output] + command[output + 2 :]
    command[command.index("-c") : command.index("-c") + 1] = ["-E", "-P"]
    return subprocess.run(command, cwd=entry["directory"], capture_output=True, check=True).stdout


def lint(build, entry, settings):
    try:
        # The raw text counts too, for the comments that switch checks off.
        text = preprocessed(entry) + pathlib.Path(entry["file"]).read_bytes()
        key = hashlib.sha256(settings + text).hexdigest()
    except subprocess.CalledProcessError as error:
        return f"{entry['file']}: cannot be preprocessed: {error.stderr.decode()}"
    marker = CACHE / key
    if marker.exists():
        return ""
    result = subprocess.run(
        ["clang-tidy", "-p", build, "--quiet", entry["file"]], capture_output=True, text=True, check=False
    )
    if result.returncode == 0:
        marker.touch()
        return ""
    return result.stdout or result.stderr


def main():
    build, *files = sys.argv[1:]
    CACHE.mkdir(parents=True, exist_ok=True)
    wanted = {str(pathlib.Path(it).resolve()) for it in files}
    commands = json.loads((pathlib.Path(build) / "compile_commands.json").read_text())
    # A source that several programs share is checked once.
    entries = list({it["file"]: it for it in commands if it["file"] in wanted}.values())
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    settings = pathlib.Path(".clang-tidy").read_bytes() + version
    jobs = int(os.environ.get("IBISGW_LINT_JOBS", os.cpu_count() or 1))
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        findings = [it for it in pool.map(lambda entry: lint(build, entry, settings), entries) if it]
    for it in findings:
        print(it)
    print(f"lint: {len(entries)} files, {len(findings)} with findings")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
