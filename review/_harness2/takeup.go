package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const callerTime = 10 * time.Second // a caller's time limit, for all its tries together

// attempt is one try of a caller at a stream.
type attempt struct {
	node   string
	at     time.Time
	status int // zero for no answer
	first  int // number of the first event that it brought; zero for none
}

// taking is a stream as its caller got it over all its tries.
type taking struct {
	id       string
	began    time.Time
	last     int // number of the last event
	versions map[string]bool
	tries    []attempt
	wait     time.Duration // as the last refusal said
}

// try sends one attempt at the stream to m and reads the answer, until hangUp is closed.
func (s *taking) try(c *http.Client, m *machine, hangUp <-chan struct{}) {
	ctx, cancel := context.WithDeadline(context.Background(), s.began.Add(callerTime))
	defer cancel()

	go func() {
		select {
		case <-hangUp:
			cancel()
		case <-ctx.Done():
		}
	}()

	id := s.id
	if s.last > 0 {
		id = fmt.Sprintf("%016x", requests.Add(1))
	}

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.front+"/a/x", strings.NewReader("prompt "+s.id))
	check(err)

	r.Host = "h.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline"+"-Ms", fmt.Sprint(time.Until(s.began.Add(callerTime)).Milliseconds()))
	r.Header.Set("Model", "m")
	r.Header.Set("Token"+"-Usage", "1000,40")
	r.Header.Set("Prompt"+"-Prefix", "5c1e07a2:400,91"+s.id[8:]+":600")

	if s.last > 0 {
		r.Header.Set("Resumes", s.id)
		r.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
	}

	s.tries = append(s.tries, attempt{node: m.node, at: time.Now()})
	t := &s.tries[len(s.tries)-1]
	s.wait = 0

	resp, err := c.Do(r)
	if err != nil {
		return
	}

	defer func() { _ = resp.Body.Close() }()

	if t.status = resp.StatusCode; t.status != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)

		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		s.wait = time.Duration(seconds * float64(time.Second))

		return
	}

	for lines := bufio.NewReader(resp.Body); ; {
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}

		line = strings.TrimSpace(line)

		if id, ok := strings.CutPrefix(line, "id: "); ok {
			s.last, _ = strconv.Atoi(id)

			if t.first == 0 {
				t.first = s.last
			}
		}

		if data, ok := strings.CutPrefix(line, "data: "); ok {
			version, _, _ := strings.Cut(data, " ")
			s.versions[version] = true
		}
	}
}

// takeUp: all processes are killed in the middle of many streams, and start again; the callers take their
// streams up. Without the trouble, the callers' channels break while the machines live.
func takeUp(rec *record, trouble bool) int {
	const (
		hosts     = 4
		replicas  = 14
		down      = 800 * time.Millisecond
		stability = 3 * time.Second
	)

	s := newStore()
	s.put("config", "main", modelManifest())

	zones := []string{"waw-a", "lodz-1"}

	versions := 1 // of the replicas' software, side by side
	if os.Getenv("VERSIONS") == "2" {
		versions = 2
	}

	for i := range replicas {
		m := newModel(rec, s, fmt.Sprintf("i-%02d", i), zones[i%2], fmt.Sprint("v", 1+i*versions/replicas))
		m.pause = 100 * time.Millisecond
		m.register()

		go m.live(func() bool { return true })
	}

	top, tables := splitTop(smallBounds)
	f := newFleet(rec, tables+fmt.Sprintf(platformTable, s.address))
	f.top = top

	defer f.close()

	for i := range hosts {
		f.add(fmt.Sprintf("front-%s-%d", zones[i%2], i/2+1), zones[i%2])
	}

	f.startAll()

	if !f.awaitReady(20 * time.Second) {
		rec.say("the machines do not become ready")

		return exitNotRun
	}

	time.Sleep(9 * time.Second) // the replicas get their phases

	var (
		mu     sync.Mutex
		all    []*taking
		hangUp = make(chan struct{}) // closed when the callers' channels break
		never  = make(chan struct{})
		stop   = make(chan struct{})
		wait   sync.WaitGroup
	)

	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

	caller := func(m, other *machine, hangUp <-chan struct{}) {
		s := &taking{id: fmt.Sprintf("%016x", requests.Add(1)), began: time.Now(), versions: map[string]bool{}}
		s.try(c, m, hangUp)

		// A stream that has broken off is taken up, a few times within the time limit.
		for s.last > 0 && s.last < modelEvents && time.Until(s.began.Add(callerTime)) > time.Second {
			time.Sleep(max(s.wait, time.Second))
			s.try(c, other, never)
		}

		mu.Lock()
		defer mu.Unlock()

		all = append(all, s)
	}

	for i, m := range f.machines {
		wait.Go(func() {
			for n := 1; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}

				mu.Lock()
				breaks := hangUp
				mu.Unlock()

				wait.Go(func() { caller(m, f.machines[(i+1+n%(hosts-1))%hosts], breaks) })
			}
		})
	}

	time.Sleep(6 * time.Second)

	rec.say("the callers' channels break; all processes are killed: %t", trouble)

	if trouble {
		for _, m := range f.machines {
			m.signal(syscall.SIGKILL)
		}

		for _, m := range f.machines {
			<-m.ended()
		}

		time.Sleep(down)

		for _, m := range f.machines {
			m.start()
		}
	} else {
		close(hangUp)

		mu.Lock()
		hangUp = never
		mu.Unlock()
	}

	inTouch := time.Now()
	if trouble {
		inTouch = inTouch.Add(stability)
	}

	time.Sleep(10 * time.Second)
	close(stop)
	wait.Wait()

	var takenUp, wentOn, asked, begun, mixed int

	statuses := map[int]int{}

	for _, s := range all {
		if len(s.versions) > 1 {
			mixed++
		}

		if s.tries[0].at.After(inTouch) {
			asked++

			if s.tries[0].first > 0 {
				begun++
			}
		}

		counted, on := false, false

		for _, t := range s.tries[1:] {
			if t.at.Before(inTouch) {
				continue
			}

			counted = true
			on = on || t.first > 0
			statuses[t.status]++
		}

		if counted {
			takenUp++

			rec.add("stream %s, begun at %.3f s, was taken up after event %d: %+v", s.id, rec.since(s.began), s.last, s.tries[1:])
		}

		if on {
			wentOn++
		}
	}

	rec.say("at machines in touch: %d of %d new streams begin; %d of %d streams that are taken up go on; their tries by status, 0 for none: %v; %d streams of two versions",
		begun, asked, wentOn, takenUp, statuses, mixed)

	if takenUp < 12 || begun == 0 {
		return exitNotRun
	}

	if 2*wentOn*asked < begun*takenUp {
		rec.say("BROKEN LOST: the share of the streams that go on is under half of the share of new streams that begin")

		return exitBroken
	}

	return exitHeld
}
