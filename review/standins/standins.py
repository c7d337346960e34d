"""Stand-ins for the platform around one or more schedulers, with the Python standard library alone.

Discovery, workers, clients and a proxy, as PROTOCOL and DEPLOY describe them, on loopback addresses and the
real clock. Every part writes what it sends, answers and runs into one Record.
"""
import asyncio
import json
import os
import resource
import signal
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class Record:
    """The record of one run, in the order of the events."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, who, text):
        self.file.write(f"{self.now():9.3f}  {who:<12} {text}\n")
        self.file.flush()


class Message:
    """One HTTP message as read from a connection."""

    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body
        parts = start.split(" ", 2)
        self.method, self.target = parts[0], parts[1]

    @property
    def status(self):
        return int(self.target)

    @property
    def closes(self):
        return self.headers.get("connection", "").lower() == "close"


async def read_message(reader):
    """Reads one HTTP message; returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(lines[0], headers, body)


def response(status, body=b"", extra=""):
    names = {200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found",
             503: "Service Unavailable"}
    head = f"HTTP/1.1 {status} {names.get(status, 'Status')}\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
    return head.encode() + body


async def serve(handler, host="127.0.0.1"):
    """Starts a server at a free port; returns the server and its address."""

    async def guarded(reader, writer):
        try:
            await handler(reader, writer)
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(guarded, host, 0)
    port = server.sockets[0].getsockname()[1]
    return server, f"{host}:{port}"


def free_address(host="127.0.0.1"):
    import socket
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


class Discovery:
    """The discovery service: the whole list, and watches on changes."""

    def __init__(self, record):
        self.record, self.generation, self.entries = record, 1, {}
        self.changed_at, self.changed = {}, asyncio.Condition()
        # The time over which the body of an answer is written, in pieces, and when each change was written.
        self.write_time, self.told_at = 0.0, {}

    async def start(self):
        self.server, self.address = await serve(self.handle)

    async def set(self, worker, lifecycle="up", started_at_ms=None):
        async with self.changed:
            self.generation += 1
            entry = dict(instanceId=worker.name, hostPort=worker.address, zone=worker.zone,
                         machineType=worker.kind, cell=worker.cell, lifecycle=lifecycle, weight=worker.weight,
                         startedAtMs=worker.started_at_ms if started_at_ms is None else started_at_ms)
            self.entries[worker.name] = entry
            self.changed_at[worker.name] = self.generation
            self.changed.notify_all()
        self.record("discovery", f"generation {self.generation}: {worker.name} {lifecycle} at {worker.address}")

    def document(self, since=None):
        if since is None:
            entries = [entry for entry in self.entries.values() if entry["lifecycle"] != "removed"]
        else:
            entries = [entry for name, entry in self.entries.items() if self.changed_at[name] > since]
        return dict(generation=self.generation, reset=since is None, instances=entries)

    async def handle(self, reader, writer):
        while message := await read_message(reader):
            since = None
            if "?" in message.target:
                query = dict(pair.split("=") for pair in message.target.split("?")[1].split("&"))
                since, wait = int(query["index"]), int(query["wait"]) / 1000
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait_for(lambda: self.generation > since), wait)
                    except asyncio.TimeoutError:
                        pass
            document, asked = self.document(since), self.record.now()
            answer = response(200, json.dumps(document, indent=1).encode())
            start = answer.index(b"\r\n\r\n") + 4
            writer.write(answer[:start])
            pieces = 20 if self.write_time else 1
            for n in range(pieces):
                writer.write(answer[start + (len(answer) - start) * n // pieces:
                                    start + (len(answer) - start) * (n + 1) // pieces])
                await writer.drain()
                if n + 1 < pieces:
                    await asyncio.sleep(self.write_time / (pieces - 1))
            if document["instances"]:
                names = " ".join(f"{entry['instanceId']}={entry['lifecycle']}" for entry in document["instances"])
                self.record("discovery", f"answer written in {self.record.now() - asked:.3f} s: "
                                         f"generation {document['generation']} {names}")
            for entry in document["instances"]:
                self.told_at.setdefault((entry["instanceId"], entry["lifecycle"]), self.record.now())


class Job:
    def __init__(self, message, number):
        self.id = message.headers["x-trace-id"]
        self.message, self.number = message, number
        self.callback_to = None
        self.task = None


class Worker:
    """A worker with a number of slots and a queue, as the pages describe it.

    `may_take(job)` says whether the worker takes a job that has arrived; a job that it does not take it hands
    back unstarted: by a callback `returned` after the 202 if `returns_by_callback`, else by a 503 with
    `X-Never-Ran: 1`.
    """

    def __init__(self, record, name, scheduler, zone="a", kind="m", cell=0, weight=1.0, slots=4,
                 run_time=0.5, started_at_ms=0, tells_start=False, progress=None, start_delay=0.0,
                 repeats=None, result=None):
        self.record, self.name, self.scheduler = record, name, scheduler
        self.zone, self.kind, self.cell, self.weight = zone, kind, cell, weight
        self.run_time, self.started_at_ms = run_time, started_at_ms
        self.tells_start, self.progress = tells_start, progress
        self.start_delay, self.result = start_delay, result
        # The keys that this worker shares with the workers of its group, with the result of the job of each.
        self.repeats = {} if repeats is None else repeats
        self.free = asyncio.Semaphore(slots)
        self.jobs, self.arrivals, self.attempts, self.runs = {}, 0, [], []
        self.returns_by_callback = True
        self.may_take = lambda job: True

    async def start(self):
        self.server, self.address = await serve(self.handle)

    async def handle(self, reader, writer):
        while message := await read_message(reader):
            if message.method == "DELETE":
                id = message.target.rsplit("/", 1)[1]
                self.record(self.name, f"cancel {id}")
                job = self.jobs.pop(id, None)
                if job and job.task:
                    job.task.cancel()
                writer.write(response(204))
            elif message.method != "POST":
                writer.write(response(404))
            elif "x-trace-id" not in message.headers:
                writer.write(response(404))
            else:
                self.arrivals += 1
                job = Job(message, self.arrivals)
                key = message.headers.get("idempotency-key", "-")
                self.record(self.name, f"attempt {job.id} #{job.number} {message.target} key {key} arrives")
                self.attempts.append((self.record.now(), job.id))
                if not self.may_take(job) and not self.returns_by_callback:
                    self.record(self.name, f"attempt {job.id} #{job.number} turned away with 503")
                    writer.write(response(503, b"", "X-Never-Ran: 1\r\n"))
                else:
                    writer.write(response(202))
                    self.jobs[job.id] = job
                    job.task = asyncio.create_task(self.work(job, self.may_take(job)))
            await writer.drain()

    async def work(self, job, takes):
        if not takes:
            self.jobs.pop(job.id, None)
            self.record(self.name, f"attempt {job.id} #{job.number} handed back unstarted")
            return await self.call(job, "returned")
        key = job.message.headers.get("idempotency-key")
        if key in self.repeats:
            self.record(self.name, f"attempt {job.id} #{job.number} key {key} dropped as a repeat")
            return await self.call(job, "done", result=await asyncio.shield(self.repeats[key]))
        result = self.result or f"result of {job.id} by {self.name}"
        if key is not None:
            self.repeats[key] = asyncio.get_running_loop().create_future()
        await asyncio.sleep(self.start_delay)
        async with self.free:
            self.record(self.name, f"RUN {job.id} #{job.number} starts")
            self.runs.append(job.id)
            if self.tells_start:
                asyncio.create_task(self.call(job, "started"))
            end = time.monotonic() + self.run_time
            while (left := end - time.monotonic()) > 0:
                await asyncio.sleep(min(left, self.progress or left))
                if self.progress and time.monotonic() < end:
                    share = 1 - (end - time.monotonic()) / self.run_time
                    asyncio.create_task(self.call(job, "running", share=share))
        self.record(self.name, f"RUN {job.id} #{job.number} ends")
        self.jobs.pop(job.id, None)
        if key is not None:
            self.repeats[key].set_result(result)
        await self.call(job, "done", result=result)

    async def call(self, job, state, **more):
        """Sends a callback, and repeats it until it is answered, ten times at most."""
        text = json.dumps(dict(id=job.id, **{"from": self.name}, state=state, **more)).encode()
        for attempt in range(1, 11):
            try:
                status = await asyncio.wait_for(self.post(text), 0.5)
                self.record(self.name, f"callback {state} {job.id} #{job.number} call {attempt} answered {status}")
                if status in (200, 204):
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                self.record(self.name, f"callback {state} {job.id} #{job.number} call {attempt} not answered")
            await asyncio.sleep(0.1)

    async def post(self, text):
        reader, writer = await asyncio.open_connection(*split(self.scheduler))
        try:
            head = f"POST /callback HTTP/1.1\r\nHost: app.svc\r\nContent-Type: application/json\r\n"
            writer.write(f"{head}Content-Length: {len(text)}\r\n\r\n".encode() + text)
            await writer.drain()
            answer = await read_message(reader)
            if answer is None:
                raise ConnectionResetError
            return answer.status
        finally:
            writer.close()


class AnswerDroppingProxy:
    """A proxy between workers and a scheduler: passes every message on, and drops the answers to those
    callbacks for which `drops(callback)` is true; the connection then stays open and silent."""

    def __init__(self, record, scheduler, drops):
        self.record, self.scheduler, self.drops = record, scheduler, drops

    async def start(self):
        self.server, self.address = await serve(self.handle)

    async def handle(self, reader, writer):
        while message := await read_message(reader):
            up_reader, up_writer = await asyncio.open_connection(*split(self.scheduler))
            head = f"{message.start}\r\nHost: app.svc\r\nContent-Length: {len(message.body)}\r\n\r\n"
            up_writer.write(head.encode() + message.body)
            answer = await read_message(up_reader)
            up_writer.close()
            if answer is None:
                return
            call = json.loads(message.body)
            if self.drops(call):
                self.record("network", f"the scheduler's answer {answer.status} to {call['state']} {call['id']} "
                                       f"from {call['from']} is lost")
                await reader.read()
                return
            writer.write(response(answer.status, answer.body))
            await writer.drain()


class AnswerProxy:
    """A proxy between a scheduler and a worker. `on_answer(message, answer)` says what becomes of the worker's
    answer to a request: "pass", "reset" (both connections are reset in its place) or a delay in seconds."""

    def __init__(self, record, worker, on_answer):
        self.record, self.worker, self.on_answer = record, worker, on_answer

    async def start(self):
        self.server, self.address = await serve(self.handle)

    async def handle(self, reader, writer):
        up_reader, up_writer = await asyncio.open_connection(*split(self.worker.direct_address))
        try:
            while message := await read_message(reader):
                lines = [message.start] + [f"{name}: {value}" for name, value in message.headers.items()]
                up_writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + message.body)
                answer = await read_message(up_reader)
                if answer is None:
                    return
                fate = self.on_answer(message, answer)
                id = message.headers.get("x-trace-id", "-")
                if fate == "reset":
                    self.record("network", f"connection to {self.worker.name} reset before the {answer.status} to {id}")
                    up_writer.transport.abort()
                    writer.transport.abort()
                    return
                if fate != "pass":
                    self.record("network", f"the {answer.status} of {self.worker.name} to {id} is {fate} s late")
                    await asyncio.sleep(fate)
                writer.write(response(answer.status, answer.body))
                await writer.drain()
        finally:
            up_writer.close()


async def behind_proxy(record, worker, on_answer):
    """Puts a started worker behind a proxy: schedulers reach the worker at the proxy's address."""
    worker.direct_address = worker.address
    proxy = AnswerProxy(record, worker, on_answer)
    await proxy.start()
    worker.address = proxy.address


def request(target, headers, body=b"work"):
    lines = [f"POST {target} HTTP/1.1", "Host: app.svc"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


class Client:
    """A client of one scheduler: sends one request on a connection and waits for its answer."""

    def __init__(self, record, scheduler):
        self.record, self.scheduler, self.answers = record, scheduler, {}

    async def job(self, id, class_name, key="k", wait_ms=5000, extra=None, patience=None):
        """Sends one job; returns the answer's status, or None if there is none within `patience` seconds."""
        headers = {"X-Trace-Id": id, "X-Qos": class_name, "X-Expires-In": f"{wait_ms}m", **(extra or {})}
        reader, writer = await asyncio.open_connection(*split(self.scheduler))
        self.record("client", f"request {id} {class_name}/{key} sent")
        writer.write(request(f"/{class_name}/{key}", headers))
        try:
            answer = await asyncio.wait_for(read_message(reader), patience or wait_ms / 1000 + 0.6)
            status = answer and answer.status
            text = answer.body.decode("latin-1").strip() if answer else "connection closed without an answer"
        except asyncio.TimeoutError:
            status, text = None, "no answer in time"
        writer.close()
        self.record("client", f"request {id} answered {status}: {text}")
        self.answers[id] = status
        return status


def settings(services, kinds=("m",), areas=("a",), balancers=1, me=0, **changes):
    """The settings of a small deployment, with the names and the values of WIRE's sample where nothing is
    given."""
    value = {
        "accounts": [], "areas": list(areas), "balancers": balancers,
        "charges": {"connection": 0.0, "cross_zone": 0.028, "discovery": 0.01, "handshake": 0.0,
                    "late_fail": 0.03, "moves": 0.0, "origin": 0.0, "peer": 0.01, "probe": 0.0, "waste": 0.1},
        "clients": {"marks_retry": True}, "counted_by": "work", "discovery": "ask",
        "goal": {"whole": 0.65, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.15},
        "kinds": list(kinds),
        "limits": {"conn_idle": 60000000, "cpu_us_per_request": 10.0, "cpu_us_per_s": 15000,
                   "dial_timeout": 250000, "max_attempts": 6, "max_retry_after": 2000000, "may_cancel": True,
                   "may_probe": False, "most_held": 20000, "multiplex": 1, "peers": False,
                   "retry_after": True, "second_copies": True},
        "me": me, "over_share_worth": 0.1,
        "rules": {"answer_slack": 16000, "ask_within": 10000000, "cold": 24000000, "fall": 2000000,
                  "start_capacity": 0.2, "stop_sending_within": 500000, "tip_multiple": 2.5},
        "service_type": "jobs", "services": services,
        "specifics": {"class_kind": [-1] * len(services), "class_priority": [0] * len(services),
                      "class_stretch": [2.0] * len(services), "notes": "1 it has started, 2 share done",
                      "progress": 1000000, "queue_order": "backfill", "tells_start": True},
        "stats": {"fields": [], "via": "off"}, "tick": 4000, "tier": 0, "tiers": ["workers"],
        "weights": "rough", "zone": 0,
    }
    for key, change in changes.items():
        if isinstance(value[key], dict):
            value[key].update(change)
        else:
            value[key] = change
    return value


def service(name, repeat, deadline_ms=5000, aim_ms=500, window_ms=15000, group="all", late_share=0.5):
    return {"aim": aim_ms * 1000, "deadline": deadline_ms * 1000, "group": group, "importance": 1.0,
            "late_share": late_share, "name": name, "repeat": repeat, "stream": False,
            "window": window_ms * 1000}


class Scheduler:
    """The daemon as a platform starts it: `run` of the deploy file, from the repository's root."""

    def __init__(self, record, folder, name, discovery, settings, known=None, listen=None, log_filter=None):
        self.record, self.folder, self.name = record, folder, name
        self.listen, self.discovery = listen or free_address(), discovery
        self.settings, self.known = settings, known or {"generation": 0, "reset": True, "instances": []}
        self.extra = {}
        self.processes = []
        self.log_filter = log_filter

    def write_config(self):
        path = os.path.join(self.folder, f"{self.name}.json")
        config = {"name": self.name, "listen": self.listen, "discovery": self.discovery,
                  "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "known": self.known, "settings": self.settings, **self.extra}
        with open(path + ".new", "w") as file:
            json.dump(config, file)
        os.rename(path + ".new", path)
        return path

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        home = os.path.join(self.folder, f"tmp-{self.name}")
        os.makedirs(home, exist_ok=True)
        env = {"PATH": os.environ["PATH"], "TMPDIR": home, "BALANCER_NAME": self.name,
               "BALANCER_LISTEN": self.listen, "BALANCER_DISCOVERY": self.discovery,
               "BALANCER_CONFIG": self.write_config()}
        if self.log_filter:
            env["RUST_LOG"] = self.log_filter
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        process = await asyncio.create_subprocess_exec("/bin/sh", "-c", run, cwd=ROOT, env=env,
                                                       stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
                                                       preexec_fn=self.limit_descriptors)
        log.close()
        self.processes.append(process)
        self.record(self.name, f"process started, listens at {self.listen}")
        return process

    def limit_descriptors(self):
        """Runs in the new process: it may hold as many descriptors as its configuration says."""
        sockets = self.extra.get("limits", {"sockets": 1024})["sockets"]
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))

    async def ready(self, limit=30):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(*split(self.listen))
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                answer = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if answer and answer.status == 200:
                    self.record(self.name, "ready")
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False

    def signal(self, number, process=None):
        process = process or self.processes[-1]
        self.record(self.name, f"gets {signal.Signals(number).name}")
        process.send_signal(number)

    async def end(self):
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()


class CannotRun(Exception):
    pass


def main(case, folder):
    """Runs `case(record, folder, trouble)`, which returns a list of broken rules, and exits as the platform
    expects: 1 if a rule was broken, 0 if it held, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record("case", f"trouble is {'on' if trouble else 'off'}")

    async def bounded():
        with tempfile.TemporaryDirectory(prefix="vb-") as temporary:
            return await asyncio.wait_for(case(record, temporary, trouble), 100)

    try:
        broken = asyncio.run(bounded())
    except Exception as error:  # whatever it is, it says nothing about the rule
        record("case", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        record("case", f"BROKEN: {line}")
        print(f"BROKEN: {line}")
    if not broken:
        record("case", "the rule held")
        print("the rule held")
    sys.exit(1 if broken else 0)
