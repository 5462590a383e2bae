package main

import (
	"fmt"
	"path/filepath"
	"time"
)

// pathCase sends requests whose path begins with two slashes to a route with the prefix "/".
func pathCase(r *record, dir string, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, 1)
	if err != nil {
		return false, err
	}

	defer f.close()

	if err := f.configure(filepath.Join(dir, "manifest.json")); err != nil {
		return false, err
	}

	s := newService(r, 6, 24, 5*time.Millisecond)
	for i := range 2 {
		defer s.serve(f, "field-api", fmt.Sprintf("i-%d", i+1)).Close()
	}

	if err := f.start(); err != nil {
		return false, err
	}

	paths := []string{"/photos/17?size=2", "/photos//17"}
	if trouble {
		paths = append(paths, "//photos/17?size=2", "//17")
	}

	changed := 0

	for round := range 5 {
		for i, path := range paths {
			id := fmt.Sprintf("p-%d-%d", round, i)

			c, err := openChannel(f.hosts[0].front)
			if err != nil {
				return false, err
			}

			a := c.do("POST", path, id, 2*time.Second, []byte("x"), 0)
			_ = c.Close()

			r.notef("client sent %s: POST %s: %v", id, path, a)

			for _, run := range s.runsOf(id) {
				if run.target != path {
					changed++

					r.notef("%s ran %s as %s %s", run.replica, id, run.method, run.target)
				}
			}
		}
	}

	r.sayf("%d requests ran with another path than that of the client", changed)

	return changed > 0, nil
}
