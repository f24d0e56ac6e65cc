"""Starts a stand-in and several hosts on loopback, for the demo and the tests of real processes."""

import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

DOMAINS = {"muscat": ["ruwi", "seeb", "qurum"], "sul": ["sul-poa", "sul-cwb", "sul-fln", "sul-jvl"]}
SERVICES = {
    "muscat": ["fitting-desk", "stitch-log", "depot-counter", "leather-stock"],
    "sul": ["painel", "conciliador", "faturas", "ingestor"],
}
WAIT_SECONDS = 60  # Generous, because the machine may be busy; waits end as soon as the condition holds.


class CheckFailed(Exception):
    pass


def check(condition, text):
    if not condition:
        raise CheckFailed(text)


def wait_until(text, condition, seconds=WAIT_SECONDS):
    """Polls until the condition holds and returns its value."""
    end = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise CheckFailed("not reached in %d s: %s" % (seconds, text))
        time.sleep(0.05)


def call(address, path, body=None, timeout=30):
    """Returns status and body (parsed if JSON), with a redirect its target; status 0 without an answer."""
    data = None if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
    request = urllib.request.Request("http://%s%s" % (address, path), data=data)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            status, text = response.status, response.read()
    except urllib.error.HTTPError as error:
        status, text = error.code, error.read()
        if status == 307:
            return status, error.headers["Location"]
    except (OSError, ValueError) as error:
        return 0, str(error)
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text.decode(errors="replace")


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for it in sockets:
        it.bind(("127.0.0.1", 0))
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


class Host:
    def __init__(self, name, domain, ports, folder):
        self.name, self.domain, self.folder = name, domain, folder
        self.caller, self.peer, self.operator = ["127.0.0.1:%d" % port for port in ports]
        self.process = None

    def search(self, account, service, query, deadline_ms=5000):
        return call(self.caller, "/v1/search", {"account": account, "service": service, "query": query,
                                                "deadlineMs": deadline_ms})

    def execute(self, account, service, body, deadline_ms=5000):
        """Obtains a ticket and runs one non-idempotent request; returns ticket, status and answer."""
        status, answer = call(self.caller, "/v1/tickets", {"account": account, "service": service})
        if status != 200:
            return None, status, answer
        ticket = answer["ticket"]
        status, answer = call(self.caller, "/v1/execute", {"ticket": ticket, "account": account, "service": service,
                                                           "body": body, "deadlineMs": deadline_ms})
        return ticket, status, answer

    def status(self):
        status, answer = call(self.operator, "/v1/status", timeout=5)
        return answer if status == 200 else {}

    def is_ready(self):
        return call(self.operator, "/readyz", timeout=5)[0] == 200

    def table_version(self):
        return self.status().get("tableVersion", 0)

    def log(self):
        with open(os.path.join(self.folder, self.name + ".log"), errors="replace") as file:
            return file.read()


class Fleet:
    def __init__(self, build, deployment="muscat", hosts=3, scale=100, upstreams=None, settings=None):
        self.build, self.deployment, self.scale = build, deployment, scale
        self.host_count, self.upstreams, self.settings = hosts, upstreams or {}, settings or {}
        self.folder = tempfile.mkdtemp(prefix="papayabend-")
        self.values = os.path.join(self.folder, "values")
        self.processes = []
        self.hosts = []
        self.platform = None
        os.mkdir(self.values)

    def __enter__(self):
        signal.signal(signal.SIGTERM, lambda *_: (_ for _ in ()).throw(KeyboardInterrupt()))
        try:
            self.start_standin()
            self.start_hosts()
        except BaseException:
            self.__exit__(*([None] * 3))
            raise
        return self

    def __exit__(self, kind, *_):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if kind:
            for host in self.hosts:
                print("--- log of", host.name, "\n" + "\n".join(host.log().splitlines()[-15:]))
        shutil.rmtree(self.folder, ignore_errors=True)

    def program(self, name):
        folders = {"papayabend": "papayabend/cli", "papayabendd": "papayabend/daemon", "papayabend-standin": "standin"}
        return os.path.join(self.build, "Source", folders[name], name)

    def start(self, arguments, log):
        with open(os.path.join(self.folder, log), "a") as output:
            process = subprocess.Popen(arguments, stdout=output, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        self.processes.append(process)
        return process

    def write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path + ".new", "w") as file:
            file.write(text)
        os.replace(path + ".new", path)
        return path

    def publish_table(self, version, cells=None, text=None):
        services = SERVICES[self.deployment]
        if text is None:
            cells = cells or {"tailor": "weight=4 priority=interactive", "cobbler": "weight=1 priority=bulk"}
            rows = ["version,%d" % version, "account," + ",".join(services)]
            rows += [account + "," + ",".join([cell] * len(services)) for account, cell in cells.items()]
            text = "\n".join(rows) + "\n"
        self.write("values/table", text)

    def publish_hosts(self, version, leaving=()):
        hosts = [{"name": it.name, "callerAddress": it.caller, "peerAddress": it.peer, "failureDomain": it.domain,
                  "region": self.deployment, "state": "leaving" if it.name in leaving else "live"}
                 for it in self.hosts]
        self.write("values/hosts", json.dumps({"version": version, "hosts": hosts}))

    def start_standin(self):
        self.publish_table(1)
        path = self.write("standin.json", json.dumps({
            "deployment": self.deployment, "scalePercent": self.scale, "folder": self.values,
            "upstreams": self.upstreams, "platform": {"hostListLagMs": 200}}))
        process = self.start([self.program("papayabend-standin"), "--settings", path], "standin.log")
        log = os.path.join(self.folder, "standin.log")

        def line():
            check(process.poll() is None, "the stand-in ended: " + open(log).read())
            return "\n" in open(log).read()
        wait_until("stand-in started", line)
        self.platform = json.loads(open(log).readline())["platform"]

    def standin(self, path, body=None):
        status, answer = call(self.platform, "/standin/" + path, body)
        check(status == 200, "stand-in %s: %s %s" % (path, status, answer))
        return answer

    def start_host(self, host):
        settings = {
            "host": {"name": host.name, "failureDomain": host.domain, "region": self.deployment,
                     "callerAddress": host.caller, "peerAddress": host.peer, "operatorAddress": host.operator},
            "platform": {"address": self.platform, "seedPeers": [it.peer for it in self.hosts if it is not host]},
        }
        settings.update(self.settings)
        path = self.write(host.name + ".json", json.dumps(settings))
        host.process = self.start([self.program("papayabendd"), "--settings", path], host.name + ".log")

    def start_hosts(self):
        for _ in range(5):  # Another process may take a port between its choice and its use.
            ports = free_ports(3 * self.host_count)
            domains = DOMAINS[self.deployment]
            self.hosts = [Host("%s-%d" % (domains[n % len(domains)], n // len(domains) + 1),
                               domains[n % len(domains)], ports[3 * n:3 * n + 3], self.folder)
                          for n in range(self.host_count)]
            self.publish_hosts(1)
            for host in self.hosts:
                self.start_host(host)
            if wait_until("hosts serve or end", lambda: self.all_ready() or self.any_ended()) and not self.any_ended():
                return
            for host in self.hosts:
                host.process.kill()
        raise CheckFailed("the hosts cannot listen: " + self.hosts[0].log())

    def all_ready(self):
        return all(host.is_ready() for host in self.hosts)

    def any_ended(self):
        return any(host.process.poll() is not None for host in self.hosts)
