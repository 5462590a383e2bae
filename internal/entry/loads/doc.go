// Package loads keeps the targets' last load reports, polled from the engines or told by peers.
package loads
