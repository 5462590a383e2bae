package deployment_test

import (
	"encoding/json"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/entry/deployment"
	"github.com/dotterelflow/dotterelflow/internal/entry/storewatch"
)

// Hosts of different builds compare the checksum of their targets. Two builds that compute different ones for the same targets
// would copy all targets from each other without end. A field that is added to a target, renamed or moved must not change it.
func TestChecksumOfTargetsIsTheSameInAllBuilds(t *testing.T) {
	s := deployment.New(deployment.Options{
		Log: &log.Logger{Level: log.PanicLevel}, ConfigName: "main",
		DecodeTarget: func(e storewatch.Entry) (fleet.Target, error) {
			return fleet.Target{
				ID: entity.TargetID(e.Name + "@1"), Instance: e.Name, Service: "service", Address: "10.0.0.1:8080", DataCentre: "dc-1", Slots: 8,
				Leaving: e.Name == "b", Role: entity.Decode, Version: "v1",
			}, nil
		},
	})
	s.Targets().Replaced(now, []storewatch.Entry{{Name: "a", Revision: 2, Value: []byte(`{}`)}, {Name: "b", Revision: 3, Value: []byte(`{}`)}}, 3)

	encoded, err := s.Export(0, 0)
	require.NoError(t, err)

	var exported map[string]any

	require.NoError(t, json.Unmarshal(encoded, &exported))
	require.Contains(t, string(encoded), `"sum":1275528233548894314}`)
	require.ElementsMatch(t, []string{"revision", "targets", "sum"}, keysOf(exported), "names that hosts of other builds read")
}

func keysOf(m map[string]any) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}

	return keys
}
