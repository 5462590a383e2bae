package main_test

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/measure/loadgen"
)

const loadConfiguration = `
templates:
  - name: desk
    kinds:
      - {name: booking-check, urgency: urgent, model: assistant, deadline: 6s}
      - {name: photo-acknowledgement, urgency: urgent, service: bookings, deadline: 5s}
      - {name: defect-note, model: assistant, deadline: 1m}
      - {name: report-draft, urgency: patient, model: assistant, deadline: 10m}
      - {name: severity-grade, urgency: patient, at-most-once: true, model: assistant, deadline: 4m}
accounts:
  - {id: desk, template: desk, key-hashes: [%s]}
targets:
  - {id: engine-1, type: engine, data-centre: a, address: %s, model: assistant, slots: 64, prefill-rate: 20000, decode-rate: 60000}
  - {id: engine-2, type: engine, data-centre: a, address: %s, model: assistant, slots: 64, prefill-rate: 20000, decode-rate: 60000}
  - {id: service-1, type: service, data-centre: a, address: %s, service: bookings, slots: 64}
`

// The load command replays the trace of a deployment against entry hosts that run as processes, and each answer is
// complete and correct.
func TestLoadOverProcesses(t *testing.T) {
	f := &fleet{}
	_, f.platformAddress = startStandin(t, "platform")
	_, first := startStandin(t, "engine")
	_, second := startStandin(t, "engine")
	_, f.serviceAddress = startStandin(t, "service")

	f.apply(t, fmt.Sprintf(loadConfiguration, entity.HashKey("desk-key"), first, second, f.serviceAddress))

	one := f.startHost(t, "entry-1", "a")
	two := f.startHost(t, "entry-2", "a", one.peer)

	one.waitReady(t)
	two.waitReady(t)

	dir, err := buildPrograms()
	require.NoError(t, err)

	before := one.cpuTime(t) + two.cpuTime(t)
	cmd := exec.CommandContext(t.Context(), filepath.Join(dir, "dotterelflow"), "load", "--address", one.caller+","+two.caller,
		"--key", "desk-key", "--deployment", "dombud", "--seed", "1", "--seconds", "8", "--rate", "20", "--format", "json")
	out, err := cmd.Output()
	require.NoError(t, err, "%s", out)

	var r loadgen.Report

	require.NoError(t, json.Unmarshal(out, &r))
	t.Logf("%s\nprocessor time of both hosts: %v", out, one.cpuTime(t)+two.cpuTime(t)-before)
	require.Zero(t, r.All.Wrong)
	require.Positive(t, r.All.Whole)
	require.Equal(t, r.All.Offered, r.All.Whole, "%v", r.Problems)
}
