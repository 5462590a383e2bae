// Package peer speaks between entry hosts over gRPC: heartbeats, forwarded requests, joins of
// answers, forwarded claims and configuration for hosts that are cut off from the platform.
package peer
