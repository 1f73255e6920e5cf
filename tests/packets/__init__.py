"""Packet flows: both programs against fakes of everything else."""
