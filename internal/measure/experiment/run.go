package experiment

import (
	"context"
	"runtime"

	"golang.org/x/sync/errgroup"

	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
)

// Options describe an experiment. Deployment must be set.
type Options struct {
	Deployment string
	Seeds      int      // traces, seeded from 1; 5 by default
	Policies   []string // all by default
	FIFO       bool     // with first-in-first-out admission instead of the controller
}

// Report is the outcome of an experiment.
type Report struct {
	Deployment string    `json:"deployment"`
	Seeds      int       `json:"seeds"`
	Results    []*Result `json:"results"` // by policy, in the order asked for
	Targets    []Target  `json:"targets"`

	runs   map[string][]*Result // by policy, in order of seed
	phases []string
	kinds  []string
}

// Run runs the traces of all seeds under all policies. It fails on an unknown deployment and when
// ctx ends.
func Run(ctx context.Context, opt Options) (*Report, error) {
	d, err := trace.Lookup(opt.Deployment)
	if err != nil {
		return nil, err
	}

	if opt.Seeds <= 0 {
		opt.Seeds = 5
	}

	if len(opt.Policies) == 0 {
		opt.Policies = Policies()
	}

	report := newReport(d, opt.Seeds)
	if err := report.run(ctx, d, opt); err != nil {
		return nil, err
	}

	for _, name := range opt.Policies {
		sum := newResult(name, "")
		sum.Timeline = report.runs[name][0].Timeline

		for _, x := range report.runs[name] {
			sum.merge(x)
		}

		report.Results = append(report.Results, sum)
	}

	report.Targets = report.targets(d)

	return report, nil
}

func newReport(d trace.Deployment, seeds int) *Report {
	r := &Report{Deployment: d.Name, Seeds: seeds, runs: make(map[string][]*Result)}

	for _, p := range d.Phases {
		r.phases = append(r.phases, p.Name)
	}

	for _, k := range d.Kinds {
		r.kinds = append(r.kinds, string(k.Name))
	}

	return r
}

// run does all runs, half as many at a time as there are processors, and keeps the best variant
// of each policy and seed.
func (r *Report) run(ctx context.Context, d trace.Deployment, opt Options) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))

	found := make(map[string][][]*Result)

	for _, name := range opt.Policies {
		found[name] = make([][]*Result, opt.Seeds)
	}

	for i := range opt.Seeds {
		t := trace.Generate(d, int64(i)+1)

		for _, name := range opt.Policies {
			vs := variants(name, d, t)
			results := make([]*Result, len(vs))
			found[name][i] = results

			for j, v := range vs {
				group.Go(func() error {
					if ctx.Err() != nil {
						return ctx.Err()
					}

					s := newSim(d, t, v, opt.FIFO)
					s.run()
					results[j] = s.result(name)

					return nil
				})
			}
		}
	}

	if err := group.Wait(); err != nil {
		return err
	}

	for name, seeds := range found {
		for i, results := range seeds {
			if name == Oracle {
				results = append(results, inHindsight(found, i)...)
			}

			r.runs[name] = append(r.runs[name], best(results))
		}
	}

	return nil
}

// inHindsight returns the results of the online policies for the trace of index seed.
func inHindsight(found map[string][][]*Result, seed int) []*Result {
	var all []*Result

	for _, name := range []string{Static, Reactive, Hysteresis, Chosen} {
		if seeds, ok := found[name]; ok {
			all = append(all, seeds[seed]...)
		}
	}

	return all
}

// best returns the result of most goodput.
func best(results []*Result) *Result {
	top := results[0]

	for _, x := range results {
		if x.All.Good > top.All.Good {
			top = x
		}
	}

	return top
}

// Result returns the result of a policy, or nil.
func (r *Report) Result(policy string) *Result {
	for _, x := range r.Results {
		if x.Policy == policy {
			return x
		}
	}

	return nil
}
