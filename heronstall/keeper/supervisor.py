"""The supervisor of a machine's dispatchers. Every step is recorded in its journal before it is carried out.

Its calls have the form of the admin protocol: PING; INFO; FIGURES; CHECK file; CLAIM epoch; RUN epoch
dispatcher digest; STOP dispatcher; START dispatcher. RUN states which release a dispatcher should run; it may
be repeated at any time.
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
from heronstall.keeper.calls import CallError, CallServer, no_reply, rows_reply, yes_reply
from heronstall.keeper.dispatcher_state import Action, DispatcherState, ExitCause, Limits, Process
from heronstall.keeper.log import JournalFile, unix_us
from heronstall.keeper.release import Release, ReleaseError, compose_config, read_release, release_from_record
from heronstall.rollout.journal import Record

POLL_INTERVAL_S = 0.05  # between checks for due actions
ADMIN_CALL_TIMEOUT_S = 1.0
RETRY_DELAY_US = 1_000_000  # before a failed step is retried
MAX_JOURNAL_RECORDS = 2000  # a longer journal is compacted at the start
SECOND = 1_000_000  # in microseconds
log = logging.getLogger("heronstall.keeper")


@dataclass(frozen=True)
class SupervisedDispatcher:
    """The settings of a supervised dispatcher."""

    config: Path
    zone: str
    tmp: Path
    admin_addresses: tuple[str, str]


@dataclass(frozen=True)
class SupervisorConfig:
    """The settings of a supervisor, with absolute paths."""

    name: str
    address: str
    state_dir: Path
    release: Path
    limits: Limits
    dispatchers: dict[str, SupervisedDispatcher]


def parse_supervisor_config(record: dict[str, Any], base: Path) -> SupervisorConfig:
    """Builds the settings from their validated record; relative paths start from `base`."""

    def microseconds(key: str) -> int:
        return int(record[key] * SECOND)

    limits = Limits(
        microseconds("yes_s"),
        microseconds("end_s"),
        microseconds("pause_s"),
        microseconds("pause_most_s"),
        record["loop_ends"],
        microseconds("loop_s"),
    )
    dispatchers = {
        name: SupervisedDispatcher(base / row["config"], row["zone"], base / row["tmp"], tuple(row["doors"]))
        for name, row in record["dispatchers"].items()
    }
    return SupervisorConfig(
        record["name"],
        record["address"],
        base / record["state"],
        base / record["release"],
        limits,
        dispatchers,
    )


class Supervisor:
    """Holds the dispatchers' states, their processes and the journal. Raises what `JournalFile` raises."""

    def __init__(self, config: SupervisorConfig) -> None:
        self._config = config
        config.state_dir.mkdir(parents=True, exist_ok=True)
        self._journal = JournalFile(config.state_dir / "keeper.journal")
        self.epoch = 0
        self._releases: dict[str, Release] = {}
        self._dispatchers = {name: DispatcherState(name, config.limits) for name in config.dispatchers}
        self._exit_watches: dict[str, Callable[[], None]] = {}
        self._probing: set[str] = set()
        self._retry_at: dict[str, int] = {}  # after a failed step, for example on a full disk
        self._tasks: set[asyncio.Task[None]] = set()
        self._wakeup = asyncio.Event()
        for record in self._journal.records:
            self._apply(record)
        if len(self._journal.records) > MAX_JOURNAL_RECORDS:
            self._journal.rewrite(self._compacted_records())

    # ------------------------------------------------------------------ the journal

    def _write(self, kind: str, **fields: Any) -> None:
        self._apply(self._journal.append(kind, fields))

    def _apply(self, record: Record) -> None:
        kind = record["kind"]
        if kind == "epoch":
            self.epoch = max(self.epoch, record["epoch"])
        elif kind == "release":
            self._releases[record["digest"]] = release_from_record(record["release"])
        elif record.get("d") in self._dispatchers:
            dispatcher = self._dispatchers[record["d"]]
            if kind in ("state", "process"):
                dispatcher.restore(record)
            else:
                dispatcher.apply(record)

    def _compacted_records(self) -> list[tuple[str, Record]]:
        result: list[tuple[str, Record]] = [("epoch", {"epoch": self.epoch})]
        result += [
            ("release", {"digest": digest, "release": release.record()})
            for digest, release in self._releases.items()
        ]
        for dispatcher in self._dispatchers.values():
            result += dispatcher.state_records()
        return result

    # ------------------------------------------------------------------ running

    async def run(self, done: asyncio.Event) -> None:
        """Supervises until `done` is set; the dispatchers keep running.

        Raises ReleaseError, CallError and OSError at the start.
        """
        await self._request_initial_release()
        server = CallServer(self._handle_call)
        address = await server.open(self._config.address)
        self._adopt()
        log_event(
            log,
            events.SUPERVISOR_STARTED,
            keeper=self._config.name,
            address=address,
            dispatchers=len(self._dispatchers),
        )
        try:
            while not done.is_set():
                for dispatcher in self._dispatchers.values():
                    self._poll(dispatcher)
                self._wakeup.clear()
                wake = asyncio.ensure_future(self._wakeup.wait())
                ended = asyncio.ensure_future(done.wait())
                await asyncio.wait(
                    (wake, ended), timeout=POLL_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED
                )
                wake.cancel()
                ended.cancel()
        finally:
            await server.close()
            for stop_watching in self._exit_watches.values():
                stop_watching()
            for task in self._tasks:
                task.cancel()
            self._journal.close()
            log_event(log, events.SUPERVISOR_STOPPED, keeper=self._config.name)

    async def _request_initial_release(self) -> None:
        if all(dispatcher.want for dispatcher in self._dispatchers.values()):
            return
        release = read_release(self._config.release)
        digest = await self._check_release(release)
        for dispatcher in self._dispatchers.values():
            if not dispatcher.want:
                self._write("want", d=dispatcher.name, digest=digest, epoch=self.epoch)

    def _adopt(self) -> None:
        """Finds the processes that a former supervisor has started."""
        for dispatcher in self._dispatchers.values():
            dispatcher.supervised_since = unix_us()
            for process in dispatcher.processes:
                pid = processes.find_process(process.token, process.pid)
                if not pid:
                    if process.pid:
                        self._record_exit(
                            dispatcher, process.token, "it ended while nobody kept it", "unseen"
                        )
                    else:  # the former supervisor was killed before it started the process
                        self._record_exit(dispatcher, process.token, "it was never started", "never")
                    continue
                if pid != process.pid:  # the former supervisor was killed before it recorded the pid
                    self._write("born", d=dispatcher.name, token=process.token, pid=pid)
                log_event(
                    log, events.PROCESS_ADOPTED, dispatcher=dispatcher.name, pid=pid, release=process.digest
                )
                self._watch_exit(dispatcher, process.token, pid)
                if process.told:  # sent again, in case it was recorded and not sent
                    processes.send_signal(pid, getattr(signal, f"SIG{process.told}"))

    def _poll(self, dispatcher: DispatcherState) -> None:
        now = unix_us()
        for action in dispatcher.due_actions(now) if now >= self._retry_at.get(dispatcher.name, 0) else []:
            try:
                self._perform(dispatcher, action)
            except (OSError, ReleaseError) as error:
                log_event(
                    log,
                    events.PROCESS_ACTION_FAILED,
                    dispatcher=dispatcher.name,
                    what=action.kind,
                    reason=str(error),
                )
                self._retry_at[dispatcher.name] = now + RETRY_DELAY_US
        for process in dispatcher.processes:
            if not process.yes and process.pid and process.token not in self._probing:
                self._probing.add(process.token)
                self._spawn(self._probe_readiness(dispatcher, process))

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # ------------------------------------------------------------------ actions

    def _perform(self, dispatcher: DispatcherState, action: Action) -> None:
        if action.kind == "start":
            self._start_process(dispatcher, action.fields["digest"], action.fields["door"])
        elif action.kind == "tell":
            self._write("tell", d=dispatcher.name, **action.fields)
            process = dispatcher.process(action.fields["token"])
            if process is not None and process.pid:
                number = getattr(signal, f"SIG{process.told}")
                log_event(
                    log,
                    events.PROCESS_SIGNALLED,
                    dispatcher=dispatcher.name,
                    pid=process.pid,
                    signal=process.told,
                    reason=process.why,
                )
                processes.send_signal(process.pid, number)
            elif process is not None:  # it was never started
                self._record_exit(dispatcher, process.token, "it was never started", "never")
        else:
            self._reload(dispatcher, action.fields["digest"])

    def _config_path(self, token: str) -> Path:
        return self._config.state_dir / f"{token}.json"

    def _start_process(self, dispatcher: DispatcherState, digest: str, slot: int) -> None:
        token = os.urandom(8).hex()
        self._write("start", d=dispatcher.name, token=token, digest=digest, door=slot)
        try:
            release = self._releases.get(digest)
            if release is None:
                raise ReleaseError(f"release {digest} is not known here")
            if release.digest() != digest:
                raise ReleaseError(f"{release.name}: its files have changed since it was checked")
            settings = self._config.dispatchers[dispatcher.name]
            settings.tmp.mkdir(parents=True, exist_ok=True)
            config = self._config_path(token)
            config.write_text(json.dumps(compose_config(settings.config, release)), encoding="utf-8")
            environ = release.environment(
                config, settings.admin_addresses[slot], str(settings.tmp), digest, token
            )
            output = self._config.state_dir / f"{dispatcher.name}.log"
            pid = processes.start_process(release.program, release.tree, environ, output)
        except (OSError, ReleaseError) as error:
            self._record_exit(dispatcher, token, f"it could not be started: {error}", "own")
            return
        self._write("born", d=dispatcher.name, token=token, pid=pid)
        log_event(
            log,
            events.PROCESS_STARTED,
            dispatcher=dispatcher.name,
            pid=pid,
            release=release.name,
            digest=digest,
        )
        self._watch_exit(dispatcher, token, pid)

    def _watch_exit(self, dispatcher: DispatcherState, token: str, pid: int) -> None:
        self._exit_watches[token] = processes.watch_exit(
            pid, lambda how, fault: self._record_exit(dispatcher, token, how, fault)
        )

    def _record_exit(self, dispatcher: DispatcherState, token: str, how: str, fault: ExitCause) -> None:
        self._exit_watches.pop(token, None)
        process = dispatcher.process(token)
        if process is None:
            return
        cause: ExitCause = "asked" if process.told and fault != "never" else fault
        log_event(
            log, events.PROCESS_ENDED, dispatcher=dispatcher.name, pid=process.pid, how=how, fault=cause
        )
        try:
            self._write("ended", d=dispatcher.name, token=token, how=how, fault=cause)
        except OSError as error:
            log_event(
                log, events.PROCESS_ACTION_FAILED, dispatcher=dispatcher.name, what="ended", reason=str(error)
            )
            loop = asyncio.get_running_loop()
            loop.call_later(RETRY_DELAY_US / SECOND, self._record_exit, dispatcher, token, how, fault)
            return
        if dispatcher.is_crash_looping(unix_us()):
            log_event(log, events.CRASH_LOOP, dispatcher=dispatcher.name, ends=len(dispatcher.ends))
        self._config_path(token).unlink(missing_ok=True)
        self._wakeup.set()

    def _reload(self, dispatcher: DispatcherState, digest: str) -> None:
        process, release = dispatcher.main, self._releases.get(digest)
        assert process is not None
        if release is None or release.digest() != digest:
            raise ReleaseError(f"release {digest} is unknown or has changed")
        config = compose_config(self._config.dispatchers[dispatcher.name].config, release)
        self._config_path(process.token).write_text(json.dumps(config), encoding="utf-8")
        processes.send_signal(process.pid, signal.SIGHUP)
        self._write("hupped", d=dispatcher.name, digest=digest)
        log_event(log, events.PROCESS_RELOADED, dispatcher=dispatcher.name, pid=process.pid, digest=digest)

    async def _probe_readiness(self, dispatcher: DispatcherState, process: Process) -> None:
        """Sends one PING to the admin endpoint of a started process."""
        try:
            address = self._config.dispatchers[dispatcher.name].admin_addresses[process.door]
            reply = await calls.call(address, "PING", ADMIN_CALL_TIMEOUT_S)
            # A process that is about to exit may still answer at this address.
            if (
                reply.good
                and dispatcher.process(process.token) is process
                and not process.yes
                and not process.told
            ):
                self._write("yes", d=dispatcher.name, token=process.token)
                log_event(
                    log,
                    events.PROCESS_READY,
                    dispatcher=dispatcher.name,
                    pid=process.pid,
                    digest=process.digest,
                )
                self._wakeup.set()
        except OSError:  # includes CallError: not ready yet, or the journal cannot be written
            pass
        finally:
            self._probing.discard(process.token)

    # ------------------------------------------------------------------ calls

    async def _handle_call(self, words: list[str]) -> str:
        try:
            match words:
                case ["PING"]:
                    return yes_reply("keeping")
                case ["INFO"]:
                    return rows_reply(self._info_rows())
                case ["FIGURES"]:
                    return rows_reply(await self._figure_rows())
                case ["CHECK", path]:
                    return await self._handle_check(path)
                case ["CLAIM", epoch] if epoch.isdecimal():
                    return self._claim_epoch(int(epoch)) or yes_reply(f"epoch {epoch}")
                case ["RUN", epoch, name, digest] if epoch.isdecimal():
                    return self._claim_epoch(int(epoch)) or self._request_release(int(epoch), name, digest)
                case ["STOP" | "START" as word, name] if name in self._dispatchers:
                    return self._set_stopped(self._dispatchers[name], word == "STOP")
                case ["STOP" | "START" | "RUN", *_]:
                    return no_reply("no such dispatcher here, or words are missing")
        except OSError as error:  # nothing is carried out without its record
            return no_reply(f"cannot be written down: {error}")
        return no_reply("such call")

    def _claim_epoch(self, epoch: int) -> str:
        """Returns a refusal for an older controller, else an empty text; records a newer epoch."""
        if epoch < self.epoch:
            return no_reply(f"older than epoch {self.epoch}")
        if epoch > self.epoch:
            self._write("epoch", epoch=epoch)
        return ""

    def _request_release(self, epoch: int, name: str, digest: str) -> str:
        dispatcher, release = self._dispatchers.get(name), self._releases.get(digest)
        if dispatcher is None or release is None:
            return no_reply(
                "no such dispatcher here" if dispatcher is None else f"release {digest} is not known here"
            )
        if dispatcher.refused and (dispatcher.refused_digest, dispatcher.refused_epoch) == (digest, epoch):
            return no_reply(dispatcher.refused)
        if dispatcher.want != digest:
            self._write("want", d=name, digest=digest, epoch=epoch, hup=self._can_reload(dispatcher, release))
            self._wakeup.set()
        report = dispatcher.report(unix_us())
        return yes_reply(
            "done" if report["digest"] == digest and report["state"] == "serving" else "under way"
        )

    def _can_reload(self, dispatcher: DispatcherState, release: Release) -> bool:
        """Returns whether the running process can apply the new settings by rereading them on SIGHUP."""
        main = dispatcher.main
        current = self._releases.get(main.digest) if main is not None and main.yes else None
        if main is None or current is None or dispatcher.coming is not None:
            return False
        restart_fields = ("tree", "python", "run", "parts", "operator")
        if any(getattr(current, key) != getattr(release, key) for key in restart_fields):
            return False
        try:
            running = json.loads(self._config_path(main.token).read_text(encoding="utf-8"))
            new_config = compose_config(self._config.dispatchers[dispatcher.name].config, release)
            return not restart_only_changes(configuration(running), configuration(new_config))
        except (OSError, ValueError, ConfigError, ReleaseError):
            return False

    def _set_stopped(self, dispatcher: DispatcherState, stop: bool) -> str:
        if dispatcher.stopped != stop:
            self._write("stop", d=dispatcher.name, stop=stop)
            self._wakeup.set()
        return yes_reply("stopping" if stop else "starting")

    async def _handle_check(self, path: str) -> str:
        try:
            release = read_release(Path(path))
            digest = await self._check_release(release)
            for current_digest in {dispatcher.want for dispatcher in self._dispatchers.values()}:
                current = self._releases[current_digest]
                message = f"{current.name}, which runs now, has changed: there is no way back to it"
                try:
                    if current.digest() != current_digest:
                        return no_reply(message)
                except ReleaseError as error:
                    return no_reply(f"{message}: {error}")
        except ReleaseError as error:
            return no_reply(str(error))
        return yes_reply(f"{release.name}@{digest}")

    async def _check_release(self, release: Release) -> str:
        """Has a release read each dispatcher's settings and returns its digest. Raises ReleaseError."""
        digest = await asyncio.to_thread(release.digest)

        async def check_one(name: str, settings: SupervisedDispatcher) -> None:
            path = self._config.state_dir / f"check-{os.urandom(4).hex()}.json"
            try:
                path.write_text(json.dumps(compose_config(settings.config, release)), encoding="utf-8")
                await asyncio.to_thread(release.check, path, settings.admin_addresses[0], str(settings.tmp))
            except (OSError, ReleaseError) as error:
                raise ReleaseError(f"{name}: {error}") from None
            finally:
                path.unlink(missing_ok=True)

        semaphore = asyncio.Semaphore(4)

        async def check_limited(name: str, settings: SupervisedDispatcher) -> None:
            async with semaphore:
                await check_one(name, settings)

        await asyncio.gather(
            *(check_limited(name, settings) for name, settings in self._config.dispatchers.items())
        )
        if digest not in self._releases:
            self._write("release", digest=digest, release=release.record())
        return digest

    def _info_rows(self) -> dict[str, str]:
        now = unix_us()
        result = {
            "keep.v": "1",
            "keep.name": self._config.name,
            "keep.epoch": str(self.epoch),
            "keep.at": str(now),
        }
        for name, dispatcher in self._dispatchers.items():
            report = {"zone": self._config.dispatchers[name].zone, **dispatcher.report(now)}
            result[f"dispatcher.{name}"] = json.dumps(report, separators=(",", ":"))
        return result

    async def _figure_rows(self) -> dict[str, str]:
        """Returns the metrics of each serving dispatcher; keys begin with its name and a space."""
        result: dict[str, str] = {}

        async def query(dispatcher: DispatcherState) -> None:
            main = dispatcher.main
            if main is None or not main.yes:
                return
            address = self._config.dispatchers[dispatcher.name].admin_addresses[main.door]
            try:
                ping, detail = await asyncio.gather(
                    calls.call(address, "PING", ADMIN_CALL_TIMEOUT_S),
                    calls.call(address, "DETAIL", ADMIN_CALL_TIMEOUT_S),
                )
            except CallError:
                return
            result[f"{dispatcher.name} at"] = str(unix_us())
            result[f"{dispatcher.name} ping"] = ping.text
            for name, value in detail.rows.items():
                result[f"{dispatcher.name} {name.removeprefix('svc.')}"] = value

        await asyncio.gather(*(query(dispatcher) for dispatcher in self._dispatchers.values()))
        return result
