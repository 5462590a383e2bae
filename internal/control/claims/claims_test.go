package claims_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

var start = time.UnixMilli(1_700_000_000_000)

func record(k claims.Key, nonce byte) claims.Record {
	return claims.Record{Key: k, Fingerprint: 1, Nonce: claims.Nonce{nonce}, Claimant: "a", ClaimedAt: start.UTC()}
}

func TestParseKey(t *testing.T) {
	v7, err := uuid.NewV7()
	require.NoError(t, err)

	k, err := claims.ParseKey("dombud", v7.String())
	require.NoError(t, err)
	require.WithinDuration(t, time.Now(), k.Time(), time.Minute)

	for _, text := range []string{"", "grade-1", uuid.NewString(), "00000000-0000-7000-0000-000000000000"} {
		_, err := claims.ParseKey("dombud", text)
		require.Equal(t, verdict.NotRun, verdict.Of(err), text)
	}
}

func TestLayoutCheck(t *testing.T) {
	layout := claims.Layout{Window: 10 * time.Minute, Skew: 30 * time.Second}

	tests := []struct {
		name string
		age  time.Duration
		code verdict.Code
		want verdict.Verdict
	}{
		{"new", 0, "", verdict.Ran},
		{"within the window", 10 * time.Minute, "", verdict.Ran},
		{"too old", 10*time.Minute + time.Millisecond, verdict.CodeKeyExpired, verdict.MayHaveRun},
		{"ahead within the skew", -30 * time.Second, "", verdict.Ran},
		{"ahead, another host may have taken it", -45 * time.Second, verdict.CodeBadRequest, verdict.MayHaveRun},
		{"far ahead", -61 * time.Second, verdict.CodeBadRequest, verdict.NotRun},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := layout.Check(claims.KeyAt("dombud", start, 1), start.Add(tt.age))
			require.Equal(t, tt.want, verdict.Of(err))

			if err != nil {
				require.Equal(t, tt.code, verdict.From(err).Code)
			}
		})
	}
}

// TestPageReuse checks that a page is reused for a later span only once all of its keys have left the window.
func TestPageReuse(t *testing.T) {
	layout := claims.Layout{Shards: 1}.WithDefaults()
	old := layout.Place(claims.KeyAt("dombud", start, 1))

	for at := start; ; at = at.Add(time.Second) {
		place := layout.Place(claims.KeyAt("dombud", at.Add(layout.Skew), 1))
		if place.Object == old.Object && place.Bucket != old.Bucket {
			require.Error(t, layout.Check(claims.KeyAt("dombud", start, 1), at))

			break
		}
	}
}

// TestPage applies operations on one key to a page; the digits in the operations are nonces.
func TestPage(t *testing.T) {
	const bucket = claims.Bucket(7)

	k := claims.KeyAt("dombud", start, 1)
	other := record(k, 2)
	other.Fingerprint = 2
	spent := func(n claims.Nonce) bool { return n == claims.Nonce{9} }

	type op func(*claims.Page) claims.Change

	claim := func(nonce byte) op {
		return func(p *claims.Page) claims.Change { return p.Claim(bucket, record(k, nonce), spent) }
	}
	abandon := func(nonce byte) op {
		return func(p *claims.Page) claims.Change { return p.Abandon(bucket, record(k, nonce)) }
	}
	finish := func(nonce byte) op {
		return func(p *claims.Page) claims.Change {
			return p.Finish(bucket, k, claims.Nonce{nonce}, claims.Result{Verdict: verdict.Ran, Status: 200})
		}
	}
	mayHaveRun := func(p *claims.Page) claims.Change {
		return p.Finish(bucket, k, claims.Nonce{1}, claims.Result{Verdict: verdict.MayHaveRun})
	}
	otherBody := func(p *claims.Page) claims.Change { return p.Claim(bucket, other, nil) }
	earlierSpan := func(p *claims.Page) claims.Change { return p.Claim(bucket-1, record(k, 3), nil) }
	reusePage := func(p *claims.Page) claims.Change {
		return p.Claim(bucket+1, record(claims.KeyAt("dombud", start, 2), 4), nil)
	}

	tests := []struct {
		name    string
		ops     []op
		mine    bool
		changed bool
		fails   bool
		state   claims.State
	}{
		{"first claim", []op{claim(1)}, true, true, false, claims.Claimed},
		{"same nonce again", []op{claim(1), claim(1)}, true, false, false, claims.Claimed},
		{"second claimant", []op{claim(1), claim(2)}, false, false, false, claims.Claimed},
		{"another body", []op{claim(1), otherBody}, false, false, true, claims.Claimed},
		{"another body after withdrawal", []op{claim(1), abandon(1), otherBody}, false, false, true, claims.Abandoned},
		{"finished", []op{claim(1), finish(1)}, false, true, false, claims.Done},
		{"finished twice", []op{claim(1), finish(1), finish(1)}, false, false, false, claims.Done},
		{"finished after may-have-run", []op{claim(1), mayHaveRun, finish(1)}, false, true, false, claims.Done},
		{"may-have-run after finished", []op{claim(1), finish(1), mayHaveRun}, false, false, false, claims.Done},
		{"claim after may-have-run", []op{claim(1), mayHaveRun, claim(2)}, false, false, false, claims.Done},
		{"finished under another nonce", []op{claim(1), finish(2)}, false, false, true, claims.Claimed},
		{"claim of a finished one", []op{claim(1), finish(1), claim(2)}, false, false, false, claims.Done},
		{"claim of a finished one under its nonce", []op{claim(1), finish(1), claim(1)}, false, false, false, claims.Done},
		{"takeover", []op{claim(1), abandon(1), claim(2)}, true, true, false, claims.Claimed},
		{"takeover of a spent nonce", []op{claim(9), claim(2)}, true, true, false, claims.Claimed},
		{"late claim after withdrawal", []op{abandon(1), claim(1)}, false, false, false, claims.Abandoned},
		{"withdrawal under another nonce", []op{claim(1), abandon(2)}, false, false, true, claims.Claimed},
		{"withdrawal of a finished one", []op{claim(1), finish(1), abandon(1)}, false, false, true, claims.Done},
		{"finish after withdrawal", []op{claim(1), abandon(1), finish(1)}, false, false, true, claims.Abandoned},
		{"key of an earlier span", []op{claim(1), earlierSpan}, false, false, true, claims.Claimed},
		{"finish after the page was reused for a later span", []op{claim(1), reusePage, finish(1)}, false, false, true, claims.Claimed},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var value []byte
			var got claims.Change
			var kept claims.Record

			for _, do := range tt.ops {
				p, err := claims.DecodePage(value)
				require.NoError(t, err)

				got = do(p)
				kept, _, err = p.Lookup(k)
				require.NoError(t, err)
				value, err = p.Encode()
				require.NoError(t, err)
			}

			require.Equal(t, tt.fails, got.Err != nil, got.Err)
			require.Equal(t, tt.mine, got.Mine)
			require.Equal(t, tt.changed, got.Changed)
			require.Equal(t, tt.state, kept.State)
		})
	}
}

// TestClaimNamesNextTarget claims again under the same nonce to record another target.
func TestClaimNamesNextTarget(t *testing.T) {
	p, err := claims.DecodePage(nil)
	require.NoError(t, err)

	r := record(claims.KeyAt("dombud", start, 1), 1)

	for _, r.Target = range []entity.TargetID{"engine-1", "engine-2"} {
		c := p.Claim(1, r, nil)
		require.True(t, c.Mine)
		require.True(t, c.Changed)
		require.Equal(t, r.Target, c.Record.Target)
	}
}

// TestPageStaysSmall fills a page until it refuses claims, and checks its size.
func TestPageStaysSmall(t *testing.T) {
	p, err := claims.DecodePage(nil)
	require.NoError(t, err)

	answer := make([]byte, claims.MaxAnswerBytes)
	kept, n := 0, uint64(0)

	for ; ; n++ {
		r := record(claims.KeyAt("dombud", start, n), 1)

		c := p.Claim(1, r, nil)
		if c.Err != nil {
			require.Equal(t, verdict.CodeOverloaded, verdict.From(c.Err).Code)

			break
		}

		c = p.Finish(1, r.Key, r.Nonce, claims.Result{Verdict: verdict.Ran, Status: 200, Answer: answer})
		require.NoError(t, c.Err)

		if !c.Record.Result.AnswerDropped {
			kept++
		}
	}

	value, err := p.Encode()
	require.NoError(t, err)
	require.Less(t, len(value), 1<<20)
	require.Greater(t, n, uint64(500))
	require.Greater(t, kept, 20)
}

// BenchmarkPage claims one key again and again on a page with 500 others, and encodes the page each time.
func BenchmarkPage(b *testing.B) {
	p, err := claims.DecodePage(nil)
	require.NoError(b, err)

	for n := range uint64(500) {
		p.Claim(1, record(claims.KeyAt("dombud", start, n), 1), nil)
	}

	_, err = p.Encode()
	require.NoError(b, err)
	b.ReportAllocs()

	for n := 0; b.Loop(); n++ {
		k := claims.KeyAt("dombud", start, 500)

		if c := p.Claim(1, record(k, byte(n)), func(claims.Nonce) bool { return true }); !c.Mine {
			b.Fatal(c)
		}

		value, err := p.Encode()
		if err != nil {
			b.Fatal(err)
		}

		b.SetBytes(int64(len(value)))
	}
}

func BenchmarkDecodePage(b *testing.B) {
	p, err := claims.DecodePage(nil)
	require.NoError(b, err)

	for n := range uint64(500) {
		p.Claim(1, record(claims.KeyAt("dombud", start, n), 1), nil)
	}

	value, err := p.Encode()
	require.NoError(b, err)
	b.SetBytes(int64(len(value)))

	for b.Loop() {
		if _, err := claims.DecodePage(value); err != nil {
			b.Fatal(err)
		}
	}
}

func FuzzDecodePage(f *testing.F) {
	f.Add([]byte(`{"bucket":1,"keys":["a/018bcfe5-6800-7000-8000-000000000001"],"records":[{"state":1}]}`))
	f.Add([]byte(`{"keys":["dombud/018bcfe5-6800-7000-8000-000000000001"],"records":[{}]}`))
	f.Add([]byte(`{"keys":["a","a"],"records":[{}]}`))
	f.Add([]byte(`[]`))

	f.Fuzz(func(t *testing.T, value []byte) {
		p, err := claims.DecodePage(value)
		if err != nil {
			return
		}

		for _, bucket := range []claims.Bucket{0, 1, 1 << 62} {
			c := p.Claim(bucket, record(claims.KeyAt("dombud", start, 1), 1), nil)
			require.False(t, c.Err != nil && c.Mine)

			_, err = p.Encode()
			require.NoError(t, err)
		}
	})
}
