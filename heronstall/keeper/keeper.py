"""A keeper: runs a machine's dispatchers and does what it is asked of them. Every step is written down first.

Calls, in the form of the operators' door: PING; INFO; FIGURES; CHECK file; CLAIM epoch; RUN epoch
dispatcher digest; STOP dispatcher; START dispatcher. RUN says what is to be so, and may be said again at
any time.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from heronstall import events
from heronstall.config import ConfigError, configuration, restart_only_changes
from heronstall.events import log_event
from heronstall.keeper import calls, processes
from heronstall.keeper.calls import CallError, Desk, no, rows, yes
from heronstall.keeper.log import Log, unix_us
from heronstall.keeper.place import Do, Fault, Limits, Place, Process
from heronstall.keeper.release import Release, ReleaseError, compose, of_record, read_release
from heronstall.rollout.journal import Record

TURN = 0.05  # seconds between looks at what is due
ASK_TIME = 1.0  # seconds for a dispatcher's door
AGAIN = 1_000_000  # microseconds until a step that failed is tried again
COMPACT = 2000  # records in a journal at a start, beyond which it is written anew
SECOND = 1_000_000
log = logging.getLogger("heronstall.keeper")


@dataclass(frozen=True)
class Kept:
    """A dispatcher, as the keeper's file names it."""

    config: Path
    zone: str
    tmp: Path
    doors: tuple[str, str]


@dataclass(frozen=True)
class KeeperFile:
    """The keeper's file; paths are whole."""

    name: str
    address: str
    state: Path
    release: Path
    limits: Limits
    kept: dict[str, Kept]


def keeper_file(record: dict[str, Any], beside: Path) -> KeeperFile:
    """From the checked record; paths in it start from `beside`."""

    def us(key: str) -> int:
        return int(record[key] * SECOND)

    limits = Limits(
        us("yes_s"), us("end_s"), us("pause_s"), us("pause_most_s"), record["loop_ends"], us("loop_s")
    )
    kept = {
        name: Kept(beside / row["config"], row["zone"], beside / row["tmp"], tuple(row["doors"]))
        for name, row in record["dispatchers"].items()
    }
    return KeeperFile(
        record["name"], record["address"], beside / record["state"], beside / record["release"], limits, kept
    )


class Keeper:
    """Holds the places, their processes and the journal. Raises what `Log` and `read_release` do."""

    def __init__(self, file: KeeperFile) -> None:
        self._file = file
        file.state.mkdir(parents=True, exist_ok=True)
        self._log = Log(file.state / "keeper.journal")
        self.epoch = 0
        self._releases: dict[str, Release] = {}
        self._places = {name: Place(name, file.limits) for name in file.kept}
        self._watches: dict[str, Callable[[], None]] = {}
        self._asking: set[str] = set()
        self._not_before: dict[str, int] = {}  # after a step that failed, a full disk's for one
        self._tasks: set[asyncio.Task[None]] = set()
        self._woken = asyncio.Event()
        for record in self._log.records:
            self._apply(record)
        if len(self._log.records) > COMPACT:
            self._log.rewrite(self._shorter())

    # ------------------------------------------------------------------ the journal

    def _write(self, kind: str, **fields: Any) -> None:
        self._apply(self._log.append(kind, fields))

    def _apply(self, r: Record) -> None:
        kind = r["kind"]
        if kind == "epoch":
            self.epoch = max(self.epoch, r["epoch"])
        elif kind == "release":
            self._releases[r["digest"]] = of_record(r["release"])
        elif r.get("d") in self._places:
            place = self._places[r["d"]]
            if kind in ("state", "process"):
                place.restore(r)
            else:
                place.apply(r)

    def _shorter(self) -> list[tuple[str, Record]]:
        made: list[tuple[str, Record]] = [("epoch", {"epoch": self.epoch})]
        made += [("release", {"digest": d, "release": r.record()}) for d, r in self._releases.items()]
        for place in self._places.values():
            made += place.records()
        return made

    # ------------------------------------------------------------------ running

    async def run(self, done: asyncio.Event) -> None:
        """Keep until told to end. Dispatchers go on. Raises ReleaseError, CallError, OSError at the start."""
        await self._first_release()
        desk = Desk(self._answer)
        at = await desk.open(self._file.address)
        self._adopt()
        log_event(
            log, events.SUPERVISOR_STARTED, keeper=self._file.name, address=at, dispatchers=len(self._places)
        )
        try:
            while not done.is_set():
                for place in self._places.values():
                    self._turn(place)
                self._woken.clear()
                wake = asyncio.ensure_future(self._woken.wait())
                end = asyncio.ensure_future(done.wait())
                await asyncio.wait((wake, end), timeout=TURN, return_when=asyncio.FIRST_COMPLETED)
                wake.cancel()
                end.cancel()
        finally:
            await desk.close()
            for over in self._watches.values():
                over()
            for task in self._tasks:
                task.cancel()
            self._log.close()
            log_event(log, events.SUPERVISOR_STOPPED, keeper=self._file.name)

    async def _first_release(self) -> None:
        if all(place.want for place in self._places.values()):
            return
        release = read_release(self._file.release)
        digest = await self._check(release)
        for place in self._places.values():
            if not place.want:
                self._write("want", d=place.name, digest=digest, epoch=self.epoch)

    def _adopt(self) -> None:
        """Find the processes that a former keeper has left."""
        for place in self._places.values():
            place.kept_from = unix_us()
            for process in place.processes:
                pid = processes.find(process.token, process.pid)
                if not pid:
                    if process.pid:
                        self._ended(place, process.token, "it ended while nobody kept it", "unseen")
                    else:  # the former keeper was killed between the word and the deed
                        self._ended(place, process.token, "it was never started", "never")
                    continue
                if pid != process.pid:  # the former keeper had no time to write it
                    self._write("born", d=place.name, token=process.token, pid=pid)
                log_event(log, events.PROCESS_ADOPTED, dispatcher=place.name, pid=pid, release=process.digest)
                self._watch(place, process.token, pid)
                if process.told:  # said again, in case it was written and not done
                    processes.tell(pid, getattr(signal, f"SIG{process.told}"))

    def _turn(self, place: Place) -> None:
        now = unix_us()
        for do in place.due(now) if now >= self._not_before.get(place.name, 0) else []:
            try:
                self._do(place, do)
            except (OSError, ReleaseError) as error:
                log_event(
                    log, events.PROCESS_ACTION_FAILED, dispatcher=place.name, what=do.kind, reason=str(error)
                )
                self._not_before[place.name] = now + AGAIN
        for process in place.processes:
            if not process.yes and process.pid and process.token not in self._asking:
                self._asking.add(process.token)
                self._spawn(self._ask_yes(place, process))

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # ------------------------------------------------------------------ what is due

    def _do(self, place: Place, do: Do) -> None:
        if do.kind == "start":
            self._start(place, do.fields["digest"], do.fields["door"])
        elif do.kind == "tell":
            self._write("tell", d=place.name, **do.fields)
            process = place.process(do.fields["token"])
            if process is not None and process.pid:
                number = getattr(signal, f"SIG{process.told}")
                log_event(
                    log,
                    events.PROCESS_SIGNALLED,
                    dispatcher=place.name,
                    pid=process.pid,
                    signal=process.told,
                    reason=process.why,
                )
                processes.tell(process.pid, number)
            elif process is not None:  # it never came to be
                self._ended(place, process.token, "it was never started", "never")
        else:
            self._hup(place, do.fields["digest"])

    def _config(self, token: str) -> Path:
        return self._file.state / f"{token}.json"

    def _start(self, place: Place, digest: str, door: int) -> None:
        token = os.urandom(8).hex()
        self._write("start", d=place.name, token=token, digest=digest, door=door)
        try:
            release = self._releases.get(digest)
            if release is None:
                raise ReleaseError(f"release {digest} is not known here")
            if release.digest() != digest:
                raise ReleaseError(f"{release.name}: its files have changed since it was checked")
            kept = self._file.kept[place.name]
            kept.tmp.mkdir(parents=True, exist_ok=True)
            config = self._config(token)
            config.write_text(json.dumps(compose(kept.config, release)), encoding="utf-8")
            environ = release.environment(config, kept.doors[door], str(kept.tmp), digest, token)
            output = self._file.state / f"{place.name}.log"
            pid = processes.start(release.program, release.tree, environ, output)
        except (OSError, ReleaseError) as error:
            self._ended(place, token, f"it could not be started: {error}", "own")
            return
        self._write("born", d=place.name, token=token, pid=pid)
        log_event(
            log, events.PROCESS_STARTED, dispatcher=place.name, pid=pid, release=release.name, digest=digest
        )
        self._watch(place, token, pid)

    def _watch(self, place: Place, token: str, pid: int) -> None:
        self._watches[token] = processes.watch(pid, lambda how, fault: self._ended(place, token, how, fault))

    def _ended(self, place: Place, token: str, how: str, fault: Fault) -> None:
        self._watches.pop(token, None)
        process = place.process(token)
        if process is None:
            return
        whose: Fault = "asked" if process.told and fault != "never" else fault
        log_event(log, events.PROCESS_ENDED, dispatcher=place.name, pid=process.pid, how=how, fault=whose)
        try:
            self._write("ended", d=place.name, token=token, how=how, fault=whose)
        except OSError as error:
            log_event(
                log, events.PROCESS_ACTION_FAILED, dispatcher=place.name, what="ended", reason=str(error)
            )
            loop = asyncio.get_running_loop()
            loop.call_later(AGAIN / SECOND, self._ended, place, token, how, fault)
            return
        if place.looping(unix_us()):
            log_event(log, events.CRASH_LOOP, dispatcher=place.name, ends=len(place.ends))
        self._config(token).unlink(missing_ok=True)
        self._woken.set()

    def _hup(self, place: Place, digest: str) -> None:
        process, release = place.main, self._releases.get(digest)
        assert process is not None
        if release is None or release.digest() != digest:
            raise ReleaseError(f"release {digest} is not known here, or has changed")
        config = compose(self._file.kept[place.name].config, release)
        self._config(process.token).write_text(json.dumps(config), encoding="utf-8")
        processes.tell(process.pid, signal.SIGHUP)
        self._write("hupped", d=place.name, digest=digest)
        log_event(log, events.PROCESS_RELOADED, dispatcher=place.name, pid=process.pid, digest=digest)

    async def _ask_yes(self, place: Place, process: Process) -> None:
        """Ask a started process's door once."""
        try:
            door = self._file.kept[place.name].doors[process.door]
            reply = await calls.call(door, "PING", ASK_TIME)
            # The address may be that of a process that is on its way out.
            if (
                reply.good
                and place.process(process.token) is process
                and not process.yes
                and not process.told
            ):
                self._write("yes", d=place.name, token=process.token)
                log_event(
                    log, events.PROCESS_READY, dispatcher=place.name, pid=process.pid, digest=process.digest
                )
                self._woken.set()
        except OSError:  # a CallError is one: not yet, or it cannot be written down now
            pass
        finally:
            self._asking.discard(process.token)

    # ------------------------------------------------------------------ calls

    async def _answer(self, words: list[str]) -> str:
        try:
            match words:
                case ["PING"]:
                    return yes("keeping")
                case ["INFO"]:
                    return rows(self._info())
                case ["FIGURES"]:
                    return rows(await self._figures())
                case ["CHECK", path]:
                    return await self._check_call(path)
                case ["CLAIM", epoch] if epoch.isdecimal():
                    return self._claim(int(epoch)) or yes(f"epoch {epoch}")
                case ["RUN", epoch, name, digest] if epoch.isdecimal():
                    return self._claim(int(epoch)) or self._run(int(epoch), name, digest)
                case ["STOP" | "START" as word, name] if name in self._places:
                    return self._stop(self._places[name], word == "STOP")
                case ["STOP" | "START" | "RUN", *_]:
                    return no("no such dispatcher here, or words are missing")
        except OSError as error:  # the journal cannot be written: nothing is done, and the caller is told
            return no(f"cannot be written down: {error}")
        return no("such call")

    def _claim(self, epoch: int) -> str:
        """An older controller gets a no; a newer one is the one from now on."""
        if epoch < self.epoch:
            return no(f"older than epoch {self.epoch}")
        if epoch > self.epoch:
            self._write("epoch", epoch=epoch)
        return ""

    def _run(self, epoch: int, name: str, digest: str) -> str:
        place, release = self._places.get(name), self._releases.get(digest)
        if place is None or release is None:
            return no("no such dispatcher here" if place is None else f"release {digest} is not known here")
        if place.refused and (place.refused_digest, place.refused_epoch) == (digest, epoch):
            return no(place.refused)
        if place.want != digest:
            self._write("want", d=name, digest=digest, epoch=epoch, hup=self._hup_will_do(place, release))
            self._woken.set()
        told = place.told(unix_us())
        return yes("done" if told["digest"] == digest and told["state"] == "serving" else "under way")

    def _hup_will_do(self, place: Place, release: Release) -> bool:
        """Whether the running process can take the new settings up as it is: only what is re-read differs."""
        main = place.main
        before = self._releases.get(main.digest) if main is not None and main.yes else None
        if main is None or before is None or place.coming is not None:
            return False
        same = ("tree", "python", "run", "parts", "operator")
        if any(getattr(before, key) != getattr(release, key) for key in same):
            return False
        try:
            running = json.loads(self._config(main.token).read_text(encoding="utf-8"))
            coming = compose(self._file.kept[place.name].config, release)
            return not restart_only_changes(configuration(running), configuration(coming))
        except (OSError, ValueError, ConfigError, ReleaseError):
            return False

    def _stop(self, place: Place, stop: bool) -> str:
        if place.stopped != stop:
            self._write("stop", d=place.name, stop=stop)
            self._woken.set()
        return yes("stopping" if stop else "starting")

    async def _check_call(self, path: str) -> str:
        try:
            release = read_release(Path(path))
            digest = await self._check(release)
            for kept in {place.want for place in self._places.values()}:
                before = self._releases[kept]
                lost = f"{before.name}, which runs now, has changed: there is no way back to it"
                try:
                    if before.digest() != kept:
                        return no(lost)
                except ReleaseError as error:
                    return no(f"{lost}: {error}")
        except ReleaseError as error:
            return no(str(error))
        return yes(f"{release.name}@{digest}")

    async def _check(self, release: Release) -> str:
        """Have a release read every dispatcher's settings; its digest. Raises ReleaseError."""
        digest = await asyncio.to_thread(release.digest)

        async def one(name: str, kept: Kept) -> None:
            path = self._file.state / f"check-{os.urandom(4).hex()}.json"
            try:
                path.write_text(json.dumps(compose(kept.config, release)), encoding="utf-8")
                await asyncio.to_thread(release.check, path, kept.doors[0], str(kept.tmp))
            except (OSError, ReleaseError) as error:
                raise ReleaseError(f"{name}: {error}") from None
            finally:
                path.unlink(missing_ok=True)

        gate = asyncio.Semaphore(4)

        async def gated(name: str, kept: Kept) -> None:
            async with gate:
                await one(name, kept)

        await asyncio.gather(*(gated(name, kept) for name, kept in self._file.kept.items()))
        if digest not in self._releases:
            self._write("release", digest=digest, release=release.record())
        return digest

    def _info(self) -> dict[str, str]:
        now = unix_us()
        made = {
            "keep.v": "1",
            "keep.name": self._file.name,
            "keep.epoch": str(self.epoch),
            "keep.at": str(now),
        }
        for name, place in self._places.items():
            told = {"zone": self._file.kept[name].zone, **place.told(now)}
            made[f"dispatcher.{name}"] = json.dumps(told, separators=(",", ":"))
        return made

    async def _figures(self) -> dict[str, str]:
        """What every serving dispatcher's door tells, its rows after its name and a space."""
        made: dict[str, str] = {}

        async def one(place: Place) -> None:
            main = place.main
            if main is None or not main.yes:
                return
            door = self._file.kept[place.name].doors[main.door]
            try:
                ping, detail = await asyncio.gather(
                    calls.call(door, "PING", ASK_TIME), calls.call(door, "DETAIL", ASK_TIME)
                )
            except CallError:
                return
            made[f"{place.name} at"] = str(unix_us())
            made[f"{place.name} ping"] = ping.text
            for name, value in detail.rows.items():
                made[f"{place.name} {name.removeprefix('svc.')}"] = value

        await asyncio.gather(*(one(place) for place in self._places.values()))
        return made
