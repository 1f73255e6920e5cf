"""A model of an outage and the load after it, without network.

The reducers of balancers and agents are the real ones, on a virtual clock;
callers, routers, upstreams and the store are modelled from what the platform
promises of them.  ``scenario`` says what is played, ``patterns`` names those
of the tests, ``callers``, ``population`` and ``upstreams`` are the two ends of
flows, ``world`` ties them to the programs on a virtual ``clock``, ``bound``
tells what a scheduler could do that knows everything.
"""
