package document_test

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/document"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/site/yamlfile"
)

func examples(t *testing.T, name string) []string {
	t.Helper()

	paths, err := filepath.Glob(filepath.Join("..", "..", "..", "examples", name, "*.yaml"))
	require.NoError(t, err)
	require.NotEmpty(t, paths)

	return paths
}

func TestExamples(t *testing.T) {
	tests := []struct {
		name                string
		dataCentres         int
		engines, services   int
		kinds               []entity.KindName
		goodput, roleChange float64
		atMostOnce          []entity.KindName
	}{
		{
			name: "dombud", dataCentres: 4, engines: 18, services: 4, goodput: 3, roleChange: 1,
			kinds:      []entity.KindName{"report-draft", "defect-note", "severity-grade", "booking-check", "photo-ack"},
			atMostOnce: []entity.KindName{"severity-grade"},
		},
		{
			name: "qafzeh", dataCentres: 3, engines: 18, services: 3, goodput: 1, roleChange: 3,
			kinds:      []entity.KindName{"party-request", "confirmation-draft", "parent-question", "waiver-check", "slot-hold", "deposit"},
			atMostOnce: []entity.KindName{"slot-hold", "deposit"},
		},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d, err := document.Load(examples(t, tt.name)...)
			require.NoError(t, err)

			cfg, err := d.Config()
			require.NoError(t, err)
			require.Equal(t, entity.Weights{Goodput: tt.goodput, RoleChange: tt.roleChange}, cfg.Weights)

			centres := map[entity.DataCentre]bool{}
			count := map[entity.TargetType]int{}

			for _, target := range cfg.Targets {
				centres[target.DataCentre] = true
				count[target.Type]++
			}

			require.Len(t, centres, tt.dataCentres)
			require.Equal(t, map[entity.TargetType]int{entity.Engine: tt.engines, entity.Service: tt.services}, count)

			kinds := map[entity.KindName]entity.Kind{}
			for _, a := range cfg.Accounts {
				for name, k := range a.Kinds {
					kinds[name] = k
				}
			}

			require.Len(t, kinds, len(tt.kinds))

			for _, name := range tt.kinds {
				require.Contains(t, kinds, name)
				require.Positive(t, kinds[name].Deadline)
			}

			for _, name := range tt.atMostOnce {
				require.True(t, kinds[name].AtMostOnce, name)
			}
		})
	}
}

func TestParametersReachTheAccount(t *testing.T) {
	d, err := document.Load(examples(t, "dombud")...)
	require.NoError(t, err)

	cfg, err := d.Config()
	require.NoError(t, err)

	snapshot := entity.NewSnapshot(cfg)

	a, ok := snapshot.AccountByKey("demo-surveyors-mazowsze")
	require.True(t, ok)
	require.Equal(t, 96, a.Limits.Open)
	require.Equal(t, 45*time.Minute, a.Kinds["report-draft"].Deadline)
	require.Equal(t, entity.Patient, a.Kinds["report-draft"].Urgency)

	a, ok = snapshot.AccountByKey("demo-surveyors-lodzkie")
	require.True(t, ok)
	require.Equal(t, 64, a.Limits.Open)
	require.Equal(t, 30*time.Minute, a.Kinds["report-draft"].Deadline)

	a, ok = snapshot.AccountByKey("demo-buyer-app")
	require.True(t, ok)
	require.InDelta(t, 0.995, a.Kinds["booking-check"].Objective.Good, 1e-9)
}

const hash = "0000000000000000000000000000000000000000000000000000000000000001"

func TestRefusals(t *testing.T) {
	const template = "templates:\n  - name: t\n    parameters:\n      - {name: d, type: duration, default: 1s, max: 1m}\n" +
		"    kinds:\n      - {name: k, model: m, deadline: $d}\n"

	account := func(rest string) string {
		return template + "accounts:\n  - id: a\n    template: t\n    key-hashes: [" + hash + "]\n" + rest
	}

	target := func(rest string) string {
		return "targets:\n  - id: e\n    data-centre: dc\n    slots: 1\n    " + rest + "\n"
	}

	tests := []struct {
		name, text, want string
	}{
		{"empty", "# nothing\n", "f.yaml: the file is empty"},
		{"unknown key", template + "wrong: 1\n", "f.yaml:7: unknown field \"wrong\""},
		{"unknown nested key", "templates:\n  - name: t\n    colour: red\n", "f.yaml:3: unknown field \"colour\""},
		{"two documents", "accounts: []\n---\ntargets: []\n", "f.yaml:3: a file holds one YAML document"},
		{"anchor", "accounts: &a []\n", "f.yaml:1: anchors"},
		{"value is a list", "templates:\n  - name: [a]\n", "f.yaml:2: must be a single value"},
		{"wrong type", target("prefill-rate: many"), "f.yaml:5: "},
		{"undeclared parameter", "templates:\n  - name: t\n    kinds:\n      - {name: k, model: m, deadline: $d}\n", "f.yaml:4: template t: deadline: no parameter \"d\" is declared"},
		{"model and service", "templates:\n  - name: t\n    kinds:\n      - {name: k, model: m, service: s, deadline: 1s}\n", "f.yaml:4: kind k: give either a model or a service"},
		{"bad literal", "templates:\n  - name: t\n    kinds:\n      - {name: k, model: m, deadline: soon}\n", "f.yaml:4: template t: deadline: \"soon\" is not a duration"},
		{"bad urgency", "templates:\n  - name: t\n    kinds:\n      - name: k\n        model: m\n        urgency: now\n        deadline: 1s\n", "f.yaml:6: template t: urgency: \"now\" is not an urgency"},
		{"out of bounds", account("    parameters:\n      d: 2m\n"), "f.yaml:12: account a: parameter d: \"2m\" is more than the greatest value 1m"},
		{"unknown parameter", account("    parameters:\n      x: 2m\n"), "f.yaml:12: account a: template t has no parameter \"x\""},
		{"no such template", "accounts:\n  - id: a\n    template: u\n    key-hashes: [" + hash + "]\n", "f.yaml:3: account a: there is no template \"u\""},
		{"plain key", template + "accounts:\n  - id: a\n    template: t\n    key-hashes:\n      - secret\n", "f.yaml:11: account a: a key hash must be"},
		{"key twice", account("  - id: b\n    template: t\n    key-hashes: [" + hash + "]\n"), "f.yaml:13: account b: the key hash is in use already"},
		{"account twice", account("  - id: a\n    template: t\n    key-hashes: [\"" + hash[:63] + "2\"]\n"), "f.yaml:11: account a is defined twice"},
		{"host name", target("type: engine\n    model: m\n    address: localhost:80"), "f.yaml:7: target e: address \"localhost:80\" must be an IP number and a port"},
		{"no model", target("type: engine\n    address: 127.0.0.1:80"), "model is missing"},
		{"engine with service", target("type: engine\n    model: m\n    service: s\n    address: 127.0.0.1:80"), "f.yaml:7: service is only valid with type service"},
		{"bad role", target("type: engine\n    model: m\n    role: boss\n    address: 127.0.0.1:80"), "f.yaml:7: role must be one of mixed prefill decode"},
		{"bad type", target("type: robot\n    address: 127.0.0.1:80"), "f.yaml:5: type must be one of engine service"},
		{"no slots", "targets:\n  - id: e\n    type: service\n    service: s\n    data-centre: dc\n    slots: 0\n    address: 127.0.0.1:80\n", "f.yaml:6: slots must be at least 1"},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d, err := document.Parse("f.yaml", []byte(tt.text))
			if err == nil {
				_, err = d.Config()
			}

			var invalid *yamlfile.InvalidError

			require.ErrorAs(t, err, &invalid)
			require.Contains(t, err.Error(), tt.want)
		})
	}
}
