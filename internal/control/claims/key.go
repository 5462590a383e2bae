package claims

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Error is the class of this package's errors.
var Error = errs.Class("claims")

// keyVersion is the UUID version that contains a timestamp in milliseconds.
const keyVersion = 7

// Key is the idempotency key of one request of a client account.
type Key struct {
	Account entity.AccountID `json:"account"`
	ID      uuid.UUID        `json:"id"`
}

// ParseKey parses text, a UUIDv7, as a Key of account. It fails with a NotRun *verdict.Error.
func ParseKey(account entity.AccountID, text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "idempotency key is not a UUID").WithCause(err)
	}

	if id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
		return Key{}, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "idempotency key is not a UUIDv7")
	}

	return Key{Account: account, ID: id}, nil
}

// KeyAt returns the key of account with time at and random part n, whose upper two bits are
// dropped. It is for deterministic tests and simulations; callers generate keys with a UUIDv7 library.
func KeyAt(account entity.AccountID, at time.Time, n uint64) Key {
	var id uuid.UUID

	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], n)
	id[6] = keyVersion << 4
	id[8] = id[8]&0x3f | 0x80

	return Key{Account: account, ID: id}
}

// String returns the account and the UUID, joined by a slash.
func (k Key) String() string {
	return string(k.Account) + "/" + k.ID.String()
}

// Time returns the time at which the key was generated, to the millisecond.
func (k Key) Time() time.Time {
	var ms int64
	for _, b := range k.ID[:6] {
		ms = ms<<8 | int64(b)
	}

	return time.UnixMilli(ms)
}

func (k Key) hash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(k.Account))
	_, _ = d.Write(k.ID[:])

	return d.Sum64()
}

// Fingerprint is a hash of a request's kind and body. It detects a key that is reused for another request.
type Fingerprint uint64

// FingerprintOf returns the Fingerprint of a request's kind and body.
func FingerprintOf(kind entity.KindName, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(string(kind))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)

	return Fingerprint(d.Sum64())
}

// Nonce identifies one attempt to claim a key. It must be unique among all attempts.
type Nonce = uuid.UUID

// NewNonce returns a random Nonce.
func NewNonce() Nonce {
	return uuid.New()
}
