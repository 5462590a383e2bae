package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file record.txt of a case, and its clock.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	check(err)

	return &record{began: time.Now(), file: f}
}

// since returns the seconds from the start of the case until t.
func (r *record) since(t time.Time) float64 { return t.Sub(r.began).Seconds() }

func (r *record) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

func (r *record) addAt(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", r.since(t), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// machine is one entry host: a process of the deploy file's program.
type machine struct {
	fleet *fleet
	node  string
	zone  string
	front string
	ready string
	peer  string
	ports int
	path  string // settings file
	store string // address of the store for this machine alone; empty for that in the settings of the fleet

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// storeOfMachine stands in settings for the address of the store, where each machine has another one.
const storeOfMachine = "@store"

// fleet is the machines of a case.
type fleet struct {
	record   *record
	dir      string
	run      []string // command of the deploy file
	top      string   // keys of the top level that all settings files share
	settings string   // their tables
	memoryMB int
	maxFDs   int
	machines []*machine
}

func newFleet(rec *record, settings string) *fleet {
	dir, err := os.MkdirTemp("", "review2-")
	check(err)

	return &fleet{record: rec, dir: dir, run: deployCommand(), settings: settings, memoryMB: 284, maxFDs: 4100}
}

// deployCommand returns the words of the run line in the deploy file.
func deployCommand() []string {
	content, err := os.ReadFile("deploy/system.toml")
	check(err)

	for line := range strings.Lines(string(content)) {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`))
		}
	}

	panic("the deploy file has no run line")
}

// freePorts returns n ports of loopback that are free now, below those that the system gives to clients' ends of connections.
func freePorts(n int) []int {
	const first, last = 20000, 32000

	var ports []int

	for len(ports) < n {
		port := first + rand.IntN(last-first)
		if taken[port] {
			continue
		}

		l, err := net.Listen("tcp4", address(port))
		if err != nil {
			continue
		}

		_ = l.Close()
		taken[port] = true
		ports = append(ports, port)
	}

	return ports
}

// taken has the ports that freePorts has returned.
var taken = map[int]bool{}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// add adds a machine, which is not started.
func (f *fleet) add(node, zone string) *machine {
	p := freePorts(4)
	m := &machine{
		fleet: f, node: node, zone: zone, front: address(p[0]), ready: address(p[1]), peer: address(p[2]), ports: p[3],
		path: filepath.Join(f.dir, node+".toml"),
	}
	f.machines = append(f.machines, m)

	return m
}

// startAll writes the settings of all machines and starts them.
func (f *fleet) startAll() {
	var seeds []string
	for _, m := range f.machines[:min(3, len(f.machines))] {
		seeds = append(seeds, fmt.Sprintf("%q", m.peer))
	}

	for _, m := range f.machines {
		check(os.WriteFile(m.path, fmt.Appendf(nil, `node = %q
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = %q
region = "r"
port_range = [%d,%d]
seeds = [%s]
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
%s[listen]
front = %q
ready_address = %q
control = %q
[limits]
cpu_share = 0.4
cpu_cores = 1
memory_mb = %d
max_fds = %d
link_mbps = 1000.0
disk_mb = 0
%s`, m.node, m.zone, m.ports, m.ports, strings.Join(seeds, ","), f.top, m.front, m.ready, m.peer, f.memoryMB, f.maxFDs, strings.ReplaceAll(f.settings, storeOfMachine, m.store)), 0o600))
	}

	for _, m := range f.machines {
		m.start()
	}
}

func (m *machine) start() {
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)

	cmd := exec.Command(m.fleet.run[0], m.fleet.run[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DOTTERELFLOW_BOOT=" + m.path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())

	done := make(chan struct{})

	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()

	m.mu.Lock()
	m.cmd, m.done = cmd, done
	m.mu.Unlock()

	m.fleet.record.add("machine %s starts", m.node)
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.fleet.record.add("machine %s gets signal %d", m.node, s)
	_ = m.cmd.Process.Signal(s)
}

// ended returns a channel that is closed once the process has ended.
func (m *machine) ended() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.done
}

// stopAndStart sends SIGTERM, SIGKILL after grace, and starts the machine again.
func (m *machine) stopAndStart(grace time.Duration) {
	m.signal(syscall.SIGTERM)

	select {
	case <-m.ended():
	case <-time.After(grace):
		m.signal(syscall.SIGKILL)
		<-m.ended()
	}

	m.start()
}

func (m *machine) isReady() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}

	resp, err := c.Get("http://" + m.ready + pathReady)
	if err != nil {
		return false
	}

	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()

	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready, and reports false after limit.
func (f *fleet) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)

	for _, m := range f.machines {
		for !m.isReady() {
			if time.Now().After(end) {
				return false
			}

			time.Sleep(50 * time.Millisecond)
		}
	}

	return true
}

// close ends all processes. The logs are kept if KEEP names a folder.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.mu.Lock()
		if m.cmd != nil {
			_ = m.cmd.Process.Kill()
		}
		m.mu.Unlock()
	}

	for _, m := range f.machines {
		if m.cmd != nil {
			<-m.ended()
		}
	}

	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(f.dir))
	}

	_ = os.RemoveAll(f.dir)
}
