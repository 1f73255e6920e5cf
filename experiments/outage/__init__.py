"""A model of an outage and the load after it, without network.

The reducers of balancers and agents are the real ones, on a virtual clock;
callers, routers, upstreams and the store are modelled from what the platform
promises of them.  ``scenario`` says what is played, ``callers`` and
``upstreams`` hold the two ends of flows, ``world`` ties them together,
``bound`` tells what a scheduler could do that knows everything.
"""
