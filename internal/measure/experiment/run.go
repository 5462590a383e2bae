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
	Seeds      int      // number of traces, with the seeds 1, 2 and so on; zero means 5
	Policies   []string // names of the policies to run; empty means all
	FIFO       bool     // use first-in-first-out admission in place of the admission controller
}

// Report holds the results of an experiment.
type Report struct {
	Deployment string    `json:"deployment"`
	Seeds      int       `json:"seeds"`
	Results    []*Result `json:"results"` // sums over the seeds, one for each policy, in the order of Options.Policies
	Goals      []Goal    `json:"targets"`

	runs   map[string][]*Result // result for each seed, by policy
	phases []string
	kinds  []string
}

// Run runs the traces of all seeds under all policies. It returns an error for an unknown deployment and when ctx ends.
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

	report.Goals = report.goals(d)

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

// run executes all runs, at most half as many at a time as there are processors but at least one, and keeps the result
// of the best variant for each policy and seed.
func (r *Report) run(ctx context.Context, d trace.Deployment, opt Options) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))

	runResults := make(map[string][][]*Result) // results by policy, seed and variant

	for _, name := range opt.Policies {
		runResults[name] = make([][]*Result, opt.Seeds)
	}

	for i := range opt.Seeds {
		t := trace.Generate(d, int64(i)+1)

		for _, name := range opt.Policies {
			vs := variants(name, d, t)
			results := make([]*Result, len(vs))
			runResults[name][i] = results

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

	for name, seeds := range runResults {
		for i, results := range seeds {
			if name == Oracle {
				results = append(results, onlineResults(runResults, i)...)
			}

			r.runs[name] = append(r.runs[name], bestResult(results))
		}
	}

	return nil
}

// onlineResults returns the results of the online policies that ran, except NoSpill, for one seed, given by its index.
func onlineResults(runResults map[string][][]*Result, seed int) []*Result {
	var all []*Result

	for _, name := range []string{Static, Reactive, Hysteresis, Chosen} {
		if seeds, ok := runResults[name]; ok {
			all = append(all, seeds[seed]...)
		}
	}

	return all
}

// bestResult returns the result with the most goodput, the first of equals. results must not be empty.
func bestResult(results []*Result) *Result {
	top := results[0]

	for _, x := range results {
		if x.All.Good > top.All.Good {
			top = x
		}
	}

	return top
}

// Result returns the result of the policy of that name, or nil if it did not run.
func (r *Report) Result(policy string) *Result {
	for _, x := range r.Results {
		if x.Policy == policy {
			return x
		}
	}

	return nil
}
