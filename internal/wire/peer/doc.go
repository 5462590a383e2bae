// Package peer defines the gRPC protocol between entry hosts: heartbeats, forwarded requests, joins to answers that
// another host holds, forwarded claims, and configuration for hosts that cannot reach the platform.
package peer
