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
	records []Record
	index   map[Key]int
	bytes   int
}

type pageDocument struct {
	Bucket  Bucket   `json:"bucket"`
	Records []Record `json:"records"`
}

// DecodePage returns the Page that value encodes; an empty value is an empty page.
func DecodePage(value []byte) (*Page, error) {
	p := &Page{index: map[Key]int{}}
	if len(value) == 0 {
		return p, nil
	}

	var doc pageDocument
	if err := json.Unmarshal(value, &doc); err != nil {
		return nil, Error.Wrap(err)
	}

	p.bucket = doc.Bucket

	for i := range doc.Records {
		p.insert(doc.Records[i])
	}

	return p, nil
}

// Encode returns the form of p that DecodePage reads.
func (p *Page) Encode() ([]byte, error) {
	value, err := json.Marshal(pageDocument{Bucket: p.bucket, Records: p.records})

	return value, Error.Wrap(err)
}

// Lookup returns the record of k, if the page keeps it.
func (p *Page) Lookup(k Key) (Record, bool) {
	r := p.find(k)
	if r == nil {
		return Record{}, false
	}

	return *r, true
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
	held := p.find(r.Key)

	switch {
	case held == nil:
		return p.add(r)
	case held.Fingerprint != r.Fingerprint:
		return Change{Err: verdict.New(verdict.NotRun, verdict.CodeKeyReused, "idempotency key was used for another request")}
	case held.Nonce == r.Nonce:
		return p.repeat(held, r)
	case held.State == Abandoned, held.State == Claimed && void != nil && void(held.Nonce):
		p.replace(held, r)

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

	moved := r.Target != held.Target
	if moved {
		p.replace(held, r)
	}

	return Change{Changed: moved, Mine: true, Record: *held}
}

func (p *Page) add(r Record) Change {
	if p.bytes+r.size() > maxPageBytes {
		return Change{Err: verdict.New(verdict.NotRun, verdict.CodeOverloaded, "no room for a further claim")}
	}

	p.insert(r)

	return Change{Changed: true, Mine: r.State == Claimed, Record: r}
}

// Finish records res for the claim that nonce holds. It drops an answer that is too large to keep.
func (p *Page) Finish(bucket Bucket, k Key, nonce Nonce, res Result) Change {
	held := p.find(k)

	switch {
	case p.bucket != bucket, held == nil, held.Nonce != nonce, held.State == Abandoned:
		return Change{Err: ErrOtherNonce}
	case held.State == Done:
		return Change{Record: *held}
	}

	room := min(MaxAnswerBytes, max(0, (answerPageBytes-p.bytes)*3/4-4))
	done := *held
	done.State = Done
	done.Result = res.trimmed(room)
	p.replace(held, done)

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
	held := p.find(r.Key)

	switch {
	case held == nil:
		return p.add(r)
	case held.Nonce != r.Nonce || held.State == Done:
		return Change{Err: ErrOtherNonce}
	case held.State == Abandoned:
		return Change{Record: *held}
	}

	p.replace(held, r)

	return Change{Changed: true, Record: r}
}

// turn makes p the page of bucket, dropping an earlier one. It fails where p is of a later bucket.
func (p *Page) turn(bucket Bucket) error {
	if bucket < p.bucket {
		return errExpired
	}

	if bucket > p.bucket {
		*p = Page{bucket: bucket, index: map[Key]int{}}
	}

	return nil
}

func (p *Page) find(k Key) *Record {
	i, ok := p.index[k]
	if !ok {
		return nil
	}

	return &p.records[i]
}

func (p *Page) insert(r Record) {
	p.index[r.Key] = len(p.records)
	p.records = append(p.records, r)
	p.bytes += r.size()
}

func (p *Page) replace(held *Record, r Record) {
	p.bytes += r.size() - held.size()
	*held = r
}
