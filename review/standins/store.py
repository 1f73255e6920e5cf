"""The platform's store, read over HTTP/1.1 as PROTOCOL.md tells."""

import asyncio
import json
import time
from base64 import b64encode
from urllib.parse import parse_qs, urlsplit

HISTORY_SECONDS = 20.0
PAGE_ITEMS = 500
PAGE_OCTETS = 1048576


class Store:
    """Items with revisions, and the changes of the last seconds."""

    def __init__(self, record) -> None:
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 0
        #: Revision up to which the history was dropped.
        self.dropped = 0
        self.changed = asyncio.Condition()
        self.server = None

    async def open(self, host, port):
        """Serve."""
        self.server = await asyncio.start_server(self._serve, host, port)

    def close(self):
        """Stop serving."""
        if self.server is not None:
            self.server.close()

    async def put(self, key, document):
        """Write an item; returns its revision, which confirms it."""
        octets = json.dumps(document, separators=(',', ':')).encode()
        async with self.changed:
            self.revision += 1
            former = self.items.get(key)
            item = {
                'Key': key,
                'Value': b64encode(octets).decode(),
                'Revision': self.revision,
                'CreatedRev': former['CreatedRev'] if former else self.revision,
                'Lease': 0,
            }
            self.items[key] = item
            self._add_event(item)
            self.changed.notify_all()
        shown = octets.decode() if len(octets) < 1500 else f'{len(octets)} bytes'
        self.record.write(f'store confirmed {key} revision {self.revision}: {shown}')
        return self.revision

    async def remove(self, key):
        """Remove an item."""
        async with self.changed:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            self._add_event(
                {'Key': key, 'Revision': self.revision, 'Tombstone': True},
            )
            self.changed.notify_all()
        self.record.write(f'store removed {key} revision {self.revision}')

    def _add_event(self, event):
        now = time.monotonic()
        self.events.append((now, event))
        while self.events and now - self.events[0][0] > HISTORY_SECONDS:
            self.dropped = self.events.pop(0)[1]['Revision']

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                target = head.split(b' ', 2)[1].decode()
                split = urlsplit(target)
                query = parse_qs(split.query, keep_blank_values=True)
                status, body = await self._answer(split.path, query)
                content = json.dumps(body).encode()
                writer.write(
                    f'HTTP/1.1 {status} -\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(content)}\r\n\r\n'.encode(),
                )
                writer.write(content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query):
        if path == '/-/kv-key':
            item = self.items.get(query['Key'][0])
            return (200, item) if item else (404, {'Error': 'none'})
        if path == '/-/kv-range':
            return 200, self._make_page(
                query['Prefix'][0], query.get('after', [''])[0],
            )
        if path == '/-/kv-watch':
            return await self._watch(
                query['Prefix'][0],
                int(query['after'][0]),
                int(query['WaitMs'][0]) / 1000,
            )
        return 404, {'Error': 'no such call'}

    def _make_page(self, prefix, after):
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page, octets = [], 0
        for key in keys:
            if page and (len(page) >= PAGE_ITEMS or octets > PAGE_OCTETS):
                break
            page.append(self.items[key])
            octets += len(self.items[key]['Value']) * 3 // 4
        return {
            'items': page,
            'HasMore': len(page) < len(keys),
            'AsOf': self.revision,
        }

    async def _watch(self, prefix, after, seconds):
        if after < self.dropped:
            return 410, {'Error': 'history gone'}

        def find():
            return [
                event
                for _, event in self.events
                if event['Revision'] > after and event['Key'].startswith(prefix)
            ]

        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(find), seconds)
            except TimeoutError:
                pass
            if after < self.dropped:
                return 410, {'Error': 'history gone'}
            return 200, {'events': find(), 'AsOf': self.revision}
