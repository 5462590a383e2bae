package rolesplit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/rolesplit"
)

// setVersions gives the replicas from first on the version.
func (s *site) setVersions(first int, version entity.SoftwareVersion) {
	for i := first; i < len(s.targets); i++ {
		s.targets[i].Version = version
	}
}

// count returns the number of replicas of version that have role.
func (s *site) count(version entity.SoftwareVersion, role entity.Role) (n int) {
	for _, t := range s.targets {
		if t.Version == version && t.Role == role {
			n++
		}
	}

	return n
}

// settle carries out the orders of a minute.
func (s *site) settle() {
	s.loaded = true

	for range 60 {
		s.execute(s.tickWith(rolesplit.Demand{}))

		s.now = s.now.Add(time.Second)
	}
}

func TestNewVersionGetsBothRoles(t *testing.T) {
	s := newSite(18, 11)
	s.setVersions(9, "v2") // 9 prefill replicas at the old version, 2 and 7 decode replicas at the new one

	s.targets = s.targets[5:] // five old ones have left
	s.settle()
	require.Equal(t, 8, s.prefillReplicas())
	require.GreaterOrEqual(t, s.count("v2", entity.Prefill), 3)
	require.GreaterOrEqual(t, s.count("v2", entity.Decode), 3)
}

func TestVersionWithoutDecodeReplicasGetsOne(t *testing.T) {
	s := newSite(12, 7)
	s.setVersions(7, "v2")
	s.settle()
	require.Positive(t, s.count("", entity.Decode), "its prefill replicas can hand their work to nobody")
	require.Positive(t, s.count("v2", entity.Prefill))
	require.Equal(t, 7, s.prefillReplicas())
}

func TestSingleReplicaOfAVersionGenerates(t *testing.T) {
	for _, role := range []entity.Role{entity.Prefill, entity.Decode} {
		s := newSite(12, 7)
		s.setVersions(11, "v2")
		s.targets[11].Role = role
		s.settle()
		require.Equal(t, 1, s.count("v2", entity.Decode))
	}
}
