"""How long one pass of a model engine over its batch takes, by the engine's published figures.

An engine generates tokens in passes of several steps. In each step every running request gets one
token, and up to a chunk of the waiting prompts is read. So a stream of a healthy group is never
silent for longer than the longest pass.
"""

from yewloom.values import value_class


@value_class
class EnginePace:
    """Published figures of an engine.

    A step takes ``step_s``, plus ``request_step_s`` for each running request, plus the time to read
    up to ``chunk_tokens`` of prompts. A pass has ``steps_per_pass`` steps.
    """

    step_s: float
    request_step_s: float
    read_tokens_per_s: float
    chunk_tokens: int
    steps_per_pass: int

    def usual_pass_s(self, running: int) -> float:
        """Return the duration of a pass in which no prompt is read."""
        return self.steps_per_pass * (self.step_s + self.request_step_s * running)

    def longest_pass_s(self, running: int) -> float:
        """Return the duration of a pass in which each step reads a whole chunk."""
        read_s = self.chunk_tokens / self.read_tokens_per_s
        return self.usual_pass_s(running) + self.steps_per_pass * read_s
