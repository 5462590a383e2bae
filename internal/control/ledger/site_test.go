package ledger_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/ledger"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")

	os.Exit(m.Run())
}

// site is a stand-in platform and the ledgers that use it.
type site struct {
	store   *standin.Store
	views   []*standin.View
	ledgers []*ledger.Ledger
	keys    uint64
	nonces  uint64
}

// newSite returns a site of n ledgers with opts. It must be called in a synctest bubble.
func newSite(n int, opts ledger.Options) *site {
	s := &site{store: standin.NewStore(clockwork.NewRealClock())}

	for i := range n {
		v := s.store.View()
		o := opts
		o.Store = v
		o.Host = host(i)
		s.views = append(s.views, v)
		s.ledgers = append(s.ledgers, ledger.New(o))
	}

	return s
}

func (s *site) close() {
	for _, l := range s.ledgers {
		l.Close()
		<-l.Done()
	}
}

func host(i int) entity.HostID {
	return entity.HostID(fmt.Sprintf("host-%d", i))
}

func (s *site) key() claims.Key {
	s.keys++

	return claims.KeyAt("dombud", time.Now(), s.keys)
}

// request returns a request for k with a new nonce.
func (s *site) request(k claims.Key) ledger.Request {
	s.nonces++

	var nonce claims.Nonce

	binary.BigEndian.PutUint64(nonce[8:], s.nonces)

	return ledger.Request{Key: k, Fingerprint: 1, Nonce: nonce}
}

func ran(answer string) claims.Result {
	return claims.Result{Verdict: verdict.Ran, Status: 200, Answer: []byte(answer)}
}

// inBubble calls f with a site of n ledgers in a synctest bubble, which has virtual time.
func inBubble(t *testing.T, n int, f func(t *testing.T, s *site)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		s := newSite(n, ledger.Options{})
		f(t, s)
		s.close()
	})
}
