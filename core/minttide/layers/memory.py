"""Sizes and times of requests on engines: memory beside the weights, steps, prompts, links."""

from minttide.routing.routes import AcceleratorSpec, ModelSpec

BYTES_PER_MB = 1e6
BITS_PER_BYTE = 8
BITS_PER_MS_AND_MBPS = 1000.0


def token_capacity(model: ModelSpec, kind: AcceleratorSpec, layers: int) -> float:
    """Return how many tokens of requests fit beside `layers` layers; below 0 they don't fit."""
    if layers <= 0:
        return 0.0
    free_bytes = (kind.memory_mb - layers * model.layer_mb) * BYTES_PER_MB
    return free_bytes / (model.kv_token_bytes / model.layers * layers)


def most_layers(model: ModelSpec, kind: AcceleratorSpec, tokens: float) -> int:
    """Return the most layers that leave room for `tokens` tokens, 0 where none do."""
    for layers in range(model.layers, 0, -1):
        if token_capacity(model, kind, layers) >= tokens:
            return layers
    return 0


def stream_tokens(model: ModelSpec) -> float:
    """Return the mean tokens of a usual request while it runs."""
    return model.usual_prompt + model.usual_answer / 2


def step_ms(model: ModelSpec, kind: AcceleratorSpec, layers: int, streams: float) -> float:
    """Return the time of one step of `streams` usual requests through `layers` layers."""
    context_k = streams * stream_tokens(model) / 1000.0
    whole = model.step_ms + streams * model.stream_ms + context_k * model.context_ms_per_k
    return whole * kind.step_factor * layers / model.layers


def read_ms(model: ModelSpec, kind: AcceleratorSpec, layers: int, tokens: float) -> float:
    """Return the time to read a prompt of `tokens` tokens through `layers` layers."""
    whole_ms = tokens / model.read_tokens_per_s * 1000.0
    return whole_ms * kind.read_factor * layers / model.layers


def transfer_ms(model: ModelSpec, tokens: float) -> float:
    """Return how long the activations of `tokens` tokens hold the link between two zones."""
    if model.zone_link_mbps <= 0:
        return 0.0
    bits = tokens * model.activation_bytes * BITS_PER_BYTE
    return bits / model.zone_link_mbps / BITS_PER_MS_AND_MBPS
