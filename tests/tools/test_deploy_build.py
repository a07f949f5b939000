"""The build of deploy/system.toml, over a folder that comes from another place.

Usage: test_deploy_build.py SOURCE     (SOURCE: the root of the repository)

Such a folder has a cache that names other paths and objects that look up to date. Configuring must succeed, and leave
neither.
"""
import pathlib
import shlex
import subprocess
import sys
import tempfile
import tomllib


def configure_command(source, folder):
    """The deploy file's first command, into another folder."""
    deploy = tomllib.loads((source / "deploy/system.toml").read_text())
    words = shlex.split(deploy["build"].split("&&")[0])
    words[words.index("-B") + 1] = str(folder)
    return words


def main():
    source = pathlib.Path(sys.argv[1])
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        stale = folder / "CMakeFiles/indigohill.dir/src/launcher/main.cpp.o"
        stale.parent.mkdir(parents=True)
        stale.write_text("an object of another machine")
        (folder / "CMakeCache.txt").write_text("CMAKE_HOME_DIRECTORY:INTERNAL=/elsewhere\n"
                                               "CMAKE_CACHEFILE_DIR:INTERNAL=/elsewhere/target\n")
        done = subprocess.run(configure_command(source, folder), cwd=source, capture_output=True, text=True)
        print(done.stdout, done.stderr)
        assert done.returncode == 0, "not configured"
        assert not stale.exists(), "the stale object was left"


main()
