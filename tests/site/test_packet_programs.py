"""The packet programs as processes, on loopback, with a stand-in store."""

import json
import os
import signal
import socket
import subprocess  # noqa: S404
import sys
import time
from contextlib import ExitStack, suppress
from pathlib import Path
from tempfile import TemporaryDirectory
from threading import Event, Thread
from typing import Any
from unittest import TestCase
from urllib.error import HTTPError
from urllib.request import urlopen

from keelgap.addresses import Address
from keelgap.catalog.models import PacketUpstream
from keelgap_platform.documents import ROUTES_KEY
from keelgap_platform.samples import (
    make_evacuation_key,
    make_routes_document,
    make_upstream_document,
    make_upstream_key,
)
from keelgap_platform.store_standin import PacketStore
from tests.packets.building import (
    ACK,
    BOARD,
    FORMAT,
    RST,
    SYN,
    FlowName,
    make_packet,
    make_upstream,
)
from tests.processes import takes_signal

DEPLOY = Path(__file__).parents[2] / 'deploy'
LAUNCHERS = {
    'keelgap_balancer': DEPLOY / 'balancer.py',
    'keelgap_agent': DEPLOY / 'agent.py',
}
BALANCER = '127.10.0.1'
AGENT = '127.10.0.2'
CALLER = '127.10.1.1'
UPSTREAM = make_upstream(1)._replace(upstream_id='i-1')
UPSTREAM_KEY = make_upstream_key(UPSTREAM.upstream_id)
BALANCER_INI = """
[instance]
name = balancer
address = {balancer}
availability_zone = a
[listen]
callers = {balancer}:{port}
peer_port = {peer}
ready = {balancer}:{ready}
control = {balancer}:{control}
metrics_port = {metrics}
[store]
address = {store}
"""
AGENT_INI = """
[instance]
name = agent
address = {agent}
availability_zone = a
[listen]
upstream = {agent}:{outbound}
peer_port = {peer}
callers = {agent}:{port}
ready = {agent}:{ready}
[upstream]
service = board
address = {agent}:{app}
"""


#: What entries of other writers hold.
POISON = (
    b'[' * 100000,
    b'\xff\xfe',
    b'{}',
    b'{"State": "zombie"}',
    b'[]',
)
#: 1,100 entries and views; the octets of others' entries would be 20 MB.
MOST_GROWTH_KILOBYTES = 8192


#: A stand-in that is closed ends within this.
CLOSING_SECONDS = 0.1


def read_resident_kilobytes(pid: int) -> int:
    """Return the memory of a process."""
    status = Path(f'/proc/{pid}/status').read_text()
    line = next(one for one in status.splitlines() if 'VmRSS' in one)
    return int(line.split()[1])


def find_ports(count: int) -> list[int]:
    """Return ports that are free on loopback now."""
    with ExitStack() as stack:
        ports = []
        for _ in range(count):
            probe = stack.enter_context(socket.socket())
            probe.bind(('127.0.0.1', 0))
            ports.append(probe.getsockname()[1])
        return ports


class EchoUpstream:
    """Accepts every flow and answers every request; refuses the unknown."""

    def __init__(self, host: str, port: int, outbound: int) -> None:
        """Serve on a thread."""
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((host, port))
        self.outbound = (host, outbound)
        self.flows: set[bytes] = set()
        self.sock.settimeout(CLOSING_SECONDS)
        self.closing = Event()
        self.thread = Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self) -> None:
        """Answer until this is closed."""
        while not self.closing.is_set():
            with suppress(TimeoutError):
                datagram = self.sock.recv(2048)
                self.sock.sendto(self.answer(datagram), self.outbound)

    def close(self) -> None:
        """Stop to serve, and free the port.

        A socket that is closed while a thread waits on it stays bound, and an
        agent of a later test that was given its port did not start.
        """
        self.closing.set()
        self.thread.join()
        self.sock.close()

    def answer(self, datagram: bytes) -> bytes:
        """Return the packet for a packet."""
        key = FORMAT.caller_key(datagram)
        head = bytearray(make_packet(self.name_flow(key), ACK, back=True))
        if datagram[26] & SYN:
            self.flows.add(key)
            head[26] = SYN | ACK
            return bytes(head)
        if key in self.flows:
            data = b'HTTP/1.1 200 OK\r\n\r\n'
            head[:2] = len(data).to_bytes(2, 'little')
            return bytes(head) + data
        bounced = bytearray(datagram)
        bounced[26] |= 1
        return bytes(bounced)

    def name_flow(self, key: bytes) -> FlowName:
        """Return the flow that a key stands for."""
        return FlowName(CALLER, int.from_bytes(key[4:6], 'little'))


class ProgramTests(TestCase):
    """Start, serve, stop, reload; a stuck log; bad settings."""

    def setUp(self) -> None:
        """Start a store, an upstream, an agent and a balancer."""
        self.stack = ExitStack()
        self.addCleanup(self.stack.close)
        self.folder = self.stack.enter_context(TemporaryDirectory())
        names = ('port', 'peer', 'ready', 'control', 'metrics')
        self.values: dict[str, Any] = dict(
            zip((*names, 'outbound', 'app'), find_ports(7), strict=True),
        )
        self.store = PacketStore('127.0.0.1')
        self.stack.callback(self.store.close)
        self.values.update(
            balancer=BALANCER,
            agent=AGENT,
            store=self.store.address,
        )
        app = self.values['app']
        self.upstream = EchoUpstream(AGENT, app, self.values['outbound'])
        self.stack.callback(self.upstream.close)
        self.publish()
        self.caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.stack.callback(self.caller.close)
        self.caller.bind((CALLER, self.values['port']))
        self.caller.settimeout(0.5)
        self.agent = self.start('keelgap_agent', AGENT_INI)
        self.balancer = self.start('keelgap_balancer', BALANCER_INI)
        self.wait_until_ready()

    def publish(self) -> None:
        """Write the routes and the upstream into the store."""
        routes = make_routes_document(1, (BOARD,), ('board', 'proof'))
        self.store.put(ROUTES_KEY, routes)
        self.report(UPSTREAM)

    def report(self, upstream: PacketUpstream) -> None:
        """Write the report of an upstream beside the agent."""
        address = Address(AGENT, self.values['app'])
        document = make_upstream_document(upstream._replace(address=address))
        self.store.put(make_upstream_key(upstream.upstream_id), document)

    def start(self, package: str, ini: str) -> subprocess.Popen[bytes]:
        """Start one program; it is ended with the test."""
        path = Path(self.folder, f'{package}.ini')
        path.write_text(ini.format(**self.values))
        return self.run_program(package, path, package)

    def run_program(
        self,
        package: str,
        path: Path,
        log_name: str,
    ) -> subprocess.Popen[bytes]:
        """Run a program with a settings file; its log gets a name."""
        log = self.stack.enter_context(Path(self.folder, log_name).open('ab'))
        process = subprocess.Popen(  # noqa: S603
            [sys.executable, str(LAUNCHERS[package]), str(path)],
            stdout=log,
        )
        self.stack.callback(process.wait)
        self.stack.callback(process.kill)
        return process

    def read_log(self, package: str) -> list[dict[str, Any]]:
        """Return the lines that a program wrote."""
        text = Path(self.folder, package).read_text()
        return [json.loads(line) for line in text.splitlines()]

    def get(self, port: str, path: str) -> tuple[int, bytes]:
        """Read a page of the balancer."""
        url = f'http://{BALANCER}:{self.values[port]}{path}'
        try:
            with urlopen(url, timeout=2) as page:  # noqa: S310
                return page.status, page.read()
        except HTTPError as error:
            return error.code, b''
        except OSError:
            return 0, b''

    def wait_for(self, holds: Any, seconds: float = 10) -> None:
        """Wait until something holds."""
        end = time.monotonic() + seconds
        while not holds():
            self.assertLess(time.monotonic(), end)
            time.sleep(0.02)

    def wait_until_ready(self) -> None:
        """Wait until the routers would send callers here."""
        self.wait_for(lambda: self.get('ready', '/-/ready')[0] == 200)

    def send(self, port: int, flags: int, data: bytes = b'') -> bytes:
        """Send a packet and return the answer, after copies if need be."""
        packet = make_packet(FlowName(CALLER, port), flags, data=data)
        for _ in range(20):
            self.caller.sendto(packet, (BALANCER, self.values['port']))
            with suppress(TimeoutError):
                return self.receive(port, is_opening=bool(flags & SYN))
        raise AssertionError('no answer')

    def receive(self, port: int, *, is_opening: bool) -> bytes:
        """Return the next answer; raise TimeoutError.

        On a busy machine the copy of a packet is answered after its original,
        when the caller has gone on.
        """
        while True:
            answer = self.caller.recv(2048)
            receiver = int.from_bytes(answer[2:4], 'little')
            is_late = answer[26] == SYN | ACK and not is_opening
            if receiver == port and not is_late:
                return answer

    def open(self, port: int) -> None:
        """Open a flow and have one request answered."""
        self.assertEqual(self.send(port, SYN)[26], SYN | ACK)
        data = b'GET / HTTP/1.1\r\nX-Keelgap-Request-Id: r%d\r\n\r\n' % port
        self.assertIn(b'200', self.send(port, ACK, data))

    def test_flow_is_served_and_survives_restarts(self) -> None:
        """Of the balancer, then of the agent; its upstream lives on."""
        self.open(1)
        self.balancer.kill()
        self.balancer.wait()
        self.balancer = self.start('keelgap_balancer', BALANCER_INI)
        self.wait_until_ready()
        self.assertIn(b'200', self.send(1, ACK, b'more'))
        self.agent.kill()
        self.agent.wait()
        self.agent = self.start('keelgap_agent', AGENT_INI)
        self.assertIn(b'200', self.send(1, ACK, b'more'))
        self.upstream.flows.clear()
        self.assertEqual(self.send(1, ACK, b'more')[26], RST)

    def test_planned_stop_tells_the_routers_first(self) -> None:
        """It goes on forwarding, and then ends by itself with status 0."""
        self.open(1)
        self.balancer.send_signal(signal.SIGTERM)
        self.wait_for(lambda: self.get('ready', '/-/ready')[0] == 503)
        self.assertIn(b'200', self.send(1, ACK, b'more'))
        self.assertEqual(self.balancer.wait(10), 0)
        self.agent.send_signal(signal.SIGTERM)
        self.assertEqual(self.agent.wait(10), 0)
        events = [line['event'] for line in self.read_log('keelgap_agent')]
        self.assertEqual(events[0], 'started')
        self.assertEqual(events[-1], 'stopped')
        answered = [
            line
            for line in self.read_log('keelgap_agent')
            if line['event'] == 'request_answered'
        ]
        self.assertEqual(answered[0]['request'], 'r1')

    def test_reload_signal_ends_nothing(self) -> None:
        """Also one that comes while the programs still start.

        Found by this test: SIGHUP ended an agent during its imports.
        """
        self.agent.kill()
        self.agent.wait()
        self.agent = self.start('keelgap_agent', AGENT_INI)
        # Before its first lines the interpreter itself takes no signal.
        self.wait_for(lambda: takes_signal(self.agent.pid, signal.SIGHUP))
        for process in (self.balancer, self.agent):
            process.send_signal(signal.SIGHUP)
        self.open(1)
        self.wait_for(
            lambda: any(
                line['event'] == 'reloaded'
                for line in self.read_log('keelgap_balancer')
            ),
        )
        self.assertIsNone(self.balancer.poll())
        self.assertIsNone(self.agent.poll())

    def test_stop_signal_during_the_start_is_no_failure(self) -> None:
        """Nothing is served yet, so the program may end at once.

        Found by the soak (seed 109): a program that was told to stop while
        it imported its code ended with -15.
        """
        for package, ini in (
            ('keelgap_agent', AGENT_INI),
            ('keelgap_balancer', BALANCER_INI),
        ):
            for process in (self.agent, self.balancer):
                process.kill()
                process.wait()
            started = self.start(package, ini)
            pid = started.pid
            # Not for SIGHUP, which a program started by nohup always ignores.
            while not takes_signal(pid, signal.SIGTERM):
                time.sleep(0)
            started.send_signal(signal.SIGTERM)
            self.assertEqual(started.wait(10), 0)

    def read_events(self, package: str, event: str) -> list[dict[str, Any]]:
        """Return the lines of one event."""
        lines = self.read_log(package)
        return [line for line in lines if line['event'] == event]

    def test_changed_file_is_taken_and_a_bad_one_is_not(self) -> None:
        """Without a signal; the service is checked with each packet."""
        self.wait_for(lambda: self.read_events('keelgap_agent', 'started'))
        path = Path(self.folder, 'keelgap_agent.ini')
        text = path.read_text()
        path.write_text(text.replace('service = ', 'servant = '))
        self.wait_for(
            lambda: self.read_events('keelgap_agent', 'reload_refused'),
        )
        self.open(1)
        path.write_text(text.replace('service = board', 'service = proof'))
        self.wait_for(lambda: self.read_events('keelgap_agent', 'reloaded'))
        (line,) = self.read_events('keelgap_agent', 'reloaded')
        self.assertEqual(line['changed'], ['upstream.service'])
        self.assertEqual(line['needs_restart'], [])
        self.assertEqual(self.send(2, SYN)[26], RST)

    def read_catalog(self) -> dict[str, Any]:
        """Return the line about the latest catalog of the balancer."""
        lines = self.read_events('keelgap_balancer', 'catalog_in_force')
        return lines[-1] if lines else {'revision': 0}

    def test_a_thousand_entries_of_another_writer_harm_nobody(self) -> None:
        """No program ends, open flows go on, and the good entry serves."""
        self.open(1)
        before = read_resident_kilobytes(self.balancer.pid)
        good = make_upstream_document(UPSTREAM)
        for number in range(1000):
            key = make_upstream_key(f'other-{number}')
            self.store.put_octets(key, POISON[number % len(POISON)])
            if number % 10 == 0:
                fine = {**good, 'Address': f'127.10.9.{number // 10 + 1}:80'}
                self.store.put(make_upstream_key(f'good-{number}'), fine)
        revision = self.store.revision
        self.wait_for(lambda: self.read_catalog()['revision'] >= revision)
        self.assertEqual(self.send(1, ACK, b'GET')[26], ACK)
        lines = self.read_events('keelgap_balancer', 'entries_refused')
        self.assertEqual(sum(line['count'] for line in lines), 1000)
        self.assertLess(len(lines), 100)
        self.assertEqual(self.read_catalog()['upstreams'], 101)
        after = read_resident_kilobytes(self.balancer.pid)
        self.assertLess(after - before, MOST_GROWTH_KILOBYTES)

    def read_zone_changes(self) -> list[dict[str, Any]]:
        """Return the balancer's lines about zones."""
        return self.read_events('keelgap_balancer', 'zones_changed')

    def test_zone_out_of_service_takes_no_new_flows(self) -> None:
        """They are refused at once; open flows go on; then it serves again.

        Also where the agent is told by nobody but an older notice.
        """
        self.open(1)
        mark = make_evacuation_key('a')
        self.store.put(mark, {})
        self.wait_for(
            lambda: self.read_events('keelgap_agent', 'zone_left'),
        )
        self.assertEqual(self.send(2, SYN)[26], RST)
        self.assertEqual(self.send(1, ACK, b'GET')[26], ACK)
        self.store.remove(mark)
        self.wait_for(
            lambda: self.read_events('keelgap_agent', 'zone_returned'),
        )
        self.open(3)
        # Lines are flushed now and then, and the agent's may come first.
        self.wait_for(lambda: len(self.read_zone_changes()) > 1)
        returned = [line['returned'] for line in self.read_zone_changes()]
        self.assertEqual(returned, [[], ['a']])

    def test_upstream_that_starts_again_under_its_id(self) -> None:
        """Its flows are dead and reset at once; new ones open."""
        self.report(UPSTREAM._replace(started=1000))
        self.open(1)
        self.upstream.flows.clear()
        self.report(UPSTREAM._replace(started=2000))
        self.assertEqual(self.send(1, ACK, b'GET')[26], RST)
        self.open(2)

    def test_store_may_go_and_forget(self) -> None:
        """What was in force stays, and what changed is read again."""
        self.store.refuses = True
        self.store.put(ROUTES_KEY, {'Version': 2, 'Routes': [], 'Limits': {}})
        self.open(1)
        self.store.refuses = False
        self.store.loses_history = True
        self.store.remove(UPSTREAM_KEY)
        self.wait_for(
            lambda: self.send(9, SYN)[26] == RST,
        )

    def test_store_that_swallowed_a_watch_is_asked_anew(self) -> None:
        """Its connection is acknowledged, but no answer comes any more.

        Found on edspa-keelgap-grown trouble-3: what changed afterwards was
        known after 22 s.
        """
        self.open(1)
        self.store.never_answers = True
        # Ends the watch that waits, on a connection that then is silent.
        self.store.put('other', {})
        time.sleep(0.5)
        self.store.never_answers = False
        self.store.remove(UPSTREAM_KEY)
        removed = time.monotonic()
        self.wait_for(
            lambda: self.read_events('keelgap_balancer', 'upstream_gone'),
        )
        self.assertLess(time.monotonic() - removed, 3)

    def test_balancers_beyond_the_third_follow_the_others(self) -> None:
        """They learn of changes at once, and call the store no more."""
        hosts = [f'127.10.0.{number}' for number in range(10, 15)]
        for host in hosts:
            self.start_balancer(host)
        for host in hosts:
            self.wait_until_balancer_is_ready(host)
        logs = ['keelgap_balancer', *(f'balancer-{host}' for host in hosts)]
        self.wait_for(lambda: self.count_logs(logs, 'following_readers') == 3)
        self.store.remove(UPSTREAM_KEY)
        self.wait_for(
            lambda: self.count_logs(logs, 'upstream_gone') == len(logs),
            2,
        )

    def count_logs(self, logs: list[str], event: str) -> int:
        """Return in how many logs an event is."""
        return sum(bool(self.read_events(log, event)) for log in logs)

    def start_balancer(self, host: str) -> None:
        """Start another balancer, which knows the first as its seed."""
        values = {**self.values, 'balancer': host}
        text = BALANCER_INI.format(**values)
        control = self.values['control']
        seeded = text.replace(
            '[store]', f'seeds = {BALANCER}:{control}\n[store]'
        )
        path = Path(self.folder, f'{host}.ini')
        path.write_text(seeded)
        self.run_program('keelgap_balancer', path, f'balancer-{host}')

    def wait_until_balancer_is_ready(self, host: str) -> None:
        """Wait until the routers would send callers to a balancer."""
        url = f'http://{host}:{self.values["ready"]}/-/ready'

        def is_ready() -> bool:
            try:
                with urlopen(url, timeout=2) as page:  # noqa: S310
                    return bool(page.status == 200)
            except OSError:
                return False

        self.wait_for(is_ready)

    def test_metrics_page_comes_after_its_library(self) -> None:
        """The first call is answered at once, with a later time."""
        self.open(1)
        self.assertEqual(self.get('metrics', '/metrics')[0], 503)
        self.wait_for(lambda: self.get('metrics', '/metrics')[0] == 200)
        body = self.get('metrics', '/metrics')[1].decode()
        self.assertIn('keelgap_catalog_revision', body)
        self.assertIn('keelgap_events_total', body)

    def test_stuck_log_delays_no_packet(self) -> None:
        """Nobody reads the pipe behind the balancer's standard output."""
        self.balancer.kill()
        self.balancer.wait()
        reader, writer = os.pipe()
        self.stack.callback(os.close, reader)
        path = Path(self.folder, 'keelgap_balancer.ini')
        process = subprocess.Popen(  # noqa: S603
            [sys.executable, '-m', 'keelgap_balancer.packets', str(path)],
            stdout=writer,
        )
        os.close(writer)
        self.stack.callback(process.wait)
        self.stack.callback(process.kill)
        self.wait_until_ready()
        stray = make_packet(
            FlowName(CALLER, 7)._replace(
                route=FlowName(CALLER, 7).route._replace(port=9),
            ),
            SYN,
        )
        for number in range(900):
            self.caller.sendto(stray, (BALANCER, self.values['port']))
            if number % 30 == 0:
                time.sleep(0.2)
            self.caller.recv(2048)
        started = time.monotonic()
        self.open(1)
        self.assertLess(time.monotonic() - started, 1)

    def test_bad_settings_are_all_named(self) -> None:
        """And nothing is bound."""
        path = Path(self.folder, 'bad.ini')
        text = BALANCER_INI.format(**self.values)
        path.write_text(text.replace('peer_port', 'pear_port'))
        done = subprocess.run(  # noqa: S603
            [sys.executable, '-m', 'keelgap_balancer.packets', str(path)],
            capture_output=True,
            text=True,
            timeout=10,
            check=False,
        )
        self.assertEqual(done.returncode, 2)
        self.assertIn('pear_port', done.stderr)
        self.assertIn('peer_port', done.stderr)
