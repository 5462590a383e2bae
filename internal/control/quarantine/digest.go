package quarantine

import (
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// maxDigestEntries bounds the entries of one digest; the remaining ones follow in the next digests.
const maxDigestEntries = 64

// baseVersion is the version of entries received from a peer. This host sends them only to hosts that have
// confirmed none of its digests yet; all others get them from that peer.
const baseVersion = 1

// Digest is the quarantine state that one host sends to another with a heartbeat. If the sender has no
// entries, it holds only the three numbers.
type Digest struct {
	Sequence uint64            `json:"sequence"`           // grows with each digest of the sender
	Version  uint64            `json:"version"`            // the receiver now has all changes of the sender up to here
	Acked    uint64            `json:"seen"`               // highest Version that the sender has received from the receiver
	Entries  []Entry           `json:"entries,omitempty"`  // those changed since the Acked that the receiver last sent
	Running  []Fingerprint     `json:"running,omitempty"`  // fingerprints with an entry that the sender is running
	Reserved []entity.TargetID `json:"reserved,omitempty"` // targets that the sender keeps for trials
}

// peer is the state of the exchange of digests with another host.
type peer struct {
	lastDigest time.Time // when the peer's last digest arrived
	sequence   uint64    // Sequence of the peer's newest digest
	merged     uint64    // highest version of the peer that this host has merged
	acked      uint64    // highest version of this host that the peer has merged
	running    []Fingerprint
	reserved   []entity.TargetID
}

func (t *Table) peer(id entity.HostID) *peer {
	p := t.peers[id]
	if p == nil {
		p = &peer{}
		t.peers[id] = p
	}

	return p
}

// Export returns the next digest for a peer, to. A lost digest needs no resend, as the next one repeats
// all changes that the peer has not confirmed.
func (t *Table) Export(to entity.HostID) Digest {
	p := t.peer(to)
	t.digestsSent++
	d := Digest{Sequence: t.digestsSent, Version: t.version, Acked: p.merged}

	var changed []*record

	for f, r := range t.entries {
		if r.version > p.acked {
			changed = append(changed, r)
		}

		if t.runs.has(f) {
			d.Running = append(d.Running, f)
		}
	}

	slices.SortFunc(changed, func(a, b *record) int { return int(int64(a.version) - int64(b.version)) })

	if len(changed) > maxDigestEntries {
		changed = changed[:maxDigestEntries]
		d.Version = changed[maxDigestEntries-1].version
	}

	for _, r := range changed {
		e := r.Entry
		e.Losses = slices.Clone(e.Losses)
		d.Entries = append(d.Entries, e)
	}

	for _, tr := range t.trials {
		d.Reserved = append(d.Reserved, tr.target)
	}

	slices.SortFunc(d.Running, compareFingerprints)
	slices.Sort(d.Reserved)

	return d
}

// Merge applies the digest d of the peer from. Digests may be late, lost, duplicated or out of order.
func (t *Table) Merge(now time.Time, from entity.HostID, d Digest) {
	for _, e := range d.Entries {
		if now.Before(e.Until) {
			t.mergeEntry(from, e)
		}
	}

	p := t.peer(from)
	p.lastDigest = now
	p.merged = max(p.merged, d.Version)

	if d.Sequence > p.sequence {
		p.sequence, p.acked = d.Sequence, max(p.acked, d.Acked)
		p.running, p.reserved = d.Running, d.Reserved
	}
}

func (t *Table) mergeEntry(from entity.HostID, e Entry) {
	r := t.entries[e.Fingerprint]
	if r == nil {
		t.evictIfFull()
		r = &record{Entry: Entry{Fingerprint: e.Fingerprint}}
		t.entries[e.Fingerprint] = r
	}

	if !r.merge(e) {
		return
	}

	r.source = from
	r.version = max(r.version, baseVersion)

	if tr := t.trials[e.Fingerprint]; tr != nil && !tr.started && !r.suspect() {
		t.dropTrial(e.Fingerprint)
	}
}

// relayFromSilentPeers marks the entries received from a peer that has fallen silent as changed on this host,
// and Export then sends them to all hosts. The peer may have fallen silent before every host had them.
func (t *Table) relayFromSilentPeers(now time.Time) {
	for _, r := range t.entries {
		if r.source == "" || now.Sub(t.peer(r.source).lastDigest) < t.opts.PeerTimeout {
			continue
		}

		r.source = ""
		t.bumpVersion(r)
	}
}

// Forget drops a peer that is no longer on the host list, with its reservations.
func (t *Table) Forget(id entity.HostID) {
	delete(t.peers, id)
}

// ConfirmedByReachable reports whether all reachable ones among hosts have confirmed the entry of f; it is true
// if there is no entry. A host that has sent no digest for Options.PeerTimeout counts as unreachable. An entry host
// reports the loss of a target to its caller only once ConfirmedByReachable is true, as the caller's retry could
// otherwise reach a host that has no record of the loss.
func (t *Table) ConfirmedByReachable(now time.Time, f Fingerprint, hosts []entity.HostID) bool {
	r := t.entries[f]
	if r == nil {
		return true
	}

	for _, id := range hosts {
		p := t.peer(id)
		if id != t.opts.Self && p.acked < r.version && now.Sub(p.lastDigest) < t.opts.PeerTimeout {
			return false
		}
	}

	return true
}

// ConfirmedIdle reports whether every one of hosts has confirmed the entry of f and has no run of f left; it
// is true if there is no entry. A trial may start only then.
func (t *Table) ConfirmedIdle(f Fingerprint, hosts []entity.HostID) bool {
	r := t.entries[f]
	if r == nil {
		return true
	}

	if !t.confirmed(r.version, hosts) {
		return false
	}

	for _, id := range hosts {
		if id != t.opts.Self && slices.Contains(t.peer(id).running, f) {
			return false
		}
	}

	return true
}

// confirmed reports whether all of hosts have merged the changes of this host up to version.
func (t *Table) confirmed(version uint64, hosts []entity.HostID) bool {
	for _, id := range hosts {
		if id != t.opts.Self && t.peer(id).acked < version {
			return false
		}
	}

	return true
}
