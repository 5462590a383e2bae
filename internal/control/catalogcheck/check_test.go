package catalogcheck_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/catalogcheck"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

var update = flag.Bool("update", false, "write the golden files")

// sound returns a configuration without any finding.
func sound() catalog.Contents {
	return catalog.Contents{
		Version: 7,
		Limits:  catalog.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes: []catalog.Route{
			{
				Name: "draft", Host: "a.example", Prefix: "/draft/", Streaming: true, Repeat: catalog.Resumable, Timeout: 10 * time.Second, Objective: time.Second,
				Gap: 200 * time.Millisecond, MaxTargets: 2, Shares: []catalog.Share{{Service: "model", Weight: 1}},
			},
			{Name: "hold", Host: "a.example", Prefix: "/hold/", Timeout: time.Second, MaxTargets: 1, Public: true, Shares: []catalog.Share{{Service: "desk", Weight: 1}}},
		},
		Services: []catalog.Service{
			{
				Name: "model", Engine: &catalog.Engine{Slots: 8, KVCapacity: 1000},
				Scaling: &catalog.Scaling{Min: 1, Max: 60, ReclaimablePrice: 0.2, Prices: map[entity.DataCentre]float64{"a": 1}},
			},
			{Name: "desk"},
		},
		Accounts: []catalog.Account{{ID: "one", Keys: []string{"k1", "k2"}}, {ID: "two", Keys: []string{"k3"}, Rank: 1, HasRank: true}},
	}
}

// changes are changes of the sound configuration, each of which has findings of its own.
var changes = map[string]func(*catalog.Contents){
	"shadowed-route":       func(c *catalog.Contents) { c.Routes[1].Prefix = "/draft/" },
	"prefix":               func(c *catalog.Contents) { c.Routes[0].Prefix, c.Routes[1].Prefix = "draft/", "/hold" },
	"host":                 func(c *catalog.Contents) { c.Routes[0].Host, c.Routes[1].Host = "", "A.example:80" },
	"unknown-service":      func(c *catalog.Contents) { c.Routes[1].Shares[0].Service = "table" },
	"no-service":           func(c *catalog.Contents) { c.Routes[1].Shares = nil },
	"service-twice":        func(c *catalog.Contents) { c.Services = append(c.Services, catalog.Service{Name: "desk"}) },
	"times":                func(c *catalog.Contents) { c.Routes[0].Timeout = 100 * time.Millisecond },
	"pause-without-stream": func(c *catalog.Contents) { c.Routes[1].Gap = time.Millisecond },
	"attempts":             func(c *catalog.Contents) { c.Routes[1].MaxTargets = 3 },
	"limits":               func(c *catalog.Contents) { c.Limits.HeaderBytes, c.Limits.IdleTimeout = 8<<20, time.Second },
	"engine-room":          func(c *catalog.Contents) { c.Services[0].Engine.Slots = 0 },
	"scaling":              func(c *catalog.Contents) { c.Services[0].Scaling.Min = 61 },
	"scaling-none":         func(c *catalog.Contents) { c.Services[0].Scaling.Max = 0 },
	"scaling-prices": func(c *catalog.Contents) {
		c.Services[0].Scaling.ReclaimablePrice, c.Services[0].Scaling.Prices["a"] = 1, -1
	},
	"key-twice":      func(c *catalog.Contents) { c.Accounts[1].Keys = []string{"k2"} },
	"key-form":       func(c *catalog.Contents) { c.Accounts[0].Keys = []string{"", " k1"} },
	"account-twice":  func(c *catalog.Contents) { c.Accounts[1].ID = "one" },
	"account-name":   func(c *catalog.Contents) { c.Accounts[0].ID = "" },
	"account-no-key": func(c *catalog.Contents) { c.Accounts[0].Keys = nil },
	"no-accounts":    func(c *catalog.Contents) { c.Accounts = nil },
	"older-version":  func(c *catalog.Contents) { c.Version = 6 },
	"route-goes":     func(c *catalog.Contents) { c.Routes = c.Routes[:1] },
	"route-changes": func(c *catalog.Contents) {
		r := &c.Routes[1]
		r.Name, r.Timeout, r.Rank, r.Repeat, r.Public, r.Shares = "keep", 2*time.Second, 2, catalog.Repeatable, false, []catalog.Share{{Service: "model", Weight: 3}}
	},
	"service-changes": func(c *catalog.Contents) {
		c.Services[0].Engine.Slots, c.Services[0].Scaling.Max, c.Services[1].HealthPath = 16, 30, "/healthz"
	},
	"keys-change": func(c *catalog.Contents) {
		c.Accounts[0].Keys, c.Accounts[0].HasRank = []string{"k2", "k4"}, true
	},
	"account-goes": func(c *catalog.Contents) { c.Accounts = c.Accounts[1:] },
}

func TestEachFinding(t *testing.T) {
	require.Empty(t, catalogcheck.Check(sound()))

	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			next := sound()
			next.Version++
			change(&next)

			var got strings.Builder

			for _, f := range append(catalogcheck.Check(next), catalogcheck.Compare(sound(), next)...) {
				fmt.Fprintf(&got, "%s: %s: %s\n", f.Severity, f.Place, f.Text)
			}

			require.NotEmpty(t, got.String())
			require.NotRegexp(t, `\bk[1-4]\b`, got.String(), "keys are secrets")

			path := filepath.Join("testdata", name+".golden")
			if *update {
				require.NoError(t, os.WriteFile(path, []byte(got.String()), 0o600))
			}

			want, err := os.ReadFile(path)
			require.NoError(t, err)
			require.Equal(t, string(want), got.String())
		})
	}
}
