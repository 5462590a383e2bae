// Package crashguard applies package quarantine in an entry host: it decides which requests may run on engines, by how
// earlier runs ended, load reports and digests of peers. A suspect, a request that was running on an engine when the
// engine was lost, runs once more as the only suspect on its engine (a trial).
//
// It serves the entry hosts of package entry/host. Those of package platform/host use package control/crashtracker
// instead, which runs no trials.
package crashguard
