"""Runs clang-tidy on source files in parallel and caches which files have no findings.

The cache key is a hash of the source, its preprocessed text, the lint settings and the version of clang-tidy, so that
an unchanged file costs only a run of the preprocessor. Files with findings are not cached.
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


def preprocess(entry):
    """Returns the preprocessed text of one entry of compile_commands.json."""
    command = shlex.split(entry["command"])
    command = [it for it in command if not it.endswith("ccache")]
    output = command.index("-o")
    command = command[:output] + command[output + 2 :]
    command[command.index("-c") : command.index("-c") + 1] = ["-E", "-P"]
    return subprocess.run(command, cwd=entry["directory"], capture_output=True, check=True).stdout


def lint(build, entry, settings):
    try:
        # The source is part of the key, because preprocessing removes its NOLINT comments.
        text = preprocess(entry) + pathlib.Path(entry["file"]).read_bytes()
        key = hashlib.sha256(settings + text).hexdigest()
    except subprocess.CalledProcessError as error:
        return f"{entry['file']}: cannot be preprocessed: {error.stderr.decode()}"
    cache_entry = CACHE / key
    if cache_entry.exists():
        return ""
    result = subprocess.run(
        ["clang-tidy", "-p", build, "--quiet", entry["file"]], capture_output=True, text=True, check=False
    )
    if result.returncode == 0:
        cache_entry.touch()
        return ""
    return result.stdout or result.stderr


def main():
    build, *files = sys.argv[1:]
    CACHE.mkdir(parents=True, exist_ok=True)
    requested_files = {str(pathlib.Path(it).resolve()) for it in files}
    commands = json.loads((pathlib.Path(build) / "compile_commands.json").read_text())
    # compile_commands.json lists a source once for each program that uses it; one check is enough.
    entries = list({it["file"]: it for it in commands if it["file"] in requested_files}.values())
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
