"""Memory of a whole site during one long upload through a slow upstream.

Caller, balancer, agent and upstream share one process, so the growth is an
upper bound for the agent.  Prints one JSON object.
"""

import asyncio
import time
from contextlib import AsyncExitStack
from random import Random
from typing import Any, Final

import fire
import msgspec

from experiments.slopes import get_resident
from keelgap_standins.caller import open_caller
from keelgap_standins.site import ServiceSpec, Site

_MEGA: Final = 1000000
_SPEC: Final = ServiceSpec(
    'proof',
    ({'name': 'upload', 'path_prefix': '/upload', 'takes_slot': False},),
)


async def measure(seed: int, megabytes: int) -> dict[str, Any]:
    """Upload so many megabytes and sample the resident set."""
    async with AsyncExitStack() as stack:
        site = Site((_SPEC,), Random(seed), stack)
        await site.start(3, 1)
        await asyncio.sleep(2)
        started = time.monotonic()
        samples = []
        async with open_caller(site.get_public_address('proof'), 60) as caller:
            upload = asyncio.create_task(
                caller.upload('/upload', megabytes * _MEGA),
            )
            while not upload.done():
                await asyncio.sleep(1)
                samples.append(get_resident())
            answer = await upload
        seconds = time.monotonic() - started
    quarter = len(samples) // 4
    return {
        'experiment': 'upload',
        'seed': seed,
        'megabytes': megabytes,
        'whole': answer.body == f'proof upload {megabytes * _MEGA}'.encode(),
        'seconds': round(seconds, 1),
        'resident_mb_after_a_quarter': round(samples[quarter] / _MEGA, 1),
        'resident_mb_at_the_end': round(samples[-1] / _MEGA, 1),
        'resident_mb_most': round(max(samples) / _MEGA, 1),
    }


def main(seed: int = 1, megabytes: int = 200) -> None:
    """Run the experiment."""
    document = asyncio.run(measure(seed, megabytes))
    print(msgspec.json.encode(document).decode())


if __name__ == '__main__':
    fire.Fire(main)
