// Package metrics counts the requests of an entry host and serves a go-metrics registry in the Prometheus text format.
package metrics
