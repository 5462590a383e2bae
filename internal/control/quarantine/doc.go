// Package quarantine keeps a request that crashes its targets from crashing more than two of them,
// whichever entry hosts of a data centre it is sent to. Requests that only ran on the same target as
// the crashing one are not quarantined.
//
// A request is identified by its Fingerprint. A run is one execution of a request on a target; a cut
// run is one that its target broke off. When a target is lost, the loss is recorded for each
// fingerprint that ran on it. A fingerprint with one loss is a suspect. It runs once more, as a trial:
// as the only suspect on its target, and only on the host that recorded the loss (the origin), once
// every entry host of the data centre has confirmed the loss and that it has no run of the fingerprint
// left. If the trial completes, the fingerprint is cleared; if its target is lost, the fingerprint is
// quarantined until Options.QuarantineTerm has passed or an operator releases it.
//
// The bound: let k be the number of targets on which callers had the same request running at once
// before its first loss was known, and p the number of network partitions among the entry hosts of
// the data centre, where a host that is silent for Options.PeerTimeout counts as a partition. At most
// max(2, k, p) targets are lost to one fingerprint in one Options.QuarantineTerm, plus one for each
// entry host that dies while it runs the request or before its digest with the loss has arrived
// everywhere. A caller that waits for its answer has k = 1, as a host answers only once
// Table.ConfirmedByReachable is true. A starting host must accept no requests before it has merged a
// digest of each peer that it can reach.
//
// A Table is not safe for concurrent use. It starts no goroutines and gets the time from its caller.
package quarantine
