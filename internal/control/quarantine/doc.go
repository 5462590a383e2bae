// Package quarantine keeps a request that crashes its targets from taking down more than two of
// them, whichever entry hosts of a data centre it is sent to, and without harm to the requests
// that stood beside it.
//
// A request is known by its Fingerprint. Each loss of a target marks the fingerprints that ran on
// it. A fingerprint with one loss runs once more, as the only such on its target, and only on the
// host that recorded the loss (the origin), once every entry host of the data centre has
// confirmed that it knows of the loss and that no run of its own is left. If that trial ends
// whole, the fingerprint is cleared; if its target is lost, the fingerprint is quarantined until
// its time ends or an operator releases it.
//
// The bound: let k be the number of targets on which callers had the same request running at once
// before its first loss was known, and p the number of parts into which the entry hosts of the
// data centre are divided, a host that is silent for Options.PeerSilence being a part. At most
// max(2, k, p) targets are lost to one fingerprint in one term of the quarantine, plus one for each
// entry host that dies while it runs the request or before its digest of the loss has arrived
// everywhere. A caller that waits for its answer has k = 1, as a host answers only when Told allows
// it. A host that starts takes no requests before it has merged a digest of each peer that it can
// reach.
//
// A Table belongs to one goroutine, starts none and reads no clock.
package quarantine
