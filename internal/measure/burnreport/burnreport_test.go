package burnreport_test

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"flag"
	"io"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/measure/burnrate"
	"github.com/dotterelflow/dotterelflow/internal/measure/burnreport"
)

var update = flag.Bool("update", false, "write the golden files")

var end = time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC)

// sampleReport returns a report with an account in each state. account is the name of the worst one.
func sampleReport(account entity.AccountID) burnrate.Report {
	var l burnrate.Ledger

	record := func(k burnrate.Key, from, to time.Duration, badEvery int, e burnrate.Event) {
		i := 0

		for at := end.Add(-from); at.Before(end.Add(-to)); at = at.Add(10 * time.Second) {
			i++

			if i%badEvery == 0 {
				l.Record(at, k, e)
			} else {
				l.Record(at, k, burnrate.Good)
			}
		}
	}

	portal := burnrate.Key{Account: account, Kind: "booking-check"}
	record(portal, 24*time.Hour, 90*time.Minute, 1e9, burnrate.Good)
	record(portal, 90*time.Minute, 0, 3, burnrate.TargetLost)
	l.Record(end.Add(-time.Minute), portal, burnrate.Refused)

	record(burnrate.Key{Account: "survey", Kind: "report"}, 8*time.Hour, 0, 12, burnrate.Refused)
	record(burnrate.Key{Account: "venue", Kind: "waiver"}, 60*time.Hour, 0, 60, burnrate.Late)
	record(burnrate.Key{Account: "parents", Kind: "question"}, 40*time.Hour, 30*time.Hour, 4, burnrate.RoleChange)
	record(burnrate.Key{Account: "quiet", Kind: "photo"}, 40*time.Hour, 0, 1e9, burnrate.Good)

	r := l.Report(end.Add(-time.Second), burnrate.ReportOptions{})
	r.Silent = []entity.HostID{"host-3"}

	return r
}

func TestTextGolden(t *testing.T) {
	tests := []struct {
		golden string
		report burnrate.Report
	}{
		{"testdata/evening.txt", sampleReport("portal")},
		{"testdata/calm.txt", burnrate.Report{At: end, Good: 1200, Accounts: 3}},
	}

	for _, tt := range tests {
		t.Run(tt.golden, func(t *testing.T) {
			var got bytes.Buffer

			require.NoError(t, burnreport.Text(&got, tt.report))

			if *update {
				require.NoError(t, os.WriteFile(tt.golden, got.Bytes(), 0o644))
			}

			want, err := os.ReadFile(tt.golden)
			require.NoError(t, err)
			require.Equal(t, string(want), got.String())
		})
	}
}

func TestJSONKeepsTheReport(t *testing.T) {
	var b bytes.Buffer

	want := sampleReport("portal")
	require.NoError(t, burnreport.JSON(&b, want))

	var got burnrate.Report

	require.NoError(t, json.Unmarshal(b.Bytes(), &got))
	require.Equal(t, want, got)
}

// The page loads no other resources, contains both plots and lists the worst series first. Account names
// cannot inject markup into it.
func TestPage(t *testing.T) {
	for _, account := range []entity.AccountID{"portal", `</text><script>alert("1")</script>`, "a&b\x00\"'<"} {
		t.Run(string(account), func(t *testing.T) {
			var b bytes.Buffer

			require.NoError(t, burnreport.HTML(&b, sampleReport(account)))
			html := b.String()

			require.NotContains(t, html, "<script")
			require.Equal(t, 2, strings.Count(html, "<svg"))
			require.Less(t, strings.Index(html, "class=\"state fast\""), strings.Index(html, "class=\"state slow\""))

			// XML namespace names are URLs, but not links.
			body := regexp.MustCompile(`xmlns(:\w+)?="[^"]*"`).ReplaceAllString(html, "")
			require.NotRegexp(t, `(?i)(src|href)=|url\(|https?://|@import`, body)

			for _, svg := range regexp.MustCompile(`(?s)<svg.*?</svg>`).FindAllString(html, -1) {
				requireWellFormed(t, svg)
			}
		})
	}
}

func requireWellFormed(t *testing.T, text string) {
	t.Helper()

	for d := xml.NewDecoder(strings.NewReader(text)); ; {
		_, err := d.Token()
		if errors.Is(err, io.EOF) {
			return
		}

		require.NoError(t, err)
	}
}

func TestCalmPageHasNoPlots(t *testing.T) {
	var b bytes.Buffer

	require.NoError(t, burnreport.HTML(&b, burnrate.Report{At: end}))
	require.NotContains(t, b.String(), "<svg")
	require.Contains(t, b.String(), "Nothing to do.")
}
