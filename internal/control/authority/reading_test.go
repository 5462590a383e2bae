package authority_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/authority"
)

// TestHostsThatDoNotStandByDoNotRead guards against calls to the store by each host of a fleet. Hosts without an address took the holder
// for an earlier process of their own, and read the lease for ever.
func TestHostsThatDoNotStandByDoNotRead(t *testing.T) {
	for name, address := range map[string]string{"with an address": "10.0.0.1:1", "without": ""} {
		t.Run(name, func(t *testing.T) {
			m := authority.NewMachine(authority.Options{Host: "a", Address: address}, epoch, rand.New(rand.NewPCG(1, 2)))
			holder := authority.Record{Fence: 3, Holder: "b", Nonce: "n"}

			if address != "" {
				holder.Address = "10.0.0.2:1"
			}

			require.IsType(t, authority.Get{}, m.Tick(epoch, authority.Tick{}))
			m.HandleGet(epoch, holder, 7, nil)

			for d := time.Duration(0); d < time.Minute; d += step {
				require.Nil(t, m.Tick(epoch.Add(d), authority.Tick{}))
			}

			require.IsType(t, authority.Get{}, m.Tick(epoch.Add(time.Minute), authority.Tick{Standby: true}), "a standby reads")
		})
	}
}
