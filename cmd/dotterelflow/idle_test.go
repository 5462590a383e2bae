package main_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/standin/platform"
)

const (
	settleTime  = 4 * time.Second  // wait between the start of the hosts and the measurement
	measureTime = 10 * time.Second // duration of one measurement
)

// cpuTime returns the processor time that the threads of p have used so far.
func (p *process) cpuTime(t testing.TB) time.Duration {
	t.Helper()

	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	require.NoError(t, err)

	var total time.Duration

	for _, name := range threads {
		data, err := os.ReadFile(name)
		if err != nil {
			continue // the thread has ended since
		}

		ns, err := strconv.ParseInt(strings.Fields(string(data))[0], 10, 64)
		require.NoError(t, err)

		total += time.Duration(ns)
	}

	return total
}

// residentBytes returns the resident memory of p, in bytes.
func (p *process) residentBytes(t testing.TB) int {
	t.Helper()

	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	require.NoError(t, err)

	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	require.NoError(t, err)

	return pages * os.Getpagesize()
}

// platformCalls returns the numbers of reads and writes that all hosts have sent to the platform so far. Watches do
// not count.
func (f *fleet) platformCalls(t testing.TB) (reads, writes int) {
	t.Helper()

	for i := range f.hosts {
		resp, err := http.Get(fmt.Sprintf("http://%s/calls?client=entry-%d", f.platformAddress, i))
		require.NoError(t, err)

		var c platform.Calls

		require.NoError(t, json.NewDecoder(resp.Body).Decode(&c))
		require.NoError(t, resp.Body.Close())

		reads += c.Gets + c.Lists + c.Hosts
		writes += c.Puts
	}

	return reads, writes
}

// sizedConfiguration returns a document with the given numbers of client accounts and targets. The targets are in
// data centres without entry hosts.
func sizedConfiguration(accounts, targets int) string {
	var b strings.Builder

	b.WriteString("templates:\n  - name: desk\n    kinds:\n      - {name: note, model: m, deadline: 30s}\naccounts:\n")

	for i := range accounts {
		fmt.Fprintf(&b, "  - {id: account-%d, template: desk, key-hashes: [%s]}\n", i, entity.HashKey(fmt.Sprint("key-", i)))
	}

	b.WriteString("targets:\n")

	for i := range targets {
		fmt.Fprintf(&b, "  - {id: engine-%d, type: engine, data-centre: dc-%d, address: \"127.0.0.1:%d\", model: m, slots: 16}\n", i, 1+i%4, 1+i)
	}

	return b.String()
}

// BenchmarkIdleHost runs entry hosts as processes without requests. It reports the processor time, in thousandths of
// a core, and the resident memory of the first host, and the platform calls of all hosts.
func BenchmarkIdleHost(b *testing.B) {
	for _, size := range []struct{ hosts, accounts, targets int }{
		{1, 10, 10}, {1, 10, 150}, {1, 10, 300}, {1, 10, 600},
		{1, 1400, 10}, {1, 2800, 10}, {1, 5600, 10},
		{2, 10, 10}, {6, 10, 10}, {12, 10, 10}, {24, 10, 10},
		{1, 5600, 600},
	} {
		b.Run(fmt.Sprintf("hosts=%d/accounts=%d/targets=%d", size.hosts, size.accounts, size.targets), func(b *testing.B) {
			f := &fleet{}
			_, f.platformAddress = startStandin(b, "platform")
			f.apply(b, sizedConfiguration(size.accounts, size.targets))

			var peers []string

			for i := range size.hosts {
				h := f.startHost(b, fmt.Sprintf("entry-%d", i), "a", peers...)
				peers = append(peers, h.peer)
			}

			for _, h := range f.hosts {
				h.waitReady(b)
			}

			time.Sleep(settleTime)

			h := f.hosts[0]
			reads, writes := f.platformCalls(b)
			before, start := h.cpuTime(b), time.Now()

			for b.Loop() {
				time.Sleep(measureTime)
			}

			took := time.Since(start)
			b.ReportMetric(1000*float64(h.cpuTime(b)-before)/float64(took), "millicores")
			b.ReportMetric(float64(h.residentBytes(b))/(1<<20), "resident-MB")

			readsNow, writesNow := f.platformCalls(b)
			b.ReportMetric(float64(readsNow-reads)/took.Seconds(), "platform-reads/s")
			b.ReportMetric(float64(writesNow-writes)/took.Seconds(), "platform-writes/s")
		})
	}
}
