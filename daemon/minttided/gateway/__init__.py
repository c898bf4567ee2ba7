"""The HTTP gateway: routes client requests to plain upstreams and to pipelines of engines."""
