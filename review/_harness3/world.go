package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"github.com/dotterelflow/dotterelflow/platform/standin"
)

// program is what the deploy file builds and starts on each machine.
const program = "target/dotterelflow-front"

// world is everything that a case has started.
type world struct {
	trouble bool
	began   time.Time
	dir     string
	store   *standin.Store
	engines sync.Map // *engine by address

	mu     sync.Mutex
	record *os.File
	hosts  []*host
}

func newWorld(record string, trouble bool) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}

	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}

	w := &world{trouble: trouble, began: time.Now(), dir: dir, record: f, store: standin.NewStore()}
	w.note("trouble: %v", trouble)

	return w, nil
}

// at returns the time since the begin in seconds, for the record.
func (w *world) at(t time.Time) string { return fmt.Sprintf("%7.3f", t.Sub(w.began).Seconds()) }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()

	fmt.Fprintf(w.record, "%s  %s\n", w.at(time.Now()), fmt.Sprintf(format, args...))
}

func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}

	w.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}

// bounds are the figures of a sheet that the settings state.
type bounds struct {
	StabilityMS, DrainMS, ConfigMS, GraceS, LeaseMS int
	RetrySlack                                      int
	Fence                                           bool
	Cloud                                           string // address of the platform's control; empty for none
}

var settingsTemplate = template.Must(template.New("").Parse(`node = "{{.Name}}"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = "{{.Zone}}"
region = "pl-central"
port_range = [{{.Ports}},{{.Ports}}]
seeds = [{{.Seeds}}]
bootstrap = {{.Bootstrap}}
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[listen]
front = "{{.Front}}"
ready_address = "{{.Ready}}"
control = "{{.Control}}"
[limits]
cpu_share = 0.4
cpu_cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stability_window_ms = {{.B.StabilityMS}}
ack_ms = 6000
catch_up_s = 6
drain_ms = {{.B.DrainMS}}
grace_s = {{.B.GraceS}}
loss_slack_ms = 200
config_ms = {{.B.ConfigMS}}
rollback_slack_ms = 250
max_skew_ms = 6000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = {{.B.RetrySlack}}
recovery_s = 15
transit_ms = 200
retry_after_s = 9.3
require_fence = {{.B.Fence}}
lease_ms = {{.B.LeaseMS}}
thaw_ms = 300
report_window_s = 5
usage_tolerance = 0.05
usage_late_s = 10
{{if .B.Cloud}}[cloud]
address = "{{.B.Cloud}}"
duties = ["usage_report"]
duty_per_s = 20
{{end}}[platform]
address = "{{.Store}}"
form = "objects"
writes_per_s = 1200
reads_per_s = 6000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`))

// host is one entry host.
type host struct {
	w                     *world
	name, zone            string
	front, ready, control string
	own                   string // address whose port is the host's own
	log                   string // file with what the process writes
	settings              string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// Ports below those that the system gives to connections, so that none takes a port between two listeners.
const firstPort, lastPort = 20000, 31999

// listen listens at a free address of loopback.
func listen() net.Listener {
	for range lastPort - firstPort {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.N(lastPort-firstPort+1)))
		if err == nil {
			return l
		}
	}

	panic("no port is free")
}

// freePorts returns n addresses of loopback that are free now.
func freePorts(n int) []string {
	var (
		addresses []string
		listeners []net.Listener
	)

	for range n {
		l := listen()
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}

	for _, l := range listeners {
		_ = l.Close()
	}

	return addresses
}

// startHosts starts hosts, as many in each zone as zones says, and waits until all are ready.
func (w *world) startHosts(zones []string, counts []int, b bounds) []*host {
	var hosts []*host

	total := 0
	for _, n := range counts {
		total += n
	}

	ports := freePorts(4 * total) // all at once, so that none is given out twice

	for z, zone := range zones {
		for i := range counts[z] {
			p := ports[4*len(hosts):]
			h := &host{w: w, name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, front: p[0], ready: p[1], control: p[2], own: p[3]}
			h.log = filepath.Join(w.dir, h.name+".log")
			h.settings = filepath.Join(w.dir, h.name+".toml")
			hosts = append(hosts, h)
		}
	}

	var seeds []string
	for _, h := range hosts[:min(3, len(hosts))] {
		seeds = append(seeds, `"`+h.control+`"`)
	}

	for _, h := range hosts {
		h.writeSettings(strings.Join(seeds, ","), b, true)
	}

	w.hosts = append(w.hosts, hosts...)

	for _, h := range hosts {
		h.start()
	}

	for _, h := range hosts {
		h.awaitReady(15 * time.Second)
	}

	return hosts
}

func (h *host) writeSettings(seeds string, b bounds, bootstrap bool) {
	var out bytes.Buffer

	_, port, _ := net.SplitHostPort(h.own)

	err := settingsTemplate.Execute(&out, map[string]any{
		"Name": h.name, "Zone": h.zone, "Ports": port, "Seeds": seeds, "Bootstrap": bootstrap, "Front": h.front, "Ready": h.ready,
		"Control": h.control, "B": b, "Store": h.w.store.Address(),
	})
	if err != nil {
		panic(err)
	}

	if err := os.WriteFile(h.settings, out.Bytes(), 0o600); err != nil {
		panic(err)
	}
}

// start starts the process by the run line of the deploy file.
func (h *host) start() {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}

	defer func() { _ = out.Close() }()

	cmd := exec.Command(program, "--log-level", "debug")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DOTTERELFLOW_BOOT=" + h.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	if err := cmd.Start(); err != nil {
		panic(err)
	}

	h.mu.Lock()
	h.cmd = cmd
	h.mu.Unlock()
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.cmd != nil {
		_ = h.cmd.Wait()
		h.cmd = nil
	}
}

// awaitReady waits until the host answers a readiness check with 200.
func (h *host) awaitReady(most time.Duration) {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp4", h.ready, time.Second)
		if err != nil {
			continue
		}

		_ = conn.SetDeadline(time.Now().Add(time.Second))
		_, _ = conn.Write([]byte("GET " + pathReady + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))

		head := make([]byte, 12)
		n, _ := conn.Read(head)
		_ = conn.Close()

		if strings.HasPrefix(string(head[:n]), "HTTP/1.1 200") {
			return
		}
	}

	panic(h.name + " does not get ready")
}
