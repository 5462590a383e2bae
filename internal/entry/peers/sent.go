package peers

import (
	"math"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// maxSent is the number of sent digests whose times are kept, those of several periods in any fleet.
const maxSent = 1024

// unknownDelay stands for a digest that may have been under way for any time.
const unknownDelay = time.Duration(math.MaxInt64)

// sentDigests keeps the times of the last maxSent digests that this host has sent. It is not safe for concurrent use.
type sentDigests struct {
	times [maxSent]time.Time
	last  uint64 // sequence number of the last digest; the first one is 1
}

// next records a digest that is sent at now and returns its sequence number.
func (s *sentDigests) next(now time.Time) uint64 {
	s.last++
	s.times[s.last%maxSent] = now

	return s.last
}

// maxDelay returns the longest time for which d, which has arrived at now, can have been under way. A digest that waited in a socket of a
// paused host or on a slow link carries old ages. d was sent after began, unless that is zero, and after the digest of this host that it
// echoes was sent. For a digest that echoes none, as of an older build, and without began, the delay is taken for zero.
func (s *sentDigests) maxDelay(now, began time.Time, d *peer.Digest) time.Duration {
	sentAfter, echoed := began, d.GetEcho() > 0 && d.GetEcho() <= s.last

	switch {
	case echoed && s.last-d.GetEcho() < maxSent:
		at := s.times[d.GetEcho()%maxSent].Add(time.Duration(d.GetEchoAge()) * time.Millisecond)
		if at.After(sentAfter) {
			sentAfter = at
		}
	case echoed && began.IsZero():
		return unknownDelay
	}

	if sentAfter.IsZero() {
		return 0
	}

	return max(0, now.Sub(sentAfter))
}

// addDelay makes the ages in d, which are as of its sending, the longest ones that are possible after delay. The span in which the store has
// served becomes the shortest one.
func addDelay(d *peer.Digest, delay time.Duration) {
	for _, age := range []*uint32{&d.ConfigurationAge, &d.TargetsAge, &d.HeardAge, &d.ServedUntil} {
		*age = older(*age, delay)
	}
}

// older returns the age after delay, encoded as age; zero, for unknown, stays.
func older(age uint32, delay time.Duration) uint32 {
	ms := int64(delay/time.Millisecond) + 1
	if delay%time.Millisecond == 0 {
		ms--
	}

	if age == 0 || ms > math.MaxUint32-int64(age) {
		return 0
	}

	return age + uint32(ms)
}
