package quarantine

import (
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// maxDigestEntries bounds the entries of one digest; the rest follows in the next.
const maxDigestEntries = 64

// baseVersion is that of entries learnt from a peer. They go to hosts that know nothing yet; the
// others hear of them from that peer.
const baseVersion = 1

// Digest is what one host tells another with a heartbeat. With nothing under suspicion it holds
// three numbers.
type Digest struct {
	Sequence uint64           `json:"sequence"`           // grows with each digest of the sender
	Version  uint64           `json:"version"`            // up to which the sender's changes are told
	Seen     uint64           `json:"seen"`               // the receiver's Version that the sender knows
	Entries  []Entry          `json:"entries,omitempty"`  // changed since the receiver's last Seen
	Running  []Fingerprint    `json:"running,omitempty"`  // suspects of which the sender has runs
	Reserved []table.TargetID `json:"reserved,omitempty"` // targets kept for trials
}

// peer is what this host knows of another one.
type peer struct {
	heard    time.Time // when its last digest came
	sequence uint64
	version  uint64 // of the peer that this host knows
	seen     uint64 // version of this host that the peer knows
	running  []Fingerprint
	reserved []table.TargetID
}

func (t *Table) peer(id table.HostID) *peer {
	p := t.peers[id]
	if p == nil {
		p = &peer{}
		t.peers[id] = p
	}

	return p
}

// Export returns the digest for the peer to. A digest that is lost is made up for by the next.
func (t *Table) Export(to table.HostID) Digest {
	p := t.peer(to)
	t.sent++
	d := Digest{Sequence: t.sent, Version: t.version, Seen: p.version}

	var changed []*record

	for f, r := range t.entries {
		if r.version > p.seen {
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

	slices.SortFunc(d.Running, compare)
	slices.Sort(d.Reserved)

	return d
}

// Merge takes in the digest d of the peer from. Digests may be late, lost, doubled or out of order.
func (t *Table) Merge(now time.Time, from table.HostID, d Digest) {
	for _, e := range d.Entries {
		if now.Before(e.Until) {
			t.mergeEntry(from, e)
		}
	}

	p := t.peer(from)
	p.heard = now
	p.version = max(p.version, d.Version)

	if d.Sequence > p.sequence {
		p.sequence, p.seen = d.Sequence, max(p.seen, d.Seen)
		p.running, p.reserved = d.Running, d.Reserved
	}
}

func (t *Table) mergeEntry(from table.HostID, e Entry) {
	r := t.entries[e.Fingerprint]
	if r == nil {
		t.makeRoom()
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

// relay passes on what came from peers that have fallen silent, as they may not have reached all.
func (t *Table) relay(now time.Time) {
	for _, r := range t.entries {
		if r.source == "" || now.Sub(t.peer(r.source).heard) < t.opts.PeerSilence {
			continue
		}

		r.source = ""
		t.touch(r)
	}
}

// Forget drops a peer that the host list no longer holds, with its reservations.
func (t *Table) Forget(id table.HostID) {
	delete(t.peers, id)
}

// Told reports whether every one of hosts that was heard from of late knows the entry of f. A host
// tells its caller that a target was lost only then, or the caller's next try might meet a host
// that knows nothing. Hosts that are silent for longer than Options.PeerSilence are not waited for.
func (t *Table) Told(now time.Time, f Fingerprint, hosts []table.HostID) bool {
	r := t.entries[f]
	if r == nil {
		return true
	}

	for _, id := range hosts {
		p := t.peer(id)
		if id != t.opts.Self && p.seen < r.version && now.Sub(p.heard) < t.opts.PeerSilence {
			return false
		}
	}

	return true
}

// Settled reports whether every one of hosts knows the entry of f and has no run of it left. Only
// then may a trial start.
func (t *Table) Settled(f Fingerprint, hosts []table.HostID) bool {
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

func (t *Table) confirmed(version uint64, hosts []table.HostID) bool {
	for _, id := range hosts {
		if id != t.opts.Self && t.peer(id).seen < version {
			return false
		}
	}

	return true
}
