"""The HTTP gateway: routes requests of callers to upstreams and to engines that run whole paths."""
