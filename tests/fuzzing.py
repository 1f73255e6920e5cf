"""How stateful tests run: derandomised in CI, longer and seeded by hand."""

import os
from typing import Any

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    run_state_machine_as_test,
)

__all__ = ('run_machine',)


def run_machine(
    machine: type[RuleBasedStateMachine],
    examples: int,
    steps: int,
    *,
    shrink: bool = True,
) -> None:
    """Run a machine; ``make fuzz`` runs ten times as many examples."""
    longer = bool(os.environ.get('KEELGAP_FUZZ'))
    phases: Any = (Phase.generate, Phase.shrink) if shrink else [Phase.generate]
    chosen = settings(
        max_examples=examples * 10 if longer else examples,
        stateful_step_count=steps,
        derandomize=not longer,
        deadline=None,
        database=None,
        phases=phases,
        print_blob=False,
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )
    if longer:
        seed(int(os.environ.get('KEELGAP_SEED', '1')))(machine)
    run_state_machine_as_test(machine, settings=chosen)
