package claims

import (
	"encoding/json"

	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	// maxPageBytes keeps a page below the platform's limit, in bytes.
	maxPageBytes = platform.MaxValueBytes * 9 / 10
	// answerPageBytes is the size from which a page takes no further answers, so that claims have room.
	answerPageBytes = platform.MaxValueBytes / 2
)

// ErrOtherNonce says that the claim is held under another nonce, or no longer kept.
var ErrOtherNonce = Error.New("claim is not held under this nonce")

// Page holds the claims of one shard whose keys were made in one span. It is not safe for concurrent use.
type Page struct {
	bucket  Bucket
	writes  int
	entries []entry
	index   map[string]int
	bytes   int // bound of the encoded size
}

// DecodePage returns the Page that value encodes; an empty value is an empty page. It leaves the
// records encoded until they are asked for.
func DecodePage(value []byte) (*Page, error) {
	var doc pageDocument

	if len(value) > 0 {
		if err := json.Unmarshal(value, &doc); err != nil {
			return nil, Error.Wrap(err)
		}
	}

	if len(doc.Keys) != len(doc.Records) {
		return nil, Error.New("page has %d keys and %d records", len(doc.Keys), len(doc.Records))
	}

	p := &Page{bucket: doc.Bucket, writes: doc.Writes, index: make(map[string]int, len(doc.Keys))}

	for i, key := range doc.Keys {
		p.insert(entry{key: key, encoded: doc.Records[i]})
	}

	return p, nil
}

// Encode returns the form of p that DecodePage reads, to be written once.
func (p *Page) Encode() ([]byte, error) {
	p.writes++

	value, err := encode(p.bucket, p.writes, p.entries, p.bytes)
	if err == nil {
		p.bytes = len(value)
	}

	return value, err
}

// Writes returns how often the object of p was written.
func (p *Page) Writes() int {
	return p.writes
}

// Lookup returns the record of k, if the page keeps it.
func (p *Page) Lookup(k Key) (Record, bool, error) {
	r, err := p.find(k)
	if r == nil {
		return Record{}, false, err
	}

	return *r, true, nil
}

// Change says what an operation did to a Page.
type Change struct {
	Changed bool   // the page differs and has to be written
	Mine    bool   // the claim is held under the nonce that was asked for
	Record  Record // as the page has it after the operation
	Err     error  // refusal; the page is unchanged
}

// Claim claims r.Key for r.Nonce within bucket, unless another attempt holds it. Claiming again
// under the nonce that holds the key only updates the target. void tells nonces under which
// nobody will dispatch; it may be nil.
func (p *Page) Claim(bucket Bucket, r Record, void func(Nonce) bool) Change {
	if err := p.turn(bucket); err != nil {
		return Change{Err: err}
	}

	r.State = Claimed
	r.Result = Result{}
	held, err := p.find(r.Key)

	switch {
	case err != nil:
		return Change{Err: err}
	case held == nil:
		return p.add(r)
	case held.Fingerprint != r.Fingerprint:
		return Change{Err: verdict.New(verdict.NotRun, verdict.CodeKeyReused, "idempotency key was used for another request")}
	case held.Nonce == r.Nonce:
		return p.repeat(held, r)
	case held.State == Abandoned, held.State == Claimed && void != nil && void(held.Nonce):
		p.replace(r)

		return Change{Changed: true, Mine: true, Record: r}
	default:
		return Change{Record: *held}
	}
}

// repeat claims again under the same nonce.
func (p *Page) repeat(held *Record, r Record) Change {
	if held.State != Claimed {
		return Change{Record: *held}
	}

	if r.Target == held.Target {
		return Change{Mine: true, Record: *held}
	}

	p.replace(r)

	return Change{Changed: true, Mine: true, Record: r}
}

func (p *Page) add(r Record) Change {
	if p.bytes+r.size() > maxPageBytes {
		return Change{Err: verdict.New(verdict.NotRun, verdict.CodeOverloaded, "no room for a further claim")}
	}

	p.insert(newEntry(r))

	return Change{Changed: true, Mine: r.State == Claimed, Record: r}
}

// Finish records res for the claim that nonce holds. It drops an answer that is too large to keep.
// A result that says no more than MayHaveRun, as a survivor records it, gives way to a definite one.
func (p *Page) Finish(bucket Bucket, k Key, nonce Nonce, res Result) Change {
	held, err := p.find(k)

	switch {
	case err != nil:
		return Change{Err: err}
	case p.bucket != bucket, held == nil, held.Nonce != nonce, held.State == Abandoned:
		return Change{Err: ErrOtherNonce}
	case held.Final():
		return Change{Record: *held}
	}

	room := min(MaxAnswerBytes, max(0, (answerPageBytes-p.bytes)*3/4-4))
	done := *held
	done.State = Done
	done.Result = res.trimmed(room)
	p.replace(done)

	return Change{Changed: true, Record: done}
}

// Abandon gives up the claim of r.Nonce, under which nobody dispatched or will. Where the page has
// no claim of the key, the refusal is kept, so that a late claim under the nonce fails.
func (p *Page) Abandon(bucket Bucket, r Record) Change {
	if err := p.turn(bucket); err != nil {
		return Change{Err: ErrOtherNonce}
	}

	r.State = Abandoned
	r.Result = Result{}
	held, err := p.find(r.Key)

	switch {
	case err != nil:
		return Change{Err: err}
	case held == nil:
		return p.add(r)
	case held.Nonce != r.Nonce || held.State == Done:
		return Change{Err: ErrOtherNonce}
	case held.State == Abandoned:
		return Change{Record: *held}
	}

	p.replace(r)

	return Change{Changed: true, Record: r}
}

// turn makes p the page of bucket, dropping an earlier one. It fails where p is of a later bucket.
func (p *Page) turn(bucket Bucket) error {
	if bucket < p.bucket {
		return errExpired
	}

	if bucket > p.bucket {
		*p = Page{bucket: bucket, writes: p.writes, index: map[string]int{}}
	}

	return nil
}

// find returns the record of k, or nil.
func (p *Page) find(k Key) (*Record, error) {
	i, ok := p.index[k.String()]
	if !ok {
		return nil, nil
	}

	return p.entries[i].decode()
}

func (p *Page) insert(e entry) {
	p.index[e.key] = len(p.entries)
	p.entries = append(p.entries, e)
	p.bytes += e.size()
}

// replace puts r in the place of the record of the same key.
func (p *Page) replace(r Record) {
	e := &p.entries[p.index[r.Key.String()]]
	p.bytes -= e.size()
	*e = newEntry(r)
	p.bytes += e.size()
}
