// Package plans executes planned changes that operators declare: drain, replace, withdraw, role
// change and stop of an entry host.
//
// A gated target is an engine that can be ordered to admit no requests; its gate is closed while it admits
// none. A plan for a target without a gate relies on the entry hosts to send it no new requests.
//
// All plans of a data centre are stored in one object of the platform's object API and changed by
// conditional updates only, so that they outlive the host that executes them. Advance and Actions make
// the decisions and do no I/O; Runner executes plans while its host holds the lease.
package plans
