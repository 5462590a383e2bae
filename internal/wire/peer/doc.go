// Package peer defines the gRPC protocol between entry hosts: heartbeats, forwarded requests, answers that another
// host holds, claims of idempotency keys, placement of prompts, service-level counts, and configuration for hosts that
// cannot reach the platform.
package peer
