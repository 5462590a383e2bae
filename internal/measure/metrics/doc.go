// Package metrics counts what an entry host does and serves the counts in the Prometheus text
// format.
package metrics
