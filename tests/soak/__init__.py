"""A randomized soak: the real programs, with faults from outside of them.

    python -m tests.soak --seed 1 --count 50

docs/topics/soak.md has what it does and what it checks.
"""
