"""Memory, compute time and transfer time of requests on engines that hold layers of a model."""

from minttide.routing.routes import AcceleratorSpec, ModelSpec

BYTES_PER_MB = 1e6
BITS_PER_BYTE = 8
BITS_PER_MS_PER_MBPS = 1000.0


def token_capacity(model: ModelSpec, kind: AcceleratorSpec, layers: int) -> float:
    """Return how many tokens fit into memory beside `layers` layers.

    The result is negative when the layers themselves don't fit.
    """
    if layers <= 0:
        return 0.0
    free_bytes = (kind.memory_mb - layers * model.layer_mb) * BYTES_PER_MB
    return free_bytes / (model.kv_token_bytes / model.layers * layers)


def max_layers(model: ModelSpec, kind: AcceleratorSpec, tokens: float) -> int:
    """Return the largest number of layers that leaves memory for `tokens` tokens, or 0."""
    for layers in range(model.layers, 0, -1):
        if token_capacity(model, kind, layers) >= tokens:
            return layers
    return 0


def stream_tokens(model: ModelSpec) -> float:
    """Return the mean number of tokens that a typical request holds while it runs."""
    return model.usual_prompt + model.usual_answer / 2


def step_ms(model: ModelSpec, kind: AcceleratorSpec, layers: int, streams: float) -> float:
    """Return the time of one decode step of `streams` typical requests through `layers` layers."""
    context_k = streams * stream_tokens(model) / 1000.0
    model_ms = model.step_ms + streams * model.stream_ms + context_k * model.context_ms_per_k
    return model_ms * kind.step_factor * layers / model.layers


def prefill_ms(model: ModelSpec, kind: AcceleratorSpec, layers: int, tokens: float) -> float:
    """Return the prefill time of `tokens` tokens through `layers` layers."""
    model_ms = tokens / model.read_tokens_per_s * 1000.0
    return model_ms * kind.read_factor * layers / model.layers


def transfer_ms(model: ModelSpec, tokens: float) -> float:
    """Return how long the activations of `tokens` tokens occupy the link between two zones."""
    if model.zone_link_mbps <= 0:
        return 0.0
    bits = tokens * model.activation_bytes * BITS_PER_BYTE
    return bits / model.zone_link_mbps / BITS_PER_MS_PER_MBPS
