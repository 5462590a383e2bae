package claims

import (
	"encoding/json"

	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	// maxPageBytes is the largest encoded page, in bytes. It stays below the platform's limit for a value.
	maxPageBytes = platform.MaxValueBytes * 9 / 10
	// answerCutoffBytes is the page size, in bytes, above which no more answers are kept, to leave room for claims.
	answerCutoffBytes = platform.MaxValueBytes / 2
)

// ErrClaimNotHeld is returned if the claim is held under another nonce, was abandoned, or is no longer kept.
var ErrClaimNotHeld = Error.New("claim is not held under this nonce")

// Page holds the claims of one shard for keys made in one span. It is not safe for concurrent use.
type Page struct {
	bucket    Bucket
	writes    int
	entries   []entry
	index     map[string]int
	sizeBound int // upper bound of the encoded size, in bytes
}

// DecodePage decodes a Page from value; an empty value is an empty page. Records are decoded only
// when they are used.
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

// Encode returns the encoded form of p, which DecodePage reads, and counts it as one more write. Call it once
// for each write.
func (p *Page) Encode() ([]byte, error) {
	p.writes++

	value, err := encodePage(p.bucket, p.writes, p.entries, p.sizeBound)
	if err == nil {
		p.sizeBound = len(value)
	}

	return value, err
}

// Writes returns how many times the object of p was written.
func (p *Page) Writes() int {
	return p.writes
}

// Lookup returns the record of k and whether the page has one.
func (p *Page) Lookup(k Key) (Record, bool, error) {
	r, err := p.find(k)
	if r == nil {
		return Record{}, false, err
	}

	return *r, true, nil
}

// Change is the effect of an operation on a Page.
type Change struct {
	Changed bool   // the page has changed and must be written
	Mine    bool   // after Claim: the claim is held under the requested nonce
	Record  Record // the key's record after the operation
	Err     error  // why the operation was refused; the page is unchanged then
}

// Claim claims r.Key for r.Nonce within bucket, unless another attempt holds it. Claiming again
// under the nonce that holds the key only updates the target. An abandoned claim is replaced, and so is
// one for whose nonce isSpent returns true: the request will never be dispatched under that nonce.
// isSpent may be nil.
func (p *Page) Claim(bucket Bucket, r Record, isSpent func(Nonce) bool) Change {
	if err := p.advanceTo(bucket); err != nil {
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
		return p.claimAgain(held, r)
	case held.State == Abandoned, held.State == Claimed && isSpent != nil && isSpent(held.Nonce):
		p.replace(r)

		return Change{Changed: true, Mine: true, Record: r}
	default:
		return Change{Record: *held}
	}
}

// claimAgain updates the target of a claim that is held under r's nonce, unless the claim is done or abandoned.
func (p *Page) claimAgain(held *Record, r Record) Change {
	if held.State != Claimed {
		return Change{Record: *held}
	}

	if r.Target == held.Target {
		return Change{Mine: true, Record: *held}
	}

	p.replace(r)

	return Change{Changed: true, Mine: true, Record: r}
}

// add inserts r, the first record of its key, unless the page is full.
func (p *Page) add(r Record) Change {
	if p.sizeBound+r.size() > maxPageBytes {
		return Change{Err: verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the page of this key has no room for another claim")}
	}

	p.insert(newEntry(r))

	return Change{Changed: true, Mine: r.State == Claimed, Record: r}
}

// Finish records res for the claim that is held under nonce. It drops an answer that is too large to
// keep. A definite result replaces MayHaveRun, which another host records for a claimant that it
// considers lost.
func (p *Page) Finish(bucket Bucket, k Key, nonce Nonce, res Result) Change {
	held, err := p.find(k)

	switch {
	case err != nil:
		return Change{Err: err}
	case p.bucket != bucket, held == nil, held.Nonce != nonce, held.State == Abandoned:
		return Change{Err: ErrClaimNotHeld}
	case held.Final():
		return Change{Record: *held}
	}

	// An answer is encoded in base64, which takes 4 bytes for 3.
	limit := min(MaxAnswerBytes, max(0, (answerCutoffBytes-p.sizeBound)*3/4-4))
	done := *held
	done.State = Done
	done.Result = res.withoutLargeAnswer(limit)
	p.replace(done)

	return Change{Changed: true, Record: done}
}

// Abandon gives up the claim of r.Nonce, under which the request was not and will not be dispatched.
// If the page has no claim of the key, it adds an abandoned one, so that a delayed claim under the
// same nonce fails.
func (p *Page) Abandon(bucket Bucket, r Record) Change {
	if err := p.advanceTo(bucket); err != nil {
		return Change{Err: ErrClaimNotHeld}
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
		return Change{Err: ErrClaimNotHeld}
	case held.State == Abandoned:
		return Change{Record: *held}
	}

	p.replace(r)

	return Change{Changed: true, Record: r}
}

// advanceTo makes p the page of bucket, dropping the records of an earlier bucket. It fails if p belongs to a
// later bucket.
func (p *Page) advanceTo(bucket Bucket) error {
	if bucket < p.bucket {
		return errKeyExpired
	}

	if bucket > p.bucket {
		*p = Page{bucket: bucket, writes: p.writes, index: map[string]int{}}
	}

	return nil
}

// find returns the record of k, or nil if the page has none.
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
	p.sizeBound += e.size()
}

// replace replaces the record of r's key with r. The page must have one.
func (p *Page) replace(r Record) {
	e := &p.entries[p.index[r.Key.String()]]
	p.sizeBound -= e.size()
	*e = newEntry(r)
	p.sizeBound += e.size()
}
