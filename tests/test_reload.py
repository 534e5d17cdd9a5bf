"""SIGHUP and process start with real processes: early signals, partly written files, addresses in use."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from time import monotonic

import pytest

from anisespool.config import Address
from anisespool.supervision import supervise
from tests.net import Discovery, exchange, free_port, member, raw_call, until, write_config

ROOT = Path(__file__).parent.parent
NOWHERE = Address("127.0.0.1", 9)
SERVER = member("s-0", NOWHERE)


def run_command() -> str:
    """The deploy file's `run`, with this interpreter in place of the built one."""
    text = (ROOT / "deploy/balancer.toml").read_text()
    found = re.search(r'^run = "(.*?)"', text, re.MULTILINE)
    assert found
    command = found[1]
    assert ".venv/bin/python" in command
    return command.replace(".venv/bin/python", sys.executable)


@asynccontextmanager
async def started(env: dict[str, str]) -> AsyncIterator[asyncio.subprocess.Process]:
    """Start the program as the platform does."""
    process = await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", run_command(), env=os.environ | env, cwd=ROOT, stderr=asyncio.subprocess.PIPE
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.communicate()


def write(env: dict[str, str], discovery: Discovery) -> bytes:
    """The configuration with another discovery address, not yet written to its file."""
    raw = json.loads(Path(env["LB_CONFIG"]).read_text())
    return json.dumps(raw | {"discovery": "{}:{}".format(*discovery.address)}).encode()


@pytest.mark.parametrize("after_s", [0.005, 0.02, 0.05, 0.1, 0.15, 0.3])
async def test_a_reload_in_the_first_moments_of_a_process_is_followed(tmp_path: Path, after_s: float) -> None:
    async with Discovery().serve() as old, Discovery().serve() as new:
        env = write_config(tmp_path, old.address, [SERVER])
        async with started(env) as process:
            await asyncio.sleep(after_s)
            Path(env["LB_CONFIG"]).write_bytes(write(env, new))
            process.send_signal(signal.SIGHUP)
            await until(lambda: bool(new.targets))
            assert process.returncode is None


async def test_a_file_that_is_half_written_at_the_signal_is_read_once_it_is_whole(tmp_path: Path) -> None:
    async with Discovery().serve() as old, Discovery().serve() as new:
        env = write_config(tmp_path, old.address, [SERVER])
        async with started(env) as process:
            await until(lambda: bool(old.targets))
            whole, place = write(env, new), Path(env["LB_CONFIG"])
            place.write_bytes(whole[: len(whole) // 2])
            process.send_signal(signal.SIGHUP)
            assert process.stderr
            async with asyncio.timeout(10):
                while b"is read again" not in await process.stderr.readline():
                    pass
            place.write_bytes(whole)
            whole_s = monotonic()
            await until(lambda: bool(new.targets))
            assert monotonic() - whole_s < 4.0 and process.returncode is None


@pytest.mark.parametrize("half", [True, False])
async def test_a_file_that_is_being_replaced_as_the_process_starts_is_read_once_it_is_whole(
    tmp_path: Path, half: bool
) -> None:
    """The file is partly written, or briefly absent."""
    async with Discovery().serve() as discovery:
        env = write_config(tmp_path, discovery.address, [SERVER])
        place = Path(env["LB_CONFIG"])
        whole = place.read_bytes()
        place.write_bytes(whole[: len(whole) // 2])
        if not half:
            place.unlink()
        async with started(env) as process:
            await asyncio.sleep(0.4)  # it has tried to read the file by then
            place.write_bytes(whole)
            await until(lambda: bool(discovery.targets))
            assert process.returncode is None


@pytest.mark.parametrize("signalled", [False, True])
async def test_an_address_that_is_in_use_for_a_moment_is_asked_for_again(
    tmp_path: Path, signalled: bool
) -> None:
    """The previous process is still shutting down. SIGTERM is obeyed meanwhile."""
    listen = f"127.0.0.1:{free_port()}"
    env = write_config(tmp_path, NOWHERE, [SERVER], listen)
    with socket.socket() as taken:
        taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        taken.bind(Address.parse(listen))
        taken.listen()
        async with started(env) as process:
            assert process.stderr
            async with asyncio.timeout(10):
                while b"AddressTaken" not in await process.stderr.readline():
                    pass
            if signalled:
                process.terminate()
                async with asyncio.timeout(10):
                    assert await process.wait() == 0
                return
            taken.close()
            async with asyncio.timeout(10):
                while True:
                    try:
                        answer = await exchange(Address.parse(listen), raw_call())
                        break
                    except OSError:
                        await asyncio.sleep(0.02)
            assert answer.status in (502, 503) and process.returncode is None


async def test_a_task_that_fails_is_logged_and_starts_again(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr("anisespool.supervision.RESTART_DELAY_S", 0.0)
    runs = 0

    async def work() -> None:
        nonlocal runs
        runs += 1
        if runs < 3:
            raise RuntimeError("scripted")

    await supervise("the watch", work)
    assert runs == 3
    assert capfd.readouterr().err.count("the watch failed and starts again: RuntimeError: scripted\n") == 2
